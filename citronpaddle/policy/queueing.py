"""A bounded queue ordered by priority, then deadline, and the decisions about what waits in it."""

from bisect import bisect_left, insort
from collections.abc import Hashable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from ..errors import ErrorKind, Failure


class QueueEntry(NamedTuple):
    """One queued request; the field order is the queue order, `priority` 0 first.

    `deadline_ms` is a point in time on the caller's monotonic clock.
    """

    priority: int
    deadline_ms: float
    sequence_number: int
    key: Hashable


@dataclass(frozen=True, slots=True)
class Start:
    """The request may start now; it holds a place until it is reported finished."""

    key: Hashable


@dataclass(frozen=True, slots=True)
class Queued:
    """The request waits, by estimate for `wait_ms`; a `Start` or a `Refuse` follows."""

    key: Hashable
    wait_ms: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request does not start; it was not run."""

    key: Hashable
    failure: Failure


Decision = Start | Queued | Refuse


def refuse_overloaded(key: Hashable, reason: str) -> Refuse:
    """Return a refusal of kind `overloaded`."""
    return Refuse(key, Failure(ErrorKind.OVERLOADED, reason))


class WaitingQueue:
    """At most `max_size` requests in the order in which they start."""

    def __init__(self, max_size: int) -> None:
        if max_size < 0:
            raise ValueError(f"a queue cannot hold {max_size} requests")
        self.max_size = max_size
        self._items: list[QueueEntry] = []
        self._by_key: dict[Hashable, QueueEntry] = {}

    def __len__(self) -> int:
        return len(self._items)

    def __iter__(self) -> Iterator[QueueEntry]:
        return iter(tuple(self._items))

    def __contains__(self, key: Hashable) -> bool:
        return key in self._by_key

    def count_ahead(self, item: QueueEntry) -> int:
        """Return how many queued requests start before `item`."""
        return bisect_left(self._items, item)

    def add(self, item: QueueEntry) -> Refuse | None:
        """Queue `item`; when full, refuse the last of the lowest priority, or `item` itself."""
        displaced = None
        if len(self._items) >= self.max_size:
            if not self._items or item.priority >= self._items[-1].priority:
                return refuse_overloaded(item.key, f"queue full ({self.max_size} waiting)")
            displaced = refuse_overloaded(self._items[-1].key, "displaced by a higher priority")
            self.remove(self._items[-1].key)
        insort(self._items, item)
        self._by_key[item.key] = item
        return displaced

    def remove(self, key: Hashable) -> QueueEntry | None:
        """Take the request out and return it; return None if it is not queued."""
        item = self._by_key.pop(key, None)
        if item is not None:
            del self._items[bisect_left(self._items, item)]
        return item

    def pop_first(self) -> QueueEntry | None:
        """Take out and return the request that starts next; return None if there is none."""
        return self.remove(self._items[0].key) if self._items else None

    def pop_expired(self, now_ms: float, min_remaining_ms: float = 0.0) -> list[Refuse]:
        """Take out and refuse the requests with at most `needed_ms` left at `now_ms`."""
        # The same subtraction as in a caller's timer, so that rounding cannot make it fire early.
        expired = [item for item in self._items if item.deadline_ms - min_remaining_ms <= now_ms]
        for item in expired:
            self.remove(item.key)
        return [refuse_overloaded(item.key, "deadline passed in the queue") for item in expired]

    def find_next_deadline(self) -> float | None:
        """Return the earliest deadline in ms, or None if nothing is queued."""
        return min((item.deadline_ms for item in self._items), default=None)
