"""One roll-out: moves the requests of a service to upstreams of another version, step by step.

In the trial a bounded share of the calls goes to the target version. In the move, shortly before
the end, most calls go there as far as the bound allows, so that the version is compared under load
and few calls are in progress at the other upstreams, which stop at once when the roll-out succeeds.
Every instance judges the version by the counts of all; one of them writes the decision. Times are
in ms.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from typing import NamedTuple

from .exposure import Exposure
from .judgement import (
    FINAL_THRESHOLDS,
    RUNNING_THRESHOLDS,
    CallCounts,
    Finding,
    Stratum,
    Tally,
    find_fault,
)
from .registry import Upstream

# How long before the deadline the decision is written: an instance reads the order up to one
# interval of the watch late, and another one may have to take over the write.
DECISION_LEAD_MS = 3_000.0
# Minimum duration of the move, in which all instances learn of it, calls to the other versions end
# and the results of the target version under load are reported. The decision also waits this long
# after a suspension: another instance may have found a fault meanwhile.
MOVE_MS = 3_000.0
# Upper bound of each of these two times as a share of the duration of the roll-out.
MAX_STEP_SHARE = 0.3
# During the move, one call in this many still goes to the other versions, for comparison.
CALLS_PER_COMPARISON = 5
# A version with fewer calls than `MIN_CALLS` cannot be compared: it succeeds with at most
# `MAX_BAD_OF_FEW_CALLS` bad ones.
MIN_CALLS = 10
MAX_BAD_OF_FEW_CALLS = 1
# Minimum slots of the target's upstreams, as a share of those of the other upstreams, which stop
# when the roll-out succeeds.
MIN_CAPACITY_SHARE = 0.5
# A call that takes at least this multiple of the baseline latency of its route is bad.
SLOW_FACTOR = 2.5


class RolloutOrder(NamedTuple):
    """The operator's request to move `service` to `target_version` within `duration_ms`."""

    service: str
    target_version: str
    duration_ms: float


