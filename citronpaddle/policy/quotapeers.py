"""The other instances that admit requests of the same teams, by their latest reports.

Every instance reports how many requests of each team it has admitted since its start. A report also
states the time since that start, from which the receiver computes how long the report was delayed:
after a pause, an instance receives reports that are seconds old. An instance is silent if reports
do not arrive from it or at it; it may be cut off (partitioned from this one) and still admit
requests. Times are in ms on one monotonic clock.
"""

from collections.abc import Collection, Iterable
from math import inf, isfinite
from typing import NamedTuple

# A silent instance that is not expected to be in use may still serve callers for this long.
PEER_RETENTION_MS = 30_000.0
# Within this time after its start, an instance receives a report from every instance in use.
START_MS = 2_000.0
# The smallest delay of a peer's reports is taken over one to two such spans, since clocks drift.
DELAY_SPAN_MS = 60_000.0
# A report with a count or a time (ms) of this size or more is malformed.
MAX_COUNT = 1e15


class Admissions(NamedTuple):
    """Requests of a team that another instance admitted in the `gap_ms` since its previous report.

    `count` is negative if requests that were reported before have not run.
    """

    team: str
    count: float
    gap_ms: float


class QuotaReport(NamedTuple):
    """One report: the sender's incarnation, the time since its start, and its counts by team.

    `counts` are requests since the start. The sender receives no reports from the instances
    `missed`.
    Callers are sent to it if it `is_in_use`.
    """

    incarnation: str
    uptime_ms: float
    counts: tuple[tuple[str, float], ...] = ()
    missed: tuple[str, ...] = ()
    is_in_use: bool = True


class QuotaPeer:
    """Another instance: whether it is in use, and what its latest report states."""

    def __init__(self, now_ms: float) -> None:
        self.incarnation = ""
        # Whether it is in use: by the list of instances, and by its own reports.
        self.is_expected = False
        self.is_in_use = False
        self._is_receiving = True
        self._created_ms = now_ms
        self.reported_ms = -inf
        # Since when reports have been arriving in both directions.
        self._resumed_ms = now_ms
        self._first_uptime_ms = 0.0
        self._counts: dict[str, float] = {}
        # The smallest difference between the clocks in the current span and in the previous one.
        self._min_offsets_ms = (inf, inf)
        self._span_started_ms = now_ms

    def has_reported(self, now_ms: float, timeout_ms: float) -> bool:
        """Return whether a report has arrived that was sent in the last `timeout_ms`."""
        return now_ms - self.reported_ms < timeout_ms

    def is_silent(self, now_ms: float, timeout_ms: float) -> bool:
        """Return whether reports do not arrive, in one direction or in both."""
        return not (self._is_receiving and self.has_reported(now_ms, timeout_ms))

    def is_connected(self, now_ms: float, timeout_ms: float, settling_ms: float) -> bool:
        """Return whether reports have arrived in both directions for at least `settling_ms`."""
        is_settled = now_ms - self._resumed_ms >= settling_ms
        return is_settled and not self.is_silent(now_ms, timeout_ms)

    def is_expired(self, now_ms: float) -> bool:
        """Return whether the instance is assumed not to admit requests any more."""
        seen_ms = max(self.reported_ms, self._created_ms)
        return not self.is_expected and now_ms - seen_ms >= PEER_RETENTION_MS

    def apply(
        self, report: QuotaReport, own_name: str, window_ms: float, timeout_ms: float, now_ms: float
    ) -> list[Admissions]:
        """Record a report and return what its sender has admitted since the one before."""
        was_silent = self.is_silent(now_ms, timeout_ms) or report.incarnation != self.incarnation
        if report.incarnation != self.incarnation:
            self.incarnation = report.incarnation
            self._counts = {}
            self._first_uptime_ms = report.uptime_ms
            self._min_offsets_ms = (inf, inf)
        sent_ms = now_ms - self._measure_delay_ms(report.uptime_ms, now_ms)
        gap_ms = min(sent_ms - self.reported_ms, report.uptime_ms)
        # Reports may overtake each other. Counts go down when requests are refused afterwards.
        if gap_ms < 0:
            return []
        self.reported_ms = sent_ms
        self.is_in_use = report.is_in_use
        self._is_receiving = own_name not in report.missed
        if was_silent or not self._is_receiving:
            self._resumed_ms = now_ms
        changes: list[Admissions] = []
        for team, count in report.counts:
            before = self._counts.get(team)
            if before is None:
                # What was admitted before the first report of an instance that has been running
                # for longer than a window is not known to be recent.
                before = 0.0 if self._first_uptime_ms < window_ms else count
            self._counts[team] = count
            if count != before:
                changes.append(Admissions(team, count - before, gap_ms))
        return changes

    def _measure_delay_ms(self, uptime_ms: float, now_ms: float) -> float:
        """Return how much longer than the fastest recent report this one took, in ms."""
        offset_ms = now_ms - uptime_ms
        current_ms, previous_ms = self._min_offsets_ms
        if now_ms - self._span_started_ms >= DELAY_SPAN_MS:
            self._span_started_ms = now_ms
            current_ms, previous_ms = offset_ms, current_ms
        current_ms = min(current_ms, offset_ms)
        self._min_offsets_ms = (current_ms, previous_ms)
        return offset_ms - min(current_ms, previous_ms)


