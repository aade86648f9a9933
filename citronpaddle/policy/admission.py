"""Admission control for one upstream: slow start, a bounded queue and load shedding.

Times are in ms on one monotonic clock. Each submitted call gets exactly one `Start` or `Refuse`,
from `submit` or a later method; a refused call was not run. A queued call starts only if at least
the baseline latency remains before its deadline; a call that finds a free slot always starts.
"""

from collections.abc import Hashable
from dataclasses import dataclass
from enum import StrEnum
from itertools import count
from math import inf
from typing import NamedTuple

from ..errors import ErrorKind, Failure
from ..models import UpstreamState
from .queueing import Decision, Queued, QueueEntry, Refuse, Start, WaitingQueue, refuse_overloaded

# A call that takes longer than this multiple of the baseline latency is late.
LATE_FACTOR = 2.0
# This many consecutive late calls that end in a cancellation indicate a cold upstream.
COLD_LATE_CANCELLATIONS = 2
# Weights of a new sample in the moving averages of the mean and of the baseline latency. A low
# baseline makes a spike detectable, so the baseline falls faster than it rises.
_MEAN_WEIGHT = 0.1
_BASELINE_FALL_WEIGHT = 0.2
_BASELINE_RISE_WEIGHT = 0.02


class CallResult(StrEnum):
    """How a call to an upstream ended.

    `good` is any regular reply, including one that reports a missing version. `refused` means that
    no connection was made, `no_reply` that the call may still be running: its deadline passed or a
    cancellation was not confirmed. `cancelled` is a confirmed cancellation.
    """

    GOOD = "good"
    FAILED = "failed"
    SHED = "shed"
    REFUSED = "refused"
    RESET = "reset"
    NO_REPLY = "no_reply"
    CANCELLED = "cancelled"


class AdmissionLimits(NamedTuple):
    """Admission limits of one upstream.

    `allowance`, the number of calls that may run at once, starts at 1 and rises by 1 after
    `good_replies_per_step` consecutive good replies, up to `slots`. It returns to 1 on signs of a
    cold start. `warm_up_ms` is the minimum time at an allowance of 1 after a suspected restart:
    without a baseline latency, replies alone cannot show the end of a cold start.
    `baseline_reset_ms` is how long every reply must be slow before its latency becomes the new
    baseline; it is longer than a cold start, whose slow replies must not count as good. After
    `idle_ms` without calls the allowance returns to 1.
    """

    slots: int
    queue_size: int = 64
    good_replies_per_step: int = 8
    spike_factor: float = 4.0
    # A shorter delay may be event loop lag.
    min_spike_ms: float = 10.0
    idle_ms: float = 10_000.0
    warm_up_ms: float = 3_000.0
    max_warm_up_ms: float = 60_000.0
    baseline_reset_ms: float = 30_000.0
    # The upstream stops a lost call at the deadline by its own clock, which starts later than ours.
    lost_margin_ms: float = 100.0


class LearnedState(NamedTuple):
    """State that an owner passes to the next owner; a latency is None if it was not observed."""

    allowance: int
    boot_id: str
    baseline_ms: float | None
    mean_ms: float | None


class LatencyEstimate:
    """Baseline latency of good replies, and mean latency for wait estimates, in ms."""

    def __init__(self, baseline_ms: float | None = None, mean_ms: float | None = None) -> None:
        self.baseline_ms = baseline_ms
        self.mean_ms = mean_ms
        self._slow_since_ms: float | None = None

    def add(
        self, now_ms: float, latency_ms: float, is_slow: bool, baseline_reset_ms: float
    ) -> None:
        """Record one reply; slow ones change the baseline only after `baseline_reset_ms`."""
        self.mean_ms = _update_average(self.mean_ms, latency_ms, _MEAN_WEIGHT)
        if not is_slow:
            self._slow_since_ms = None
            is_lower = self.baseline_ms is not None and latency_ms < self.baseline_ms
            self.baseline_ms = _update_average(
                self.baseline_ms,
                latency_ms,
                _BASELINE_FALL_WEIGHT if is_lower else _BASELINE_RISE_WEIGHT,
            )
        elif self._slow_since_ms is None:
            self._slow_since_ms = now_ms
        elif now_ms - self._slow_since_ms >= baseline_reset_ms:
            self.baseline_ms, self._slow_since_ms = latency_ms, None


