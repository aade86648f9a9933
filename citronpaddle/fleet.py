"""Keeps up with the state that all instances share in the platform's store.

One watch covers the configuration, failure domains that are out, upstreams and instances. While the
store is away, what was last known stays in force.
"""

import asyncio
import json
from abc import ABC, abstractmethod
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, NamedTuple

from .adapters.eventlog import Event, EventLog
from .clock import Clock
from .policy.catalog import Catalog
from .policy.feed import BatchPosition, Feed, FeedBatch, classify_batch
from .policy.members import Member, Members
from .policy.registry import Registry, Upstream
from .policy.selection import Selector
from .statestore import (
    HistoryLost,
    Lease,
    LeaseEnded,
    StateStore,
    StoreChanges,
    StoreFailure,
    StoreItem,
    StoreView,
)

MEMBER_PREFIX = "citronpaddle/instances/"
# A watch that brings this many changes may have been cut to the store's largest answer, about 1,000
# changes or 1 MB: the rest is asked for at once.
MANY_CHANGES = 100
# Pauses of all instances after a failure differ by this share, so that they don't call at once.
RETRY_SPREAD = 0.5


class FleetTimes(NamedTuple):
    """How often the store is called, in ms."""

    # One watch call may wait this long; the store's limit is 30 s.
    watch_wait_ms: int = 25_000
    # One that others rely on asks more often: its silence must show well within the closest bound.
    watcher_wait_ms: int = 1_300
    # Every watch call has its price: changes that follow each other closely share one. The closest
    # bound for a configuration, 3 s on the smallest sites, leaves room for this delay.
    watch_interval_ms: float = 900.0
    watcher_interval_ms: float = 700.0
    first_retry_ms: float = 150.0
    max_retry_ms: float = 1_000.0
    # Without a configuration an instance serves nobody, so it asks more often; a store that refuses
    # calls for their rate makes it wait as long as the others.
    max_unready_retry_ms: float = 400.0
    # An instance that is gone is missed after this time at most, and a renewal costs little.
    lease_ms: float = 4_000.0
    # The part of a lease after which it is renewed: one renewal may fail.
    renew_share: float = 0.4
    # How often the store's revision is compared with what the watch has brought, and how long after
    # its interval the watch may take to bring it. A read that may be stale costs a tenth of a call.
    check_ms: float = 4_000.0
    check_patience_ms: float = 1_000.0
    # How often an instance that others read for looks whether they still do.
    feed_check_ms: float = 250.0
    # How often an instance with a watch looks whether others rely on it by now.
    role_check_ms: float = 1_000.0


class StateDecoder(ABC):
    """Decodes the platform's documents; a document that can't be read gives a reason instead."""

    @abstractmethod
    def is_catalog(self, key: str) -> bool:
        """Return whether the key holds the configuration."""

    @abstractmethod
    def find_out_domain(self, key: str) -> str | None:
        """Return the failure domain that an existing key takes out, or None."""

    @abstractmethod
    def find_upstream_id(self, key: str) -> str | None:
        """Return the id of the upstream whose entry the key holds, or None."""

    @abstractmethod
    def decode_catalog(self, value: bytes) -> Catalog | str:
        """Return the configuration, or why it can't be read."""

    @abstractmethod
    def decode_upstream(self, upstream_id: str, value: bytes, now_ms: float) -> Upstream | str:
        """Return the upstream, or why the entry names none."""


@dataclass(slots=True)
class FleetState:
    """What this instance knows; `catalog` is None until the first configuration.

    `heard_ms` is when what is known was last confirmed, `watched_ms` when the store last answered
    this instance's own watch or read.
    """

    registry: Registry
    members: Members
    catalog: Catalog | None = None
    revision: int = 0
    heard_ms: float = 0.0
    watched_ms: float = 0.0
    is_store_lost: bool = False


