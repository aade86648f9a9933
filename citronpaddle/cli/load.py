"""The program `citronpaddle-load`: a load generator that sends requests as a caller does."""

import asyncio
import json
import signal
import sys
from typing import Any

import click

from ..client import Client
from ..clock import SystemClock
from ..load import MAX_ARRIVALS, MAX_DURATION_S, MAX_RATE_PER_S, LoadPlan, LoadRun
from ..randomness import RandomSource
from ..status import ExitStatus

COLUMNS = ("arrivals", "answers", "complete", "mean", "worst", "p50", "p99", "p99.9", "errors")


@click.command()
@click.option("--entry", "entries", multiple=True, required=True, metavar="HOST:PORT",
              help="Entry instance to ask for addresses; may be repeated.")  # fmt: skip
@click.option("--service", "services", multiple=True, required=True,
              help="Service to call; may be repeated, each gets an equal share.")  # fmt: skip
@click.option("--rate", type=click.FloatRange(0, MAX_RATE_PER_S, min_open=True), default=20.0,
              show_default=True, help="Arrivals per second, over all services.")  # fmt: skip
@click.option("--seconds", type=click.FloatRange(0, MAX_DURATION_S, min_open=True), default=10.0,
              show_default=True, help="Length of the run.")  # fmt: skip
@click.option("--orders", type=click.FloatRange(0, 1), default=0.0, show_default=True,
              help="Share of the arrivals that are orders, 0 to 1.")  # fmt: skip
@click.option("--deadline-ms", type=click.IntRange(1, 600_000), default=2_000, show_default=True,
              help="Deadline of each request.")  # fmt: skip
@click.option("--limit", type=click.IntRange(1, 10_000), default=20, show_default=True,
              help="Rows per query.")  # fmt: skip
@click.option("--max-in-flight", type=click.IntRange(1, 20_000), default=2_000, show_default=True,
              help="Arrivals beyond this many open requests count as not_sent.")  # fmt: skip
@click.option("--failure-domain", default="", help="The caller's own failure domain.")
@click.option("--seed", type=int, default=1, show_default=True,
              help="Seed of the arrivals; the same seed repeats them.")  # fmt: skip
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
def main(entries: tuple[str, ...], services: tuple[str, ...], rate: float, seconds: float,
         orders: float, deadline_ms: int, limit: int, max_in_flight: int, failure_domain: str,
         seed: int, as_json: bool) -> None:  # fmt: skip
    """Send queries and orders at a given rate and report latency and coverage.

    Requests are sent at their intended arrival without waiting for earlier answers, and latency
    counts from the intended arrival. --orders places real orders: use it only with services meant
    for tests.

    Exit codes: 0 report printed, 1 interrupted (the report covers the time until then), 2 usage,
    4 no request was answered.
    """
    if rate * seconds > MAX_ARRIVALS:
        raise click.UsageError(f"--rate times --seconds must be at most {MAX_ARRIVALS}")
    unique_services = tuple(dict.fromkeys(services))
    plan = LoadPlan(unique_services, rate, seconds, orders, deadline_ms, limit, max_in_flight)
    try:
        report = asyncio.run(_run_load(entries, failure_domain, plan, seed))
    except ValueError as error:
        raise click.BadParameter(str(error), param_hint="--entry") from None
    report["seed"] = seed
    click.echo(json.dumps(report, indent=2) if as_json else format_table(report))
    sys.exit(choose_status(report))


async def _run_load(
    entries: tuple[str, ...], failure_domain: str, plan: LoadPlan, seed: int
) -> dict[str, Any]:
    clock = SystemClock()
    # The client has its own random source, so that retries do not change the arrivals.
    client = Client(entries, failure_domain, clock, RandomSource(seed + 1))
    async with client:
        run = LoadRun(client, plan, clock, RandomSource(seed))
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, run.stop)
        return await run.run()


def choose_status(report: dict[str, Any]) -> ExitStatus:
    """Return the exit code for a report: OK, FAILURE if interrupted, UNAVAILABLE if unanswered."""
    if report["is_interrupted"]:
        return ExitStatus.FAILURE
    if report["total"]["arrivals"] and not report["total"]["answers"]:
        return ExitStatus.UNAVAILABLE
    return ExitStatus.OK


def _format_number(value: float | None, number_format: str) -> str:
    return "-" if value is None else format(value, number_format)


def _format_row(name: str, statistics: dict[str, Any]) -> str:
    latency = statistics["latency_ms"]
    cells = [
        str(statistics["arrivals"]),
        str(statistics["answers"]),
        *(
            _format_number(statistics[key], ".4f")
            for key in ("complete_share", "coverage_mean", "coverage_worst")
        ),
        *(_format_number(latency.get(key), ".1f") for key in ("p50", "p99", "p99.9")),
        str(sum(statistics["errors"].values())),
    ]
    return f"{name:<20}" + "".join(f"{cell:>10}" for cell in cells)


def format_table(report: dict[str, Any]) -> str:
    """Return the report as text: a line per service, errors by kind and a line per second."""
    total = report["total"]
    lines = [f"{'service':<20}" + "".join(f"{column:>10}" for column in COLUMNS)]
    lines += [_format_row(name, statistics) for name, statistics in report["services"].items()]
    lines += [_format_row("all", total), ""]
    lines.append("Latency in ms from the intended arrival, of answered requests.")
    lines.append("Complete, mean and worst refer to the coverage of query answers.")
    lines.append(
        f"Retries: {report['retries']}. "
        f"Longest delay in sending a request: {report['worst_send_delay_ms']:.1f} ms."
    )
    errors = ", ".join(f"{kind} {count}" for kind, count in total["errors"].items())
    lines += [f"Errors: {errors or 'none'}.", ""]
    lines.append(f"{'second':<20}{'arrivals':>10}{'answers':>10}{'complete':>10}{'errors':>10}")
    for second in report["seconds"]:
        counts = (second[key] for key in ("arrivals", "answers", "complete", "errors"))
        lines.append(f"{second['second']:<20}" + "".join(f"{count:>10}" for count in counts))
    return "\n".join(lines)
