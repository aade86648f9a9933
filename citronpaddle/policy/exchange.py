"""One caller's request: which upstreams to call, when to call again, when to answer and with what.

An exchange has one part per shard of its route, or a single part for a route to one upstream.
Times are in ms on one monotonic clock. Methods return the actions to take, in order.
"""

import itertools
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from .catalog import Route
from .extraload import ExtraLoad
from .hedging import LatencyWindow
from .hints import Hints
from .registry import Upstream
from .selection import Selector

# The reason of a part's first call; every other one is a repeat.
FIRST_CALL = "first"
# Calls of one part, rejected ones included; more would keep an upstream in trouble busy.
MAX_CALLS = 5
# The part of the objective kept for the merge and for delays on the way back, and the least of it.
ANSWER_MARGIN_SHARE = 0.03
ANSWER_MARGIN_MS = 5.0
# Share of a new observation in the mean lateness of answers, and the most of the objective that is
# kept for it: beyond, there is no time left for the upstreams.
OVERRUN_WEIGHT = 0.1
MAX_OVERRUN_SHARE = 0.2
# The route's time-out is kept with this margin for the answer.
TIMEOUT_MARGIN_MS = 15.0
# Before there are samples, a call counts as late after this share of the objective.
FIRST_LATE_SHARE = 0.35
LATE_QUANTILE = 0.88
MIN_SAMPLES = 30
SAMPLE_WINDOW_MS = 10_000.0
MIN_LATE_MS = 3.0
# A call to an upstream that rejected the last one waits this long, doubling each time.
FIRST_BACKOFF_MS = 10.0
# Without an established connection after this time, another upstream is tried in its place.
CONNECT_PATIENCE_MS = 60.0
# How often a part that waits for room at an upstream looks again.
ROOM_RECHECK_MS = 5.0
# What a caller is told to wait when no upstream is listed, and when all rejected the request.
RETRY_UNLISTED_MS = 400.0
RETRY_REJECTED_MS = 100.0


class FailureKind(StrEnum):
    """Why a call brought no answer."""

    UNREACHABLE = "unreachable"
    REJECTED = "rejected"
    MISDIRECTED = "misdirected"
    BROKEN = "broken"
    GARBLED = "garbled"
    TIMED_OUT = "timed_out"
    ERROR = "error"


# Faults that say for certain that the upstream has not run the call, and never will.
_NOT_RUN = frozenset({FailureKind.UNREACHABLE, FailureKind.REJECTED, FailureKind.MISDIRECTED})


class Reply(NamedTuple):
    """A complete answer of an upstream; `signature` proves to the caller who gave it."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    signature: bytes


class CallFailure(NamedTuple):
    """A call without a usable answer; `reply` is the upstream's own failure answer, if complete."""

    kind: FailureKind
    reply: Reply | None = None


@dataclass(slots=True)
class Call:
    """One call to an upstream; `is_sent` is set when its first byte may have left."""

    id: int
    part: int
    upstream: Upstream
    started_ms: float
    reason: str
    is_sent: bool = False


@dataclass(frozen=True, slots=True)
class Send:
    """Start this call."""

    call: Call


@dataclass(frozen=True, slots=True)
class Cancel:
    """End this call; nobody waits for it."""

    call: Call


@dataclass(frozen=True, slots=True)
class Answered:
    """The answer: the replies of the parts that are in, and how many are missing."""

    replies: tuple[Reply, ...]
    missing: int


@dataclass(frozen=True, slots=True)
class Refused:
    """Not run, and never will be; the caller may come back after `retry_ms`."""

    reason: str
    retry_ms: float


@dataclass(frozen=True, slots=True)
class Failed:
    """No answer, and an upstream may have run the request."""

    reason: str
    is_late: bool


Outcome = Answered | Refused | Failed
Action = Send | Cancel


