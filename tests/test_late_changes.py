"""How late a confirmed configuration may be in force, link by link, in virtual time.

The store keeps its promises but no more than those: an answer may be lost, and an answer has a
largest size. An instance has a path to it for `CONTACT_S` before it is checked.
"""

import asyncio
import json

import pytest
from fleetworld import FleetWorld, run_fleet
from test_fleet import make_config

# The bounds of the small sites.
CONTACT_S = 4.0
APPLY_S = 3.0
INTERVAL_MS = 900.0
SETTLING_S = 6.0
# Half of the largest value that the store takes.
LARGE_VALUE_BYTES = 524_288


def run(scenario, settling_s: float = SETTLING_S) -> None:
    """Run a scenario with one instance, which reads the store itself."""
    run_fleet(scenario, 1, 1, INTERVAL_MS, settling_s)


async def lose_answers(world: FleetWorld, for_s: float) -> None:
    """Give no answer to the calls of the instance while a configuration is written."""
    path = world.instances[0].path
    path.set_fault("silent")
    world.write_configuration()
    await asyncio.sleep(for_s)
    path.set_fault(None)


@pytest.mark.parametrize("phase_s", [0.0, 0.2, 0.4, 0.6, 0.8, 1.0, 1.2, 1.4])
@pytest.mark.parametrize("for_s", [0.1, 0.5, 0.9])
def test_lost_answer_of_the_watch_is_found_in_time(for_s, phase_s):
    """Guards against a check of the watch that comes too late for the time allowed."""

    async def scenario(world):
        await asyncio.sleep(phase_s)
        await lose_answers(world, for_s)
        await asyncio.sleep(CONTACT_S)
        assert world.instances[0].version == 2

    run(scenario)


@pytest.mark.parametrize("phase_s", [0.0, 0.5, 1.0, 1.5])
def test_change_is_read_while_writes_get_no_answer(phase_s):
    """Guards against a watch that waits for the answer to a write after it was cut."""

    async def scenario(world):
        path = world.instances[0].path
        world.store.loses_writes = True
        for key in [key for key in world.store.items if key.startswith("citronpaddle/")]:
            world.store.write(key, None)
        await asyncio.sleep(1.0 + phase_s)
        path.set_fault("reset")
        await asyncio.sleep(0.005)
        path.set_fault(None)
        world.write_configuration()
        await asyncio.sleep(APPLY_S)
        assert world.instances[0].version == 2

    run(scenario)


def test_large_changes_after_a_cut_are_read_without_pauses():
    """Guards against a pause after each answer while large changes fill several of them."""

    async def scenario(world):
        path = world.instances[0].path
        path.set_fault("cut")
        for version in range(2, 18):
            document = json.loads(make_config(version)) | {"padding": "x" * LARGE_VALUE_BYTES}
            world.store.write("op/config", json.dumps(document).encode())
            await asyncio.sleep(0.5)
        path.set_fault(None)
        await asyncio.sleep(CONTACT_S)
        assert world.instances[0].version == 17

    run(scenario)


@pytest.mark.parametrize("length_s", [1.0, 2.0, 3.0, 4.0, 5.0, 6.0])
@pytest.mark.parametrize("fault", ["busy", "reset", "silent"])
def test_first_configuration_is_read_after_an_outage_before_it(fault, length_s):
    """Guards against two tasks of which each waits for the other's call while none is made."""

    async def scenario(world):
        path = world.instances[0].path
        path.set_fault(fault)
        await asyncio.sleep(length_s)
        path.set_fault(None)
        world.write_configuration()
        await asyncio.sleep(APPLY_S)
        assert world.instances[0].version > 0

    run_without_configuration(scenario)


def run_without_configuration(scenario) -> None:
    """Run a scenario with an instance that starts before the first configuration is written."""

    async def start_again(world):
        await world.instances[0].kill()
        world.store.write("op/config", None)
        await world.start_instance(0)
        await asyncio.sleep(SETTLING_S)
        await scenario(world)

    run(start_again, 0.0)
