"""Who reads the store's changes: in a large failure domain, two instances do it for all.

Every call of the store has its price and its rate grows more slowly than the fleet, while most
changes are small. The watchers pass them on in datagrams. An instance that has missed some, that is
told of more than a few datagrams hold, or that hears no watcher reads the store itself.
Times are in ms.
"""

from collections.abc import Iterable
from enum import StrEnum
from itertools import groupby
from typing import NamedTuple

from ..statestore import StoreItem

# Watchers of a failure domain: the loss of one delays nothing.
WATCHER_COUNT = 2
# Watchers tell their revision every 0.5 s; one that has missed two beats is not relied on.
SILENT_MS = 1_200.0
# A watcher pauses 0.7 s at most, and its watch is answered after 1.3 s, changes or not. Beyond that
# and a slow answer it may be silent for good, while its other calls are answered.
MAX_AGE_MS = 2_200.0
# Compressed, the entries of upstreams shrink to a quarter and configurations to a tenth: a batch of
# this size fits a datagram of 8 KiB. Of more than so many, some would be lost on a weak link, and
# each instance reads such a change itself.
MAX_BATCH_BYTES = 16_000
MAX_BATCHES = 8
# The frame of one change in a message.
_CHANGE_BYTES = 32


class FeedBatch(NamedTuple):
    """All changes after `from_revision` up to `to_revision`; the watch was answered `age_ms` ago.

    One that begins where it ends brings nothing and tells only how far the watcher is.
    """

    from_revision: int
    to_revision: int
    age_ms: float
    changes: tuple[StoreItem, ...] = ()

    @property
    def without_changes(self) -> "FeedBatch":
        """Return a batch that tells only how far the watcher is."""
        return FeedBatch(self.to_revision, self.to_revision, self.age_ms)


class BatchPosition(StrEnum):
    """What a batch is to an instance that knows the changes up to some revision."""

    KNOWN = "known"
    NEXT = "next"
    GAP = "gap"


def classify_batch(batch: FeedBatch, known: int) -> BatchPosition:
    """Return whether the batch brings what comes next, nothing new, or leaves out changes."""
    if batch.to_revision <= known:
        return BatchPosition.KNOWN
    return BatchPosition.NEXT if batch.from_revision <= known else BatchPosition.GAP


def split_changes(
    from_revision: int, to_revision: int, items: Iterable[StoreItem], age_ms: float
) -> list[FeedBatch]:
    """Return batches of the size of a datagram, or one that only names the revision."""
    batches: list[FeedBatch] = []
    changes: list[StoreItem] = []
    size = 0
    start = end = from_revision
    by_revision = sorted(items, key=lambda item: item.revision)
    for revision, group in groupby(by_revision, key=lambda item: item.revision):
        # The changes of one transaction have one revision and stay together.
        together = list(group)
        added = sum(_measure(item) for item in together)
        if changes and size + added > MAX_BATCH_BYTES:
            batches.append(FeedBatch(start, end, age_ms, tuple(changes)))
            changes, size, start = [], 0, end
        changes += together
        size += added
        end = revision
        if len(batches) >= MAX_BATCHES:
            return [FeedBatch(to_revision, to_revision, age_ms)]
    batches.append(FeedBatch(start, to_revision, age_ms, tuple(changes)))
    return batches


def _measure(item: StoreItem) -> int:
    return len(item.key) + len(item.value or b"") + _CHANGE_BYTES


class Feed:
    """Whether this instance reads the store for others, or others for it."""

    def __init__(self, own: str) -> None:
        self._own = own
        self._watchers: frozenset[str] = frozenset()
        self._heard_ms: dict[str, float] = {}

    @property
    def is_watcher(self) -> bool:
        """Return whether this instance reads the store for its failure domain."""
        return self._own in self._watchers

    def set_watchers(self, names: Iterable[str]) -> None:
        """Take the watchers of this failure domain; without any, each instance reads for itself."""
        self._watchers = frozenset(names)

    def record_batch(self, sender: str, batch: FeedBatch, now_ms: float) -> None:
        """Take note that an instance reads the store, if its watch is still answered."""
        if batch.age_ms <= MAX_AGE_MS:
            self._heard_ms[sender] = now_ms
        else:
            self._heard_ms.pop(sender, None)

    def has_live_watcher(self, now_ms: float) -> bool:
        """Return whether a watcher can be relied on, so that this instance needs no watch."""
        if self.is_watcher:
            return False
        return any(
            now_ms - self._heard_ms.get(name, -SILENT_MS) < SILENT_MS for name in self._watchers
        )
