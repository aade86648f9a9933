"""The rate of requests to cold upstreams, within a bound over all instances.

Times are in ms on one monotonic clock.
"""

import math
from typing import NamedTuple

from .rendezvous import rank_candidates


class ColdLimits(NamedTuple):
    """In any second, a cold upstream gets `rate` x `overshoot` + `slack` requests at most."""

    overshoot: float
    slack: float


class SlowStart:
    """Says whether this instance may send to a cold upstream now.

    Only as many instances as the bound leaves room for may use one cold upstream, chosen by a hash
    that all compute alike. Each keeps to its part of the rate with a burst of one, so that the
    bound holds for any second and any alignment of the instances.
    """

    def __init__(self, limits: ColdLimits, name: str) -> None:
        self._limits = limits
        self._name = name
        self._instances: tuple[str, ...] = (name,)
        self._next_ms: dict[str, float] = {}
        # This instance's place among all for an upstream, kept since it is asked for every call.
        self._ranks: dict[str, int] = {}

    def set_instances(self, names: tuple[str, ...]) -> None:
        """Share cold upstreams out among these instances."""
        names = names or (self._name,)
        if names != self._instances:
            self._instances = names
            self._ranks.clear()

    def set_limits(self, limits: ColdLimits) -> None:
        """Take over other limits."""
        self._limits = limits

    def permit(self, upstream_id: str, rate_per_s: float, now_ms: float) -> bool:
        """Return whether a request may go to the cold upstream now; 0 per s states no limit."""
        if rate_per_s <= 0:
            return True
        if now_ms < self._next_ms.get(upstream_id, 0.0):
            return False
        return self._find_interval(upstream_id, rate_per_s) is not None

    def record_sent(self, upstream_id: str, rate_per_s: float, now_ms: float) -> None:
        """Count a request that was sent to a cold upstream."""
        if rate_per_s > 0:
            interval_ms = self._find_interval(upstream_id, rate_per_s)
            self._next_ms[upstream_id] = now_ms + (interval_ms or 1_000.0)

    def remove_upstream(self, upstream_id: str) -> None:
        """Drop what is known of an upstream that is gone or warm."""
        self._ranks.pop(upstream_id, None)
        self._next_ms.pop(upstream_id, None)

    def _find_interval(self, upstream_id: str, rate_per_s: float) -> float | None:
        """Return the ms between two requests of this instance, or None if it is not chosen."""
        bound = rate_per_s * self._limits.overshoot + self._limits.slack
        users = max(1, min(len(self._instances), math.floor(bound - rate_per_s)))
        rank = self._ranks.get(upstream_id)
        if rank is None:
            ranked = rank_candidates(upstream_id, {*self._instances, self._name})
            rank = self._ranks[upstream_id] = ranked.index(self._name)
        if rank >= users:
            return None
        return 1_000.0 * users / rate_per_s
