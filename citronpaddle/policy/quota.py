"""Request quotas of teams, enforced over all instances together.

Each instance counts all requests of a team that it knows of, its own and those that others report,
and admits a request without asking them while the quota is not used up. Reports are a few to a few
hundred ms old; the slack of the quota covers what others have admitted meanwhile. For an instance
that is cut off (partitioned from this one), its share of the quota and of the slack is reserved. A
regular report goes to the instances in use, a wide report to all. `docs/design/quotas.md` gives the
reasons. Times are in ms on one monotonic clock.
"""

import copy
from collections.abc import Callable, Collection, Iterator, Mapping
from typing import NamedTuple

from .catalog import Team
from .quotalimits import MS_PER_SECOND, WINDOW_SLACK_SHARE, QuotaLimits
from .quotapeers import START_MS, Admissions, QuotaPeers, QuotaReport
from .teamusage import TeamUsage

# Share that is added to a window while instances are cut off: some requests are admitted before a
# cut is detected.
CUT_WINDOW_SLACK_SHARE = 0.5
# Share of the slack that an instance may admit at once after its start.
START_SLACK_SHARE = 0.0625
# Admissions are reported at once when they reach this share of the burst that is left, assuming
# that each other reporting instance has as many unreported ones.
URGENT_BURST_SHARE = 1.0
# An instance reports regularly for this many windows after it was in use or admitted a request.
# The others learn meanwhile that it is not in use, so that none of them assumes that it is cut off.
REPORTED_WINDOWS = 2.0
# Upper bound of the entries of a report, so that it fits a datagram, and the size of an entry
# without its name.
MAX_REPORT_BYTES = 6_000
ENTRY_BYTES = 30
# Maximum number of instances that a report names as missed; their names share its datagram.
MAX_MISSED = 24
# Maximum number of counted teams that are not configured here: others may have a newer
# configuration.
MAX_UNKNOWN_TEAMS = 256
# Interval of the reports to the instances in use. It grows with their number, so that an instance
# sends and receives at most 250 such reports per second.
REPORT_INTERVAL_MS = 250.0
REPORT_INTERVAL_PER_INSTANCE_MS = 4.0
# At least one report in this many is a wide one: instances that are not in use get few requests.
WIDE_REPORT_INTERVALS = 4
# An instance may be cut off if the latest report of it is older than this many intervals.
TIMEOUT_INTERVALS = 2
# After a cut, reports have to arrive for this many intervals until they are complete.
SETTLING_INTERVALS = 3


class QuotaState(NamedTuple):
    """What a decision about a request of a team was based on.

    All instances are known to have admitted `known` requests in the last window. `reserved` more
    are kept for the instances that are cut off, `cut_off` in number.
    """

    known: float
    reserved: float
    cut_off: int


class QuotaPreview(NamedTuple):
    """Room in the quota of a team: `tokens` are left, and one is due in `wait_ms` (0 if now)."""

    wait_ms: float
    tokens: float
    state: QuotaState


