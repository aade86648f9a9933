"""Entries that are removed around outages of the store, in virtual time with real intervals.

A failed or cut call is no outage: removals take effect at once. After an outage, entries that
lapsed in it are kept for as long as their writers need to write them again.
"""

import asyncio

import pytest
from fleetworld import FleetWorld, LoopClock, run_fleet
from test_fleet import make_entry

from citronpaddle.policy.outages import RETURN_GRACE_MS, LapsedEntries, StoreContact
from citronpaddle.sharedstate import SPENDING_PREFIX

KEY = "servers/leaving"
CONTACT_S = 4.0
INTERVAL_MS = 900.0
SETTLING_S = 6.0
# A failure domain of this size has watchers that read the store for the others.
FED_INSTANCES = 9


def is_listed(world: FleetWorld, number: int = 0) -> bool:
    """Return whether an instance sends requests to the upstream of `KEY`."""
    available = world.instances[number].state.registry.list_available("s0")
    return "leaving" in {upstream.id for upstream in available}


def list_missing(world: FleetWorld) -> list[int]:
    """Return the instances that send no requests to the upstream of `KEY`."""
    return [number for number in world.instances if not is_listed(world, number)]


async def expire_leases(world: FleetWorld) -> None:
    """End leases whose time is over, as the store does, until cancelled."""
    while True:
        world.store.expire(LoopClock().now_ms())
        await asyncio.sleep(0.05)


async def start_upstream(world: FleetWorld) -> None:
    """List the upstream of `KEY` at all instances."""
    world.store.write(KEY, make_entry())
    await asyncio.sleep(2.0)
    assert list_missing(world) == []


def run(scenario, count: int = 1, seed: int = 1) -> None:
    """Run a scenario while leases expire."""

    async def play(world: FleetWorld) -> None:
        expiry = asyncio.ensure_future(expire_leases(world))
        await start_upstream(world)
        await scenario(world)
        expiry.cancel()

    run_fleet(play, count, seed, INTERVAL_MS, SETTLING_S)


@pytest.mark.parametrize("phase_s", [0.0, 0.4, 0.8, 1.2, 1.6, 2.0])
@pytest.mark.parametrize("gap_s", [0.0, 0.6, 1.2, 2.0])
def test_removal_after_a_cut_watch_takes_effect_at_once(phase_s, gap_s):
    """Guards against requests to an upstream that left after one call of the store was cut."""

    async def scenario(world):
        await asyncio.sleep(phase_s)
        path = world.instances[0].path
        path.set_fault("reset")
        await asyncio.sleep(0.005)
        path.set_fault(None)
        await asyncio.sleep(gap_s)
        world.store.write(KEY, None)
        await asyncio.sleep(1.5)
        assert not is_listed(world)

    run(scenario)


@pytest.mark.parametrize("fault", ["cut", "silent", "busy", "reset"])
@pytest.mark.parametrize("phase_s", [0.0, 0.3, 0.6, 0.9, 1.2])
def test_removal_after_a_cut_instance_is_back_takes_effect_in_time(fault, phase_s):
    """Guards against requests to an upstream that left, once the instance is in touch again.

    It has to take effect within the time after which an instance counts as in touch, although the
    instance can't tell the cut from an outage of the store, in which the entry may have lapsed.
    """

    async def scenario(world):
        await asyncio.sleep(phase_s)
        path = world.instances[0].path
        path.set_fault(fault)
        await asyncio.sleep(5.5)
        path.set_fault(None)
        await asyncio.sleep(0.9)
        world.store.write(KEY, None)
        await asyncio.sleep(CONTACT_S - 0.9)
        assert not is_listed(world)

    run(scenario)


@pytest.mark.parametrize("count", [1, FED_INSTANCES])
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("outage_s", [2.5, 6.0, 15.0])
def test_entries_that_lapse_in_an_outage_are_kept_by_every_instance(count, seed, outage_s):
    """Guards against dropping running upstreams when the store is back from an outage.

    Those that a watcher feeds must not apply its changes before they know of the outage.
    """

    async def scenario(world):
        world.store.is_down = True
        await asyncio.sleep(outage_s - 0.1)
        world.store.write(KEY, None)
        await asyncio.sleep(0.1)
        world.store.is_down = False
        end_s = LoopClock().now_ms() / 1_000 + 2.0
        while LoopClock().now_ms() / 1_000 < end_s:
            await asyncio.sleep(0.05)
            assert list_missing(world) == []
        world.store.write(KEY, make_entry(sequence=2))
        for _ in range(100):
            await asyncio.sleep(0.05)
            assert list_missing(world) == []

    run(scenario, count, seed)


