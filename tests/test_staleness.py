"""Age of the configuration in force at every instance of a failure domain, under random faults."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import pytest
from fleetworld import FleetWorld, LoopClock, VirtualTimeLoop


class Site(NamedTuple):
    """A failure domain and the platform's bounds for it.

    A version is in force `apply_ms` after its acknowledgement, at instances without a disturbance
    for `contact_ms`.
    """

    instances: int
    apply_ms: float
    contact_ms: float


# With twelve instances two of them read the store for the others; with six each reads it itself.
LARGE = Site(12, 5_000.0, 5_000.0)
SMALL = Site(6, 3_000.0, 4_000.0)
# The share of the time allowed for a change that an instance uses between two watches.
WATCH_INTERVAL_SHARE = 0.3
LENGTH_MS = 60_000.0
START_MS = 5_000.0
CHECK_MS = 100.0


class Faults:
    """Disturbs instances and the store at random, and records until when each is disturbed."""

    def __init__(self, world: FleetWorld, count: int) -> None:
        self._world = world
        self._random = world.random
        self._count = count
        # By instance: the end of its last disturbance, infinite while it lasts.
        self.disturbed_until_ms = dict.fromkeys(range(count), 0.0)

    async def run(self) -> None:
        """Begin a fault, a change or a burst of changes every now and then."""
        kinds = (
            (self._write_configurations, 6),
            (self._churn_upstreams, 4),
            (self._disturb_paths, 4),
            (self._restart_instances, 2),
            (self._end_leases, 1),
            (self._compact_history, 1),
        )
        actions = [action for action, weight in kinds for _ in range(weight)]
        tasks: set[asyncio.Task] = set()
        while True:
            await self._sleep(200.0, 2_500.0)
            task = asyncio.ensure_future(self._random.choice(actions)())
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    async def _sleep(self, least_ms: float, most_ms: float) -> None:
        await asyncio.sleep((least_ms + (most_ms - least_ms) * self._random.random()) / 1_000)

    def _draw_instances(self) -> list[int]:
        # The instances with the most cores are the watchers, and are disturbed most often.
        share = 0.1 + 0.4 * self._random.random()
        numbers = [number for number in range(self._count) if self._random.random() < share]
        return [*numbers, self._random.choice((0, 1))]

    async def _write_configurations(self) -> None:
        for _ in range(self._random.choice((1, 1, 2, 5))):
            self._world.write_configuration()
            await self._sleep(50.0, 900.0)

    async def _churn_upstreams(self) -> None:
        for _ in range(self._random.choice((20, 100, 400))):
            self._world.write_upstream(self._random.randrange(400))
            await self._sleep(0.0, 20.0)

    async def _disturb(self, numbers: list[int], during: Callable[[], Awaitable[None]]) -> None:
        for number in numbers:
            self.disturbed_until_ms[number] = float("inf")
        await during()
        for number in numbers:
            self.disturbed_until_ms[number] = LoopClock().now_ms()

    async def _disturb_paths(self) -> None:
        fault = self._random.choice(("cut", "silent", "silent", "busy", "reset"))
        numbers = [
            number
            for number in set(self._draw_instances())
            if self.disturbed_until_ms[number] != float("inf")
        ]
        world = self._world

        async def during() -> None:
            for number in numbers:
                world.instances[number].path.set_fault(fault)
                if fault == "cut":
                    world.network.cut.add(world.instances[number].address)
            await self._sleep(100.0, 9_000.0)
            for number in numbers:
                world.instances[number].path.set_fault(None)
                world.network.cut.discard(world.instances[number].address)
            if self._random.random() < 0.5:
                world.write_configuration()

        await self._disturb(numbers, during)

    async def _restart_instances(self) -> None:
        numbers = [
            number
            for number in set(self._draw_instances())
            if self.disturbed_until_ms[number] != float("inf")
        ]

        async def during() -> None:
            for number in numbers:
                await self._world.instances[number].kill()
            await self._sleep(300.0, 3_000.0)
            for number in numbers:
                await self._world.start_instance(number)

        await self._disturb(numbers, during)

    async def _end_leases(self) -> None:
        keys = [key for key in self._world.store.items if key.startswith("citronpaddle/")]
        for key in keys:
            if self._random.random() < 0.3:
                self._world.store.write(key, None)

    async def _compact_history(self) -> None:
        store = self._world.store

        async def during() -> None:
            store.are_watches_silent = True
            for number in range(30):
                self._world.write_upstream(number)
            await self._sleep(500.0, 1_500.0)
            store.are_watches_silent = False
            store.compact()

        calm = [n for n, until_ms in self.disturbed_until_ms.items() if until_ms != float("inf")]
        await self._disturb(calm, during)


def find_stale_instances(world: FleetWorld, faults: Faults, site: Site) -> list[str]:
    """Return the instances in touch that use a version which should have been replaced."""
    now_ms = LoopClock().now_ms()
    due = [version for at_ms, version in world.acknowledged if now_ms - at_ms > site.apply_ms]
    return [
        f"instance {number} has version {instance.version}, {due[-1]} is due"
        for number, instance in world.instances.items()
        if due
        and now_ms - faults.disturbed_until_ms[number] > site.contact_ms
        and instance.version < due[-1]
    ]


async def play(seed: int, site: Site) -> list[str]:
    """Play faults for a minute; return what was stale, with the time."""
    world = FleetWorld(seed, site.instances, WATCH_INTERVAL_SHARE * site.apply_ms)
    for number in range(site.instances):
        await world.start_instance(number)
    await asyncio.sleep(START_MS / 1_000)
    faults = Faults(world, site.instances)
    task = asyncio.ensure_future(faults.run())
    found: list[str] = []
    begin_ms = LoopClock().now_ms()
    while (at_ms := LoopClock().now_ms() - begin_ms) < LENGTH_MS and len(found) < 5:
        await asyncio.sleep(CHECK_MS / 1_000)
        world.store.expire(LoopClock().now_ms())
        stale = find_stale_instances(world, faults, site)
        found += [f"{at_ms / 1_000:.1f} s: {text}" for text in stale]
    task.cancel()
    await world.stop()
    return found


def run_seed(seed: int, site: Site = LARGE) -> list[str]:
    """Play a seed in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(play(seed, site))


# In 83 an instance lost a change when batches claimed more than they contained; in the others of
# the first six an unanswered watch was kept, or found too late.
@pytest.mark.parametrize("seed", [57, 83, 115, 143, 152, 330, 0, 1])
def test_version_is_in_force_in_time_at_every_instance_in_touch(seed):
    """Guards against an instance that misses a confirmed configuration while others have faults."""
    assert run_seed(seed) == []


# The first four showed an unanswered watch that was found too late.
@pytest.mark.parametrize("seed", [16, 64, 67, 89, 0, 1])
def test_version_is_in_force_in_time_without_a_feed(seed):
    """Guards against an old configuration in a small failure domain, with stricter bounds."""
    assert run_seed(seed, SMALL) == []
