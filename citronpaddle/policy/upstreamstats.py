"""Statistics of one upstream, and the cost of a call to it.

Times are in ms on one monotonic clock; costs are in multiples of a baseline reply time.
"""

from math import inf

# Weights of a new observation in the moving averages of an upstream's slowness and failure rate.
_SLOWNESS_WEIGHT = 0.25
_FAILURE_WEIGHT = 0.3
# Half-life of an upstream's statistics; they decay so that a bad upstream is tried again.
_HALF_LIFE_MS = 2_000.0
# Upper bound of a slowness sample: a single slow reply predicts the next one poorly.
MAX_SLOWNESS = 8.0
_OUTSTANDING_COST = 0.5
_FAILURE_COST = 8.0
_OVERDUE_COST = 6.0
# Maximum cost of past failures when a probe (a call that shows whether the upstream has recovered)
# is due. At this cost it is sent only if the other upstreams are busy, slow or few.
_PROBE_COST = 0.5
# Mean interval of the probes of all instances together.
_PROBE_INTERVAL_MS = 250.0
# Cost added to an upstream that is avoided after failed calls.
_BLOCKED_COST = 100.0
# How long another instance's report of a late call counts: a pause ends after a few hundred ms, and
# the next late call is reported again.
_PEER_LATE_MS = 120.0
# Minimum interval between slow replies reported by peers: all calls delayed by one pause get
# their replies together and count once, while a slow upstream keeps sending slow replies.
_PEER_REPLY_INTERVAL_MS = 300.0
# How long an unreachable or unresponsive upstream is avoided; it doubles with each failure.
_FIRST_BLOCK_MS = 250.0
_MAX_BLOCK_MS = 2_000.0


class UpstreamStats:
    """Statistics of one upstream: slowness, failure rate, open calls and peer reports."""

    __slots__ = (
        "blocked_until_ms",
        "block_ms",
        "failure_rate",
        "updated_ms",
        "open_sent_ms",
        "peer_reply_ms",
        "peer_late_until_ms",
        "probe_ms",
        "slowness",
    )

    def __init__(self, now_ms: float) -> None:
        self.slowness = 1.0
        self.failure_rate = 0.0
        self.updated_ms = now_ms
        self.blocked_until_ms = 0.0
        self.block_ms = 0.0
        self.peer_reply_ms = 0.0
        self.peer_late_until_ms = 0.0
        # When a probe is due.
        self.probe_ms = inf
        # Send time in ms by open call, oldest first.
        self.open_sent_ms: dict[int, float] = {}

    def estimate_cost(
        self, base_cost: float, slots: int, now_ms: float, late_threshold_ms: float
    ) -> tuple[float, bool]:
        """Return `base_cost` plus the cost of a call, and whether the upstream is healthy.

        It is not while it is avoided after failed calls.
        """
        self.decay(now_ms)
        failure_cost = _FAILURE_COST * self.failure_rate
        if now_ms >= self.probe_ms:
            failure_cost = min(failure_cost, _PROBE_COST)
        cost = base_cost + self.slowness + failure_cost
        outstanding = len(self.open_sent_ms)
        if outstanding:
            cost *= 1.0 + _OUTSTANDING_COST * outstanding / max(1, slots)
            oldest_ms = next(iter(self.open_sent_ms.values()))
            if now_ms - oldest_ms > late_threshold_ms:
                return cost + _OVERDUE_COST, self.blocked_until_ms <= now_ms
        if self.peer_late_until_ms > now_ms:
            cost += _OVERDUE_COST
        if self.blocked_until_ms > now_ms:
            return cost + _BLOCKED_COST, False
        return cost, True

    def decay(self, now_ms: float) -> None:
        """Decay slowness and failure rate by the time since the last update."""
        elapsed_ms = now_ms - self.updated_ms
        if elapsed_ms <= 0:
            return
        factor = 0.5 ** (elapsed_ms / _HALF_LIFE_MS)
        self.slowness = 1.0 + (self.slowness - 1.0) * factor
        self.failure_rate *= factor
        self.updated_ms = now_ms

    def record_sent(self, call_id: int, now_ms: float) -> None:
        """Record an open call; it serves as the probe if one is due."""
        self.open_sent_ms[call_id] = now_ms
        if now_ms >= self.probe_ms:
            self.probe_ms = inf

    def record_reply(self, slowness: float, now_ms: float) -> bool:
        """Record a reply and end the avoidance; return whether the upstream was unreachable."""
        self.decay(now_ms)
        self._add_slowness(slowness)
        self.failure_rate -= _FAILURE_WEIGHT * self.failure_rate
        has_recovered = self.block_ms > 0
        self._end_block()
        return has_recovered

    def record_recovery(self) -> None:
        """Clear the failure rate and end the avoidance of an upstream that has recovered."""
        self.failure_rate = 0.0
        self._end_block()

    def record_failure(self, now_ms: float, is_unreachable: bool) -> None:
        """Record a failed call; an unreachable upstream is avoided for a backoff period."""
        self.decay(now_ms)
        self.failure_rate += _FAILURE_WEIGHT * (1.0 - self.failure_rate)
        if is_unreachable:
            self.block_ms = min(_MAX_BLOCK_MS, max(_FIRST_BLOCK_MS, 2 * self.block_ms))
            self.blocked_until_ms = now_ms + self.block_ms

    def schedule_probe(self, share: float, draw: float) -> None:
        """Schedule a probe after the avoidance; `draw` (0 to 1) spreads those of all instances.

        `share` (above 0, up to 1) is this instance's share of the calls of all instances.
        """
        self.probe_ms = self.blocked_until_ms + draw * _PROBE_INTERVAL_MS / share

    def record_slow_call(self, now_ms: float) -> None:
        """Record a call that was cancelled because it was slow."""
        self.decay(now_ms)
        self._add_slowness(MAX_SLOWNESS)

    def record_peer_late(self, now_ms: float) -> None:
        """Record that another instance has a late call to the upstream."""
        self.peer_late_until_ms = now_ms + _PEER_LATE_MS

    def record_peer_reply(self, slowness: float, now_ms: float) -> None:
        """Record the final slowness of another instance's late call."""
        self.peer_late_until_ms = 0.0
        if now_ms < self.peer_reply_ms + _PEER_REPLY_INTERVAL_MS:
            return
        self.peer_reply_ms = now_ms
        self.decay(now_ms)
        self._add_slowness(max(0.0, slowness))

    def _end_block(self) -> None:
        self.block_ms = 0.0
        self.blocked_until_ms = 0.0
        self.probe_ms = inf

    def _add_slowness(self, slowness: float) -> None:
        self.slowness += _SLOWNESS_WEIGHT * (min(MAX_SLOWNESS, slowness) - self.slowness)
