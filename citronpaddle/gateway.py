"""An entry instance on the users' platform: accepts callers' requests and returns the answers.

The instance forwards requests to upstreams, returns the addresses of instances to callers, and
serves its readiness and metrics.
"""

import asyncio
import itertools
from collections.abc import Callable
from typing import Any

from .adapters.addresses import Address, join_address
from .adapters.callerconnections import CallerConnection, RequestHandler
from .adapters.connections import ConnectionPool, derive_receive_limits
from .adapters.counts import Counts, render
from .adapters.eventlog import Event, EventLog
from .adapters.httpserver import HttpAnswer, HttpRequest
from .adapters.intake import Intake, listen
from .adapters.openconnections import Connections
from .availability import StoreCallTimes
from .callercodec import CallerCodec
from .callerservices import DirectoryService, RequestService, StatusService
from .calllog import CallLog
from .clock import Clock
from .fleet import StoreFollower
from .forwarding import CallCodec, ExchangeRunner, Forwarder
from .gatewaysettings import GatewaySettings
from .peering import Peering
from .placement import PlacementReporter
from .policy.catalog import CallerLimits, ServiceLimits
from .policy.exchange import ExchangeDependencies
from .policy.extraload import ExtraLoad
from .policy.feed import Feed
from .policy.latencies import RouteLatencies
from .policy.members import Member, Members
from .policy.receiving import derive_limits
from .policy.registry import Registry
from .policy.selection import Selector
from .policy.sharing import Sharing
from .policy.slowstart import SlowStart
from .policy.stopping import schedule_stop
from .randomness import RandomSource
from .requestlog import RequestLog
from .rollouts import RolloutRunner, RolloutSettings
from .rolloutstate import RolloutCodec
from .serving import RequestServer
from .sharedstate import SharedState, StateDecoder
from .spending import SpendingLedger
from .statestore import StateStore
from .teamquotas import TeamQuotas

# Interval of the check for overdue connections and expired entries.
MAINTENANCE_INTERVAL_MS = 250.0
# The share of the time allowed for applying a new configuration that a change may wait for the
# next watch call.
WATCH_INTERVAL_SHARE = 0.3
# The same for an instance that relays the changes to others.
WATCHER_INTERVAL_SHARE = 0.2
# On a stop: the interval of the check for connections that have become idle, and the time for
# writing the last answers.
STOP_CHECK_MS = 50.0
# Metrics are rendered again after this time at the earliest: that takes some milliseconds, and
# anyone who reaches the address may ask for them.
METRICS_MAX_AGE_MS = 100.0
FINAL_WRITE_MS = 200.0


