"""Instances that roll a version out under load, in virtual time.

The instances run the product's code of following the store, choosing upstreams and deciding. Calls
to upstreams are simulated: a behaviour gives the latency of each and whether it fails.
"""

import asyncio
import json
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import NamedTuple

from fleetworld import FleetWorld, LoopClock, SimulatedInstance, VirtualTimeLoop
from test_fleet import make_entry

from citronpaddle.platform.rollouts import ORDER_PREFIX, STATUS_PREFIX

OLD, NEW = "v1", "v2"
SHARE, SLACK = 0.1, 50.0
ROLLBACK_MS = 5_000.0
BASE_MS = 20.0
SLOTS = 2


class Load(NamedTuple):
    """What a behaviour knows of a call: seconds since the order, the route, open calls there."""

    version: str
    at_s: float
    route: str
    open_calls: int


class Result(NamedTuple):
    """The latency of a call, and whether it fails."""

    latency_ms: float
    has_failed: bool = False


class Sent(NamedTuple):
    """A call that was sent to an upstream."""

    at_ms: float
    version: str
    is_bad: bool


Behaviour = Callable[[Load], Result]


class RolloutWorld(FleetWorld):
    """Instances, a store, and the upstreams of service s0: three of the old version.

    `write_order` starts a roll-out; `start_new` adds three upstreams of the new version.
    """

    def __init__(self, seed: int, count: int, behaviour: Behaviour) -> None:
        super().__init__(seed, count, 900.0)
        self.behaviour = behaviour
        self.sent: list[Sent] = []
        self.refused = 0
        self.ordered_ms = 0.0
        # The times at which each status was first seen in the store.
        self.seen: dict[str, float] = {}
        # Instances without traffic: they are paused.
        self.paused: set[int] = set()
        self._open_calls: Counter[str] = Counter()
        for number in range(200):
            self.store.write(f"servers/u{number}", None)
        for name in "abc":
            self.write_entry(name, OLD)

    def write_entry(self, name: str, version: str, service: str = "s0") -> None:
        """Write the entry of an upstream."""
        entry = make_entry(version=version, service=service, slots=SLOTS)
        self.store.write(f"servers/{name}", entry)

    def write_order(self, version: str = NEW, duration_s: object = 30, service: str = "s0") -> None:
        """Write an order."""
        order = {"service": service, "target_version": version, "duration_s": duration_s}
        self.store.write(ORDER_PREFIX + service, json.dumps(order).encode())
        self.ordered_ms = LoopClock().now_ms()

    def start_new(self, version: str = NEW) -> None:
        """Write the entries of three upstreams of a new version."""
        for number in range(3):
            self.write_entry(f"{version}-{number}", version)

    def read_status(self, service: str = "s0") -> tuple[str, str] | None:
        """Return the state and the target version that the operator sees."""
        item = self.store.items.get(STATUS_PREFIX + service)
        if item is None:
            return None
        document = json.loads(item.value)
        return document["state"], document["target_version"]

    def find_first(self) -> int:
        """Return the number of the instance that writes first."""
        names = self.instances[0].rollouts._list_ranked("s0")
        return int(names[0][1:])

    async def play(self, duration_s: float, rate_per_s: float, routes: str = "r") -> None:
        """Send requests at random times to random instances that are not paused."""
        end_s = asyncio.get_running_loop().time() + duration_s
        while (now_s := asyncio.get_running_loop().time()) < end_s:
            await asyncio.sleep(self.random.expovariate(rate_per_s))
            usable = [n for n in self.instances if n not in self.paused]
            number = usable[int(self.random.random() * len(usable))]
            route = routes[int(self.random.random() * len(routes))]
            self._call(self.instances[number], route)
            status = self.read_status()
            if status is not None:
                self.seen.setdefault(status[0], now_s * 1_000)

    def _call(self, instance: SimulatedInstance, route: str) -> None:
        now_ms = LoopClock().now_ms()
        choice = instance.selector.choose("s0", now_ms, 100.0)
        if choice is None:
            self.refused += 1
            return
        upstream = choice.upstream
        at_s = (now_ms - self.ordered_ms) / 1_000
        result = self.behaviour(Load(upstream.version, at_s, route, self._open_calls[upstream.id]))
        is_bad = result.has_failed or result.latency_ms >= 2.5 * BASE_MS
        self.sent.append(Sent(now_ms, upstream.version, is_bad))
        self._open_calls[upstream.id] += 1
        call_id = len(self.sent)
        instance.selector.record_sent(upstream, call_id, now_ms)
        end = (instance, upstream, call_id, route, result)
        asyncio.get_running_loop().call_later(result.latency_ms / 1_000, self._end, *end)

    def _end(self, instance, upstream, call_id: int, route: str, result: Result) -> None:
        now_ms = LoopClock().now_ms()
        self._open_calls[upstream.id] -= 1
        selector = instance.selector
        if result.has_failed:
            selector.record_failure(upstream.id, call_id, now_ms, False)
            selector.versions.record_failure(upstream, route)
        else:
            slowness = selector.record_reply(upstream.id, call_id, route, now_ms)
            selector.versions.record_reply(upstream, route, slowness, now_ms)

    def count_target(self, version: str = NEW, until_s: float = 30.0) -> tuple[int, int]:
        """Return the calls to a version and all calls, from the order to `until_s` after it."""
        end_ms = self.ordered_ms + until_s * 1_000
        counted = [one for one in self.sent if self.ordered_ms <= one.at_ms <= end_ms]
        return sum(one.version == version for one in counted), len(counted)

    def check_bad_version(self, version: str = NEW, until_s: float = 30.0) -> None:
        """Assert that a bad version got no more calls than allowed, and none too late."""
        target, total = self.count_target(version, until_s)
        assert target <= SHARE * total + SLACK, (target, total)
        calls = [one for one in self.sent if one.version == version]
        bad = [one.at_ms for one in calls if one.is_bad]
        if len(bad) >= 50:
            assert calls[-1].at_ms <= bad[49] + ROLLBACK_MS

    def restore_store(self) -> None:
        """Restore the store from its copy; operator and upstreams write theirs again."""
        before = self.store.items
        self.store.restore()
        for key, item in before.items():
            if key.startswith(("op/", "servers/")) and key not in self.store.items:
                self.store.write(key, item.value)


def run_world(
    scenario: Callable[[RolloutWorld], Coroutine],
    behaviour: Behaviour,
    count: int = 9,
    seed: int = 1,
) -> RolloutWorld:
    """Run `scenario` with instances that have just started."""

    async def run() -> RolloutWorld:
        world = RolloutWorld(seed, count, behaviour)
        for number in range(count):
            await world.start_instance(number)
        await asyncio.sleep(8)
        await scenario(world)
        await world.stop()
        return world

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(run())
