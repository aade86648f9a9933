"""Decides when to hedge or retry a sub-request, within extra-load budgets.

Times are in ms on one monotonic clock.
"""

from dataclasses import dataclass
from math import ceil
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from ..models import UpstreamState


class HedgingLimits(NamedTuple):
    """Limits of extra load; shares are fractions of first sub-requests, bursts are counts.

    Two windows of `window_ms` are kept, so an observation counts for one to two windows. A group
    with fewer than `min_samples` observations gets no new quantile; without any it gets no hedge.
    """

    quantile: float = 0.9
    min_samples: int = 20
    window_ms: float = 10_000.0
    # A call that seems late within a few ms is due to event loop lag; hedging it saves nothing.
    min_delay_ms: float = 2.0
    hedge_share: float = 0.05
    # One query of 88 calls earns 4.4 hedges, and a query often has several stragglers.
    hedge_burst: float = 20.0
    retry_share: float = 0.10
    retry_burst: float = 10.0


class TokenBucket:
    """Permits `share` extra sub-requests per sub-request sent, in bursts of at most `size`.

    Tokens accrue per sub-request rather than over time, so that extra load is a fixed share of
    any load.
    """

    _ROUNDING_TOLERANCE = 1e-9

    def __init__(self, share: float, size: float) -> None:
        """Create a full bucket; raise ValueError if `share` is negative or `size` is below 1."""
        if share < 0 or size < 1:
            raise ValueError(
                f"token bucket share must be >= 0 and size >= 1, got share {share}, size {size}"
            )
        self._share = share
        self._size = size
        self._tokens = size

    def earn(self, sent: int) -> None:
        """Add the tokens earned by `sent` first sub-requests."""
        self._tokens = min(self._size, self._tokens + self._share * sent)

    def refund(self) -> None:
        """Refund a token whose sub-request was not sent."""
        self._tokens = min(self._size, self._tokens + 1)

    def has_token(self) -> bool:
        """Return whether there is a token for one extra sub-request."""
        # Sums of fractions such as 0.05 can round to just below a whole token.
        return self._tokens >= 1 - self._ROUNDING_TOLERANCE

    def spend(self) -> bool:
        """Spend a token for one extra sub-request; return False if there is none."""
        if not self.has_token():
            return False
        self._tokens = max(0.0, self._tokens - 1)
        return True


class LatencyWindow:
    """Histogram of the last one to two windows' latencies, from 0.01 ms to 10 minutes."""

    _UNITS_PER_MS = 100
    _MAX_UNITS = 600_000 * _UNITS_PER_MS
    _SIGNIFICANT_DIGITS = 2
    _RECOMPUTE_GROWTH = 1.05

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._window_end_ms = 0.0
        self._older = HdrHistogram(1, self._MAX_UNITS, self._SIGNIFICANT_DIGITS)
        self._newer = HdrHistogram(1, self._MAX_UNITS, self._SIGNIFICANT_DIGITS)
        self._cached: tuple[float, int, float] | None = None

    def add(self, now_ms: float, latency_ms: float) -> None:
        """Record one latency; values out of range are clamped to the nearest bound."""
        self._rotate(now_ms)
        units = ceil(latency_ms * self._UNITS_PER_MS)
        self._newer.record_value(min(max(1, units), self._MAX_UNITS))

    def compute_quantile(self, now_ms: float, quantile: float, min_samples: int) -> float | None:
        """Return the latency in ms at `quantile` (0 to 1), or None below `min_samples`."""
        self._rotate(now_ms)
        samples = self._newer.total_count + self._older.total_count
        if samples < max(1, min_samples):
            return None
        # A quantile scans the histogram, so it is recomputed only after 5% more samples.
        if (
            self._cached
            and self._cached[0] == quantile
            and samples < self._cached[1] * self._RECOMPUTE_GROWTH
        ):
            return self._cached[2]
        both = HdrHistogram(1, self._MAX_UNITS, self._SIGNIFICANT_DIGITS)
        both.add(self._older)
        both.add(self._newer)
        value_ms = both.get_value_at_percentile(quantile * 100) / self._UNITS_PER_MS
        self._cached = (quantile, samples, value_ms)
        return value_ms

    def _rotate(self, now_ms: float) -> None:
        if now_ms < self._window_end_ms:
            return
        self._older, self._newer = self._newer, self._older
        self._newer.reset()
        if now_ms >= self._window_end_ms + self._window_ms:
            self._older.reset()
        self._window_end_ms = now_ms + self._window_ms
        self._cached = None


