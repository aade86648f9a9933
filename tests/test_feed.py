"""Change feed: two watchers read the store's changes for a whole failure domain."""

import asyncio
import itertools
import json
from collections.abc import Callable, Iterable
from random import Random

from fakestore import FakeStore
from hypothesis import given, settings
from hypothesis import strategies as st
from test_fleet import TIMES, Follower, make_config, make_entry, wait_until

from citronpaddle.adapters.hintchannel import MAX_DATAGRAM_BYTES, PeerMessage, decode, encode
from citronpaddle.clock import SystemClock
from citronpaddle.policy.feed import (
    MAX_BATCHES,
    MAX_WATCH_AGE_MS,
    WATCHER_TIMEOUT_MS,
    BatchPosition,
    Feed,
    FeedBatch,
    classify_batch,
    split_changes,
)
from citronpaddle.statestore import StoreChanges, StoreItem

WATCHERS = ("i0", "i1")


def test_batch_is_applied_only_without_a_gap():
    """Guards against stale configuration: a lost change must be detected as a gap."""
    assert classify_batch(FeedBatch(5, 9, 0.0), known_revision=9) is BatchPosition.KNOWN
    assert classify_batch(FeedBatch(5, 9, 0.0), known_revision=5) is BatchPosition.NEXT
    assert classify_batch(FeedBatch(5, 9, 0.0), known_revision=7) is BatchPosition.NEXT
    assert classify_batch(FeedBatch(5, 9, 0.0), known_revision=4) is BatchPosition.GAP
    assert classify_batch(FeedBatch(9, 9, 0.0), known_revision=8) is BatchPosition.GAP


@settings(deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 3), st.integers(0, 9_000) | st.none()), max_size=40),
)
def test_split_changes_are_whole_and_fit_datagrams(steps):
    """Guards against a split transaction, a missing change and an oversized datagram.

    The values are random bytes, which do not compress, so some batches are sent without changes.
    """
    revision = 100
    items = []
    for step, size in steps:
        revision += step
        value = None if size is None else Random(size).randbytes(size)
        items.append(StoreItem(f"servers/{len(items)}", value, max(101, revision)))
    last = max([101, *(item.revision for item in items)]) + 1
    batches = split_changes(100, StoreChanges(tuple(items), last), 1.0)
    assert len(batches) <= MAX_BATCHES + 1
    assert batches[-1].to_revision == last
    if batches[0].from_revision == last:
        assert len(batches) == 1 and not batches[0].changes
        return
    assert batches[0].from_revision == 100
    for before, after in itertools.pairwise(batches):
        assert before.to_revision == after.from_revision
        assert max(item.revision for item in before.changes) < after.changes[0].revision
    assert [item for batch in batches for item in batch.changes] == items
    for batch in batches:
        message = PeerMessage("front-cartago-a-1", 1.0, (), batch)
        data = encode(message)
        assert len(data) <= MAX_DATAGRAM_BYTES
        short = message._replace(feed=batch.without_changes)
        assert decode(data) in (message, short)


def test_typical_changes_fit_datagrams():
    """Guards against every instance reading changes that watchers could have relayed.

    The changes are the entries of 300 upstreams of a new index and a configuration of 50 routes
    over them.
    """
    draw = Random(1)
    names = [f"{draw.randbytes(4).hex()}" for _ in range(100)]
    entries = [
        make_entry(
            service=draw.choice(names),
            address=f"10.{draw.randrange(3)}.64.{draw.randrange(250)}:8{draw.randrange(999):03}",
            born=1_796_383_000_000 + draw.randrange(9_999_999),
            sequence=number,
        )
        for number in range(300)
    ]
    routes = [
        {"name": f"r{draw.randbytes(4).hex()}", "prefix": f"/{draw.randbytes(4).hex()}/"}
        | {"host": "pupu76.example", "fanout_services": names, "timeout_ms": 2000, "top_k": 20}
        for _ in range(4)
    ] + [
        {"name": f"r{draw.randbytes(4).hex()}", "prefix": f"/{draw.randbytes(4).hex()}/"}
        | {"host": "pupu76.example", "service": draw.choice(names), "timeout_ms": 2000}
        for _ in range(46)
    ]
    services = [{"name": name, "max_connections": 67, "warmup_s": 3.0} for name in names]
    config = json.dumps({"version": 7, "routes": routes, "services": services}).encode()
    items = [
        *(
            StoreItem(f"servers/i-{draw.randbytes(5).hex()}", value, 10 + number)
            for number, value in enumerate(entries)
        ),
        StoreItem("op/config", config, 400),
    ]
    batches = split_changes(9, StoreChanges(tuple(items), 400), 1.0)
    for batch in batches:
        message = PeerMessage("front-cartago-a-1", 1.0, (), batch)
        assert batch.changes and decode(encode(message)) == message


