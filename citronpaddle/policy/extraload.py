"""Budget of extra calls (retries and hedges) per service, shared by all instances.

An instance may be killed at any moment, and the process that follows it under its name must not
spend what it has spent. It therefore keeps a record outside the process, and spends no more than
the record states. Times are in ms on one monotonic clock.
"""

from collections import deque
from collections.abc import Callable
from math import ceil, sqrt
from typing import NamedTuple

_BUCKET_MS = 500.0


class ExtraLoadLimits(NamedTuple):
    """In any `window_ms`, extra calls to a service stay within `ratio` x requests + `slack`.

    The bound is a sum over all instances; each may use its share of `slack`.
    """

    ratio: float
    slack: float
    window_ms: float


class ServiceSpending(NamedTuple):
    """The most extra calls to a service in one window, and the requests in the last one."""

    extras: int
    requests: int


class SpendingRecord(NamedTuple):
    """The most extra calls that the processes of an instance make in one window, by service.

    `others` is the number for each service that `services` does not name.
    """

    others: int
    services: dict[str, ServiceSpending]

    def find(self, service: str) -> int:
        """Return the number of extra calls for a service."""
        named = self.services.get(service)
        return self.others if named is None else named.extras

    def find_least(self, other: "SpendingRecord") -> "SpendingRecord":
        """Return the record that states the smaller number of extra calls for each service."""
        services = {
            service: ServiceSpending(
                min(self.find(service), other.find(service)), spending.requests
            )
            for service, spending in (self.services | other.services).items()
        }
        return SpendingRecord(min(self.others, other.others), services)


