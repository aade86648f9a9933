"""Keeps the record of an instance's spending of the budget of extra calls in the platform's store.

The record outlives the process, under a lease of its own: the next process of the instance counts
what its predecessors may have spent. The records of all instances also show which ones run, before
those that start at the same time have written their entries.
"""

import asyncio
import contextlib
import json
from typing import Any

from .adapters.eventlog import Event, EventLog
from .clock import Clock
from .policy.extraload import NOTHING_SPENT, ExtraLoad, ServiceSpending, SpendingRecord
from .policy.members import Member
from .sharedstate import SPENDING_PREFIX, ItemHandler, SharedState
from .statestore import Lease, LeaseEnded, StateStore, StoreFailure, StoreItem
from .supervision import restart_on_error

# Longer than a budget's window and the restart of a process.
LEASE_MS = 60_000.0
RENEWAL_INTERVAL_MS = 20_000.0
# Minimum interval of writes, and the pause after a failed one. Every call has a cost.
WRITE_INTERVAL_MS = 100.0
RETRY_MS = 1_000.0
# Interval at which a record is replaced that no longer fits. The instances do that at the same time
# of day, since each write answers the watches of all others.
REVIEW_INTERVAL_MS = 20_000
# The same while calls are retried, so that a record states little more than what was spent.
RETRYING_REVIEW_INTERVAL_MS = 5_000
# Interval at which the return of the store is checked, without a call.
LOST_CHECK_MS = 250.0
# Time after a write in which the watch reports it.
SETTLING_MS = 2_500.0
RENEWAL_TIMEOUT_MS = 1_000.0
# Time for the last write of a process that stops.
FINAL_WRITE_MS = 300.0
_MAX_COUNT = 1_000_000