def test_watcher_without_a_recent_watch_is_not_relied_on():
    """Guards against stale configuration: a disconnected or silent watcher does not count."""
    feed = Feed("i9")
    feed.set_watchers(WATCHERS)
    assert not feed.has_live_watcher(0.0)
    feed.record_batch("i0", FeedBatch(5, 5, 10.0), 0.0)
    assert feed.has_live_watcher(WATCHER_TIMEOUT_MS - 1)
    assert not feed.has_live_watcher(WATCHER_TIMEOUT_MS)
    feed.record_batch("i0", FeedBatch(5, 5, MAX_WATCH_AGE_MS + 1), 2_000.0)
    assert not feed.has_live_watcher(2_001.0)
    feed.record_batch("i5", FeedBatch(5, 5, 10.0), 2_000.0)
    assert not feed.has_live_watcher(2_001.0), "not a watcher of this domain"
    feed.set_watchers(("i0", "i9"))
    feed.record_batch("i0", FeedBatch(5, 5, 10.0), 2_000.0)
    assert not feed.has_live_watcher(2_001.0), "a watcher reads the store itself"


class StoreConnection:
    """One instance's connection to a store.

    Answers to its watches are lost while `is_hanging`, and delayed while `is_delayed`.
    """

    def __init__(self, store: FakeStore) -> None:
        self.is_hanging = False
        self.is_delayed = False
        self.watch_calls = 0
        self.pending_watches = 0
        self._store = store

    def __getattr__(self, name: str):
        return getattr(self._store, name)

    async def watch(self, prefix: str, after: int, wait_ms: int):
        self.watch_calls += 1
        self.pending_watches += 1
        try:
            answer = await self._store.watch(prefix, after, wait_ms)
            if self.is_hanging:
                await asyncio.Event().wait()
            while self.is_delayed:  # noqa: ASYNC110 - set by tests
                await asyncio.sleep(0.001)
            return answer
        finally:
            self.pending_watches -= 1


class FailureDomain:
    """Instances that relay changes to each other.

    `is_lost` returns whether a batch from one instance to another is lost.
    """

    def __init__(self, store: FakeStore, count: int) -> None:
        self.is_lost: Callable[[str, str, FeedBatch], bool] = lambda sender, receiver, batch: False
        self.killed: set[str] = set()
        self.followers: dict[str, Follower] = {}
        self.connections: dict[str, StoreConnection] = {}
        times = TIMES._replace(
            lease_ms=60_000.0,
            check_ms=60_000.0,
            feed_check_ms=5.0,
            role_check_ms=5.0,
            watcher_wait_ms=100,
            gap_timeout_ms=50.0,
        )
        for number in range(count):
            name = f"i{number}"
            feed = Feed(name)
            feed.set_watchers(WATCHERS)
            connection = self.connections[name] = StoreConnection(store)
            self.followers[name] = Follower(connection, name, times, feed, self._make_relay(name))
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    async def start(self) -> None:
        """Start all instances and wait for the first configuration."""
        for follower in self.followers.values():
            follower.store_follower.start()
        await self.expect_version(1)

    def lose_all_to(self, name: str) -> None:
        """Lose all batches to the instance `name` from now on."""
        self.is_lost = lambda sender, receiver, batch: receiver == name

    def lose_none(self) -> None:
        """Deliver all batches from now on."""
        self.is_lost = lambda sender, receiver, batch: False

    def deliver_to_only(self, name: str, sender: str) -> None:
        """Of the batches to `name`, deliver only those of `sender` that report changes."""
        self.is_lost = lambda source, receiver, batch: receiver == name and (
            source != sender or batch.from_revision == batch.to_revision
        )

    async def expect_revision(self, revision: int, names: Iterable[str]) -> None:
        """Wait until the instances in `names` know `revision`."""
        await wait_until(
            lambda: all(self.followers[name].state.revision >= revision for name in names)
        )

    async def stop(self) -> None:
        """Stop the instances that have not been killed."""
        self._heartbeats.cancel()
        for name in self.followers.keys() - self.killed:
            await self.followers[name].store_follower.stop()

    async def kill(self, name: str) -> None:
        """Stop an instance and lose all further messages to and from it."""
        self.killed.add(name)
        await self.followers[name].store_follower.stop()

    async def expect_version(self, version: int) -> None:
        """Wait until all live instances use this version of the configuration."""
        alive = self.followers.keys() - self.killed
        await wait_until(lambda: all(self.followers[name].version == version for name in alive))

    def _make_relay(self, name: str):
        def relay(after, changes):
            for batch in split_changes(after, changes, 0.0):
                self._send(name, batch)

        return relay

    def _send(self, sender: str, batch: FeedBatch) -> None:
        if self.followers[sender].feed.is_watcher and sender not in self.killed:
            for name in self.followers.keys() - self.killed - {sender}:
                if not self.is_lost(sender, name, batch):
                    self.followers[name].store_follower.apply_batch(sender, batch)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            for name, follower in self.followers.items():
                state = follower.state
                if state.revision:
                    age_ms = SystemClock().now_ms() - state.store_read_ms
                    self._send(name, FeedBatch(state.revision, state.revision, age_ms))


