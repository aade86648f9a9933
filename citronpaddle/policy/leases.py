"""Parameters and messages of owner leases, shared by voters and holders."""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple


class LeaseParameters(NamedTuple):
    """Times in ms; every instance must use the same values.

    A holder renews a lease of `lease_ms` every `renew_ms` and stops dispatching `guard_ms` before
    its end. `drain_ms` is the time after the lease in which calls may still run. It must exceed the
    longest call at an upstream (2,000 ms) by the clock error over lease and call (1% of 5,500 ms)
    and the delay between the lease check and the receipt of the call by the upstream.

    A request that no majority has granted within `round_timeout_ms` has failed. Only instances up
    to rank `max_requesting_rank` request new leases, each rank `rank_delay_ms` after the previous.
    """

    lease_ms: float = 3_000.0
    renew_ms: float = 1_000.0
    drain_ms: float = 2_500.0
    guard_ms: float = 50.0
    rank_delay_ms: float = 1_500.0
    round_timeout_ms: float = 500.0
    max_requesting_rank: int = 4

    @property
    def block_ms(self) -> float:
        """Return how long after a grant a voter refuses other holders, in ms."""
        return self.lease_ms + self.drain_ms


class VoterList(NamedTuple):
    """The voters of one failure domain; `revision` is that of the latest change of the list."""

    revision: int
    names: tuple[str, ...]

    @property
    def majority(self) -> int:
        """Return the number of voters that makes a majority."""
        return len(self.names) // 2 + 1


class HolderId(NamedTuple):
    """One incarnation of an instance; a restarted instance of the same name is another holder."""

    name: str
    incarnation: int


class GrantRequest(NamedTuple):
    """A request for leases; `sequence` increases with every message of one holder."""

    holder: HolderId
    sequence: int
    voters: VoterList
    upstreams: tuple[str, ...]


class Release(NamedTuple):
    """A message that the holder has no calls open at `upstreams` and starts no more."""

    holder: HolderId
    sequence: int
    upstreams: tuple[str, ...]


class RefusalReason(StrEnum):
    """The reason why a voter refuses a lease."""

    HELD = "held"
    START_WAIT = "start_wait"
    LIST_UNCONFIRMED = "list_unconfirmed"
    LIST_DIFFERS = "list_differs"
    SUPERSEDED = "superseded"
    OUT_OF_ORDER = "out_of_order"


class Refusal(NamedTuple):
    """A refusal for one upstream; `wait_ms` is how long it lasts at least, 0 if unknown."""

    upstream: str
    reason: RefusalReason
    holder: str
    wait_ms: float


class GrantReply(NamedTuple):
    """A voter's answer to the request with the same holder and sequence."""

    voter: str
    list_revision: int
    holder: HolderId
    sequence: int
    granted: tuple[str, ...]
    refused: tuple[Refusal, ...]


class HandOver(NamedTuple):
    """A request from a better-ranked instance that the holder drains and releases upstreams."""

    asker: str
    upstreams: tuple[str, ...]


class OutgoingMessage(NamedTuple):
    """A message to send to the instance named `to`, which may be the sender itself."""

    to: str
    message: GrantRequest | Release | HandOver


class VoterListReport(NamedTuple):
    """A voter's report on its list; see `Voter.settled_revision` for `settled_revision`."""

    voter: str
    settled_revision: int
    received_ms: float


def is_single_change(old: Iterable[str], new: Iterable[str]) -> bool:
    """Return whether exactly one name was added or removed.

    Any majority of the old list then shares a voter with any majority of the new one.
    """
    return len(set(old) ^ set(new)) == 1


def can_change_voters(
    previous: VoterList,
    current: VoterList,
    reports: Iterable[VoterListReport],
    now_ms: float,
    parameters: LeaseParameters,
) -> bool:
    """Return whether `current` may be replaced, given the reports of the voters of `previous`.

    Two lists that are two changes apart may have disjoint majorities. So no lease under `previous`
    may remain: a majority of its voters must have refused that list for `block_ms`. Reports older
    than `lease_ms` are ignored, as the voter may have restarted with the previous list since.
    """
    settled = {
        report.voter
        for report in reports
        if report.settled_revision >= current.revision
        and now_ms - report.received_ms < parameters.lease_ms
    }
    return len(settled.intersection(previous.names)) >= previous.majority
