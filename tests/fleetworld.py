"""Many instances that follow one store, in virtual time, with faults drawn from a seed.

The instances run the product's code of following, relaying and choosing watchers. The store's
connections and the datagrams between instances are simulated, so that a run takes no real time and
repeats exactly.
"""

import asyncio
import os
import selectors
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from test_fleet import make_config, make_entry

from citronpaddle.adapters.connections import Address
from citronpaddle.adapters.counts import Counts
from citronpaddle.adapters.eventlog import EventLog
from citronpaddle.adapters.hintchannel import PeerMessage, decode
from citronpaddle.availability import StoreCallTimes
from citronpaddle.clock import Clock
from citronpaddle.fleet import StoreFollower
from citronpaddle.gateway import WATCH_INTERVAL_SHARE, WATCHER_INTERVAL_SHARE
from citronpaddle.peering import Peering
from citronpaddle.platform.codec import PlatformStateDecoder
from citronpaddle.platform.rollouts import PlatformRolloutCodec
from citronpaddle.policy.exposure import ExposureLimits
from citronpaddle.policy.extraload import ExtraLoad, ExtraLoadLimits
from citronpaddle.policy.feed import Feed
from citronpaddle.policy.members import Member, Members
from citronpaddle.policy.registry import Registry
from citronpaddle.policy.selection import Selector
from citronpaddle.policy.slowstart import ColdLimits, SlowStart
from citronpaddle.randomness import RandomSource
from citronpaddle.rollouts import RolloutRunner, RolloutSettings
from citronpaddle.sharedstate import SharedState
from citronpaddle.statestore import (
    Committed,
    Conflict,
    HistoryLost,
    Lease,
    LeaseEnded,
    Precondition,
    StateStore,
    StoreChanges,
    StoreFailure,
    StoreItem,
    StoreView,
    StoreWrite,
)

# The limits of the platform's store and of the product's client for it.
MAX_CHANGES = 1_000
MAX_ANSWER_BYTES = 1_000_000
PAGE_ITEMS = 500
CALL_TIMEOUT_MS = 2_000.0
WATCH_MARGIN_MS = 2_000.0
# A connection over a cut path is closed after this time, by keep-alive probes.
PROBE_TIMEOUT_MS = 3_000.0
MAINTENANCE_MS = 250.0
DATAGRAM_LOSS = 0.05
# One way, and for the share of messages that a busy instance or a full link delays.
TRAVEL_MS = (1.0, 7.0)
SLOW_TRAVEL_MS = (20.0, 300.0)
SLOW_SHARE = 0.05


