"""Chooses the upstream of a call from statistics about the previous calls to each.

Times are in ms on one monotonic clock.
"""

import copy
import itertools
from collections.abc import Callable, Collection
from typing import NamedTuple

from .catalog import ServiceLimits
from .pace import INITIAL_CONCURRENCY, Paces
from .ratelimit import RateLimits
from .registry import Registry, Upstream
from .slowstart import SlowStart
from .upstreamstats import MAX_SLOWNESS, UpstreamStats
from .versions import AnyVersion, VersionRouting

# Cost terms of a choice, in multiples of a baseline reply time.
_COLD_COST = 0.6
# Round trip to another failure domain; traffic between domains is also charged for.
_REMOTE_DOMAIN_COST = 0.8
# Upper bound of the random cost that decides between upstreams of nearly equal cost.
_TIE_BREAK_COST = 0.1
# Weight of a new sample in the baseline latency, and the bound of a sample as a multiple of it.
_BASELINE_WEIGHT = 0.05
_BASELINE_SAMPLE_BOUND = 3.0
# How long after its time a reserved permit may be used. An instance that was paused would otherwise
# use all permits of its pause at once.
_RESERVATION_VALIDITY_MS = 200.0


class Choice(NamedTuple):
    """A chosen upstream; `is_healthy` is false while it is avoided after failed calls.

    `is_within_pace` is false if the call exceeds the pace at which the upstream starts or recovers.
    """

    upstream: Upstream
    is_healthy: bool
    is_within_pace: bool = True


class Reservation(NamedTuple):
    """A permit at a rate-limited upstream, to be used at `at_ms`."""

    upstream: Upstream
    at_ms: float


class Assessment(NamedTuple):
    """What a choice knows about an upstream; its cost is from `cost` to `highest_cost`, by chance.

    It has `open_calls` of at most `max_calls` (None without a limit) from this instance. The next
    permit of a rate-limited upstream is due in `permit_ms`. `stats` is None before the first call.
    """

    cost: float
    highest_cost: float
    is_healthy: bool
    pace_factor: float
    has_room: bool
    open_calls: int
    max_calls: int | None
    permit_ms: float
    stats: UpstreamStats | None


