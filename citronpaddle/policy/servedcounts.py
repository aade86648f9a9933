"""Counts of parts that were served and refused, to find priorities and teams that are underserved.

Times are in ms on one monotonic clock.
"""

import math
from collections import Counter

from .demand import Demand

# A priority or team goes first if its share of served parts is below this multiple of that of all
# parts. At least a quarter is required; the margin covers parts that are counted late.
MIN_SERVED_SHARE = 0.35
# Half-life of the counts of served and refused parts.
_COUNTS_HALF_LIFE_MS = 5_000.0
# Minimum interval between two updates of the decay.
_DECAY_INTERVAL_MS = 250.0


class ServedCounts:
    """Decayed numbers of parts that arrived and that were refused, by priority and by team."""

    def __init__(self) -> None:
        self._arrived: Counter = Counter()
        self._refused: Counter = Counter()
        self._decayed_ms = 0.0

    def record_arrival(self, demand: Demand, now_ms: float) -> None:
        """Count a part that has arrived at a congested service."""
        self._decay(now_ms)
        for key in _list_groups(demand):
            self._arrived[key] += 1.0

    def record_refusal(self, demand: Demand) -> None:
        """Count a part that was refused."""
        for key in _list_groups(demand):
            self._refused[key] += 1.0

    def is_underserved(self, demand: Demand) -> bool:
        """Return whether the priority or the team is served much less often than all parts."""
        everything, *groups = _list_groups(demand)
        least = MIN_SERVED_SHARE * self._compute_served_share(everything)
        return any(self._compute_served_share(key) < least for key in groups)

    def _compute_served_share(self, key: int | str | None) -> float:
        arrived = self._arrived[key]
        return 1.0 - min(1.0, self._refused[key] / arrived) if arrived else 1.0

    def _decay(self, now_ms: float) -> None:
        if now_ms - self._decayed_ms < _DECAY_INTERVAL_MS:
            return
        factor = math.exp2((self._decayed_ms - now_ms) / _COUNTS_HALF_LIFE_MS)
        self._decayed_ms = now_ms
        for counts in (self._arrived, self._refused):
            for key in counts:
                counts[key] *= factor


def _list_groups(demand: Demand) -> tuple[int | str | None, ...]:
    """Return the keys under which a part is counted: None (all parts), its priority, its team."""
    if demand.team:
        return None, demand.priority, demand.team
    return None, demand.priority
