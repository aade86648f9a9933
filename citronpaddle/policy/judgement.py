"""Judges a new version of a service by the calls to it and to the other versions.

A call is bad if it has failed, was cancelled late or was much slower than the baseline. Calls are
compared only within a stratum: the same span of time, route and distance (own or another failure
domain). A burst or an outage affects the calls to all versions alike and thus does not count
against one. The strata are combined by a one-sided Cochran-Mantel-Haenszel test.
"""

from collections.abc import Iterable
from math import sqrt
from typing import NamedTuple

# Length of a span, and the number of spans for which calls are kept. Bursts and outages last a few
# seconds; over minutes, earlier good results would outweigh those of a version that turns bad.
SPAN_MS = 1_000.0
MAX_SPANS = 32
# The newest spans are also judged alone, to find a version that has just turned bad.
RECENT_SPANS = 6
# Calls to other versions that a stratum needs; with fewer, those of the adjacent spans are added.
MIN_OTHER_CALLS = 3
# Minimum number of spans with an excess of bad calls, and that excess in calls. One span is not
# enough: when a burst or an outage begins in it, more of the later calls may be the target's by
# chance.
MIN_BAD_SPANS = 2
MIN_SPAN_EXCESS = 0.5


class Stratum(NamedTuple):
    """Calls that are comparable; `span` is the Unix time divided by `SPAN_MS`.

    `is_remote` tells whether the upstream is in another failure domain than the caller's instance.
    """

    span: int
    route: str
    is_remote: bool


class CallCounts(NamedTuple):
    """Numbers of calls to the target version and to other versions, and of the bad among them."""

    target: int = 0
    target_bad: int = 0
    other: int = 0
    other_bad: int = 0

    def add(self, more: "CallCounts") -> "CallCounts":
        """Return the sums."""
        return CallCounts(*(one + another for one, another in zip(self, more, strict=True)))


class Tally:
    """The calls of one roll-out by stratum, of one instance or of all."""

    def __init__(self, rows: Iterable[tuple[Stratum, CallCounts]] = ()) -> None:
        self._counts: dict[Stratum, CallCounts] = {}
        for stratum, counts in rows:
            self.add(stratum, counts)

    def add(self, stratum: Stratum, counts: CallCounts) -> None:
        """Add calls to a stratum."""
        self._counts[stratum] = self._counts.get(stratum, CallCounts()).add(counts)

    def merge(self, other: "Tally") -> None:
        """Add all calls of another tally."""
        for stratum, counts in other.list_rows():
            self.add(stratum, counts)

    def remove_old_spans(self, newest_span: int) -> None:
        """Remove the spans that are too old to be judged."""
        oldest_span = newest_span - MAX_SPANS
        self._counts = {
            stratum: counts
            for stratum, counts in self._counts.items()
            if stratum.span > oldest_span
        }

    def list_rows(self) -> list[tuple[Stratum, CallCounts]]:
        """Return the counts by stratum."""
        return list(self._counts.items())

    def sum(self) -> CallCounts:
        """Return the counts over all strata."""
        total = CallCounts()
        for counts in self._counts.values():
            total = total.add(counts)
        return total

    def compare(self, strata: Iterable[Stratum]) -> "Comparison":
        """Compare the versions over `strata`."""
        comparison = Comparison()
        excess_by_span: dict[int, float] = {}
        for stratum in strata:
            counts = self._find_comparable(stratum)
            added = Comparison().add(counts)
            comparison = comparison.add(counts)
            excess = excess_by_span.get(stratum.span, 0.0) + added.bad - added.expected
            excess_by_span[stratum.span] = excess
        bad_spans = sum(excess >= MIN_SPAN_EXCESS for excess in excess_by_span.values())
        return comparison._replace(bad_spans=bad_spans)

    def list_strata(self) -> list[Stratum]:
        """Return the strata with calls to the target version."""
        return [stratum for stratum, counts in self._counts.items() if counts.target]

    def _find_comparable(self, stratum: Stratum) -> CallCounts:
        counts = self._counts[stratum]
        if counts.other >= MIN_OTHER_CALLS:
            return counts
        for span in (stratum.span - 1, stratum.span + 1):
            adjacent = self._counts.get(stratum._replace(span=span), CallCounts())
            counts = counts.add(CallCounts(other=adjacent.other, other_bad=adjacent.other_bad))
        return counts


