"""Use of one team's quota as this instance knows it. Times are in ms on one monotonic clock."""

from .quotalimits import MS_PER_SECOND
from .slidingcount import SlidingCount


class TeamUsage:
    """Use of one team's quota: a token bucket, and the requests of the last window by incarnation.

    `debt` is the number of tokens that the bucket lacks until it is full.
    """

    def __init__(self, debt: float, now_ms: float) -> None:
        self.debt = debt
        self.updated_ms = now_ms
        # When the bucket was last full.
        self.full_ms = now_ms
        self.counts: dict[str, SlidingCount] = {}
        self.next_retry_ms = 0.0
        # Own requests since the start, and how many of them are reported to all instances and to
        # those in use; None if a receiver has missed reports.
        self.admitted = 0.0
        self.reported: float | None = 0.0
        self.reported_in_use: float | None = 0.0

    def refill(self, rate_per_s: float, now_ms: float) -> None:
        """Add the tokens since the last update."""
        elapsed_ms = max(0.0, now_ms - self.updated_ms)
        self.updated_ms = max(now_ms, self.updated_ms)
        self.debt = max(0.0, self.debt - rate_per_s * elapsed_ms / MS_PER_SECOND)
        if self.debt == 0.0:
            self.full_ms = now_ms

    def change_count(
        self, incarnation: str, change: float, window_ms: float, now_ms: float
    ) -> None:
        """Add requests of an incarnation to the window, or remove some."""
        count = self.counts.get(incarnation)
        if count is None:
            count = self.counts[incarnation] = SlidingCount(window_ms)
        if change > 0:
            count.add(change, now_ms)
        else:
            count.remove(-change)

    def count(self, incarnation: str, now_ms: float) -> float:
        """Return the requests of an incarnation in the window."""
        count = self.counts.get(incarnation)
        return count.count(now_ms) if count is not None else 0.0

    def count_all(self, now_ms: float) -> float:
        """Return the requests of all incarnations in the window."""
        return sum(count.count(now_ms) for count in self.counts.values())

    def find_release_ms(self, now_ms: float) -> float | None:
        """Return when the next requests leave the window, or None if there are none."""
        releases_ms = [
            count.find_release_ms(now_ms) for count in self.counts.values() if count.count(now_ms)
        ]
        return min(releases_ms, default=None)

    def mark_unreported(self) -> None:
        """Mark the own requests as not reported, if there are any."""
        if self.admitted:
            self.reported = self.reported_in_use = None

    def remove_empty_counts(self, now_ms: float) -> None:
        """Remove the incarnations without a request in the window."""
        for incarnation, count in list(self.counts.items()):
            if not count.count(now_ms):
                del self.counts[incarnation]
