"""Selection of the instances advertised to callers when there are more than the load needs.

A few instances with much traffic each have warm connections and recent statistics of the upstreams;
ninety with a query every four seconds have neither. A query over many shards uses CPU time at the
one instance that serves it, so those with the most cores are used first. When the instances in use
lack CPU time, more are used at once; after a stable period the number shrinks again. Times are in
ms.
"""

from collections.abc import Iterable

from .members import MIN_LOCAL_MEMBERS, Member
from .rendezvous import rank_candidates

# A failure domain with at most this many instances uses all of them.
SMALL_DOMAIN = 8
# Minimum total cores of the instances in use in a larger domain: eight of the weakest known
# instances have as many, and they sustained the load of their domain in measurements.
MIN_CORES = 4.0
# Share of the global limits that the instances in use divide among themselves; the others get few
# requests, from callers with outdated lists.
ACTIVE_SHARE = 0.8
# Event loop lag above this value indicates a lack of CPU time.
LOOP_LAG_THRESHOLD_MS = 15.0
# After this time without overload, the wanted cores are halved, down to the minimum.
STABLE_PERIOD_MS = 30_000.0
# Interval at which instances in use report their loop lag to the others of their domain.
REPORT_INTERVAL_MS = 500.0
# An instance that has missed three reports is not advertised to callers; its lease ends much later.
REPORT_TIMEOUT_MS = 1_600.0
# A report is dropped after this time: its instance may no longer be in use.
REPORT_RETENTION_MS = 10_000.0
# Reports of at most this many senders are kept, since a datagram may name any sender.
MAX_REPORTS = 4_096
# Interval between changes of the number of instances: callers follow with a delay.
REVIEW_INTERVAL_MS = 1_000.0
# The set grows when at least one in this many reporting instances in use is overloaded.
OVERLOADED_DIVISOR = 3


class ActiveSet:
    """Instances in use by failure domain; instances with the same reports select the same set."""

    def __init__(self) -> None:
        # Total cores that should be in use, by failure domain.
        self._wanted_cores: dict[str, float] = {}
        self._not_reporting: set[str] = set()
        # Time of the latest report and the loop lag reported, both in ms, by instance.
        self._reports: dict[str, tuple[float, float]] = {}
        self._changed_ms: dict[str, float] = {}
        self._reviewed_ms = 0.0

    def compute_share(self, own: str, members: Iterable[Member], names: Iterable[str]) -> float:
        """Return the share (0 to 1) of global limits for `own`; all shares sum to at most 1.

        `names` are all instances that may call upstreams; those in use get most of the limits.
        """
        names = set(names)
        active = {member.name for member in self.choose(members)} & names
        if not active or len(active) == len(names):
            return 1.0 / max(1, len(names))
        if own in active:
            return ACTIVE_SHARE / len(active)
        return (1.0 - ACTIVE_SHARE) / (len(names) - len(active))

    def record_loop_lag(self, name: str, loop_lag_ms: float, now_ms: float) -> None:
        """Record the event loop lag reported by an instance, which also proves it alive."""
        if name in self._reports or len(self._reports) < MAX_REPORTS:
            self._reports[name] = (now_ms, loop_lag_ms)

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
        """Return the instances with the most cores that report, up to the wanted cores."""
        # Rendezvous hashing breaks ties identically at every instance.
        order = {
            name: rank for rank, name in enumerate(rank_candidates(domain, self._names(group)))
        }
        group = sorted(group, key=lambda member: (-member.cores, order[member.name]))
        reporting = [member for member in group if member.name not in self._not_reporting]
        wanted_cores = self._wanted_cores.get(domain, MIN_CORES)
        chosen: list[Member] = []
        cores = 0.0
        for member in reporting or group:
            if cores >= wanted_cores and len(chosen) >= MIN_LOCAL_MEMBERS:
                break
            chosen.append(member)
            cores += member.cores
        return chosen

    @staticmethod
    def _names(group: Iterable[Member]) -> set[str]:
        return {member.name for member in group}

    def review(self, members: Iterable[Member], now_ms: float) -> None:
        """Exclude instances that stopped reporting and adjust each domain's wanted cores."""
        self._reports = {
            name: report
            for name, report in self._reports.items()
            if now_ms - report[0] < REPORT_RETENTION_MS
        }
        self._not_reporting = {
            name for name, report in self._reports.items() if now_ms - report[0] > REPORT_TIMEOUT_MS
        }
        if now_ms - self._reviewed_ms < REVIEW_INTERVAL_MS:
            return
        self._reviewed_ms = now_ms
        members = list(members)
        overloaded: dict[str, list[bool]] = {}
        for member in self.choose(members):
            report = self._reports.get(member.name)
            if report is not None:
                overloaded.setdefault(member.domain, []).append(report[1] > LOOP_LAG_THRESHOLD_MS)
        cores: dict[str, float] = {}
        for member in members:
            cores[member.domain] = cores.get(member.domain, 0.0) + member.cores
        for domain, total in cores.items():
            self._adjust_wanted_cores(domain, total, overloaded.get(domain, []), now_ms)

    def _adjust_wanted_cores(
        self, domain: str, total: float, overloaded: list[bool], now_ms: float
    ) -> None:
        wanted_cores = self._wanted_cores.get(domain, MIN_CORES)
        # One overloaded instance may be a slow machine; a third of them indicates high load.
        if overloaded and OVERLOADED_DIVISOR * sum(overloaded) >= len(overloaded):
            wanted_cores = min(max(total, MIN_CORES), 2 * wanted_cores)
            self._changed_ms[domain] = now_ms
        elif now_ms - self._changed_ms.get(domain, now_ms) >= STABLE_PERIOD_MS:
            wanted_cores = max(MIN_CORES, wanted_cores / 2)
            self._changed_ms[domain] = now_ms
        self._wanted_cores[domain] = wanted_cores
