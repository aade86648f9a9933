"""Admission must not overload a cold upstream, nor report two outcomes for one call."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from citronpaddle.errors import ErrorKind, RunState
from citronpaddle.policy.admission import (
    AdmissionLimits,
    CallResult,
    LearnedState,
    UpstreamAdmission,
)
from citronpaddle.policy.queueing import Queued, Refuse, Start

LIMITS = AdmissionLimits(slots=4, queue_size=5)
SERVICE_MS = 10.0
COLD_FACTOR = 8
# Shorter than `warm_up_ms`, the minimum time at an allowance of 1.
COLD_MS = 2_500.0
# Slow replies indicate a cold start only after this many replies of a warm upstream.
WARM_REPLIES = 20


class AdmissionMachine(RuleBasedStateMachine):
    """Runs `UpstreamAdmission` against a model that allows one call at a time while cold."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.admission = UpstreamAdmission(LIMITS, self.now)
        self.keys = 0
        self.boots = 1
        self.deadlines = {}
        self.outcomes = {}
        self.running = {}  # key -> (started, ends, accepted since the upstream became cold)
        self.cold_until = COLD_MS
        self.is_cold_start_visible = True
        self.warm_replies = 0
        self.violations = []
        self.apply(self.admission.record_boot_id(self.now, "boot-1"))

    @initialize(has_learned_state=st.booleans())
    def take_over(self, has_learned_state):
        if has_learned_state:
            learned = LearnedState(LIMITS.slots, "boot-1", SERVICE_MS, SERVICE_MS)
            self.admission = UpstreamAdmission(LIMITS, self.now, learned)
            self.cold_until, self.warm_replies = 0.0, WARM_REPLIES

    def apply(self, decisions):
        for decision in decisions:
            if isinstance(decision, Queued):
                continue
            assert decision.key not in self.outcomes, "two outcomes for one call"
            self.outcomes[decision.key] = decision
            if isinstance(decision, Start):
                self.accept(decision.key)
            else:
                state = decision.failure.answer.run_state
                is_cancelled = decision.failure.kind is ErrorKind.CANCELLED
                assert state is RunState.NOT_RUN or is_cancelled
        # Started calls are counted at once, so this check covers each start.
        assert len(self.running) <= self.admission.in_flight

    def accept(self, key):
        assert self.now < self.deadlines[key], "started after its deadline"
        is_cold = self.now < self.cold_until
        cold_starts = [call[0] for call in self.running.values() if call[2]]
        # A call that is this late indicates a cold start before its reply arrives.
        is_late = any(self.now - started > 5 * SERVICE_MS for started in cold_starts)
        self.is_cold_start_visible |= is_late and self.warm_replies >= WARM_REPLIES
        if is_cold and self.is_cold_start_visible and cold_starts:
            self.violations.append(f"second call at {self.now} ms, cold until {self.cold_until} ms")
        service_ms = SERVICE_MS * (COLD_FACTOR if is_cold else 1) + self.keys % 3
        self.running[key] = (self.now, self.now + service_ms, is_cold)

    @rule(priority=st.integers(0, 3), left_ms=st.integers(-1, 300), times=st.integers(1, 4))
    def submit(self, priority, left_ms, times):
        for _ in range(times):
            self.keys += 1
            self.deadlines[self.keys] = self.now + left_ms
            running = len(self.running)
            self.apply(self.admission.submit(self.now, self.keys, priority, self.now + left_ms))
            if len(self.running) > running:
                assert self.admission.in_flight <= self.admission.allowance

    @rule(by_ms=st.sampled_from([1.0, 5.0, 20.0, 100.0, 600.0]))
    def advance(self, by_ms):
        end = self.now + by_ms
        while True:
            check = self.admission.find_next_check()
            ends = [call[1] for call in self.running.values()]
            times = [time for time in [*ends, check] if time is not None and time <= end]
            if not times:
                break
            self.now = max(self.now, min(times))
            self.apply(self.admission.poll(self.now))
            check = self.admission.find_next_check()
            assert check is None or check > self.now, "the timer is due again immediately"
            for key in [key for key, call in self.running.items() if call[1] <= self.now]:
                self.reply(key)
        self.now = end

    def reply(self, key):
        if key not in self.running:
            return
        started, _, was_cold = self.running.pop(key)
        self.warm_replies += not was_cold
        self.is_cold_start_visible |= was_cold and self.warm_replies >= WARM_REPLIES
        is_late = self.deadlines[key] <= self.now
        result = CallResult.NO_REPLY if is_late else CallResult.GOOD
        self.apply(self.admission.finish(self.now, key, result))

    @rule(rounds=st.integers(10, 80), pause_ms=st.sampled_from([3.0, 20.0, 60.0]))
    def serve_steadily(self, rounds, pause_ms):
        for _ in range(rounds):
            self.submit(1, 200, 2)
            self.advance(pause_ms)

    @rule()
    def restart(self):
        """The upstream restarts cold; its owner sees resets or, later, the new boot id."""
        self.boots += 1
        self.cold_until, self.is_cold_start_visible = self.now + COLD_MS, bool(self.running)
        killed_calls, self.running = list(self.running), {}
        for key in killed_calls:
            self.apply(self.admission.finish(self.now, key, CallResult.RESET))

    @rule()
    def poll_index(self):
        self.is_cold_start_visible |= self.admission.boot_id != f"boot-{self.boots}"
        self.apply(self.admission.record_boot_id(self.now, f"boot-{self.boots}"))

    @precondition(lambda self: self.admission.allowance > 1 and self.now > self.cold_until)
    @rule()
    def turn_cold_without_warning(self):
        self.cold_until, self.is_cold_start_visible = self.now + COLD_MS, False
        self.running = {key: (*call[:2], False) for key, call in self.running.items()}

    @precondition(lambda self: self.running)
    @rule(result=st.sampled_from([CallResult.SHED, CallResult.CANCELLED, CallResult.REFUSED]))
    def end_early(self, result):
        key = next(iter(self.running))
        del self.running[key]
        decisions = self.admission.finish(self.now, key, result)
        if result is not CallResult.CANCELLED:
            assert self.admission.allowance == 1
        self.apply(decisions)

    @precondition(lambda self: self.keys)
    @rule(back=st.integers(0, 5))
    def cancel(self, back):
        self.apply(self.admission.cancel(self.now, max(1, self.keys - back)))

    @invariant()
    def limits_hold(self):
        assert not self.violations, self.violations
        assert 1 <= self.admission.allowance <= LIMITS.slots
        assert self.admission.queue_length <= LIMITS.queue_size
        undecided = self.deadlines.keys() - self.outcomes.keys()
        assert len(undecided) == self.admission.queue_length, "a call was lost"


AdmissionMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=25, deadline=None, derandomize=True
)
TestAdmission = AdmissionMachine.TestCase


def make_ready(now):
    return UpstreamAdmission(LIMITS, now, LearnedState(4, "boot-1", 10.0, 10.0))


@pytest.mark.parametrize(
    ("result", "took_ms"),
    [
        (CallResult.SHED, 1),
        (CallResult.REFUSED, 1),
        (CallResult.RESET, 1),
        (CallResult.GOOD, 41),
        (CallResult.NO_REPLY, 41),
    ],
)
def test_each_sign_of_a_cold_start_lowers_the_allowance_to_1(result, took_ms):
    admission = make_ready(0.0)
    admission.submit(0.0, "call", 1, 1000.0)
    admission.finish(took_ms, "call", result)
    assert admission.allowance == 1


def test_slow_replies_or_those_of_earlier_calls_do_not_raise_the_allowance():
    admission = make_ready(0.0)
    admission.limits = LIMITS._replace(good_replies_per_step=2)
    for key in range(4):
        admission.submit(0.0, key, 1, 1000.0)
    admission.finish(1.0, 0, CallResult.SHED)
    for key in range(1, 4):
        admission.finish(10.0, key, CallResult.GOOD)
    assert admission.allowance == 1
    for key in range(200):
        admission.submit(100.0 * key, key, 1, 100.0 * key + 1000)
        admission.finish(100.0 * key + 80, key, CallResult.GOOD)
        assert admission.allowance == 1
    # A persistent latency becomes the baseline.
    for key in range(200, 400):
        admission.submit(100.0 * key, key, 1, 100.0 * key + 1000)
        admission.finish(100.0 * key + 80, key, CallResult.GOOD)
    assert admission.allowance == LIMITS.slots