def draw_travel_s(draw: Callable[[], float]) -> float:
    """Return the time of one message between two machines, in s."""
    least_ms, most_ms = SLOW_TRAVEL_MS if draw() < SLOW_SHARE else TRAVEL_MS
    return (least_ms + (most_ms - least_ms) * draw()) / 1_000


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only while it would wait."""

    def __init__(self) -> None:
        self._now_s = 1_000.0
        super().__init__(_VirtualTimeSelector(self))

    def time(self) -> float:
        return self._now_s

    def advance(self, by_s: float) -> None:
        """Move the time forward."""
        self._now_s += by_s


class _VirtualTimeSelector(selectors.SelectSelector):
    def __init__(self, loop: VirtualTimeLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> list:
        ready = super().select(0)
        if not ready and timeout:
            self._loop.advance(timeout)
        return ready


class LoopClock(Clock):
    """The time of the running event loop."""

    def now_ms(self) -> float:
        return asyncio.get_running_loop().time() * 1_000

    def wall_ms(self) -> int:
        return int(self.now_ms())


class SimulatedStore:
    """The platform's store: items, history and leases.

    While `are_watches_silent`, watches are answered only when their wait is over. `delay_ms` is the
    time of each call. While `loses_writes`, leases are neither granted nor used for a write, and
    such calls get no answer.
    """

    def __init__(self) -> None:
        self.items: dict[str, StoreItem] = {}
        self.history: list[StoreItem] = []
        self.revision = 1
        self.compacted_revision = 0
        self.commits = 0
        self.are_watches_silent = False
        self.is_down = False
        self.delay_ms = 4.0
        self.loses_writes = False
        self.changed = asyncio.Event()
        self._leases: dict[int, tuple[float, set[str]]] = {}
        self.era = 1
        self._copy: tuple[dict[str, StoreItem], int, dict[int, tuple[float, set[str]]]] | None = (
            None
        )

    def copy(self) -> None:
        """Copy the state from which `restore` starts."""
        leases = {
            number: (until_ms, set(keys)) for number, (until_ms, keys) in self._leases.items()
        }
        self._copy = (dict(self.items), self.revision, leases)

    def restore(self) -> None:
        """Go back to the copy; a new era begins, without the history."""
        self.items, self.revision, self._leases = self._copy
        self._copy = None
        self.era += 1
        self.compact()

    def write(self, key: str, value: bytes | None) -> None:
        """Write a key, or delete it if `value` is None."""
        if value is None and key not in self.items:
            return
        self.revision += 1
        item = StoreItem(key, value, self.revision)
        self.history.append(item)
        if value is None:
            del self.items[key]
        else:
            self.items[key] = item
        self.changed.set()

    def compact(self) -> None:
        """Remove the history."""
        self.history.clear()
        self.compacted_revision = self.revision
        self.changed.set()

    def grant(self, ttl_ms: float, now_ms: float) -> Lease:
        """Grant a lease."""
        lease = Lease(self.revision * 1_000 + len(self._leases), ttl_ms)
        self._leases[lease.id] = (now_ms + ttl_ms, set())
        return lease

    def renew(self, lease: Lease, now_ms: float) -> bool:
        """Renew a lease; return False if it has ended."""
        if lease.id not in self._leases:
            return False
        self._leases[lease.id] = (now_ms + lease.ttl_ms, self._leases[lease.id][1])
        return True

    def put(self, key: str, value: bytes, lease: Lease) -> bool:
        """Write a key under a lease, and no other; return False if it has ended."""
        if lease.id not in self._leases:
            return False
        for _, keys in self._leases.values():
            keys.discard(key)
        self._leases[lease.id][1].add(key)
        self.write(key, value)
        return True

    def commit(
        self,
        preconditions: tuple[Precondition, ...],
        writes: tuple[StoreWrite, ...],
        deletes: tuple[str, ...],
    ) -> Committed | Conflict:
        """Apply a transaction if its preconditions hold."""
        self.commits += 1
        for key, revision in preconditions:
            item = self.items.get(key)
            if (item.revision if item else 0) != revision:
                return Conflict()
        for key, value in writes:
            self.write(key, value)
        for key in deletes:
            self.write(key, None)
        return Committed(self.revision)

    def expire(self, now_ms: float) -> None:
        """End the leases whose time is over."""
        for lease_id, (until_ms, _) in list(self._leases.items()):
            if now_ms >= until_ms:
                self.end(lease_id)

    def end(self, lease_id: int) -> None:
        """End a lease and delete its keys."""
        for key in self._leases.pop(lease_id, (0.0, set()))[1]:
            self.write(key, None)

    def read_after(self, revision: int) -> StoreChanges | None:
        """Return the changes after `revision`, or None if there are none."""
        if self.revision <= revision:
            return None
        # The history is in the order of revisions.
        first = len(self.history)
        while first and self.history[first - 1].revision > revision:
            first -= 1
        changes: list[StoreItem] = []
        size_bytes = 0
        for item in self.history[first : first + MAX_CHANGES]:
            size_bytes += len(item.value or b"")
            if changes and size_bytes > MAX_ANSWER_BYTES:
                break
            changes.append(item)
        is_truncated = first + len(changes) < len(self.history)
        end = changes[-1].revision if is_truncated else self.revision
        return StoreChanges(tuple(changes), end, self.era)


class Path(StateStore):
    """One instance's calls to the store.

    `fault` is None, "cut" (nothing passes), "silent" (calls are accepted and never answered),
    "busy" (refused at once) or "reset" (refused, and pending calls end). `calls` counts them all.
    """

    def __init__(self, store: SimulatedStore, draw: Callable[[], float]) -> None:
        self.fault: str | None = None
        self.calls = 0
        self._store = store
        self._draw = draw
        self._cut = asyncio.Event()
        self._era = 0

    @property
    def era(self) -> int:
        return self._era

    def set_fault(self, fault: str | None) -> None:
        """Begin or end a fault; a reset and a cut end the calls that are pending."""
        self.fault = fault
        if fault in ("cut", "reset"):
            self._cut.set()
            self._cut = asyncio.Event()

    async def _call(self, answer: Callable[[], Any], timeout_ms: float = CALL_TIMEOUT_MS) -> Any:
        """Return `answer()` as of the arrival at the store, or a failure."""
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                await self._arrive()
                result = answer()
                era = self._store.era
                await self._travel()
                return self._check_era(era, result)
        except TimeoutError:
            return StoreFailure("timeout")
        except ConnectionError as error:
            return StoreFailure(str(error))

    async def _write(self, answer: Callable[[], Any]) -> Any:
        """Call the store with a write, which is lost while the store loses writes."""
        if self._store.loses_writes:
            await asyncio.sleep(CALL_TIMEOUT_MS / 1_000)
            return StoreFailure("timeout")
        return await self._call(answer)

    def _check_era(self, era: int, result: Any) -> Any:
        """Return the result, or a failure if it is from an earlier era."""
        if era < self._era:
            return StoreFailure("answer of an earlier era")
        self._era = era
        return result

    async def _arrive(self) -> None:
        self.calls += 1
        await self._travel()
        await asyncio.sleep(self._store.delay_ms / 1_000)
        if self.fault == "busy":
            raise ConnectionError("status 503")
        if self.fault == "silent" or self._store.is_down:
            await asyncio.Event().wait()

    async def _travel(self) -> None:
        await asyncio.sleep(draw_travel_s(self._draw))
        if self.fault == "reset":
            raise ConnectionError("reset")
        if self.fault == "cut":
            await asyncio.sleep(PROBE_TIMEOUT_MS / 1_000)
            raise ConnectionError("unresponsive")

    async def read_all(self, prefix: str) -> StoreView | StoreFailure:
        items: list[StoreItem] = []
        revision: int | None = None
        era: int | None = None
        after = ""
        while True:
            page = await self._call(lambda after=after: self._read_page(after))
            if isinstance(page, StoreFailure):
                return page
            era = self._era if era is None else era
            if era != self._era:
                return StoreFailure("restored between two pages")
            read, page_revision, has_more = page
            items += read
            revision = page_revision if revision is None else revision
            if not has_more:
                return StoreView(tuple(items), revision, era)
            after = read[-1].key

    def _read_page(self, after: str) -> tuple[list[StoreItem], int, bool]:
        keys = sorted(key for key in self._store.items if key > after)
        items = [self._store.items[key] for key in keys[:PAGE_ITEMS]]
        return items, self._store.revision, len(keys) > PAGE_ITEMS

    async def read_revision(self) -> int | StoreFailure:
        return await self._call(lambda: self._store.revision)

    async def watch(
        self, prefix: str, after: int, wait_ms: int
    ) -> StoreChanges | HistoryLost | StoreFailure:
        era = self._era
        try:
            async with asyncio.timeout((wait_ms + WATCH_MARGIN_MS) / 1_000):
                answer = await self._watch(after, wait_ms)
        except TimeoutError:
            return StoreFailure("timeout")
        except ConnectionError as error:
            return StoreFailure(str(error))
        return HistoryLost() if self._era != era else answer

    async def _watch(self, after: int, wait_ms: int) -> StoreChanges | HistoryLost:
        await self._arrive()
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_ms / 1_000
        cut = self._cut
        while True:
            store = self._store
            if after < store.compacted_revision and not store.are_watches_silent:
                answer = HistoryLost()
                break
            changes = None if store.are_watches_silent else store.read_after(after)
            if changes is not None or loop.time() >= end_s:
                end = max(after, store.compacted_revision)
                answer = changes or StoreChanges((), end, store.era)
                break
            store.changed.clear()
            waits = [asyncio.ensure_future(store.changed.wait()), asyncio.ensure_future(cut.wait())]
            try:
                await asyncio.wait(
                    waits, timeout=end_s - loop.time(), return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                for wait in waits:
                    wait.cancel()
            if cut.is_set():
                await self._travel()
                raise ConnectionError("closed")
        era = store.era
        await self._travel()
        if self.fault == "silent" or store.is_down:
            await asyncio.Event().wait()
        return self._check_era(era, answer)

    async def grant_lease(self, ttl_ms: float) -> Lease | StoreFailure:
        lease = await self._write(lambda: self._store.grant(ttl_ms, LoopClock().now_ms()))
        return lease if isinstance(lease, StoreFailure) else lease._replace(era=self._era)

    async def renew_lease(
        self, lease: Lease, timeout_ms: float
    ) -> Lease | LeaseEnded | StoreFailure:
        is_renewed = await self._call(
            lambda: self._store.renew(lease, LoopClock().now_ms()), timeout_ms
        )
        if isinstance(is_renewed, StoreFailure):
            return is_renewed
        return lease if is_renewed and lease.era == self._era else LeaseEnded()

    async def end_lease(self, lease: Lease) -> StoreFailure | None:
        return await self._call(lambda: self._store.end(lease.id))

    async def put(self, key: str, value: bytes, lease: Lease) -> LeaseEnded | StoreFailure | None:
        is_written = await self._write(lambda: self._store.put(key, value, lease))
        if isinstance(is_written, StoreFailure):
            return is_written
        return None if is_written and lease.era == self._era else LeaseEnded()

    async def commit(
        self,
        preconditions: tuple[Precondition, ...],
        writes: tuple[StoreWrite, ...],
        deletes: tuple[str, ...] = (),
    ) -> Committed | Conflict | StoreFailure:
        return await self._call(lambda: self._store.commit(preconditions, writes, deletes))


class Datagrams:
    """The network between instances; datagrams are delayed, and some are lost."""

    def __init__(self, draw: Callable[[], float]) -> None:
        self.receivers: dict[Address, Callable[[PeerMessage], None]] = {}
        self.cut: set[Address] = set()
        self._draw = draw

    def send(self, sender: Address, data: bytes, receiver: Address) -> None:
        """Deliver a datagram after a delay, or lose it."""
        if self._draw() < DATAGRAM_LOSS or {sender, receiver} & self.cut:
            return
        delay_s = draw_travel_s(self._draw)
        asyncio.get_running_loop().call_later(delay_s, self._deliver, data, receiver)

    def _deliver(self, data: bytes, receiver: Address) -> None:
        message = decode(data)
        if receiver in self.receivers and isinstance(message, PeerMessage):
            self.receivers[receiver](message)


class SimulatedChannel:
    """The channel of one instance over simulated datagrams."""

    def __init__(self, network: Datagrams, on_message: Callable[[PeerMessage], None]) -> None:
        self._network = network
        self._on_message = on_message
        self._address: Address | None = None

    async def open(self, address: Address) -> None:
        self._address = address
        self._network.receivers[address] = self._on_message

    def close(self) -> None:
        self._network.receivers.pop(self._address, None)

    def send(self, data: bytes, addresses: Iterable[Address]) -> None:
        for address in addresses:
            self._network.send(self._address, data, address)


class SimulatedInstance:
    """One run of an instance: from its start until it is killed."""

    def __init__(
        self, number: int, world: "FleetWorld", draw: Callable[[], float], cores: float
    ) -> None:
        name = f"i{number:02}"
        self.address: Address = (f"10.0.0.{number}", 7_380)
        clock = LoopClock()
        hints_address = f"{self.address[0]}:{self.address[1]}"
        own = Member(name, f"{self.address[0]}:80", "a", hints_address, cores)
        self.state = SharedState(Registry(), Members(own))
        self.path = Path(world.store, draw)
        slow_start = SlowStart(ColdLimits(1.5, 5.0), name)
        log = EventLog(name, clock, world.log_descriptor)
        self.counts = Counts()
        self.rollouts = RolloutRunner(
            RolloutSettings(name, "a", ExposureLimits(0.1, 50.0)),
            clock,
            self.path,
            PlatformRolloutCodec(),
            self.state,
            log,
            self.counts,
            lambda: self.peering.share,
        )
        selector = Selector(
            self.state.registry, slow_start, lambda name: None, draw, "a", self.rollouts.routing
        )
        self.selector = selector
        feed = Feed(name)
        limits = ExtraLoadLimits(0.2, 172.0, 10_000.0)
        extra_load = ExtraLoad(limits, clock.now_ms())
        self.peering = Peering(
            clock,
            log,
            self.state,
            feed,
            selector,
            extra_load,
            slow_start,
            lambda sender, batch: self.follower.apply_batch(sender, batch),
            lambda on_message, on_refused: SimulatedChannel(world.network, on_message),
        )
        self.follower = StoreFollower(
            clock,
            self.path,
            PlatformStateDecoder(),
            self.state,
            selector,
            log,
            draw,
            self.peering.review,
            StoreCallTimes(
                watch_interval_ms=world.watch_interval_ms,
                watcher_interval_ms=world.watcher_interval_ms,
            ),
            feed,
            self.peering.relay,
            self.rollouts,
        )
        self._rollout_task: asyncio.Task | None = None
        self._maintenance: asyncio.Task | None = None

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, 0 without any."""
        return self.state.catalog.version if self.state.catalog else 0

    async def start(self) -> None:
        """Start following the store."""
        await self.peering.open(self.address)
        self.follower.start()
        self.resume_rollouts()
        self._maintenance = asyncio.ensure_future(self._maintain())

    async def kill(self) -> None:
        """Stop at once, without leaving the list of instances."""
        self.pause_rollouts()
        self._maintenance.cancel()
        await self.follower.stop()
        self.peering.close()

    def pause_rollouts(self) -> None:
        """Stop judging and writing."""
        self._rollout_task.cancel()

    def resume_rollouts(self) -> None:
        """Start to judge and write, or do so again."""
        self._rollout_task = asyncio.ensure_future(self.rollouts.run())

    async def _maintain(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_MS / 1_000)
            self.follower.expire_entries()
            self.peering.review()


