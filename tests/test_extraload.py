"""The shared budget of retries and hedges, and the shared rate of cold upstreams."""

from bisect import bisect_left

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from citronpaddle.policy.extraload import ExtraLoad, ExtraLoadLimits
from citronpaddle.policy.slowstart import ColdLimits, SlowStart
from citronpaddle.randomness import RandomSource

LIMITS = ExtraLoadLimits(0.2, 58.0, 10_000.0)


@settings(max_examples=25, deadline=None)
@given(st.integers(1, 12), st.integers(0, 2**32), st.sampled_from([2.0, 20.0, 200.0]))
def test_sum_over_instances_stays_within_the_bound(instances, seed, rate_per_s):
    """Guards against BUDGET in any window, with every instance spending all that it may.

    Load: requests at random times for 25 s; each instance asks for an extra call every 50 ms.
    """
    random = RandomSource(seed)
    budgets = [ExtraLoad(LIMITS, 0.0) for _ in range(instances)]
    requests, extras = [], []
    for budget in budgets:
        budget.set_share(1.0 / instances)
    for step in range(500):
        now_ms = step * 50.0
        for budget in budgets:
            if random.random() < rate_per_s * 0.05 / instances:
                budget.record_request("s", now_ms)
                requests.append(now_ms)
            if budget.spend("s", now_ms, bool(random.getrandbits(1))):
                extras.append(now_ms)
    for start_ms in range(0, 25_000, 250):
        asked, extra = (
            bisect_left(times, start_ms + 10_000) - bisect_left(times, start_ms)
            for times in (requests, extras)
        )
        assert extra <= 0.2 * asked + 58.0


def test_most_of_the_slack_is_earned_after_a_start():
    """Guards against BUDGET when all instances are restarted at once.

    The predecessors may have spent as much as hedges may take just before.
    """
    budget = ExtraLoad(LIMITS, 0.0)
    budget.set_share(1.0)
    spent = 0
    while budget.spend("s", 100.0, True):
        spent += 1
    assert 0 < spent + ExtraLoad.HEDGE_SHARE * ExtraLoad.SAFETY_FACTOR * LIMITS.slack <= LIMITS.slack
    assert budget.spend("s", 5_000.0, False)


def test_unknown_number_of_instances_gives_no_slack():
    """Guards against BUDGET: each of many instances might take all of the slack."""
    budget = ExtraLoad(LIMITS, 0.0)
    assert not budget.spend("s", 20_000.0, False)


@pytest.mark.parametrize("rate_per_s", [1.0, 4.0, 20.0])
@pytest.mark.parametrize("instances", [1, 3, 9, 90])
def test_cold_rate_holds_over_all_instances(rate_per_s, instances):
    """Guards against FAILBACK: all instances send to one cold upstream as often as they may."""
    limits = ColdLimits(1.5, 5.0)
    names = tuple(f"i{number}" for number in range(instances))
    starts = [SlowStart(limits, name) for name in names]
    sent = []
    for start in starts:
        start.set_instances(names)
    for step in range(800):
        now_ms = step * 5.0
        for start in starts:
            if start.permit("u", rate_per_s, now_ms):
                start.record_sent("u", rate_per_s, now_ms)
                sent.append(now_ms)
    for start_ms in range(0, 4_000, 50):
        count = sum(start_ms <= at_ms < start_ms + 1_000 for at_ms in sent)
        assert count <= rate_per_s * limits.overshoot + limits.slack
    assert len(sent) >= rate_per_s