class Gateway:
    """An entry instance: its servers, connection pool, shared state and running exchanges."""

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
        rollout_codec: RolloutCodec,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._log = log
        self._codec = caller_codec
        self._is_leaving = False
        self._tasks: set[asyncio.Task] = set()
        self._servers: list[asyncio.Server] = []
        self._caller_server: asyncio.Server | None = None
        self.counts = Counts()
        self._rendered_metrics = b""
        self._rendered_ms = -METRICS_MAX_AGE_MS
        self.connections = Connections()
        limits = derive_limits(settings.memory_mb, settings.descriptors)
        self._intake = Intake(limits, clock, log, self.counts)
        own = Member(
            settings.name,
            join_address(settings.callers_address),
            settings.domain,
            join_address(settings.hints_address),
            settings.cores,
        )
        self.state = SharedState(Registry(), Members(own))
        self._services = (RequestService(self), StatusService(self), DirectoryService(self))
        self._request_log = RequestLog(clock, log, self.counts, self.state)
        self._slow_start = SlowStart(settings.cold, settings.name)
        receive_limits = derive_receive_limits(settings.memory_mb)
        store_pool = ConnectionPool(clock, receive_limits)
        store = make_store(settings.store_address, store_pool)
        self._rollouts = self._create_rollouts(store, rollout_codec)
        self._selector = Selector(
            self.state.registry,
            self._slow_start,
            self._find_limits,
            random.random,
            settings.domain,
            self._rollouts.routing if self._rollouts else None,
        )
        self._sharing = Sharing()
        self._extra_load = ExtraLoad(settings.extra_load, clock.now_ms())
        self._spending = SpendingLedger(clock, log, store, self.state, self._extra_load)
        self._quotas = TeamQuotas(
            clock, log, settings.quota, settings.name, f"{random.random():.12f}"
        )
        self._pool = ConnectionPool(clock, receive_limits)
        feed = Feed(settings.name)
        self._peering = Peering(
            clock,
            log,
            self.state,
            feed,
            self._selector,
            self._extra_load,
            self._slow_start,
            lambda sender, batch: self._store_follower.apply_batch(sender, batch),
            quotas=self._quotas,
        )
        latencies = RouteLatencies()
        self._placement = PlacementReporter(
            settings.name,
            clock,
            caller_codec,
            self.state,
            self._selector,
            self._sharing,
            self._quotas,
            latencies,
            lambda: self._request_server.accepts_requests,
        )
        dependencies = ExchangeDependencies(
            self._selector,
            self._extra_load,
            latencies,
            itertools.count(1),
            self._peering.hints,
            self._sharing,
        )
        self._forwarder = Forwarder(
            clock, call_codec, self._pool, dependencies, CallLog(clock, log, self.counts)
        )
        self._request_server = RequestServer(
            clock,
            random,
            caller_codec,
            self.state,
            self._quotas,
            self._forwarder,
            self._request_log,
            self.log_error,
        )
        self._store_follower = StoreFollower(
            clock,
            store,
            decoder,
            self.state,
            self._selector,
            log,
            random.random,
            self._handle_state_change,
            StoreCallTimes(
                lease_ms=max(StoreCallTimes().lease_ms, settings.min_lease_ms),
                watch_interval_ms=WATCH_INTERVAL_SHARE * settings.config_apply_ms,
                watcher_interval_ms=WATCHER_INTERVAL_SHARE * settings.config_apply_ms,
            ),
            feed,
            self._peering.relay,
            self._rollouts,
            self._spending,
        )

    @property
    def is_ready(self) -> bool:
        """Return whether the instance is ready for callers' requests."""
        return self.state.catalog is not None and not self._is_leaving

    @property
    def caller_limits(self) -> CallerLimits:
        """Return the limits for callers' requests, or the defaults without a configuration."""
        return self.state.catalog.limits if self.state.catalog else CallerLimits()

    async def start(self) -> None:
        """Listen and start following the store; raise OSError if an address can't be used."""
        settings = self._settings
        asyncio.get_running_loop().set_exception_handler(self._handle_loop_error)
        callers, ready, directory = self._services
        if settings.callers_address is not None:
            self._caller_server = await self._listen(settings.callers_address, callers)
        for address, service in (
            (settings.ready_address, ready),
            (settings.directory_address, directory),
        ):
            if address is not None:
                self._servers.append(await self._listen(address, service))
        if settings.hints_address is not None:
            await self._peering.open(settings.hints_address)
        self._store_follower.start()
        if self._rollouts is not None:
            self._start_task(self._rollouts.run())
        self._start_task(self._spending.run())
        self._start_task(self._run_maintenance())
        self._log.write(
            Event.STARTED, "gateway", domain=settings.domain, callers=settings.callers_address
        )

    async def stop(self) -> None:
        """Stop gracefully within the grace period.

        Remove the instance from the list of instances and serve until callers have switched to
        others. Then stop listening, refuse requests that still arrive, and wait until all requests
        in progress are answered. Near the end of the grace period, answer the rest without waiting
        for their upstreams.
        """
        started_ms = self._clock.now_ms()
        schedule = schedule_stop(
            started_ms, self._settings.grace_ms, 1_000 * self._settings.address_ttl_s
        )
        self._is_leaving = True
        self._log.write(
            Event.STOPPING,
            "gateway",
            busy=self.connections.count_busy(),
            accept_ms=round(schedule.accept_until_ms - started_ms),
            answer_ms=round(schedule.answer_until_ms - started_ms),
        )
        self._start_task(self._store_follower.leave())
        self.connections.is_closing = True
        await asyncio.sleep((schedule.accept_until_ms - started_ms) / 1_000)
        self._request_server.accepts_requests = False
        if self._caller_server is not None:
            self._caller_server.close()
        await self._close_callers(schedule.answer_until_ms)
        unanswered = self.connections.count_busy()
        self._forwarder.conclude_all()
        last_record = asyncio.ensure_future(self._spending.close())
        await self._close_callers(self._clock.now_ms() + FINAL_WRITE_MS)
        await last_record
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        await self._store_follower.stop()
        self._peering.close()
        self._pool.close()
        self._log.write(
            Event.STOPPED,
            "gateway",
            took_ms=round(self._clock.now_ms() - started_ms),
            unanswered=unanswered,
        )
        self._log.flush()

    async def _close_callers(self, end_ms: float) -> None:
        """Close callers' connections as they become idle, until none is open or `end_ms`.

        A connection with an answer that is not yet written counts as open.
        """
        while True:
            self.connections.close_idle()
            if not len(self.connections) or self._clock.now_ms() >= end_ms:
                return
            await self.connections.wait_for_close(STOP_CHECK_MS)

    def reload(self, settings: GatewaySettings) -> None:
        """Apply settings that may change while the instance runs."""
        self._settings = settings
        self._extra_load.set_limits(settings.extra_load)
        self._slow_start.set_limits(settings.cold)
        self._intake.set_limits(derive_limits(settings.memory_mb, settings.descriptors))
        self._quotas.set_limits(settings.quota)
        if self._rollouts is not None and settings.exposure is not None:
            self._rollouts.set_limits(settings.exposure)
        self._log.write(Event.SETTINGS_RELOADED, "gateway")

    def serve(self, request: HttpRequest, connection: CallerConnection) -> ExchangeRunner | None:
        """Answer a caller's request at once and return None, or return its started exchange."""
        return self._request_server.serve(request, connection)

    def resolve(self, request: HttpRequest) -> HttpAnswer:
        """Return the answer to a caller that requests addresses; 404 for any other request."""
        domain = self._codec.find_resolve_domain(request)
        if domain is None:
            return HttpAnswer(404, (), b"not found")
        addresses = self.state.members.list_addresses(
            domain, self.is_ready, self._peering.choose_active
        )
        return self._codec.make_address_list(addresses, self._settings.address_ttl_s)

    def read_metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format, at most `METRICS_MAX_AGE_MS` old."""
        now_ms = self._clock.now_ms()
        if now_ms - self._rendered_ms >= METRICS_MAX_AGE_MS:
            self._rendered_metrics = self.render_metrics()
            self._rendered_ms = now_ms
        return self._rendered_metrics

    def render_metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format, encoded."""
        now_ms = self._clock.now_ms()
        catalog = self.state.catalog
        gauges = {
            "configuration_version": catalog.version if catalog else 0,
            "store_revision": self.state.revision,
            "state_age_seconds": (now_ms - self.state.confirmed_ms) / 1_000,
            "upstreams": len(self.state.registry),
            "upstreams_limited": self._selector.count_limited(),
            "upstreams_paced": len(self._selector.paces),
            "instances": len(self.state.members.list_names()),
            "requests_in_progress": self.connections.count_busy(),
            "timer_lateness_seconds": self._peering.loop_lag_ms / 1_000,
            "upstream_connections_opened": self._pool.opened,
            "caller_connections": len(self._intake),
            "caller_held_bytes": self._intake.held_bytes,
        }
        if self._rollouts is not None:
            gauges["rollouts_running"] = self._rollouts.running
            gauges["rollout_target_calls"] = self._rollouts.target_calls
        return render(
            self.counts, gauges, self._quotas.count_refused(), self._sharing.count_waiting()
        )

    def explain_placement(self, request: HttpRequest) -> HttpAnswer:
        """Return where a request would go now, and why, or 400 to a malformed query."""
        return self._placement.answer(request)

    def log_error(self, error: BaseException) -> None:
        """Log an unexpected error; the instance continues to serve."""
        self._log.write(Event.INTERNAL_ERROR, "gateway", reason=repr(error))

    def handle_caller_left(self, runner: ExchangeRunner) -> None:
        """Record that the caller closed its connection, and cancel its request."""
        self._request_log.record_caller_left(runner.request)
        runner.abandon()

    async def _listen(self, address: Address, service: RequestHandler) -> asyncio.Server:
        return await listen(
            address,
            lambda: CallerConnection(service, self._clock, service.connections, self._intake),
        )

    async def _run_maintenance(self) -> None:
        while True:
            sleep_started_ms = self._clock.now_ms()
            await asyncio.sleep(MAINTENANCE_INTERVAL_MS / 1_000)
            try:
                self._maintain(self._clock.now_ms() - sleep_started_ms - MAINTENANCE_INTERVAL_MS)
            except Exception as error:
                self.log_error(error)

    def _maintain(self, loop_lag_ms: float) -> None:
        """Run the periodic checks; `loop_lag_ms` is how late their timer fired."""
        for service in self._services:
            service.connections.close_overdue(self._clock.now_ms())
        self._intake.report()
        self._pool.close_stale()
        self._store_follower.expire_entries()
        self._peering.record_loop_lag(loop_lag_ms)
        self._peering.review()
        self._log.flush()

    def _start_task(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_done)

    def _handle_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.log_error(task.exception())

    def _handle_loop_error(self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Log an error that no caller of ours can handle, such as one in a protocol callback."""
        self.log_error(context.get("exception") or RuntimeError(context["message"]))

    def _handle_state_change(self) -> None:
        self._quotas.set_catalog(self.state.catalog)
        self._peering.review()
        self._spending.handle_change()
        if self.state.catalog is not None:
            self._sharing.is_enabled = self.state.catalog.has_teams
            self._request_server.retain_routes(self.state.catalog.routes)

    def _create_rollouts(self, store: StateStore, codec: RolloutCodec) -> RolloutRunner | None:
        """Return the runner of roll-outs, or None if the settings have no bound for them."""
        settings = self._settings
        if settings.exposure is None:
            return None
        return RolloutRunner(
            RolloutSettings(settings.name, settings.domain, settings.exposure),
            self._clock,
            store,
            codec,
            self.state,
            self._log,
            self.counts,
            lambda: self._peering.share,
        )

    def _find_limits(self, service: str) -> ServiceLimits | None:
        return self.state.catalog.services.get(service) if self.state.catalog else None