@dataclass(slots=True)
class _Part:
    service: str
    reply: Reply | None = None
    error: Reply | None = None
    open: dict[int, Call] = field(default_factory=dict)
    tried: list[str] = field(default_factory=list)
    # Upstreams that got the request, of which a route allows so many.
    used: set[str] = field(default_factory=set)
    calls: int = 0
    resume_ms: float = 0.0
    # Ended calls that an upstream may have run.
    doubtful: int = 0
    is_done: bool = False
    is_hopeful: bool = True
    is_hedged: bool = False
    last_fault: str = ""

    @property
    def may_have_run(self) -> bool:
        """Return whether an upstream may have run a call of this part, or may yet."""
        return self.doubtful > 0 or any(call.is_sent for call in self.open.values())


class MissingPart(NamedTuple):
    """A part without an answer: its service, the upstreams that were called, the last fault."""

    service: str
    tried: tuple[str, ...]
    fault: str


class RouteLatencies:
    """When a call of a route counts as late, from the answer times of its calls."""

    def __init__(self) -> None:
        self._windows: dict[str, LatencyWindow] = {}
        self._late_ms: dict[str, tuple[float, float]] = {}
        self.overrun_ms = 0.0

    def note_overrun(self, late_ms: float) -> None:
        """Take note of how late an answer was decided that was due at a certain time."""
        self.overrun_ms += OVERRUN_WEIGHT * (late_ms - self.overrun_ms)

    def add(self, route: Route, now_ms: float, took_ms: float) -> None:
        """Count the time of one answer."""
        window = self._windows.get(route.name)
        if window is None:
            window = self._windows[route.name] = LatencyWindow(SAMPLE_WINDOW_MS)
        window.add(now_ms, took_ms)

    def find_late(self, route: Route, now_ms: float) -> float:
        """Return after how many ms a call of `route` counts as late."""
        cached = self._late_ms.get(route.name)
        if cached is not None and now_ms < cached[0]:
            return cached[1]
        window = self._windows.get(route.name)
        late_ms = None
        if window is not None:
            late_ms = window.compute_quantile(now_ms, LATE_QUANTILE, MIN_SAMPLES)
        if late_ms is None:
            late_ms = cached[1] if cached else FIRST_LATE_SHARE * route.objective_ms
        # A quantile above the first guess comes from many upstreams in trouble at once.
        late_ms = max(MIN_LATE_MS, min(late_ms, FIRST_LATE_SHARE * route.objective_ms))
        self._late_ms[route.name] = (now_ms + 250.0, late_ms)
        return late_ms


class ExchangeDependencies(NamedTuple):
    """What all exchanges of an instance share; `hints` tell other instances of late calls."""

    selector: Selector
    extra_load: ExtraLoad
    latencies: RouteLatencies
    call_ids: itertools.count
    hints: Hints


