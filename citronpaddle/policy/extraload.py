"""The budget of extra calls (retries and hedges) that all instances share, per service.

Times are in ms on one monotonic clock.
"""

from typing import NamedTuple

_BUCKET_MS = 500.0


class ExtraLoadLimits(NamedTuple):
    """In any `window_ms`, extra calls to a service stay within `ratio` of requests + `slack`.

    The bound is a sum over all instances; `slack` is shared out evenly among them.
    """

    ratio: float
    slack: float
    window_ms: float


class _Window:
    """Requests and extra calls of one service in buckets of half a second."""

    __slots__ = ("bucket", "extras", "requests")

    def __init__(self, size: int) -> None:
        self.requests = [0] * size
        self.extras = [0] * size
        self.bucket = 0

    def move_to(self, bucket: int) -> None:
        size = len(self.requests)
        for number in range(max(self.bucket + 1, bucket - size + 1), bucket + 1):
            self.requests[number % size] = 0
            self.extras[number % size] = 0
        self.bucket = bucket


class ExtraLoad:
    """This instance's share of the budget.

    Most of the slack is earned over the first window after the start: a predecessor of this
    instance may have spent its share just before.
    """

    # After a start of all instances at once, connections that upstreams still hold for the
    # predecessors make some first calls fail, which nothing but a repeat mends.
    START_SHARE = 0.25

    # The bound counts an instance's calls and requests at the upstreams, a little later than here.
    SAFETY = 0.9
    # A hedge only speeds an answer up, so it leaves this share of the budget to retries.
    HEDGE_SHARE = 0.85

    def __init__(self, limits: ExtraLoadLimits, started_ms: float) -> None:
        self._limits = limits
        self._started_ms = started_ms
        self._windows: dict[str, _Window] = {}
        # The bucket in progress and those of a whole window before it.
        self._size = int(limits.window_ms / _BUCKET_MS) + 1
        self._share = 0.0

    def set_share(self, share: float) -> None:
        """Use this share of the slack (0 to 1); the shares of all instances add up to 1."""
        self._share = share

    def set_limits(self, limits: ExtraLoadLimits) -> None:
        """Take over other limits; the window keeps its length until a restart."""
        self._limits = limits

    def note_request(self, service: str, now_ms: float) -> None:
        """Count a request whose first call to `service` is free."""
        window = self._open(service, now_ms)
        window.requests[window.bucket % self._size] += 1

    def spend(self, service: str, now_ms: float, is_hedge: bool) -> bool:
        """Take one extra call to `service`; return False if the budget has none left."""
        if self.measure_left(service, now_ms, is_hedge) < 1.0:
            return False
        window = self._open(service, now_ms)
        window.extras[window.bucket % self._size] += 1
        return True

    def measure_left(self, service: str, now_ms: float, is_hedge: bool) -> float:
        """Return how many extra calls to `service` the budget holds at present."""
        window = self._open(service, now_ms)
        allowed = self._limits.ratio * sum(window.requests) + self._share_slack(now_ms)
        allowed *= self.HEDGE_SHARE if is_hedge else 1.0
        return allowed * self.SAFETY - sum(window.extras)

    def _share_slack(self, now_ms: float) -> float:
        age = (now_ms - self._started_ms) / self._limits.window_ms
        earned = min(1.0, self.START_SHARE + (1.0 - self.START_SHARE) * age)
        return self._limits.slack * earned * self._share

    def _open(self, service: str, now_ms: float) -> _Window:
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _Window(self._size)
        window.move_to(int(now_ms / _BUCKET_MS))
        return window

    def forget(self, keep: frozenset[str]) -> None:
        """Drop the counts of services other than `keep`."""
        for service in list(self._windows):
            if service not in keep:
                del self._windows[service]
