"""Fans one query out to many upstreams: sends, retries and hedges, collects and finishes."""

import itertools
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from ..coverage import measure_coverage
from ..errors import ANSWERS, ErrorKind, Failure
from ..models import Coverage, ShardRows, SubReply, SubRequest, UpstreamState
from ..results import UpstreamAnswer, parse_answer
from .hedging import Hedging, Target
from .routing import ReplicaChoice, ReplicaInfo, route_shards
from .snapshot import ShardSource, Snapshot

# Failures of calls that may have put load on the upstream. Only their retries need a permit from
# the retry budget: a retry after any other failure adds no load.
_LOAD_CAUSING_KINDS = frozenset(
    {
        ErrorKind.OVERLOADED,
        ErrorKind.OUTCOME_UNKNOWN,
        ErrorKind.UPSTREAM_ERROR,
        ErrorKind.DEADLINE_PAST,
        ErrorKind.INTERNAL,
    }
)
# Time reserved before the caller's deadline for a reply to arrive and be merged.
REPLY_MARGIN_MS = 5.0
MAX_SUB_DEADLINE_MS = 2000.0
FIRST_BACKOFF_MS = 10.0
MAX_BACKOFF_MS = 200.0
MAX_BACKOFF_DOUBLINGS = 8
MAX_FAILURES = 12
HEDGE_RECHECK_MS = 5.0
# A late part is hedged when at most `MAX_OPEN_SHARE` of the query's calls is open, or when it
# takes `VERY_LATE_FACTOR` times the latency quantile: the other open calls may be lost, not slow.
MAX_OPEN_SHARE = 0.05
VERY_LATE_FACTOR = 3.0
# Outcomes of a sub-request in addition to the error kinds.
ANSWERED = "answered"
GIVEN_UP = "given_up"


def _is_recoverable(kind: ErrorKind) -> bool:
    """Return whether the same upstream may answer the same query after a backoff."""
    if kind == ErrorKind.VERSION_GONE:
        return False
    return ANSWERS[kind].retryable or kind == ErrorKind.OUTCOME_UNKNOWN


class QueryLimits(NamedTuple):
    """Limits of one query; the times are points on the monotonic clock in ms.

    An answer that covers at least `min_coverage` is returned once `soft_end_ms` has passed.
    `row_limit` is the maximum number of rows.
    """

    end_ms: float
    soft_end_ms: float
    min_coverage: float
    row_limit: int
    priority: int
    may_hedge: bool = True


class CallCounts:
    """Counts of one query's sub-requests: all by outcome, hedges by outcome, retries by reason.

    `withheld` counts late sub-requests that got no hedge, by reason. Each sent sub-request is
    counted in `outcomes` when it is answered or given up.
    """

    def __init__(self) -> None:
        self.outcomes: Counter[str] = Counter()
        self.hedges: Counter[str] = Counter()
        self.retries: Counter[str] = Counter()
        self.withheld: Counter[str] = Counter()

    def record_end(self, is_hedge: bool, outcome: str) -> None:
        """Count a sub-request that ended with `outcome`."""
        self.outcomes[outcome] += 1
        if is_hedge:
            self.hedges[outcome] += 1


class Attempt(NamedTuple):
    """One sub-request to send, and the instance that owns its upstream."""

    call: SubRequest
    owner: str


class FanoutDependencies(NamedTuple):
    """Replica choice and hedging state, shared by all queries of an instance."""

    choice: ReplicaChoice
    hedging: Hedging


@dataclass(slots=True)
class _Part:
    """Shards that are requested in one call, and the state of the attempts for them."""

    sources: tuple[ShardSource, ...]
    tried: frozenset[str]
    sent_ms: float
    failures: int = 0
    last_kind: ErrorKind = ErrorKind.INTERNAL
    outstanding: set[str] = field(default_factory=set)
    hedge_at_ms: float | None = None
    is_hedge_withheld: bool = False
    retry_at_ms: float | None = None


class _SentCall(NamedTuple):
    part: _Part
    attempt: Attempt
    sent_ms: float


def _compute_backoff(part: _Part) -> float:
    return min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** min(part.failures, MAX_BACKOFF_DOUBLINGS))


