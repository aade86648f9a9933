"""Following the store: outages, silent watches, lost history, lapsed entries, forged documents.

Times are shortened; no verdict depends on how long a step takes, only on what happens in the end.
"""

import asyncio
import json
import os
from collections.abc import Awaitable, Callable

from fakestore import FakeStore

from citronpaddle.adapters.eventlog import EventLog
from citronpaddle.clock import SystemClock
from citronpaddle.fleet import MEMBER_PREFIX, Fleet, FleetState, FleetTimes
from citronpaddle.platform.codec import PlatformStateDecoder
from citronpaddle.policy.feed import Feed
from citronpaddle.policy.members import Member, Members
from citronpaddle.policy.registry import Registry
from citronpaddle.policy.selection import Selector
from citronpaddle.policy.slowstart import ColdLimits, SlowStart
from citronpaddle.randomness import RandomSource

TIMES = FleetTimes(
    watch_wait_ms=600_000,
    watch_interval_ms=5.0,
    first_retry_ms=5.0,
    max_retry_ms=20.0,
    lease_ms=50.0,
    check_ms=30.0,
    check_patience_ms=20.0,
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
    """One instance's view of a store."""

    def __init__(
        self,
        store: FakeStore,
        name: str = "i0",
        times: FleetTimes = TIMES,
        feed: Feed | None = None,
        relay: Callable | None = None,
    ) -> None:
        clock = SystemClock()
        random = RandomSource(1)
        self.state = FleetState(Registry(), Members(Member(name, f"{name}:80", "a")))
        self.feed = feed or Feed(name)
        slow_start = SlowStart(ColdLimits(1.5, 5.0), name)
        selector = Selector(self.state.registry, slow_start, lambda name: None, random.random)
        self._log_reader, log_writer = os.pipe()
        os.set_blocking(self._log_reader, False)
        log = EventLog(name, clock, log_writer)
        self.fleet = Fleet(
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
            relay or (lambda after, items: None),
        )

    def read_log(self) -> str:
        """Return what was logged since the last call."""
        try:
            return os.read(self._log_reader, 65_536).decode()
        except BlockingIOError:
            return ""

    @property
    def version(self) -> int | None:
        """Return the version of the configuration in force."""
        return self.state.catalog.version if self.state.catalog else None

    def list_upstreams(self) -> list[str]:
        """Return the upstreams that may be used."""
        return sorted(upstream.id for upstream in self.state.registry.list_available("s0"))


def play(
    script: Callable[[FakeStore, Follower], Awaitable[None]], times: FleetTimes = TIMES
) -> None:
    """Run `script` with an instance that follows a store with one upstream."""

    async def run() -> None:
        store = FakeStore()
        store.write("op/config", make_config(1))
        store.write("servers/a", make_entry())
        follower = Follower(store, times=times)
        follower.fleet.start()
        await expect(lambda: follower.version == 1)
        await expect(lambda: MEMBER_PREFIX + "i0" in store.items)
        try:
            await script(store, follower)
        finally:
            await follower.fleet.stop()

    asyncio.run(run())


async def expect(is_so: Callable[[], bool]) -> None:
    """Wait until `is_so`; raise TimeoutError if it does not come about."""
    async with asyncio.timeout(20):
        while not is_so():  # noqa: ASYNC110 - any part of the state may be asked for
            await asyncio.sleep(0.002)


def test_changes_are_followed():
    """Guards against missing a change of the configuration, of upstreams or of a domain."""

    async def script(store, follower):
        store.write("op/config", make_config(5))
        store.write("servers/b", make_entry(zone="b"))
        store.write("op/evacuate/a", b"{}")
        await expect(lambda: follower.version == 5)
        await expect(lambda: follower.list_upstreams() == ["b"])
        store.delete("op/evacuate/a")
        await expect(lambda: follower.list_upstreams() == ["a", "b"])
        store.delete("servers/b")
        await expect(lambda: follower.list_upstreams() == ["a"])

    play(script)


def test_configuration_never_goes_back():
    """Guards against CONFIG: an older version that arrives late."""

    async def script(store, follower):
        store.write("op/config", make_config(5))
        await expect(lambda: follower.version == 5)
        store.write("op/config", make_config(3))
        store.write("servers/b", make_entry())
        await expect(lambda: follower.list_upstreams() == ["a", "b"])
        assert follower.version == 5

    play(script)


def test_watch_that_the_store_swallowed_is_made_anew_after_an_outage():
    """Guards against 25 s of an old configuration: a watch sent in an outage never answers.

    Found by a hunt (CONFIG, a silent outage of 4.5 s beside a reshard).
    """

    async def script(store, follower):
        store.unanswered_watches = 1
        store.write("servers/b", make_entry())
        await expect(lambda: store.unanswered_watches == 0)
        store.is_down = True
        renewals = store.log.count("renew_lease")
        await expect(lambda: store.log.count("renew_lease") > renewals)
        store.is_down = False
        store.write("op/config", make_config(5))
        await expect(lambda: follower.version == 5)

    play(script)


def test_silent_watch_is_found_while_other_calls_are_answered():
    """Guards against an old configuration when only the watch's connection has gone silent."""

    async def script(store, follower):
        store.unanswered_watches = 1
        store.write("servers/b", make_entry())
        await expect(lambda: store.unanswered_watches == 0)
        store.write("op/config", make_config(5))
        await expect(lambda: follower.version == 5)

    play(script)


def test_instance_without_a_configuration_asks_again_soon():
    """Load: all instances start anew while the store is down for seconds (scale-2 of both sites).

    Guards against a second without service after its return, from a pause that has grown meanwhile.
    """

    async def run():
        store = FakeStore()
        store.write("op/config", make_config(1))
        store.is_down = True
        times = TIMES._replace(max_retry_ms=600_000.0, max_unready_retry_ms=20.0)
        follower = Follower(store, times=times)
        follower.fleet.start()
        try:
            # With pauses that double from 5 ms, the fourteenth call would come after 40 s.
            await expect(lambda: store.log.count("read_all") >= 14)
            store.is_down = False
            await expect(lambda: follower.version == 1)
        finally:
            await follower.fleet.stop()

    asyncio.run(run())


def test_long_history_is_caught_up_without_pauses():
    """Guards against CONFIG and DRAIN after an outage in which the index was cut anew.

    Found on the grown sites (trouble-1): 2,500 changes came in pages of 1,000, each after a pause,
    and the newest version was in force 7 s after the store's return.
    """

    async def script(store, follower):
        store.max_changes = 200
        store.is_down = True
        store.write("servers/a", make_entry(sequence=2))
        await expect(lambda: "store_lost" in follower.read_log())
        for number in range(20_000):
            store.write(f"servers/x{number % 50}", make_entry(sequence=number))
        store.write("op/config", make_config(5))
        store.is_down = False
        # 100 pauses of 400 ms would take 40 s, twice the time that is waited at most.
        await expect(lambda: follower.version == 5)

    play(script, TIMES._replace(watch_interval_ms=400.0))


def test_watch_that_is_behind_is_not_taken_for_silent():
    """Guards against giving up, over and over, a watch that brings what it can."""

    async def script(store, follower):
        for number in range(100):
            store.write("servers/a", make_entry(sequence=number))
            await asyncio.sleep(0.01)
        store.write("op/config", make_config(5))
        await expect(lambda: follower.version == 5)
        assert "watch_silent" not in follower.read_log()

    play(script, TIMES._replace(watch_interval_ms=100.0, check_ms=10.0, lease_ms=60_000.0))


def test_lost_history_is_read_anew():
    """Guards against changes that fall into a gap of the store's history."""

    async def script(store, follower):
        store.is_down = True
        store.write("servers/b", make_entry())
        await asyncio.sleep(0.02)
        store.write("op/config", make_config(5))
        store.delete("servers/a")
        store.compact_history()
        store.is_down = False
        await expect(lambda: follower.version == 5)
        await expect(lambda: "b" in follower.list_upstreams())

    play(script)


def test_own_entry_is_written_again_when_it_is_taken_away():
    """Guards against an instance that callers are never told of again."""

    async def script(store, follower):
        store.expire_leases()
        await expect(lambda: MEMBER_PREFIX + "i0" in store.items)

    play(script)


def test_entry_goes_when_the_instance_leaves():
    """Guards against DRAIN: callers sent to an instance that stops."""

    async def script(store, follower):
        await follower.fleet.leave()
        assert MEMBER_PREFIX + "i0" not in store.items
        await asyncio.sleep(0.2)
        assert MEMBER_PREFIX + "i0" not in store.items

    play(script)


def test_forged_entries_name_no_upstream_and_harm_no_other():
    """Guards against entries by another writer: missing or mistyped fields, unreadable bytes."""
    forged = [
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

    async def script(store, follower):
        for number, value in enumerate(forged):
            store.write(f"servers/f{number}", value)
        store.write("servers/z", make_entry())
        await expect(lambda: "z" in follower.list_upstreams())
        assert follower.list_upstreams() == ["a", "z"]

    play(script)


def test_unreadable_configuration_leaves_the_last_one_in_force():
    """Guards against 404s after a configuration that can't be read."""

    async def script(store, follower):
        for value in (b"\xff", b"{}", b'{"version": 9, "routes": [{}], "services": []}'):
            store.write("op/config", value)
        store.write("servers/b", make_entry())
        await expect(lambda: "b" in follower.list_upstreams())
        assert follower.version == 1

    play(script)
