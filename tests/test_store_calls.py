"""Tests of the number of calls to the store, each of which has a cost, in virtual time."""

import asyncio
from collections.abc import Awaitable, Callable

from fleetworld import FleetWorld, run_fleet

OUTAGE_S = 6.0


def _run(scenario: Callable[[FleetWorld], Awaitable[None]]) -> None:
    """Run `scenario` with twelve instances of one domain, after they have settled."""
    run_fleet(scenario, 12, 1, 1_500.0, 10.0)


def _count_calls(world: FleetWorld) -> int:
    return sum(instance.path.calls for instance in world.instances.values())


def _set_fault(world: FleetWorld, fault: str | None) -> None:
    for instance in world.instances.values():
        instance.path.set_fault(fault)


def test_one_task_of_an_instance_retries_while_the_store_refuses():
    """Guards against a flood of refused calls: each costs as much as one that is answered.

    The load is an outage of six seconds in which every call is refused at once.
    """

    async def scenario(world):
        _set_fault(world, "busy")
        before = _count_calls(world)
        await asyncio.sleep(OUTAGE_S)
        # A retry each second by each instance, after a few shorter ones.
        assert _count_calls(world) - before <= 12 * (OUTAGE_S + 4)
        _set_fault(world, None)
        world.write_configuration()
        await asyncio.sleep(4.0)
        for instance in world.instances.values():
            assert instance.version == world.acknowledged[-1][1]

    _run(scenario)


def test_start_during_an_outage_is_retried_by_one_task():
    """Guards against two calls for each retry of instances that start while the store is down."""

    async def scenario(world):
        for number in range(12):
            await world.instances[number].kill()
        for number in range(12):
            await world.start_instance(number)
            world.instances[number].path.set_fault("busy")
        await asyncio.sleep(OUTAGE_S)
        # The retries are 0.4 to 0.6 s apart.
        assert _count_calls(world) <= 12 * (OUTAGE_S / 0.4 + 3)
        _set_fault(world, None)
        await asyncio.sleep(2.0)
        assert all(instance.version for instance in world.instances.values())
        assert all(
            len(instance.state.members.list_names()) == 12 for instance in world.instances.values()
        )

    _run(scenario)


def test_calm_minute_has_few_calls():
    """Guards against watches and renewals that are more frequent than the bounds require."""

    async def scenario(world):
        before = _count_calls(world)
        await asyncio.sleep(60.0)
        # Two watchers, each with a watch in 1.2 s and a check in 1.5 s, and renewals in 2.4 s.
        assert _count_calls(world) - before <= 2 * (60 / 1.2 + 60 / 1.5) + 12 * (60 / 2.4 + 1)

    _run(scenario)
