"""Terms and messages of owner leases, shared by voters and holders."""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple


class LeaseParameters(NamedTuple):
    """Times in ms; every instance must run with the same ones.

    `drain_ms` must exceed the longest call at an upstream (2,000 ms) by the clock error over lease
    and call (1% of 5,500 ms) and the delay between the lease test and the upstream's receipt.
    """

    lease_ms: float = 3_000.0
    renew_ms: float = 1_000.0
    drain_ms: float = 2_500.0
    guard_ms: float = 50.0
    rank_delay_ms: float = 1_500.0
    round_ms: float = 500.0
    asking_ranks: int = 4

    @property
    def block_ms(self) -> float:
        """Return how long a grant keeps other holders out."""
        return self.lease_ms + self.drain_ms


class VoterList(NamedTuple):
    """The voters of one failure domain; `revision` is the one at which the list last changed."""

    revision: int
    names: tuple[str, ...]

    @property
    def majority(self) -> int:
        """Return the number of voters that makes a majority."""
        return len(self.names) // 2 + 1


class HolderId(NamedTuple):
    """One run of an instance; a replacement under the same name is another holder."""

    name: str
    incarnation: int


class GrantRequest(NamedTuple):
    """A request for leases; `sequence` rises with every message of one holder."""

    holder: HolderId
    sequence: int
    voters: VoterList
    upstreams: tuple[str, ...]


class Release(NamedTuple):
    """Says that the holder has no call left at `upstreams` and will start none."""

    holder: HolderId
    sequence: int
    upstreams: tuple[str, ...]


class RefusalReason(StrEnum):
    """Why a voter does not grant."""

    HELD = "held"
    START_WAIT = "start_wait"
    LIST_UNCONFIRMED = "list_unconfirmed"
    LIST_DIFFERS = "list_differs"
    SUPERSEDED = "superseded"
    OUT_OF_ORDER = "out_of_order"


class Refusal(NamedTuple):
    """A refusal for one upstream; `wait_ms` is how long it will last at least, 0 if unknown."""

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
    """A request of a better-ranked instance to the holder to drain and release."""

    asker: str
    upstreams: tuple[str, ...]


class OutgoingMessage(NamedTuple):
    """A message to send to the instance named `to`, which may be the sender itself."""

    to: str
    message: GrantRequest | Release | HandOver


class ListReport(NamedTuple):
    """What a voter says of its list; `settled_revision` as in `Voter.settled_revision`."""

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
    reports: Iterable[ListReport],
    now_ms: float,
    terms: LeaseParameters,
) -> bool:
    """Return whether `current` may be replaced, given what the voters of `previous` report.

    Two lists that are two changes apart may have disjoint majorities. So no lease under `previous`
    may be left: a majority of its voters must have refused it for `block_ms`. Reports must be
    younger than `lease_ms`, or a voter could restart with the previous list after its report.
    """
    settled = {
        report.voter
        for report in reports
        if report.settled_revision >= current.revision
        and now_ms - report.received_ms < terms.lease_ms
    }
    return len(settled.intersection(previous.names)) >= previous.majority
