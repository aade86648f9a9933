"""Instances that choose among upstreams with slots and queues, in virtual time without a network.

Unlike `exchanges`, it has several instances, each of which sees only its own calls.
"""

import heapq
import itertools
from collections.abc import Callable
from math import inf
from typing import NamedTuple

from exchanges import make_upstream

from citronpaddle.policy.catalog import ServiceLimits
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
    # By failure domain: its share of the requests; each has the same number of instances.
    domain_shares: dict[str, float] = {"a": 1.0}


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
        self._domains = {
            domain: [self._make_selector(f"{domain}{number}", domain) for number in range(count)]
            for domain, count in _count_instances(load).items()
        }
        self._free_ms = {upstream.id: [0.0] * SLOTS for upstream in load.upstreams}
        self._events = []
        self._order = itertools.count()

    def run(self) -> Result:
        """Send the requests of the load and run all calls to their ends."""
        at_ms = 0.0
        while at_ms < self._load.until_ms:
            at_ms += 1_000.0 / self._load.rate_per_s * 2 * self._random.random()
            self._schedule(at_ms, _Request(at_ms, self._draw_instance(), ()), "arrival")
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

    def _draw_instance(self) -> Selector:
        drawn = self._random.random()
        instances: list[Selector] = []
        for domain, share in self._load.domain_shares.items():
            if drawn >= 0.0:
                instances = self._domains[domain]
            drawn -= share
        return self._random.choice(instances)

    def _make_selector(self, name: str, domain: str) -> Selector:
        registry = Registry()
        for upstream in self._load.upstreams:
            registry.put(upstream)
        slow_start = SlowStart(ColdLimits(1.5, 5.0), name)
        selector = Selector(registry, slow_start, lambda name: LIMITS, self._random.random, domain)
        selector.set_share(1.0 / self._load.instances, False)
        selector.paces.on_change = lambda change: self._share_pace(selector, change)
        return selector

    def _share_pace(self, sender: Selector, change: PaceChange) -> None:
        for selector in itertools.chain(*self._domains.values()):
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


def _count_instances(load: Load) -> dict[str, int]:
    return {domain: load.instances // len(load.domain_shares) for domain in load.domain_shares}


def play(load: Load, seed: int = 1) -> Result:
    """Play a load with random arrival and work times drawn from `seed`."""
    return _Simulation(load, seed).run()


def make_pool(*cold_until_ms: float) -> tuple[Upstream, ...]:
    """Return upstreams `u0`, `u1` and so on that are cold until these times."""
    return tuple(
        make_upstream(f"u{number}", cold_until_ms=until)
        for number, until in enumerate(cold_until_ms)
    )