@dataclass(frozen=True, slots=True)
class Target:
    """A candidate upstream for a hedge or retry, in the state last reported by its owner."""

    upstream: str
    state: UpstreamState
    is_saturated: bool

    @property
    def can_take_hedge(self) -> bool:
        """Return whether the upstream is ready and not saturated, so that it may get extra load."""
        return self.state is UpstreamState.READY and not self.is_saturated


class Hedging:
    """Hedge and retry decisions of one entry instance; a group is a set of similar upstreams."""

    def __init__(self, limits: HedgingLimits | None = None) -> None:
        self._limits = limits or HedgingLimits()
        self._windows: dict[str, LatencyWindow] = {}
        self._last_delays_ms: dict[str, float] = {}
        self._hedges = TokenBucket(self._limits.hedge_share, self._limits.hedge_burst)
        self._retries = TokenBucket(self._limits.retry_share, self._limits.retry_burst)

    def record_sent(self, sub_requests: int = 1) -> None:
        """Record first sub-requests, which earn budget; hedges and retries earn none."""
        self._hedges.earn(sub_requests)
        self._retries.earn(sub_requests)

    def record_latency(self, now_ms: float, group: str, latency_ms: float) -> None:
        """Record the latency in ms of an ended sub-request, or of one that a hedge superseded."""
        if group not in self._windows:
            self._windows[group] = LatencyWindow(self._limits.window_ms)
        self._windows[group].add(now_ms, latency_ms)

    def find_hedge_time(self, now_ms: float, group: str, sent_ms: float) -> float | None:
        """Return when a sub-request sent at `sent_ms` is late; None before the first quantile.

        The last quantile applies until there are enough samples for a new one, so that late calls
        are also hedged after a quiet period and at services with little traffic.
        """
        window = self._windows.get(group)
        if window is None:
            return None
        limits = self._limits
        delay_ms = window.compute_quantile(now_ms, limits.quantile, limits.min_samples)
        if delay_ms is None:
            delay_ms = self._last_delays_ms.get(group)
        if delay_ms is None:
            return None
        self._last_delays_ms[group] = delay_ms
        return sent_ms + max(delay_ms, limits.min_delay_ms)

    def choose_hedge(
        self,
        now_ms: float,
        group: str,
        sent_ms: float,
        deadline_ms: float,
        targets: list[Target],
    ) -> str | None:
        """Return the upstream to hedge to and spend a token, or None for no hedge.

        `targets` are the other replicas, most preferred first; `deadline_ms` is a point in time.
        """
        due_ms = self.find_hedge_time(now_ms, group, sent_ms)
        if due_ms is None or now_ms < due_ms or now_ms >= deadline_ms:
            return None
        for target in targets:
            if target.can_take_hedge:
                return target.upstream if self._hedges.spend() else None
        return None

    def refund_hedge(self) -> None:
        """Refund the token of a hedge that was refused before it reached an upstream."""
        self._hedges.refund()

    def permit_retry(self) -> bool:
        """Spend a retry token; return False if retries would exceed their budget."""
        return self._retries.spend()

    def remove_group(self, group: str) -> None:
        """Remove the latencies of a group that no longer exists."""
        self._windows.pop(group, None)
        self._last_delays_ms.pop(group, None)
