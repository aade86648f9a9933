"""Bounds the calls of all instances to a version under trial, without messages between them.

The version may get a share of all requests that reach its service, plus a fixed number, the slack.
Each instance stays within that share of the calls that its own upstreams have answered, so that the
sum over any set of instances, connected or not, stays within it too. The slack is divided among the
instances.
"""

from typing import NamedTuple

# Share of the allowed calls that is used: some calls are counted here and reach no upstream.
USED_SHARE = 0.9
# Share of the slack that is divided among the instances. The rest covers instances with an outdated
# membership view, and calls from before the order was known.
USED_SLACK = 0.5
# Share of the divided slack that may be used at once. The rest becomes available evenly over the
# roll-out, so that a version that turns bad late is still called on a service with little load.
FIRST_SLACK = 0.3
# Share of the allowed calls that is used before the move. The rest is saved for the move, which
# puts the version under the full load before the other versions stop.
TRIAL_SHARE = 0.4


class ExposureLimits(NamedTuple):
    """A bad version gets at most `share` of all requests of its service, plus `slack`."""

    share: float
    slack: float


class Exposure:
    """Counts one instance's calls to a service and those to the version under trial."""

    def __init__(self, limits: ExposureLimits, slack_share: float, rounding: float) -> None:
        """Set this instance's share of the slack, and its `rounding`, from 0 to 1.

        With many instances, the share of each is less than one call. Their roundings are spread
        evenly over 0 to 1, so that the sum of the rounded numbers is near that of the exact ones.
        """
        self._limits = limits
        self._slack = USED_SLACK * limits.slack * slack_share
        self._rounding = rounding
        self.answered = 0
        self.sent = 0

    def permits(self, is_moving: bool, elapsed_share: float) -> bool:
        """Return whether one more call may go to the version under trial.

        `elapsed_share` is the share (0 to 1) of the roll-out's duration that has passed.
        """
        slack = self._slack * min(1.0, FIRST_SLACK + (1.0 - FIRST_SLACK) * elapsed_share)
        used_share = USED_SHARE * (1.0 if is_moving else TRIAL_SHARE)
        allowed = slack + used_share * self._limits.share * self.answered
        return self.sent + 1 <= allowed + self._rounding