class Selector:
    """Chooses the upstream with the lowest expected time to a reply; tracks open calls."""

    def __init__(
        self,
        registry: Registry,
        slow_start: SlowStart,
        get_limits: Callable[[str], ServiceLimits | None],
        draw: Callable[[], float],
        domain: str = "",
        versions: VersionRouting | None = None,
    ) -> None:
        """Prefer upstreams in `domain`; `draw` returns random numbers from 0 to 1 for ties."""
        self.versions = versions or AnyVersion()
        self._registry = registry
        self._slow_start = slow_start
        self._get_limits = get_limits
        self._draw = draw
        self._domain = domain
        self._stats: dict[str, UpstreamStats] = {}
        self._baseline_ms: dict[str, float] = {}
        self._share = 1.0
        self._connection_share = 1.0
        self._rate_limits = RateLimits(draw)
        self.paces = Paces()
        self._call_count = 0

    @property
    def domain(self) -> str:
        """Return the failure domain of this instance."""
        return self._domain

    def set_share(self, share: float, is_recently_started: bool) -> None:
        """Set the share (0 to 1) of each upstream's connections, rate and pace for this instance.

        That of the connections is halved while this instance `is_recently_started`: upstreams may
        still hold connections of its predecessor.
        """
        self._share = share
        self._rate_limits.set_share(share)
        self.paces.set_share(share)
        self._connection_share = share / 2 if is_recently_started else share

    def is_listed(self, service: str) -> bool:
        """Return whether any upstream of `service` may receive requests."""
        return bool(self._list_usable(service))

    def list_ids(self, service: str) -> list[str]:
        """Return the ids of the upstreams of `service` that may receive requests."""
        return [upstream.id for upstream in self._list_usable(service)]

    def choose(
        self, service: str, now_ms: float, late_threshold_ms: float, avoid: Collection[str] = ()
    ) -> Choice | None:
        """Return the upstream with the lowest cost, or None if none has capacity.

        A call open for longer than `late_threshold_ms` adds to its upstream's cost. Ids in `avoid`
        are excluded.
        """
        available = self._registry.list_available(service)
        fallback: Choice | None = None
        for upstreams in self.versions.group(service, available, avoid):
            choice = self._choose_among(upstreams, service, now_ms, late_threshold_ms, avoid)
            if choice is not None and choice.is_healthy:
                return choice
            fallback = fallback or choice
        return fallback

    def _choose_among(
        self,
        upstreams: tuple[Upstream, ...],
        service: str,
        now_ms: float,
        late_threshold_ms: float,
        avoid: Collection[str],
    ) -> Choice | None:
        limits = self._get_limits(service)
        best: Choice | None = None
        best_cost = 0.0
        for upstream in upstreams:
            if upstream.id in avoid or not self._has_capacity(upstream, limits, now_ms):
                continue
            cost, is_healthy, pace_factor = self._compute_cost(
                upstream, now_ms, late_threshold_ms, self._draw()
            )
            if best is None or cost < best_cost:
                best, best_cost = Choice(upstream, is_healthy, pace_factor == 1.0), cost
        return best

    def copy_for_service(self, service: str) -> "Selector":
        """Return a copy with what is known about the upstreams of `service`, for a dry run.

        Neither its choices nor its assessments change this one. It draws no random numbers: each of
        its choices is the one at the lowest draw.
        """
        ids = [upstream.id for upstream in self._registry.list_listed(service)]
        copied = copy.copy(self)
        copied._draw = lambda: 0.0
        copied._stats = {
            name: copy.deepcopy(self._stats[name]) for name in ids if name in self._stats
        }
        copied._rate_limits = self._rate_limits.copy_for(ids)
        copied.paces = self.paces.copy_for(ids)
        return copied

    def assess(self, upstream: Upstream, now_ms: float, late_threshold_ms: float) -> Assessment:
        """Return what a choice would be based on; call it on a copy, since statistics decay."""
        limits = self._get_limits(upstream.service)
        cost, is_healthy, pace_factor = self._compute_cost(upstream, now_ms, late_threshold_ms, 0.0)
        highest_cost, _, _ = self._compute_cost(upstream, now_ms, late_threshold_ms, 1.0)
        stats = self._stats.get(upstream.id)
        return Assessment(
            cost,
            highest_cost,
            is_healthy,
            pace_factor,
            self._has_capacity(upstream, limits, now_ms),
            len(stats.open_sent_ms) if stats is not None else 0,
            self._compute_max_calls(limits) if limits is not None else None,
            self._rate_limits.find_permit_ms(upstream.id, now_ms) - now_ms,
            stats,
        )

    def reserve(
        self, service: str, now_ms: float, latest_ms: float, avoid: Collection[str] = ()
    ) -> Reservation | None:
        """Reserve the next permit at a rate-limited upstream, or return None after `latest_ms`."""
        limits = self._get_limits(service)
        permits = [
            (self._rate_limits.find_permit_ms(upstream.id, now_ms), upstream)
            for upstream in self._list_limited(service)
            if upstream.id not in avoid and self._has_room(upstream, limits, now_ms)
        ]
        if not permits:
            return None
        permit_ms, upstream = min(permits)
        if permit_ms > latest_ms:
            return None
        return Reservation(upstream, self._rate_limits.take_permit(upstream.id, now_ms))

    def may_use(self, reservation: Reservation, now_ms: float) -> bool:
        """Return whether a reservation is still valid and its upstream can take a request."""
        upstream = reservation.upstream
        if now_ms - reservation.at_ms > _RESERVATION_VALIDITY_MS:
            return False
        # Its entry may have changed meanwhile, but not its address.
        available = self._list_usable(upstream.service)
        if (upstream.id, upstream.address) not in [(one.id, one.address) for one in available]:
            return False
        return self._has_room(upstream, self._get_limits(upstream.service), now_ms)

    def estimate_wait_ms(
        self, service: str, now_ms: float, avoid: Collection[str] = ()
    ) -> float | None:
        """Return the time to the next permit if all upstreams of `service` are rate-limited."""
        limited = self._list_limited(service)
        if not limited or len(limited) < len(self._list_usable(service)):
            return None
        permits_ms = [
            self._rate_limits.find_permit_ms(upstream.id, now_ms)
            for upstream in limited
            if upstream.id not in avoid
        ]
        return min(permits_ms) - now_ms if permits_ms else None

    def list_limited_ids(self, service: str) -> list[str]:
        """Return the ids of the upstreams of `service` that name a rate limit."""
        return [upstream.id for upstream in self._list_limited(service)]

    def _list_limited(self, service: str) -> list[Upstream]:
        if not self._rate_limits:
            return []
        usable = self._list_usable(service)
        return [one for one in usable if self._rate_limits.is_limited(one.id)]

    def _list_usable(self, service: str) -> tuple[Upstream, ...]:
        groups = self.versions.group(service, self._registry.list_available(service))
        return groups[0] if len(groups) == 1 else tuple(itertools.chain(*groups))

    def _has_capacity(
        self, upstream: Upstream, limits: ServiceLimits | None, now_ms: float
    ) -> bool:
        if self._rate_limits.find_permit_ms(upstream.id, now_ms) > now_ms:
            return False
        return self._has_room(upstream, limits, now_ms)

    def _has_room(self, upstream: Upstream, limits: ServiceLimits | None, now_ms: float) -> bool:
        """Return whether the connections and the rate of a cold upstream permit a request."""
        if limits is None:
            return True
        stats = self._stats.get(upstream.id)
        if stats is not None:
            if len(stats.open_sent_ms) >= self._compute_max_calls(limits):
                return False
        if upstream.cold_until_ms > now_ms and limits.cold_rate_per_s > 0:
            return self._slow_start.permit(upstream.id, limits.cold_rate_per_s, now_ms)
        return True

    def _compute_max_calls(self, limits: ServiceLimits) -> int:
        return max(1, int(limits.max_connections * self._connection_share))

    def _compute_cost(
        self, upstream: Upstream, now_ms: float, late_threshold_ms: float, draw: float
    ) -> tuple[float, bool, float]:
        """Return the cost of a call, whether the upstream is not avoided, and the pace's factor."""
        cost, is_healthy = self._estimate_cost(upstream, now_ms, late_threshold_ms)
        cost += _TIE_BREAK_COST * draw
        pace_factor = self._find_pace_factor(upstream, now_ms)
        return cost * pace_factor, is_healthy, pace_factor

    def _find_pace_factor(self, upstream: Upstream, now_ms: float) -> float:
        if not self.paces.may_apply(upstream, now_ms):
            return 1.0
        stats = self._stats.get(upstream.id)
        return self.paces.find_factor(upstream, len(stats.open_sent_ms) if stats else 0, now_ms)

    def _estimate_cost(
        self, upstream: Upstream, now_ms: float, late_threshold_ms: float
    ) -> tuple[float, bool]:
        cost = 0.0
        if upstream.cold_until_ms > now_ms:
            excess = self.paces.estimate_excess(upstream.id)
            cost = _COLD_COST if excess is None else excess
        if upstream.domain != self._domain:
            cost += _REMOTE_DOMAIN_COST
        stats = self._stats.get(upstream.id)
        if stats is None:
            return 1.0 + cost, True
        return stats.estimate_cost(cost, upstream.slots, now_ms, late_threshold_ms)

    def record_sent(
        self, upstream: Upstream, call_id: int, now_ms: float, is_reserved: bool = False
    ) -> None:
        """Record an open call that was sent; it consumes a permit unless one `is_reserved`."""
        self._call_count += 1
        self.versions.record_sent(upstream, now_ms)
        if not is_reserved:
            self._rate_limits.take_permit(upstream.id, now_ms)
        self._get_or_create_stats(upstream.id, now_ms).record_sent(call_id, now_ms)
        self.paces.record_sent(upstream, now_ms)
        if upstream.cold_until_ms > now_ms:
            limits = self._get_limits(upstream.service)
            rate_per_s = limits.cold_rate_per_s if limits else 0.0
            self._slow_start.record_sent(upstream.id, rate_per_s, now_ms)

    def record_reply(self, upstream_id: str, call_id: int, group: str, now_ms: float) -> float:
        """Record a reply and return its latency as a multiple of the baseline.

        `group` identifies calls with a common baseline latency. Return 1 for an unknown upstream.
        """
        stats, latency_ms = self._close_call(upstream_id, call_id, now_ms)
        if stats is None:
            return 1.0
        baseline_ms = self._baseline_ms.get(group, latency_ms)
        # A few very slow replies must not shift the baseline.
        bounded_ms = min(latency_ms, _BASELINE_SAMPLE_BOUND * baseline_ms)
        self._baseline_ms[group] = baseline_ms + _BASELINE_WEIGHT * (bounded_ms - baseline_ms)
        slowness = min(MAX_SLOWNESS, latency_ms / max(1.0, baseline_ms))
        has_recovered = stats.record_reply(slowness, now_ms)
        upstream = self._registry.get(upstream_id)
        if upstream is None:
            return slowness
        if has_recovered:
            # It may have restarted at any time since the last call.
            self._mark_possibly_cold(upstream_id, now_ms)
            if self._has_warm_up(upstream):
                stats.record_recovery()
                self.paces.begin(upstream, now_ms - latency_ms)
        self.paces.record_reply(upstream, slowness, latency_ms, now_ms)
        return slowness

    def record_failure(
        self, upstream_id: str, call_id: int, now_ms: float, is_unreachable: bool
    ) -> None:
        """Record a failed call; an unreachable upstream is avoided for a backoff period."""
        stats, _ = self._close_call(upstream_id, call_id, now_ms)
        if stats is None:
            return
        stats.record_failure(now_ms, is_unreachable)
        upstream = self._registry.get(upstream_id)
        if upstream is not None:
            self.paces.record_failure(upstream, now_ms)
            if is_unreachable and self._has_warm_up(upstream):
                stats.schedule_probe(self._share, self._draw())
        if is_unreachable:
            self._mark_possibly_cold(upstream_id, now_ms)

    def _has_warm_up(self, upstream: Upstream) -> bool:
        """Return whether the upstream's service states that its upstreams start cold."""
        limits = self._get_limits(upstream.service)
        return limits is not None and limits.cold_ms > 0

    def _mark_possibly_cold(self, upstream_id: str, now_ms: float) -> None:
        """Mark an unreachable upstream as cold: it may restart before its entry is updated.

        An instance that is disconnected from the store never reads that entry.
        """
        upstream = self._registry.get(upstream_id)
        limits = self._get_limits(upstream.service) if upstream is not None else None
        if limits is not None and limits.cold_rate_per_s > 0:
            self._registry.mark_upstream_cold(upstream_id, now_ms + limits.cold_ms)

    def record_limit(
        self,
        upstream_id: str,
        limit_per_s: float | None,
        called_ms: float,
        now_ms: float,
    ) -> bool:
        """Apply the rate limit that an answer of the upstream names; return whether it changed.

        `called_ms` is when the answered call was started.
        """
        if self._registry.get(upstream_id) is None:
            return False
        return self._rate_limits.record_answer(upstream_id, limit_per_s, called_ms, now_ms)

    def count_limited(self) -> int:
        """Return the number of upstreams that name a rate limit."""
        return len(self._rate_limits)

    def record_misdirected(self, upstream: Upstream, now_ms: float) -> None:
        """Exclude an upstream for a while whose address belongs to another one."""
        self._registry.record_misdirected(upstream, now_ms)

    def record_cancelled(
        self, upstream_id: str, call_id: int, now_ms: float, late_threshold_ms: float
    ) -> None:
        """Record a cancelled call; one open for longer than `late_threshold_ms` counts as slow."""
        stats, latency_ms = self._close_call(upstream_id, call_id, now_ms)
        if stats is not None and latency_ms > late_threshold_ms:
            stats.record_slow_call(now_ms)

    def count_calls(self) -> tuple[int, int]:
        """Return the calls since the previous count and the number of upstreams with statistics."""
        calls, self._call_count = self._call_count, 0
        return calls, len(self._stats)

    def is_reported_late(self, upstream_id: str, now_ms: float) -> bool:
        """Return whether another instance has recently reported a late call to the upstream."""
        stats = self._stats.get(upstream_id)
        return stats is not None and stats.peer_late_until_ms > now_ms

    def record_peer_late(self, upstream_id: str, now_ms: float) -> None:
        """Record that another instance has a late call to the upstream, if that is listed."""
        if self._registry.get(upstream_id) is not None:
            self._get_or_create_stats(upstream_id, now_ms).record_peer_late(now_ms)

    def record_peer_reply(self, upstream_id: str, slowness: float, now_ms: float) -> None:
        """Record the final slowness of another instance's late call to a listed upstream."""
        if self._registry.get(upstream_id) is not None:
            self._get_or_create_stats(upstream_id, now_ms).record_peer_reply(slowness, now_ms)

    def record_peer_pace(self, upstream_id: str, concurrency: float, now_ms: float) -> None:
        """Adopt the pace that another instance has found, also for an upstream avoided here."""
        upstream = self._registry.get(upstream_id)
        if upstream is None:
            return
        self.paces.record_peer_pace(upstream, concurrency, now_ms)
        stats = self._stats.get(upstream_id)
        if stats is not None and stats.block_ms > 0 and concurrency >= INITIAL_CONCURRENCY:
            self._mark_possibly_cold(upstream_id, now_ms)
            stats.record_recovery()

    def remove_upstream(self, upstream_id: str) -> None:
        """Remove the statistics of an upstream that is no longer listed."""
        self._stats.pop(upstream_id, None)
        self._slow_start.remove_upstream(upstream_id)
        self._rate_limits.remove_upstream(upstream_id)
        self.paces.remove_upstream(upstream_id)

    def _get_or_create_stats(self, upstream_id: str, now_ms: float) -> UpstreamStats:
        stats = self._stats.get(upstream_id)
        if stats is None:
            stats = self._stats[upstream_id] = UpstreamStats(now_ms)
        return stats

    def _close_call(
        self, upstream_id: str, call_id: int, now_ms: float
    ) -> tuple[UpstreamStats | None, float]:
        stats = self._stats.get(upstream_id)
        if stats is None:
            return None, 0.0
        sent_ms = stats.open_sent_ms.pop(call_id, now_ms)
        return stats, now_ms - sent_ms
