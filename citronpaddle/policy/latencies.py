"""Latencies of recent replies by route, and the thresholds from which a call is late.

Times are in ms on one monotonic clock.
"""

from .catalog import Route
from .hedging import LatencyWindow

# Weight of a new observation in the moving average of answer overruns.
OVERRUN_WEIGHT = 0.1
# Share of the objective after which a call counts as late: the initial threshold until there are
# enough samples, and the maximum threshold afterwards.
INITIAL_LATE_SHARE = 0.35
# Quantile of recent reply latencies that is the late threshold, the samples it needs, the window of
# the samples, and the lower bound of the threshold.
LATE_QUANTILE = 0.88
MIN_SAMPLES = 30
SAMPLE_WINDOW_MS = 10_000.0
MIN_LATE_MS = 3.0
# How long a computed late threshold is cached.
LATE_THRESHOLD_CACHE_MS = 250.0


class RouteLatencies:
    """Late thresholds by route, computed from recent reply latencies, and the mean overrun."""

    def __init__(self) -> None:
        self._windows: dict[str, LatencyWindow] = {}
        # By route: when the cached late threshold expires, and the threshold, both in ms.
        self._cached_thresholds: dict[str, tuple[float, float]] = {}
        self.mean_overrun_ms = 0.0

    def record_overrun(self, overrun_ms: float) -> None:
        """Record by how many ms an answer was decided after its soft deadline."""
        self.mean_overrun_ms += OVERRUN_WEIGHT * (overrun_ms - self.mean_overrun_ms)

    def add(self, route: Route, now_ms: float, latency_ms: float) -> None:
        """Record the latency of one reply in ms."""
        window = self._windows.get(route.name)
        if window is None:
            window = self._windows[route.name] = LatencyWindow(SAMPLE_WINDOW_MS)
        window.add(now_ms, latency_ms)

    def get_late_threshold_ms(self, route: Route) -> float:
        """Return the late threshold found last, or the initial one, without any change."""
        cached = self._cached_thresholds.get(route.name)
        initial_ms = max(MIN_LATE_MS, INITIAL_LATE_SHARE * route.objective_ms)
        return cached[1] if cached is not None else initial_ms

    def find_late_threshold_ms(self, route: Route, now_ms: float) -> float:
        """Return the age in ms from which a call of `route` counts as late."""
        cached = self._cached_thresholds.get(route.name)
        if cached is not None and now_ms < cached[0]:
            return cached[1]
        window = self._windows.get(route.name)
        threshold_ms = None
        if window is not None:
            threshold_ms = window.compute_quantile(now_ms, LATE_QUANTILE, MIN_SAMPLES)
        if threshold_ms is None:
            threshold_ms = cached[1] if cached else INITIAL_LATE_SHARE * route.objective_ms
        # A quantile above the initial threshold means that many upstreams are slow at once.
        threshold_ms = max(MIN_LATE_MS, min(threshold_ms, INITIAL_LATE_SHARE * route.objective_ms))
        self._cached_thresholds[route.name] = (now_ms + LATE_THRESHOLD_CACHE_MS, threshold_ms)
        return threshold_ms