def run_scenario(script) -> None:
    """Run `script` with a failure domain of 12 instances that follow a store."""

    async def run() -> None:
        store = FakeStore()
        store.write("op/config", make_config(1))
        store.write("servers/a", make_entry())
        domain = FailureDomain(store, 12)
        await domain.start()
        try:
            await script(store, domain)
        finally:
            await domain.stop()

    asyncio.run(run())


def test_small_changes_reach_all_instances_by_two_watches():
    """Guards against one store call per instance and change: 100 changes at 12 instances."""

    async def script(store, domain):
        await wait_until(lambda: store.log.count("watch") >= 12)
        await asyncio.sleep(0.1)
        calls = store.log.count("watch")
        for number in range(100):
            store.write("servers/a", make_entry(sequence=number + 2))
            await asyncio.sleep(0.01)
        store.write("op/config", make_config(5))
        await domain.expect_version(5)
        # The watchers also call after 100 ms without changes. Each of the ten others has the watch
        # that it began before it received their batches.
        assert store.log.count("watch") - calls <= 2 * 150 + 10

    run_scenario(script)


def test_lost_datagram_is_recovered():
    """Guards against an instance that stays behind after one lost datagram."""

    async def script(store, domain):
        domain.lose_all_to("i7")
        store.write("op/config", make_config(5))
        domain.lose_none()
        store.write("servers/b", make_entry())
        await domain.expect_version(5)
        await wait_until(lambda: domain.followers["i7"].list_upstreams() == ["a", "b"])

    run_scenario(script)


def test_large_changes_are_read_from_the_store():
    """Guards against more datagrams than a link can carry: 900 upstreams are added at once."""

    async def script(store, domain):
        for number in range(900):
            store.write(f"servers/x{number}", make_entry(version="v" * 300))
        store.write("op/config", make_config(5))
        await domain.expect_version(5)
        await wait_until(
            lambda: all(len(f.list_upstreams()) == 901 for f in domain.followers.values())
        )

    run_scenario(script)


def test_watcher_whose_watch_hangs_is_not_relied_on():
    """Guards against stale configuration: watchers send heartbeats, but their watches hang.

    In a soak test (seed 301 with 27 instances), the connection of a watch hung before its instance
    became a watcher, and the domain was 4.3 s behind.
    """

    async def script(store, domain):
        await asyncio.sleep(0.2)
        for name in WATCHERS:
            domain.connections[name].is_hanging = True
        await asyncio.sleep(0.2)
        store.write("op/config", make_config(5))
        others = domain.followers.keys() - set(WATCHERS)
        await wait_until(lambda: all(domain.followers[name].version == 5 for name in others))

    run_scenario(script)


