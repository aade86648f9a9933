"""Runs exchanges: calls upstreams over pooled connections and delivers the outcome."""

import asyncio
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

from .adapters.connections import ConnectionPool, Dispatch
from .adapters.httpclient import HttpFailure, HttpResponse, ResponseSink
from .clock import Clock
from .policy.calls import (
    FIRST_CALL,
    Action,
    Answered,
    Call,
    CallFailure,
    Cancel,
    FailureKind,
    Outcome,
    Reply,
    Send,
    UnknownLimit,
)
from .policy.catalog import Route, Team
from .policy.demand import Demand
from .policy.exchange import Exchange, ExchangeDependencies
from .policy.registry import Upstream

# After the answer, superseded calls may complete for this long, so that their connections can be
# reused instead of closed.
SUPERSEDED_CALL_TIMEOUT_MS = 250.0
# Maximum idle time of a reused connection. A request that must not run twice only uses a connection
# that was in use this recently: the upstream may be closing an older one at the same moment.
MAX_NON_IDEMPOTENT_IDLE_MS = 250.0
MAX_IDEMPOTENT_IDLE_MS = 3_600_000.0
# The reasons of failures caused by bytes that are no acceptable response.
MALFORMED_RESPONSE_REASONS = frozenset({"garbled", "oversized"})
# Failures with a response that does not tell the state of the called upstream: it is from another
# one, or spoiled.
UNTRUSTED_ANSWERS = frozenset({FailureKind.MISDIRECTED, FailureKind.GARBLED})


class CallCodec(ABC):
    """Encodes calls to upstreams and decodes their responses in the platform's format."""

    @abstractmethod
    def encode_call(self, request: Any, upstream: Upstream, remaining_ms: float) -> bytes:
        """Return the encoded call, which must end within `remaining_ms`."""

    @abstractmethod
    def is_response_to(self, request: Any, response: HttpResponse) -> bool:
        """Return whether the response belongs to this request and not to another one."""

    @abstractmethod
    def decode_response(
        self, request: Any, response: HttpResponse, is_part: bool
    ) -> Reply | CallFailure:
        """Return the decoded response or the failure; a part of a query has stricter rules."""

    @abstractmethod
    def read_limit(self, response: HttpResponse) -> float | UnknownLimit | None:
        """Return the rate in requests per second to which the upstream limits all instances."""


class RoutedRequest(NamedTuple):
    """A caller's request with its route; `content` is its form for the codec.

    `end_ms` is when the answer is due, on the monotonic clock. `outside_ms` is the part of the
    objective that passes before the request arrives and while its answer travels. `team` is the
    caller's team where callers are identified by keys. `demand` orders it among others that wait
    for room.
    """

    id: str
    route: Route
    services: tuple[str, ...]
    received_ms: float
    end_ms: float
    content: Any
    is_head: bool = False
    outside_ms: float = 0.0
    team: Team | None = None
    demand: Demand | None = None


class CallObserver(ABC):
    """Receives calls beyond the first of a part, and calls that failed."""

    @abstractmethod
    def record_repeated_call(self, request: RoutedRequest, call: Call) -> None:
        """Record a hedge, a retry or a call over another connection."""

    @abstractmethod
    def record_failed_call(self, request: RoutedRequest, call: Call, failure: CallFailure) -> None:
        """Record a call without a usable answer."""

    @abstractmethod
    def record_limit(self, call: Call, limit_per_s: float | None) -> None:
        """Record that the upstream of a call names another rate limit than before, or none."""


