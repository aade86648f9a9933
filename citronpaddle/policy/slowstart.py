"""Slow start: limits the request rate to cold upstreams, summed over all instances.

Times are in ms on one monotonic clock.
"""

import math
from typing import NamedTuple

from .rendezvous import rank_candidates

MS_PER_SECOND = 1_000.0


class ColdLimits(NamedTuple):
    """A cold upstream gets at most `rate` x `overshoot` + `slack` requests in any second."""

    overshoot: float
    slack: float


class SlowStart:
    """Decides whether this instance may send to a cold upstream now.

    Rendezvous hashing selects the instances that may use a cold upstream, as many as the bound
    allows. Each sends at its share of the rate with a burst of one, so that the bound holds in any
    second, however the instances' send times coincide.
    """

    def __init__(self, limits: ColdLimits, name: str) -> None:
        self._limits = limits
        self._name = name
        self._instances: tuple[str, ...] = (name,)
        self._next_send_ms: dict[str, float] = {}
        # Rank of this instance by upstream, cached because every call needs it.
        self._ranks: dict[str, int] = {}

    def set_instances(self, names: tuple[str, ...]) -> None:
        """Set the instances among which cold upstreams are divided."""
        names = names or (self._name,)
        if names != self._instances:
            self._instances = names
            self._ranks.clear()

    def set_limits(self, limits: ColdLimits) -> None:
        """Apply new limits."""
        self._limits = limits

    def permit(self, upstream_id: str, rate_per_s: float, now_ms: float) -> bool:
        """Return whether a request may go to the cold upstream now; rate 0 means no limit."""
        if rate_per_s <= 0:
            return True
        if now_ms < self._next_send_ms.get(upstream_id, 0.0):
            return False
        return self._find_interval(upstream_id, rate_per_s) is not None

    def record_sent(self, upstream_id: str, rate_per_s: float, now_ms: float) -> None:
        """Record a request sent to a cold upstream."""
        if rate_per_s > 0:
            interval_ms = self._find_interval(upstream_id, rate_per_s)
            self._next_send_ms[upstream_id] = now_ms + (interval_ms or MS_PER_SECOND)

    def remove_upstream(self, upstream_id: str) -> None:
        """Remove the state of an upstream that is no longer listed or no longer cold."""
        self._ranks.pop(upstream_id, None)
        self._next_send_ms.pop(upstream_id, None)

    def _find_interval(self, upstream_id: str, rate_per_s: float) -> float | None:
        """Return the interval in ms between two requests, or None if not selected."""
        bound = rate_per_s * self._limits.overshoot + self._limits.slack
        senders = max(1, min(len(self._instances), math.floor(bound - rate_per_s)))
        rank = self._ranks.get(upstream_id)
        if rank is None:
            ranked = rank_candidates(upstream_id, {*self._instances, self._name})
            rank = self._ranks[upstream_id] = ranked.index(self._name)
        if rank >= senders:
            return None
        return MS_PER_SECOND * senders / rate_per_s