class FleetWorld:
    """A store and the instances of one failure domain."""

    def __init__(self, seed: int, count: int, watch_interval_ms: float) -> None:
        self.random = RandomSource(seed)
        self.watch_interval_ms = watch_interval_ms
        self.watcher_interval_ms = WATCHER_INTERVAL_SHARE / WATCH_INTERVAL_SHARE * watch_interval_ms
        self.store = SimulatedStore()
        self.network = Datagrams(self.random.random)
        self.log_descriptor = os.open(os.devnull, os.O_WRONLY)
        self.instances: dict[int, SimulatedInstance] = {}
        # The versions of the configuration with the times of their acknowledgement, in ms.
        self.acknowledged: list[tuple[float, int]] = []
        self._cores = [2.0 if number < 2 else 0.5 for number in range(count + 1)]
        self.write_configuration()
        for number in range(200):
            self.write_upstream(number)

    def write_configuration(self) -> None:
        """Write the next version of the configuration."""
        version = self.acknowledged[-1][1] + 1 if self.acknowledged else 1
        self.store.write("op/config", make_config(version))
        self.acknowledged.append((LoopClock().now_ms(), version))

    def write_upstream(self, number: int) -> None:
        """Write or remove the entry of an upstream."""
        key = f"servers/u{number}"
        if self.random.random() < 0.2:
            self.store.write(key, None)
        else:
            self.store.write(key, make_entry(sequence=self.store.revision, version="v" * 80))

    async def start_instance(self, number: int) -> None:
        """Start an instance, or start it again."""
        instance = SimulatedInstance(number, self, self.random.random, self._cores[number])
        self.instances[number] = instance
        await instance.start()

    async def stop(self) -> None:
        """Kill all instances."""
        for instance in self.instances.values():
            await instance.kill()
        os.close(self.log_descriptor)


def run_fleet(
    scenario: Callable[[FleetWorld], Awaitable[None]],
    count: int,
    seed: int,
    watch_interval_ms: float,
    settling_s: float,
) -> None:
    """Run `scenario` in virtual time with `count` instances, `settling_s` after their start."""

    async def run() -> None:
        world = FleetWorld(seed, count, watch_interval_ms)
        for number in range(count):
            await world.start_instance(number)
        await asyncio.sleep(settling_s)
        try:
            await scenario(world)
        finally:
            await world.stop()

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        runner.run(run())
