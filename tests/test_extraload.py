"""Budget of retries and hedges, and rate of requests to cold upstreams, over all instances."""

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
    """Guards against exceeding the budget in any window when every instance spends its share.

    Requests arrive at random times for 25 s; each instance requests an extra call every 50 ms.
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
        request_count, extra_count = (
            bisect_left(times, start_ms + 10_000) - bisect_left(times, start_ms)
            for times in (requests, extras)
        )
        assert extra_count <= 0.2 * request_count + 58.0


def test_most_of_the_slack_accrues_after_a_start():
    """Guards against exceeding the budget when all instances restart at once.

    Their predecessors may have spent the whole hedge budget shortly before.
    """
    budget = ExtraLoad(LIMITS, 0.0)
    budget.set_share(1.0)
    spent = 0
    while budget.spend("s", 100.0, True):
        spent += 1
    assert (
        0 < spent + ExtraLoad.HEDGE_SHARE * ExtraLoad.SAFETY_FACTOR * LIMITS.slack <= LIMITS.slack
    )
    assert budget.spend("s", 5_000.0, False)


def test_no_slack_before_the_number_of_instances_is_known():
    """Guards against exceeding the budget if each of many instances spends all of the slack."""
    budget = ExtraLoad(LIMITS, 0.0)
    assert not budget.spend("s", 20_000.0, False)


@pytest.mark.parametrize("rate_per_s", [1.0, 4.0, 20.0])
@pytest.mark.parametrize("instances", [1, 3, 9, 90])
def test_cold_rate_holds_over_all_instances(rate_per_s, instances):
    """Guards against overloading a cold upstream when all instances send at their full rate."""
    limits = ColdLimits(1.5, 5.0)
    names = tuple(f"i{number}" for number in range(instances))
    slow_starts = [SlowStart(limits, name) for name in names]
    sent = []
    for slow_start in slow_starts:
        slow_start.set_instances(names)
    for step in range(800):
        now_ms = step * 5.0
        for slow_start in slow_starts:
            if slow_start.permit("u", rate_per_s, now_ms):
                slow_start.record_sent("u", rate_per_s, now_ms)
                sent.append(now_ms)
    for start_ms in range(0, 4_000, 50):
        count = sum(start_ms <= at_ms < start_ms + 1_000 for at_ms in sent)
        assert count <= rate_per_s * limits.overshoot + limits.slack
    assert len(sent) >= rate_per_s
