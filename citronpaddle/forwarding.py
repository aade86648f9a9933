"""Carries out exchanges: calls upstreams over kept connections and hands the outcome on."""

import asyncio
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

from .adapters.connections import ConnectionPool, Dispatch
from .adapters.httpclient import HttpFailure, HttpResponse, ResponseSink
from .clock import Clock
from .policy.catalog import Route
from .policy.exchange import (
    FIRST_CALL,
    Action,
    Call,
    CallFailure,
    Cancel,
    Exchange,
    ExchangeDependencies,
    FailureKind,
    Outcome,
    Reply,
    Send,
)
from .policy.registry import Upstream

# After the answer, calls that lost have this long to end, which keeps their connections in use.
LOSER_PATIENCE_MS = 250.0
# A request that must not run twice goes out on a connection that was in use this recently; an older
# one may have been closed by the upstream at this very moment.
FRESH_IDLE_MS = 250.0
ANY_IDLE_MS = 3_600_000.0


class CallCodec(ABC):
    """Writes calls to upstreams and reads their responses, in the platform's words."""

    @abstractmethod
    def encode_call(self, request: Any, upstream: Upstream, left_ms: float) -> bytes:
        """Return the bytes of a call that must end within `left_ms`."""

    @abstractmethod
    def is_own(self, request: Any, response: HttpResponse) -> bool:
        """Return False if the response belongs to another request."""

    @abstractmethod
    def decode_response(
        self, request: Any, response: HttpResponse, is_part: bool
    ) -> Reply | CallFailure:
        """Return what the response says; a part of a query has stricter rules."""


class RoutedRequest(NamedTuple):
    """A caller's request with its route; `content` is what the codec made of it.

    `path_ms` is how long the request and its answer are on the way between caller and here.
    """

    id: str
    route: Route
    services: tuple[str, ...]
    received_ms: float
    end_ms: float
    content: Any
    is_head: bool = False
    path_ms: float = 0.0


class CallObserver(ABC):
    """Who wants to know of calls beyond the first of a part, and of calls that failed."""

    @abstractmethod
    def note_repeat(self, request: RoutedRequest, call: Call) -> None:
        """Take note of a hedge, a retry or another connection."""

    @abstractmethod
    def note_fault(self, request: RoutedRequest, call: Call, failure: CallFailure) -> None:
        """Take note of a call without a usable answer."""


class Run:
    """One exchange in progress."""

    def __init__(
        self, forwarder: "Forwarder", request: RoutedRequest, deliver: Callable[[Outcome], None]
    ) -> None:
        self.request = request
        self.exchange = Exchange(
            request.route,
            request.services,
            request.received_ms,
            request.end_ms,
            forwarder.tools,
            request.path_ms,
        )
        self.reasons: Counter[str] = Counter()
        self._forwarder = forwarder
        self._clock = forwarder.clock
        self._deliver: Callable[[Outcome], None] | None = deliver
        self._dispatches: dict[int, Dispatch] = {}
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Send the first calls."""
        self._apply(self.exchange.start(self._clock.now_ms()))

    def leave(self) -> None:
        """End everything: the caller has left."""
        self._deliver = None
        self._end()

    def _apply(self, actions: list[Action]) -> None:
        # A call may fail while it is being sent; its actions wait until these are done.
        pending = list(actions)
        while pending:
            action = pending.pop(0)
            if isinstance(action, Send):
                self._send(action.call)
            elif isinstance(action, Cancel):
                self._cancel(action.call)
        self._check()

    def _send(self, call: Call) -> None:
        forwarder = self._forwarder
        self.reasons[call.reason] += 1
        if call.reason != FIRST_CALL:
            forwarder.observer.note_repeat(self.request, call)
        sink = ResponseSink(
            lambda response: forwarder.codec.is_own(self.request.content, response),
            lambda response: self._note_response(call, response),
            lambda failure: self._note_failure(call, failure),
        )
        is_idempotent = self.request.route.is_idempotent
        self._dispatches[call.id] = forwarder.pool.dispatch(
            call.upstream.address,
            lambda: self._encode(call),
            sink,
            ANY_IDLE_MS if is_idempotent else FRESH_IDLE_MS,
            self.request.is_head,
        )

    def _encode(self, call: Call) -> bytes:
        self.exchange.record_sent(call)
        left_ms = self.exchange.deadline_ms - self._clock.now_ms()
        return self._forwarder.codec.encode_call(self.request.content, call.upstream, left_ms)

    def _cancel(self, call: Call) -> None:
        dispatch = self._dispatches.pop(call.id, None)
        if dispatch is not None:
            dispatch.cancel()

    def _note_response(self, call: Call, response: HttpResponse) -> None:
        self._dispatches.pop(call.id, None)
        is_part = bool(self.request.route.shards)
        result = self._forwarder.codec.decode_response(self.request.content, response, is_part)
        now_ms = self._clock.now_ms()
        if isinstance(result, Reply):
            self.exchange.handle_reply(call, result, now_ms)
            if self.exchange.outcome is not None:
                self._finish()
        else:
            self._note_fault(call, result, now_ms)

    def _note_failure(self, call: Call, failure: HttpFailure) -> None:
        self._dispatches.pop(call.id, None)
        if not failure.is_sent:
            fault = FailureKind.UNREACHABLE
        else:
            fault = FailureKind.GARBLED if failure.reason == "garbled" else FailureKind.BROKEN
        self._note_fault(call, CallFailure(fault), self._clock.now_ms())

    def _note_fault(self, call: Call, failure: CallFailure, now_ms: float) -> None:
        self.reasons[f"fault_{failure.kind.value}"] += 1
        self._forwarder.observer.note_fault(self.request, call, failure)
        self._apply(self.exchange.handle_failure(call, failure, now_ms))

    def _check(self) -> None:
        now_ms = self._clock.now_ms()
        if self.exchange.outcome is not None:
            self._finish()
            return
        if self._timer is not None:
            self._timer.cancel()
        delay_ms = self.exchange.next_timer_ms(now_ms) - now_ms
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(0.0, delay_ms) / 1_000, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._apply(self.exchange.handle_timer(self._clock.now_ms()))

    def _finish(self) -> None:
        if self._deliver is None:
            return
        deliver, self._deliver = self._deliver, None
        for action in self.exchange.cancel_unsent(self._clock.now_ms()):
            self._cancel(action.call)
        deliver(self.exchange.outcome)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._dispatches:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(LOSER_PATIENCE_MS / 1_000, self._end)
        else:
            self._forwarder.runs.discard(self)

    def _end(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for action in self.exchange.cancel(self._clock.now_ms()):
            self._cancel(action.call)
        self._forwarder.runs.discard(self)


class Forwarder:
    """Runs exchanges with shared connections and shared knowledge of the upstreams."""

    def __init__(
        self,
        clock: Clock,
        codec: CallCodec,
        pool: ConnectionPool,
        tools: ExchangeDependencies,
        observer: CallObserver,
    ) -> None:
        self.clock = clock
        self.codec = codec
        self.pool = pool
        self.tools = tools
        self.observer = observer
        self.runs: set[Run] = set()

    def open(self, request: RoutedRequest, deliver: Callable[[Outcome], None]) -> Run:
        """Return an exchange to start; `deliver` gets its outcome once, unless it is left."""
        run = Run(self, request, deliver)
        self.runs.add(run)
        return run
