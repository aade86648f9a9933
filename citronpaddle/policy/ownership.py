"""The holder: which upstreams an instance asks for, and when it may dispatch to them."""

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
    """What the instance knows of its right to one upstream."""

    rank: int
    next_ask_ms: float
    floor_sequence: int
    asked_ms: float = -math.inf
    round_sequence: int = -1
    grants: dict[str, float] = field(default_factory=dict)
    held_by: dict[str, str] = field(default_factory=dict)
    answered: set[str] = field(default_factory=set)
    kept_end_ms: float = -math.inf
    calls: int = 0
    is_draining: bool = False
    is_wanted: bool = True

    @property
    def is_kept(self) -> bool:
        """Return whether there was a lease under an earlier list of voters."""
        return self.kept_end_ms > -math.inf

    def forget_grants(self, floor_sequence: int) -> None:
        """Drop all grants and ignore replies to requests up to `floor_sequence`."""
        self.grants.clear()
        self.kept_end_ms = -math.inf
        self.floor_sequence = floor_sequence
        self.close_round()

    def close_round(self) -> None:
        self.round_sequence = -1
        self.answered.clear()
        self.held_by.clear()


class Holder:
    """One instance's leases of the upstreams in its failure domain.

    A lease lasts `lease_ms` from when the requests of a majority of the voters were sent. Until the
    calls under it have ended, the instance sends no release and the voters grant it to no other.

    Times are the instance's own monotonic ms. `tick` is to be called every 100 ms or more often,
    `drop_all` as soon as a gap in the monotonic clock is seen and before anything else is done.
    """

    def __init__(
        self,
        holder: HolderId,
        voters: VoterList,
        random: RandomSource,
        terms: LeaseParameters | None = None,
    ) -> None:
        self._holder = holder
        self._voters = voters
        self._random = random
        self._terms = terms or LeaseParameters()
        self._claims: dict[str, _Claim] = {}
        self._live: frozenset[str] = frozenset()
        self._sequence = 0
        self._sent_ms: dict[int, float] = {}
        self._is_leaving = False

    def set_upstreams(self, upstreams: Iterable[str], now_ms: float) -> None:
        """Set which upstreams the configuration has in this domain; the rest is handed back."""
        wanted = set(upstreams)
        for upstream, claim in self._claims.items():
            claim.is_wanted = upstream in wanted
        for upstream in sorted(wanted - self._claims.keys()):
            rank = self._count_better(upstream, self._live) + 1
            self._claims[upstream] = _Claim(rank, now_ms + self._rank_delay(rank), self._sequence)

    def set_live_instances(self, names: Iterable[str], now_ms: float) -> None:
        """Set which instances of the domain may own: live, not suspect, not leaving.

        Only the difference is scored, as scoring all pairs of a large domain takes long.
        """
        live = frozenset(names) - {self._holder.name}
        if live == self._live:
            return
        joined, left = live - self._live, self._live - live
        self._live = live
        for upstream, claim in self._claims.items():
            old_rank = claim.rank
            claim.rank += self._count_better(upstream, joined) - self._count_better(upstream, left)
            if claim.rank < old_rank:
                claim.next_ask_ms = min(claim.next_ask_ms, now_ms + self._rank_delay(claim.rank))

    def apply_voter_list(self, voters: VoterList, now_ms: float) -> None:
        """Go by `voters` if it is newer; a lease by the old list lasts to its end.

        The lease remains exclusive as majorities of lists one change apart share a voter.
        """
        if voters.revision <= self._voters.revision:
            return
        for claim in self._claims.values():
            claim.kept_end_ms = self._compute_end(claim)
            if claim.kept_end_ms > now_ms:
                claim.next_ask_ms = now_ms
        self._voters = voters

    def start_leaving(self) -> None:
        """Hand back every upstream as its calls end, and ask for none again."""
        self._is_leaving = True

    def drop_all(self, now_ms: float) -> None:
        """Give up every lease after the process was paused; calls that run are still counted."""
        for claim in self._claims.values():
            if self._compute_end(claim) > -math.inf:
                claim.next_ask_ms = now_ms
            claim.forget_grants(self._sequence)

    def can_dispatch(self, upstream: str, now_ms: float) -> bool:
        """Return whether a call may start at `upstream` now."""
        claim = self._claims.get(upstream)
        if claim is None or claim.is_draining or not claim.is_wanted or self._is_leaving:
            return False
        return self._is_held(claim, now_ms)

    def open_call(self, upstream: str, now_ms: float) -> bool:
        """Count a call as started if `can_dispatch`; to be called just before the write."""
        if not self.can_dispatch(upstream, now_ms):
            return False
        self._claims[upstream].calls += 1
        return True

    def close_call(self, upstream: str) -> None:
        """Count a call as ended; raise ValueError if none is open.

        A call has ended when its reply is complete, when it is known not to have reached the
        upstream, or when its deadline has passed; cancelling it here does not end it there.
        """
        claim = self._claims.get(upstream)
        if claim is None or claim.calls == 0:
            raise ValueError(f"no call to {upstream} is open")
        claim.calls -= 1

    def compute_lease_end(self, upstream: str) -> float:
        """Return when the lease of `upstream` ends, in ms; minus infinity if there is none."""
        claim = self._claims.get(upstream)
        return self._compute_end(claim) if claim else -math.inf

    def list_held(self, now_ms: float) -> tuple[str, ...]:
        """Return the upstreams to which this instance may dispatch, sorted."""
        # Most upstreams of a large domain are not asked for here, and this runs 10 times a second.
        asked = [name for name, claim in self._claims.items() if claim.grants or claim.is_kept]
        return tuple(sorted(name for name in asked if self.can_dispatch(name, now_ms)))

    def tick(self, now_ms: float) -> tuple[OutgoingMessage, ...]:
        """Return the requests and releases that are due."""
        # Most claims of a large domain rank too low to act, and this runs many times a second.
        lowest = self._terms.asking_ranks
        active = [
            (name, claim)
            for name, claim in self._claims.items()
            if claim.rank <= lowest or claim.asked_ms > -math.inf or not claim.is_wanted
        ]
        released = self._collect_releases(active, now_ms)
        asked = [name for name, claim in active if self._is_due(claim, now_ms)]
        messages: list[OutgoingMessage] = []
        if released:
            messages += self._send_to_voters(Release, tuple(released))
        if asked and self._voters.names:
            messages += self._ask(tuple(asked), now_ms)
        expired_ms = now_ms - self._terms.lease_ms
        self._sent_ms = {seq: sent for seq, sent in self._sent_ms.items() if sent > expired_ms}
        return tuple(messages)

    def handle_reply(self, reply: GrantReply, now_ms: float) -> tuple[OutgoingMessage, ...]:
        """Count the grants of `reply`; return requests to hand over, if any are due."""
        sent_ms = self._sent_ms.get(reply.sequence)
        if sent_ms is None or reply.holder != self._holder:
            return ()
        for upstream in reply.granted:
            claim = self._find_open(upstream, reply.sequence)
            if claim:
                end_ms = max(claim.grants.get(reply.voter, 0.0), sent_ms + self._terms.lease_ms)
                claim.grants[reply.voter] = end_ms
                if claim.round_sequence == reply.sequence:
                    claim.answered.add(reply.voter)
        return self._note_refusals(reply, now_ms)

    def handle_hand_over(self, request: HandOver, now_ms: float) -> tuple[str, ...]:
        """Start to drain what a live, better-ranked instance asks for; return those upstreams."""
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

    def _compute_end(self, claim: _Claim) -> float:
        names = self._voters.names
        if not names:
            return claim.kept_end_ms
        ends = sorted((claim.grants.get(name, -math.inf) for name in names), reverse=True)
        return max(claim.kept_end_ms, ends[self._voters.majority - 1])

    def _is_held(self, claim: _Claim, now_ms: float) -> bool:
        return now_ms + self._terms.guard_ms < self._compute_end(claim)

    def _is_due(self, claim: _Claim, now_ms: float) -> bool:
        if claim.is_draining or self._is_leaving or not claim.is_wanted:
            return False
        if claim.rank > self._terms.asking_ranks and not self._is_held(claim, now_ms):
            return False
        return now_ms >= claim.next_ask_ms

    def _ask(self, upstreams: tuple[str, ...], now_ms: float) -> list[OutgoingMessage]:
        messages = self._send_to_voters(GrantRequest, upstreams)
        self._sent_ms[self._sequence] = now_ms
        for upstream in upstreams:
            claim = self._claims[upstream]
            claim.close_round()
            claim.round_sequence = self._sequence
            claim.asked_ms = now_ms
            claim.next_ask_ms = now_ms + self._terms.renew_ms
        return messages

    def _send_to_voters(
        self, kind: type[GrantRequest] | type[Release], upstreams: tuple[str, ...]
    ) -> list[OutgoingMessage]:
        self._sequence += 1
        if kind is Release:
            message = Release(self._holder, self._sequence, upstreams)
        else:
            message = GrantRequest(self._holder, self._sequence, self._voters, upstreams)
        return [OutgoingMessage(name, message) for name in self._voters.names]

    def _collect_releases(self, active: list[tuple[str, _Claim]], now_ms: float) -> list[str]:
        released = []
        for upstream, claim in active:
            gives_up = claim.is_draining or self._is_leaving or not claim.is_wanted
            if not gives_up and not self._has_failed_round(claim, now_ms):
                continue
            claim.is_draining = gives_up
            if claim.calls:
                # Calls that still run, also those of a lapsed lease, keep the voters' restriction.
                continue
            if self._may_be_granted(claim, gives_up, now_ms):
                released.append(upstream)
            self._settle(upstream, claim, gives_up, now_ms)
        return released

    def _may_be_granted(self, claim: _Claim, gives_up: bool, now_ms: float) -> bool:
        if claim.asked_ms + self._terms.block_ms <= now_ms:
            return False
        return gives_up or bool(claim.grants) or not claim.answered.issuperset(self._voters.names)

    def _settle(self, upstream: str, claim: _Claim, gave_up: bool, now_ms: float) -> None:
        # The release takes the next sequence, so replies to any earlier request are void.
        claim.forget_grants(self._sequence)
        claim.is_draining = False
        claim.asked_ms = -math.inf
        if not claim.is_wanted:
            del self._claims[upstream]
            return
        if gave_up:
            claim.next_ask_ms = now_ms + max(1, claim.rank - 1) * self._terms.rank_delay_ms
        elif claim.rank > 1:
            # Two candidates that each get part of the voters must not keep colliding.
            claim.next_ask_ms += self._random.uniform(0.0, self._terms.round_ms)

    def _has_failed_round(self, claim: _Claim, now_ms: float) -> bool:
        if claim.round_sequence < 0 or self._compute_end(claim) > now_ms:
            return False
        is_answered = claim.answered.issuperset(self._voters.names)
        return is_answered or now_ms >= claim.asked_ms + self._terms.round_ms

    def _note_refusals(self, reply: GrantReply, now_ms: float) -> tuple[OutgoingMessage, ...]:
        asks: dict[str, list[str]] = {}
        for refusal in reply.refused:
            claim = self._find_open(refusal.upstream, reply.sequence)
            if claim is None or claim.round_sequence != reply.sequence:
                continue
            if refusal.reason == RefusalReason.OUT_OF_ORDER:
                # A repeated copy of a request that the voter has already answered.
                continue
            claim.answered.add(reply.voter)
            if refusal.wait_ms and not self._is_held(claim, now_ms):
                self._schedule_ask(claim, now_ms + refusal.wait_ms)
            if refusal.reason == RefusalReason.HELD:
                claim.held_by[reply.voter] = refusal.holder
                holder = self._find_holder_to_ask(refusal.upstream, claim)
                if holder:
                    asks.setdefault(holder, []).append(refusal.upstream)
        return tuple(
            OutgoingMessage(holder, HandOver(self._holder.name, tuple(names)))
            for holder, names in asks.items()
        )

    def _schedule_ask(self, claim: _Claim, free_ms: float) -> None:
        if claim.rank == 1:
            claim.next_ask_ms = min(claim.next_ask_ms, free_ms)
        else:
            claim.next_ask_ms = max(claim.next_ask_ms, free_ms + self._rank_delay(claim.rank))

    def _find_holder_to_ask(self, upstream: str, claim: _Claim) -> str:
        # Only an instance that reaches a majority takes an upstream away from its holder.
        holders = set(claim.held_by.values())
        if claim.rank > 1 or len(holders) > 1 or len(claim.held_by) != self._voters.majority:
            return ""
        holder = holders.pop()
        return holder if is_preferred(upstream, self._holder.name, holder) else ""

    def _find_open(self, upstream: str, sequence: int) -> _Claim | None:
        claim = self._claims.get(upstream)
        if claim is None or sequence <= claim.floor_sequence:
            return None
        return claim

    def _count_better(self, upstream: str, names: Iterable[str]) -> int:
        return sum(is_preferred(upstream, name, self._holder.name) for name in names)

    def _rank_delay(self, rank: int) -> float:
        return (rank - 1) * self._terms.rank_delay_ms
