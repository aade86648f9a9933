"""Keys that change while the store, a link or an instance fails.

The load that is replayed is a change of the keys at the time of one failure; what is checked is
which keys an instance accepts.
"""

import asyncio
import json

from fakestore import FakeStore
from gatewayworld import SINGLE_ROUTE, GatewaySetup
from platformworld import PlatformStandIn
from test_fleet import TIMES, Follower, make_config, wait_until

from citronpaddle.policy.feed import FeedBatch
from citronpaddle.statestore import StoreItem


def _make_config(version: int, *keys: str) -> bytes:
    """Return a configuration in which one team holds `keys`."""
    document = json.loads(make_config(version))
    return json.dumps(document | {"tenants": [{"name": "alder", "api_keys": keys}]}).encode()


def _list_valid(follower: Follower, *keys: str) -> list[str]:
    return [key for key in keys if follower.state.catalog.find_team(key)]


def _run(scenario) -> None:
    """Run `scenario` with an instance that knows version 1, in which k1 and k2 are valid."""

    async def run() -> None:
        store = FakeStore()
        store.write("op/config", _make_config(1, "k1", "k2"))
        follower = Follower(store, times=TIMES)
        follower.store_follower.start()
        await wait_until(lambda: follower.version == 1)
        try:
            await scenario(store, follower)
        finally:
            await follower.store_follower.stop()

    asyncio.run(run())


def test_key_withdrawn_while_the_store_is_away_is_refused_after_its_return():
    """Guards against a withdrawn key that stays valid, and against keys lost with the store."""

    async def scenario(store, follower):
        store.is_down = True
        store.write("op/config", _make_config(2, "k2", "k3"))
        await wait_until(lambda: "store_lost" in follower.read_log())
        assert _list_valid(follower, "k1", "k2", "k3") == ["k1", "k2"]
        store.is_down = False
        await wait_until(lambda: follower.version == 2)
        assert _list_valid(follower, "k1", "k2", "k3") == ["k2", "k3"]

    _run(scenario)


def test_key_withdrawn_while_cut_off_from_the_store_is_learned_from_a_peer():
    """Guards against a withdrawn key that one instance accepts as long as its link is cut."""

    async def scenario(store, follower):
        store.is_down = True
        await wait_until(lambda: "store_lost" in follower.read_log())
        revision = follower.state.revision
        change = StoreItem("op/config", _make_config(2, "k2"), revision + 1)
        batch = FeedBatch(revision, revision + 1, 0.0, (change,))
        follower.store_follower.apply_batch("i1", batch)
        assert _list_valid(follower, "k1", "k2") == ["k2"]

    _run(scenario)


def test_withdrawn_key_stays_withdrawn_when_the_store_returns_an_older_copy():
    """Guards against a withdrawn key that works again, or a new one that stops, after a restore.

    The store returns with version 2 of the configuration; the instance knows version 3.
    """

    async def scenario(store, follower):
        store.write("op/config", _make_config(3, "k2", "k3"))
        await wait_until(lambda: follower.version == 3)
        store.is_down = True
        store.write("op/config", _make_config(2, "k1", "k2"))
        store.compact_history()
        store.is_down = False
        await wait_until(lambda: follower.state.revision == store.revision)
        assert _list_valid(follower, "k1", "k2", "k3") == ["k2", "k3"]
        store.write("op/config", _make_config(4, "k3"))
        await wait_until(lambda: follower.version == 4)
        assert _list_valid(follower, "k1", "k2", "k3") == ["k3"]

    _run(scenario)


def test_instance_that_starts_without_the_store_refuses_with_503():
    """Guards against a 401 for a valid key: callers do not try again after one."""

    async def run() -> None:
        platform = PlatformStandIn()
        await platform.start()
        platform.store.refuses_connections = True
        teams = [{"name": "alder", "api_keys": ["k1"]}]
        platform.configure([SINGLE_ROUTE], tenants=teams)
        await platform.add("a", "s0")
        setup = GatewaySetup(platform)
        await setup.gateway.start()
        try:
            for key in ("k1", "unknown"):
                status, headers, _ = await setup.ask(headers=[f"Authorization: Token {key}"])
                assert status == 503 and float(headers["retry-after"]) > 0
            platform.store.refuses_connections = False
            await setup.wait_for_configuration()
            assert (await setup.ask(headers=["Authorization: Token k1"]))[0] == 200
        finally:
            await setup.gateway.stop()
            await platform.stop()

    asyncio.run(run())


def test_storm_of_changes_ends_with_the_newest_keys():
    """Guards against a lost or a reordered change: 300 versions in a row, each withdraws a key."""

    async def scenario(store, follower):
        keys = [f"key-{number}" for number in range(320)]
        for version in range(2, 302):
            store.write("op/config", _make_config(version, *keys[version:]))
            if version % 20 == 0:
                await asyncio.sleep(0)
        await wait_until(lambda: follower.version == 301)
        assert _list_valid(follower, *keys) == keys[301:]

    _run(scenario)