def test_an_upstream_that_left_in_an_outage_is_removed_although_calls_go_on_failing():
    """Guards against a grace period that each answer after a failure starts anew."""

    async def scenario(world):
        path = world.instances[0].path
        world.store.is_down = True
        await asyncio.sleep(5.0)
        world.store.write(KEY, None)
        world.store.is_down = False
        for _ in range(8):
            await asyncio.sleep(1.2)
            path.set_fault("reset")
            await asyncio.sleep(0.3)
            path.set_fault(None)
        assert not is_listed(world)

    run(scenario)


@pytest.mark.parametrize("fault", ["cut", "silent", "busy", "reset"])
@pytest.mark.parametrize("length_s", [0.005, 2.5, 5.5])
def test_the_directory_does_not_name_a_lost_instance_after_failed_calls(fault, length_s):
    """Guards against callers that are sent to a machine that was lost seconds before.

    It is lost 1.5 s before the calls of another one fail. Once that one is in touch again, it names
    the lost one no more.
    """

    async def scenario(world):
        await world.instances[1].kill()
        await asyncio.sleep(1.5)
        path = world.instances[0].path
        path.set_fault(fault)
        await asyncio.sleep(length_s)
        path.set_fault(None)
        await asyncio.sleep(CONTACT_S)
        # An entry that was written again comes last.
        assert sorted(world.instances[0].state.members.list_names()) == ["i00", "i02"]

    run(scenario, 3)


@pytest.mark.parametrize("count", [3, FED_INSTANCES])
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("outage_s", [3.0, 5.5, 15.0])
def test_instances_whose_entries_lapse_in_an_outage_stay_in_the_directory(count, seed, outage_s):
    """Guards against sending all callers to few instances after an outage of the store."""

    async def scenario(world):
        names = sorted(world.instances[0].state.members.list_names())
        assert len(names) == count
        world.store.is_down = True
        await asyncio.sleep(outage_s)
        world.store.is_down = False
        for _ in range(120):
            await asyncio.sleep(0.05)
            for instance in world.instances.values():
                assert sorted(instance.state.members.list_names()) == names

    run(scenario, count, seed)


def test_records_of_spending_do_not_delay_the_change_of_an_upstream():
    """Guards against calls to an upstream that left while the pause after another change lasts."""

    async def scenario(world):
        for number in range(3):
            await asyncio.sleep(2.0)
            # The first ends a watch that was pending for long, after which there is no pause.
            for value in (b"{}", b"[]"):
                world.store.write(f"{SPENDING_PREFIX}i{number}", value)
                await asyncio.sleep(0.1)
            world.store.write(KEY, None)
            await asyncio.sleep(0.5)
            assert not is_listed(world)
            await start_upstream(world)

    run(scenario)


def test_a_further_outage_suspends_the_grace_period():
    """Guards against dropping an upstream whose entry couldn't be written again, and against
    keeping one for good while outages follow one another.
    """
    lapsed = LapsedEntries()
    lapsed.handle_store_return(10_000.0, 5_000.0)
    assert lapsed.keep("u", 10_100.0)
    # The store is away from 11 s to 14 s: 1.5 s of the grace period are left.
    lapsed.handle_store_return(14_000.0, 3_000.0)
    assert lapsed.pop_expired(14_000.0 + RETURN_GRACE_MS - 1_000.0 - 1.0) == []
    for number in range(1, 4):
        # Each time, the store answers for 0.4 s.
        lapsed.handle_store_return(14_000.0 + number * 3_400.0, 3_000.0)
    assert lapsed.pop_expired(24_200.0 + 300.0 - 1.0) == []
    assert lapsed.pop_expired(24_200.0 + 300.0) == ["u"]


def test_only_a_silence_in_which_entries_lapse_is_an_outage():
    """Guards against a grace period after calls that fail while the store answers others."""
    contact = StoreContact()
    assert contact.record_answer(50_000.0) == 0.0
    for at_ms in (51_200.0, 52_400.0):
        contact.record_failure()
        contact.record_failure()
        assert contact.is_lost
        assert contact.record_answer(at_ms) == 0.0
        assert not contact.is_doubtful
    assert contact.record_answer(62_400.0) == 0.0
    contact.record_failure()
    assert contact.is_doubtful and not contact.is_lost
    assert contact.record_answer(66_000.0) == 3_600.0


def test_an_answer_that_a_watcher_relays_shows_that_the_store_is_up():
    """Guards against a grace period of an instance whose own calls are rare."""
    contact = StoreContact()
    contact.record_answer(50_000.0)
    for at_ms in (51_000.0, 53_000.0, 52_200.0, 55_000.0):
        assert contact.record_relayed_answer(at_ms) == 0.0
    contact.record_failure()
    assert contact.record_answer(56_500.0) == 0.0
    assert contact.record_relayed_answer(59_000.0) == 2_500.0
    contact.record_failure()
    assert contact.record_relayed_answer(61_100.0) == 2_100.0
