"""Limits of a team's requests over all instances, derived from its rate and burst."""

from typing import NamedTuple

from .catalog import Team

MS_PER_SECOND = 1_000.0
# Shares of the slack (what is tolerated beyond rate and burst) that are added to the burst and to
# the requests of a window, to refuse few requests below the limit. The rest covers requests that
# are not reported yet.
BURST_SLACK_SHARE = 0.25
WINDOW_SLACK_SHARE = 0.6


class QuotaLimits(NamedTuple):
    """Limits that apply to all quotas.

    In any `window_ms`, all instances together admit at most the rate times the window and the
    burst, this sum times `overshoot` more, and `slack` requests more.
    """

    window_ms: float = 5_000.0
    overshoot: float = 0.0
    slack: float = 0.0

    def compute_ceiling(self, team: Team) -> float:
        """Return the maximum number of requests of a team in a window.

        It is at least 1: with less, the team could not send any request.
        """
        return max(1.0, self.compute_quota(team) * (1.0 + self.overshoot) + self.slack)

    def compute_quota(self, team: Team) -> float:
        """Return the requests of a team in a window that are within its quota."""
        return team.rate_per_s * self.window_ms / MS_PER_SECOND + team.burst

    def compute_slack(self, team: Team) -> float:
        """Return the requests in a window that are tolerated beyond the quota."""
        return max(0.0, self.compute_ceiling(team) - self.compute_quota(team))

    def compute_burst(self, team: Team) -> float:
        """Return the burst that is admitted, in requests, at least one."""
        return max(1.0, team.burst + BURST_SLACK_SHARE * self.compute_slack(team))

    def compute_rate_per_s(self, team: Team) -> float:
        """Return the rate that is admitted, in requests per second."""
        extra = WINDOW_SLACK_SHARE * self.compute_slack(team)
        return team.rate_per_s + extra * MS_PER_SECOND / self.window_ms