def test_new_watcher_restarts_its_watch():
    """Guards against a new watcher that waits for the end of its previous, longer watch."""

    async def script(store, domain):
        await asyncio.sleep(0.1)
        calls = store.log.count("watch")
        for follower in domain.followers.values():
            follower.feed.set_watchers(("i5", "i6"))
        await wait_until(lambda: store.log.count("watch") >= calls + 2)
        assert domain.followers["i5"].feed.is_watcher

    run_scenario(script)


def test_instances_apply_changes_after_both_watchers_are_killed():
    """Guards against stale configuration after the loss of both watchers."""

    async def script(store, domain):
        for name in WATCHERS:
            await domain.kill(name)
        store.write("op/config", make_config(5))
        await domain.expect_version(5)
        store.write("op/config", make_config(7))
        await domain.expect_version(7)

    run_scenario(script)


async def make_all_receive_feed(store: FakeStore, domain: FailureDomain) -> None:
    """Wait until all instances know the same changes and only the watchers have a watch."""
    store.write("servers/b", make_entry())
    await domain.expect_revision(store.revision, domain.followers)
    names = domain.followers.keys() - set(WATCHERS)
    await wait_until(lambda: not any(domain.connections[name].pending_watches for name in names))


async def begin_unanswered_watch(store: FakeStore, domain: FailureDomain, name: str) -> None:
    """Let the instance `name` receive the feed, with a pending watch that is never answered."""
    await make_all_receive_feed(store, domain)
    domain.lose_all_to(name)
    connection = domain.connections[name]
    connection.is_hanging = True
    await wait_until(lambda: connection.pending_watches == 1)
    domain.lose_none()
    store.write("servers/c", make_entry())
    await domain.expect_revision(store.revision, domain.followers)
    connection.is_hanging = False


async def lose_configuration(store: FakeStore, domain: FailureDomain, name: str) -> None:
    """Write version 5, and lose all batches to the instance `name` from then on."""
    domain.lose_all_to(name)
    store.write("op/config", make_config(5))
    others = domain.followers.keys() - {name}
    await wait_until(lambda: all(domain.followers[other].version == 5 for other in others))


async def expect_no_lost_change(store: FakeStore, domain: FailureDomain, name: str) -> None:
    """Wait until the instance `name` knows the newest revision, and expect version 5."""
    domain.lose_none()
    await domain.expect_revision(store.revision, {name})
    assert domain.followers[name].version == 5


def test_batch_does_not_claim_changes_that_its_watcher_has_from_another():
    """Guards against a lost configuration: a watcher relays up to where it has read, no further.

    The watch of i0 is answered late, when i0 has newer changes from the batches of i1.
    """

    async def script(store, domain):
        await make_all_receive_feed(store, domain)
        domain.connections["i0"].is_delayed = True
        store.write("servers/c", make_entry())
        await domain.expect_revision(store.revision, domain.followers)
        await lose_configuration(store, domain, "i7")
        domain.deliver_to_only("i7", "i0")
        calls = domain.connections["i0"].watch_calls
        domain.connections["i0"].is_delayed = False
        await wait_until(lambda: domain.connections["i0"].watch_calls > calls)
        await expect_no_lost_change(store, domain, "i7")

    run_scenario(script)


def test_new_watcher_does_not_claim_changes_that_it_has_not_read():
    """Guards against a lost configuration: a new watcher abandons a watch and has read nothing."""

    async def script(store, domain):
        await begin_unanswered_watch(store, domain, "i5")
        await lose_configuration(store, domain, "i7")
        domain.deliver_to_only("i7", "i5")
        domain.connections["i7"].is_delayed = True
        calls = domain.connections["i5"].watch_calls
        for follower in domain.followers.values():
            follower.feed.set_watchers(("i5", "i6"))
        await wait_until(lambda: domain.connections["i5"].watch_calls > calls)
        domain.connections["i7"].is_delayed = False
        await expect_no_lost_change(store, domain, "i7")

    run_scenario(script)


def test_unanswered_watch_does_not_delay_the_reading_of_missed_changes():
    """Guards against an old configuration for 27 s: a pending watch that is never answered.

    While the instance receives the feed, nothing depends on that watch, until a datagram is lost.
    """

    async def script(store, domain):
        await begin_unanswered_watch(store, domain, "i7")
        await lose_configuration(store, domain, "i7")
        domain.lose_none()
        await domain.expect_version(5)

    run_scenario(script)
