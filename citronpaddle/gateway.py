"""One entry instance on the users' platform: callers' requests in, answers out."""

import asyncio
import itertools
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import NamedTuple

from .adapters.connections import Address, ConnectionPool
from .adapters.counts import Counts, render
from .adapters.eventlog import Event, EventLog
from .adapters.httpserver import (
    CallerConnection,
    Connections,
    HttpAnswer,
    HttpRequest,
    RequestHandler,
)
from .calllog import CallLog
from .clock import Clock
from .fleet import Fleet, FleetState, FleetTimes, StateDecoder
from .forwarding import CallCodec, Forwarder, RoutedRequest, Run
from .peering import Peering, join_address
from .policy.catalog import CallerLimits, Route, ServiceLimits, WeightedRotation, WeightedService
from .policy.exchange import Answered, ExchangeDependencies, Outcome, RouteLatencies
from .policy.extraload import ExtraLoad, ExtraLoadLimits
from .policy.feed import Feed
from .policy.members import Member, Members
from .policy.registry import Registry
from .policy.selection import Selector
from .policy.slowstart import ColdLimits, SlowStart
from .randomness import RandomSource
from .statestore import StateStore

# How often overdue connections and entries are looked for.
TICK_MS = 250.0
# On a stop, the last part of the time allowed is kept for closing connections and ending.
STOP_RESERVE_MS = 800.0
# Callers that keep an older list of addresses go on connecting for a multiple of its time.
LIST_MEMORY = 1.5
# Without a configuration, a caller is told to come back after as long as the instance has waited
# for one: a start takes some hundred ms, an outage of the store as long again as it has lasted.
MIN_UNREADY_RETRY_MS = 300.0
MAX_UNREADY_RETRY_MS = 2_000.0
BACKLOG = 512
# The way to a caller and back where the kernel does not tell: two round trips within a domain.
UNKNOWN_PATH_MS = 10.0
# The part of the time for a new configuration that a change may wait for the next watch.
WATCH_SHARE = 0.3
METRICS_PATH = b"/metrics"
METRICS_HEADERS = ((b"Content-Type", b"text/plain; version=0.0.4; charset=utf-8"),)
# On a stop, how often it is checked whether callers have gone, and the time for the last answer.
STOP_CHECK_MS = 50.0
LAST_BYTES_MS = 50.0


class GatewaySettings(NamedTuple):
    """What an instance is told at its start; addresses are None where it does not serve them."""

    name: str
    domain: str
    callers_address: Address | None
    ready_address: Address | None
    directory_address: Address | None
    store_address: Address
    hints_address: Address | None
    grace_ms: float
    keep_s: float
    extra_load: ExtraLoadLimits
    cold: ColdLimits
    min_lease_ms: float
    config_apply_ms: float
    cores: float = 1.0


class Admitted(NamedTuple):
    """A caller's request, decoded; `deadline_ms` is None if the caller gave none."""

    id: str
    host: str
    path: str
    deadline_ms: float | None
    content: object
    is_head: bool


class CallerCodec(ABC):
    """Reads callers' requests and writes their answers, in the platform's words."""

    @abstractmethod
    def read_request(self, request: HttpRequest) -> Admitted | None:
        """Return the request, or None if it is malformed."""

    @abstractmethod
    def make_answer(self, request: RoutedRequest, outcome: Outcome) -> HttpAnswer:
        """Return the answer for an outcome."""

    @abstractmethod
    def refuse(self, reason: str, retry_ms: float) -> HttpAnswer:
        """Return the answer to a request that is not run for now."""

    @abstractmethod
    def find_resolve_domain(self, request: HttpRequest) -> str | None:
        """Return the domain of a caller that asks for addresses; None for another request."""

    @abstractmethod
    def make_addresses(self, addresses: list[str], keep_s: float) -> HttpAnswer:
        """Return the answer to a caller that asks for addresses."""


