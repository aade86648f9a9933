"""Metrics of one instance, and the HTTP server for metrics, health and readiness."""

from collections.abc import Callable

from aiohttp import web
from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from ..policy.fanout import CallCounts

# The objective is 81 ms at the 99th percentile of queries; the buckets are narrow around it.
LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.03, 0.045, 0.06, 0.081, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5)
COVERAGE_BUCKETS = (0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1.0)


class Metrics:
    """Counters, gauges and histograms of one instance, in a separate registry.

    Label values are never removed, so `service` must be a configured name and the values of the
    other labels must come from closed sets.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.queries = self._make_counter("queries", "Queries answered.", "service", "outcome")
        self.query_latency = self._make_histogram(
            "query_latency_seconds", "Time from request to answer.", LATENCY_BUCKETS_S
        )
        self.query_coverage = self._make_histogram(
            "query_coverage_ratio", "Share of the key space an answer covers.", COVERAGE_BUCKETS
        )
        self.sub_requests = self._make_counter("sub_requests", "Sub-requests sent.", "outcome")
        self.hedges = self._make_counter("hedges", "Second copies of late sub-requests.", "outcome")
        self.hedges_withheld = self._make_counter(
            "hedges_withheld", "Late sub-requests that got no hedge.", "reason"
        )
        self.retries = self._make_counter("retries", "Sub-requests sent again.", "reason")
        self.sheds = self._make_counter("sheds", "Requests refused for lack of capacity.", "place")
        self.orders = self._make_counter("orders", "Orders answered.", "outcome")
        self.config_revision = self._make_gauge(
            "config_revision", "Configuration revision in force."
        )
        self.owned_upstreams = self._make_gauge("owned_upstreams", "Upstreams under a valid lease.")
        self.lease_losses = self._make_counter("lease_losses", "Owner leases lost.", "reason")
        self.heartbeats = self._make_counter("heartbeats", "Heartbeat frames.", "direction")
        self.control_bytes = self._make_counter(
            "control_bytes", "Bytes of control traffic.", "direction"
        )

    def observe_query(
        self, service: str, outcome: str, took_ms: float, coverage_share: float | None = None
    ) -> None:
        """Record one query; `coverage_share` is None if the query failed."""
        self.queries.labels(service, outcome).inc()
        self.query_latency.labels(service).observe(took_ms / 1000.0)
        if coverage_share is not None:
            self.query_coverage.labels(service).observe(coverage_share)

    def count_calls(self, counts: CallCounts) -> None:
        """Add the sub-request counts of one query."""
        for counter, counts_by_label in (
            (self.sub_requests, counts.outcomes),
            (self.hedges, counts.hedges),
            (self.retries, counts.retries),
            (self.hedges_withheld, counts.withheld),
        ):
            for label, count in counts_by_label.items():
                counter.labels(label).inc(count)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _make_counter(self, name: str, help_text: str, *labels: str) -> Counter:
        return Counter(f"citronpaddle_{name}", help_text, labels, registry=self.registry)

    def _make_gauge(self, name: str, help_text: str) -> Gauge:
        return Gauge(f"citronpaddle_{name}", help_text, registry=self.registry)

    def _make_histogram(self, name: str, help_text: str, buckets: tuple[float, ...]) -> Histogram:
        full_name = f"citronpaddle_{name}"
        return Histogram(
            full_name, help_text, ("service",), registry=self.registry, buckets=buckets
        )


class MetricsServer:
    """Serves `/metrics`, `/health` and `/ready`; `is_ready` is called for each `/ready` request."""

    def __init__(self, metrics: Metrics, is_ready: Callable[[], bool]) -> None:
        self._metrics = metrics
        self._is_ready = is_ready
        application = web.Application()
        application.router.add_get("/metrics", self._answer_metrics)
        application.router.add_get("/health", self._answer_health)
        application.router.add_get("/ready", self._answer_ready)
        self._runner = web.AppRunner(application, access_log=None)

    async def start(self, host: str, port: int) -> int:
        """Listen and return the bound port; raise OSError if the address cannot be used."""
        await self._runner.setup()
        try:
            await web.TCPSite(self._runner, host, port).start()
        except OSError:
            await self._runner.cleanup()
            raise
        return self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        await self._runner.cleanup()

    async def _answer_metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self._metrics.render(), headers={"Content-Type": CONTENT_TYPE_LATEST}
        )

    async def _answer_health(self, request: web.Request) -> web.Response:
        return web.Response(text="up\n")

    async def _answer_ready(self, request: web.Request) -> web.Response:
        if self._is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")
