"""Follows the state that all instances share in the platform's store.

One watch covers the configuration, the failure domains taken out of service, the upstreams and the
instances. While the store is unavailable, the last known state stays in force.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from .adapters.eventlog import Event, EventLog
from .availability import StoreAvailability, StoreCallTimes
from .clock import Clock
from .policy.feed import MAX_WATCH_AGE_MS, BatchPosition, Feed, FeedBatch, classify_batch
from .policy.selection import Selector
from .registration import Registration
from .sharedstate import SPENDING_PREFIX, ItemHandler, SharedState, StateDecoder, StateUpdater
from .statestore import HistoryLost, StateStore, StoreChanges, StoreFailure
from .supervision import restart_on_error

# A watch answer with this many changes or bytes may have been truncated to the store's largest
# answer, about 1,000 changes or 1 MB, so the next watch is called without a pause.
MAYBE_TRUNCATED_CHANGES = 100
MAYBE_TRUNCATED_BYTES = 100_000


@dataclass(frozen=True, slots=True)
class WatchAbandoned:
    """The watch was given up before the store answered, and is to be called again at once."""


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
        handler: ItemHandler | None = None,
        records: ItemHandler | None = None,
    ) -> None:
        """Call `on_change` after changes, and `relay` with what was read after a revision.

        Items that `handler`, that of the roll-outs, and `records` do not apply are applied to
        `state`.
        """
        self._clock = clock
        self._store = store
        self._state = state
        self._log = log
        self._times = times
        self._feed = feed
        self._relay = relay
        # Set when other instances have changes that this instance has missed.
        self._has_gap = asyncio.Event()
        self._pending_watch: asyncio.Future | None = None
        self._watch_called_ms = 0.0
        # Set when the pending watch may never be answered.
        self._is_watch_suspect = asyncio.Event()
        self._availability = StoreAvailability(
            clock,
            log,
            state,
            times,
            random,
            lambda: self._registration.renew_now(),
            # A watch that was sent before the return may have been lost.
            self._is_watch_suspect.set,
        )
        self._registration = Registration(
            store,
            state.members.own,
            log,
            times,
            self._availability,
            lambda: self._begin_era(self._store.era),
            lambda: feed.is_watcher or self._is_fed(),
        )
        self._updater = StateUpdater(
            clock,
            decoder,
            state,
            selector,
            log,
            on_change,
            self._registration.handle_entry_removed,
            handler,
            records,
        )
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start the tasks that follow the store and maintain this instance's entry."""
        loop = asyncio.get_running_loop()
        workers = (self._follow, self._registration.run, self._check_watch)
        pause_ms = self._times.max_retry_ms
        self._tasks = [
            loop.create_task(restart_on_error(worker, self._log, "fleet", pause_ms))
            for worker in workers
        ]

    async def leave(self) -> None:
        """Remove this instance from the list of instances by one call, without a retry."""
        await self._registration.leave()

    async def stop(self) -> None:
        """Cancel the tasks that follow the store and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def expire_entries(self) -> None:
        """Remove entries that have not returned to the store within their grace period."""
        self._updater.expire_entries(self._state.is_store_lost and not self._is_fed())

    def _is_fed(self) -> bool:
        """Return whether a watcher relays what it reads from the store."""
        return self._feed.has_live_watcher(self._clock.now_ms())

    async def _follow(self) -> None:
        retry_ms = self._times.first_retry_ms
        while True:
            self._updater.begin_full_read()
            view = await self._store.read_all("")
            if isinstance(view, StoreFailure):
                retry_ms = await self._wait_after_failure(view, retry_ms)
                continue
            self._begin_era(view.era)
            self._availability.handle_answer()
            self._state.record_store_answer(self._clock.now_ms())
            self._updater.apply_view(view)
            retry_ms = self._times.first_retry_ms
            await self._watch()

    async def _wait_after_failure(self, failure: StoreFailure, retry_ms: float) -> float:
        """Wait until the next call is due; return the pause in ms after a further failure.

        The registration retries, since the lease has the shortest time limit; but without a
        configuration it waits for this task, and without a lease it makes writes, which may get no
        answer while reads do.
        """
        if self._availability.is_unready or not self._registration.has_lease:
            return await self._availability.pause(failure, retry_ms)
        await self._availability.wait_for_return(failure)
        return self._times.first_retry_ms

    async def _watch(self) -> None:
        """Apply changes until the full state must be read again.

        Return when the store has discarded changes that are needed, or was restored from a copy.
        """
        # If all instances start together, each new entry would end the first watch of all others.
        await asyncio.sleep(self._times.watch_interval_ms / 1_000)
        retry_ms = self._times.first_retry_ms
        while True:
            if self._is_fed() and not await self._wait_for_gap():
                continue
            called_ms = self._clock.now_ms()
            after = self._state.revision
            if after == 0:
                return
            changes = await self._call_watch(after)
            if isinstance(changes, WatchAbandoned):
                continue
            self._begin_era(self._store.era)
            if self._state.revision == 0:
                return
            if isinstance(changes, HistoryLost):
                self._log.write(Event.HISTORY_LOST, "fleet", after_revision=after)
                return
            if isinstance(changes, StoreFailure):
                retry_ms = await self._wait_after_failure(changes, retry_ms)
                continue
            retry_ms = self._times.first_retry_ms
            self._availability.handle_answer()
            self._state.record_store_answer(self._clock.now_ms())
            self._updater.apply_changes(changes.items, changes.revision)
            self._relay(after, changes)
            interval_ms = self._choose_interval_ms(changes)
            remaining_ms = interval_ms - (self._clock.now_ms() - called_ms)
            if remaining_ms > 0 and not _may_be_truncated(changes):
                await asyncio.sleep(remaining_ms / 1_000)

    def _choose_interval_ms(self, changes: StoreChanges) -> float:
        """Return the least time between the last call of the watch and the next one."""
        times = self._times
        interval_ms = times.watch_interval_ms
        if self._feed.is_watcher:
            interval_ms = min(interval_ms, times.watcher_interval_ms)
        if changes.items and all(item.key.startswith(SPENDING_PREFIX) for item in changes.items):
            interval_ms = min(interval_ms, times.record_interval_ms)
        return interval_ms

    def _begin_era(self, era: int) -> None:
        """Set the era; if it is new, the store was restored, and a full read is scheduled.

        Until that read, `revision` is 0: what was read of the earlier era stays in force, and no
        revision of it is compared with one of the new era.
        """
        if era <= self._state.era:
            return
        previous, self._state.era = self._state.era, era
        if self._state.revision == 0:
            return
        self._log.write(
            Event.STORE_RESTORED,
            "fleet",
            era=era,
            previous=previous,
            known=self._state.revision,
        )
        self._updater.begin_era()
        self._registration.handle_entry_removed()
        self._is_watch_suspect.set()
        self._has_gap.set()

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
        if batch.era != self._state.era:
            if batch.era > self._state.era:
                # The watch shows whether the store was restored.
                self._has_gap.set()
            return
        now_ms = self._clock.now_ms()
        self._feed.record_batch(sender, batch, now_ms)
        if 0.0 <= batch.age_ms <= MAX_WATCH_AGE_MS:
            self._availability.handle_relayed_answer(now_ms - batch.age_ms)
        if self._state.revision == 0:
            return
        step = classify_batch(batch, self._state.revision)
        if step is BatchPosition.GAP:
            self._has_gap.set()
        elif step is BatchPosition.NEXT:
            self._state.confirmed_ms = max(self._state.confirmed_ms, now_ms - batch.age_ms)
            self._updater.apply_changes(batch.changes, batch.to_revision)

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
        self._watch_called_ms = self._clock.now_ms()
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
        """Compare the store's revision with that of a watch that is pending for long."""
        was_unanswered = False
        pause_ms = self._times.check_ms
        while True:
            await asyncio.sleep(pause_ms / 1_000)
            pause_ms = self._times.check_ms
            watch = self._pending_watch
            if watch is None or self._is_fed() or self._state.is_store_lost:
                # The watchers of a fed instance check the revision themselves, and a watch that is
                # pending when a lost store returns is called again.
                was_unanswered = False
                continue
            pending_ms = self._clock.now_ms() - self._watch_called_ms
            if pending_ms < pause_ms and not was_unanswered:
                # The watch was answered a short time ago.
                pause_ms -= pending_ms
                continue
            revision = await self._store.read_revision()
            self._begin_era(self._store.era)
            if isinstance(revision, StoreFailure):
                was_unanswered = True
                pause_ms = self._times.check_retry_ms
            elif was_unanswered:
                # What was lost with the check may have been the answer of the watch, too.
                was_unanswered = False
                self._suspect_watch("unanswered check", revision)
            elif revision > self._state.revision:
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


def _may_be_truncated(changes: StoreChanges) -> bool:
    """Return whether the store may have had more changes than it answered a watch with."""
    if len(changes.items) >= MAYBE_TRUNCATED_CHANGES:
        return True
    return sum(len(item.value or b"") for item in changes.items) >= MAYBE_TRUNCATED_BYTES
