"""The lease holder: requests leases of upstreams and decides when calls may be dispatched."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..randomness import RandomSource
from .leases import (
    GrantReply,
    GrantRequest,
    HandOver,
    HolderId,
    LeaseParameters,
    OutgoingMessage,
    RefusalReason,
    Release,
    VoterList,
)
from .rendezvous import is_preferred


@dataclass(slots=True)
class _Claim:
    """State of this instance's lease claim on one upstream; times are in ms.

    `grant_ends_ms` is the end of each voter's grant. `previous_list_end_ms` is the end of the lease
    that was granted under an earlier voter list. Replies to requests up to `last_void_sequence` are
    ignored. `round_sequence` is the sequence of the open round of requests, -1 if there is none.
    """

    rank: int
    next_request_ms: float
    last_void_sequence: int
    requested_ms: float = -math.inf
    round_sequence: int = -1
    grant_ends_ms: dict[str, float] = field(default_factory=dict)
    holders_by_voter: dict[str, str] = field(default_factory=dict)
    replied_voters: set[str] = field(default_factory=set)
    previous_list_end_ms: float = -math.inf
    open_calls: int = 0
    is_draining: bool = False
    is_configured: bool = True

    @property
    def has_previous_lease(self) -> bool:
        """Return whether there was a lease under an earlier voter list."""
        return self.previous_list_end_ms > -math.inf

    def discard_grants(self, last_void_sequence: int) -> None:
        """Discard all grants and ignore replies to requests up to `last_void_sequence`."""
        self.grant_ends_ms.clear()
        self.previous_list_end_ms = -math.inf
        self.last_void_sequence = last_void_sequence
        self.end_round()

    def end_round(self) -> None:
        """Discard the replies to the open round of requests."""
        self.round_sequence = -1
        self.replied_voters.clear()
        self.holders_by_voter.clear()


class Holder:
    """One instance's leases of the upstreams in its failure domain.

    A lease lasts `lease_ms` from when the requests that a majority of the voters granted were sent.
    Until the calls under it have ended, the instance sends no release, and the voters grant the
    upstream to no other holder.

    Times are in ms of the instance's own monotonic clock. Call `tick` at least every 100 ms, and
    `drop_all` as soon as a gap in the monotonic clock is detected, before any other method.
    """

    def __init__(
        self,
        holder: HolderId,
        voters: VoterList,
        random: RandomSource,
        parameters: LeaseParameters | None = None,
    ) -> None:
        self._holder = holder
        self._voters = voters
        self._random = random
        self._parameters = parameters or LeaseParameters()
        self._claims: dict[str, _Claim] = {}
        self._live: frozenset[str] = frozenset()
        self._sequence = 0
        self._sent_ms: dict[int, float] = {}
        self._is_leaving = False

    def set_upstreams(self, upstreams: Iterable[str], now_ms: float) -> None:
        """Set the configured upstreams of this domain; leases of others are released."""
        configured = set(upstreams)
        for upstream, claim in self._claims.items():
            claim.is_configured = upstream in configured
        for upstream in sorted(configured - self._claims.keys()):
            rank = self._count_preferred(upstream, self._live) + 1
            self._claims[upstream] = _Claim(
                rank, now_ms + self._compute_rank_delay_ms(rank), self._sequence
            )

    def set_live_instances(self, names: Iterable[str], now_ms: float) -> None:
        """Set the instances of the domain that may own upstreams: live, not suspect, not leaving.

        Only the difference is ranked, as ranking all pairs of a large domain takes long.
        """
        live = frozenset(names) - {self._holder.name}
        if live == self._live:
            return
        joined, left = live - self._live, self._live - live
        self._live = live
        for upstream, claim in self._claims.items():
            old_rank = claim.rank
            claim.rank += self._count_preferred(upstream, joined) - self._count_preferred(
                upstream, left
            )
            if claim.rank < old_rank:
                claim.next_request_ms = min(
                    claim.next_request_ms, now_ms + self._compute_rank_delay_ms(claim.rank)
                )

    def apply_voter_list(self, voters: VoterList, now_ms: float) -> None:
        """Use `voters` if it is newer; a lease under the previous list remains valid to its end.

        The lease stays exclusive, as majorities of lists one change apart share a voter.
        """
        if voters.revision <= self._voters.revision:
            return
        for claim in self._claims.values():
            claim.previous_list_end_ms = self._compute_claim_end(claim)
            if claim.previous_list_end_ms > now_ms:
                claim.next_request_ms = now_ms
        self._voters = voters

    def start_leaving(self) -> None:
        """Release every upstream when its calls have ended, and request no more leases."""
        self._is_leaving = True

    def drop_all(self, now_ms: float) -> None:
        """Discard every lease after a pause of the process; calls in progress stay counted."""
        for claim in self._claims.values():
            if self._compute_claim_end(claim) > -math.inf:
                claim.next_request_ms = now_ms
            claim.discard_grants(self._sequence)

    def can_dispatch(self, upstream: str, now_ms: float) -> bool:
        """Return whether a call may start at `upstream` now."""
        claim = self._claims.get(upstream)
        if claim is None or claim.is_draining or not claim.is_configured or self._is_leaving:
            return False
        return self._is_held(claim, now_ms)

    def open_call(self, upstream: str, now_ms: float) -> bool:
        """Count a call and return True if `can_dispatch`; call it just before the write."""
        if not self.can_dispatch(upstream, now_ms):
            return False
        self._claims[upstream].open_calls += 1
        return True

    def close_call(self, upstream: str) -> None:
        """Count a call as ended; raise ValueError if none is open.

        A call has ended when its reply is complete, when it is known not to have reached the
        upstream, or when its deadline has passed. Cancelling it does not end it at the upstream.
        """
        claim = self._claims.get(upstream)
        if claim is None or claim.open_calls == 0:
            raise ValueError(f"no call to {upstream} is open")
        claim.open_calls -= 1

    def compute_lease_end(self, upstream: str) -> float:
        """Return when the lease of `upstream` ends, in ms; minus infinity if there is none."""
        claim = self._claims.get(upstream)
        return self._compute_claim_end(claim) if claim else -math.inf

    def list_held(self, now_ms: float) -> tuple[str, ...]:
        """Return the upstreams to which this instance may dispatch, sorted."""
        # This instance requests few upstreams of a large domain, and this runs 10 times a second.
        requested = [
            name
            for name, claim in self._claims.items()
            if claim.grant_ends_ms or claim.has_previous_lease
        ]
        return tuple(sorted(name for name in requested if self.can_dispatch(name, now_ms)))

    def tick(self, now_ms: float) -> tuple[OutgoingMessage, ...]:
        """Return the lease requests and releases that are due."""
        # Most claims of a large domain rank too low to act on, and this runs many times a second.
        max_rank = self._parameters.max_requesting_rank
        active = [
            (name, claim)
            for name, claim in self._claims.items()
            if claim.rank <= max_rank or claim.requested_ms > -math.inf or not claim.is_configured
        ]
        released = self._collect_releases(active, now_ms)
        requested = [name for name, claim in active if self._is_request_due(claim, now_ms)]
        messages: list[OutgoingMessage] = []
        if released:
            messages += self._send_to_voters(Release, tuple(released))
        if requested and self._voters.names:
            messages += self._request_grants(tuple(requested), now_ms)
        expired_ms = now_ms - self._parameters.lease_ms
        self._sent_ms = {
            sequence: sent for sequence, sent in self._sent_ms.items() if sent > expired_ms
        }
        return tuple(messages)

    def handle_reply(self, reply: GrantReply, now_ms: float) -> tuple[OutgoingMessage, ...]:
        """Record the grants and refusals of `reply`; return the hand-over requests that are due."""
        sent_ms = self._sent_ms.get(reply.sequence)
        if sent_ms is None or reply.holder != self._holder:
            return ()
        for upstream in reply.granted:
            claim = self._find_claim_for_reply(upstream, reply.sequence)
            if claim:
                end_ms = max(
                    claim.grant_ends_ms.get(reply.voter, 0.0), sent_ms + self._parameters.lease_ms
                )
                claim.grant_ends_ms[reply.voter] = end_ms
                if claim.round_sequence == reply.sequence:
                    claim.replied_voters.add(reply.voter)
        return self._handle_refusals(reply, now_ms)

    def handle_hand_over(self, request: HandOver, now_ms: float) -> tuple[str, ...]:
        """Drain the upstreams that a live, better-ranked instance requests, and return them."""
        if request.asker not in self._live:
            return ()
        draining = []
        for upstream in request.upstreams:
            if self.can_dispatch(upstream, now_ms) and is_preferred(
                upstream, request.asker, self._holder.name
            ):
                self._claims[upstream].is_draining = True
                draining.append(upstream)
        return tuple(draining)

    def _compute_claim_end(self, claim: _Claim) -> float:
        names = self._voters.names
        if not names:
            return claim.previous_list_end_ms
        ends = sorted((claim.grant_ends_ms.get(name, -math.inf) for name in names), reverse=True)
        return max(claim.previous_list_end_ms, ends[self._voters.majority - 1])

    def _is_held(self, claim: _Claim, now_ms: float) -> bool:
        return now_ms + self._parameters.guard_ms < self._compute_claim_end(claim)

    def _is_request_due(self, claim: _Claim, now_ms: float) -> bool:
        if claim.is_draining or self._is_leaving or not claim.is_configured:
            return False
        if claim.rank > self._parameters.max_requesting_rank and not self._is_held(claim, now_ms):
            return False
        return now_ms >= claim.next_request_ms

    def _request_grants(self, upstreams: tuple[str, ...], now_ms: float) -> list[OutgoingMessage]:
        messages = self._send_to_voters(GrantRequest, upstreams)
        self._sent_ms[self._sequence] = now_ms
        for upstream in upstreams:
            claim = self._claims[upstream]
            claim.end_round()
            claim.round_sequence = self._sequence
            claim.requested_ms = now_ms
            claim.next_request_ms = now_ms + self._parameters.renew_ms
        return messages

    def _send_to_voters(
        self, message_type: type[GrantRequest] | type[Release], upstreams: tuple[str, ...]
    ) -> list[OutgoingMessage]:
        self._sequence += 1
        if message_type is Release:
            message = Release(self._holder, self._sequence, upstreams)
        else:
            message = GrantRequest(self._holder, self._sequence, self._voters, upstreams)
        return [OutgoingMessage(name, message) for name in self._voters.names]

    def _collect_releases(self, active: list[tuple[str, _Claim]], now_ms: float) -> list[str]:
        released = []
        for upstream, claim in active:
            is_releasing = claim.is_draining or self._is_leaving or not claim.is_configured
            if not is_releasing and not self._has_failed_round(claim, now_ms):
                continue
            claim.is_draining = is_releasing
            if claim.open_calls:
                # No release while calls are open, even under an expired lease: until then the
                # voters must refuse other holders.
                continue
            if self._may_have_grant(claim, is_releasing, now_ms):
                released.append(upstream)
            self._reset_claim(upstream, claim, is_releasing, now_ms)
        return released

    def _may_have_grant(self, claim: _Claim, is_releasing: bool, now_ms: float) -> bool:
        if claim.requested_ms + self._parameters.block_ms <= now_ms:
            return False
        return (
            is_releasing
            or bool(claim.grant_ends_ms)
            or not claim.replied_voters.issuperset(self._voters.names)
        )

    def _reset_claim(
        self, upstream: str, claim: _Claim, was_releasing: bool, now_ms: float
    ) -> None:
        # The release has the next sequence, so replies to any earlier request are ignored.
        claim.discard_grants(self._sequence)
        claim.is_draining = False
        claim.requested_ms = -math.inf
        if not claim.is_configured:
            del self._claims[upstream]
            return
        if was_releasing:
            claim.next_request_ms = now_ms + max(1, claim.rank - 1) * self._parameters.rank_delay_ms
        elif claim.rank > 1:
            # A random delay separates two candidates that split the votes in round after round.
            claim.next_request_ms += self._random.uniform(0.0, self._parameters.round_timeout_ms)

    def _has_failed_round(self, claim: _Claim, now_ms: float) -> bool:
        if claim.round_sequence < 0 or self._compute_claim_end(claim) > now_ms:
            return False
        have_all_replied = claim.replied_voters.issuperset(self._voters.names)
        return have_all_replied or now_ms >= claim.requested_ms + self._parameters.round_timeout_ms

    def _handle_refusals(self, reply: GrantReply, now_ms: float) -> tuple[OutgoingMessage, ...]:
        hand_overs: dict[str, list[str]] = {}
        for refusal in reply.refused:
            claim = self._find_claim_for_reply(refusal.upstream, reply.sequence)
            if claim is None or claim.round_sequence != reply.sequence:
                continue
            if refusal.reason == RefusalReason.OUT_OF_ORDER:
                # The voter has already answered another copy of this request.
                continue
            claim.replied_voters.add(reply.voter)
            if refusal.wait_ms and not self._is_held(claim, now_ms):
                self._schedule_request(claim, now_ms + refusal.wait_ms)
            if refusal.reason == RefusalReason.HELD:
                claim.holders_by_voter[reply.voter] = refusal.holder
                holder = self._find_holder_to_ask(refusal.upstream, claim)
                if holder:
                    hand_overs.setdefault(holder, []).append(refusal.upstream)
        return tuple(
            OutgoingMessage(holder, HandOver(self._holder.name, tuple(names)))
            for holder, names in hand_overs.items()
        )

    def _schedule_request(self, claim: _Claim, grantable_ms: float) -> None:
        if claim.rank == 1:
            claim.next_request_ms = min(claim.next_request_ms, grantable_ms)
        else:
            claim.next_request_ms = max(
                claim.next_request_ms, grantable_ms + self._compute_rank_delay_ms(claim.rank)
            )

    def _find_holder_to_ask(self, upstream: str, claim: _Claim) -> str:
        # An instance may request a hand-over only if it reaches a majority of the voters.
        holders = set(claim.holders_by_voter.values())
        if (
            claim.rank > 1
            or len(holders) > 1
            or len(claim.holders_by_voter) != self._voters.majority
        ):
            return ""
        holder = holders.pop()
        return holder if is_preferred(upstream, self._holder.name, holder) else ""

    def _find_claim_for_reply(self, upstream: str, sequence: int) -> _Claim | None:
        claim = self._claims.get(upstream)
        if claim is None or sequence <= claim.last_void_sequence:
            return None
        return claim

    def _count_preferred(self, upstream: str, names: Iterable[str]) -> int:
        return sum(is_preferred(upstream, name, self._holder.name) for name in names)

    def _compute_rank_delay_ms(self, rank: int) -> float:
        return (rank - 1) * self._parameters.rank_delay_ms