class Quotas:
    """Admits requests within the quotas of their teams, and reports them to other instances."""

    def __init__(self, limits: QuotaLimits, name: str, incarnation: str, now_ms: float) -> None:
        """Start without knowledge; `incarnation` differs at each start of instance `name`."""
        self.limits = limits
        self._name = name
        self._incarnation = incarnation
        self._started_ms = now_ms
        self._peers = QuotaPeers(name, now_ms)
        self._is_in_use = False
        self._in_use_since_ms = now_ms
        # Whether it is one of the instances among which a quota is shared while some are cut off.
        self._has_share = False
        self._in_use: list[str] = []
        self._silent: set[str] = set()
        self._usage: dict[str, TeamUsage] = {}
        self._teams: dict[str, Team] = {}
        # When this instance was last in use or admitted a request.
        self._active_ms = now_ms - REPORTED_WINDOWS * limits.window_ms
        self._active_since_ms = now_ms

    def set_teams(self, teams: Mapping[str, Team]) -> None:
        """Set the teams with a quota, by name."""
        self._teams = dict(teams)

    def set_expected(self, names: Collection[str], now_ms: float) -> None:
        """Set the instances that are expected to be in use, and update which of them are silent."""
        if not self._is_in_use:
            self._in_use_since_ms = now_ms
        self._is_in_use = self._name in names
        if self._is_in_use:
            self._record_activity(now_ms)
        self._peers.set_expected(names, now_ms)
        self._in_use = self._peers.list_in_use(now_ms)
        self._peers.timeout_ms = self._compute_timeout_ms(now_ms)
        self._peers.settling_ms = SETTLING_INTERVALS * self.report_interval_ms
        self._has_share = self._is_in_use and (self._has_share or self._may_take_share(now_ms))
        silent = self._peers.list_silent(now_ms)
        if self._silent - silent:
            # Those that report again have missed what was reported meanwhile.
            for usage in self._usage.values():
                usage.mark_unreported()
        self._silent = silent

    def _record_activity(self, now_ms: float) -> None:
        if not self.has_regular_reports(now_ms):
            self._active_since_ms = now_ms
        self._active_ms = now_ms

    def _compute_timeout_ms(self, now_ms: float) -> float:
        """Return the age in ms from which the latest report suggests that its sender is cut off.

        An instance that is not in use is sent wide reports only, until the others have received its
        regular reports.
        """
        interval_ms = self.report_interval_ms
        is_known = now_ms - self._active_since_ms >= SETTLING_INTERVALS * interval_ms
        if self._is_in_use or (is_known and self.has_regular_reports(now_ms)):
            return TIMEOUT_INTERVALS * interval_ms
        return (WIDE_REPORT_INTERVALS + 1) * interval_ms

    def _may_take_share(self, now_ms: float) -> bool:
        """Return whether the other instances can be assumed to know that this one is in use.

        An instance that is cut off from most others expects to be in use in their place.
        """
        if now_ms - self._started_ms < START_MS:
            return True
        if now_ms - self._in_use_since_ms < START_MS:
            return False
        return 2 * len(self._peers.list_cut_off(now_ms)) <= len(self._in_use)

    def list_receivers(self, now_ms: float) -> list[str]:
        """Return the names of the other instances in use, and of those that report."""
        return [*self._in_use, *self._peers.list_others_reporting(now_ms)]

    @property
    def report_interval_ms(self) -> float:
        """Return the interval of reports to the instances in use."""
        return max(REPORT_INTERVAL_MS, REPORT_INTERVAL_PER_INSTANCE_MS * (len(self._in_use) + 1))

    def admit(self, team: Team, now_ms: float) -> float:
        """Admit and count a request and return 0, or return in how many ms a token is expected."""
        if not team.has_quota:
            return 0.0
        usage = self._find_usage(team, now_ms)
        wait_ms = self._compute_wait_ms(usage, team, now_ms)
        if wait_ms > 0:
            rate_per_s = self.limits.compute_rate_per_s(team)
            return self._schedule_retry(usage, wait_ms, rate_per_s, now_ms)
        usage.debt += 1.0
        usage.admitted += 1.0
        usage.change_count(self._incarnation, 1.0, self.limits.window_ms, now_ms)
        self._record_activity(now_ms)
        return 0.0

    def preview(self, team: Team, now_ms: float) -> QuotaPreview:
        """Return what `admit` would find now, without counting a request."""
        usage = copy.deepcopy(self._usage.get(team.name)) or self._create_usage(team, now_ms)
        wait_ms = self._compute_wait_ms(usage, team, now_ms) if team.has_quota else 0.0
        tokens = self.limits.compute_burst(team) - usage.debt
        return QuotaPreview(wait_ms, tokens, self._describe(usage, team, now_ms))

    def _compute_wait_ms(self, usage: TeamUsage, team: Team, now_ms: float) -> float:
        """Return after how many ms the quota has room for one more request, 0 if it has now."""
        rate_per_s = self.limits.compute_rate_per_s(team)
        # Other instances may have used the tokens of the time since their latest reports.
        usage.refill(rate_per_s, self._peers.find_covered_ms(now_ms))
        missing = usage.debt + 1.0 - self.limits.compute_burst(team)
        wait_ms = max(0.0, missing) * MS_PER_SECOND / rate_per_s
        state = self._describe(usage, team, now_ms)
        if state.known + state.reserved + 1.0 > self._compute_ceiling(team, state.reserved > 0):
            release_ms = usage.find_release_ms(now_ms)
            # Without any, the quota is reserved for others, one of which may admit a retry sooner.
            window_wait_ms = self.report_interval_ms if release_ms is None else release_ms - now_ms
            wait_ms = max(wait_ms, window_wait_ms)
        return wait_ms

    def _schedule_retry(
        self, usage: TeamUsage, wait_ms: float, rate_per_s: float, now_ms: float
    ) -> float:
        """Return in how many ms a token is expected that no earlier refusal has stated.

        Every instance in use is assumed to refuse as many requests as this one, so that a refusal
        counts as one token for each of them.
        """
        retry_ms = max(now_ms + wait_ms, usage.next_retry_ms)
        retry_ms = min(retry_ms, now_ms + max(wait_ms, self.limits.window_ms))
        usage.next_retry_ms = retry_ms + MS_PER_SECOND * (len(self._in_use) + 1) / rate_per_s
        return retry_ms - now_ms

    def give_back(self, team: Team, admitted_ms: float, now_ms: float) -> None:
        """Put back the token of a request that was admitted at `admitted_ms` and has not run."""
        usage = self._usage.get(team.name)
        if usage is None or not team.has_quota:
            return
        usage.refill(self.limits.compute_rate_per_s(team), self._peers.find_covered_ms(now_ms))
        if admitted_ms >= usage.full_ms:
            usage.debt = max(0.0, usage.debt - 1.0)
        usage.admitted -= 1.0
        if now_ms - admitted_ms < self.limits.window_ms:
            usage.change_count(self._incarnation, -1.0, self.limits.window_ms, now_ms)

    def describe(self, team: Team, now_ms: float) -> QuotaState:
        """Return what a decision about a request of the team is based on."""
        return self._describe(self._find_usage(team, now_ms), team, now_ms)

    def apply(self, sender: str, report: QuotaReport, now_ms: float) -> None:
        """Count the requests that `sender`, another instance, reports."""
        window_ms = self.limits.window_ms
        for change in self._peers.apply(sender, report, window_ms, now_ms):
            team = self._teams.get(change.team)
            if team is not None:
                self._apply_admissions(team, report.incarnation, change, now_ms)
            else:
                self._apply_unknown(report.incarnation, change, now_ms)

    def _apply_unknown(self, incarnation: str, change: Admissions, now_ms: float) -> None:
        """Count requests of a team that is not configured here, for the window alone.

        Without a rate, no tokens are refilled: a debt would only grow.
        """
        usage = self._usage.get(change.team)
        if usage is None:
            # Just after the start, the burst of any team counts as used when it becomes known.
            is_starting = now_ms - self._started_ms < self.limits.window_ms
            unknown = len(self._usage.keys() - self._teams.keys())
            if is_starting or unknown >= MAX_UNKNOWN_TEAMS:
                return
            usage = self._usage[change.team] = TeamUsage(0.0, now_ms)
        usage.change_count(incarnation, change.count, self.limits.window_ms, now_ms)

    def _apply_admissions(
        self, team: Team, incarnation: str, change: Admissions, now_ms: float
    ) -> None:
        usage = self._find_usage(team, now_ms)
        usage.refill(self.limits.compute_rate_per_s(team), self._peers.find_covered_ms(now_ms))
        count = change.count
        window_ms = self.limits.window_ms
        if change.gap_ms > window_ms:
            # Admitted over the whole gap, of which only the last window counts.
            recent = count * window_ms / change.gap_ms
            share = self._compute_share(now_ms)
            count = min(count, max(recent, share * self._compute_ceiling(team, is_cut=True)))
        usage.change_count(incarnation, count, window_ms, now_ms)
        debt = max(0.0, usage.debt + count)
        if change.gap_ms > self._peers.timeout_ms:
            # The tokens of the time in which the other was cut off are refilled already.
            debt = min(debt, max(usage.debt, self.limits.compute_burst(team)))
        usage.debt = debt

    def is_report_urgent(self, team: Team, now_ms: float) -> bool:
        """Return whether unreported requests of the team may use up what is left of its burst."""
        usage = self._usage.get(team.name)
        if usage is None:
            return False
        reported = max(usage.reported or 0.0, usage.reported_in_use or 0.0)
        room = self.limits.compute_burst(team) - usage.debt
        senders = len(self.list_receivers(now_ms)) + 1
        return (usage.admitted - reported) * senders >= URGENT_BURST_SHARE * room

    def has_regular_reports(self, now_ms: float) -> bool:
        """Return whether this instance reports regularly, as it does for `REPORTED_WINDOWS`."""
        is_recent = now_ms - self._active_ms < REPORTED_WINDOWS * self.limits.window_ms
        return bool(self._teams) and is_recent

    def is_wide_report_due(self) -> bool:
        """Return whether all instances need the next report: a team has used half of its burst."""
        return any(
            usage.admitted != usage.reported
            and name in self._teams
            and 2 * usage.debt >= self.limits.compute_burst(self._teams[name])
            for name, usage in self._usage.items()
        )

    def make_report(self, now_ms: float) -> QuotaReport:
        """Return a report for the instances in use: the counts changed since the last report."""
        counts: list[tuple[str, float]] = []
        for name, usage in self._limit_bytes(
            lambda usage: usage.admitted not in (usage.reported, usage.reported_in_use)
        ):
            usage.reported_in_use = usage.admitted
            counts.append((name, usage.admitted))
        return self._make_report(counts, now_ms)

    def make_wide_report(self, now_ms: float) -> QuotaReport:
        """Return a report for all instances: the counts changed since the last wide report."""
        for name, usage in list(self._usage.items()):
            usage.remove_empty_counts(now_ms)
            # Own requests stay, for a report counts all since the start.
            if name not in self._teams and not usage.counts and not usage.admitted:
                del self._usage[name]
        counts: list[tuple[str, float]] = []
        for name, usage in self._limit_bytes(lambda usage: usage.admitted != usage.reported):
            usage.reported = usage.reported_in_use = usage.admitted
            counts.append((name, usage.admitted))
        return self._make_report(counts, now_ms)

    def _limit_bytes(
        self, is_changed: Callable[[TeamUsage], bool]
    ) -> Iterator[tuple[str, TeamUsage]]:
        """Yield changed counts until a report is full; the others stay for the next one."""
        size = 0
        for name, usage in self._usage.items():
            if is_changed(usage):
                size += ENTRY_BYTES + len(name)
                if size > MAX_REPORT_BYTES:
                    return
                yield name, usage

    def _make_report(self, counts: list[tuple[str, float]], now_ms: float) -> QuotaReport:
        uptime_ms = now_ms - self._started_ms
        missed = tuple(self._peers.list_missed(now_ms))[:MAX_MISSED]
        return QuotaReport(self._incarnation, uptime_ms, tuple(counts), missed, self._is_in_use)

    def _find_usage(self, team: Team, now_ms: float) -> TeamUsage:
        usage = self._usage.get(team.name)
        if usage is None:
            usage = self._usage[team.name] = self._create_usage(team, now_ms)
        return usage

    def _create_usage(self, team: Team, now_ms: float) -> TeamUsage:
        # An instance that has just started does not know what was admitted before; all may have
        # been restarted. The burst counts as used at the start.
        uptime_ms = now_ms - self._started_ms
        debt = 0.0
        if uptime_ms < self.limits.window_ms:
            refilled = self.limits.compute_rate_per_s(team) * uptime_ms / MS_PER_SECOND
            at_start = START_SLACK_SHARE * self.limits.compute_slack(team)
            debt = max(0.0, self.limits.compute_burst(team) - at_start - refilled)
        return TeamUsage(debt, now_ms)

    def _compute_share(self, now_ms: float) -> float:
        """Return the share (0 to 1) of a quota for each instance that is cut off."""
        in_use = len(self._peers.list_in_use(now_ms)) + self._has_share
        return 1.0 / max(1, in_use)

    def _compute_ceiling(self, team: Team, is_cut: bool) -> float:
        """Return the maximum number of admitted requests in a window, lower during a cut."""
        share = CUT_WINDOW_SLACK_SHARE if is_cut else WINDOW_SLACK_SHARE
        slack = share * self.limits.compute_slack(team)
        return max(1.0, self.limits.compute_quota(team) + slack)

    def _describe(self, usage: TeamUsage, team: Team, now_ms: float) -> QuotaState:
        cut_off = self._peers.list_cut_off(now_ms)
        if not cut_off:
            return QuotaState(usage.count_all(now_ms), 0.0, 0)
        ceiling = self._compute_ceiling(team, is_cut=True)
        share = self._compute_share(now_ms)
        reserved = sum(
            max(0.0, share * ceiling - usage.count(incarnation, now_ms)) for incarnation in cut_off
        )
        # An instance that is not in use has at most about one request that it could not report.
        lost = self._peers.list_lost(now_ms)
        reserved += sum(usage.count(incarnation, now_ms) > 0 for incarnation in lost)
        return QuotaState(usage.count_all(now_ms), reserved, len(cut_off))
