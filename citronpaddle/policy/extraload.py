"""Budget of extra calls (retries and hedges) per service, shared by all instances.

Times are in ms on one monotonic clock.
"""

from typing import NamedTuple

_BUCKET_MS = 500.0


class ExtraLoadLimits(NamedTuple):
    """In any `window_ms`, extra calls to a service stay within `ratio` x requests + `slack`.

    The bound is a sum over all instances; each may use its share of `slack`.
    """

    ratio: float
    slack: float
    window_ms: float


class _Window:
    """Ring buffer of the request and extra call counts of one service per `_BUCKET_MS`."""

    __slots__ = ("bucket", "extras", "requests")

    def __init__(self, size: int) -> None:
        self.requests = [0] * size
        self.extras = [0] * size
        self.bucket = 0

    def advance_to(self, bucket: int) -> None:
        size = len(self.requests)
        for number in range(max(self.bucket + 1, bucket - size + 1), bucket + 1):
            self.requests[number % size] = 0
            self.extras[number % size] = 0
        self.bucket = bucket


class ExtraLoad:
    """This instance's share of the budget.

    Most of the slack accrues over the first window after the start: the predecessor of this
    instance may have spent its share shortly before.
    """

    # Share of the slack available at the start. After a simultaneous start of all instances,
    # connections that upstreams still hold for the predecessors make some first calls fail, which
    # only a retry can repair.
    INITIAL_SLACK_SHARE = 0.25

    # The bound counts calls and requests at the upstreams, slightly later than this instance does.
    SAFETY_FACTOR = 0.9
    # Hedges may use this share of the budget: they only reduce latency, so the rest is reserved for
    # retries.
    HEDGE_SHARE = 0.85

    def __init__(self, limits: ExtraLoadLimits, started_ms: float) -> None:
        self._limits = limits
        self._started_ms = started_ms
        self._windows: dict[str, _Window] = {}
        # The current bucket and those of one full window before it.
        self._size = int(limits.window_ms / _BUCKET_MS) + 1
        self._slack_share = 0.0

    def set_share(self, share: float) -> None:
        """Set this instance's share of the slack (0 to 1); all shares sum to at most 1."""
        self._slack_share = share

    def set_limits(self, limits: ExtraLoadLimits) -> None:
        """Apply new limits; the window length changes only with a restart."""
        self._limits = limits

    def record_request(self, service: str, now_ms: float) -> None:
        """Record a request; its first call to `service` spends no budget."""
        window = self._get_window(service, now_ms)
        window.requests[window.bucket % self._size] += 1

    def spend(self, service: str, now_ms: float, is_hedge: bool) -> bool:
        """Spend one extra call to `service`; return False if the budget is exhausted."""
        if self.compute_remaining(service, now_ms, is_hedge) < 1.0:
            return False
        window = self._get_window(service, now_ms)
        window.extras[window.bucket % self._size] += 1
        return True

    def compute_remaining(self, service: str, now_ms: float, is_hedge: bool) -> float:
        """Return how many extra calls to `service` the budget currently permits."""
        window = self._get_window(service, now_ms)
        allowed = self._limits.ratio * sum(window.requests) + self._compute_slack(now_ms)
        allowed *= self.HEDGE_SHARE if is_hedge else 1.0
        return allowed * self.SAFETY_FACTOR - sum(window.extras)

    def _compute_slack(self, now_ms: float) -> float:
        elapsed_windows = (now_ms - self._started_ms) / self._limits.window_ms
        earned = min(
            1.0, self.INITIAL_SLACK_SHARE + (1.0 - self.INITIAL_SLACK_SHARE) * elapsed_windows
        )
        return self._limits.slack * earned * self._slack_share

    def _get_window(self, service: str, now_ms: float) -> _Window:
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _Window(self._size)
        window.advance_to(int(now_ms / _BUCKET_MS))
        return window

    def retain_services(self, keep: frozenset[str]) -> None:
        """Remove the counts of services other than `keep`."""
        for service in list(self._windows):
            if service not in keep:
                del self._windows[service]
