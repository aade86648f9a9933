"""State machine of one caller's request: upstream calls, retries, hedges and the outcome.

An exchange has one part per shard of its route, or a single part if the route has no shards.
Times are in ms on one monotonic clock. Methods return the actions to perform, in order.
"""

import itertools
from collections.abc import Callable
from typing import NamedTuple

from .calls import (
    FIRST_CALL,
    NOT_RUN,
    Action,
    Answered,
    Call,
    CallFailure,
    Cancel,
    Failed,
    FailureKind,
    MissingPart,
    Outcome,
    Refused,
    Reply,
    Send,
)
from .catalog import Route
from .demand import Demand
from .extraload import ExtraLoad
from .hints import Hints
from .latencies import RouteLatencies
from .partialanswers import find_soft_deadline_ms, meets_min_coverage
from .partqueue import PartQueue
from .parts import Part
from .registry import Upstream
from .selection import Choice, Selector
from .sharing import Sharing, Shortage

# Maximum calls per part, including rejected ones; more would add load to a failing upstream.
MAX_CALLS = 5
# Time before the route's timeout or the caller's deadline that is reserved to send the answer.
TIMEOUT_MARGIN_MS = 15.0
# A call cancelled after this multiple of the late threshold counts as a slow one.
CANCELLED_LATE_FACTOR = 2.0
# Calls of a part without a delay between them, and the delay before the next one; it doubles with
# each further call.
CALLS_BEFORE_BACKOFF = 2
INITIAL_BACKOFF_MS = 10.0
# A call without an established connection after this time is replaced by one to another upstream.
CONNECT_TIMEOUT_MS = 60.0
# Interval at which a part that waits for upstream capacity checks again.
CAPACITY_RECHECK_MS = 5.0
# Rejections of one part in a row, from different upstreams if there are several, from which the
# whole service and not only one of its upstreams counts as out of capacity.
MIN_SERVICE_REJECTIONS = 2
# Retry delay sent to the caller when too few upstreams are listed, and for all other refusals.
RETRY_UNLISTED_MS = 400.0
RETRY_REJECTED_MS = 100.0
# Maximum retry delay when all upstreams are rate-limited: another instance may have a permit sooner
# than this one, and a limit may end.
MAX_RETRY_LIMITED_MS = 1_000.0
# Minimum delay of the timer for a part with open calls.
MIN_TIMER_DELAY_MS = 1.0


class ExchangeDependencies(NamedTuple):
    """Objects shared by all exchanges; `hints` reports late calls to other instances.

    `sharing` queues the parts that wait for room at a service.
    """

    selector: Selector
    extra_load: ExtraLoad
    latencies: RouteLatencies
    call_ids: itertools.count
    hints: Hints
    sharing: Sharing