class Gateway:
    """Everything of one instance."""

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        random: RandomSource,
        log: EventLog,
        call_codec: CallCodec,
        caller_codec: CallerCodec,
        make_store: Callable[[Address, ConnectionPool], StateStore],
        decoder: StateDecoder,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._random = random
        self._log = log
        self._codec = caller_codec
        self._is_leaving = False
        self._started_ms = clock.now_ms()
        self._rotations: dict[tuple[str, tuple[WeightedService, ...]], WeightedRotation] = {}
        self._tasks: set[asyncio.Task] = set()
        self._servers: list[asyncio.Server] = []
        self.counts = Counts()
        self.connections = Connections()
        own = Member(
            settings.name,
            join_address(settings.callers_address),
            settings.domain,
            join_address(settings.hints_address),
            settings.cores,
        )
        self.state = FleetState(Registry(), Members(own))
        self._slow_start = SlowStart(settings.cold, settings.name)
        self._selector = Selector(
            self.state.registry,
            self._slow_start,
            self._find_limits,
            random.random,
            settings.domain,
        )
        self._extra_load = ExtraLoad(settings.extra_load, clock.now_ms())
        self._pool = ConnectionPool(clock)
        feed = Feed(settings.name)
        self._peering = Peering(
            clock,
            log,
            self.state,
            feed,
            self._selector,
            self._extra_load,
            self._slow_start,
            lambda sender, batch: self._fleet.take_batch(sender, batch),
        )
        tools = ExchangeDependencies(
            self._selector,
            self._extra_load,
            RouteLatencies(),
            itertools.count(1),
            self._peering.hints,
        )
        self._forwarder = Forwarder(
            clock, call_codec, self._pool, tools, CallLog(clock, log, self.counts)
        )
        self._fleet = Fleet(
            clock,
            make_store(settings.store_address, ConnectionPool(clock)),
            decoder,
            self.state,
            self._selector,
            log,
            random.random,
            self._apply_change,
            FleetTimes(
                lease_ms=max(FleetTimes().lease_ms, settings.min_lease_ms),
                watch_interval_ms=WATCH_SHARE * settings.config_apply_ms,
            ),
            feed,
            self._peering.relay,
        )

    @property
    def is_ready(self) -> bool:
        """Return whether callers should come here."""
        return self.state.catalog is not None and not self._is_leaving

    @property
    def caller_limits(self) -> CallerLimits:
        """Return the limits of callers' requests in force."""
        return self.state.catalog.limits if self.state.catalog else CallerLimits()

    async def start(self) -> None:
        """Listen and follow the store; raise OSError if an address can't be used."""
        settings = self._settings
        for address, service in (
            (settings.callers_address, RequestService(self)),
            (settings.ready_address, StatusService(self)),
            (settings.directory_address, DirectoryService(self)),
        ):
            if address is not None:
                self._servers.append(await self._listen(address, service))
        if settings.hints_address is not None:
            await self._peering.open(settings.hints_address)
        self._fleet.start()
        self._keep_running(self._tick())
        self._log.write(
            Event.STARTED, "gateway", domain=settings.domain, callers=settings.callers_address
        )

    async def stop(self) -> None:
        """Leave the list, serve until callers have gone elsewhere, then close."""
        started_ms = self._clock.now_ms()
        self._is_leaving = True
        self._log.write(Event.STOPPING, "gateway", busy=self.connections.count_busy())
        self._keep_running(self._fleet.leave())
        self.connections.is_closing = True
        end_ms = started_ms + self._settings.grace_ms - STOP_RESERVE_MS
        linger_ms = started_ms + min(
            LIST_MEMORY * 1_000 * self._settings.keep_s, self._settings.grace_ms / 2
        )
        await self._wait_for_callers(linger_ms, end_ms)
        for server in self._servers:
            server.close()
        self.connections.close_idle()
        await self._wait_for_callers(0.0, end_ms)
        await asyncio.sleep(LAST_BYTES_MS / 1_000)
        for task in self._tasks:
            task.cancel()
        await self._fleet.stop()
        self._peering.close()
        self._pool.close()
        self._log.write(Event.STOPPED, "gateway", took_ms=round(self._clock.now_ms() - started_ms))
        self._log.flush()

    async def _wait_for_callers(self, from_ms: float, end_ms: float) -> None:
        """Return once no request is in progress after `from_ms`, or at `end_ms`."""
        while (now_ms := self._clock.now_ms()) < end_ms:
            if now_ms >= from_ms and not self.connections.count_busy():
                return
            await self.connections.wait_for_close(STOP_CHECK_MS)

    def reload(self, settings: GatewaySettings) -> None:
        """Take over settings that may change while the instance runs."""
        self._settings = settings
        self._extra_load.set_limits(settings.extra_load)
        self._slow_start.set_limits(settings.cold)
        self._log.write(Event.SETTINGS_RELOADED, "gateway")

    def serve(self, request: HttpRequest, connection: CallerConnection) -> Run | None:
        """Answer a caller's request now, or start its exchange."""
        catalog = self.state.catalog
        admitted = self._codec.read_request(request)
        if admitted is None:
            self._deny(connection, "", HttpAnswer(400, (), b"malformed request"), "malformed")
            return None
        if catalog is None:
            waited_ms = request.received_ms - self._started_ms
            retry_ms = min(MAX_UNREADY_RETRY_MS, max(MIN_UNREADY_RETRY_MS, waited_ms))
            answer = self._codec.refuse("no configuration yet", retry_ms)
            self._deny(connection, admitted.id, answer, "no_configuration")
            return None
        route = catalog.find_route(admitted.host, admitted.path)
        if route is None:
            self._deny(connection, admitted.id, HttpAnswer(404, (), b"no such route"), "no_route")
            return None
        path_ms = connection.estimate_round_trip_ms()
        deadline_ms = admitted.deadline_ms or route.timeout_ms
        routed = RoutedRequest(
            admitted.id,
            route,
            route.shards or (self._choose_service(route),),
            request.received_ms,
            request.received_ms + deadline_ms,
            admitted.content,
            admitted.is_head,
            UNKNOWN_PATH_MS if path_ms is None else path_ms,
        )
        version = catalog.version
        run: Run | None = None

        def deliver(outcome: Outcome) -> None:
            connection.answer(self._codec.make_answer(routed, outcome))
            self._note_outcome(routed, version, outcome, run)

        run = self._forwarder.open(routed, deliver)
        run.start()
        return run

    def resolve(self, request: HttpRequest) -> HttpAnswer:
        """Answer a caller that asks for addresses."""
        domain = self._codec.find_resolve_domain(request)
        if domain is None:
            return HttpAnswer(404, (), b"not found")
        addresses = self.state.members.list_addresses(domain, self.is_ready, self._peering.choose)
        return self._codec.make_addresses(addresses, self._settings.keep_s)

    def render_metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        now_ms = self._clock.now_ms()
        catalog = self.state.catalog
        gauges = {
            "configuration_version": catalog.version if catalog else 0,
            "state_age_seconds": (now_ms - self.state.heard_ms) / 1_000,
            "upstreams": len(self.state.registry),
            "instances": len(self.state.members.list_names()),
            "requests_in_progress": self.connections.count_busy(),
            "timer_lateness_seconds": self._peering.strain_ms / 1_000,
            "upstream_connections_opened": self._pool.opened,
        }
        return render(self.counts, gauges)

    def note_left(self, run: Run) -> None:
        """Take note that the caller of this request has left."""
        self.counts.add("requests", "caller_left")
        self._log.write(
            Event.CALLER_LEFT,
            "gateway",
            id=run.request.id,
            route=run.request.route.name,
            after_ms=round(self._clock.now_ms() - run.request.received_ms),
        )
        run.leave()

    async def _listen(self, address: Address, service: RequestHandler) -> asyncio.Server:
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            lambda: CallerConnection(service, self._clock, service.connections),
            *address,
            backlog=BACKLOG,
            reuse_address=True,
        )

    async def _tick(self) -> None:
        while True:
            slept_ms = self._clock.now_ms()
            await asyncio.sleep(TICK_MS / 1_000)
            try:
                self._maintain(self._clock.now_ms() - slept_ms - TICK_MS)
            except Exception as error:
                self._log.write(Event.INTERNAL_ERROR, "gateway", reason=repr(error))

    def _maintain(self, late_ms: float) -> None:
        """Do what is due now and then; the timer fired `late_ms` late."""
        self.connections.close_overdue(self._clock.now_ms())
        self._pool.close_stale()
        self._fleet.tick()
        self._peering.note_lateness(late_ms)
        self._peering.review()
        self._log.flush()

    def _keep_running(self, work) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._note_done)

    def _note_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.write(Event.INTERNAL_ERROR, "gateway", reason=repr(task.exception()))

    def _apply_change(self) -> None:
        self._peering.review()
        if self.state.catalog is not None:
            routes = {(route.name, route.targets) for route in self.state.catalog.routes}
            for key in self._rotations.keys() - routes:
                del self._rotations[key]

    def _choose_service(self, route: Route) -> str:
        if len(route.targets) == 1:
            return route.targets[0].service
        key = (route.name, route.targets)
        rotation = self._rotations.get(key)
        if rotation is None:
            rotation = WeightedRotation(route.targets, self._random.random())
            self._rotations[key] = rotation
        return rotation.choose()

    def _find_limits(self, service: str) -> ServiceLimits | None:
        return self.state.catalog.services.get(service) if self.state.catalog else None

    def _deny(
        self, connection: CallerConnection, request_id: str, answer: HttpAnswer, reason: str
    ) -> None:
        connection.answer(answer)
        self.counts.add("requests", reason)
        version = self.state.catalog.version if self.state.catalog else None
        self._log.write(
            Event.REQUEST_DENIED,
            "gateway",
            id=request_id,
            status=answer.status,
            reason=reason,
            version=version,
        )

    def _note_outcome(
        self, request: RoutedRequest, version: int, outcome: Outcome, run: Run | None
    ) -> None:
        took_ms = self._clock.now_ms() - request.received_ms
        fields = {}
        if isinstance(outcome, Answered):
            label = "partial" if outcome.missing else "answered"
            fields["missing"] = outcome.missing
            if outcome.missing and run:
                fields["missing_parts"] = run.exchange.describe_missing()
        else:
            label = type(outcome).__name__.lower()
            fields["reason"] = outcome.reason
        self.counts.add("requests", label)
        self.counts.observe(request.route.name, label, took_ms)
        self._log.write(
            Event.REQUEST_ENDED,
            "gateway",
            id=request.id,
            route=request.route.name,
            version=version,
            outcome=label,
            took_ms=round(took_ms, 1),
            calls=dict(run.reasons) if run else {},
            state_age_ms=round(self._clock.now_ms() - self.state.heard_ms),
            **fields,
        )


