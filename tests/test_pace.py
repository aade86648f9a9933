"""Pace of upstreams that start or recover: what callers get while several instances use them."""

import pytest
from upstreampool import LIMITS, Load, make_pool, play

from citronpaddle.policy.hints import Hint, HintKind, Hints
from citronpaddle.policy.registry import Registry
from citronpaddle.policy.selection import Selector
from citronpaddle.policy.slowstart import ColdLimits, SlowStart


def cold_factor(name, now_ms, cold=("u0",)):
    return 1.6 if name in cold and now_ms < 3_000.0 else 1.0


def make_load(rate_per_s, factor, *cold_until_ms) -> Load:
    return Load(rate_per_s, factor, make_pool(*cold_until_ms))


ALL = ("u0", "u1", "u2")
LOADS = {
    "one of three replicas cold for 3 s at 1.6 times the work, at 0.73 of the room": make_load(
        220.0, cold_factor, 3_000.0, 0.0, 0.0
    ),
    "all three cold at once, at 0.8 of the room that is left": make_load(
        150.0, lambda name, now: cold_factor(name, now, ALL), 3_000.0, 3_000.0, 3_000.0
    ),
    "one started, and slow for good": make_load(
        200.0, lambda name, now: 2.0 if name == "u0" else 1.0, 3_000.0, 0.0, 0.0
    ),
    "one down and up by turns of 1.6 s": make_load(
        150.0, lambda name, now: None if name == "u0" and now % 3_200.0 < 1_600.0 else 1.0, 0, 0, 0
    ),
}


@pytest.mark.parametrize("load", LOADS.values(), ids=LOADS)
def test_callers_are_answered_in_time_while_upstreams_start_or_recover(load):
    """Guards against a starting or recovering upstream that is sent more than it can answer."""
    result = play(load)
    assert result.share_in_time() >= 0.95


def test_upstream_that_is_slow_for_good_is_used():
    """Guards against a pace that never ends because replies stay slow: 2 x 30/s of room idle."""
    load = make_load(230.0, lambda name, now: 2.0 if name == "u0" else 1.0, 3_000.0, 0.0, 0.0)
    result = play(load)
    assert result.count_calls("u0", 0.0, 1_000.0) > 0
    assert result.count_calls("u0", 3_000.0, 8_000.0) >= 0.5 * 5 * 50


def test_recovered_upstream_gets_its_share_again():
    """Guards against an upstream that stays idle after an outage of 2 s, at 1.0 of the room left.

    All instances have failures on record; the first reply to one of them counts for all.
    """
    load = make_load(
        200.0, lambda name, now: None if name == "u0" and now < 2_000.0 else 1.0, 0, 0, 0
    )
    fair_calls = 200.0 / 3 * 2
    assert all(
        play(load, seed).count_calls("u0", 2_000.0, 4_000.0) >= 0.5 * fair_calls
        for seed in range(1, 4)
    )


def test_call_beyond_the_pace_is_no_hedge():
    """Guards against hedges that spend the first calls of a cold upstream."""
    selector = Selector(
        Registry(), SlowStart(ColdLimits(1.5, 5.0), "i0"), lambda name: LIMITS, lambda: 0.5
    )
    (upstream,) = make_pool(3_000.0)
    selector._registry.put(upstream)
    selector.set_share(0.1, False)
    assert selector.choose("s0", 0.0, 60.0).is_within_pace
    selector.record_sent(upstream, 1, 0.0)
    assert not selector.choose("s0", 10.0, 60.0).is_within_pace


def test_recovery_that_a_peer_reports_keeps_the_rate_of_cold_upstreams():
    """Guards against calls above that rate to an upstream whose restart only a peer has noticed."""
    registry = Registry()
    (upstream,) = make_pool(0.0)
    registry.put(upstream)
    limits = LIMITS._replace(cold_rate_per_s=1.0)
    slow_start = SlowStart(ColdLimits(1.5, 5.0), "i0")
    selector = Selector(registry, slow_start, lambda name: limits, lambda: 0.5)
    selector.record_sent(upstream, 1, 0.0)
    selector.record_failure("u0", 1, 0.0, True)
    later_ms = 2 * limits.cold_ms
    selector.record_peer_pace("u0", 1.0, later_ms)
    for call_id in (2, 3):
        selector.record_sent(selector.choose("s0", later_ms, 60.0).upstream, call_id, later_ms)
        selector.record_reply("u0", call_id, "r", later_ms)
        assert selector.choose("s0", later_ms + 1.0, 60.0) is None
        later_ms += 1_000.0


def test_hint_of_a_peer_ends_the_avoidance_of_an_upstream():
    """Guards against an instance that avoids an upstream which answers others; bad values too."""
    registry = Registry()
    (upstream,) = make_pool(0.0)
    registry.put(upstream)
    slow_start = SlowStart(ColdLimits(1.5, 5.0), "i0")
    selector = Selector(registry, slow_start, lambda name: LIMITS, lambda: 0.5)
    hints = Hints(selector, lambda: None)
    selector.record_sent(upstream, 1, 0.0)
    selector.record_failure("u0", 1, 0.0, True)
    bad = (float("nan"), float("inf"), 0.0, -1.0)
    hints.apply([Hint(HintKind.PACED, "u0", value) for value in bad], 1.0)
    hints.apply([Hint(HintKind.PACED, "unknown", 1.0)], 1.0)
    assert not selector.choose("s0", 1.0, 60.0).is_healthy and len(selector.paces) == 0
    hints.apply([Hint(HintKind.PACED, "u0", 1.0)], 2.0)
    assert selector.choose("s0", 2.0, 60.0).is_healthy and len(selector.paces) == 1
    assert selector.choose("s0", 20_000.0, 60.0).is_within_pace and len(selector.paces) == 0