class Exchange:
    """State machine of one request; it performs no input or output itself."""

    def __init__(
        self,
        route: Route,
        services: tuple[str, ...],
        received_ms: float,
        deadline_ms: float,
        dependencies: ExchangeDependencies,
        outside_ms: float = 0.0,
        demand: Demand | None = None,
        on_resume: Callable[[], None] = lambda: None,
    ) -> None:
        """Create one part per service; `deadline_ms` is the caller's deadline, a point in time.

        `outside_ms` is the part of the objective that passes outside this instance. `demand` orders
        the request among others that wait for room, by default by the priority of its route.
        `on_resume` is called when `handle_timer` is due earlier than planned.
        """
        self.route = route
        # The first shortage for which a part was refused.
        self.shortage: Shortage | None = None
        self.received_ms = received_ms
        self.deadline_ms = min(deadline_ms, received_ms + route.timeout_ms) - TIMEOUT_MARGIN_MS
        self.outcome: Outcome | None = None
        # Whether coverage suffices and the answer only waits for more parts or the soft deadline.
        self._is_waiting_for_more = False
        self._is_sharded = bool(route.shards)
        self.soft_deadline_ms = find_soft_deadline_ms(
            route, received_ms, outside_ms, dependencies.latencies.mean_overrun_ms
        )
        self._queue = PartQueue(
            dependencies.sharing,
            demand or Demand(route.priority),
            self.soft_deadline_ms,
            self.deadline_ms,
            on_resume,
        )
        self._dependencies = dependencies
        self._parts = [Part(service) for service in services]
        # Counters instead of scans of the parts: a query over 88 parts needs them at every reply.
        self._pending_count = len(self._parts)
        self._expected_count = len(self._parts)
        self._answered_count = 0
        self._late_threshold_ms = dependencies.latencies.find_late_threshold_ms(route, received_ms)
        self._calls: dict[int, Call] = {}
        self._retry_ms = RETRY_REJECTED_MS

    @property
    def answered_parts(self) -> int:
        """Return how many parts have a reply."""
        return self._answered_count

    @property
    def open_calls(self) -> list[Call]:
        """Return the calls still in progress."""
        return list(self._calls.values())

    def describe_missing(self) -> list[MissingPart]:
        """Return the parts without a reply, for logs."""
        return [
            MissingPart(part.service, tuple(part.tried), part.last_failure or "no_answer_in_time")
            for part in self._parts
            if part.reply is None
        ]

    def start(self, now_ms: float) -> list[Action]:
        """Start the first call of each part, or refuse the request; return the actions."""
        actions: list[Action] = []
        selector = self._dependencies.selector
        if now_ms >= self.deadline_ms:
            self.outcome = Refused("no_time_left", RETRY_REJECTED_MS)
            return actions
        if not self._is_sharded and not selector.is_listed(self._parts[0].service):
            self.outcome = Refused("no_upstream", RETRY_UNLISTED_MS)
            return actions
        if self._is_sharded:
            listed = sum(1 for part in self._parts if selector.is_listed(part.service))
            if listed == 0 or not self._meets_min_coverage(listed):
                self.outcome = Refused("too_few_shards", RETRY_UNLISTED_MS)
                return actions
        for part in self._parts:
            self._dependencies.extra_load.record_request(part.service, now_ms)
        for index in range(len(self._parts)):
            # Calls that are chosen here take permits, even if the outcome then makes them unneeded.
            if not self._can_reach_min_coverage():
                break
            self._start_call(index, now_ms, FIRST_CALL, actions)
        self._update_outcome(now_ms)
        return self._drop_unneeded_sends(actions, now_ms)

    def record_sent(self, call: Call) -> None:
        """Record that bytes of this call may have been sent."""
        call.is_sent = True

    def handle_reply(self, call: Call, reply: Reply, now_ms: float) -> None:
        """Handle a successful reply; it never starts another call."""
        self._remove_call(call, now_ms)
        latency_ms = now_ms - call.started_ms
        slowness = self._dependencies.selector.record_reply(
            call.upstream.id, call.id, self.route.name, now_ms
        )
        self._dependencies.selector.versions.record_reply(
            call.upstream, self.route.name, slowness, now_ms
        )
        if latency_ms > self._late_threshold_ms:
            self._dependencies.hints.record_answered(call.upstream.id, slowness)
        self._dependencies.latencies.add(self.route, now_ms, latency_ms)
        self._dependencies.sharing.record_reply(call.upstream.service, latency_ms)
        part = self._parts[call.part]
        if part.reply is None and self.outcome is None:
            part.reply = reply
            self._answered_count += 1
            self._finish_part(part)
            self._update_outcome(now_ms)

    def handle_failure(self, call: Call, failure: CallFailure, now_ms: float) -> list[Action]:
        """Handle a failed call; its retry starts at once or after a backoff."""
        self._remove_call(call, now_ms)
        kind = failure.kind
        self._dependencies.selector.record_failure(
            call.upstream.id,
            call.id,
            now_ms,
            kind in (FailureKind.UNREACHABLE, FailureKind.TIMED_OUT, FailureKind.MISDIRECTED),
        )
        if kind is FailureKind.MISDIRECTED:
            self._dependencies.selector.record_misdirected(call.upstream, now_ms)
        if kind not in NOT_RUN:
            self._dependencies.selector.versions.record_failure(call.upstream, self.route.name)
        part = self._parts[call.part]
        part.last_failure = kind.value
        self._record_rejections(part, kind, now_ms)
        if not call.is_sent or kind is FailureKind.MISDIRECTED:
            part.used_upstreams.discard(call.upstream.id)
        actions: list[Action] = []
        if self.outcome is not None or part.is_done:
            return actions
        if call.is_sent and kind not in NOT_RUN:
            part.possibly_run_calls += 1
        if failure.reply is not None and kind is FailureKind.ERROR:
            part.error_reply = failure.reply
        if not part.open_calls:
            self._retry_part(call, kind, now_ms, actions)
        self._update_outcome(now_ms)
        return self._drop_unneeded_sends(actions, now_ms)

    def _record_rejections(self, part: Part, kind: FailureKind, now_ms: float) -> None:
        part.rejections = part.rejections + 1 if kind is FailureKind.REJECTED else 0
        if part.rejections < MIN_SERVICE_REJECTIONS:
            return
        # The permits of rate-limited upstreams already state when they can take calls.
        if not self._dependencies.selector.list_limited_ids(part.service):
            self._dependencies.sharing.record_rejection(part.service, now_ms)

    def handle_timer(self, now_ms: float) -> list[Action]:
        """Replace or hedge late calls, resume waiting parts, and decide the outcome when due."""
        actions: list[Action] = []
        if self.outcome is not None:
            return actions
        for index, part in enumerate(self._parts):
            if part.is_done:
                continue
            if not part.open_calls:
                if now_ms >= part.resume_ms:
                    reason = FIRST_CALL if part.calls == 0 else "retry"
                    self._start_call(index, now_ms, reason, actions)
            else:
                self._replace_or_hedge(index, now_ms, actions)
        self._update_outcome(now_ms)
        return self._drop_unneeded_sends(actions, now_ms)

    def _drop_unneeded_sends(self, actions: list[Action], now_ms: float) -> list[Action]:
        """Remove calls from `actions` that the outcome makes unneeded.

        On a busy instance this may run long after the request's deadline. After a refusal, a call
        that is sent now would contradict the "not run" reported to the caller.
        """
        if self.outcome is None:
            return actions
        sends = [action.call for action in actions if isinstance(action, Send)]
        self._cancel(sends, now_ms)
        return [action for action in actions if isinstance(action, Cancel)]

    def next_timer_ms(self, now_ms: float) -> float:
        """Return the time in ms when `handle_timer` is due; replies never make it due sooner."""
        due_ms = self.deadline_ms
        if self._is_sharded and now_ms < self.soft_deadline_ms:
            due_ms = min(due_ms, self.soft_deadline_ms)
        for part in self._parts:
            if part.is_done:
                continue
            if not part.open_calls:
                due_ms = min(due_ms, max(part.resume_ms, now_ms))
            elif (part_due_ms := self._find_due_time(part)) is not None:
                due_ms = min(due_ms, max(part_due_ms, now_ms + MIN_TIMER_DELAY_MS))
        return due_ms

    def conclude(self, now_ms: float) -> None:
        """Decide the outcome from the replies so far: the instance stops before the deadline."""
        self.deadline_ms = min(self.deadline_ms, now_ms)
        self._update_outcome(now_ms)

    def cancel_unsent(self, now_ms: float) -> list[Action]:
        """Cancel the calls that have not been sent, since the request has an outcome.

        After a refusal they must not be sent: the refusal states that the request has not run.
        """
        return self._cancel([call for call in self._calls.values() if not call.is_sent], now_ms)

    def cancel(self, now_ms: float) -> list[Action]:
        """Cancel all calls: the caller has disconnected, or the losing calls have timed out."""
        return self._cancel(self.open_calls, now_ms)

    def _cancel(self, calls: list[Call], now_ms: float) -> list[Action]:
        """Cancel calls of a request that has ended, and remove its parts from their queues."""
        for part in self._parts:
            self._queue.leave(part)
        actions: list[Action] = []
        for call in calls:
            self._remove_call(call, now_ms)
            self._parts[call.part].possibly_run_calls += call.is_sent
            late_ms = CANCELLED_LATE_FACTOR * self._late_threshold_ms
            self._dependencies.selector.record_cancelled(call.upstream.id, call.id, now_ms, late_ms)
            if call.is_sent and now_ms - call.started_ms > late_ms:
                self._dependencies.selector.versions.record_abandoned(
                    call.upstream, self.route.name, now_ms
                )
            actions.append(Cancel(call))
        return actions

    def _find_due_time(self, part: Part) -> float | None:
        """Return when a part with open calls needs a replacement or a hedge, or None."""
        unsent = self._find_unsent(part)
        if unsent is not None:
            return unsent.started_ms + min(CONNECT_TIMEOUT_MS, self._late_threshold_ms)
        if part.is_hedged or not self.route.is_idempotent:
            return None
        return next(iter(part.open_calls.values())).started_ms + self._late_threshold_ms

    def _find_unsent(self, part: Part) -> Call | None:
        return next((call for call in part.open_calls.values() if not call.is_sent), None)

    def _replace_or_hedge(self, index: int, now_ms: float, actions: list[Action]) -> None:
        """Replace a call that has no connection in time, or hedge a late one."""
        part = self._parts[index]
        due_ms = self._find_due_time(part)
        if due_ms is None or now_ms < due_ms:
            return
        unsent = self._find_unsent(part)
        if unsent is not None:
            self._replace_unsent(unsent, now_ms, actions)
        else:
            self._hedge(index, now_ms, actions)

    def _replace_unsent(self, call: Call, now_ms: float, actions: list[Action]) -> None:
        """Replace an unsent call by one to another upstream."""
        part = self._parts[call.part]
        self._remove_call(call, now_ms)
        self._dependencies.selector.record_failure(call.upstream.id, call.id, now_ms, True)
        actions.append(Cancel(call))
        part.used_upstreams.discard(call.upstream.id)
        part.last_failure = FailureKind.UNREACHABLE.value
        if part.open_calls:
            return
        if part.calls >= MAX_CALLS:
            self._finish_part(part)
        else:
            self._start_call(call.part, now_ms, "connect", actions)

    def _hedge(self, index: int, now_ms: float, actions: list[Action]) -> None:
        part = self._parts[index]
        part.is_hedged = True
        first = next(iter(part.open_calls.values()))
        self._dependencies.hints.record_late(first.upstream.id, now_ms - first.started_ms, now_ms)
        if len(part.used_upstreams) >= self.route.max_upstreams:
            return
        selector = self._dependencies.selector
        if self._dependencies.sharing.is_congested(part.service, now_ms):
            return
        # A rate-limited upstream has no room for calls that only reduce latency.
        avoid = [*part.tried, *selector.list_limited_ids(part.service)]
        choice = selector.choose(part.service, now_ms, self._late_threshold_ms, avoid)
        if choice is None or not choice.is_healthy or not choice.is_within_pace:
            return
        if self._dependencies.extra_load.spend(part.service, now_ms, True):
            self._send(index, choice.upstream, now_ms, "hedge", actions)

    def _start_call(self, index: int, now_ms: float, reason: str, actions: list[Action]) -> None:
        """Call an upstream for this part; the part waits if none has capacity."""
        part = self._parts[index]
        if not self._queue.may_call(part, now_ms):
            self._finish_if_refused(part, now_ms)
            return
        reservation, part.reservation = part.reservation, None
        if reservation is not None and self._dependencies.selector.may_use(reservation, now_ms):
            choice = Choice(reservation.upstream, True)
        else:
            reservation = None
            choice = self._choose(part, now_ms)
            if self._wait_for_upstream(part, choice, now_ms):
                return
        if choice is None:
            self._finish_part(part)
            return
        if part.calls > 0 and reason == "retry":
            if not self._dependencies.extra_load.spend(part.service, now_ms, False):
                self._finish_part(part)
                return
        self._expected_count += choice.is_healthy - part.is_answer_expected
        part.is_answer_expected = choice.is_healthy
        self._send(index, choice.upstream, now_ms, reason, actions, reservation is not None)

    def _choose(self, part: Part, now_ms: float) -> Choice | None:
        """Return an upstream that has not been tried for this part, or else the best of them."""
        selector = self._dependencies.selector
        choice = None
        if len(part.used_upstreams) < self.route.max_upstreams:
            choice = selector.choose(part.service, now_ms, self._late_threshold_ms, part.tried)
        if choice is None and part.tried:
            # All have been tried: the best of them may have recovered.
            excluded = self._list_excluded(part)
            choice = selector.choose(part.service, now_ms, self._late_threshold_ms, excluded)
        return choice

    def _wait_for_upstream(self, part: Part, choice: Choice | None, now_ms: float) -> bool:
        """Make the part wait if no healthy upstream can accept it now; return whether it waits.

        A part that would get a permit at rate-limited upstreams too late does not wait.
        """
        if choice is not None and choice.is_healthy:
            return False
        selector = self._dependencies.selector
        excluded = self._list_excluded(part)
        latest_ms = self._find_latest_start_ms(part, now_ms)
        part.reservation = selector.reserve(part.service, now_ms, latest_ms, excluded)
        if part.reservation is not None:
            # In the queue it would delay parts that need no permit, and be resumed too early.
            self._queue.leave(part)
            part.resume_ms = part.reservation.at_ms
            return True
        if choice is not None:
            return False
        if not selector.is_listed(part.service):
            part.last_failure = part.last_failure or "no_upstream"
            return False
        wait_ms = selector.estimate_wait_ms(part.service, now_ms, excluded)
        if wait_ms is not None and now_ms + wait_ms > latest_ms:
            part.last_failure = part.last_failure or "limited"
            self._retry_ms = max(self._retry_ms, min(wait_ms, MAX_RETRY_LIMITED_MS))
            return False
        part.resume_ms = now_ms + CAPACITY_RECHECK_MS
        if part.calls == 0:
            self._queue.join(part, now_ms)
            self._finish_if_refused(part, now_ms)
        return True

    def _finish_if_refused(self, part: Part, now_ms: float) -> None:
        """Finish a part that was refused in its queue or has reached the deadline there."""
        if not self._queue.is_refused(part, now_ms):
            return
        part.last_failure = part.last_failure or "no_room"
        self._retry_ms = max(self._retry_ms, part.ticket.retry_ms)
        self.shortage = self.shortage or part.ticket.shortage
        self._finish_part(part)

    def _find_latest_start_ms(self, part: Part, now_ms: float) -> float:
        """Return until when a first call is useful: its reply should be in time for the objective.

        A part that has been called, or without which the answer lacks coverage, may also be late.
        """
        is_needed = self._is_sharded and not self._meets_min_coverage(
            self._answered_count + self._pending_count - 1
        )
        if part.calls > 0 or is_needed or now_ms >= self.soft_deadline_ms:
            return self.deadline_ms - self._late_threshold_ms
        return self.soft_deadline_ms - self._late_threshold_ms

    def _list_excluded(self, part: Part) -> list[str]:
        """Return the upstreams excluded because the part has reached its upstream limit."""
        if len(part.used_upstreams) < self.route.max_upstreams:
            return []
        listed = self._dependencies.selector.list_ids(part.service)
        return [name for name in listed if name not in part.used_upstreams]

    def _send(
        self,
        index: int,
        upstream: Upstream,
        now_ms: float,
        reason: str,
        actions: list[Action],
        is_reserved: bool = False,
    ) -> None:
        part = self._parts[index]
        self._queue.record_call(part, now_ms)
        call = Call(next(self._dependencies.call_ids), index, upstream, now_ms, reason)
        part.calls += 1
        part.open_calls[call.id] = call
        self._calls[call.id] = call
        part.used_upstreams.add(upstream.id)
        if upstream.id not in part.tried:
            part.tried.append(upstream.id)
        self._dependencies.selector.record_sent(upstream, call.id, now_ms, is_reserved)
        actions.append(Send(call))

    def _retry_part(
        self, call: Call, kind: FailureKind, now_ms: float, actions: list[Action]
    ) -> None:
        part = self._parts[call.part]
        may_retry = self.route.is_idempotent or not part.may_have_run
        if not may_retry or part.calls >= MAX_CALLS:
            self._finish_part(part)
            return
        part.is_hedged = False
        delay_ms = 0.0
        if part.calls >= CALLS_BEFORE_BACKOFF:
            delay_ms = INITIAL_BACKOFF_MS * 2 ** (part.calls - CALLS_BEFORE_BACKOFF)
        if delay_ms:
            part.resume_ms = now_ms + delay_ms
            return
        # A call that reached no upstream is replaced without spending budget.
        reason = "reconnect" if kind is FailureKind.UNREACHABLE else "retry"
        self._start_call(call.part, now_ms, reason, actions)

    def _remove_call(self, call: Call, now_ms: float) -> None:
        self._dependencies.sharing.record_call_end(self._parts[call.part].service, now_ms)
        self._calls.pop(call.id, None)
        self._parts[call.part].open_calls.pop(call.id, None)

    def _finish_part(self, part: Part) -> None:
        self._queue.leave(part)
        if not part.is_done:
            part.is_done = True
            self._pending_count -= 1
            self._expected_count -= part.is_answer_expected

    def _meets_min_coverage(self, count: int) -> bool:
        return meets_min_coverage(self.route, count, len(self._parts))

    def _can_reach_min_coverage(self) -> bool:
        """Return whether enough parts have a reply or may still get one."""
        if not self._is_sharded:
            return True
        return self._meets_min_coverage(self._answered_count + self._pending_count)

    def _update_outcome(self, now_ms: float) -> None:
        if self.outcome is not None:
            return
        if self._pending_count == 0:
            self.outcome = self._build_outcome(False)
        elif now_ms >= self.deadline_ms:
            self.outcome = self._build_outcome(True)
        elif not self._can_reach_min_coverage():
            self.outcome = self._build_outcome(False)
        elif self._is_sharded and self._pending_count < len(self._parts):
            is_due = now_ms >= self.soft_deadline_ms
            if not is_due:
                self._is_waiting_for_more = self._meets_min_coverage(self._answered_count)
            if (is_due or not self._expected_count) and self._meets_min_coverage(
                self._answered_count
            ):
                self.outcome = self._build_outcome(False)
                if is_due and self._is_waiting_for_more:
                    self._dependencies.latencies.record_overrun(now_ms - self.soft_deadline_ms)

    def _build_outcome(self, is_late: bool) -> Outcome:
        replies = tuple(part.reply for part in self._parts if part.reply is not None)
        if self._is_sharded:
            if self._meets_min_coverage(len(replies)):
                return Answered(replies, len(self._parts) - len(replies))
        elif replies:
            return Answered(replies, 0)
        elif self._parts[0].error_reply is not None:
            return Answered((self._parts[0].error_reply,), 0)
        reason = next((part.last_failure for part in self._parts if part.last_failure), "no_answer")
        if any(part.may_have_run for part in self._parts):
            return Failed(reason, is_late)
        return Refused(reason, self._retry_ms)
