"""Guards against load reports that hide slow, failed or unsent requests."""

import asyncio

import pytest
from click.testing import CliRunner

from citronpaddle.cli.load import main
from citronpaddle.clock import VirtualClock
from citronpaddle.errors import ErrorKind, Failure
from citronpaddle.load import LoadPlan, LoadRun
from citronpaddle.models import Coverage, KeyRange, QueryAnswer
from citronpaddle.randomness import RandomSource

PARTIAL = Coverage(0.5, (KeyRange(0, 2**31),), ())


class StallingClient:
    """Stalls the event loop for 5 s at the first query; every second query fails."""

    def __init__(self, clock):
        self.clock, self.calls, self.retry_count = clock, 0, 0

    async def query(self, service, text, deadline_ms, limit):
        self.calls += 1
        if self.calls == 1:
            self.clock.advance(5_000)
        if self.calls % 2 == 0:
            return Failure(ErrorKind.OVERLOADED, "m")
        return QueryAnswer("r", service, 1, PARTIAL, (), False, 0.0, 1)


def run(max_in_flight):
    async def body():
        clock = VirtualClock()
        plan = LoadPlan(("a", "b"), 200.0, 2.0, 0.0, 100, 5, max_in_flight)
        return await LoadRun(StallingClient(clock), plan, clock, RandomSource(1)).run()

    report = asyncio.run(body())
    assert report["total"]["arrivals"] == sum(row["arrivals"] for row in report["seconds"])
    return report


def test_requests_that_a_stall_delays_are_not_reported_as_fast():
    total = run(max_in_flight=1_000)["total"]
    assert total["latency_ms"]["p50"] > 3_000
    assert total["errors"] == {"overloaded": total["arrivals"] // 2}
    assert (total["complete_share"], total["coverage_worst"]) == (0.0, 0.5)


def test_arrivals_over_the_in_flight_limit_are_reported():
    total = run(max_in_flight=1)["total"]
    assert (
        total["errors"]["not_sent"] + total["latency_with_errors_ms"]["count"] == total["arrivals"]
    )


@pytest.mark.parametrize(
    ("options", "status"),
    [
        (["--entry", "127.0.0.1:1", "--service", "a", "--seconds", "0.2", "--rate", "50"], 4),
        (["--entry", "nowhere", "--service", "a"], 2),
        (["--entry", "127.0.0.1:1", "--service", "a", "--rate", "5000", "--seconds", "3600"], 2),
    ],
)
def test_a_run_without_answers_or_with_invalid_options_fails(options, status):
    assert CliRunner().invoke(main, options).exit_code == status