class QuotaPeers:
    """All other instances that may admit requests.

    An instance whose latest report is older than `timeout_ms` may be cut off. When reports arrive
    again, it counts as cut off for `settling_ms` more, until both have sent all their counts.
    """

    def __init__(self, own_name: str, now_ms: float) -> None:
        self.timeout_ms = 0.0
        self.settling_ms = 0.0
        self._own_name = own_name
        self._started_ms = now_ms
        self._peers: dict[str, QuotaPeer] = {}

    def set_expected(self, names: Collection[str], now_ms: float) -> None:
        """Set the instances that this instance supposes to be in use."""
        for name, peer in list(self._peers.items()):
            peer.is_expected = name in names
            if peer.is_expired(now_ms):
                del self._peers[name]
        for name in names:
            if name != self._own_name and name not in self._peers:
                self._peers[name] = QuotaPeer(now_ms)
                self._peers[name].is_expected = True

    def list_in_use(self, now_ms: float) -> list[str]:
        """Return the names of the instances in use, those that are cut off included.

        What an instance reports of itself takes precedence. Instances that are expected to be in
        use and have never reported count only for `START_MS`, or if no instance has reported.
        """
        is_starting = now_ms - self._started_ms < START_MS
        is_alone = not any(peer.incarnation for peer in self._peers.values())
        return [
            name
            for name, peer in self._peers.items()
            if (peer.is_in_use if peer.incarnation else peer.is_expected)
            and (peer.incarnation or is_starting or is_alone)
        ]

    def apply(
        self, sender: str, report: QuotaReport, window_ms: float, now_ms: float
    ) -> list[Admissions]:
        """Record a report and return what its sender has admitted since the one before."""
        if sender == self._own_name or not is_valid(report):
            return []
        if sender not in self._peers:
            self._peers[sender] = QuotaPeer(now_ms)
        peer = self._peers[sender]
        return peer.apply(report, self._own_name, window_ms, self.timeout_ms, now_ms)

    def find_covered_ms(self, now_ms: float) -> float:
        """Return until when the requests of all instances in use that are not silent are known."""
        return min(
            (
                peer.reported_ms
                for peer in self._peers.values()
                if peer.is_in_use and not peer.is_silent(now_ms, self.timeout_ms)
            ),
            default=now_ms,
        )

    def list_lost(self, now_ms: float) -> list[str]:
        """Return the incarnations of the instances that are not in use and have become silent."""
        return [
            peer.incarnation
            for peer in self._peers.values()
            if peer.incarnation and not peer.is_in_use and peer.is_silent(now_ms, self.timeout_ms)
        ]

    def list_others_reporting(self, now_ms: float) -> list[str]:
        """Return the names of the instances that are not in use and report nevertheless."""
        return [
            name
            for name, peer in self._peers.items()
            if not peer.is_in_use and peer.has_reported(now_ms, self.timeout_ms)
        ]

    def list_cut_off(self, now_ms: float) -> list[str]:
        """Return the incarnations of the instances in use that may not receive reports."""
        return [
            self._peers[name].incarnation
            for name in self.list_in_use(now_ms)
            if not self._peers[name].is_connected(now_ms, self.timeout_ms, self.settling_ms)
        ]

    def list_silent(self, now_ms: float) -> set[str]:
        """Return the names of the instances that do not exchange reports with this one."""
        return {
            name for name, peer in self._peers.items() if peer.is_silent(now_ms, self.timeout_ms)
        }

    def list_missed(self, now_ms: float) -> Iterable[str]:
        """Return the names of the instances whose reports used to arrive and no longer do."""
        return [
            name
            for name, peer in self._peers.items()
            if peer.incarnation and not peer.has_reported(now_ms, self.timeout_ms)
        ]


def is_valid(report: QuotaReport) -> bool:
    """Return whether all numbers of a report are finite and below `MAX_COUNT` in size."""
    numbers = [report.uptime_ms, *(count for _, count in report.counts)]
    return all(isfinite(number) and -MAX_COUNT < number < MAX_COUNT for number in numbers)
