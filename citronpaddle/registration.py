"""This instance's entry in the list of instances, which the store keeps under a lease."""

import asyncio
import contextlib
import json
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from .adapters.eventlog import Event, EventLog
from .availability import StoreAvailability, StoreCallTimes
from .policy.members import Member
from .sharedstate import MEMBER_PREFIX
from .statestore import Lease, LeaseEnded, StateStore, StoreFailure

Answer = TypeVar("Answer")


async def repeat_unanswered(
    call: Callable[[], Coroutine[Any, Any, Answer]], interval_ms: float
) -> Answer:
    """Make a call again each `interval_ms` until one of them has a result, which is returned."""
    tasks: set[asyncio.Task] = set()
    try:
        while True:
            tasks.add(asyncio.create_task(call()))
            done, _ = await asyncio.wait(
                tasks, timeout=interval_ms / 1_000, return_when=asyncio.FIRST_COMPLETED
            )
            if done:
                return done.pop().result()
    finally:
        for task in tasks:
            task.cancel()


class Registration:
    """Writes the entry, renews its lease, and writes it again when it was removed."""

    def __init__(
        self,
        store: StateStore,
        own: Member,
        log: EventLog,
        times: StoreCallTimes,
        availability: StoreAvailability,
        on_answer: Callable[[], None],
        has_frequent_answers: Callable[[], bool],
    ) -> None:
        """Call `on_answer` after each call that the store has answered.

        `has_frequent_answers` returns whether this instance learns by its watch or by another
        instance that the store answers, so that renewals need not show it.
        """
        self._has_frequent_answers = has_frequent_answers
        self._on_answer = on_answer
        self._store = store
        self._own = own
        self._log = log
        self._times = times
        self._availability = availability
        self._lease: Lease | None = None
        self._is_leaving = False
        # Set when the next call is due at once.
        self._is_due = asyncio.Event()

    @property
    def has_lease(self) -> bool:
        """Return whether this instance's next call renews a lease, and is no write."""
        return self._lease is not None

    async def leave(self) -> None:
        """Remove this instance from the list of instances by one call, without a retry."""
        self._is_leaving = True
        self._is_due.set()
        await self._end_lease()

    def handle_entry_removed(self) -> None:
        """Write the entry again, since it was removed."""
        if not self._is_leaving:
            self._lease = None
            self._is_due.set()

    def renew_now(self) -> None:
        """Call the store without waiting for the next renewal, to find out whether it answers."""
        self._is_due.set()

    async def run(self) -> None:
        """Maintain this instance's entry in the list of instances by a lease, until it leaves."""
        retry_ms = self._times.first_retry_ms
        while not self._is_leaving:
            self._is_due.clear()
            failure = await (
                self._write_own_entry() if self._lease is None else self._renew_lease()
            )
            if failure is not None:
                if self._availability.is_unready:
                    await self._availability.wait_for_return(failure)
                else:
                    retry_ms = await self._availability.pause(failure, retry_ms)
                continue
            retry_ms = self._times.first_retry_ms
            self._on_answer()
            self._availability.handle_answer()
            if self._lease is None or self._is_leaving:
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._lease.ttl_ms * self._choose_renew_share() / 1_000):
                    await self._is_due.wait()
        # The entry may have been written while the instance left.
        await self._end_lease()

    def _choose_renew_share(self) -> float:
        times = self._times
        return times.renew_share if self._has_frequent_answers() else times.frequent_renew_share

    async def _end_lease(self) -> None:
        lease, self._lease = self._lease, None
        if lease is not None:
            await self._store.end_lease(lease)

    async def _write_own_entry(self) -> StoreFailure | None:
        lease = await self._store.grant_lease(self._times.lease_ms)
        if isinstance(lease, StoreFailure):
            return lease
        own = self._own
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
        lease, timeout_ms = self._lease, self._times.renew_timeout_ms
        result = await repeat_unanswered(
            lambda: self._store.renew_lease(lease, timeout_ms), self._times.renew_repeat_ms
        )
        if isinstance(result, LeaseEnded):
            self._log.write(Event.LEASE_LOST, "fleet", lease=self._lease and self._lease.id)
            self._lease = None
        return result if isinstance(result, StoreFailure) else None
