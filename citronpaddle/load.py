"""Generates open-loop load through the client and measures latency and coverage."""

import asyncio
import uuid
from collections import Counter
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from .client import Client, OrderAnswer
from .clock import Clock
from .errors import Failure
from .models import QueryAnswer
from .randomness import RandomSource

MAX_RATE_PER_S = 5_000.0
MAX_DURATION_S = 3_600.0
MAX_ARRIVALS = 2_000_000
# Arrivals over the limit of requests in flight are not delayed but counted as errors of this name.
NOT_SENT = "not_sent"
PERCENTILES = {"p50": 50.0, "p99": 99.0, "p99.9": 99.9}
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3


class LoadPlan(NamedTuple):
    """The load to send.

    `order_share`, from 0.0 to 1.0, is the share of the arrivals that are orders; `limit` is the
    number of rows per query; `deadline_ms` is the deadline of each request.
    """

    services: tuple[str, ...]
    rate_per_s: float
    duration_s: float
    order_share: float
    deadline_ms: int
    limit: int
    max_in_flight: int


class Arrival(NamedTuple):
    """One intended request; `at_ms` is its time after the start of the run."""

    number: int
    at_ms: float
    service: str
    is_order: bool


@dataclass(slots=True)
class SecondCounts:
    """Outcomes of the requests whose intended arrival is in one second."""

    arrivals: int = 0
    answers: int = 0
    complete: int = 0
    errors: int = 0


