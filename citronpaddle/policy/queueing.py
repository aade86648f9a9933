"""A bounded queue ordered by priority, then deadline, and the admission decisions."""

from bisect import bisect_left, insort
from collections.abc import Hashable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from ..errors import ErrorKind, Failure


class QueueEntry(NamedTuple):
    """One queued request; entries sort by field order, with `priority` 0 first.

    `deadline_ms` is a point in time on the caller's monotonic clock. `sequence_number` orders equal
    deadlines by arrival.
    """

    priority: int
    deadline_ms: float
    sequence_number: int
    key: Hashable


@dataclass(frozen=True, slots=True)
class Start:
    """The request may start now; it counts as running until it is reported finished."""

    key: Hashable


@dataclass(frozen=True, slots=True)
class Queued:
    """The request is queued for an estimated `wait_ms`; a `Start` or a `Refuse` follows."""

    key: Hashable
    wait_ms: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request is refused and was not run."""

    key: Hashable
    failure: Failure


Decision = Start | Queued | Refuse


def refuse_overloaded(key: Hashable, reason: str) -> Refuse:
    """Return a refusal of kind `overloaded`."""
    return Refuse(key, Failure(ErrorKind.OVERLOADED, reason))


class WaitingQueue:
    """A queue of at most `max_size` requests, in the order in which they start."""

    def __init__(self, max_size: int) -> None:
        if max_size < 0:
            raise ValueError(f"max_size must be at least 0, not {max_size}")
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
        """Queue `item`; return the refusal of a displaced request, or of `item`, if full.

        A full queue drops its last entry if `item` has a higher priority, otherwise `item`.
        """
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
        """Remove and return the request; return None if it is not queued."""
        item = self._by_key.pop(key, None)
        if item is not None:
            del self._items[bisect_left(self._items, item)]
        return item

    def pop_first(self) -> QueueEntry | None:
        """Remove and return the request that starts next; return None if the queue is empty."""
        return self.remove(self._items[0].key) if self._items else None

    def pop_expired(self, now_ms: float, min_remaining_ms: float = 0.0) -> list[Refuse]:
        """Remove and refuse the requests with at most `min_remaining_ms` left at `now_ms`."""
        # The caller's timer uses the same subtraction, so that rounding cannot make it fire early.
        expired = [item for item in self._items if item.deadline_ms - min_remaining_ms <= now_ms]
        for item in expired:
            self.remove(item.key)
        return [refuse_overloaded(item.key, "deadline passed in the queue") for item in expired]

    def find_next_deadline(self) -> float | None:
        """Return the earliest deadline in ms, or None if nothing is queued."""
        return min((item.deadline_ms for item in self._items), default=None)
