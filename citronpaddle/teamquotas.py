"""Applies the quotas of teams: exchanges reports with other instances, and logs refusals."""

import asyncio
from collections.abc import Callable, Collection, Iterable, Mapping

from .adapters.addresses import Address
from .adapters.eventlog import Event, EventLog
from .clock import Clock
from .policy.catalog import Catalog, Team
from .policy.quota import WIDE_REPORT_INTERVALS, QuotaPreview, Quotas
from .policy.quotalimits import QuotaLimits
from .policy.quotapeers import QuotaReport

# Delay of a report that others need at once: requests that arrive together share it.
PROMPT_DELAY_MS = 20.0
# A regular report may be sent this much before its time, since the interval of reviews varies.
INTERVAL_TOLERANCE_MS = 50.0
# A team without a refusal for this long is within its quota again.
REFUSAL_SPAN_MS = 10_000.0
# Teams over their quota that are shown in metrics and log lines; this bounds their number.
MAX_REFUSED_TEAMS = 32


class _Refusals:
    """The refusals of a team since it went over its quota."""

    def __init__(self) -> None:
        self.count = 0
        self.latest_ms = 0.0


class TeamQuotas:
    """The quotas at this instance; nothing is sent unless a team has one."""

    def __init__(
        self, clock: Clock, log: EventLog, limits: QuotaLimits, name: str, incarnation: str
    ) -> None:
        self._clock = clock
        self._log = log
        self._quotas = Quotas(limits, name, incarnation, clock.now_ms())
        self._catalog: Catalog | None = None
        self._send: Callable[[QuotaReport, Iterable[Address]], None] = lambda report, to: None
        # The addresses of the other instances by name.
        self._addresses: dict[str, Address] = {}
        self._is_prompt_scheduled = False
        self._reported_ms = 0.0
        self._reports = 0
        self._refused: dict[str, _Refusals] = {}

    def set_sender(self, send: Callable[[QuotaReport, Iterable[Address]], None]) -> None:
        """Set the function that sends a report to addresses."""
        self._send = send

    def set_limits(self, limits: QuotaLimits) -> None:
        """Apply limits that may change while the instance runs."""
        self._quotas.limits = limits

    def set_catalog(self, catalog: Catalog | None) -> None:
        """Apply the quotas of a configuration; it is called after every change of the state."""
        if catalog is self._catalog:
            return
        self._catalog = catalog
        teams = catalog.teams if catalog else ()
        self._quotas.set_teams({team.name: team for team in teams if team.has_quota})

    def admit(self, team: Team) -> float:
        """Count a request and return 0, or return after how many ms to retry it."""
        now_ms = self._clock.now_ms()
        wait_ms = self._quotas.admit(team, now_ms)
        if wait_ms > 0:
            self._record_refusal(team, wait_ms, now_ms)
        elif team.has_quota and not self._is_prompt_scheduled:
            if self._quotas.is_report_urgent(team, now_ms):
                self._is_prompt_scheduled = True
                loop = asyncio.get_running_loop()
                loop.call_later(PROMPT_DELAY_MS / 1_000, self._send_prompt_report)
        return wait_ms

    def preview(self, team: Team) -> QuotaPreview:
        """Return the room in the quota of a team, without counting a request."""
        return self._quotas.preview(team, self._clock.now_ms())

    def give_back(self, team: Team | None, admitted_ms: float) -> None:
        """Return the token of a request that was admitted and has not run."""
        if team is not None:
            self._quotas.give_back(team, admitted_ms, self._clock.now_ms())

    def apply(self, sender: str, report: QuotaReport) -> None:
        """Apply the report of another instance."""
        self._quotas.apply(sender, report, self._clock.now_ms())

    def review(self, in_use: Collection[str], addresses: Mapping[str, Address]) -> None:
        """Send a report if it is due.

        `in_use` are the instances that callers are sent to, as far as is known; `addresses` are of
        all other instances.
        """
        now_ms = self._clock.now_ms()
        self._addresses = dict(addresses)
        self._quotas.set_expected(in_use, now_ms)
        interval_ms = self._quotas.report_interval_ms - INTERVAL_TOLERANCE_MS
        if now_ms - self._reported_ms < interval_ms or not self._quotas.has_regular_reports(now_ms):
            return
        self._reported_ms = now_ms
        self._reports += 1
        if self._reports % WIDE_REPORT_INTERVALS == 0 or self._quotas.is_wide_report_due():
            self._send(self._quotas.make_wide_report(now_ms), self._addresses.values())
        else:
            self._send(self._quotas.make_report(now_ms), self._list_receivers(now_ms))

    def count_refused(self) -> dict[str, int]:
        """Return how many requests of each team were refused since it went over its quota."""
        self._forget_refusals(self._clock.now_ms())
        return {name: refusals.count for name, refusals in self._refused.items()}

    def _send_prompt_report(self) -> None:
        self._is_prompt_scheduled = False
        now_ms = self._clock.now_ms()
        self._send(self._quotas.make_report(now_ms), self._list_receivers(now_ms))

    def _list_receivers(self, now_ms: float) -> list[Address]:
        names = self._quotas.list_receivers(now_ms)
        return [self._addresses[name] for name in names if name in self._addresses]

    def _record_refusal(self, team: Team, wait_ms: float, now_ms: float) -> None:
        """Count a refusal, and log it if the team was within its quota before."""
        self._forget_refusals(now_ms)
        refusals = self._refused.get(team.name)
        if refusals is None:
            if len(self._refused) >= MAX_REFUSED_TEAMS:
                return
            refusals = self._refused[team.name] = _Refusals()
            state = self._quotas.describe(team, now_ms)
            self._log.write(
                Event.TEAM_OVER_QUOTA,
                "teamquotas",
                team=team.name,
                rate_per_s=team.rate_per_s,
                burst=team.burst,
                admitted=round(state.known),
                kept_for_others=round(state.reserved, 1),
                instances_cut_off=state.cut_off,
                retry_ms=round(wait_ms),
            )
        refusals.count += 1
        refusals.latest_ms = now_ms

    def _forget_refusals(self, now_ms: float) -> None:
        for name, refusals in list(self._refused.items()):
            if now_ms - refusals.latest_ms >= REFUSAL_SPAN_MS:
                del self._refused[name]
