"""The voter: grants owner leases from memory and refuses what could make two owners."""

from typing import NamedTuple

from .leases import (
    GrantReply,
    GrantRequest,
    HolderId,
    LeaseParameters,
    Refusal,
    RefusalReason,
    Release,
    VoterList,
)


class _Grant(NamedTuple):
    holder: HolderId
    sequence: int
    blocked_until_ms: float


class _Seen(NamedTuple):
    incarnation: int
    sequence: int


class Voter:
    """One instance's part in granting leases of its failure domain.

    Times are the voter's own monotonic ms. A voter counts a grant from when it handles the request,
    which is never before the holder sent it.
    """

    def __init__(
        self, name: str, voters: VoterList, now_ms: float, terms: LeaseParameters | None = None
    ) -> None:
        self._name = name
        self._voters = voters
        self._terms = terms or LeaseParameters()
        self._ready_ms = now_ms + self._terms.block_ms
        self._adopted_ms = now_ms
        self._settled_revision = -1
        self._is_confirmed = False
        self._peer_revisions: dict[str, int] = {}
        self._grants: dict[str, _Grant] = {}
        self._seen: dict[str, _Seen] = {}

    @property
    def voters(self) -> VoterList:
        """Return the list that this voter goes by."""
        return self._voters

    @property
    def is_list_confirmed(self) -> bool:
        """Return whether the list is known not to be older than before a restart."""
        return self._is_confirmed

    def apply_voter_list(self, voters: VoterList, now_ms: float) -> None:
        """Go by `voters` if it is newer; grants made so far stay in force."""
        if voters.revision <= self._voters.revision:
            return
        self._voters = voters
        self._adopted_ms = now_ms

    def confirm_list_from_store(self, list_revision: int) -> None:
        """Take note of the list revision in a read of the store made since this voter started.

        A restarted voter may get its configuration from a peer that lags behind what the voter
        itself had reported. Granting under such a list could make a majority that overlaps none of
        the present list.
        """
        self._is_confirmed = self._is_confirmed or self._voters.revision >= list_revision

    def confirm_list_from_peer(self, peer: str, list_revision: int) -> None:
        """Take note of the list revision in the reply of a confirmed voter `peer`.

        It must be the reply to a message sent since this voter started, as a delayed report could
        be older than the restart. Enough others must have reported that every majority with this
        voter has one of them.
        """
        self._peer_revisions[peer] = list_revision
        others = set(self._voters.names) - {self._name}
        heard = [self._peer_revisions[peer] for peer in others if peer in self._peer_revisions]
        needed = len(self._voters.names) - self._voters.majority + 1
        if len(heard) >= needed and max(heard) <= self._voters.revision:
            self._is_confirmed = True

    def settled_revision(self, now_ms: float) -> int:
        """Return the newest list revision under which older grants can no longer be in use.

        It is -1 until the first list has been confirmed and in force for `block_ms`.
        """
        if self._is_confirmed and now_ms >= self._adopted_ms + self._terms.block_ms:
            self._settled_revision = self._voters.revision
        return self._settled_revision

    def handle_request(self, request: GrantRequest, now_ms: float) -> GrantReply:
        """Return grants and refusals for the upstreams of `request`."""
        general = self._refuse_request(request, now_ms)
        granted: list[str] = []
        refused: list[Refusal] = []
        for upstream in request.upstreams:
            refusal = general or self._refuse_upstream(upstream, request.holder, now_ms)
            if refusal:
                refused.append(refusal._replace(upstream=upstream))
                continue
            blocked_until_ms = now_ms + self._terms.block_ms
            self._grants[upstream] = _Grant(request.holder, request.sequence, blocked_until_ms)
            granted.append(upstream)
        return GrantReply(
            self._name,
            self._voters.revision,
            request.holder,
            request.sequence,
            tuple(granted),
            tuple(refused),
        )

    def handle_release(self, release: Release) -> None:
        """Lift the restriction of the holder's grants made before `release` was sent.

        A delayed or repeated release does not touch a grant that the holder asked for later.
        """
        self._note_sequence(release.holder, release.sequence)
        for upstream in release.upstreams:
            grant = self._grants.get(upstream)
            if grant and grant.holder == release.holder and grant.sequence < release.sequence:
                del self._grants[upstream]

    def remove_expired_grants(self, now_ms: float) -> None:
        """Drop grants that no longer restrict anyone."""
        expired = [name for name, grant in self._grants.items() if grant.blocked_until_ms <= now_ms]
        for upstream in expired:
            del self._grants[upstream]

    def _refuse_request(self, request: GrantRequest, now_ms: float) -> Refusal | None:
        if self._is_list_stale(request.voters):
            return Refusal("", RefusalReason.LIST_DIFFERS, "", 0.0)
        if not self._is_confirmed:
            return Refusal("", RefusalReason.LIST_UNCONFIRMED, "", 0.0)
        seen = self._seen.get(request.holder.name)
        if seen and request.holder.incarnation < seen.incarnation:
            return Refusal("", RefusalReason.SUPERSEDED, "", 0.0)
        if not self._note_sequence(request.holder, request.sequence):
            return Refusal("", RefusalReason.OUT_OF_ORDER, "", 0.0)
        if now_ms < self._ready_ms:
            return Refusal("", RefusalReason.START_WAIT, "", self._ready_ms - now_ms)
        return None

    def _is_list_stale(self, voters: VoterList) -> bool:
        # A holder with a newer list counts by that list; its grant here restricts others all the
        # same. One with an older list could hold by a majority that no longer counts.
        if voters.revision == self._voters.revision and voters.names != self._voters.names:
            return True
        return voters.revision < self._voters.revision or self._name not in voters.names

    def _refuse_upstream(self, upstream: str, holder: HolderId, now_ms: float) -> Refusal | None:
        grant = self._grants.get(upstream)
        if grant is None or grant.holder == holder or grant.blocked_until_ms <= now_ms:
            return None
        wait_ms = grant.blocked_until_ms - now_ms
        return Refusal(upstream, RefusalReason.HELD, grant.holder.name, wait_ms)

    def _note_sequence(self, holder: HolderId, sequence: int) -> bool:
        message = _Seen(holder.incarnation, sequence)
        seen = self._seen.get(holder.name)
        if seen and message <= seen:
            return False
        self._seen[holder.name] = message
        return True
