"""Tests of the restore of the store from a copy some seconds old, in virtual time.

A copy is made, the operator, the upstreams and the instances write on, and the store comes back as
of the copy. Its revisions go back and are given out again, and the writers write again what it
lacks. The domain of twelve has watchers; in that of four, each instance reads for itself.
"""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from fakestore import FakeStore
from fleetworld import FleetWorld, SimulatedInstance, run_fleet
from platformworld import StoreStandIn
from test_fleet import Follower, make_entry

from citronpaddle.adapters.connections import ConnectionPool
from citronpaddle.clock import SystemClock
from citronpaddle.platform.store import HttpStateStore
from citronpaddle.statestore import HistoryLost, LeaseEnded, StoreFailure, StoreItem, StoreView

# Entries are written again within two seconds; what is read of them is in force 4 s later.
SETTLE_S = 6.0


def _run(scenario: Callable[[FleetWorld], Awaitable[None]], count: int, seed: int) -> None:
    """Run `scenario` with `count` instances that follow the store, in virtual time."""
    run_fleet(scenario, count, seed, 900.0, 5.0)


def _list_running(world: FleetWorld) -> list[SimulatedInstance]:
    return list(world.instances.values())


def _list_upstreams(instance: SimulatedInstance) -> set[str]:
    return {upstream.id for upstream in instance.state.registry.list_available("s0")}


async def _check_all_the_while(world: FleetWorld, check, for_s: float) -> None:
    for _ in range(int(for_s / 0.1)):
        for instance in _list_running(world):
            check(instance)
        await asyncio.sleep(0.1)


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("count", [4, 12])
def test_state_after_the_copy_stays_in_force(count, seed):
    """Guards against an older configuration, a domain back in use and upstreams lost meanwhile."""

    async def scenario(world):
        store = world.store
        store.copy()
        world.write_configuration()
        version = world.acknowledged[-1][1]
        entry = make_entry(sequence=10_000)
        store.write("servers/new", entry)
        store.write("op/evacuate/b", b"{}")
        await asyncio.sleep(5.0)
        store.restore()

        def check(instance):
            assert instance.version == version
            assert "new" in _list_upstreams(instance)
            assert instance.state.registry.out_domains == {"b"}

        await _check_all_the_while(world, check, 1.5)
        store.write("servers/new", entry)
        store.write("op/evacuate/b", b"{}")
        await _check_all_the_while(world, check, 15.0)

    _run(scenario, count, seed)


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("count", [4, 12])
def test_changes_at_revisions_given_out_again_are_applied(count, seed):
    """Guards against a change that is skipped since its revision was known before the restore."""

    async def scenario(world):
        store = world.store
        store.copy()
        for number in range(40):
            store.write(f"servers/u{number}", make_entry(sequence=10_000 + number))
        await asyncio.sleep(5.0)
        store.restore()
        store.write("servers/late", make_entry(sequence=20_000))
        world.write_configuration()
        await asyncio.sleep(SETTLE_S)
        for instance in _list_running(world):
            assert "late" in _list_upstreams(instance)
            assert instance.version == world.acknowledged[-1][1]
            assert instance.state.era == store.era

    _run(scenario, count, seed)


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("count", [4, 12])
def test_what_was_removed_after_the_copy_stays_removed(count, seed):
    """Guards against an upstream that had left and an instance that was lost being used again."""

    async def scenario(world):
        store = world.store
        store.write("servers/left", make_entry(sequence=10_000))
        store.write("servers/leaving", make_entry(sequence=10_000))
        await asyncio.sleep(3.0)
        store.copy()
        store.write("servers/left", None)
        store.write("servers/leaving", make_entry(sequence=10_001, state="draining"))
        lost = world.instances.pop(count - 1)
        await lost.kill()
        # The lease of the lost instance ends before the restore.
        for _ in range(60):
            store.expire(asyncio.get_running_loop().time() * 1_000)
            await asyncio.sleep(0.1)
        store.restore()

        def check(instance):
            assert not {"left", "leaving"} & _list_upstreams(instance)
            assert lost.state.members.own.name not in instance.state.members.list_names()

        await _check_all_the_while(world, check, 8.0)
        # Started again, it is used.
        store.write("servers/left", make_entry(sequence=1, born=2))
        await asyncio.sleep(SETTLE_S)
        for instance in _list_running(world):
            assert "left" in _list_upstreams(instance)

    _run(scenario, count, seed)


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("count", [4, 12])
def test_instances_write_their_entries_again(count, seed):
    """Guards against an instance that no caller is sent to, as its lease is gone with the copy."""

    async def scenario(world):
        store = world.store
        store.copy()
        await world.start_instance(count)
        await asyncio.sleep(5.0)
        store.restore()
        names = {f"i{number:02}" for number in world.instances}
        await asyncio.sleep(SETTLE_S)
        assert {key.rpartition("/")[2] for key in store.items if "instances/" in key} == names
        for instance in _list_running(world):
            assert set(instance.state.members.list_names()) == names

    _run(scenario, count, seed)