def _update_average(estimate: float | None, sample: float, weight: float) -> float:
    return sample if estimate is None else estimate + weight * (sample - estimate)


@dataclass(slots=True)
class _RunningCall:
    deadline_ms: float
    started_ms: float
    reset_count: int
    is_overdue: bool = False


class UpstreamAdmission:
    """Assigns the slots of one upstream.

    The caller applies the returned decisions and reports the end of each started call.
    """

    def __init__(
        self, limits: AdmissionLimits, now_ms: float, learned: LearnedState | None = None
    ) -> None:
        """Start at an allowance of 1, or from `learned`; raise ValueError if `slots` is below 1."""
        if limits.slots < 1:
            raise ValueError(f"an upstream needs at least 1 slot, not {limits.slots}")
        self.limits = limits
        self.allowance = 1
        self.boot_id = ""
        self._latency = LatencyEstimate()
        self._queue = WaitingQueue(limits.queue_size)
        self._running: dict[Hashable, _RunningCall] = {}
        self._lost_until_ms: list[float] = []
        self._sequence_numbers = count()
        self._reset_count = 0
        self._consecutive_good = 0
        self._last_normal_start_ms = -inf
        self._consecutive_late = 0
        self._allowance_before_spike = 1
        self._last_active_ms = now_ms
        self._is_down = False
        self._must_recheck_queue = False
        self._raised_since_restart = False
        self._warm_up_ms = limits.warm_up_ms
        self._hold_until_ms = now_ms + limits.warm_up_ms
        if learned:
            self.allowance = min(max(1, learned.allowance), limits.slots)
            self.boot_id = learned.boot_id
            self._latency = LatencyEstimate(learned.baseline_ms, learned.mean_ms)
            if self.allowance > 1:
                self._hold_until_ms = now_ms

    # State

    @property
    def in_flight(self) -> int:
        """Return how many calls may be running, including calls whose end is unknown."""
        return len(self._running) + len(self._lost_until_ms)

    @property
    def queue_length(self) -> int:
        """Return the number of queued calls."""
        return len(self._queue)

    @property
    def state(self) -> UpstreamState:
        """Return `down` after a refused or reset connection, `warming` below the full allowance."""
        if self._is_down:
            return UpstreamState.DOWN
        if self.allowance < self.limits.slots:
            return UpstreamState.WARMING
        return UpstreamState.READY

    @property
    def is_latency_limited(self) -> bool:
        """Return whether only late calls lowered the allowance; normal replies restore it."""
        return self.allowance < self.limits.slots <= self._allowance_before_spike

    @property
    def is_saturated(self) -> bool:
        """Return whether a call submitted now would be queued."""
        return len(self._queue) > 0 or self.in_flight >= self.allowance

    def export_state(self) -> LearnedState:
        """Return the state that the next owner starts from."""
        latency = self._latency
        return LearnedState(self.allowance, self.boot_id, latency.baseline_ms, latency.mean_ms)

    def find_next_check(self) -> float | None:
        """Return the time in ms at which `poll` is due without other events; None if never."""
        times = list(self._lost_until_ms) if len(self._queue) else []
        deadline_ms = self._queue.find_next_deadline()
        if deadline_ms is not None:
            times.append(deadline_ms - self._baseline_ms)
        return min(times, default=None)

    # Calls

    def submit(
        self, now_ms: float, key: Hashable, priority: int, deadline_ms: float
    ) -> list[Decision]:
        """Return the decision on a new call, possibly with decisions on other calls.

        Raise ValueError if a call with this `key` is queued or running.
        """
        if key in self._running or key in self._queue:
            raise ValueError(f"call {key!r} is queued or running already")
        if deadline_ms <= now_ms:
            return [Refuse(key, Failure(ErrorKind.DEADLINE_PAST, "deadline past on arrival"))]
        self._lower_if_idle(now_ms)
        decisions = self.poll(now_ms)
        if not self.is_saturated:
            return [*decisions, self._start(now_ms, key, deadline_ms)]
        item = QueueEntry(priority, deadline_ms, next(self._sequence_numbers), key)
        wait_ms = self._estimate_wait(self._queue.count_ahead(item))
        if now_ms + wait_ms + self._baseline_ms >= deadline_ms:
            reason = f"cannot start in time (estimated wait {wait_ms:.0f} ms)"
            return [*decisions, refuse_overloaded(key, reason)]
        refusal = self._queue.add(item)
        if refusal:
            decisions.append(refusal)
        if key in self._queue:
            decisions.append(Queued(key, wait_ms))
        return decisions

    def finish(self, now_ms: float, key: Hashable, result: CallResult) -> list[Decision]:
        """Record how a started call ended and return the resulting decisions.

        Raise KeyError if no call with this `key` is running.
        """
        call = self._running.pop(key)
        self._last_active_ms = now_ms
        latency_ms = now_ms - call.started_ms
        if result in (CallResult.RESET, CallResult.NO_REPLY):
            self._lost_until_ms.append(call.deadline_ms + self.limits.lost_margin_ms)
        is_slow = self._is_spike(latency_ms)
        if result in (CallResult.REFUSED, CallResult.RESET):
            self._is_down = True
            self._begin_slow_start(now_ms)
        elif result is CallResult.SHED:
            self._reset_allowance()
        elif self._is_repeated_late_cancellation(result, latency_ms) or (
            is_slow and self._may_be_cold_start(call)
        ):
            self._lower_for_spike()
        if result is CallResult.GOOD:
            self._latency.add(now_ms, latency_ms, is_slow, self.limits.baseline_reset_ms)
            self._is_down = False
            # A reply shows no recovery if the allowance was lowered after its call started, which
            # includes a reduction that this reply itself caused.
            if call.reset_count == self._reset_count and not is_slow:
                self._restore_after_spike(latency_ms)
                self._count_good(now_ms)
            if not is_slow:
                self._last_normal_start_ms = max(self._last_normal_start_ms, call.started_ms)
        elif result is CallResult.FAILED:
            self._consecutive_good = 0
        return self.poll(now_ms)

    def cancel(self, now_ms: float, key: Hashable) -> list[Decision]:
        """Refuse a queued call; a running call keeps its slot until `finish`."""
        if self._queue.remove(key) is None:
            return self.poll(now_ms)
        refusal = Refuse(key, Failure(ErrorKind.CANCELLED, "cancelled in the queue"))
        return [refusal, *self.poll(now_ms)]

    def refuse_queued(self, failure: Failure) -> list[Decision]:
        """Refuse all queued calls with `failure`, for example when the lease ends."""
        return [Refuse(item.key, failure) for item in self._queue if self._queue.remove(item.key)]

    def record_boot_id(self, now_ms: float, boot_id: str) -> list[Decision]:
        """Record the boot id that the upstream reports; a changed one restarts slow start."""
        is_restart = self.boot_id not in ("", boot_id)
        self.boot_id = boot_id
        if is_restart:
            # Calls sent to the previous process ended with it.
            self._lost_until_ms.clear()
            self._begin_slow_start(now_ms)
        return self.poll(now_ms)

    def set_slots(self, now_ms: float, slots: int) -> list[Decision]:
        """Set the number of slots; raise ValueError if it is below 1."""
        if slots < 1:
            raise ValueError(f"an upstream needs at least 1 slot, not {slots}")
        self.limits = self.limits._replace(slots=slots)
        self.allowance = min(self.allowance, slots)
        return self.poll(now_ms)

    def poll(self, now_ms: float) -> list[Decision]:
        """Start queued calls as far as slots are free; refuse those that cannot start in time."""
        self._lost_until_ms = [end_ms for end_ms in self._lost_until_ms if end_ms > now_ms]
        self._check_overdue(now_ms)
        decisions: list[Decision] = list(self._queue.pop_expired(now_ms, self._baseline_ms))
        while self.in_flight < self.allowance and (item := self._queue.pop_first()):
            decisions.append(self._start(now_ms, item.key, item.deadline_ms))
        if self._must_recheck_queue:
            self._must_recheck_queue = False
            decisions += self._shed_late(now_ms)
        return decisions

    # Decisions

    @property
    def _baseline_ms(self) -> float:
        """Return the minimum time in ms before its deadline at which a queued call is started."""
        return self._latency.baseline_ms or 0.0

    def _start(self, now_ms: float, key: Hashable, deadline_ms: float) -> Start:
        self._running[key] = _RunningCall(deadline_ms, now_ms, self._reset_count)
        self._last_active_ms = now_ms
        return Start(key)

    def _estimate_wait(self, ahead: int) -> float:
        """Return the estimated wait in ms behind `ahead` queued calls; 0 without observations."""
        excess = max(0, self.in_flight - self.allowance)
        return (self._latency.mean_ms or 0.0) * (ahead + 1 + excess) / self.allowance

    def _shed_late(self, now_ms: float) -> list[Decision]:
        shed: list[Decision] = []
        for item in self._queue:
            wait_ms = self._estimate_wait(self._queue.count_ahead(item))
            if now_ms + wait_ms + self._baseline_ms >= item.deadline_ms:
                self._queue.remove(item.key)
                shed.append(refuse_overloaded(item.key, "cannot start in time: allowance lowered"))
        return shed

    def _count_good(self, now_ms: float) -> None:
        self._consecutive_good += 1
        is_ready = (
            self._consecutive_good >= self.limits.good_replies_per_step
            and now_ms >= self._hold_until_ms
        )
        if is_ready and self.allowance < self.limits.slots:
            self.allowance += 1
            self._consecutive_good = 0
            self._raised_since_restart = True

    # Cold start detection

    def _is_spike(self, latency_ms: float) -> bool:
        if self._latency.baseline_ms is None:
            return False
        limit_ms = self.limits.spike_factor * self._latency.baseline_ms
        return latency_ms > max(limit_ms, self.limits.min_spike_ms)

    def _may_be_cold_start(self, call: _RunningCall) -> bool:
        """Return whether a slow call may be caused by a cold start.

        A cold upstream is slow for all calls. If a call that started later was answered in normal
        time, the slow call is a straggler.
        """
        return call.started_ms >= self._last_normal_start_ms

    def _check_overdue(self, now_ms: float) -> None:
        """Lower the allowance for running calls that are already late, without their replies."""
        for call in self._running.values():
            if not call.is_overdue and self._is_spike(now_ms - call.started_ms):
                call.is_overdue = True
                if self._may_be_cold_start(call):
                    self._lower_for_spike()

    def _is_repeated_late_cancellation(self, result: CallResult, latency_ms: float) -> bool:
        """Return whether `COLD_LATE_CANCELLATIONS` consecutive late calls were cancelled.

        A call superseded by its hedge is cancelled before it counts as a latency spike. Without
        this check, hedges would hide that an upstream has become cold.
        """
        is_late = self._baseline_ms > 0 and latency_ms > LATE_FACTOR * self._baseline_ms
        if result is CallResult.CANCELLED and is_late and latency_ms > self.limits.min_spike_ms:
            self._consecutive_late += 1
            return self._consecutive_late >= COLD_LATE_CANCELLATIONS
        if result is CallResult.GOOD and not is_late:
            self._consecutive_late = 0
        return False

    def _lower_for_spike(self) -> None:
        before = max(self.allowance, self._allowance_before_spike)
        self._reset_allowance()
        self._allowance_before_spike = before

    def _restore_after_spike(self, latency_ms: float) -> None:
        """Restore the allowance after a spike if a call sent since was answered in normal time.

        A cold upstream answers every call slowly, so the late call was a straggler. When the
        allowance rose step by step instead, 2,367 of 2,879 late calls found no replica ready for
        a hedge.
        """
        if latency_ms <= LATE_FACTOR * self._baseline_ms:
            self.allowance = min(
                max(self.allowance, self._allowance_before_spike), self.limits.slots
            )
            self._allowance_before_spike = 1

    def _lower_if_idle(self, now_ms: float) -> None:
        if not self._running and now_ms - self._last_active_ms > self.limits.idle_ms:
            self._reset_allowance()

    def _begin_slow_start(self, now_ms: float) -> None:
        """Hold the allowance at 1 for the warm-up time; double it after a repeated restart.

        If the allowance was raised since the last restart and the hold ended recently, the
        upstream may have crashed because it was still cold.
        """
        if self._raised_since_restart:
            is_soon_after_hold = now_ms - self._hold_until_ms < self.limits.baseline_reset_ms
            doubled_ms = min(self._warm_up_ms * 2, self.limits.max_warm_up_ms)
            self._warm_up_ms = doubled_ms if is_soon_after_hold else self.limits.warm_up_ms
        self._raised_since_restart = False
        self._hold_until_ms = now_ms + self._warm_up_ms
        self._reset_allowance()

    def _reset_allowance(self) -> None:
        self._must_recheck_queue = self._must_recheck_queue or self.allowance > 1
        self.allowance = 1
        self._allowance_before_spike = 1
        self._consecutive_late = 0
        self._consecutive_good = 0
        self._reset_count += 1
