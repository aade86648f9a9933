"""Request rates that overloaded upstreams name in their answers, divided among all instances.

Times are in ms on one monotonic clock.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

MS_PER_SECOND = 1_000.0
# Only an answer shows that a limit has ended, so all instances together send at least at this rate,
# however low the limit is.
MIN_RATE_PER_S = 0.1
# Share of a limit by which it must change to be logged and reported to other instances: an upstream
# may name another value in every answer.
MIN_REPORTED_CHANGE = 0.1


@dataclass(slots=True)
class _Limit:
    """The limit of one upstream: when it was last named, and the time of the next free permit."""

    rate_per_s: float
    named_ms: float
    next_ms: float


class RateLimits:
    """This instance's share of the rates that upstreams have named.

    Requests to a limited upstream are spaced evenly, without bursts. A permit may be reserved for
    a request that has to wait, so that the time of every waiting request is known.
    """

    def __init__(self, draw: Callable[[], float]) -> None:
        """Draw the time of each first permit with `draw`, so that instances are out of phase."""
        self._draw = draw
        self._share = 1.0
        self._limits: dict[str, _Limit] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def copy_for(self, upstream_ids: Iterable[str]) -> "RateLimits":
        """Return a copy with the limits of some upstreams; it draws no random numbers."""
        copied = RateLimits(lambda: 0.0)
        copied._share = self._share
        copied._limits = {
            name: replace(self._limits[name]) for name in upstream_ids if name in self._limits
        }
        return copied

    def set_share(self, share: float) -> None:
        """Set the share (above 0, up to 1) of every limit that this instance may use."""
        self._share = share

    def is_limited(self, upstream_id: str) -> bool:
        """Return whether the upstream names a limit."""
        return upstream_id in self._limits

    def record_answer(
        self,
        upstream_id: str,
        limit_per_s: float | None,
        called_ms: float,
        now_ms: float,
    ) -> bool:
        """Apply the limit that an answer names, or None; return whether it changed noticeably.

        An answer without a limit ends it, unless its call was sent before the limit was last named:
        answers of concurrent calls arrive in any order.
        """
        known = self._limits.get(upstream_id)
        if limit_per_s is None:
            if known is None or called_ms < known.named_ms:
                return False
            del self._limits[upstream_id]
            return True
        if known is None:
            first_ms = now_ms + self._draw() * self._compute_interval_ms(limit_per_s)
            self._limits[upstream_id] = _Limit(limit_per_s, now_ms, first_ms)
            return True
        known.named_ms = now_ms
        ratio = self._compute_interval_ms(limit_per_s) / self._compute_interval_ms(known.rate_per_s)
        known.next_ms = now_ms + max(0.0, known.next_ms - now_ms) * ratio
        change_per_s = abs(limit_per_s - known.rate_per_s)
        is_reported = change_per_s > MIN_REPORTED_CHANGE * known.rate_per_s
        known.rate_per_s = limit_per_s
        return is_reported

    def find_permit_ms(self, upstream_id: str, now_ms: float) -> float:
        """Return when the next request may be sent; it is `now_ms` for an unlimited upstream."""
        limit = self._limits.get(upstream_id)
        return now_ms if limit is None else max(now_ms, limit.next_ms)

    def take_permit(self, upstream_id: str, now_ms: float) -> float:
        """Consume the next permit and return its time."""
        permit_ms = self.find_permit_ms(upstream_id, now_ms)
        limit = self._limits.get(upstream_id)
        if limit is not None:
            limit.next_ms = permit_ms + self._compute_interval_ms(limit.rate_per_s)
        return permit_ms

    def remove_upstream(self, upstream_id: str) -> None:
        """Remove the limit of an upstream that is no longer listed or has restarted."""
        self._limits.pop(upstream_id, None)

    def _compute_interval_ms(self, rate_per_s: float) -> float:
        return MS_PER_SECOND / (max(rate_per_s, MIN_RATE_PER_S) * self._share)