class LatencyHistogram:
    """A histogram of latencies with 3 significant digits, up to one hour."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def add(self, latency_ms: float) -> None:
        """Record a latency in ms."""
        self._histogram.record_value(min(MAX_LATENCY_US, max(1, round(latency_ms * 1000.0))))

    def summarise(self) -> dict[str, float]:
        """Return the count, and the percentiles and the maximum in ms unless the count is 0."""
        count = self._histogram.get_total_count()
        if not count:
            return {"count": 0}
        values = {
            name: self._histogram.get_value_at_percentile(share) / 1000.0
            for name, share in PERCENTILES.items()
        }
        return {"count": count} | values | {"max": self._histogram.get_max_value() / 1000.0}


@dataclass(slots=True)
class LoadStatistics:
    """Statistics on the requests of one service, or of all."""

    arrivals: int = 0
    orders: int = 0
    query_answers: int = 0
    order_answers: int = 0
    orders_replayed: int = 0
    complete: int = 0
    coverage_sum: float = 0.0
    coverage_worst: float = 1.0
    errors: Counter[str] = field(default_factory=Counter)
    answered_latency: LatencyHistogram = field(default_factory=LatencyHistogram)
    overall_latency: LatencyHistogram = field(default_factory=LatencyHistogram)

    def record(self, arrival: Arrival, outcome: Any, latency_ms: float | None) -> None:
        """Record the outcome of one arrival.

        Both the outcome and the latency are None if it was not sent.
        """
        self.arrivals += 1
        self.orders += arrival.is_order
        if latency_ms is not None:
            self.overall_latency.add(latency_ms)
        if isinstance(outcome, Failure):
            self.errors[str(outcome.kind)] += 1
            return
        if outcome is None:
            self.errors[NOT_SENT] += 1
            return
        self.answered_latency.add(latency_ms)
        if isinstance(outcome, OrderAnswer):
            self.order_answers += 1
            self.orders_replayed += outcome.replayed
            return
        self.query_answers += 1
        self.complete += outcome.coverage.is_complete
        self.coverage_sum += outcome.coverage.share
        self.coverage_worst = min(self.coverage_worst, outcome.coverage.share)

    def summarise(self) -> dict[str, Any]:
        """Return the statistics; those on query answers are None if there are none."""
        answers = self.query_answers
        return {
            "arrivals": self.arrivals,
            "orders": self.orders,
            "answers": answers + self.order_answers,
            "order_answers": self.order_answers,
            "orders_replayed": self.orders_replayed,
            "complete_share": self.complete / answers if answers else None,
            "coverage_mean": self.coverage_sum / answers if answers else None,
            "coverage_worst": self.coverage_worst if answers else None,
            "latency_ms": self.answered_latency.summarise(),
            "latency_with_errors_ms": self.overall_latency.summarise(),
            "errors": dict(sorted(self.errors.items())),
        }


def plan_arrivals(plan: LoadPlan, random: RandomSource) -> Iterator[Arrival]:
    """Yield the arrivals of a Poisson process, at most MAX_ARRIVALS; the seed determines them."""
    at_ms, number = 0.0, 0
    while number < MAX_ARRIVALS:
        at_ms += random.expovariate(plan.rate_per_s) * 1000.0
        if at_ms >= plan.duration_s * 1000.0:
            return
        service = random.choice(plan.services)
        yield Arrival(number, at_ms, service, random.random() < plan.order_share)
        number += 1


class LoadRun:
    """One run of a load plan; latency counts from the intended arrival of a request.

    The latency thus includes delays of the generator and queueing in front of an instance.
    """

    def __init__(self, client: Client, plan: LoadPlan, clock: Clock, random: RandomSource) -> None:
        self._client = client
        self._plan = plan
        self._clock = clock
        self._random = random
        # Part of the idempotency keys, so that runs with the same seed do not repeat each other's
        # orders.
        self._run_id = uuid.uuid4().hex
        self._total_statistics = LoadStatistics()
        self._service_statistics = {service: LoadStatistics() for service in plan.services}
        self._second_counts: dict[int, SecondCounts] = {}
        self._in_flight: set[asyncio.Task[None]] = set()
        self._worst_delay_ms = 0.0
        self._is_interrupted = False
        self._stop = asyncio.Event()

    def stop(self) -> None:
        """Stop sending requests; `run` still waits for those in flight."""
        self._is_interrupted = True
        self._stop.set()

    async def run(self) -> dict[str, Any]:
        """Send the load, wait for all outcomes and return the report."""
        start_ms = self._clock.now_ms()
        for arrival in plan_arrivals(self._plan, self._random):
            await self._wait_until(start_ms + arrival.at_ms)
            if self._stop.is_set():
                break
            self._start_request(arrival, start_ms)
        if self._in_flight:
            await asyncio.wait(self._in_flight)
        return self._make_report()

    async def _wait_until(self, at_ms: float) -> None:
        left_ms = at_ms - self._clock.now_ms()
        if left_ms <= 0:
            # Yield to the event loop so that answers are processed even if the generator is late.
            await asyncio.sleep(0)
            return
        try:
            await asyncio.wait_for(self._stop.wait(), left_ms / 1000.0)
        except TimeoutError:
            return

    def _start_request(self, arrival: Arrival, start_ms: float) -> None:
        if len(self._in_flight) >= self._plan.max_in_flight:
            self._record(arrival, None, None)
            return
        task = asyncio.create_task(self._send(arrival, start_ms + arrival.at_ms))
        self._in_flight.add(task)
        task.add_done_callback(self._in_flight.discard)

    async def _send(self, arrival: Arrival, intended_ms: float) -> None:
        self._worst_delay_ms = max(self._worst_delay_ms, self._clock.now_ms() - intended_ms)
        outcome = await self._make_request(arrival)
        self._record(arrival, outcome, self._clock.now_ms() - intended_ms)

    async def _make_request(self, arrival: Arrival) -> QueryAnswer | OrderAnswer | Failure:
        plan = self._plan
        if not arrival.is_order:
            text = f"batch {arrival.number}"
            return await self._client.query(arrival.service, text, plan.deadline_ms, plan.limit)
        body = {"reference": f"{self._run_id}-{arrival.number}"}
        key = body["reference"]
        return await self._client.order(arrival.service, body, key, plan.deadline_ms)

    def _record(self, arrival: Arrival, outcome: Any, latency_ms: float | None) -> None:
        self._total_statistics.record(arrival, outcome, latency_ms)
        self._service_statistics[arrival.service].record(arrival, outcome, latency_ms)
        second = self._second_counts.setdefault(int(arrival.at_ms // 1000), SecondCounts())
        second.arrivals += 1
        if outcome is None or isinstance(outcome, Failure):
            second.errors += 1
            return
        second.answers += 1
        second.complete += isinstance(outcome, OrderAnswer) or outcome.coverage.is_complete

    def _make_report(self) -> dict[str, Any]:
        seconds = sorted(self._second_counts.items())
        return {
            "run_id": self._run_id,
            "is_interrupted": self._is_interrupted,
            "plan": self._plan._asdict(),
            "retries": self._client.retry_count,
            "worst_send_delay_ms": self._worst_delay_ms,
            "total": self._total_statistics.summarise(),
            "services": {
                name: statistics.summarise()
                for name, statistics in self._service_statistics.items()
            },
            "seconds": [{"second": number} | asdict(second) for number, second in seconds],
        }