class RolloutState(StrEnum):
    """The state of a roll-out that is reported to the operator."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    ROLLED_BACK = "rolled_back"


class RolloutStatus(NamedTuple):
    """The state of the roll-out to `target_version`."""

    state: RolloutState
    target_version: str


class RolloutRecord(NamedTuple):
    """What the instances share about a running roll-out, beside its status.

    `duration_ms` tells the order from others to the same version, `started_ms` is Unix time in ms.
    `other_versions` are those that the service had at the start, `barred_versions` those that
    earlier roll-outs have rejected or replaced.
    """

    target_version: str
    duration_ms: float
    started_ms: int
    is_moving: bool
    other_versions: tuple[str, ...]
    barred_versions: tuple[str, ...] = ()


class Progress(IntEnum):
    """How far a roll-out has come; it never goes back."""

    ORDERED = 0
    RUNNING = 1
    MOVING = 2
    ENDED = 3


class Step(StrEnum):
    """What is to be written next to the shared state of a roll-out, if anything."""

    NONE = "none"
    START = "start"
    # The store lacks a state that this instance knows: it is written again.
    RESTORE = "restore"
    MOVE = "move"
    SUCCEED = "succeed"
    ROLL_BACK = "roll_back"


class Decision(NamedTuple):
    """The next step, and why."""

    step: Step
    reason: str = ""


class Capacity(NamedTuple):
    """The slots of the upstreams that may be used, by side."""

    target_slots: int
    other_slots: int


@dataclass(slots=True)
class Rollout:
    """One instance's view of a roll-out.

    `state` is None until it is written or read. `is_suspended` is set while the store does not
    answer, so that a decision could be missed. `has_fault` is set once this instance has judged the
    target version as bad; it then sends no more calls there, even before the decision is shared.
    """

    order: RolloutOrder
    exposure: Exposure
    state: RolloutState | None = None
    is_moving: bool = False
    # The times in ms from the order to the move, and to the end of the last suspension.
    moved_after_ms: float = 0.0
    resumed_after_ms: float = 0.0
    is_suspended: bool = False
    has_fault: bool = False
    # The share of its duration (0 to 1) that had passed at the last review.
    elapsed_share: float = 0.0
    # The versions to be replaced; without any, calls to the target version are not limited.
    other_versions: set[str] = field(default_factory=set)
    # The versions that get no calls: earlier roll-outs have rejected or replaced them.
    barred_versions: set[str] = field(default_factory=set)
    tally: Tally = field(default_factory=Tally)
    peer_tallies: dict[str, Tally] = field(default_factory=dict)
    # All results of this instance's calls to the target version, also those too old to be judged.
    target_calls: int = 0
    target_bad: int = 0
    _calls: int = 0
    _finding: Finding | None = None
    _is_judged: bool = False

    @property
    def is_running(self) -> bool:
        """Return whether the roll-out has not ended."""
        return self.state in (None, RolloutState.RUNNING)

    @property
    def progress(self) -> Progress:
        """Return how far the roll-out has come."""
        if self.state is None:
            return Progress.ORDERED
        if not self.is_running:
            return Progress.ENDED
        return Progress.MOVING if self.is_moving else Progress.RUNNING

    def group(
        self, upstreams: tuple[Upstream, ...], tried: Collection[str] = ()
    ) -> tuple[tuple[Upstream, ...], ...]:
        """Return the upstreams that may get the next call, in groups, the preferred one first.

        A retry or a hedge prefers the other versions, since a route limits the calls of a request.
        """
        if self.barred_versions:
            upstreams = tuple(one for one in upstreams if one.version not in self.barred_versions)
        if self.state is RolloutState.SUCCEEDED:
            return (tuple(one for one in upstreams if one.version not in self.other_versions),)
        target = self.order.target_version
        others = tuple(one for one in upstreams if one.version != target)
        if self.state is RolloutState.ROLLED_BACK:
            return (others,)
        if not others and not self.other_versions:
            return (upstreams,)
        if self.has_fault or self.is_suspended or not self._may_call_target():
            return (others,)
        targets = tuple(one for one in upstreams if one.version == target)
        if tried or (self.is_moving and self._calls % CALLS_PER_COMPARISON == 0):
            return others, targets
        return targets, others

    def _may_call_target(self) -> bool:
        return self.exposure.permits(self.is_moving, self.elapsed_share)

    def list_barred(self) -> set[str]:
        """Return the versions that get no calls if another order follows this one."""
        if self.state is RolloutState.SUCCEEDED:
            return self.barred_versions | self.other_versions
        return self.barred_versions | {self.order.target_version}

    def record_sent(self, upstream: Upstream) -> None:
        """Record a call to an upstream of the service."""
        self._calls += 1
        if upstream.version == self.order.target_version:
            self.exposure.sent += 1

    def record_answer(self, upstream: Upstream, stratum: Stratum, is_bad: bool) -> None:
        """Record that an upstream has received a call, and whether its result is bad."""
        self.exposure.answered += 1
        if upstream.version == self.order.target_version:
            counts = CallCounts(target=1, target_bad=is_bad)
            self.target_calls += 1
            self.target_bad += is_bad
            self._is_judged = False
        else:
            counts = CallCounts(other=1, other_bad=is_bad)
        self.tally.add(stratum, counts)

    def set_peer_tallies(self, tallies: dict[str, Tally]) -> None:
        """Set the tallies of the other instances, by instance."""
        self.peer_tallies = tallies
        self._is_judged = False

    def merge_tallies(self, newest_span: int) -> Tally:
        """Return the calls of all instances in the newest `MAX_SPANS` spans."""
        self.tally.remove_old_spans(newest_span)
        merged = Tally(self.tally.list_rows())
        for tally in self.peer_tallies.values():
            merged.merge(tally)
        merged.remove_old_spans(newest_span)
        return merged

    def judge(self, newest_span: int) -> Finding | None:
        """Judge the target version by the calls of all instances; set `has_fault` if it is bad."""
        # Without calls to the target nothing is judged, but those to other versions are counted.
        self.tally.remove_old_spans(newest_span)
        if not self._is_judged:
            self._is_judged = True
            tally = self.merge_tallies(newest_span)
            self._finding = find_fault(tally, newest_span, RUNNING_THRESHOLDS)
            self.has_fault = self.has_fault or self._finding is not None
        return self._finding

    def plan_step(
        self, elapsed_ms: float, newest_span: int, capacity: Capacity, finding: Finding | None
    ) -> Decision:
        """Return the next step, `elapsed_ms` after the order; `finding` is what `judge` found."""
        if not self.is_running:
            return Decision(Step.NONE)
        if self.state is None:
            return Decision(Step.START)
        if finding is not None:
            return Decision(Step.ROLL_BACK, f"bad on {finding.scope}")
        duration_ms = self.order.duration_ms
        decide_ms = duration_ms - min(DECISION_LEAD_MS, MAX_STEP_SHARE * duration_ms)
        move_ms = min(MOVE_MS, MAX_STEP_SHARE * duration_ms)
        if not self.is_moving:
            return Decision(Step.MOVE if elapsed_ms >= decide_ms - move_ms else Step.NONE)
        ready_ms = max(self.moved_after_ms, self.resumed_after_ms) + move_ms
        if self.is_suspended or elapsed_ms < max(decide_ms, ready_ms):
            return Decision(Step.NONE)
        return self._decide(newest_span, capacity)

    def _decide(self, newest_span: int, capacity: Capacity) -> Decision:
        """Return how the roll-out ends at its deadline."""
        if not capacity.target_slots:
            return Decision(Step.ROLL_BACK, "no upstream of the target version is listed")
        if capacity.target_slots < MIN_CAPACITY_SHARE * capacity.other_slots:
            return Decision(Step.ROLL_BACK, "too few upstreams of the target version")
        tally = self.merge_tallies(newest_span)
        total = tally.sum()
        finding = find_fault(tally, newest_span, FINAL_THRESHOLDS)
        if finding is not None:
            return Decision(Step.ROLL_BACK, f"bad on {finding.scope}")
        if not total.target and total.other and self.other_versions:
            return Decision(Step.ROLL_BACK, "no call reached the target version")
        if total.target < MIN_CALLS and total.target_bad > MAX_BAD_OF_FEW_CALLS:
            return Decision(Step.ROLL_BACK, "bad on the few calls that reached it")
        return Decision(Step.SUCCEED, "as good as the other versions")
