"""Hedges and retries stay within their budgets and never go to cold upstreams."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from citronpaddle.models import UpstreamState
from citronpaddle.policy.hedging import Hedging, HedgingLimits, LatencyWindow, Target

LIMITS = HedgingLimits()
TARGETS = st.lists(
    st.builds(
        Target, st.sampled_from(["a", "b", "c"]), st.sampled_from(UpstreamState), st.booleans()
    )
)


class HedgingMachine(RuleBasedStateMachine):
    """Requests as many hedges and retries as possible after any sequence of traffic."""

    def __init__(self):
        super().__init__()
        self.hedging = Hedging(LIMITS)
        self.now_ms = 0.0
        self.sent = self.hedged = self.retried = 0
        self.latencies = 0

    @rule(count=st.integers(1, 200))
    def send(self, count):
        self.sent += count
        self.hedging.record_sent(count)

    @rule(by_ms=st.sampled_from([1.0, 100.0, 5_000.0, 40_000.0]))
    def advance(self, by_ms):
        self.now_ms += by_ms

    @rule(latencies=st.lists(st.floats(0, 3_000), max_size=30))
    def observe(self, latencies):
        for latency_ms in latencies:
            self.hedging.record_latency(self.now_ms, "group", latency_ms)
        self.latencies += len(latencies)

    @rule(replicas=TARGETS, age_ms=st.floats(0, 4_000), times=st.integers(1, 30))
    def request_hedges(self, replicas, age_ms, times):
        sent_ms = self.now_ms - age_ms
        for _ in range(times):
            chosen = self.hedging.choose_hedge(
                self.now_ms, "group", sent_ms, self.now_ms + 100, replicas
            )
            if chosen is None:
                continue
            self.hedged += 1
            eligible = [
                t for t in replicas if t.state is UpstreamState.READY and not t.is_saturated
            ]
            assert chosen == eligible[0].upstream, "hedge sent to a cold or saturated upstream"
            assert self.latencies >= LIMITS.min_samples
            assert self.now_ms >= self.hedging.find_hedge_time(self.now_ms, "group", sent_ms)

    @rule(times=st.integers(1, 30))
    def request_retries(self, times):
        self.retried += sum(self.hedging.permit_retry() for _ in range(times))

    @invariant()
    def extra_load_stays_in_budget(self):
        assert self.hedged <= LIMITS.hedge_share * self.sent + LIMITS.hedge_burst + 1e-6
        assert self.retried <= LIMITS.retry_share * self.sent + LIMITS.retry_burst + 1e-6


HedgingMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=30, deadline=None, derandomize=True
)
TestHedging = HedgingMachine.TestCase


def test_the_quantile_follows_recent_latencies_and_drops_old_ones():
    window = LatencyWindow(1_000.0)
    for latency_ms in range(1, 101):
        window.add(0.0, latency_ms)
    assert abs(window.compute_quantile(0.0, 0.95, 20) - 95) <= 1
    for _ in range(100):
        window.add(1_000.0, 5.0)
    assert window.compute_quantile(1_000.0, 0.5, 20) < 10
    assert abs(window.compute_quantile(2_000.0, 0.95, 20) - 5) < 0.1
    for _ in range(20):
        window.add(2_000.0, 5.0)
    assert window.compute_quantile(9_000.0, 0.95, 1) is None


def test_a_late_sub_request_is_hedged_once_the_budget_allows_it():
    hedging = Hedging(LIMITS._replace(hedge_burst=1.0))
    ready = [Target("a", UpstreamState.READY, False)]
    for _ in range(LIMITS.min_samples):
        hedging.record_latency(0.0, "group", 10.0)

    def choose_hedge_at(now_ms, deadline_ms=1_000.0):
        return hedging.choose_hedge(now_ms, "group", 0.0, deadline_ms, ready)

    assert choose_hedge_at(9.0) is None and choose_hedge_at(11.0, 11.0) is None
    assert choose_hedge_at(11.0) == "a" and choose_hedge_at(11.0) is None
    hedging.record_sent(20)
    assert choose_hedge_at(11.0) == "a" and choose_hedge_at(11.0) is None


def test_no_hedge_goes_to_a_cold_or_saturated_upstream_or_on_few_samples():
    hedging = Hedging(LIMITS)
    ready = Target("a", UpstreamState.READY, False)
    ineligible = [Target("b", UpstreamState.WARMING, False), Target("c", UpstreamState.READY, True)]
    for _ in range(LIMITS.min_samples - 1):
        hedging.record_latency(0.0, "group", 10.0)
    assert hedging.choose_hedge(50.0, "group", 0.0, 1_000.0, [ready]) is None
    hedging.record_latency(0.0, "group", 10.0)
    assert hedging.choose_hedge(50.0, "group", 0.0, 1_000.0, ineligible) is None
    assert hedging.choose_hedge(50.0, "group", 0.0, 1_000.0, [*ineligible, ready]) == "a"


def test_the_first_late_call_after_a_quiet_period_is_hedged():
    """Guards against dropping the last quantile: the first query after a pause had no hedge."""
    hedging = Hedging()
    for _ in range(100):
        hedging.record_latency(0.0, "search", 10.0)
    assert hedging.find_hedge_time(1.0, "search", 0.0) == pytest.approx(10.0, rel=0.05)
    assert hedging.find_hedge_time(60_000.0, "search", 60_000.0) == pytest.approx(60_010.0, abs=1)
