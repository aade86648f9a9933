"""Change feed: in a large failure domain, two watchers read the store's changes for the others.

Store calls are charged for and their permitted rate grows more slowly than the fleet, while most
changes are small. The watchers relay them in datagrams. An instance reads the store itself if it
has missed changes, if there are more than a few datagrams hold, or if it receives nothing from a
watcher. Times are in ms.
"""

from collections.abc import Iterable
from enum import StrEnum
from itertools import groupby
from typing import NamedTuple

from ..statestore import StoreChanges, StoreItem

# Watchers per failure domain: the loss of one causes no delay.
WATCHER_COUNT = 2
# Watchers send their revision every 0.5 s; one that has missed two heartbeats is not relied on.
WATCHER_TIMEOUT_MS = 1_200.0
# A watcher pauses for at most 0.7 s, and the store answers its watch within 1.3 s even without
# changes. A watch that is older, with a margin for a slow answer, may never be answered although
# the watcher's other store calls are.
MAX_WATCH_AGE_MS = 2_200.0
# At most this many senders of batches are tracked, since a datagram may name any sender.
MAX_SENDERS = 4_096
# Compression shrinks upstream entries to a quarter and configurations to a tenth, so a batch of
# this size fits a datagram of 8 KiB. Of more batches, some would be lost on a weak link; each
# instance reads such large changes itself.
MAX_BATCH_BYTES = 16_000
MAX_BATCHES = 8
# Encoding overhead of one change in a message.
_CHANGE_OVERHEAD_BYTES = 32


class FeedBatch(NamedTuple):
    """All changes after `from_revision` up to `to_revision`; the watch was answered `age_ms` ago.

    A batch with equal revisions has no changes and only reports the watcher's revision. Revisions
    are those of the store's `era`, the number of times that it was restored from a copy.
    """

    from_revision: int
    to_revision: int
    age_ms: float
    changes: tuple[StoreItem, ...] = ()
    era: int = 0

    @property
    def without_changes(self) -> "FeedBatch":
        """Return a batch that only reports the watcher's revision."""
        return FeedBatch(self.to_revision, self.to_revision, self.age_ms, era=self.era)


class BatchPosition(StrEnum):
    """Position of a batch relative to the revision up to which an instance has all changes."""

    KNOWN = "known"
    NEXT = "next"
    GAP = "gap"


def classify_batch(batch: FeedBatch, known_revision: int) -> BatchPosition:
    """Return whether the batch contains the next changes, nothing new, or follows a gap."""
    if batch.to_revision <= known_revision:
        return BatchPosition.KNOWN
    return BatchPosition.NEXT if batch.from_revision <= known_revision else BatchPosition.GAP


def split_changes(from_revision: int, read: StoreChanges, age_ms: float) -> list[FeedBatch]:
    """Split what was read after `from_revision` into datagram-sized batches.

    If there are too many, return only the revision up to which it was read.
    """
    batches: list[FeedBatch] = []
    changes: list[StoreItem] = []
    size_bytes = 0
    start = end = from_revision
    by_revision = sorted(read.items, key=lambda item: item.revision)
    for revision, group in groupby(by_revision, key=lambda item: item.revision):
        # The changes of one transaction share a revision and stay in one batch.
        together = list(group)
        added_bytes = sum(_estimate_size_bytes(item) for item in together)
        if changes and size_bytes + added_bytes > MAX_BATCH_BYTES:
            batches.append(FeedBatch(start, end, age_ms, tuple(changes), read.era))
            changes, size_bytes, start = [], 0, end
        changes += together
        size_bytes += added_bytes
        end = revision
        if len(batches) >= MAX_BATCHES:
            return [FeedBatch(read.revision, read.revision, age_ms, era=read.era)]
    batches.append(FeedBatch(start, read.revision, age_ms, tuple(changes), read.era))
    return batches


def _estimate_size_bytes(item: StoreItem) -> int:
    return len(item.key) + len(item.value or b"") + _CHANGE_OVERHEAD_BYTES


class Feed:
    """Tracks whether this instance is a watcher and whether it receives batches from one."""

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._watchers: frozenset[str] = frozenset()
        self._received_ms: dict[str, float] = {}

    @property
    def is_watcher(self) -> bool:
        """Return whether this instance reads the store for its failure domain."""
        return self._own_name in self._watchers

    def set_watchers(self, names: Iterable[str]) -> None:
        """Set the watchers of this failure domain; without any, each instance reads the store."""
        self._watchers = frozenset(names)

    def record_batch(self, sender: str, batch: FeedBatch, now_ms: float) -> None:
        """Record a batch from `sender`; its watch must have been answered recently to count."""
        is_known = sender in self._received_ms or len(self._received_ms) < MAX_SENDERS
        if batch.age_ms <= MAX_WATCH_AGE_MS and is_known:
            self._received_ms[sender] = now_ms
        else:
            self._received_ms.pop(sender, None)

    def has_live_watcher(self, now_ms: float) -> bool:
        """Return whether another instance's batches replace this instance's own watch."""
        if self.is_watcher:
            return False
        return any(
            now_ms - self._received_ms.get(name, -WATCHER_TIMEOUT_MS) < WATCHER_TIMEOUT_MS
            for name in self._watchers
        )
