"""Decides when a query is answered without all of its shards, and how many of them it needs.

Times are in ms on one monotonic clock.
"""

from .catalog import Route

# Share of the objective reserved for merging the replies and for return delays, and its minimum.
ANSWER_MARGIN_SHARE = 0.03
ANSWER_MARGIN_MS = 5.0
# Maximum share of the objective that is reserved for answer overruns: a larger reserve would leave
# no time for the upstreams.
MAX_OVERRUN_SHARE = 0.2
# Multiple of the mean overrun that is reserved, up to that share.
OVERRUN_FACTOR = 2.0
# Tolerance when a count of parts is compared with a fractional minimum.
COVERAGE_TOLERANCE = 1e-9


def find_soft_deadline_ms(
    route: Route, received_ms: float, outside_ms: float, mean_overrun_ms: float
) -> float:
    """Return until when the answer waits for more shards, so that it meets the objective.

    `outside_ms` is the part of the objective that passes outside this instance, `mean_overrun_ms`
    the mean time by which answers were decided after their soft deadline.
    """
    # The mean overrun counts twice: a busy instance also reads requests about as late as it
    # decides on their answers.
    margin_ms = max(ANSWER_MARGIN_MS, ANSWER_MARGIN_SHARE * route.objective_ms)
    margin_ms += min(OVERRUN_FACTOR * mean_overrun_ms, MAX_OVERRUN_SHARE * route.objective_ms)
    return received_ms + route.objective_ms - outside_ms - margin_ms


def meets_min_coverage(route: Route, count: int, total: int) -> bool:
    """Return whether `count` of `total` shards suffice for an answer."""
    # Binary fractions round: 0.9 of 10 parts must not come out above 9.
    return count >= 1 and count >= route.min_coverage * total - COVERAGE_TOLERANCE
