"""Tests of following the store: outages, stuck watches, lost history, invalid entries.

Intervals are shortened. Results depend on the final state only, not on how long a step takes.
"""

import asyncio
import json
import os
from collections.abc import Awaitable, Callable

import pytest
from fakestore import FakeStore

from citronpaddle.adapters.eventlog import EventLog
from citronpaddle.availability import StoreCallTimes
from citronpaddle.clock import SystemClock
from citronpaddle.fleet import StoreFollower
from citronpaddle.platform.codec import PlatformStateDecoder
from citronpaddle.policy.feed import Feed, FeedBatch
from citronpaddle.policy.members import Member, Members
from citronpaddle.policy.registry import Registry
from citronpaddle.policy.selection import Selector
from citronpaddle.policy.slowstart import ColdLimits, SlowStart
from citronpaddle.randomness import RandomSource
from citronpaddle.sharedstate import MEMBER_PREFIX, SharedState
from citronpaddle.statestore import StoreItem

TIMES = StoreCallTimes(
    watch_wait_ms=600_000,
    watch_interval_ms=5.0,
    first_retry_ms=5.0,
    max_retry_ms=20.0,
    lease_ms=50.0,
    check_ms=30.0,
    check_tolerance_ms=20.0,
)
ROUTE = {
    "name": "r",
    "host": "h",
    "prefix": "/p/",
    "kind": "safe",
    "timeout_ms": 1000,
    "target_latency_ms": 100,
    "priority": 1,
    "max_attempts": 2,
    "service": "s0",
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 262144,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def make_config(version: int) -> bytes:
    """Return a configuration with one route."""
    service = {"name": "s0", "health_path": "/", "max_connections": 26, "warmup_s": 3.0}
    document = {"version": version, "routes": [ROUTE], "services": [service], "limits": LIMITS}
    return json.dumps(document).encode()


def make_entry(**changes) -> bytes:
    """Return the entry of an upstream."""
    entry = {
        "service": "s0",
        "address": "127.0.0.1:80",
        "zone": "a",
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "warmup_left_ms": 0,
        "sequence": 1,
        "born": 1,
    }
    return json.dumps(entry | changes).encode()


class Follower:
    """One instance that follows a store."""

    def __init__(
        self,
        store: FakeStore,
        name: str = "i0",
        times: StoreCallTimes = TIMES,
        feed: Feed | None = None,
        relay: Callable | None = None,
    ) -> None:
        clock = SystemClock()
        random = RandomSource(1)
        self.state = SharedState(Registry(), Members(Member(name, f"{name}:80", "a")))
        self.feed = feed or Feed(name)
        slow_start = SlowStart(ColdLimits(1.5, 5.0), name)
        selector = Selector(self.state.registry, slow_start, lambda name: None, random.random)
        self._log_reader, log_writer = os.pipe()
        os.set_blocking(self._log_reader, False)
        log = EventLog(name, clock, log_writer)
        self.store_follower = StoreFollower(
            clock,
            store,
            PlatformStateDecoder(),
            self.state,
            selector,
            log,
            random.random,
            lambda: None,
            times,
            self.feed,
            relay or (lambda after, changes: None),
        )

    def read_log(self) -> str:
        """Return the text that was logged since the last call."""
        try:
            return os.read(self._log_reader, 65_536).decode()
        except BlockingIOError:
            return ""

    @property
    def version(self) -> int | None:
        """Return the version of the configuration in force."""
        return self.state.catalog.version if self.state.catalog else None

    def list_upstreams(self) -> list[str]:
        """Return the ids of the available upstreams, sorted."""
        return sorted(upstream.id for upstream in self.state.registry.list_available("s0"))


def run_scenario(
    scenario: Callable[[FakeStore, Follower], Awaitable[None]], times: StoreCallTimes = TIMES
) -> None:
    """Run `scenario` with an instance that follows a store with one upstream."""

    async def run() -> None:
        store = FakeStore()
        store.write("op/config", make_config(1))
        store.write("servers/a", make_entry())
        follower = Follower(store, times=times)
        follower.store_follower.start()
        await wait_until(lambda: follower.version == 1)
        await wait_until(lambda: MEMBER_PREFIX + "i0" in store.items)
        try:
            await scenario(store, follower)
        finally:
            await follower.store_follower.stop()

    asyncio.run(run())


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until `condition` holds; raise TimeoutError after 20 s."""
    async with asyncio.timeout(20):
        while not condition():  # noqa: ASYNC110 - the condition may depend on any state
            await asyncio.sleep(0.002)


def test_changes_are_followed():
    """Guards against missed changes of the configuration, of upstreams and of failure domains."""

    async def scenario(store, follower):
        store.write("op/config", make_config(5))
        store.write("servers/b", make_entry(zone="b"))
        store.write("op/evacuate/a", b"{}")
        await wait_until(lambda: follower.version == 5)
        await wait_until(lambda: follower.list_upstreams() == ["b"])
        store.delete("op/evacuate/a")
        await wait_until(lambda: follower.list_upstreams() == ["a", "b"])
        store.delete("servers/b")
        await wait_until(lambda: follower.list_upstreams() == ["a"])

    run_scenario(scenario)


def test_older_configuration_is_not_applied():
    """Guards against an older version of the configuration that is applied because it came late."""

    async def scenario(store, follower):
        store.write("op/config", make_config(5))
        await wait_until(lambda: follower.version == 5)
        store.write("op/config", make_config(3))
        store.write("servers/b", make_entry())
        await wait_until(lambda: follower.list_upstreams() == ["a", "b"])
        assert follower.version == 5

    run_scenario(scenario)


def test_unanswered_watch_is_called_again_after_an_outage():
    """Guards against an old configuration for 25 s after an outage.

    A watch that is sent during an outage is never answered. Found by a randomized test with an
    unresponsive store for 4.5 s during a change of the shards.
    """

    async def scenario(store, follower):
        store.unanswered_watches = 1
        store.write("servers/b", make_entry())
        await wait_until(lambda: store.unanswered_watches == 0)
        store.is_down = True
        renewals = store.log.count("renew_lease")
        await wait_until(lambda: store.log.count("renew_lease") > renewals)
        store.is_down = False
        store.write("op/config", make_config(5))
        await wait_until(lambda: follower.version == 5)

    run_scenario(scenario)


def test_unanswered_watch_is_detected_while_other_calls_are_answered():
    """Guards against an old configuration when only the watch's connection stops responding."""

    async def scenario(store, follower):
        store.unanswered_watches = 1
        store.write("servers/b", make_entry())
        await wait_until(lambda: store.unanswered_watches == 0)
        store.write("op/config", make_config(5))
        await wait_until(lambda: follower.version == 5)

    run_scenario(scenario)


def test_instance_without_a_configuration_retries_soon():
    """Guards against a late start of service after a store outage.

    When all instances restart while the store is down for seconds (the load scenario scale-2 of
    both sites), their retry pause grows, and they would serve a second after the store's return.
    """

    async def run():
        store = FakeStore()
        store.write("op/config", make_config(1))
        store.is_down = True
        times = TIMES._replace(max_retry_ms=600_000.0, max_unready_retry_ms=20.0)
        follower = Follower(store, times=times)
        follower.store_follower.start()
        try:
            # With pauses that double from 5 ms, the fourteenth call would follow after 40 s.
            await wait_until(lambda: store.log.count("read_all") >= 14)
            store.is_down = False
            await wait_until(lambda: follower.version == 1)
        finally:
            await follower.store_follower.stop()

    asyncio.run(run())


def test_many_changes_are_read_without_pauses():
    """Guards against a late configuration and late removals after an outage with a resharding.

    Found in the load scenario trouble-1 of the larger sites: 2,500 changes were read in pages of
    1,000 with a pause after each, and the newest version was in force only 7 s after the store's
    return.
    """

    async def scenario(store, follower):
        store.max_changes = 200
        store.is_down = True
        store.write("servers/a", make_entry(sequence=2))
        await wait_until(lambda: "store_lost" in follower.read_log())
        for number in range(20_000):
            store.write(f"servers/x{number % 50}", make_entry(sequence=number))
        store.write("op/config", make_config(5))
        store.is_down = False
        # 100 pauses of 400 ms would take 40 s, twice the timeout of the wait.
        await wait_until(lambda: follower.version == 5)

    run_scenario(scenario, TIMES._replace(watch_interval_ms=400.0))


def test_watch_that_is_behind_is_not_abandoned():
    """Guards against abandoning, repeatedly, a watch that is behind but delivers changes."""

    async def scenario(store, follower):
        for number in range(100):
            store.write("servers/a", make_entry(sequence=number))
            await asyncio.sleep(0.01)
        store.write("op/config", make_config(5))
        await wait_until(lambda: follower.version == 5)
        assert "watch_silent" not in follower.read_log()

    run_scenario(
        scenario, TIMES._replace(watch_interval_ms=100.0, check_ms=10.0, lease_ms=60_000.0)
    )


def test_all_items_are_read_again_after_lost_history():
    """Guards against the loss of changes that the store has discarded from its history."""

    async def scenario(store, follower):
        store.is_down = True
        store.write("servers/b", make_entry())
        await asyncio.sleep(0.02)
        store.write("op/config", make_config(5))
        store.delete("servers/a")
        store.compact_history()
        store.is_down = False
        await wait_until(lambda: follower.version == 5)
        await wait_until(lambda: "b" in follower.list_upstreams())

    run_scenario(scenario)


def test_feed_does_not_bring_back_an_upstream_that_left_during_a_full_read():
    """Guards against a view that is older than the changes relayed while it was being read.

    The history is lost; while the slow full read is in progress, a watcher relays the removal of an
    upstream that the view still contains.
    """

    async def scenario(store, follower):
        reads = store.log.count("read_all")
        store.is_read_blocked = True
        store.write("servers/b", make_entry())
        store.compact_history()
        await wait_until(lambda: store.log.count("read_all") > reads)
        known = follower.state.revision
        store.delete("servers/a")
        removal = StoreItem("servers/a", None, store.revision)
        batch = FeedBatch(known, store.revision, 0.0, (removal,))
        follower.store_follower.apply_batch("i1", batch)
        assert follower.list_upstreams() == []
        store.is_read_blocked = False
        await wait_until(lambda: "b" in follower.list_upstreams())
        assert follower.list_upstreams() == ["b"]

    run_scenario(scenario)


def test_own_entry_is_written_again_after_its_removal():
    """Guards against an instance that is never listed again after its entry was removed."""

    async def scenario(store, follower):
        store.expire_leases()
        await wait_until(lambda: MEMBER_PREFIX + "i0" in store.items)

    run_scenario(scenario)


def test_entry_is_removed_when_the_instance_leaves():
    """Guards against callers that are sent to an instance that stops."""

    async def scenario(store, follower):
        await follower.store_follower.leave()
        assert MEMBER_PREFIX + "i0" not in store.items
        await asyncio.sleep(0.2)
        assert MEMBER_PREFIX + "i0" not in store.items

    run_scenario(scenario)


def test_invalid_entries_are_ignored():
    """Guards against invalid entries: missing fields, wrong types and bytes that are no JSON."""
    invalid_entries = [
        b"\xff\xfe",
        b"[]",
        b"{}",
        b"null",
        make_entry(state="odd"),
        make_entry(slots="2"),
        make_entry(slots=True),
        make_entry(address="nowhere"),
        make_entry(address="1.2.3.4:99999"),
        make_entry(service=None),
        make_entry(born="x"),
        make_entry(born=1.5),
        make_entry(warmup_left_ms=None),
        make_entry(sequence="1"),
    ]

    async def scenario(store, follower):
        for number, value in enumerate(invalid_entries):
            store.write(f"servers/f{number}", value)
        store.write("servers/z", make_entry())
        await wait_until(lambda: "z" in follower.list_upstreams())
        assert follower.list_upstreams() == ["a", "z"]

    run_scenario(scenario)


def test_entry_that_is_being_written_is_removed_when_the_instance_leaves():
    """Guards against callers who are sent to an instance that is stopped during its start."""

    async def run() -> None:
        store = FakeStore()
        put_called, put_allowed = asyncio.Event(), asyncio.Event()
        put = store.put

        async def put_late(*arguments):
            put_called.set()
            await put_allowed.wait()
            return await put(*arguments)

        store.put = put_late
        follower = Follower(store)
        follower.store_follower.start()
        await asyncio.wait_for(put_called.wait(), 20)
        await follower.store_follower.leave()
        put_allowed.set()
        await wait_until(lambda: "end_lease" in store.log)
        await follower.store_follower.stop()
        assert f"{MEMBER_PREFIX}i0" not in store.items

    asyncio.run(run())


ODD_ENTRIES = {
    "deeply nested": b'{"x":' * 100_000 + b"1" + b"}" * 100_000,
    "huge integer": make_entry(warmup_left_ms=10**400),
    "integer too long to read": make_entry(slots=0).replace(
        b'"slots": 0', b'"slots": ' + b"9" * 5_000
    ),
    "huge slots": make_entry(slots=10**400),
    "infinite number": make_entry(warmup_left_ms=float("inf")),
    "number that reads as infinite": make_entry(warmup_left_ms=0).replace(b": 0", b": 1e999"),
    "not a number": make_entry(warmup_left_ms=float("nan")),
    "huge start time": make_entry(born=10**40),
    "port out of range": make_entry(address="127.0.0.1:65536"),
    "port zero": make_entry(address="127.0.0.1:0"),
    "negative port": make_entry(address="127.0.0.1:-1"),
    "port with a superscript": make_entry(address="127.0.0.1:808\u00b2"),
    "host name": make_entry(address="localhost:80"),
    "host name that can't be encoded": make_entry(address="a" * 70 + ":80"),
    "null in the address": make_entry(address="127.0.0.1\0:80"),
    "lone surrogate in the address": make_entry(address="\ud800:80"),
    "duplicate key": make_entry().replace(b'"slots": 2', b'"slots": 2, "slots": "2"'),
    "empty": b"",
}


@pytest.mark.parametrize("is_known", [False, True], ids=["new", "replaced"])
@pytest.mark.parametrize("odd", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_an_odd_entry_affects_itself_alone(odd, is_known):
    """Guards against an odd entry of another writer after which changes are not followed.

    The changes that follow it, in the same watch answer and later, take effect; a new start reads
    the list with it.
    """

    async def scenario(store, follower):
        odd_id = "a" if is_known else "odd"
        store.write("servers/leaving", make_entry())
        await wait_until(lambda: "leaving" in follower.list_upstreams())
        store.write(f"servers/{odd_id}", odd)
        store.write("servers/z", make_entry())
        await wait_until(lambda: "z" in follower.list_upstreams())
        store.write("servers/leaving", make_entry(state="draining", sequence=2))
        store.write("op/config", make_config(2))
        await wait_until(lambda: follower.version == 2)
        expected = ["z"] if is_known else ["a", "z"]
        assert follower.list_upstreams() == expected
        assert "upstream_refused" in follower.read_log()
        assert "internal_error" not in follower.read_log()
        follower = Follower(store, "i1")
        follower.store_follower.start()
        await wait_until(lambda: follower.version == 2)
        await follower.store_follower.stop()
        assert follower.list_upstreams() == expected

    run_scenario(scenario)


@pytest.mark.parametrize("upstream_id", ["", "x\r\nX-Added: 1", "\u03bb", "\ud800", "x" * 201])
def test_an_entry_with_an_odd_id_names_no_upstream(upstream_id):
    """Guards against an id that can't be sent in a header field, or adds another one."""

    async def scenario(store, follower):
        store.write(f"servers/{upstream_id}", make_entry())
        store.write("servers/z", make_entry())
        await wait_until(lambda: "z" in follower.list_upstreams())
        assert follower.list_upstreams() == ["a", "z"]

    run_scenario(scenario)


def test_an_unexpected_error_in_one_change_does_not_stop_the_others(monkeypatch):
    """Guards against a change that is refused by an error, again after each restart."""

    async def scenario(store, follower):
        def fail(self, upstream_id, value, now_ms):
            if upstream_id == "odd":
                raise RuntimeError("unexpected")
            return decode(self, upstream_id, value, now_ms)

        decode = PlatformStateDecoder.decode_upstream
        monkeypatch.setattr(PlatformStateDecoder, "decode_upstream", fail)
        store.write("servers/odd", make_entry())
        store.write("servers/z", make_entry())
        await wait_until(lambda: "z" in follower.list_upstreams())
        assert follower.list_upstreams() == ["a", "z"]
        assert '"change_refused","key":"servers/odd"' in follower.read_log()

    run_scenario(scenario)


def test_unreadable_configuration_leaves_the_last_one_in_force():
    """Guards against 404 answers after a configuration that can't be decoded."""

    async def scenario(store, follower):
        for value in (b"\xff", b"{}", b'{"version": 9, "routes": [{}], "services": []}'):
            store.write("op/config", value)
        store.write("servers/b", make_entry())
        await wait_until(lambda: "b" in follower.list_upstreams())
        assert follower.version == 1

    run_scenario(scenario)