class _GatewayService(RequestHandler):
    def __init__(self, gateway: Gateway, connections: Connections) -> None:
        self._gateway = gateway
        self.connections = connections

    def get_limits(self) -> CallerLimits:
        return self._gateway.caller_limits

    def handle_disconnect(self, connection: CallerConnection) -> None:
        """Nothing is in progress on connections that are answered at once."""


class RequestService(_GatewayService):
    """Callers' requests."""

    def __init__(self, gateway: Gateway) -> None:
        super().__init__(gateway, gateway.connections)
        self._runs: dict[CallerConnection, Run] = {}

    def handle(self, request: HttpRequest, connection: CallerConnection) -> None:
        run = self._gateway.serve(request, connection)
        if run is not None and connection.is_busy:
            self._runs[connection] = run
        else:
            self._runs.pop(connection, None)

    def handle_disconnect(self, connection: CallerConnection) -> None:
        run = self._runs.pop(connection, None)
        if run is not None:
            self._gateway.note_left(run)


class DirectoryService(_GatewayService):
    """Callers that ask for addresses."""

    def __init__(self, gateway: Gateway) -> None:
        super().__init__(gateway, Connections())

    def handle(self, request: HttpRequest, connection: CallerConnection) -> None:
        connection.answer(self._gateway.resolve(request))


class StatusService(_GatewayService):
    """The platform's question whether this instance is ready, and the metrics."""

    def __init__(self, gateway: Gateway) -> None:
        super().__init__(gateway, Connections())

    def handle(self, request: HttpRequest, connection: CallerConnection) -> None:
        if request.target == METRICS_PATH:
            connection.answer(HttpAnswer(200, METRICS_HEADERS, self._gateway.render_metrics()))
            return
        status = 200 if self._gateway.is_ready else 503
        connection.answer(HttpAnswer(status, (), b"ready\n" if status == 200 else b"not ready\n"))