class Fanout:
    """State machine of one query at one snapshot; events return the attempts to send.

    A shard is counted at most once, and only if its reply states the pinned version and the
    requested key range.
    """

    def __init__(
        self,
        request_id: str,
        service: str,
        query: str,
        limits: QueryLimits,
        snapshot: Snapshot,
        replicas: Mapping[str, ReplicaInfo],
        dependencies: FanoutDependencies,
    ) -> None:
        self.snapshot = snapshot
        self.version_gone_shards: set[str] = set()
        self.extra_calls = 0
        self.sent_calls = 0
        self._initial_calls = 0
        self.counts = CallCounts()
        self._request_id = request_id
        self._service = service
        self._query = query
        self._limits = limits
        self._replicas = replicas
        self._dependencies = dependencies
        self._call_numbers = itertools.count(1)
        self._parts: list[_Part] = []
        self._sent: dict[str, _SentCall] = {}
        self._accepted: dict[str, ShardRows] = {}
        self._expected = {source.shard: source for source in snapshot.sources}
        self._missing_reasons: dict[str, str] = {}
        self._superseded: list[Attempt] = []

    @property
    def shards(self) -> Iterable[ShardRows]:
        """Return the shards that are part of the answer."""
        return self._accepted.values()

    def start(self, now_ms: float) -> list[Attempt]:
        """Return the first attempts, one per upstream."""
        attempts = self._send_sources(self.snapshot.sources, frozenset(), 0, now_ms)
        self._initial_calls = len(attempts)
        self._dependencies.hedging.record_sent(len(attempts))
        return attempts

    def handle_reply(self, reply: SubReply, now_ms: float) -> list[Attempt]:
        """Record a reply and return the retries; a reply to no outstanding call is ignored."""
        sent = self._sent.pop(reply.call_id, None)
        if sent is None:
            return []
        sent.part.outstanding.discard(reply.call_id)
        outcome = self._read_reply(reply)
        latency_ms = now_ms - sent.sent_ms
        is_good = isinstance(outcome, UpstreamAnswer)
        self.counts.record_end(
            sent.attempt.call.is_hedge, ANSWERED if is_good else outcome.kind.value
        )
        if sent.attempt.call.is_hedge and not is_good:
            self._dependencies.choice.record_discarded(reply.upstream)
        else:
            self._dependencies.choice.record_end(reply.upstream, latency_ms, is_good, now_ms)
        if isinstance(outcome, Failure):
            if outcome.kind is ErrorKind.HEDGE_REFUSED:
                self._refund_hedge(sent, now_ms)
                if sent.part.outstanding:
                    return []
            elif sent.attempt.call.is_hedge:
                self._schedule_another_hedge(sent.part, reply.upstream, now_ms)
            return self._handle_failure(sent.part, outcome.kind, now_ms)
        self._dependencies.hedging.record_latency(now_ms, self._service, latency_ms)
        self._accept_shards(outcome)
        return self._retry_missing(sent.part, outcome, now_ms)

    def handle_timer(self, now_ms: float) -> list[Attempt]:
        """Return the retries and hedges that are due at `now_ms`."""
        attempts: list[Attempt] = []
        for part in list(self._parts):
            if part.retry_at_ms is not None and now_ms >= part.retry_at_ms:
                part.retry_at_ms = None
                attempts += self._resend(part, frozenset(), now_ms)
            elif part.hedge_at_ms is not None and now_ms >= part.hedge_at_ms:
                part.hedge_at_ms = None
                attempts += self._hedge(part, now_ms)
        return attempts

    def next_timer_ms(self, now_ms: float) -> float:
        """Return the time in ms at which to call `handle_timer` and `is_finished` next."""
        times = [self._limits.end_ms - REPLY_MARGIN_MS]
        if now_ms < self._limits.soft_end_ms:
            times.append(self._limits.soft_end_ms)
        for part in self._parts:
            times += [time for time in (part.retry_at_ms, part.hedge_at_ms) if time is not None]
        return min(times)

    def is_finished(self, now_ms: float) -> bool:
        """Return whether the query ends now, with a complete or a partial answer."""
        if now_ms >= self._limits.end_ms - REPLY_MARGIN_MS:
            return True
        if len(self._accepted) == len(self._expected):
            return True
        if not self._sent and all(part.retry_at_ms is None for part in self._parts):
            return True
        has_enough = self.measure().share >= self._limits.min_coverage
        return has_enough and now_ms >= self._limits.soft_end_ms

    def measure(self) -> Coverage:
        """Return the coverage reached so far."""
        ranges = [shard.range for shard in self._accepted.values()]
        missing = [name for name in self._expected if name not in self._accepted]
        reasons = {self._missing_reasons.get(name, "no_reply_in_time") for name in missing}
        if self.snapshot.share < 1.0:
            reasons.add("no_upstream")
        return measure_coverage(ranges, reasons)

    def pop_outstanding(self, now_ms: float) -> list[Attempt]:
        """Remove and return all outstanding attempts, to cancel them; late replies are ignored."""
        return self.pop_superseded() + self._give_up(list(self._sent), now_ms)

    def pop_superseded(self) -> list[Attempt]:
        """Remove and return attempts whose shards another attempt answered, to cancel them.

        Without the cancellation they would hold upstream slots until the end of the query.
        """
        superseded, self._superseded = self._superseded, []
        return superseded

    def _give_up(self, call_ids: Iterable[str], now_ms: float) -> list[Attempt]:
        attempts: list[Attempt] = []
        for call_id in call_ids:
            sent = self._sent.pop(call_id)
            sent.part.outstanding.discard(call_id)
            attempts.append(sent.attempt)
            self.counts.record_end(sent.attempt.call.is_hedge, GIVEN_UP)
            self._dependencies.choice.record_discarded(sent.attempt.call.upstream)
            if not sent.attempt.call.is_hedge:
                # Leaving out the slowest calls would bias the latency quantile towards low values.
                self._dependencies.hedging.record_latency(
                    now_ms, self._service, now_ms - sent.sent_ms
                )
        return attempts

    def _read_reply(self, reply: SubReply) -> UpstreamAnswer | Failure:
        if reply.error:
            return Failure(ErrorKind(reply.error), reply.message)
        return parse_answer(reply.body)

    def _accept_shards(self, answer: UpstreamAnswer) -> None:
        for shard in answer.shards:
            expected = self._expected.get(shard.shard)
            if expected is None or shard.shard in self._accepted:
                continue
            if shard.version == self.snapshot.version and shard.range == expected.range:
                self._accepted[shard.shard] = shard
            else:
                self._missing_reasons[shard.shard] = "version_gone"

    def _retry_missing(self, part: _Part, answer: UpstreamAnswer, now_ms: float) -> list[Attempt]:
        for shard, reason in answer.missing:
            self._missing_reasons[shard] = reason
        open_sources = self._list_open(part)
        self.version_gone_shards.update(source.shard for source in open_sources)
        if not open_sources:
            self._close_part(part)
            self._superseded += self._give_up(list(part.outstanding), now_ms)
            return []
        return self._handle_failure(part, ErrorKind.VERSION_GONE, now_ms)

    def _handle_failure(self, part: _Part, kind: ErrorKind, now_ms: float) -> list[Attempt]:
        part.failures += 1
        part.last_kind = kind
        for source in self._list_open(part):
            self._missing_reasons[source.shard] = kind.value
        if part.outstanding:
            return []
        attempts = self._resend(part, part.tried, now_ms)
        if not attempts and _is_recoverable(kind):
            self._schedule_retry(part, now_ms)
        return attempts

    def _schedule_retry(self, part: _Part, now_ms: float) -> None:
        backoff_ms = _compute_backoff(part)
        if now_ms + backoff_ms < self._limits.end_ms - REPLY_MARGIN_MS:
            part.retry_at_ms = now_ms + backoff_ms
            if part not in self._parts:
                self._parts.append(part)

    def _resend(self, part: _Part, excluded: frozenset[str], now_ms: float) -> list[Attempt]:
        open_sources = self._list_open(part)
        self._close_part(part)
        if not open_sources or part.failures > MAX_FAILURES:
            return []
        attempts = self._send_sources(
            tuple(open_sources), excluded, part.failures, now_ms, part.last_kind
        )
        self.extra_calls += len(attempts)
        self.counts.retries[part.last_kind.value] += len(attempts)
        return attempts

    def _hedge(self, part: _Part, now_ms: float) -> list[Attempt]:
        open_sources = self._list_open(part)
        candidates = [
            replica
            for name, replica in self._replicas.items()
            if name not in part.tried
            and replica.owner
            and replica.state is UpstreamState.READY
            and all(name in source.upstreams for source in open_sources)
        ]
        if not open_sources:
            return []
        if not self._is_among_last_open(part, now_ms):
            return self._postpone_hedge(part, now_ms)
        if not candidates:
            return self._withhold_hedge(part, "no_replica", now_ms)
        replica = self._dependencies.choice.pick(candidates, now_ms)
        target = Target(replica.upstream, replica.state, is_saturated=False)
        chosen = self._dependencies.hedging.choose_hedge(
            now_ms, self._service, part.sent_ms, self._limits.end_ms, [target]
        )
        if chosen is None:
            return self._withhold_hedge(part, "no_budget", now_ms)
        part.tried |= {chosen}
        # The hedge can be a straggler too: with 88 calls and 1% stragglers, in 0.9% of queries.
        part.hedge_at_ms = self._dependencies.hedging.find_hedge_time(now_ms, self._service, now_ms)
        part.is_hedge_withheld = True
        self.extra_calls += 1
        return [self._send(part, chosen, open_sources, now_ms, is_hedge=True)]

    def _refund_hedge(self, sent: _SentCall, now_ms: float) -> None:
        """Refund a hedge that the owner refused, which caused no load, and schedule a new try."""
        self._dependencies.hedging.refund_hedge()
        self.extra_calls -= 1
        sent.part.tried -= {sent.attempt.call.upstream}
        sent.part.hedge_at_ms = now_ms + HEDGE_RECHECK_MS

    def _withhold_hedge(self, part: _Part, reason: str, now_ms: float) -> list[Attempt]:
        """Schedule a new try, and count the missing hedge once per sub-request.

        A straggler lasts longer than a short lack of hedge budget, so a later hedge still helps.
        """
        due_ms = self._dependencies.hedging.find_hedge_time(now_ms, self._service, part.sent_ms)
        if due_ms is not None and due_ms > now_ms:
            part.hedge_at_ms = due_ms
            return []
        if not part.is_hedge_withheld:
            part.is_hedge_withheld = True
            self.counts.withheld[reason] += 1
        return self._postpone_hedge(part, now_ms)

    def _postpone_hedge(self, part: _Part, now_ms: float) -> list[Attempt]:
        # Times on a common grid let one timer serve all late parts.
        part.hedge_at_ms = (now_ms // HEDGE_RECHECK_MS + 1) * HEDGE_RECHECK_MS
        return []

    def _schedule_another_hedge(self, part: _Part, upstream: str, now_ms: float) -> None:
        """Schedule another hedge after one failed while the late sub-request is outstanding."""
        if part.outstanding and part.failures < MAX_FAILURES:
            part.tried -= {upstream}
            part.hedge_at_ms = now_ms + _compute_backoff(part)

    def _is_among_last_open(self, part: _Part, now_ms: float) -> bool:
        """Return whether a late part is one of the last open ones, or is very late.

        While many parts are open, this process or the network causes the delay. Hedges would then
        spend the budget on calls that a second copy does not speed up.
        """
        if len(self._parts) <= max(1, int(MAX_OPEN_SHARE * self._initial_calls)):
            return True
        due_ms = self._dependencies.hedging.find_hedge_time(now_ms, self._service, 0.0)
        return due_ms is not None and now_ms - part.sent_ms >= VERY_LATE_FACTOR * due_ms

    def _send_sources(
        self,
        sources: tuple[ShardSource, ...],
        excluded: frozenset[str],
        failures: int,
        now_ms: float,
        retried: ErrorKind | None = None,
    ) -> list[Attempt]:
        routing = route_shards(sources, self._replicas, self._dependencies.choice, now_ms, excluded)
        for source in routing.unserved:
            self._missing_reasons.setdefault(source.shard, "no_owner")
        attempts: list[Attempt] = []
        refused: list[_Part] = []
        for upstream, group in routing.groups.items():
            # A part can be split over several upstreams, so each call needs its own permit.
            if retried in _LOAD_CAUSING_KINDS and not self._dependencies.hedging.permit_retry():
                refused.append(_Part(group, excluded, now_ms, failures, retried))
                continue
            part = _Part(group, excluded | {upstream}, now_ms, failures)
            if self._limits.may_hedge:
                part.hedge_at_ms = self._dependencies.hedging.find_hedge_time(
                    now_ms, self._service, now_ms
                )
            self._parts.append(part)
            attempts.append(self._send(part, upstream, group, now_ms))
        for part in refused if attempts else ():
            # If nothing was sent, the caller schedules a retry of the whole part instead.
            if _is_recoverable(part.last_kind):
                self._schedule_retry(part, now_ms)
        return attempts

    def _send(
        self,
        part: _Part,
        upstream: str,
        sources: Iterable[ShardSource],
        now_ms: float,
        is_hedge: bool = False,
    ) -> Attempt:
        left_ms = self._limits.end_ms - REPLY_MARGIN_MS - now_ms
        call = SubRequest(
            call_id=f"{self._request_id}-{next(self._call_numbers)}",
            service=self._service,
            upstream=upstream,
            shards=tuple(source.shard for source in sources),
            version=self.snapshot.version,
            query=self._query,
            limit=self._limits.row_limit,
            deadline_ms=max(1, int(min(left_ms, MAX_SUB_DEADLINE_MS))),
            priority=self._limits.priority,
            is_hedge=is_hedge,
        )
        attempt = Attempt(call, self._replicas[upstream].owner)
        part.outstanding.add(call.call_id)
        self._sent[call.call_id] = _SentCall(part, attempt, now_ms)
        self._dependencies.choice.record_start(upstream)
        self.sent_calls += 1
        return attempt

    def _list_open(self, part: _Part) -> list[ShardSource]:
        return [source for source in part.sources if source.shard not in self._accepted]

    def _close_part(self, part: _Part) -> None:
        part.hedge_at_ms = None
        if part in self._parts:
            self._parts.remove(part)
