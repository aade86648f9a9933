"""Which instances callers are told to use when there are more than the load needs.

Few instances with much traffic each have warm connections and fresh knowledge of the upstreams;
ninety with a query every four seconds have neither. A query over many shards takes processor time
at the one instance that serves it, so the strongest are used first. When those in use lack
processor time, more are used at once; they get fewer again after a calm time. Times are in ms.
"""

from collections.abc import Iterable

from .members import MIN_NEAR, Member
from .rendezvous import rank_candidates

# A failure domain with this many instances or fewer uses all of them.
SMALL_DOMAIN = 8
# In a larger one, those in use have this many cores together. It is what eight of the weakest
# instances known have, which bore the load of their domain in measurements.
MIN_CORES = 4.0
# The part of limits over all instances that those in use share; the others get few requests, from
# callers with old lists.
ACTIVE_PART = 0.8
# Timers that fire later than this tell of a lack of processor time.
STRAIN_MS = 15.0
# After this time without strain, half of the cores that were added are enough again.
CALM_MS = 30_000.0
# How often instances in use report their strain to the others of their domain.
REPORT_INTERVAL_MS = 500.0
# One that has missed three reports is not named to callers, long before its lease has ended.
SILENT_MS = 1_600.0
# What an instance reported is forgotten after this time: it may not be in use any more.
MEMORY_MS = 10_000.0
# How often the number of instances is looked at: callers need some time to follow.
REVIEW_MS = 1_000.0


class ActiveSet:
    """The instances in use by failure domain, the same wherever the same reports have come in."""

    def __init__(self) -> None:
        # The cores wanted by failure domain.
        self._wanted: dict[str, float] = {}
        self._silent: set[str] = set()
        self._reports: dict[str, tuple[float, float]] = {}
        self._changed_ms: dict[str, float] = {}
        self._reviewed_ms = 0.0

    def compute_share(self, own: str, members: Iterable[Member], names: Iterable[str]) -> float:
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

    def record_loop_lag(self, name: str, strain_ms: float, now_ms: float) -> None:
        """Take over how late timers fire at an instance; it is also a sign of life."""
        self._reports[name] = (now_ms, strain_ms)

    def choose(self, members: Iterable[Member]) -> list[Member]:
        """Return the members in use."""
        by_domain: dict[str, list[Member]] = {}
        for member in members:
            by_domain.setdefault(member.domain, []).append(member)
        chosen: list[Member] = []
        for domain, group in by_domain.items():
            if len(group) <= SMALL_DOMAIN:
                chosen += group
            else:
                chosen += self._choose_strongest(domain, group)
        return chosen

    def _choose_strongest(self, domain: str, group: list[Member]) -> list[Member]:
        """Return the strongest instances of a domain that report, as many as are wanted."""
        # A hash decides among equals, the same everywhere.
        order = {
            name: rank for rank, name in enumerate(rank_candidates(domain, self._names(group)))
        }
        group = sorted(group, key=lambda member: (-member.cores, order[member.name]))
        heard = [member for member in group if member.name not in self._silent]
        wanted = self._wanted.get(domain, MIN_CORES)
        chosen: list[Member] = []
        cores = 0.0
        for member in heard or group:
            if cores >= wanted and len(chosen) >= MIN_NEAR:
                break
            chosen.append(member)
            cores += member.cores
        return chosen

    @staticmethod
    def _names(group: Iterable[Member]) -> set[str]:
        return {member.name for member in group}

    def review(self, members: Iterable[Member], now_ms: float) -> None:
        """Leave silent instances out, use more where those in use are strained, fewer in calm."""
        self._reports = {
            name: report for name, report in self._reports.items() if now_ms - report[0] < MEMORY_MS
        }
        self._silent = {
            name for name, report in self._reports.items() if now_ms - report[0] > SILENT_MS
        }
        if now_ms - self._reviewed_ms < REVIEW_MS:
            return
        self._reviewed_ms = now_ms
        members = list(members)
        strained: dict[str, list[bool]] = {}
        for member in self.choose(members):
            report = self._reports.get(member.name)
            if report is not None:
                strained.setdefault(member.domain, []).append(report[1] > STRAIN_MS)
        cores: dict[str, float] = {}
        for member in members:
            cores[member.domain] = cores.get(member.domain, 0.0) + member.cores
        for domain, total in cores.items():
            self._adapt(domain, total, strained.get(domain, []), now_ms)

    def _adapt(self, domain: str, total: float, strained: list[bool], now_ms: float) -> None:
        wanted = self._wanted.get(domain, MIN_CORES)
        # One strained instance may be a slow machine; a third of them tells of the load.
        if strained and 3 * sum(strained) >= len(strained):
            wanted = min(max(total, MIN_CORES), 2 * wanted)
            self._changed_ms[domain] = now_ms
        elif now_ms - self._changed_ms.get(domain, now_ms) >= CALM_MS:
            wanted = max(MIN_CORES, wanted / 2)
            self._changed_ms[domain] = now_ms
        self._wanted[domain] = wanted