class SpendingLedger(ItemHandler):
    """Reads the record of the predecessor, and writes that of this process before it spends."""

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        store: StateStore,
        state: SharedState,
        extra_load: ExtraLoad,
    ) -> None:
        self._clock = clock
        self._log = log
        self._store = store
        self._state = state
        self._extra_load = extra_load
        self._own = state.members.own
        self._key = SPENDING_PREFIX + self._own.name
        self._predecessor: SpendingRecord | None = None
        self._has_begun = False
        self._is_closing = False
        self._is_due = asyncio.Event()
        self._lease: Lease | None = None
        # What was written last, and when, and what the store last had.
        self._written: bytes | None = None
        self._written_ms = 0.0
        self._stored: bytes | None = None
        self._renewed_ms = 0.0
        extra_load.set_record(NOTHING_SPENT)
        extra_load.on_record_needed = self._handle_need

    def apply(self, item: StoreItem) -> bool:
        """Apply a record that is in the store when this instance starts; ignore later ones."""
        if not item.key.startswith(SPENDING_PREFIX):
            return False
        if item.key == self._key:
            self._stored = item.value
        if item.value is not None and not self._has_begun:
            name = item.key.removeprefix(SPENDING_PREFIX)
            member, record = decode_record(name, item.value)
            if name == self._own.name:
                self._predecessor = record
            else:
                self._state.members.expect(member, self._clock.now_ms())
        return True

    def handle_change(self) -> None:
        """Begin to spend once the state, with the records, has been read; later check the own one.

        A write without an answer may take effect seconds later, after another one.
        """
        if not self._has_begun:
            self._begin()
        elif self._written is not None and self._stored != self._written:
            if self._clock.now_ms() - self._written_ms >= SETTLING_MS:
                self._is_due.set()

    def _begin(self) -> None:
        self._has_begun = True
        if self._predecessor is not None:
            self._extra_load.set_predecessor(self._predecessor)
            self._log.write(
                Event.SPENDING_RESUMED,
                "spending",
                others=self._predecessor.others,
                services=len(self._predecessor.services),
            )
        # The first calls that fail are not left without a repeat while a slow store takes this.
        self._extra_load.set_record(self._extra_load.make_record(self._clock.now_ms()))
        self._is_due.set()

    def _handle_need(self) -> None:
        if self._state.is_store_lost:
            # No process can start without the store, so that none counts what this one spends.
            self._extra_load.set_record(None)
        self._is_due.set()

    async def run(self) -> None:
        """Write the record whenever more may be spent, and renew its lease, until cancelled."""
        await restart_on_error(self._maintain, self._log, "spending", RETRY_MS)

    async def _maintain(self) -> None:
        if not self._has_begun:
            await self._is_due.wait()
        while True:
            self._is_due.clear()
            if not await self._write():
                await asyncio.sleep(RETRY_MS / 1_000)
                self._is_due.set()
                while self._state.is_store_lost:
                    self._extra_load.set_record(None)
                    await asyncio.sleep(LOST_CHECK_MS / 1_000)
                continue
            await asyncio.sleep(WRITE_INTERVAL_MS / 1_000)
            while not await self._wait_until_due():
                await self._review()

    async def _wait_until_due(self) -> bool:
        """Return true if a write is due, and false if a review is due first."""
        with contextlib.suppress(TimeoutError):
            is_retrying = self._extra_load.is_retrying(self._clock.now_ms())
            interval_ms = RETRYING_REVIEW_INTERVAL_MS if is_retrying else REVIEW_INTERVAL_MS
            left_ms = interval_ms - self._clock.wall_ms() % interval_ms
            async with asyncio.timeout(left_ms / 1_000):
                await self._is_due.wait()
        return self._is_due.is_set()

    async def close(self) -> None:
        """Write what was spent, since no more is spent from now on."""
        self._is_closing = True
        record = self._extra_load.make_record(self._clock.now_ms(), has_reserve=False)
        self._extra_load.set_record(record)
        if self._lease is not None and self._written is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(FINAL_WRITE_MS / 1_000):
                    await self._store.put(self._key, self._encode(record), self._lease)

    async def _write(self) -> bool:
        """Write the record; return whether it is in the store and in force."""
        if self._is_closing:
            return True
        record = self._extra_load.make_record(self._clock.now_ms())
        if self._lease is None:
            lease = await self._store.grant_lease(LEASE_MS)
            if isinstance(lease, StoreFailure):
                return False
            self._lease = lease
            self._renewed_ms = self._clock.now_ms()
        # From now on the store may have this record, also if the answer is lost.
        self._extra_load.restrict(record)
        value = self._encode(record)
        result = await self._store.put(self._key, value, self._lease)
        if isinstance(result, LeaseEnded):
            self._lease = None
        if result is not None:
            return False
        if not self._is_closing:
            self._written, self._written_ms = value, self._clock.now_ms()
            self._extra_load.set_record(record)
        return True

    async def _review(self) -> None:
        """Renew the lease in time; schedule a write if the record is lost or no longer fits."""
        now_ms = self._clock.now_ms()
        if now_ms - self._renewed_ms >= RENEWAL_INTERVAL_MS:
            self._renewed_ms = now_ms
            result = await self._store.renew_lease(self._lease, RENEWAL_TIMEOUT_MS)
            if isinstance(result, LeaseEnded):
                self._lease = None
        if self._lease is None or self._extra_load.is_outdated(now_ms):
            self._is_due.set()

    def _encode(self, record: SpendingRecord) -> bytes:
        own = self._own
        document = {
            "domain": own.domain,
            "cores": own.cores,
            "others": record.others,
            "services": record.services,
        }
        return json.dumps(document).encode()


def decode_record(name: str, value: bytes) -> tuple[Member, SpendingRecord]:
    """Return the instance of a record, and the record.

    Raise ValueError, KeyError, TypeError, AttributeError or RecursionError if it is invalid.
    """
    document = json.loads(value)
    services = {
        service: ServiceSpending(*(_check_count(count) for count in counts))
        for service, counts in document["services"].items()
    }
    member = Member(name, "", str(document["domain"]), "", float(document["cores"]))
    return member, SpendingRecord(_check_count(document["others"]), services)


def _check_count(count: Any) -> int:
    if type(count) is not int or not 0 <= count <= _MAX_COUNT:
        raise ValueError("a count is out of range")
    return count
