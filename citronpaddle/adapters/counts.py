"""Counters and latency histograms of a gateway instance.

prometheus_client formats them but is imported only on the first scrape: a serving process without
it uses a quarter less memory.
"""

from bisect import bisect_left
from collections.abc import Mapping

# Covers the range from the shortest latency objectives, about 100 ms, to the longest timeouts.
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.5, 5.0, 15.0)


class Counts:
    """Counters by name and label, and latencies by route and outcome.

    Label values must come from closed sets, since every value seen is kept.
    """

    def __init__(self) -> None:
        self.values: dict[tuple[str, str], int] = {}
        self.latencies: dict[tuple[str, str], list[int]] = {}
        self.sums_ms: dict[tuple[str, str], float] = {}

    def add(self, name: str, label: str, count: int = 1) -> None:
        """Add `count` to the counter `name` under `label`."""
        key = (name, label)
        self.values[key] = self.values.get(key, 0) + count

    def observe(self, route: str, outcome: str, took_ms: float) -> None:
        """Record the latency of one request, in ms."""
        key = (route, outcome)
        buckets = self.latencies.get(key)
        if buckets is None:
            buckets = self.latencies[key] = [0] * (len(LATENCY_BUCKETS_S) + 1)
        buckets[bisect_left(LATENCY_BUCKETS_S, took_ms / 1_000)] += 1
        self.sums_ms[key] = self.sums_ms.get(key, 0.0) + took_ms


def render(
    counts: Counts,
    gauges: dict[str, float],
    refused_by_team: dict[str, int] | None = None,
    waiting_by_priority: Mapping[int, int] | None = None,
) -> bytes:
    """Return the counters, the latencies and the gauges in the Prometheus text format.

    `refused_by_team` has the requests refused since each team went over its quota, and
    `waiting_by_priority` the parts of requests that wait for room.
    """
    from prometheus_client import CollectorRegistry, generate_latest
    from prometheus_client.core import (
        CounterMetricFamily,
        GaugeMetricFamily,
        HistogramMetricFamily,
    )

    families = [
        GaugeMetricFamily(f"citronpaddle_{name}", name.replace("_", " "), value=value)
        for name, value in gauges.items()
    ]
    refused = GaugeMetricFamily(
        "citronpaddle_team_requests_over_quota",
        "requests refused since a team went over its quota",
        labels=["team"],
    )
    for team, count in (refused_by_team or {}).items():
        refused.add_metric([team], count)
    waiting = GaugeMetricFamily(
        "citronpaddle_waiting_parts", "parts that wait for room", labels=["priority"]
    )
    for priority, count in sorted((waiting_by_priority or {}).items()):
        waiting.add_metric([str(priority)], count)
    counters: dict[str, CounterMetricFamily] = {}
    for (name, label), value in counts.values.items():
        if name not in counters:
            counters[name] = CounterMetricFamily(
                f"citronpaddle_{name}", name.replace("_", " "), labels=["kind"]
            )
        counters[name].add_metric([label], value)
    latency = HistogramMetricFamily(
        "citronpaddle_request_seconds", "time to an answer", labels=["route", "outcome"]
    )
    for key, buckets in counts.latencies.items():
        bounds = [*map(str, LATENCY_BUCKETS_S), "+Inf"]
        cumulative = [sum(buckets[: at + 1]) for at in range(len(buckets))]
        latency.add_metric(
            list(key), list(zip(bounds, cumulative, strict=True)), counts.sums_ms[key] / 1_000
        )
    registry = CollectorRegistry()
    registry.register(_Collector([*families, refused, waiting, *counters.values(), latency]))
    return generate_latest(registry)


class _Collector:
    def __init__(self, families: list) -> None:
        self._families = families

    def collect(self) -> list:
        return self._families
