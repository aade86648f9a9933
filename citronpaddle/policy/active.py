"""Which instances callers are told to use when there are more than the load needs.

Few instances with much traffic each have warm connections and fresh knowledge of the upstreams;
ninety with a query every four seconds have neither. When the instances in use lack processor time,
more are used at once; they get fewer again after a calm time. Times are in ms.
"""

from collections.abc import Iterable

from .members import Member
from .rendezvous import rank_candidates

# In each failure domain at least this many instances are in use: the loss of one is no great loss.
MIN_ACTIVE = 8
# The part of limits over all instances that those in use share; the others get few requests, from
# callers with old lists.
ACTIVE_PART = 0.8
# Timers that fire later than this tell of a lack of processor time.
STRAIN_MS = 15.0
# After this time without strain, half of the instances that were added are enough again.
CALM_MS = 30_000.0
# What an instance said of its strain counts for this long.
REPORT_MS = 3_000.0
# How often the number of instances is looked at: callers need some time to follow.
REVIEW_MS = 1_000.0


class ActiveSet:
    """The instances in use by failure domain, the same wherever the same reports have come in."""

    def __init__(self) -> None:
        self._wanted: dict[str, int] = {}
        self._reports: dict[str, tuple[float, float]] = {}
        self._changed_ms: dict[str, float] = {}
        self._reviewed_ms = 0.0

    def measure_share(self, own: str, members: Iterable[Member], names: Iterable[str]) -> float:
        """Return the share of common limits for the instance `own`; all shares add up to 1 at most.

        `names` are all instances that may call upstreams; those in use get most of the limits.
        """
        names = set(names)
        active = {member.name for member in self.choose(members)} & names
        if not active or len(active) == len(names):
            return 1.0 / max(1, len(names))
        if own in active:
            return ACTIVE_PART / len(active)
        return (1.0 - ACTIVE_PART) / (len(names) - len(active))

    def note_strain(self, name: str, strain_ms: float, now_ms: float) -> None:
        """Take over how late timers fire at an instance."""
        self._reports[name] = (now_ms, strain_ms)

    def choose(self, members: Iterable[Member]) -> list[Member]:
        """Return the members in use."""
        by_domain: dict[str, dict[str, Member]] = {}
        for member in members:
            by_domain.setdefault(member.domain, {})[member.name] = member
        chosen: list[Member] = []
        for domain, group in by_domain.items():
            wanted = self._wanted.get(domain, MIN_ACTIVE)
            chosen += [group[name] for name in rank_candidates(domain, group)[:wanted]]
        return chosen

    def review(self, members: Iterable[Member], now_ms: float) -> None:
        """Use more instances where those in use are strained, and fewer after a calm time."""
        if now_ms - self._reviewed_ms < REVIEW_MS:
            return
        self._reviewed_ms = now_ms
        self._reports = {
            name: report for name, report in self._reports.items() if now_ms - report[0] < REPORT_MS
        }
        members = list(members)
        strained: dict[str, list[bool]] = {}
        for member in self.choose(members):
            report = self._reports.get(member.name)
            if report is not None:
                strained.setdefault(member.domain, []).append(report[1] > STRAIN_MS)
        sizes: dict[str, int] = {}
        for member in members:
            sizes[member.domain] = sizes.get(member.domain, 0) + 1
        for domain, size in sizes.items():
            self._adapt(domain, size, strained.get(domain, []), now_ms)

    def _adapt(self, domain: str, size: int, strained: list[bool], now_ms: float) -> None:
        wanted = self._wanted.get(domain, MIN_ACTIVE)
        # One strained instance may be a slow machine; a third of them tells of the load.
        if strained and 3 * sum(strained) >= len(strained):
            wanted = min(max(size, MIN_ACTIVE), 2 * wanted)
            self._changed_ms[domain] = now_ms
        elif now_ms - self._changed_ms.get(domain, now_ms) >= CALM_MS:
            wanted = max(MIN_ACTIVE, wanted // 2)
            self._changed_ms[domain] = now_ms
        self._wanted[domain] = wanted
