"""Pace of upstreams that start or recover: what callers get while several instances use them."""

import heapq
import itertools
from collections.abc import Callable
from math import inf
from typing import NamedTuple

import pytest
from exchanges import make_upstream

from citronpaddle.policy.catalog import ServiceLimits
from citronpaddle.policy.hints import Hint, HintKind, Hints
from citronpaddle.policy.pace import PaceChange
from citronpaddle.policy.registry import Registry, Upstream
from citronpaddle.policy.selection import Selector
from citronpaddle.policy.slowstart import ColdLimits, SlowStart
from citronpaddle.randomness import RandomSource

WORK_MS = 20.0
OBJECTIVE_MS = 100.0
SLOTS = 2
QUEUE = 12
MAX_ATTEMPTS = 3
LIMITS = ServiceLimits("s0", 96, 3_000.0, 0.0)


class Load(NamedTuple):
    """Requests at `rate_per_s`, at random times, until `until_ms`.

    `find_factor` maps an upstream and a time to the multiple of its usual work, or to None while it
    is down.
    """

    rate_per_s: float
    find_factor: Callable[[str, float], float | None]
    upstreams: tuple[Upstream, ...]
    instances: int = 8
    until_ms: float = 8_000.0


class Result(NamedTuple):
    """Latencies of requests by arrival, and calls by start and upstream."""

    latencies_ms: list[tuple[float, float]]
    calls: list[tuple[float, str]]

    def share_in_time(self) -> float:
        return sum(took <= OBJECTIVE_MS for _, took in self.latencies_ms) / len(self.latencies_ms)

    def count_calls(self, upstream: str, start_ms: float, end_ms: float) -> int:
        return sum(name == upstream and start_ms <= at < end_ms for at, name in self.calls)


class _Simulation:
    """Instances that share their paces, and upstreams with slots and a bounded queue."""

    def __init__(self, load: Load, seed: int) -> None:
        self.result = Result([], [])
        self._load = load
        self._random = RandomSource(seed)
        self._now_ms = 0.0
        self._selectors = [self._make_selector(number) for number in range(load.instances)]
        self._free_ms = {upstream.id: [0.0] * SLOTS for upstream in load.upstreams}
        self._events = []
        self._order = itertools.count()

    def run(self) -> Result:
        """Send the requests of the load and run all calls to their ends."""
        at_ms = 0.0
        while at_ms < self._load.until_ms:
            at_ms += 1_000.0 / self._load.rate_per_s * 2 * self._random.random()
            selector = self._random.choice(self._selectors)
            self._schedule(at_ms, _Request(at_ms, selector, ()), "arrival")
        while self._events:
            self._now_ms, call_id, request, kind = heapq.heappop(self._events)
            if kind == "reply":
                request.selector.record_reply(request.tried[-1], call_id, "r", self._now_ms)
                took_ms = self._now_ms - request.arrived_ms
                self.result.latencies_ms.append((request.arrived_ms, took_ms))
                continue
            if kind != "arrival":
                selector, is_down = request.selector, kind == "down"
                selector.record_failure(request.tried[-1], call_id, self._now_ms, is_down)
            if len(request.tried) < MAX_ATTEMPTS:
                self._call(request)
            else:
                self.result.latencies_ms.append((request.arrived_ms, inf))
        return self.result

    def _make_selector(self, number: int) -> Selector:
        registry = Registry()
        for upstream in self._load.upstreams:
            registry.put(upstream)
        slow_start = SlowStart(ColdLimits(1.5, 5.0), f"i{number}")
        selector = Selector(registry, slow_start, lambda name: LIMITS, self._random.random)
        selector.set_share(1.0 / self._load.instances, False)
        selector.paces.on_change = lambda change: self._share_pace(selector, change)
        return selector

    def _share_pace(self, sender: Selector, change: PaceChange) -> None:
        for selector in self._selectors:
            if selector is not sender:
                selector.record_peer_pace(change.upstream.id, change.concurrency, self._now_ms)

    def _call(self, request: "_Request") -> None:
        selector, now_ms = request.selector, self._now_ms
        choice = selector.choose("s0", now_ms, 3 * WORK_MS, request.tried)
        name = choice.upstream.id
        kind, end_ms = self._serve(name)
        self.result.calls.append((now_ms, name))
        tried = (*request.tried, name)
        call_id = self._schedule(end_ms, request._replace(tried=tried), kind)
        selector.record_sent(choice.upstream, call_id, now_ms)

    def _serve(self, name: str) -> tuple[str, float]:
        """Return how a call that arrives now ends, and when."""
        slots, now_ms = self._free_ms[name], self._now_ms
        factor = self._load.find_factor(name, now_ms)
        if factor is None:
            return "down", now_ms + 1.0
        if sum(max(0.0, free_ms - now_ms) for free_ms in slots) > (QUEUE + SLOTS) * WORK_MS:
            return "reject", now_ms + 1.0
        slots.sort()
        work_ms = WORK_MS * factor * (0.65 + 0.7 * self._random.random())
        slots[0] = max(now_ms, slots[0]) + work_ms
        return "reply", slots[0]

    def _schedule(self, at_ms: float, request: "_Request", kind: str) -> int:
        call_id = next(self._order)
        heapq.heappush(self._events, (at_ms, call_id, request, kind))
        return call_id


class _Request(NamedTuple):
    arrived_ms: float
    selector: Selector
    tried: tuple[str, ...]


def play(load: Load, seed: int = 1) -> Result:
    return _Simulation(load, seed).run()


def make_pool(*cold_until_ms: float) -> tuple[Upstream, ...]:
    return tuple(
        make_upstream(f"u{number}", cold_until_ms=until)
        for number, until in enumerate(cold_until_ms)
    )


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