class ExchangeRunner:
    """Runs one exchange: sends and cancels its calls, and delivers its outcome once."""

    def __init__(
        self, forwarder: "Forwarder", request: RoutedRequest, deliver: Callable[[Outcome], None]
    ) -> None:
        self.request = request
        self.exchange = Exchange(
            request.route,
            request.services,
            request.received_ms,
            request.end_ms,
            forwarder.dependencies,
            request.outside_ms,
            request.demand,
            self._schedule_timer,
        )
        self.reasons: Counter[str] = Counter()
        self._forwarder = forwarder
        self._clock = forwarder.clock
        self._deliver: Callable[[Outcome], None] | None = deliver
        self._dispatches: dict[int, Dispatch] = {}
        self._timer: asyncio.Handle | None = None

    def start(self) -> None:
        """Send the first calls."""
        self._apply(self.exchange.start(self._clock.now_ms()))

    def conclude(self) -> None:
        """Deliver the outcome without waiting for further replies, unless it was delivered."""
        self.exchange.conclude(self._clock.now_ms())
        self._deliver_outcome()

    def abandon(self) -> None:
        """Cancel all calls without delivering an outcome; the caller has left."""
        self._deliver = None
        self._cancel_calls()

    def _apply(self, actions: list[Action]) -> None:
        # A call may fail while it is being sent; the actions that follow from it run after these.
        pending = list(actions)
        while pending:
            action = pending.pop(0)
            if isinstance(action, Send):
                self._send(action.call)
            elif isinstance(action, Cancel):
                self._cancel(action.call)
        self._finish_or_wait()

    def _send(self, call: Call) -> None:
        forwarder = self._forwarder
        self.reasons[call.reason] += 1
        if call.reason != FIRST_CALL:
            forwarder.observer.record_repeated_call(self.request, call)
        sink = ResponseSink(
            lambda response: forwarder.codec.is_response_to(self.request.content, response),
            lambda response: self._handle_response(call, response),
            lambda failure: self._handle_http_failure(call, failure),
        )
        is_idempotent = self.request.route.is_idempotent
        self._dispatches[call.id] = forwarder.pool.dispatch(
            call.upstream.address,
            lambda: self._encode(call),
            sink,
            MAX_IDEMPOTENT_IDLE_MS if is_idempotent else MAX_NON_IDEMPOTENT_IDLE_MS,
            self.request.is_head,
        )

    def _encode(self, call: Call) -> bytes:
        self.exchange.record_sent(call)
        remaining_ms = self.exchange.deadline_ms - self._clock.now_ms()
        return self._forwarder.codec.encode_call(self.request.content, call.upstream, remaining_ms)

    def _cancel(self, call: Call) -> None:
        dispatch = self._dispatches.pop(call.id, None)
        if dispatch is not None:
            dispatch.cancel()

    def _handle_response(self, call: Call, response: HttpResponse) -> None:
        self._dispatches.pop(call.id, None)
        is_part = bool(self.request.route.shards)
        result = self._forwarder.codec.decode_response(self.request.content, response, is_part)
        now_ms = self._clock.now_ms()
        if isinstance(result, Reply) or result.kind not in UNTRUSTED_ANSWERS:
            self._record_limit(call, response, now_ms)
        if isinstance(result, Reply):
            self.exchange.handle_reply(call, result, now_ms)
            if self.exchange.outcome is not None:
                self._deliver_outcome()
        else:
            self._handle_call_failure(call, result, now_ms)

    def _record_limit(self, call: Call, response: HttpResponse, now_ms: float) -> None:
        limit_per_s = self._forwarder.codec.read_limit(response)
        if isinstance(limit_per_s, UnknownLimit):
            return
        selector = self._forwarder.dependencies.selector
        if selector.record_limit(call.upstream.id, limit_per_s, call.started_ms, now_ms):
            self._forwarder.dependencies.hints.record_limit(call.upstream.id, limit_per_s)
            self._forwarder.observer.record_limit(call, limit_per_s)

    def _handle_http_failure(self, call: Call, failure: HttpFailure) -> None:
        self._dispatches.pop(call.id, None)
        if not failure.is_sent:
            failure_kind = FailureKind.UNREACHABLE
        else:
            failure_kind = (
                FailureKind.GARBLED
                if failure.reason in MALFORMED_RESPONSE_REASONS
                else FailureKind.BROKEN
            )
        self._handle_call_failure(call, CallFailure(failure_kind), self._clock.now_ms())

    def _handle_call_failure(self, call: Call, failure: CallFailure, now_ms: float) -> None:
        self.reasons[f"fault_{failure.kind.value}"] += 1
        self._forwarder.observer.record_failed_call(self.request, call, failure)
        self._apply(self.exchange.handle_failure(call, failure, now_ms))

    def _finish_or_wait(self) -> None:
        now_ms = self._clock.now_ms()
        if self.exchange.outcome is not None:
            self._deliver_outcome()
            return
        if self._timer is not None:
            self._timer.cancel()
        delay_ms = self.exchange.next_timer_ms(now_ms) - now_ms
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(0.0, delay_ms) / 1_000, self._handle_timer)

    def _schedule_timer(self) -> None:
        """Handle the timer in the next iteration of the event loop."""
        if self._deliver is None:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_soon(self._handle_timer)

    def _handle_timer(self) -> None:
        self._timer = None
        self._apply(self.exchange.handle_timer(self._clock.now_ms()))

    def _deliver_outcome(self) -> None:
        if self._deliver is None:
            return
        deliver, self._deliver = self._deliver, None
        for action in self.exchange.cancel_unsent(self._clock.now_ms()):
            self._cancel(action.call)
        deliver(self.exchange.outcome)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if (
            self._dispatches
            and self.request.route.shards
            and not isinstance(self.exchange.outcome, Answered)
        ):
            # The query is given up, so further replies are of no use.
            self._cancel_calls()
        elif self._dispatches:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(SUPERSEDED_CALL_TIMEOUT_MS / 1_000, self._cancel_calls)
        else:
            self._forwarder.runners.discard(self)

    def _cancel_calls(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for action in self.exchange.cancel(self._clock.now_ms()):
            self._cancel(action.call)
        self._forwarder.runners.discard(self)


class Forwarder:
    """Creates exchanges that share connections and what is known of the upstreams."""

    def __init__(
        self,
        clock: Clock,
        codec: CallCodec,
        pool: ConnectionPool,
        dependencies: ExchangeDependencies,
        observer: CallObserver,
    ) -> None:
        self.clock = clock
        self.codec = codec
        self.pool = pool
        self.dependencies = dependencies
        self.observer = observer
        self.runners: set[ExchangeRunner] = set()

    def create_runner(
        self, request: RoutedRequest, deliver: Callable[[Outcome], None]
    ) -> ExchangeRunner:
        """Return an exchange to start; `deliver` is called once, unless it is abandoned."""
        runner = ExchangeRunner(self, request, deliver)
        self.runners.add(runner)
        return runner

    def conclude_all(self) -> None:
        """Deliver the outcomes of all exchanges without waiting for further replies."""
        for runner in list(self.runners):
            runner.conclude()
