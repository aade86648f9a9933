"""Follows the state that all instances share in the platform's store.

One watch covers the configuration, the failure domains taken out of service, the upstreams and the
instances. While the store is unavailable, the last known state stays in force.
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
# A watch answer with this many changes may have been truncated to the store's largest answer, about
# 1,000 changes or 1 MB, so the next watch is called without a pause.
MAYBE_TRUNCATED_CHANGES = 100
# Share of random jitter in the pauses after a failure, so that instances don't retry in step.
RETRY_JITTER = 0.5


class StoreCallTimes(NamedTuple):
    """Intervals and timeouts of the calls to the store, in ms."""

    # How long one watch call may wait for changes; the store's limit is 30 s.
    watch_wait_ms: int = 25_000
    # The same for an instance that relays changes to others: an unanswered watch must be detected
    # well within the strictest time limit for a configuration.
    watcher_wait_ms: int = 1_300
    # Minimum interval of watch calls. Every call has a cost, so changes in quick succession share
    # one. The strictest time limit for a configuration, 3 s on the smallest sites, leaves room for
    # this delay.
    watch_interval_ms: float = 900.0
    watcher_interval_ms: float = 700.0
    first_retry_ms: float = 150.0
    max_retry_ms: float = 1_000.0
    # Without a configuration an instance can't serve callers, so it retries sooner, unless the
    # store refuses calls because of their rate.
    max_unready_retry_ms: float = 400.0
    # A crashed instance is removed after this time at most, and a renewal costs little.
    lease_ms: float = 4_000.0
    # The share of a lease's time after which it is renewed, so that one renewal may fail.
    renew_share: float = 0.4
    # Interval of the comparison of the store's revision with the one that the watch has reached,
    # and how much longer than the check a watch may take to reach it: together they are less than
    # the shortest time within which an instance must have recovered, 4 s. A check costs a tenth of
    # a call. One that was not answered is followed by the next after a shorter time.
    check_ms: float = 1_500.0
    check_tolerance_ms: float = 1_000.0
    check_retry_ms: float = 300.0
    # Interval at which an instance that receives the change feed checks that it is still fed.
    feed_check_ms: float = 250.0
    # How long a pending watch may take to return changes that other instances have already. A slow
    # store answers within this time.
    gap_timeout_ms: float = 2_000.0
    # Interval at which an instance with a pending watch checks whether it has become a watcher.
    role_check_ms: float = 1_000.0


@dataclass(frozen=True, slots=True)
class WatchAbandoned:
    """The watch was given up before the store answered, and is to be called again at once."""


class StateDecoder(ABC):
    """Decodes the platform's documents; an invalid document gives the reason instead."""

    @abstractmethod
    def is_catalog(self, key: str) -> bool:
        """Return whether the key holds the configuration."""

    @abstractmethod
    def find_domain_taken_out(self, key: str) -> str | None:
        """Return the failure domain that the existence of the key takes out of service, or None."""

    @abstractmethod
    def find_upstream_id(self, key: str) -> str | None:
        """Return the id of the upstream whose entry the key holds, or None."""

    @abstractmethod
    def decode_catalog(self, value: bytes) -> Catalog | str:
        """Return the configuration, or why it is invalid."""

    @abstractmethod
    def decode_upstream(self, upstream_id: str, value: bytes, now_ms: float) -> Upstream | str:
        """Return the upstream, or why the entry does not name a usable one."""


@dataclass(slots=True)
class SharedState:
    """The shared state as known to this instance; `catalog` is None until the first configuration.

    `confirmed_ms` is when the state was last confirmed to be current, `store_read_ms` when the
    store last answered this instance's own watch or read; both are monotonic times.
    """

    registry: Registry
    members: Members
    catalog: Catalog | None = None
    revision: int = 0
    confirmed_ms: float = 0.0
    store_read_ms: float = 0.0
    is_store_lost: bool = False