class Exchange:
    """The decisions for one request."""

    def __init__(
        self,
        route: Route,
        services: tuple[str, ...],
        received_ms: float,
        deadline_ms: float,
        tools: ExchangeDependencies,
        path_ms: float = 0.0,
    ) -> None:
        """Take the services to ask, one part each, and the caller's deadline `deadline_ms`.

        `path_ms` is how long the request and its answer are on the way between caller and here.
        """
        self.route = route
        self.received_ms = received_ms
        self.deadline_ms = min(deadline_ms, received_ms + route.timeout_ms) - TIMEOUT_MARGIN_MS
        self.outcome: Outcome | None = None
        # Whether the answer is only waiting for more parts until the objective is near.
        self._is_waiting_for_time = False
        self._is_gather = bool(route.shards)
        # A busy instance reads a request about as late as it decides on the answer.
        margin_ms = max(ANSWER_MARGIN_MS, ANSWER_MARGIN_SHARE * route.objective_ms)
        margin_ms += min(2.0 * tools.latencies.overrun_ms, MAX_OVERRUN_SHARE * route.objective_ms)
        self.soft_end_ms = received_ms + route.objective_ms - path_ms - margin_ms
        self._tools = tools
        self._parts = [_Part(service) for service in services]
        # Counted rather than looked up: a query of 88 parts asks at each of its replies.
        self._waiting = len(self._parts)
        self._hopeful = len(self._parts)
        self._parts_in = 0
        self._late_ms = tools.latencies.find_late(route, received_ms)
        self._calls: dict[int, Call] = {}

    @property
    def parts_in(self) -> int:
        """Return how many parts have an answer."""
        return self._parts_in

    @property
    def open_calls(self) -> list[Call]:
        """Return the calls that have not ended."""
        return list(self._calls.values())

    def describe_missing(self) -> list[MissingPart]:
        """Return the parts without an answer, for whoever asks why."""
        return [
            MissingPart(part.service, tuple(part.tried), part.last_fault or "no_answer_in_time")
            for part in self._parts
            if part.reply is None
        ]

    def start(self, now_ms: float) -> list[Action]:
        """Return the first calls."""
        actions: list[Action] = []
        selector = self._tools.selector
        if now_ms >= self.deadline_ms:
            self.outcome = Refused("no_time_left", RETRY_REJECTED_MS)
            return actions
        if not self._is_gather and not selector.is_listed(self._parts[0].service):
            self.outcome = Refused("no_upstream", RETRY_UNLISTED_MS)
            return actions
        if self._is_gather:
            listed = sum(1 for part in self._parts if selector.is_listed(part.service))
            if listed == 0 or not self._suffices(listed):
                self.outcome = Refused("too_few_shards", RETRY_UNLISTED_MS)
                return actions
        for index in range(len(self._parts)):
            self._tools.extra_load.note_request(self._parts[index].service, now_ms)
            self._call(index, now_ms, FIRST_CALL, actions)
        self._decide(now_ms)
        return actions

    def record_sent(self, call: Call) -> None:
        """Note that bytes of this call may have left."""
        call.is_sent = True

    def handle_reply(self, call: Call, reply: Reply, now_ms: float) -> None:
        """Take a good answer of an upstream; no call follows from it."""
        self._end(call)
        took_ms = now_ms - call.started_ms
        slowness = self._tools.selector.note_answer(
            call.upstream.id, call.id, self.route.name, now_ms
        )
        if took_ms > self._late_ms:
            self._tools.hints.note_answered(call.upstream.id, slowness)
        self._tools.latencies.add(self.route, now_ms, took_ms)
        part = self._parts[call.part]
        if part.reply is None and self.outcome is None:
            part.reply = reply
            self._parts_in += 1
            self._finish_part(part)
            self._decide(now_ms)

    def handle_failure(self, call: Call, failure: CallFailure, now_ms: float) -> list[Action]:
        """Take the end of a call without an answer; a repeat is due at once or later."""
        self._end(call)
        fault = failure.kind
        self._tools.selector.note_failure(
            call.upstream.id,
            call.id,
            now_ms,
            fault in (FailureKind.UNREACHABLE, FailureKind.TIMED_OUT, FailureKind.MISDIRECTED),
        )
        if fault is FailureKind.MISDIRECTED:
            self._tools.selector.note_misplaced(call.upstream, now_ms)
        part = self._parts[call.part]
        part.last_fault = fault.value
        if not call.is_sent or fault is FailureKind.MISDIRECTED:
            part.used.discard(call.upstream.id)
        actions: list[Action] = []
        if self.outcome is not None or part.is_done:
            return actions
        if call.is_sent and fault not in _NOT_RUN:
            part.doubtful += 1
        if failure.reply is not None and fault is FailureKind.ERROR:
            part.error = failure.reply
        if not part.open:
            self._repeat(call, fault, now_ms, actions)
        self._decide(now_ms)
        return self._drop_useless(actions, now_ms)

    def handle_timer(self, now_ms: float) -> list[Action]:
        """Hedge late calls, resume waiting parts, and answer when it is time."""
        actions: list[Action] = []
        if self.outcome is not None:
            return actions
        for index, part in enumerate(self._parts):
            if part.is_done:
                continue
            if not part.open:
                if now_ms >= part.resume_ms:
                    reason = FIRST_CALL if part.calls == 0 else "retry"
                    self._call(index, now_ms, reason, actions)
            else:
                self._review(index, now_ms, actions)
        self._decide(now_ms)
        return self._drop_useless(actions, now_ms)

    def _drop_useless(self, actions: list[Action], now_ms: float) -> list[Action]:
        """Take calls back that nobody needs with the outcome.

        A busy process may come here long after the request's time is over. With a refusal, a call
        that left now would make "not run" untrue.
        """
        if self.outcome is None:
            return actions
        sends = [action.call for action in actions if isinstance(action, Send)]
        self._cancel(sends, now_ms)
        return [action for action in actions if isinstance(action, Cancel)]

    def next_timer_ms(self, now_ms: float) -> float:
        """Return when `handle_timer` is due next; a reply alone never makes it due sooner."""
        due_ms = self.deadline_ms
        if self._is_gather and now_ms < self.soft_end_ms:
            due_ms = min(due_ms, self.soft_end_ms)
        for part in self._parts:
            if part.is_done:
                continue
            if not part.open:
                due_ms = min(due_ms, max(part.resume_ms, now_ms + ROOM_RECHECK_MS))
            elif (part_due_ms := self._find_due_time(part)) is not None:
                due_ms = min(due_ms, max(part_due_ms, now_ms + 1.0))
        return due_ms

    def cancel_unsent(self, now_ms: float) -> list[Action]:
        """End the calls that have not left: with the outcome nobody needs them.

        After a refusal they must not leave, since the caller was told that nothing ran.
        """
        return self._cancel([call for call in self._calls.values() if not call.is_sent], now_ms)

    def cancel(self, now_ms: float) -> list[Action]:
        """End everything: the caller has left, or the losing calls have had their time."""
        return self._cancel(self.open_calls, now_ms)

    def _cancel(self, calls: list[Call], now_ms: float) -> list[Action]:
        actions: list[Action] = []
        for call in calls:
            self._end(call)
            self._parts[call.part].doubtful += call.is_sent
            self._tools.selector.note_cancelled(
                call.upstream.id, call.id, now_ms, 2.0 * self._late_ms
            )
            actions.append(Cancel(call))
        return actions

    def _find_due_time(self, part: _Part) -> float | None:
        """Return when something is due for a part with open calls, or None."""
        waiting = self._find_unsent(part)
        if waiting is not None:
            return waiting.started_ms + min(CONNECT_PATIENCE_MS, self._late_ms)
        if part.is_hedged or not self.route.is_idempotent:
            return None
        return next(iter(part.open.values())).started_ms + self._late_ms

    def _find_unsent(self, part: _Part) -> Call | None:
        return next((call for call in part.open.values() if not call.is_sent), None)

    def _review(self, index: int, now_ms: float, actions: list[Action]) -> None:
        """Replace a call that finds no connection, or hedge a late one."""
        part = self._parts[index]
        due_ms = self._find_due_time(part)
        if due_ms is None or now_ms < due_ms:
            return
        waiting = self._find_unsent(part)
        if waiting is not None:
            self._replace(waiting, now_ms, actions)
        else:
            self._hedge(index, now_ms, actions)

    def _replace(self, call: Call, now_ms: float, actions: list[Action]) -> None:
        """Let another upstream take over a call of which nothing has left."""
        part = self._parts[call.part]
        self._end(call)
        self._tools.selector.note_failure(call.upstream.id, call.id, now_ms, True)
        actions.append(Cancel(call))
        part.used.discard(call.upstream.id)
        part.last_fault = FailureKind.UNREACHABLE.value
        if part.open:
            return
        if part.calls >= MAX_CALLS:
            self._finish_part(part)
        else:
            self._call(call.part, now_ms, "connect", actions)

    def _hedge(self, index: int, now_ms: float, actions: list[Action]) -> None:
        part = self._parts[index]
        part.is_hedged = True
        first = next(iter(part.open.values()))
        self._tools.hints.note_late(first.upstream.id, now_ms - first.started_ms, now_ms)
        if len(part.used) >= self.route.max_upstreams:
            return
        choice = self._tools.selector.choose(part.service, now_ms, self._late_ms, part.tried)
        if choice is None or not choice.is_promising:
            return
        if self._tools.extra_load.spend(part.service, now_ms, True):
            self._send(index, choice.upstream, now_ms, "hedge", actions)

    def _call(self, index: int, now_ms: float, reason: str, actions: list[Action]) -> None:
        """Call an upstream for this part; without room at one the part waits."""
        part = self._parts[index]
        selector = self._tools.selector
        choice = None
        if len(part.used) < self.route.max_upstreams:
            choice = selector.choose(part.service, now_ms, self._late_ms, part.tried)
        if choice is None and part.tried:
            # All have been tried: the one of them that looks best may be over its trouble.
            barred = self._list_barred(part)
            choice = selector.choose(part.service, now_ms, self._late_ms, barred)
        if choice is None:
            if not selector.is_listed(part.service):
                part.last_fault = part.last_fault or "no_upstream"
                self._finish_part(part)
                return
            part.resume_ms = now_ms + ROOM_RECHECK_MS
            return
        if part.calls > 0 and reason == "retry":
            if not self._tools.extra_load.spend(part.service, now_ms, False):
                self._finish_part(part)
                return
        self._hopeful += choice.is_promising - part.is_hopeful
        part.is_hopeful = choice.is_promising
        self._send(index, choice.upstream, now_ms, reason, actions)

    def _list_barred(self, part: _Part) -> list[str]:
        """Return the upstreams that the part may not use: it has used as many others already."""
        if len(part.used) < self.route.max_upstreams:
            return []
        listed = self._tools.selector.list_ids(part.service)
        return [name for name in listed if name not in part.used]

    def _send(
        self, index: int, upstream: Upstream, now_ms: float, reason: str, actions: list[Action]
    ) -> None:
        part = self._parts[index]
        call = Call(next(self._tools.call_ids), index, upstream, now_ms, reason)
        part.calls += 1
        part.open[call.id] = call
        self._calls[call.id] = call
        part.used.add(upstream.id)
        if upstream.id not in part.tried:
            part.tried.append(upstream.id)
        self._tools.selector.record_sent(upstream, call.id, now_ms)
        actions.append(Send(call))

    def _repeat(self, call: Call, fault: FailureKind, now_ms: float, actions: list[Action]) -> None:
        part = self._parts[call.part]
        may_repeat = self.route.is_idempotent or not part.may_have_run
        if not may_repeat or part.calls >= MAX_CALLS:
            self._finish_part(part)
            return
        part.is_hedged = False
        delay_ms = 0.0
        if part.calls >= 2:
            delay_ms = FIRST_BACKOFF_MS * 2 ** (part.calls - 2)
        if delay_ms:
            part.resume_ms = now_ms + delay_ms
            return
        # A call that reached no upstream costs none of the budget.
        reason = "reconnect" if fault is FailureKind.UNREACHABLE else "retry"
        self._call(call.part, now_ms, reason, actions)

    def _end(self, call: Call) -> None:
        self._calls.pop(call.id, None)
        self._parts[call.part].open.pop(call.id, None)

    def _finish_part(self, part: _Part) -> None:
        if not part.is_done:
            part.is_done = True
            self._waiting -= 1
            self._hopeful -= part.is_hopeful

    def _suffices(self, count: int) -> bool:
        # The share is a decimal fraction: 0.9 of 10 must not come out above 9.
        return count >= 1 and count >= self.route.min_coverage * len(self._parts) - 1e-9

    def _decide(self, now_ms: float) -> None:
        if self.outcome is not None:
            return
        if self._waiting == 0:
            self.outcome = self._build_outcome(False)
        elif now_ms >= self.deadline_ms:
            self.outcome = self._build_outcome(True)
        elif self._is_gather and self._waiting < len(self._parts):
            is_time = now_ms >= self.soft_end_ms
            if not is_time:
                self._is_waiting_for_time = self._suffices(self._parts_in)
            if (is_time or not self._hopeful) and self._suffices(self._parts_in):
                self.outcome = self._build_outcome(False)
                if is_time and self._is_waiting_for_time:
                    self._tools.latencies.note_overrun(now_ms - self.soft_end_ms)

    def _build_outcome(self, is_late: bool) -> Outcome:
        replies = tuple(part.reply for part in self._parts if part.reply is not None)
        if self._is_gather:
            if self._suffices(len(replies)):
                return Answered(replies, len(self._parts) - len(replies))
        elif replies:
            return Answered(replies, 0)
        elif self._parts[0].error is not None:
            return Answered((self._parts[0].error,), 0)
        reason = next((part.last_fault for part in self._parts if part.last_fault), "no_answer")
        if any(part.may_have_run for part in self._parts):
            return Failed(reason, is_late)
        return Refused(reason, RETRY_REJECTED_MS)
