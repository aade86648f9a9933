"""Abstract interfaces to everything outside the decisions."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Sequence
from typing import NamedTuple

from .documents import ConfigurationUpdate, PullRequest
from .errors import Failure
from .models import ListedInstance, ShardInfo, SubReply, SubRequest, UpstreamIndex, Witness
from .policy.leases import GrantReply, GrantRequest, HandOver, Release
from .policy.membership import Heartbeat


class StoreEntry(NamedTuple):
    """One key of the store; `mod_revision` is 0 if the key is absent."""

    key: str
    value: bytes
    mod_revision: int


class StoreRead(NamedTuple):
    """The entries that exist among those asked for, and the store's revision."""

    entries: tuple[StoreEntry, ...]
    store_revision: int


class Compare(NamedTuple):
    """The condition that `key` was last changed at `mod_revision` (0: it does not exist)."""

    key: str
    mod_revision: int


class Put(NamedTuple):
    """A write of `value`; `lease` is 0 for a key that does not expire."""

    key: str
    value: bytes
    lease: int = 0


class TransactionOutcome(NamedTuple):
    """Whether the comparisons held and the writes were made."""

    succeeded: bool
    store_revision: int


class KeyValueStore(ABC):
    """The platform's key-value service.

    A failure of kind `store_unavailable` says that nothing was written; `outcome_unknown` says that
    a write may have been made.
    """

    @abstractmethod
    async def read(self, keys: Sequence[str], timeout_ms: float) -> StoreRead | Failure:
        """Return those of `keys` that exist, all at one store revision."""

    @abstractmethod
    async def read_prefix(self, prefix: str, timeout_ms: float) -> StoreRead | Failure:
        """Return every entry whose key starts with `prefix`."""

    @abstractmethod
    async def transact(
        self, compares: Sequence[Compare], puts: Sequence[Put], timeout_ms: float
    ) -> TransactionOutcome | Failure:
        """Make all `puts` if all `compares` hold, otherwise none."""

    @abstractmethod
    async def grant_lease(self, ttl_s: int, timeout_ms: float) -> int | Failure:
        """Return the id of a new lease of `ttl_s` seconds."""

    @abstractmethod
    def watch(self, key: str) -> AsyncIterator[StoreEntry | Failure]:
        """Yield each change of `key` from now on; a failure is the last item."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class InstanceList(ABC):
    """The platform's list of live and leaving instances, which lags."""

    @abstractmethod
    async def fetch(self, timeout_ms: float) -> tuple[ListedInstance, ...] | Failure:
        """Return the list as the platform has it now."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class UpstreamReport(NamedTuple):
    """What an upstream says of itself; `boot_id` changes when it restarts."""

    boot_id: str
    is_leaving: bool
    shards: tuple[ShardInfo, ...]


class OrderCall(NamedTuple):
    """An order on its way to one upstream; `deadline_ms` is the time left."""

    call_id: str
    service: str
    upstream: str
    idempotency_key: str
    body: bytes
    deadline_ms: int
    priority: int


class OrderReply(NamedTuple):
    """The answer of an upstream that ran an order; `body` is its JSON text."""

    body: str


class UpstreamTransport(ABC):
    """Calls to upstreams; `address` is `host:port`.

    Connections per upstream never exceed `max_connections`. A connection on which a reply timed out
    is closed and not used again.
    """

    @abstractmethod
    async def search(self, address: str, max_connections: int, call: SubRequest) -> SubReply:
        """Run one sub-request within `call.deadline_ms`; errors are in the reply."""

    @abstractmethod
    async def order(
        self, address: str, max_connections: int, call: OrderCall
    ) -> OrderReply | Failure:
        """Run an order once; a failure's kind says truly whether it may have run."""

    @abstractmethod
    async def fetch_report(
        self, address: str, max_connections: int, timeout_ms: float
    ) -> UpstreamReport | Failure:
        """Return what the upstream says of itself."""

    @abstractmethod
    async def cancel(self, address: str, max_connections: int, call_id: str) -> None:
        """Tell the upstream to drop a request; errors are ignored."""

    @abstractmethod
    async def disconnect(self, address: str) -> None:
        """Close the connections to an upstream that this instance no longer owns."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class OrderKnowledge(NamedTuple):
    """What an instance knows of the store's past, from its orders' revision guard."""

    floor: int
    regressed_from: int
    witness: Witness | None


class HeartbeatMessage(NamedTuple):
    """A heartbeat with what else instances tell each other at every one.

    `orders` is None until the sender has learned of the store's past; `head_age_ms` is the age of
    the latest read of the configuration head that the sender knows of.
    """

    heartbeat: Heartbeat
    orders: OrderKnowledge | None
    head_age_ms: float


class Peers(ABC):
    """Calls to other instances; `address` is `host:port`.

    A failure of kind `upstream_unavailable` says that no byte was sent; `outcome_unknown` says that
    the peer may have acted.
    """

    @abstractmethod
    async def describe(
        self, address: str, upstreams: Sequence[str], timeout_ms: float
    ) -> list[UpstreamIndex] | Failure:
        """Return one item per upstream; `owner` is the holder as far as the peer knows."""

    @abstractmethod
    def execute(
        self, address: str, calls: Sequence[SubRequest], timeout_ms: float
    ) -> AsyncIterator[SubReply]:
        """Send all `calls` in one frame and yield exactly one reply for each, in any order."""

    @abstractmethod
    async def cancel(self, address: str, call_ids: Sequence[str]) -> None:
        """Tell the peer that nobody waits for these calls any more; errors are ignored."""

    @abstractmethod
    async def order(self, address: str, call: OrderCall) -> OrderReply | Failure:
        """Have the owner run an order once; a failure's kind says truly whether it may have run."""

    @abstractmethod
    async def request_grant(
        self, address: str, request: GrantRequest, timeout_ms: float
    ) -> GrantReply | Failure:
        """Ask a voter for owner leases."""

    @abstractmethod
    async def notify(self, address: str, message: Release | HandOver, timeout_ms: float) -> None:
        """Tell a voter of a release, or a holder of a hand-over; errors are ignored."""

    @abstractmethod
    async def heartbeat(self, address: str, beat: HeartbeatMessage, timeout_ms: float) -> HeartbeatMessage | Failure:
        """Send a heartbeat; the reply is the peer's own."""

    @abstractmethod
    async def pull(
        self, address: str, request: PullRequest, timeout_ms: float
    ) -> ConfigurationUpdate | Failure:
        """Fetch the parts of the peer's configuration that this instance lacks."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
