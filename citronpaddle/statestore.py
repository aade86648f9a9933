"""The interface to the platform's store as instances use it for shared state."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import NamedTuple


class StoreItem(NamedTuple):
    """One key as it was written; `value` is None for a key that was deleted at `revision`."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class StoreView:
    """All items under a prefix; changes after `revision` are not in it."""

    items: tuple[StoreItem, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class StoreChanges:
    """The changes up to `revision`, in order; there may be none."""

    items: tuple[StoreItem, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer has the changes that were asked for: read everything anew."""


@dataclass(frozen=True, slots=True)
class LeaseEnded:
    """The lease does not exist any more, and neither do its keys."""


@dataclass(frozen=True, slots=True)
class StoreFailure:
    """No usable answer; a write may have been made, or may be made later.

    `is_overload` says that the store refuses calls because there are too many.
    """

    reason: str
    is_overload: bool = False


class Lease(NamedTuple):
    """A granted lease; it runs for `ttl_ms` from the arrival of each renewal."""

    id: int
    ttl_ms: float


class StateStore(ABC):
    """The store's calls; every one ends within its time-out with a value, never an exception."""

    @abstractmethod
    async def read_all(self, prefix: str) -> StoreView | StoreFailure:
        """Return the newest items under `prefix`, page by page."""

    @abstractmethod
    async def read_revision(self) -> int | StoreFailure:
        """Return a revision that the store has reached, at the lowest price."""

    @abstractmethod
    async def watch(
        self, prefix: str, after: int, wait_ms: int
    ) -> StoreChanges | HistoryLost | StoreFailure:
        """Return the changes after a revision, as soon as there are any or after `wait_ms`."""

    @abstractmethod
    async def grant_lease(self, ttl_ms: float) -> Lease | StoreFailure:
        """Return a new lease."""

    @abstractmethod
    async def renew_lease(self, lease: Lease) -> Lease | LeaseEnded | StoreFailure:
        """Let the lease run for its full time again."""

    @abstractmethod
    async def end_lease(self, lease: Lease) -> StoreFailure | None:
        """End the lease, which removes its keys."""

    @abstractmethod
    async def put(self, key: str, value: bytes, lease: Lease) -> LeaseEnded | StoreFailure | None:
        """Write a key that lives as long as the lease."""
