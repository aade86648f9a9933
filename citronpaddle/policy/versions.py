"""Selects the upstreams of a service that may get the next call, by their software versions.

Times are in ms on one monotonic clock; `wall_ms` is Unix time in ms.
"""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Collection

from .judgement import SPAN_MS, Stratum
from .registry import Upstream
from .rollout import SLOW_FACTOR, Rollout

# Calls at least up to this age count as recent: an instance learns of an order about this long
# after it was given.
RECENT_CALLS_MS = 2_000.0
# Replies on a route from which its baseline latency is reliable.
MIN_BASELINE_REPLIES = 20


class VersionRouting(ABC):
    """Selects upstreams by version and receives the results of calls."""

    @abstractmethod
    def group(
        self, service: str, upstreams: tuple[Upstream, ...], tried: Collection[str] = ()
    ) -> tuple[tuple[Upstream, ...], ...]:
        """Return the upstreams that may get the next call, in groups, the preferred one first.

        `tried` are the ids of upstreams that have had a call of the same request.
        """

    @abstractmethod
    def record_sent(self, upstream: Upstream, now_ms: float) -> None:
        """Record a call to an upstream."""

    @abstractmethod
    def record_reply(self, upstream: Upstream, route: str, slowness: float, now_ms: float) -> None:
        """Record a reply that took `slowness` times the baseline latency of its route."""

    @abstractmethod
    def record_failure(self, upstream: Upstream, route: str) -> None:
        """Record that an upstream has failed a call that it received."""

    @abstractmethod
    def record_abandoned(self, upstream: Upstream, route: str, now_ms: float) -> None:
        """Record that a late call was cancelled without a reply."""


class AnyVersion(VersionRouting):
    """Uses upstreams of all versions alike."""

    def group(
        self, service: str, upstreams: tuple[Upstream, ...], tried: Collection[str] = ()
    ) -> tuple[tuple[Upstream, ...], ...]:
        return (upstreams,)

    def record_sent(self, upstream: Upstream, now_ms: float) -> None:
        """Do nothing."""

    def record_reply(self, upstream: Upstream, route: str, slowness: float, now_ms: float) -> None:
        """Do nothing."""

    def record_failure(self, upstream: Upstream, route: str) -> None:
        """Do nothing."""

    def record_abandoned(self, upstream: Upstream, route: str, now_ms: float) -> None:
        """Do nothing."""


class RolloutRouting(VersionRouting):
    """Routes by the roll-outs in `rollouts`, by service.

    `barred` has, by service, the version that an invalid order names. It gets no calls while the
    service has upstreams of other versions.
    """

    def __init__(self, domain: str) -> None:
        self.rollouts: dict[str, Rollout] = {}
        self.barred: dict[str, str] = {}
        self.span = 0
        self._domain = domain
        self._recent: dict[tuple[str, str], _RecentCalls] = {}
        self._replies: Counter[str] = Counter()

    def set_time(self, wall_ms: float) -> None:
        """Set the span in which the next results are counted, by the Unix time."""
        self.span = int(wall_ms // SPAN_MS)

    def count_recent(self, service: str, version: str, now_ms: float) -> int:
        """Return the number of recent calls to upstreams of a version."""
        recent = self._recent.get((service, version))
        return recent.count(now_ms) if recent is not None else 0

    def group(
        self, service: str, upstreams: tuple[Upstream, ...], tried: Collection[str] = ()
    ) -> tuple[tuple[Upstream, ...], ...]:
        if not self.rollouts and not self.barred:
            return (upstreams,)
        if service in self.barred:
            allowed = tuple(one for one in upstreams if one.version != self.barred[service])
            upstreams = allowed or upstreams
        rollout = self.rollouts.get(service)
        return rollout.group(upstreams, tried) if rollout is not None else (upstreams,)

    def record_sent(self, upstream: Upstream, now_ms: float) -> None:
        rollout = self.rollouts.get(upstream.service)
        if rollout is not None:
            rollout.record_sent(upstream)
            return
        key = (upstream.service, upstream.version)
        if key not in self._recent:
            self._recent[key] = _RecentCalls()
        self._recent[key].add(now_ms)

    def record_reply(self, upstream: Upstream, route: str, slowness: float, now_ms: float) -> None:
        self._replies[route] += 1
        # A cold upstream is slow whatever its version, and a new baseline is not reliable.
        is_slow = slowness >= SLOW_FACTOR and upstream.cold_until_ms <= now_ms
        self._record(upstream, route, is_slow and self._replies[route] >= MIN_BASELINE_REPLIES)

    def record_failure(self, upstream: Upstream, route: str) -> None:
        self._record(upstream, route, True)

    def record_abandoned(self, upstream: Upstream, route: str, now_ms: float) -> None:
        # A cold upstream is expected to be slow.
        if upstream.cold_until_ms <= now_ms:
            self._record(upstream, route, True)

    def _record(self, upstream: Upstream, route: str, is_bad: bool) -> None:
        rollout = self.rollouts.get(upstream.service)
        if rollout is not None and rollout.is_running:
            stratum = Stratum(self.span, route, upstream.domain != self._domain)
            rollout.record_answer(upstream, stratum, is_bad)


class _RecentCalls:
    """Counts the calls of the last `RECENT_CALLS_MS`, and of up to as long before."""

    __slots__ = ("_started_ms", "_current", "_previous")

    def __init__(self) -> None:
        self._started_ms = 0.0
        self._current = 0
        self._previous = 0

    def add(self, now_ms: float) -> None:
        """Count a call."""
        self._advance(now_ms)
        self._current += 1

    def count(self, now_ms: float) -> int:
        """Return the number of calls."""
        self._advance(now_ms)
        return self._previous + self._current

    def _advance(self, now_ms: float) -> None:
        if now_ms - self._started_ms < RECENT_CALLS_MS:
            return
        is_adjacent = now_ms - self._started_ms < 2 * RECENT_CALLS_MS
        self._previous = self._current if is_adjacent else 0
        self._current = 0
        self._started_ms = now_ms