class Fleet:
    """Follows the store and keeps this instance's own entry there."""

    def __init__(
        self,
        clock: Clock,
        store: StateStore,
        decoder: StateDecoder,
        state: FleetState,
        selector: Selector,
        log: EventLog,
        draw: Callable[[], float],
        on_change: Callable[[], None],
        times: FleetTimes,
        feed: Feed,
        relay: Callable[[int, tuple[StoreItem, ...]], None],
    ) -> None:
        """Call `on_change` after changes, `relay` with what a watch brought after a revision."""
        self._clock = clock
        self._store = store
        self._decoder = decoder
        self._state = state
        self._selector = selector
        self._log = log
        self._draw = draw
        self._on_change = on_change
        self._times = times
        self._feed = feed
        self._relay = relay
        # Set when others know of changes that did not reach this instance.
        self._has_gap = asyncio.Event()
        # Set when the watch in progress may never answer.
        self._is_watch_suspect = asyncio.Event()
        self._lease: Lease | None = None
        self._is_leaving = False
        self._revisions: dict[str, int] = {}
        self._out_domains: dict[str, str] = {}
        self._lost_since_ms: float | None = None
        self._entry_lost = asyncio.Event()
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start following the store."""
        loop = asyncio.get_running_loop()
        work = (self._follow, self._register, self._check_watch)
        self._tasks = [loop.create_task(self._keep_running(part)) for part in work]

    async def leave(self) -> None:
        """Take this instance out of the list of instances; the store is asked once."""
        self._is_leaving = True
        self._entry_lost.set()
        lease, self._lease = self._lease, None
        if lease is not None:
            await self._store.end_lease(lease)

    async def stop(self) -> None:
        """Stop following."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def tick(self) -> None:
        """Drop entries whose time of grace is over."""
        now_ms = self._clock.now_ms()
        for upstream_id in self._state.registry.expire(now_ms):
            self._note_gone(upstream_id, "missing after the store's return")
        self._state.members.expire(now_ms)

    async def _keep_running(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run `work`, and start it again after an error that nobody has foreseen."""
        while True:
            try:
                await work()
                return
            except Exception as error:
                self._log.write(
                    Event.INTERNAL_ERROR, "fleet", reason=repr(error), work=work.__name__
                )
                await asyncio.sleep(self._times.max_retry_ms / 1_000)

    async def _follow(self) -> None:
        retry_ms = self._times.first_retry_ms
        while True:
            view = await self._store.read_all("")
            if isinstance(view, StoreFailure):
                retry_ms = await self._pause(view, retry_ms)
                continue
            self._note_answer()
            self._state.watched_ms = self._clock.now_ms()
            self._take_view(view)
            retry_ms = self._times.first_retry_ms
            await self._watch()

    async def _watch(self) -> None:
        """Follow changes until the store has forgotten some."""
        retry_ms = self._times.first_retry_ms
        # When all instances start at once, their entries would end every first watch at once.
        await asyncio.sleep(self._times.watch_interval_ms / 1_000)
        while True:
            if self._feed.has_live_watcher(self._clock.now_ms()) and not await self._wait_for_gap():
                continue
            called_ms = self._clock.now_ms()
            after = self._state.revision
            changes = await self._call_watch(after)
            if isinstance(changes, HistoryLost):
                self._log.write(Event.HISTORY_LOST, "fleet", after_revision=after)
                return
            if isinstance(changes, StoreFailure):
                retry_ms = await self._pause(changes, retry_ms)
                continue
            self._note_answer()
            self._state.watched_ms = self._clock.now_ms()
            retry_ms = self._times.first_retry_ms
            self._take_changes(changes.items, changes.revision)
            self._relay(after, changes.items)
            interval_ms = self._times.watch_interval_ms
            if self._feed.is_watcher:
                interval_ms = min(interval_ms, self._times.watcher_interval_ms)
            left_ms = interval_ms - (self._clock.now_ms() - called_ms)
            if left_ms > 0 and len(changes.items) < MANY_CHANGES:
                await asyncio.sleep(left_ms / 1_000)

    async def _wait_for_gap(self) -> bool:
        """Return whether there are changes that this instance must read itself."""
        try:
            async with asyncio.timeout(self._times.feed_check_ms / 1_000):
                await self._has_gap.wait()
        except TimeoutError:
            return False
        self._has_gap.clear()
        return True

    def take_batch(self, sender: str, batch: FeedBatch) -> None:
        """Take over what another instance has read of the store."""
        now_ms = self._clock.now_ms()
        self._feed.record_batch(sender, batch, now_ms)
        if self._state.revision == 0:
            return
        step = classify_batch(batch, self._state.revision)
        if step is BatchPosition.GAP:
            self._has_gap.set()
        elif step is BatchPosition.NEXT:
            self._state.heard_ms = max(self._state.heard_ms, now_ms - batch.age_ms)
            self._take_changes(batch.changes, batch.to_revision)

    def _take_changes(self, items: tuple[StoreItem, ...], revision: int) -> None:
        known = self._state.revision
        news = [item for item in items if item.revision > known]
        for item in news:
            self._take(item)
        self._state.revision = max(known, revision)
        if news:
            self._on_change()

    async def _call_watch(self, after: int) -> StoreChanges | HistoryLost | StoreFailure:
        """Call the watch, and give it up when there is reason to think that it never answers."""
        self._is_watch_suspect.clear()
        is_watcher = self._feed.is_watcher
        wait_ms = self._times.watcher_wait_ms if is_watcher else self._times.watch_wait_ms
        watch = asyncio.ensure_future(self._store.watch("", after, wait_ms))
        suspect = asyncio.ensure_future(self._is_watch_suspect.wait())
        try:
            while not watch.done() and not suspect.done():
                await asyncio.wait(
                    {watch, suspect},
                    timeout=self._times.role_check_ms / 1_000,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if self._feed.is_watcher and not is_watcher and not watch.done():
                    # Others rely on this instance from now on, and this watch may be silent.
                    return StoreChanges((), after)
            return watch.result() if watch.done() else StoreFailure("the watch is silent")
        finally:
            watch.cancel()
            suspect.cancel()

    async def _check_watch(self) -> None:
        """Compare the store's revision with the watch's now and then."""
        while True:
            await asyncio.sleep(self._times.check_ms / 1_000)
            if self._feed.has_live_watcher(self._clock.now_ms()):
                # The watchers tell their revision, and they check it.
                continue
            revision = await self._store.read_revision()
            if isinstance(revision, StoreFailure):
                continue
            before = self._state.revision
            patience_ms = self._times.watch_interval_ms + self._times.check_patience_ms
            await asyncio.sleep(patience_ms / 1_000)
            # A watch that brings something is not silent, however far behind it is.
            is_still = self._state.revision == before
            if before < revision and is_still and self._lost_since_ms is None:
                self._log.write(
                    Event.WATCH_SILENT, "fleet", known=self._state.revision, store=revision
                )
                self._is_watch_suspect.set()
                self._has_gap.set()

    async def _pause(self, failure: StoreFailure, retry_ms: float) -> float:
        """Wait before the next call; return how long to wait after a further failure."""
        self._note_lost(failure)
        spread = 1.0 + RETRY_SPREAD * self._draw()
        if self._state.catalog is None and not failure.is_overload:
            retry_ms = min(retry_ms, self._times.max_unready_retry_ms)
        await asyncio.sleep(retry_ms * spread / 1_000)
        return min(self._times.max_retry_ms, 2 * retry_ms)

    def _note_lost(self, failure: StoreFailure) -> None:
        if self._lost_since_ms is None:
            self._lost_since_ms = self._clock.now_ms()
            self._state.is_store_lost = True
            self._log.write(Event.STORE_LOST, "fleet", reason=failure.reason)

    def _note_answer(self) -> None:
        now_ms = self._clock.now_ms()
        self._state.heard_ms = now_ms
        if self._lost_since_ms is not None:
            lost_ms = now_ms - self._lost_since_ms
            self._lost_since_ms = None
            self._state.is_store_lost = False
            # A watch that was sent while the store was away may have been swallowed.
            self._is_watch_suspect.set()
            self._state.registry.handle_store_return(now_ms)
            self._state.members.handle_store_return(now_ms)
            self._log.write(Event.STORE_REGAINED, "fleet", lost_ms=round(lost_ms))

    def _take_view(self, view: StoreView) -> None:
        """Take over everything at once; what is not in the view is gone."""
        present = {item.key for item in view.items}
        for key in list(self._revisions):
            if key not in present:
                self._take(StoreItem(key, None, view.revision))
        for item in view.items:
            self._take(item)
        self._state.revision = view.revision
        self._on_change()

    def _take(self, item: StoreItem) -> None:
        """Take over one change, unless a newer one of its key is known."""
        if item.revision < self._revisions.get(item.key, 0):
            return
        if item.value is None:
            self._revisions.pop(item.key, None)
        else:
            self._revisions[item.key] = item.revision
        upstream_id = self._decoder.find_upstream_id(item.key)
        out_domain = self._decoder.find_out_domain(item.key)
        if upstream_id is not None:
            self._take_upstream(upstream_id, item.value)
        elif out_domain is not None:
            self._take_out_domain(item.key, out_domain, item.value is not None)
        elif self._decoder.is_catalog(item.key):
            self._take_catalog(item.value, item.revision)
        elif item.key.startswith(MEMBER_PREFIX):
            self._take_member(item.key[len(MEMBER_PREFIX) :], item.value)

    def _take_upstream(self, upstream_id: str, value: bytes | None) -> None:
        now_ms = self._clock.now_ms()
        registry = self._state.registry
        if value is None:
            if registry.remove(upstream_id, now_ms):
                self._note_gone(upstream_id, "entry removed")
            return
        found = self._decoder.decode_upstream(upstream_id, value, now_ms)
        if isinstance(found, str):
            registry.remove_invalid(upstream_id)
            self._log.write(Event.UPSTREAM_REFUSED, "fleet", upstream=upstream_id, reason=found)
            return
        held = registry.get(upstream_id)
        if held is not None and held.started_at_ms != found.started_at_ms:
            self._selector.remove_upstream(upstream_id)
        if registry.put(found) and not _is_same(held, found):
            self._log.write(
                Event.UPSTREAM_LISTED,
                "fleet",
                upstream=upstream_id,
                service=found.service,
                domain=found.domain,
                leaving=found.is_leaving,
                cold_ms=round(found.cold_until_ms - now_ms),
            )

    def _note_gone(self, upstream_id: str, reason: str) -> None:
        self._selector.remove_upstream(upstream_id)
        self._log.write(Event.UPSTREAM_GONE, "fleet", upstream=upstream_id, reason=reason)

    def _take_out_domain(self, key: str, domain: str, is_out: bool) -> None:
        if is_out:
            self._out_domains[key] = domain
        else:
            self._out_domains.pop(key, None)
        registry = self._state.registry
        for returned in registry.set_out_domains(frozenset(self._out_domains.values())):
            # Without load for a while, its upstreams may be cold, which their entries may not say.
            registry.mark_domain_cold(returned, self._clock.now_ms() + self._find_cold_ms())
        self._log.write(Event.DOMAINS_OUT, "fleet", domains=sorted(registry.out_domains))

    def _find_cold_ms(self) -> float:
        catalog = self._state.catalog
        services = catalog.services.values() if catalog else ()
        return max((service.cold_ms for service in services), default=0.0)

    def _take_catalog(self, value: bytes | None, revision: int) -> None:
        if value is None:
            return
        found = self._decoder.decode_catalog(value)
        current = self._state.catalog
        if isinstance(found, str):
            self._log.write(
                Event.CONFIGURATION_REFUSED, "fleet", reason=found, store_revision=revision
            )
        elif current is None or found.version > current.version:
            self._state.catalog = found
            self._log.write(
                Event.CONFIGURATION_TAKEN,
                "fleet",
                version=found.version,
                previous=current.version if current else None,
                store_revision=revision,
                routes=len(found.routes),
            )

    def _take_member(self, name: str, value: bytes | None) -> None:
        now_ms = self._clock.now_ms()
        members = self._state.members
        if value is None:
            members.remove(name, now_ms)
            if name == members.own.name and not self._is_leaving:
                self._lease = None
                self._entry_lost.set()
        else:
            try:
                entry = json.loads(value)
                address, domain = str(entry["address"]), str(entry["domain"])
                hints, cores = str(entry.get("hints", "")), float(entry.get("cores", 1.0))
                members.put(Member(name, address, domain, hints, cores), now_ms)
            except (ValueError, KeyError, TypeError) as error:
                self._log.write(Event.INTERNAL_ERROR, "fleet", reason=f"entry of {name}: {error!r}")
                return
        self._log.write(
            Event.INSTANCES_CHANGED, "fleet", name=name, listed=len(members.list_names())
        )

    async def _register(self) -> None:
        """Keep this instance in the list of instances."""
        retry_ms = self._times.first_retry_ms
        while not self._is_leaving:
            failure = await (self._enter() if self._lease is None else self._renew())
            if failure is not None:
                retry_ms = await self._pause(failure, retry_ms)
                continue
            retry_ms = self._times.first_retry_ms
            if self._lease is None:
                continue
            self._note_answer()
            self._entry_lost.clear()
            try:
                async with asyncio.timeout(self._lease.ttl_ms * self._times.renew_share / 1_000):
                    await self._entry_lost.wait()
            except TimeoutError:
                continue

    async def _enter(self) -> StoreFailure | None:
        lease = await self._store.grant_lease(self._times.lease_ms)
        if isinstance(lease, StoreFailure):
            return lease
        own = self._state.members.own
        entry = {
            "address": own.address,
            "domain": own.domain,
            "hints": own.hints_address,
            "cores": own.cores,
        }
        value = json.dumps(entry).encode()
        result = await self._store.put(MEMBER_PREFIX + own.name, value, lease)
        if isinstance(result, StoreFailure):
            return result
        if result is None:
            self._lease = lease
            self._log.write(Event.LEASE_GRANTED, "fleet", lease=lease.id, ttl_ms=lease.ttl_ms)
        return None

    async def _renew(self) -> StoreFailure | None:
        result = await self._store.renew_lease(self._lease)
        if isinstance(result, LeaseEnded):
            self._log.write(Event.LEASE_LOST, "fleet", lease=self._lease and self._lease.id)
            self._lease = None
        return result if isinstance(result, StoreFailure) else None


def _is_same(held: Upstream | None, found: Upstream) -> bool:
    """Return whether an entry tells nothing new but how long its upstream stays cold."""
    return held is not None and held == found._replace(
        cold_until_ms=held.cold_until_ms, sequence=held.sequence
    )
