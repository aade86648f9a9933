"""In-memory store with switchable faults, for tests of the code that follows a store."""

import asyncio

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


class FakeStore(StateStore):
    """In-memory store for any number of instances.

    While `is_down`, calls fail. The next `unanswered_watches` watches never return. `log` holds the
    name of every call. A watch returns at most `max_changes` changes. While `is_read_blocked`, full
    reads return the state at the time of their call, but only when it is no longer set.
    """

    def __init__(self) -> None:
        self.items: dict[str, StoreItem] = {}
        self.history: list[StoreItem] = []
        self.revision = 1
        self.compacted_revision = 0
        self.is_down = False
        self.unanswered_watches = 0
        self.max_changes = 1_000
        self.is_read_blocked = False
        self.log: list[str] = []
        self._leases: dict[int, set[str]] = {}
        self._changed = asyncio.Event()

    @property
    def era(self) -> int:
        return 0

    def write(self, key: str, value: bytes) -> None:
        """Write a key without a lease, as an operator or an upstream does."""
        self.revision += 1
        item = StoreItem(key, value, self.revision)
        self.items[key] = item
        self._append_change(item)

    def delete(self, key: str) -> None:
        """Delete a key."""
        self.revision += 1
        if self.items.pop(key, None) is not None:
            self._append_change(StoreItem(key, None, self.revision))

    def compact_history(self) -> None:
        """Remove all past changes; a watch from an earlier revision gets `HistoryLost`."""
        self.history.clear()
        self.compacted_revision = self.revision

    def expire_leases(self) -> None:
        """Expire all leases and delete their keys."""
        leases, self._leases = self._leases, {}
        for keys in leases.values():
            for key in keys:
                self.delete(key)

    async def read_all(self, prefix: str) -> StoreView | StoreFailure:
        self.log.append("read_all")
        if self.is_down:
            return StoreFailure("down")
        view = StoreView(tuple(self.items.values()), self.revision)
        while self.is_read_blocked:  # noqa: ASYNC110 - set by tests
            await asyncio.sleep(0.005)
        return view

    async def read_revision(self) -> int | StoreFailure:
        self.log.append("read_revision")
        return StoreFailure("down") if self.is_down else self.revision

    async def watch(
        self, prefix: str, after: int, wait_ms: int
    ) -> StoreChanges | HistoryLost | StoreFailure:
        self.log.append("watch")
        if self.unanswered_watches > 0:
            self.unanswered_watches -= 1
            await asyncio.Event().wait()
        if self.is_down:
            return StoreFailure("down")
        if after < self.compacted_revision:
            return HistoryLost()
        end = asyncio.get_running_loop().time() + wait_ms / 1_000
        while True:
            changes = tuple(item for item in self.history if item.revision > after)
            if changes or self.is_down:
                break
            self._changed.clear()
            try:
                async with asyncio.timeout_at(end):
                    await self._changed.wait()
            except TimeoutError:
                break
        if self.is_down:
            return StoreFailure("down")
        if len(changes) > self.max_changes:
            changes = changes[: self.max_changes]
            return StoreChanges(changes, changes[-1].revision)
        return StoreChanges(changes, self.revision)

    async def grant_lease(self, ttl_ms: float) -> Lease | StoreFailure:
        self.log.append("grant_lease")
        if self.is_down:
            return StoreFailure("down")
        lease = Lease(1_000 + len(self.log), ttl_ms)
        self._leases[lease.id] = set()
        return lease

    async def renew_lease(
        self, lease: Lease, timeout_ms: float
    ) -> Lease | LeaseEnded | StoreFailure:
        self.log.append("renew_lease")
        if self.is_down:
            return StoreFailure("down")
        return lease if lease.id in self._leases else LeaseEnded()

    async def end_lease(self, lease: Lease) -> StoreFailure | None:
        self.log.append("end_lease")
        for key in self._leases.pop(lease.id, ()):
            self.delete(key)
        return None

    async def put(self, key: str, value: bytes, lease: Lease) -> LeaseEnded | StoreFailure | None:
        self.log.append("put")
        if self.is_down:
            return StoreFailure("down")
        if lease.id not in self._leases:
            return LeaseEnded()
        self._leases[lease.id].add(key)
        self.write(key, value)
        return None

    async def commit(
        self,
        preconditions: tuple[Precondition, ...],
        writes: tuple[StoreWrite, ...],
        deletes: tuple[str, ...] = (),
    ) -> Committed | Conflict | StoreFailure:
        self.log.append("commit")
        if self.is_down:
            return StoreFailure("down")
        for key, revision in preconditions:
            item = self.items.get(key)
            if (item.revision if item else 0) != revision:
                return Conflict()
        for key, value in writes:
            self.write(key, value)
        for key in deletes:
            self.delete(key)
        return Committed(self.revision)

    def _append_change(self, item: StoreItem) -> None:
        self.history.append(item)
        self._changed.set()
