"""Abstract interfaces between the policies and all input and output."""

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
    """Those of the requested entries that exist, and the store's revision."""

    entries: tuple[StoreEntry, ...]
    store_revision: int


class Compare(NamedTuple):
    """The condition that `key` was last changed at `mod_revision` (0: the key does not exist)."""

    key: str
    mod_revision: int


class Put(NamedTuple):
    """A write of `value`; `lease` is 0 for a key that does not expire."""

    key: str
    value: bytes
    lease: int = 0


class TransactionOutcome(NamedTuple):
    """Whether the comparisons held and the writes were made, and the store's revision."""

    succeeded: bool
    store_revision: int


class KeyValueStore(ABC):
    """The platform's key-value service.

    A failure of kind `store_unavailable` means that nothing was written; `outcome_unknown` means
    that the write may have been made.
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
        """Yield each change of `key` after the call; a failure is the last item."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class InstanceList(ABC):
    """The platform's list of live and leaving instances, which may be out of date."""

    @abstractmethod
    async def fetch(self, timeout_ms: float) -> tuple[ListedInstance, ...] | Failure:
        """Return the current list of the platform."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class UpstreamReport(NamedTuple):
    """The report of an upstream about itself; `boot_id` changes when it restarts."""

    boot_id: str
    is_leaving: bool
    shards: tuple[ShardInfo, ...]


class OrderCall(NamedTuple):
    """An order sent to one upstream; `deadline_ms` is the time left until the deadline."""

    call_id: str
    service: str
    upstream: str
    idempotency_key: str
    body: bytes
    deadline_ms: int
    priority: int


class OrderReply(NamedTuple):
    """The reply of an upstream that ran an order; `body` is its JSON text."""

    body: str


class UpstreamTransport(ABC):
    """Calls to upstreams; `address` is `host:port`.

    Connections per upstream never exceed `max_connections`. A connection on which a reply timed out
    is closed and not used again.
    """

    @abstractmethod
    async def search(self, address: str, max_connections: int, call: SubRequest) -> SubReply:
        """Run one sub-request within `call.deadline_ms`; errors are returned in the reply."""

    @abstractmethod
    async def order(
        self, address: str, max_connections: int, call: OrderCall
    ) -> OrderReply | Failure:
        """Run an order at most once; the kind of a failure states whether it may have run."""

    @abstractmethod
    async def fetch_report(
        self, address: str, max_connections: int, timeout_ms: float
    ) -> UpstreamReport | Failure:
        """Return the report of the upstream about itself."""

    @abstractmethod
    async def cancel(self, address: str, max_connections: int, call_id: str) -> None:
        """Cancel a request at the upstream; errors are ignored."""

    @abstractmethod
    async def disconnect(self, address: str) -> None:
        """Close the connections to an upstream that this instance no longer owns."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class OrderKnowledge(NamedTuple):
    """The state of an instance's revision guard: which store revisions the orders have seen."""

    floor: int
    regressed_from: int
    witness: Witness | None


class HeartbeatMessage(NamedTuple):
    """A heartbeat with the other data that instances exchange along with it.

    `orders` is None while the sender's revision guard has no knowledge of the store's revisions.
    `head_age_ms` is the age of the latest read of the configuration head that is known to the
    sender.
    """

    heartbeat: Heartbeat
    orders: OrderKnowledge | None
    head_age_ms: float


class Peers(ABC):
    """Calls to other instances; `address` is `host:port`.

    A failure of kind `upstream_unavailable` means that no byte was sent; `outcome_unknown` means
    that the peer may have handled the request.
    """

    @abstractmethod
    async def describe(
        self, address: str, upstreams: Sequence[str], timeout_ms: float
    ) -> list[UpstreamIndex] | Failure:
        """Return one item per upstream; `owner` is the lease holder known to the peer, or empty."""

    @abstractmethod
    def execute(
        self, address: str, calls: Sequence[SubRequest], timeout_ms: float
    ) -> AsyncIterator[SubReply]:
        """Send all `calls` in one frame and yield exactly one reply for each, in any order."""

    @abstractmethod
    async def cancel(self, address: str, call_ids: Sequence[str]) -> None:
        """Cancel calls at the peer whose replies are no longer needed; errors are ignored."""

    @abstractmethod
    async def order(self, address: str, call: OrderCall) -> OrderReply | Failure:
        """Run an order at most once at its owner.

        The kind of a failure states whether the order may have run.
        """

    @abstractmethod
    async def request_grant(
        self, address: str, request: GrantRequest, timeout_ms: float
    ) -> GrantReply | Failure:
        """Request owner leases from a voter."""

    @abstractmethod
    async def notify(self, address: str, message: Release | HandOver, timeout_ms: float) -> None:
        """Send a release to a voter, or a hand-over to a holder; errors are ignored."""

    @abstractmethod
    async def heartbeat(
        self, address: str, message: HeartbeatMessage, timeout_ms: float
    ) -> HeartbeatMessage | Failure:
        """Send a heartbeat message; the reply is the peer's own heartbeat message."""

    @abstractmethod
    async def pull(
        self, address: str, request: PullRequest, timeout_ms: float
    ) -> ConfigurationUpdate | Failure:
        """Fetch the parts of the peer's configuration that this instance lacks."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