class Comparison(NamedTuple):
    """Sums over strata of the calls to the target version and of the bad ones.

    `expected` and `variance` are those of the bad calls if the versions are equally good. Only
    strata with calls to both sides count, each by its `weight`. `bad_spans` is the number of spans
    with an excess of bad calls.
    """

    calls: int = 0
    bad: int = 0
    expected: float = 0.0
    variance: float = 0.0
    weight: float = 0.0
    bad_spans: int = 0

    def add(self, counts: CallCounts) -> "Comparison":
        """Return the sums with one more stratum."""
        if not counts.target or not counts.other:
            return self
        calls = counts.target + counts.other
        bad = counts.target_bad + counts.other_bad
        variance = counts.target * counts.other * bad * (calls - bad) / (calls**2 * (calls - 1))
        return Comparison(
            self.calls + counts.target,
            self.bad + counts.target_bad,
            self.expected + counts.target * bad / calls,
            self.variance + variance,
            self.weight + counts.target * counts.other / calls,
        )

    @property
    def score(self) -> float:
        """Return by how many standard deviations the bad calls exceed the expected ones."""
        # The half is the continuity correction.
        excess = self.bad - self.expected - 0.5
        return excess / sqrt(self.variance) if self.variance > 0 else 0.0

    @property
    def difference(self) -> float:
        """Return by how much the share of bad calls exceeds that of the other versions."""
        return (self.bad - self.expected) / self.weight if self.weight else 0.0


class Thresholds(NamedTuple):
    """Minimum values of a comparison; a version is bad if it reaches all of them.

    `bad` is a number of calls, `score` is in standard deviations, and `difference` is that between
    the shares (0 to 1) of bad calls.
    """

    bad: int
    score: float
    difference: float


# A running roll-out is judged several times a second and by many subsets of its calls, so that a
# false positive is more likely than in the one judgement at its end; its thresholds are higher.
RUNNING_THRESHOLDS = Thresholds(bad=4, score=4.0, difference=0.1)
FINAL_THRESHOLDS = Thresholds(bad=3, score=2.3, difference=0.05)


class Finding(NamedTuple):
    """Why a version is bad: the comparison, and a description of the calls that it covers."""

    scope: str
    comparison: Comparison


def find_fault(tally: Tally, newest_span: int, thresholds: Thresholds) -> Finding | None:
    """Return the strongest evidence that the target version is bad, or None.

    The calls are judged all together and by route, over all spans and over the newest ones.
    """
    by_scope: dict[str, list[Stratum]] = {}
    for stratum in tally.list_strata():
        is_recent = stratum.span > newest_span - RECENT_SPANS
        for route in ("all routes", f"route {stratum.route}"):
            by_scope.setdefault(route, []).append(stratum)
            if is_recent:
                by_scope.setdefault(f"{route}, newest", []).append(stratum)
    findings = [Finding(scope, tally.compare(strata)) for scope, strata in by_scope.items()]
    faults = [finding for finding in findings if _is_bad(finding.comparison, thresholds)]
    return max(faults, key=lambda finding: finding.comparison.score, default=None)


def _is_bad(comparison: Comparison, thresholds: Thresholds) -> bool:
    return (
        comparison.bad >= thresholds.bad
        and comparison.bad_spans >= MIN_BAD_SPANS
        and comparison.score >= thresholds.score
        and comparison.difference >= thresholds.difference
    )
