"""Serves callers' requests: admits or denies them, and starts the exchanges of those admitted."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from .adapters.callerconnections import CallerConnection
from .adapters.httpserver import HttpAnswer, HttpRequest
from .callercodec import CallerCodec, CallerRequest
from .clock import Clock
from .forwarding import ExchangeRunner, Forwarder, RoutedRequest
from .policy.callertimes import CallerTimes
from .policy.calls import Outcome, Refused
from .policy.catalog import Route, Team, WeightedRotation, WeightedService
from .policy.demand import make_demand
from .randomness import RandomSource
from .requestlog import RequestLog
from .sharedstate import SharedState
from .teamquotas import TeamQuotas

# Bounds of the retry time in refusals while no configuration is loaded. The retry time is how long
# the instance has waited for one: a start takes some hundred ms, and an outage of the store is
# expected to last as long again as it has lasted.
MIN_UNREADY_RETRY_MS = 300.0
MAX_UNREADY_RETRY_MS = 2_000.0
# The round-trip time to a caller if the kernel reports none: a usual one within a failure domain.
DEFAULT_ROUND_TRIP_MS = 5.0


class Denial(NamedTuple):
    """The answer to a request that is not passed on to an upstream, and the reason to log."""

    answer: HttpAnswer
    reason: str
    team: Team | None = None


class Admitted(NamedTuple):
    """A request to pass on to upstreams: its route, and its team where callers have keys."""

    route: Route
    team: Team | None


class RequestServer:
    """Serves callers' requests on the routes of the current configuration."""

    def __init__(
        self,
        clock: Clock,
        random: RandomSource,
        codec: CallerCodec,
        state: SharedState,
        quotas: TeamQuotas,
        forwarder: Forwarder,
        request_log: RequestLog,
        log_error: Callable[[BaseException], None],
    ) -> None:
        self._log_error = log_error
        self._clock = clock
        self._random = random
        self._codec = codec
        self._state = state
        self._quotas = quotas
        self._forwarder = forwarder
        self._request_log = request_log
        # False once a stop has reached the point from which requests are refused.
        self.accepts_requests = True
        self._started_ms = clock.now_ms()
        self._rotations: dict[tuple[str, tuple[WeightedService, ...]], WeightedRotation] = {}
        self._caller_times = CallerTimes()

    def serve(self, request: HttpRequest, connection: CallerConnection) -> ExchangeRunner | None:
        """Answer a caller's request at once and return None, or return its started exchange."""
        caller_request = self._codec.read_request(request)
        admission = self._admit(request, caller_request)
        if isinstance(admission, Denial):
            connection.answer(admission.answer)
            request_id = caller_request.id if caller_request else ""
            self._request_log.record_denied(
                request_id, admission.answer.status, admission.reason, admission.team
            )
            return None
        return self._start_exchange(request, caller_request, admission, connection)

    def retain_routes(self, routes: Iterable[Route]) -> None:
        """Remove the rotations and the statistics of callers of all other routes."""
        kept = {(route.name, route.targets) for route in routes}
        for key in self._rotations.keys() - kept:
            del self._rotations[key]
        self._caller_times.retain({name for name, _ in kept})

    def _admit(
        self, request: HttpRequest, caller_request: CallerRequest | None
    ) -> Admitted | Denial:
        """Return the route and team of a request, or the answer to one that is not passed on."""
        catalog = self._state.catalog
        if caller_request is None:
            return Denial(HttpAnswer(400, (), b"malformed request"), "malformed")
        if catalog is None:
            waited_ms = request.received_ms - self._started_ms
            retry_ms = min(MAX_UNREADY_RETRY_MS, max(MIN_UNREADY_RETRY_MS, waited_ms))
            answer = self._codec.make_refusal("no configuration yet", retry_ms)
            return Denial(answer, "no_configuration")
        route = catalog.find_route(caller_request.host, caller_request.path)
        if route is None:
            return Denial(HttpAnswer(404, (), b"no such route"), "no_route")
        team = catalog.find_team(caller_request.key) if caller_request.key else None
        if team is None and catalog.has_teams and not route.is_public:
            reason = "unknown_key" if caller_request.key else "no_key"
            return Denial(self._codec.make_unauthorized(), reason)
        if not self.accepts_requests:
            # Any other instance can serve the request at once.
            return Denial(self._codec.make_refusal("stopping", 0.0), "stopping")
        retry_ms = self._quotas.admit(team) if team is not None else 0.0
        if retry_ms > 0:
            return Denial(self._codec.make_over_quota(retry_ms), "over_quota", team)
        return Admitted(route, team)

    def _start_exchange(
        self,
        request: HttpRequest,
        caller_request: CallerRequest,
        admitted: Admitted,
        connection: CallerConnection,
    ) -> ExchangeRunner:
        route, team = admitted
        catalog = self._state.catalog
        round_trip_ms = connection.estimate_round_trip_ms()
        outside_ms = self._caller_times.estimate_outside_ms(
            route,
            caller_request.deadline_ms,
            DEFAULT_ROUND_TRIP_MS if round_trip_ms is None else round_trip_ms,
            connection.is_first,
        )
        deadline_ms = caller_request.deadline_ms
        if deadline_ms is None:
            deadline_ms = route.timeout_ms
        routed = RoutedRequest(
            caller_request.id,
            route,
            route.shards or (self._choose_service(route),),
            request.received_ms,
            request.received_ms + deadline_ms,
            self._codec.make_content(request, team.name if team else None, catalog.has_teams),
            caller_request.is_head,
            outside_ms,
            team,
            make_demand(route, team, catalog),
        )
        version = catalog.version
        admitted_ms = self._clock.now_ms()
        runner: ExchangeRunner | None = None

        def deliver(outcome: Outcome) -> None:
            try:
                connection.answer(self._codec.make_answer(routed, outcome))
                if isinstance(outcome, Refused):
                    self._quotas.give_back(team, admitted_ms)
                self._request_log.record_outcome(routed, version, outcome, runner)
            except Exception as error:
                # Without an answer the caller would wait until its deadline.
                self._log_error(error)
                connection.answer_and_close(HttpAnswer(502, (), b"internal error"))

        runner = self._forwarder.create_runner(routed, deliver)
        runner.start()
        return runner

    def _choose_service(self, route: Route) -> str:
        if len(route.targets) == 1:
            return route.targets[0].service
        key = (route.name, route.targets)
        rotation = self._rotations.get(key)
        if rotation is None:
            rotation = WeightedRotation(route.targets, self._random.random())
            self._rotations[key] = rotation
        return rotation.choose()