def test_operator_key_that_is_not_written_again_ends():
    """Guards against a failure domain that stays out of use permanently after a restore."""

    async def scenario(world):
        world.store.copy()
        world.store.write("op/evacuate/b", b"{}")
        await asyncio.sleep(5.0)
        world.store.restore()
        await asyncio.sleep(15.0)
        for instance in _list_running(world):
            assert not instance.state.registry.out_domains

    _run(scenario, 4, 1)


def test_removal_of_an_earlier_era_is_forgotten():
    """Guards against an entry that is ignored: its key was removed at a later revision before.

    The store is restored during a full read, after a relayed removal.
    """
    updater = Follower(FakeStore()).store_follower._updater
    state = updater._state
    updater.apply_changes((StoreItem("op/evacuate/b", b"{}", 10),), 10)
    updater.begin_full_read()
    updater.apply_changes((StoreItem("op/evacuate/b", None, 20),), 20)
    updater.begin_era()
    updater.apply_view(StoreView((StoreItem("op/evacuate/b", b"{}", 15),), 15, 1))
    assert state.registry.out_domains == {"b"} and state.revision == 15


def _call_store(scenario: Callable[[HttpStateStore, StoreStandIn], Awaitable[None]]) -> None:
    """Run `scenario` with the client of the platform's store and a stand-in for it."""

    async def run() -> None:
        standin = StoreStandIn()
        await standin.start()
        standin.era = 3
        pool = ConnectionPool(SystemClock())
        try:
            await scenario(HttpStateStore(("127.0.0.1", standin.port), pool), standin)
        finally:
            pool.close()
            await standin.stop()

    asyncio.run(run())


def test_lease_and_watch_of_an_earlier_era_have_ended():
    """Guards against a lease that is taken for another's, and a watch that skips changes."""

    async def scenario(store, standin):
        view = await store.read_all("")
        assert (view.era, store.era) == (3, 3)
        lease = await store.grant_lease(60_000.0)
        assert await store.renew_lease(lease, 2_000.0) == lease
        standin.era = 4
        # The stand-in still knows the lease, as if its id had been given out again.
        assert isinstance(await store.renew_lease(lease, 2_000.0), LeaseEnded)
        assert isinstance(await store.put("k", b"v", lease), LeaseEnded)
        watch = asyncio.ensure_future(store.watch("", view.revision + 10, 20_000))
        standin.era = 5
        standin.revision = view.revision + 10
        while not watch.done():
            standin.write("k", b"v")
            await asyncio.sleep(0.01)
        assert isinstance(await watch, HistoryLost)

    _call_store(scenario)


@pytest.mark.parametrize("era", ["", "-1", "x", "1" * 40, "3.5"])
def test_odd_era_counts_as_none(era):
    """Guards against an invalid header after which the store is no longer followed."""

    async def scenario(store, standin):
        await store.read_revision()
        standin.era = era
        assert await store.read_revision() == standin.revision
        assert store.era == 3

    _call_store(scenario)


def test_answer_of_an_earlier_era_is_a_failure():
    """Guards against an answer that was delayed until after the restore."""

    async def scenario(store, standin):
        await store.read_revision()
        standin.era = 2
        assert isinstance(await store.read_revision(), StoreFailure)

    _call_store(scenario)
