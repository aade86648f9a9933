"""Adaptive concurrency limit of a service whose upstreams reject calls for lack of capacity.

The limit is reduced by a factor after rejections and grows by a constant with replies. It handles
upstreams whose queues are full, because of this instance's calls or those of others: without a
limit each call would be rejected and sent again. Times are in ms on one monotonic clock.
"""

import math

# Factor of the open calls that is the limit after a rejection, and the minimum time between such
# reductions: calls that were sent before the first one are rejected together.
_LIMIT_REDUCTION = 0.7
_REDUCTION_INTERVAL_MS = 100.0
# A limit ends this long after the last rejection.
_LIMIT_LIFETIME_MS = 2_000.0


class CallLimit:
    """Limit of the open calls to a service whose upstreams reject calls for lack of capacity."""

    def __init__(self) -> None:
        self._limit: float | None = None
        self._reduced_ms = -math.inf
        self._rejected_ms = -math.inf

    def read(self, now_ms: float) -> int | None:
        """Return the limit, or None if there is none; end one without recent rejections."""
        if self._limit is not None and now_ms - self._rejected_ms > _LIMIT_LIFETIME_MS:
            self._limit = None
        return None if self._limit is None else int(self._limit)

    def record_rejection(self, open_calls: int, now_ms: float) -> None:
        """Reduce the limit, unless it was reduced within `_REDUCTION_INTERVAL_MS`."""
        self._rejected_ms = now_ms
        if now_ms - self._reduced_ms >= _REDUCTION_INTERVAL_MS:
            self._reduced_ms = now_ms
            self._limit = max(1.0, _LIMIT_REDUCTION * open_calls)

    def record_reply(self) -> None:
        """Raise the limit: by one after as many replies as it permits open calls."""
        if self._limit is not None:
            self._limit += 1.0 / self._limit
