"""Value types that the components of the query tier exchange."""

from enum import StrEnum
from typing import Any, NamedTuple

KEY_SPACE_SIZE = 2**32


class KeyRange(NamedTuple):
    """A half-open range `[low, high)` of the key space."""

    low: int
    high: int

    @property
    def size(self) -> int:
        """Return the number of keys in the range."""
        return self.high - self.low


class ShardInfo(NamedTuple):
    """One shard as an upstream reports it, with the index versions it can serve."""

    shard: str
    range: KeyRange
    versions: tuple[int, ...]


class UpstreamState(StrEnum):
    """The state of an upstream according to its owner."""

    UNKNOWN = "unknown"
    WARMING = "warming"
    READY = "ready"
    LEAVING = "leaving"
    DOWN = "down"


class UpstreamIndex(NamedTuple):
    """The state and shards of one upstream, as last reported by its owner.

    `allowance` is the number of concurrent calls that the owner permits at present.
    """

    upstream: str
    owner: str
    state: UpstreamState
    allowance: int
    shards: tuple[ShardInfo, ...]


class SubRequest(NamedTuple):
    """The part of a query that is sent to one upstream in one HTTP call.

    `call_id` identifies this attempt for cancellation. `deadline_ms` is the time left, not a point
    in time, so that clocks need not be synchronized. A hedge is refused if it would have to wait.
    """

    call_id: str
    service: str
    upstream: str
    shards: tuple[str, ...]
    version: int
    query: str
    limit: int
    deadline_ms: int
    priority: int
    is_hedge: bool = False


class SubReply(NamedTuple):
    """The outcome of one sub-request; `error` is empty or the value of an `ErrorKind`.

    `body` is the upstream's JSON reply as received.
    """

    call_id: str
    upstream: str
    error: str
    message: str
    body: bytes


class ShardRows(NamedTuple):
    """The rows of one shard, with the version and key range that the upstream stated."""

    shard: str
    range: KeyRange
    version: int
    rows: tuple[dict[str, Any], ...]


class Coverage(NamedTuple):
    """How much of the key space an answer covers: the share from 0 to 1, and the missing ranges."""

    share: float
    missing: tuple[KeyRange, ...]
    reasons: tuple[str, ...]

    @property
    def is_complete(self) -> bool:
        """Return whether no range is missing."""
        return not self.missing


class QueryAnswer(NamedTuple):
    """The merged answer to one query; `version` is 0 if no shard answered."""

    request_id: str
    service: str
    version: int
    coverage: Coverage
    rows: tuple[dict[str, Any], ...]
    truncated: bool
    took_ms: float
    config_revision: int


class MemberState(StrEnum):
    """The state that an instance reports, or that others derive for it (`SUSPECT`)."""

    STARTING = "starting"
    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"


class Member(NamedTuple):
    """One entry instance as seen by another instance."""

    name: str
    incarnation: int
    failure_domain: str
    peer_address: str
    http_address: str
    state: MemberState
    config_revision: int
    load: float


class ListedInstance(NamedTuple):
    """An entry instance in the platform's instance list."""

    name: str
    failure_domain: str
    peer_address: str
    http_address: str
    is_leaving: bool


class Address(NamedTuple):
    """An address for callers; `weight` is the share of new requests to send there."""

    address: str
    failure_domain: str
    weight: float


class Witness(NamedTuple):
    """A claim in its final state (`done`, or `started` with an unknown outcome).

    The claim does not change before it expires. A store that does not have it at `mod_revision`
    was therefore restored, even if later writes have raised the store's revision above the floor.
    """

    order_revision: int
    key: str
    mod_revision: int
    wall_ms: int