class StoreFollower:
    """Follows the store and maintains this instance's own entry in it."""

    def __init__(
        self,
        clock: Clock,
        store: StateStore,
        decoder: StateDecoder,
        state: SharedState,
        selector: Selector,
        log: EventLog,
        random: Callable[[], float],
        on_change: Callable[[], None],
        times: StoreCallTimes,
        feed: Feed,
        relay: Callable[[int, StoreChanges], None],
    ) -> None:
        """Call `on_change` after changes, and `relay` with what was read after a revision."""
        self._clock = clock
        self._store = store
        self._decoder = decoder
        self._state = state
        self._selector = selector
        self._log = log
        self._random = random
        self._on_change = on_change
        self._times = times
        self._feed = feed
        self._relay = relay
        # Set when other instances have changes that this instance has missed.
        self._has_gap = asyncio.Event()
        # During a full read, the revisions at which keys were removed by relayed changes.
        self._removed_while_reading: dict[str, int] | None = None
        self._pending_watch: asyncio.Future | None = None
        # Set when the pending watch may never be answered.
        self._is_watch_suspect = asyncio.Event()
        self._lease: Lease | None = None
        self._is_leaving = False
        self._revisions: dict[str, int] = {}
        self._out_domains: dict[str, str] = {}
        self._store_lost_since_ms: float | None = None
        self._own_entry_lost = asyncio.Event()
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start the tasks that follow the store and maintain this instance's entry."""
        loop = asyncio.get_running_loop()
        workers = (self._follow, self._register, self._check_watch)
        self._tasks = [loop.create_task(self._restart_on_error(worker)) for worker in workers]

    async def leave(self) -> None:
        """Remove this instance from the list of instances by one call, without a retry."""
        self._is_leaving = True
        self._own_entry_lost.set()
        lease, self._lease = self._lease, None
        if lease is not None:
            await self._store.end_lease(lease)

    async def stop(self) -> None:
        """Cancel the tasks that follow the store and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def expire_entries(self) -> None:
        """Remove entries that have not returned to the store within their grace period."""
        now_ms = self._clock.now_ms()
        for upstream_id in self._state.registry.expire(now_ms):
            self._handle_upstream_gone(upstream_id, "missing after the store's return")
        self._state.members.expire(now_ms)

    async def _restart_on_error(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run `work`, and restart it after an unexpected error, which is logged."""
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
            self._removed_while_reading = {}
            view = await self._store.read_all("")
            if isinstance(view, StoreFailure):
                retry_ms = await self._pause(view, retry_ms)
                continue
            self._handle_store_answer()
            self._state.store_read_ms = self._clock.now_ms()
            self._apply_view(view)
            retry_ms = self._times.first_retry_ms
            await self._watch()

    async def _watch(self) -> None:
        """Apply changes until the store has discarded some that are needed."""
        retry_ms = self._times.first_retry_ms
        # If all instances start together, each new entry would end the first watch of all others.
        await asyncio.sleep(self._times.watch_interval_ms / 1_000)
        while True:
            if self._feed.has_live_watcher(self._clock.now_ms()) and not await self._wait_for_gap():
                continue
            called_ms = self._clock.now_ms()
            after = self._state.revision
            changes = await self._call_watch(after)
            if isinstance(changes, WatchAbandoned):
                continue
            if isinstance(changes, HistoryLost):
                self._log.write(Event.HISTORY_LOST, "fleet", after_revision=after)
                return
            if isinstance(changes, StoreFailure):
                retry_ms = await self._pause(changes, retry_ms)
                continue
            self._handle_store_answer()
            self._state.store_read_ms = self._clock.now_ms()
            retry_ms = self._times.first_retry_ms
            self._apply_changes(changes.items, changes.revision)
            self._relay(after, changes)
            interval_ms = self._times.watch_interval_ms
            if self._feed.is_watcher:
                interval_ms = min(interval_ms, self._times.watcher_interval_ms)
            remaining_ms = interval_ms - (self._clock.now_ms() - called_ms)
            if remaining_ms > 0 and len(changes.items) < MAYBE_TRUNCATED_CHANGES:
                await asyncio.sleep(remaining_ms / 1_000)

    async def _wait_for_gap(self) -> bool:
        """Wait for `feed_check_ms` and return whether there are changes to read from the store."""
        try:
            async with asyncio.timeout(self._times.feed_check_ms / 1_000):
                await self._has_gap.wait()
        except TimeoutError:
            return False
        self._has_gap.clear()
        return True

    def apply_batch(self, sender: str, batch: FeedBatch) -> None:
        """Apply the changes that another instance has read from the store and relayed."""
        now_ms = self._clock.now_ms()
        self._feed.record_batch(sender, batch, now_ms)
        if self._state.revision == 0:
            return
        step = classify_batch(batch, self._state.revision)
        if step is BatchPosition.GAP:
            self._has_gap.set()
        elif step is BatchPosition.NEXT:
            self._state.confirmed_ms = max(self._state.confirmed_ms, now_ms - batch.age_ms)
            self._apply_changes(batch.changes, batch.to_revision)

    def _apply_changes(self, items: tuple[StoreItem, ...], revision: int) -> None:
        known = self._state.revision
        new_items = [item for item in items if item.revision > known]
        for item in new_items:
            self._apply_item(item)
        self._state.revision = max(known, revision)
        if new_items:
            self._on_change()

    async def _call_watch(
        self, after: int
    ) -> StoreChanges | HistoryLost | StoreFailure | WatchAbandoned:
        """Call the watch, and abandon it when it may never be answered."""
        self._is_watch_suspect.clear()
        self._has_gap.clear()
        is_watcher = self._feed.is_watcher
        wait_ms = self._times.watcher_wait_ms if is_watcher else self._times.watch_wait_ms
        watch = asyncio.ensure_future(self._store.watch("", after, wait_ms))
        self._pending_watch = watch
        doubts = [
            asyncio.ensure_future(self._is_watch_suspect.wait()),
            asyncio.ensure_future(self._wait_for_overdue_gap()),
        ]
        try:
            while not watch.done() and not any(doubt.done() for doubt in doubts):
                await asyncio.wait(
                    {watch, *doubts},
                    timeout=self._times.role_check_ms / 1_000,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if self._feed.is_watcher and not is_watcher:
                    # Other instances rely on this one from now on, and this watch may be stuck.
                    break
            return watch.result() if watch.done() else WatchAbandoned()
        finally:
            self._pending_watch = None
            watch.cancel()
            for doubt in doubts:
                doubt.cancel()

    async def _wait_for_overdue_gap(self) -> None:
        """Return when a gap in the feed has lasted longer than a pending watch takes to fill it."""
        await self._has_gap.wait()
        await asyncio.sleep(self._times.gap_timeout_ms / 1_000)
        self._log.write(Event.WATCH_SILENT, "fleet", known=self._state.revision, reason="gap")

    async def _check_watch(self) -> None:
        """Compare the store's revision with the watch's periodically, to detect a stuck watch."""
        was_unanswered = False
        while True:
            pause_ms = self._times.check_retry_ms if was_unanswered else self._times.check_ms
            await asyncio.sleep(pause_ms / 1_000)
            if self._feed.has_live_watcher(self._clock.now_ms()):
                # The watchers advertise their revision and check it themselves.
                was_unanswered = False
                continue
            watch = self._pending_watch
            revision = await self._store.read_revision()
            if isinstance(revision, StoreFailure):
                was_unanswered = True
            elif was_unanswered:
                # What was lost with the check may have been the answer of the watch, too.
                was_unanswered = False
                self._suspect_watch("unanswered check", revision)
            elif watch is not None and revision > self._state.revision:
                await self._expect_progress(watch, revision)

    async def _expect_progress(self, watch: asyncio.Future, revision: int) -> None:
        """Suspect a pending watch that does not return the changes up to `revision`."""
        before = self._state.revision
        await asyncio.sleep(self._times.check_tolerance_ms / 1_000)
        # A watch that delivers changes is not stuck, however far behind it is.
        if watch is self._pending_watch and self._state.revision == before:
            self._suspect_watch("revision", revision)

    def _suspect_watch(self, reason: str, revision: int) -> None:
        if self._pending_watch is None:
            return
        self._log.write(
            Event.WATCH_SILENT,
            "fleet",
            known=self._state.revision,
            store=revision,
            reason=reason,
        )
        self._is_watch_suspect.set()

    async def _pause(self, failure: StoreFailure, retry_ms: float) -> float:
        """Wait before the next call; return the pause in ms after a further failure."""
        self._handle_store_failure(failure)
        jitter = 1.0 + RETRY_JITTER * self._random()
        if self._state.catalog is None and not failure.is_overload:
            retry_ms = min(retry_ms, self._times.max_unready_retry_ms)
        await asyncio.sleep(retry_ms * jitter / 1_000)
        return min(self._times.max_retry_ms, 2 * retry_ms)

    def _handle_store_failure(self, failure: StoreFailure) -> None:
        if self._store_lost_since_ms is None:
            self._store_lost_since_ms = self._clock.now_ms()
            self._state.is_store_lost = True
            self._log.write(Event.STORE_LOST, "fleet", reason=failure.reason)

    def _handle_store_answer(self) -> None:
        now_ms = self._clock.now_ms()
        self._state.confirmed_ms = now_ms
        if self._store_lost_since_ms is not None:
            lost_ms = now_ms - self._store_lost_since_ms
            self._store_lost_since_ms = None
            self._state.is_store_lost = False
            # A watch that was sent during the outage may have been lost.
            self._is_watch_suspect.set()
            self._state.registry.handle_store_return(now_ms)
            self._state.members.handle_store_return(now_ms)
            self._log.write(Event.STORE_REGAINED, "fleet", lost_ms=round(lost_ms))

    def _apply_view(self, view: StoreView) -> None:
        """Apply a full view of the store; keys that are not in it have been deleted.

        Changes relayed while the view was read may be newer than it and stay in effect.
        """
        removed, self._removed_while_reading = self._removed_while_reading or {}, None
        present = {item.key for item in view.items}
        for key in list(self._revisions):
            if key not in present:
                self._apply_item(StoreItem(key, None, view.revision))
        for item in view.items:
            if item.revision > removed.get(item.key, 0):
                self._apply_item(item)
        self._state.revision = max(self._state.revision, view.revision)
        self._on_change()

    def _apply_item(self, item: StoreItem) -> None:
        """Apply one change, unless a newer one of its key has been applied."""
        if item.revision < self._revisions.get(item.key, 0):
            return
        if item.value is None:
            self._revisions.pop(item.key, None)
            if self._removed_while_reading is not None:
                self._removed_while_reading[item.key] = item.revision
        else:
            self._revisions[item.key] = item.revision
        upstream_id = self._decoder.find_upstream_id(item.key)
        out_domain = self._decoder.find_domain_taken_out(item.key)
        if upstream_id is not None:
            self._apply_upstream(upstream_id, item.value)
        elif out_domain is not None:
            self._apply_out_domain(item.key, out_domain, item.value is not None)
        elif self._decoder.is_catalog(item.key):
            self._apply_catalog(item.value, item.revision)
        elif item.key.startswith(MEMBER_PREFIX):
            self._apply_member(item.key[len(MEMBER_PREFIX) :], item.value)

    def _apply_upstream(self, upstream_id: str, value: bytes | None) -> None:
        now_ms = self._clock.now_ms()
        registry = self._state.registry
        if value is None:
            if registry.remove(upstream_id, now_ms):
                self._handle_upstream_gone(upstream_id, "entry removed")
            return
        decoded = self._decoder.decode_upstream(upstream_id, value, now_ms)
        if isinstance(decoded, str):
            registry.remove_invalid(upstream_id)
            self._log.write(Event.UPSTREAM_REFUSED, "fleet", upstream=upstream_id, reason=decoded)
            return
        known = registry.get(upstream_id)
        if known is not None and known.started_at_ms != decoded.started_at_ms:
            self._selector.remove_upstream(upstream_id)
        if registry.put(decoded) and not _is_unchanged(known, decoded):
            self._log.write(
                Event.UPSTREAM_LISTED,
                "fleet",
                upstream=upstream_id,
                service=decoded.service,
                domain=decoded.domain,
                leaving=decoded.is_leaving,
                cold_ms=round(decoded.cold_until_ms - now_ms),
            )

    def _handle_upstream_gone(self, upstream_id: str, reason: str) -> None:
        self._selector.remove_upstream(upstream_id)
        self._log.write(Event.UPSTREAM_GONE, "fleet", upstream=upstream_id, reason=reason)

    def _apply_out_domain(self, key: str, domain: str, is_out: bool) -> None:
        if is_out:
            self._out_domains[key] = domain
        else:
            self._out_domains.pop(key, None)
        registry = self._state.registry
        for returned in registry.set_out_domains(frozenset(self._out_domains.values())):
            # Without recent load, its upstreams may be cold, which their entries may not show.
            registry.mark_domain_cold(returned, self._clock.now_ms() + self._compute_max_cold_ms())
        self._log.write(Event.DOMAINS_OUT, "fleet", domains=sorted(registry.out_domains))

    def _compute_max_cold_ms(self) -> float:
        catalog = self._state.catalog
        services = catalog.services.values() if catalog else ()
        return max((service.cold_ms for service in services), default=0.0)

    def _apply_catalog(self, value: bytes | None, revision: int) -> None:
        if value is None:
            return
        decoded = self._decoder.decode_catalog(value)
        current = self._state.catalog
        if isinstance(decoded, str):
            self._log.write(
                Event.CONFIGURATION_REFUSED, "fleet", reason=decoded, store_revision=revision
            )
        elif current is None or decoded.version > current.version:
            self._state.catalog = decoded
            self._log.write(
                Event.CONFIGURATION_TAKEN,
                "fleet",
                version=decoded.version,
                previous=current.version if current else None,
                store_revision=revision,
                routes=len(decoded.routes),
            )

    def _apply_member(self, name: str, value: bytes | None) -> None:
        now_ms = self._clock.now_ms()
        members = self._state.members
        if value is None:
            members.remove(name, now_ms)
            if name == members.own.name and not self._is_leaving:
                self._lease = None
                self._own_entry_lost.set()
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
        """Maintain this instance's entry in the list of instances by a lease, until it leaves."""
        retry_ms = self._times.first_retry_ms
        while not self._is_leaving:
            failure = await (
                self._write_own_entry() if self._lease is None else self._renew_lease()
            )
            if failure is not None:
                retry_ms = await self._pause(failure, retry_ms)
                continue
            retry_ms = self._times.first_retry_ms
            if self._lease is None:
                continue
            self._handle_store_answer()
            self._own_entry_lost.clear()
            try:
                async with asyncio.timeout(self._lease.ttl_ms * self._times.renew_share / 1_000):
                    await self._own_entry_lost.wait()
            except TimeoutError:
                continue

    async def _write_own_entry(self) -> StoreFailure | None:
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

    async def _renew_lease(self) -> StoreFailure | None:
        result = await self._store.renew_lease(self._lease)
        if isinstance(result, LeaseEnded):
            self._log.write(Event.LEASE_LOST, "fleet", lease=self._lease and self._lease.id)
            self._lease = None
        return result if isinstance(result, StoreFailure) else None


def _is_unchanged(known: Upstream | None, decoded: Upstream) -> bool:
    """Return whether an entry changes nothing but how long its upstream stays cold."""
    return known is not None and known == decoded._replace(
        cold_until_ms=known.cold_until_ms, sequence=known.sequence
    )
