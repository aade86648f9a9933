"""Time of a request's objective that passes outside this instance.

Callers measure from before they look up an address and connect. A caller that states how long it
will wait counts that time down, so that its statement shows how much has passed. Times are in ms.
"""

from collections import deque

from .catalog import Route

# The last statements of a route's callers that are kept, how many of them must agree on the full
# time, and within which tolerance: callers round it, and one that waits longer proves nothing.
STATEMENT_COUNT = 32
MIN_AGREEING = 2
# With fewer statements the longest one counts: an instance that has just started has only a few,
# and its callers have just looked it up.
MIN_STATEMENTS_TO_AGREE = 8
AGREEMENT_TOLERANCE_MS = 2.0
# A request that appears to have lost more of its objective than this is a retry after a refusal,
# whose objective starts again, or its caller waits less long than others.
MAX_ELAPSED_SHARE = 0.4


class CallerTimes:
    """Estimates the time before a request arrived and on the way of its answer, by route."""

    def __init__(self) -> None:
        self._stated_ms: dict[str, deque[float]] = {}

    def estimate_outside_ms(
        self, route: Route, stated_ms: float | None, round_trip_ms: float, is_first: bool
    ) -> float:
        """Record a request and return how much of its objective passes outside this instance.

        `stated_ms` is how long the caller will wait from when it sent the request, if it says so.
        `is_first` tells whether the request is the first one on its connection.
        """
        connect_ms = round_trip_ms if is_first else 0.0
        if stated_ms is None:
            return round_trip_ms + connect_ms
        stated = self._stated_ms.setdefault(route.name, deque(maxlen=STATEMENT_COUNT))
        stated.append(stated_ms)
        elapsed_ms = _find_full_time_ms(stated) - stated_ms
        if not connect_ms < elapsed_ms <= MAX_ELAPSED_SHARE * route.objective_ms:
            elapsed_ms = connect_ms
        return round_trip_ms + elapsed_ms

    def retain(self, route_names: set[str]) -> None:
        """Remove the statements of all other routes."""
        for name in self._stated_ms.keys() - route_names:
            del self._stated_ms[name]


def _find_full_time_ms(stated: deque[float]) -> float:
    """Return the longest time on which enough callers agree, or 0 without one."""
    longest_first = sorted(stated, reverse=True)
    if len(stated) < MIN_STATEMENTS_TO_AGREE:
        return longest_first[0]
    last = MIN_AGREEING - 1
    for longest_ms, agreeing_ms in zip(longest_first, longest_first[last:], strict=False):
        if longest_ms - agreeing_ms <= AGREEMENT_TOLERANCE_MS:
            return agreeing_ms
    return 0.0