NOTHING_SPENT = SpendingRecord(0, {})


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

    Without a record of a predecessor, most of the slack accrues over the first window after the
    start: one may have spent its share shortly before.
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
    # A record allows what was spent in the last window and this share of the budget, or this many
    # times the square root of what was spent, by which counts vary from window to window. While
    # calls are retried it allows less and is replaced more often, and in the first window after a
    # restart, so that restarts in quick succession leave room for retries.
    RESERVE_SHARE = 0.35
    RESERVE_DEVIATIONS = 2.0
    RETRYING_RESERVE_SHARE = 0.2
    RETRYING_RESERVE_DEVIATIONS = 1.0
    # The same share of the slack for services without requests, if there was no predecessor.
    OTHERS_RESERVE_SHARE = 0.8
    # Calls are being retried if this many were in one window.
    RETRYING_COUNT = 6
    # A record is outdated if it allows this many extra calls more than needed, if it has prevented
    # this many hedges, or if the number of requests differs by this factor and at least this many.
    EXCESS_EXTRAS = 6
    MAX_PREVENTED_HEDGES = 12
    REQUESTS_FACTOR = 2
    MIN_REQUESTS = 10
    # Services that a record names at most; the others have the number for unnamed ones.
    MAX_RECORDED_SERVICES = 1_000

    def __init__(self, limits: ExtraLoadLimits, started_ms: float) -> None:
        self._limits = limits
        self._started_ms = started_ms
        self._windows: dict[str, _Window] = {}
        # The current bucket and those of one full window before it.
        self._size = int(limits.window_ms / _BUCKET_MS) + 1
        self._slack_share = 0.0
        # What predecessors may have spent, which counts for one window after the start.
        self._carried = NOTHING_SPENT
        self._has_predecessor = False
        # The record that is kept outside the process. None allows any number.
        self._record: SpendingRecord | None = None
        self._prevented_hedges = 0
        self._retries_ms: deque[float] = deque(maxlen=self.RETRYING_COUNT)
        # Called when the record leaves little for retries.
        self.on_record_needed: Callable[[], None] = lambda: None

    def set_share(self, share: float) -> None:
        """Set this instance's share of the slack (0 to 1); all shares sum to at most 1."""
        self._slack_share = share

    def set_limits(self, limits: ExtraLoadLimits) -> None:
        """Apply new limits; the window length changes only with a restart."""
        self._limits = limits

    def set_predecessor(self, record: SpendingRecord) -> None:
        """Count what the earlier processes of this instance may have spent until now."""
        self._carried = record
        self._has_predecessor = True

    def set_record(self, record: SpendingRecord | None) -> None:
        """Set the record that limits what is spent; None ends the limit, for lack of a store."""
        self._record = record
        self._prevented_hedges = 0

    def restrict(self, record: SpendingRecord) -> None:
        """Spend no more than a record that may replace the present one at any moment."""
        if self._record is not None:
            self._record = self._record.find_least(record)

    def record_request(self, service: str, now_ms: float) -> None:
        """Record a request; its first call to `service` spends no budget."""
        window = self._get_window(service, now_ms)
        window.requests[window.bucket % self._size] += 1

    def spend(self, service: str, now_ms: float, is_hedge: bool) -> bool:
        """Spend one extra call to `service`; return False if the budget is exhausted."""
        if self.compute_remaining(service, now_ms, is_hedge) < 1.0:
            return False
        if self._record is not None:
            recorded = self._record.find(service) - self._count_spent(service, now_ms)
            if not is_hedge:
                self._retries_ms.append(now_ms)
            if recorded < 1:
                self._prevented_hedges += is_hedge
            # A hedge alone is not worth a write, unless one names all services in use.
            if recorded <= 1 and not (is_hedge and service in self._record.services):
                self.on_record_needed()
            if recorded < 1 and self._record is not None:
                return False
        window = self._get_window(service, now_ms)
        window.extras[window.bucket % self._size] += 1
        return True

    def compute_remaining(self, service: str, now_ms: float, is_hedge: bool) -> float:
        """Return how many extra calls to `service` the budget currently permits."""
        allowed = self._compute_allowed(service, now_ms)
        allowed *= self.HEDGE_SHARE if is_hedge else 1.0
        return allowed - self._count_spent(service, now_ms)

    def make_record(self, now_ms: float, has_reserve: bool = True) -> SpendingRecord:
        """Return a record that allows what is likely to be spent next.

        Without a reserve it states what was spent, for the end of the process.
        """
        carried = self._get_carried(now_ms)
        others = carried.others
        if has_reserve:
            share = self.RETRYING_RESERVE_SHARE if carried.services else self.OTHERS_RESERVE_SHARE
            others += max(1, ceil(share * self._compute_highest("", now_ms)))
        services: dict[str, ServiceSpending] = {}
        for service in {*self._windows, *carried.services}:
            requests = int(self._count_requests(service, now_ms))
            needed = spent = self._count_spent(service, now_ms)
            if has_reserve:
                own = spent - carried.find(service)
                needed = spent + self._compute_reserve(service, own, now_ms)
                needed = min(needed, max(spent, self._compute_highest(service, now_ms)))
            if requests or needed > others or service in carried.services:
                services[service] = ServiceSpending(needed, requests)
        largest = sorted(services, key=lambda service: -services[service].extras)
        for service in largest[self.MAX_RECORDED_SERVICES :]:
            others = max(others, services.pop(service).extras)
        return SpendingRecord(others, services)

    def is_retrying(self, now_ms: float) -> bool:
        """Return whether several calls were retried in the last window."""
        retries = self._retries_ms
        is_full = len(retries) == self.RETRYING_COUNT
        return is_full and now_ms - retries[0] < self._limits.window_ms

    def is_outdated(self, now_ms: float) -> bool:
        """Return whether the record in force differs much from the one that is needed."""
        record, needed = self._record, self.make_record(now_ms)
        if record is None or self._prevented_hedges >= self.MAX_PREVENTED_HEDGES:
            return True
        return record.others > needed.others or any(
            self._differs(record.services.get(service, ServiceSpending(record.others, 0)), spending)
            for service, spending in needed.services.items()
        )

    def _differs(self, recorded: ServiceSpending, needed: ServiceSpending) -> bool:
        fewest, most = sorted((recorded.requests, needed.requests))
        return recorded.extras >= needed.extras + self.EXCESS_EXTRAS or most >= max(
            self.MIN_REQUESTS, self.REQUESTS_FACTOR * fewest
        )

    def _compute_reserve(self, service: str, spent: int, now_ms: float) -> int:
        """Return how many extra calls a record allows beyond those that were spent."""
        share, deviations = self.RESERVE_SHARE, self.RESERVE_DEVIATIONS
        if self.is_retrying(now_ms) or self._get_carried(now_ms).services:
            share, deviations = self.RETRYING_RESERVE_SHARE, self.RETRYING_RESERVE_DEVIATIONS
        highest = self._compute_highest(service, now_ms)
        return max(1, ceil(share * highest), ceil(deviations * sqrt(spent)))

    def _count_spent(self, service: str, now_ms: float) -> int:
        """Return the extra calls of the last window, with those that are carried over."""
        window = self._get_window(service, now_ms)
        return sum(window.extras) + self._get_carried(now_ms).find(service)

    def _get_carried(self, now_ms: float) -> SpendingRecord:
        if now_ms - self._started_ms >= self._limits.window_ms:
            self._carried = NOTHING_SPENT
        return self._carried

    def _compute_allowed(self, service: str, now_ms: float) -> float:
        requests = self._count_requests(service, now_ms)
        allowed = self._limits.ratio * requests + self._compute_slack(now_ms)
        return allowed * self.SAFETY_FACTOR

    def _compute_highest(self, service: str, now_ms: float) -> int:
        """Return how many extra calls may be permitted if requests continue as they were."""
        window = self._windows.get(service)
        requests = 0 if window is None else sum(window.requests)
        carried = self._get_carried(now_ms).services.get(service)
        if carried is not None:
            requests = max(requests, carried.requests)
        slack = self._limits.slack * self._slack_share
        return int((self._limits.ratio * requests + slack) * self.SAFETY_FACTOR)

    def _count_requests(self, service: str, now_ms: float) -> float:
        """Return the requests of the last window.

        The bound counts those before a restart, too. They are as many as the predecessor recorded
        if the rate since the start is the same.
        """
        requests = sum(self._get_window(service, now_ms).requests)
        carried = self._get_carried(now_ms).services.get(service)
        if carried is None:
            return requests
        elapsed_windows = max(now_ms - self._started_ms, 1.0) / self._limits.window_ms
        return max(requests, min(carried.requests, requests / elapsed_windows))

    def _compute_slack(self, now_ms: float) -> float:
        earned = 1.0
        if not self._has_predecessor:
            elapsed_windows = (now_ms - self._started_ms) / self._limits.window_ms
            initial = self.INITIAL_SLACK_SHARE
            earned = min(1.0, initial + (1.0 - initial) * elapsed_windows)
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
