"""Estimates the part of a request's objective that passes outside this instance.

Callers measure the objective from before they look up an address and connect. A caller may state
its remaining timeout with the request; its difference from the full timeout, on which the callers
of a route agree, is the time that has passed. Times are in ms.
"""

from collections import deque

from .catalog import Route

# Number of the latest stated timeouts that are kept by route.
STATEMENT_COUNT = 32
# How many of them must agree on the full timeout, and within which tolerance, since callers round
# it: a single caller may have a longer timeout than the others.
MIN_AGREEING = 2
AGREEMENT_TOLERANCE_MS = 2.0
# With fewer statements the longest one counts: an instance that has just started has only a few,
# from callers that have just looked it up.
MIN_STATEMENTS_TO_AGREE = 8
# Where more than this share of the objective appears to have passed, the request is a retry after a
# refusal, whose objective starts again, or its caller has a shorter timeout than others.
MAX_ELAPSED_SHARE = 0.4


class CallerTimes:
    """Estimates the time before a request arrives and after its answer is sent, by route."""

    def __init__(self) -> None:
        self._stated_ms: dict[str, deque[float]] = {}

    def estimate_outside_ms(
        self, route: Route, stated_ms: float | None, round_trip_ms: float, is_first: bool
    ) -> float:
        """Record a request and return how much of its objective passes outside this instance.

        `stated_ms` is the timeout that the caller states, from when it sent the request, or None.
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
    """Return the longest stated timeout on which enough callers agree, or 0 without one."""
    longest_first = sorted(stated, reverse=True)
    if len(stated) < MIN_STATEMENTS_TO_AGREE:
        return longest_first[0]
    last = MIN_AGREEING - 1
    for longest_ms, agreeing_ms in zip(longest_first, longest_first[last:], strict=False):
        if longest_ms - agreeing_ms <= AGREEMENT_TOLERANCE_MS:
            return agreeing_ms
    return 0.0
