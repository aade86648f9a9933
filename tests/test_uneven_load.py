"""Uneven demand and upstreams: work goes where it ends soonest, as answers show it."""

from collections import Counter

import pytest
from upstreampool import Load, make_pool, play

DOMAINS = "abc"
UPSTREAMS = tuple(
    upstream._replace(domain=domain)
    for upstream, domain in zip(make_pool(0, 0, 0), DOMAINS, strict=True)
)
# Requests a second that an upstream of usual speed answers.
ROOM_PER_S = 100.0


def make_load(rate_share: float, demand: tuple[float, ...], speeds: tuple[float, ...]) -> Load:
    """Return a load of `rate_share` of the room, with one upstream and six instances a domain."""
    return Load(
        rate_share * ROOM_PER_S * sum(speeds),
        lambda name, now_ms: 1.0 / speeds[int(name[1])],
        UPSTREAMS,
        instances=18,
        domain_shares=dict(zip(DOMAINS, demand, strict=True)),
    )


@pytest.mark.parametrize("speeds", [(0.8, 1.0, 1.3), (1.3, 1.0, 0.8), (1.0, 1.0, 1.0)])
@pytest.mark.parametrize("demand", [(0.6, 0.25, 0.15), (0.15, 0.25, 0.6), (1 / 3, 1 / 3, 1 / 3)])
def test_callers_are_answered_in_time_with_uneven_demand_and_speeds(demand, speeds):
    """Guards against a domain whose upstream gets more than it can answer, at 0.8 of all room."""
    assert play(make_load(0.8, demand, speeds)).share_in_time() >= 0.95


def test_busiest_of_equal_upstreams_gets_less_than_one_and_a_half_of_the_mean():
    """Guards against work that stays in the domain of its callers, at 0.7 of the room."""
    result = play(make_load(0.7, (0.6, 0.25, 0.15), (1.0, 1.0, 1.0)))
    calls = Counter(name for _, name in result.calls)
    assert max(calls.values()) < 1.5 * sum(calls.values()) / len(UPSTREAMS)
