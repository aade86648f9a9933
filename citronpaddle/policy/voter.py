"""The voter: grants leases and refuses those that could give an upstream two owners.

Its grants are kept in memory only.
"""

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


class _LastMessage(NamedTuple):
    incarnation: int
    sequence: int


class Voter:
    """Grants and refuses leases of upstreams in the failure domain of one instance.

    Times are in ms of the voter's own monotonic clock. A grant starts when the voter handles the
    request, which is never before the holder sent it.
    """

    def __init__(
        self, name: str, voters: VoterList, now_ms: float, parameters: LeaseParameters | None = None
    ) -> None:
        self._name = name
        self._voters = voters
        self._parameters = parameters or LeaseParameters()
        self._ready_ms = now_ms + self._parameters.block_ms
        self._list_applied_ms = now_ms
        self._settled_revision = -1
        self._is_confirmed = False
        self._peer_revisions: dict[str, int] = {}
        self._grants: dict[str, _Grant] = {}
        self._last_messages: dict[str, _LastMessage] = {}

    @property
    def voters(self) -> VoterList:
        """Return the voter list in use."""
        return self._voters

    @property
    def is_list_confirmed(self) -> bool:
        """Return whether the list is known to be no older than the one before a restart."""
        return self._is_confirmed

    def apply_voter_list(self, voters: VoterList, now_ms: float) -> None:
        """Use `voters` if it is newer; earlier grants stay in force."""
        if voters.revision <= self._voters.revision:
            return
        self._voters = voters
        self._list_applied_ms = now_ms

    def confirm_list_from_store(self, list_revision: int) -> None:
        """Confirm the list against the list revision in the store, read since this voter started.

        A restarted voter may get its configuration from a peer with an older list than the voter
        had reported before. Grants under such a list could make a majority that shares no voter
        with a majority of the current list.
        """
        self._is_confirmed = self._is_confirmed or self._voters.revision >= list_revision

    def confirm_list_from_peer(self, peer: str, list_revision: int) -> None:
        """Confirm the list against the list revision in the reply of a confirmed voter `peer`.

        It must be the reply to a message sent since this voter started, as a delayed report could
        be older than the restart. The list is confirmed when so many others have reported that
        every majority with this voter includes one of them, and none of them has a newer list.
        """
        self._peer_revisions[peer] = list_revision
        others = set(self._voters.names) - {self._name}
        reported_revisions = [
            self._peer_revisions[peer] for peer in others if peer in self._peer_revisions
        ]
        required_count = len(self._voters.names) - self._voters.majority + 1
        if (
            len(reported_revisions) >= required_count
            and max(reported_revisions) <= self._voters.revision
        ):
            self._is_confirmed = True

    def settled_revision(self, now_ms: float) -> int:
        """Return the newest list revision in use for long enough that older grants have expired.

        The revision is -1 until the first list has been confirmed and in force for `block_ms`.
        """
        if self._is_confirmed and now_ms >= self._list_applied_ms + self._parameters.block_ms:
            self._settled_revision = self._voters.revision
        return self._settled_revision

    def handle_request(self, request: GrantRequest, now_ms: float) -> GrantReply:
        """Return grants and refusals for the upstreams of `request`."""
        request_refusal = self._find_request_refusal(request, now_ms)
        granted: list[str] = []
        refused: list[Refusal] = []
        for upstream in request.upstreams:
            refusal = request_refusal or self._find_upstream_refusal(
                upstream, request.holder, now_ms
            )
            if refusal:
                refused.append(refusal._replace(upstream=upstream))
                continue
            blocked_until_ms = now_ms + self._parameters.block_ms
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
        """Remove the grants that the holder requested before it sent `release`.

        A delayed or duplicate release does not remove a grant that the holder requested later.
        """
        self._record_sequence(release.holder, release.sequence)
        for upstream in release.upstreams:
            grant = self._grants.get(upstream)
            if grant and grant.holder == release.holder and grant.sequence < release.sequence:
                del self._grants[upstream]

    def remove_expired_grants(self, now_ms: float) -> None:
        """Remove the grants that no longer block other holders."""
        expired = [name for name, grant in self._grants.items() if grant.blocked_until_ms <= now_ms]
        for upstream in expired:
            del self._grants[upstream]

    def _find_request_refusal(self, request: GrantRequest, now_ms: float) -> Refusal | None:
        if self._is_list_stale(request.voters):
            return Refusal("", RefusalReason.LIST_DIFFERS, "", 0.0)
        if not self._is_confirmed:
            return Refusal("", RefusalReason.LIST_UNCONFIRMED, "", 0.0)
        last_message = self._last_messages.get(request.holder.name)
        if last_message and request.holder.incarnation < last_message.incarnation:
            return Refusal("", RefusalReason.SUPERSEDED, "", 0.0)
        if not self._record_sequence(request.holder, request.sequence):
            return Refusal("", RefusalReason.OUT_OF_ORDER, "", 0.0)
        if now_ms < self._ready_ms:
            return Refusal("", RefusalReason.START_WAIT, "", self._ready_ms - now_ms)
        return None

    def _is_list_stale(self, voters: VoterList) -> bool:
        # A holder with a newer list needs a majority of that list, and its grant blocks others here
        # all the same. A holder with an older list could have a majority that is no longer valid.
        if voters.revision == self._voters.revision and voters.names != self._voters.names:
            return True
        return voters.revision < self._voters.revision or self._name not in voters.names

    def _find_upstream_refusal(
        self, upstream: str, holder: HolderId, now_ms: float
    ) -> Refusal | None:
        grant = self._grants.get(upstream)
        if grant is None or grant.holder == holder or grant.blocked_until_ms <= now_ms:
            return None
        wait_ms = grant.blocked_until_ms - now_ms
        return Refusal(upstream, RefusalReason.HELD, grant.holder.name, wait_ms)

    def _record_sequence(self, holder: HolderId, sequence: int) -> bool:
        message = _LastMessage(holder.incarnation, sequence)
        last_message = self._last_messages.get(holder.name)
        if last_message and message <= last_message:
            return False
        self._last_messages[holder.name] = message
        return True