def test_the_allowance_returns_to_1_after_an_idle_period():
    admission = make_ready(0.0)
    now = LIMITS.idle_ms + 1
    decisions = [admission.submit(now, key, 1, now + 100)[-1] for key in range(2)]
    assert isinstance(decisions[0], Start) and isinstance(decisions[1], Queued)


def test_a_late_call_lowers_the_allowance_before_its_reply():
    admission = make_ready(0.0)
    admission.submit(0.0, "late", 1, 1000.0)
    assert isinstance(admission.submit(41.0, "next", 1, 1000.0)[-1], Queued)
    assert admission.allowance == 1


def test_a_call_that_cannot_start_in_time_is_refused_at_once():
    admission = make_ready(0.0)
    for key in range(4):
        admission.submit(0.0, key, 1, 1000.0)
    assert isinstance(admission.submit(0.0, "tight", 1, 2.0)[-1], Refuse)


def test_slots_of_lost_calls_are_freed_after_the_deadline_and_a_margin():
    admission = make_ready(0.0)
    admission.submit(0.0, "lost", 1, 50.0)
    admission.finish(30.0, "lost", CallResult.RESET)
    admission.submit(30.0, "next", 1, 500.0)
    assert admission.find_next_check() == 50.0 + LIMITS.lost_margin_ms
    assert admission.poll(150.0) == [Start("next")]


def test_a_restart_after_an_allowance_increase_doubles_the_next_warm_up():
    admission = UpstreamAdmission(LIMITS, 0.0)
    admission.record_boot_id(0.0, "boot-1")

    def serve_good_calls(now):
        for key in range(LIMITS.good_replies_per_step):
            admission.submit(now, key, 1, now + 1000)
            admission.finish(now + 1, key, CallResult.GOOD)
        return admission.allowance

    assert serve_good_calls(LIMITS.warm_up_ms) == 2
    admission.record_boot_id(LIMITS.warm_up_ms, "boot-2")
    assert serve_good_calls(3 * LIMITS.warm_up_ms - 2) == 1
    assert serve_good_calls(3 * LIMITS.warm_up_ms) == 2


def test_a_straggler_lowers_the_allowance_only_until_a_reply_in_normal_time():
    for result, took_ms, expected in [(CallResult.GOOD, 41, 4), (CallResult.SHED, 1, 1)]:
        admission = make_ready(0.0)
        admission.submit(0.0, "late", 1, 1000.0)
        admission.finish(took_ms, "late", result)
        assert admission.allowance == 1
        admission.submit(50.0, "slower", 1, 1000.0)
        admission.finish(75.0, "slower", CallResult.GOOD)
        assert admission.allowance == 1, "a slow reply restored the allowance"
        admission.submit(80.0, "usual", 1, 1000.0)
        admission.finish(90.0, "usual", CallResult.GOOD)
        assert admission.allowance == expected


def test_a_cold_upstream_is_detected_although_hedges_cancel_its_late_calls():
    for between_ms, expected in [(25.0, 1), (10.0, 4)]:
        admission = make_ready(0.0)
        admission.submit(0.0, "first", 1, 1000.0)
        admission.finish(25.0, "first", CallResult.CANCELLED)
        assert admission.allowance == 4
        admission.submit(30.0, "between", 1, 1000.0)
        admission.finish(30.0 + between_ms, "between", CallResult.GOOD)
        admission.submit(60.0, "last", 1, 1000.0)
        admission.finish(85.0, "last", CallResult.CANCELLED)
        assert admission.allowance == expected


def test_a_straggler_among_normal_replies_does_not_lower_the_allowance():
    """With 1 late reply in 100, lowering the allowance for each would halve the capacity."""
    admission = make_ready(0.0)
    admission.submit(0.0, "straggler", 1, 1000.0)
    admission.submit(1.0, "usual", 1, 1000.0)
    admission.finish(11.0, "usual", CallResult.GOOD)
    admission.poll(90.0)
    admission.finish(100.0, "straggler", CallResult.GOOD)
    assert admission.allowance == LIMITS.slots
