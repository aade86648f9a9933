"""Runs a named experiment on loopback and writes a table and JSON under `results/`.

It starts stand-ins and entry instances as processes and sends an open-loop load, so that time in
queues counts as latency. The arms of an experiment share these processes and run one after the
other, in alternating order. The p99 latency of each arm is also reported as a ratio to the first
arm (the baseline): the median over the runs and their range.
"""

import asyncio
import json
import os
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from statistics import median
from typing import Any, NamedTuple

import click
from prometheus_client.parser import text_string_to_metric_families

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

import urllib.request  # noqa: E402

from cluster import Cluster, send  # noqa: E402

from citronpaddle.client import Client  # noqa: E402
from citronpaddle.clock import SystemClock  # noqa: E402
from citronpaddle.documents import (  # noqa: E402
    ChangeFile,
    PresetEntry,
    ServiceEntry,
    UpstreamEntry,
)
from citronpaddle.load import LoadPlan, LoadRun  # noqa: E402
from citronpaddle.policy.changes import ApplyFile  # noqa: E402
from citronpaddle.randomness import RandomSource  # noqa: E402
from citronpaddle.standins.upstream_options import make_layout  # noqa: E402

RESULTS = ROOT / "results"
COUNTERS = ("sub_requests", "hedges", "hedges_withheld", "retries", "sheds")
MAX_IN_FLIGHT = 4_000
ROW_LIMIT = 20
MAX_CONNECTIONS = 25
ENTRIES_PER_DOMAIN = 1
SLOTS_PER_REPLICA = 4
STRAGGLERS_DEADLINE_MS = 3_000
# A replica with 4 slots gets hedges only after 24 good replies that follow its first 3 s.
WARM_UP_S = 20.0


class Layout(NamedTuple):
    """Replica groups, spread over failure domains; each group serves one part of the key space.

    `options` are passed to every upstream stand-in.
    """

    groups: int
    replicas: int
    domains: int
    entries_per_domain: int
    slots: int
    options: dict[str, Any]


class Arm(NamedTuple):
    """One policy under test: a service with these parameters; all arms share the upstreams."""

    name: str
    parameters: dict[str, Any]


class Load(NamedTuple):
    """The load on one arm in one run, as an open-loop arrival rate."""

    rate_per_s: float
    seconds: float
    deadline_ms: int


@dataclass(slots=True)
class RunMeasurements:
    """Measurements of one arm in one run.

    `counts` holds the counters of all entry instances by label, `cores` the CPU time per second of
    each process, `marks` the times that the script recorded.
    """

    report: dict[str, Any]
    counts: dict[str, Counter[str]]
    cores: dict[str, float]
    marks: dict[str, float] = field(default_factory=dict)

    def summarise(self) -> dict[str, Any]:
        """Return the summary of the run for the table and the JSON file.

        `extra` is the number of hedges and retries in percent of all other sub-requests, `busiest`
        the process with the highest CPU time per second.
        """
        total = self.report["total"]
        latency = total["latency_ms"]
        sent = sum(self.counts["sub_requests"].values())
        hedges = sum(self.counts["hedges"].values())
        retries = sum(self.counts["retries"].values())
        initial_sent = sent - hedges - retries
        busiest = max(self.cores, key=self.cores.__getitem__)
        return {
            "arrivals": total["arrivals"],
            "answers": total["answers"],
            "p50": latency.get("p50"),
            "p99": latency.get("p99"),
            "p99.9": latency.get("p99.9"),
            "complete": total["complete_share"],
            "mean": total["coverage_mean"],
            "worst": total["coverage_worst"],
            "extra": 100.0 * (hedges + retries) / initial_sent if initial_sent else None,
            "hedges": dict(self.counts["hedges"]),
            "withheld": dict(self.counts["hedges_withheld"]),
            "retries": dict(self.counts["retries"]),
            "sub_requests": dict(self.counts["sub_requests"]),
            "errors": total["errors"],
            "busiest": [busiest, round(self.cores[busiest], 2)],
            "seconds": self.report["seconds"],
            "marks": self.marks,
        }


class ExperimentCluster(Cluster):
    """The stand-ins and entry instances of one experiment."""

    def start(self, layout: Layout, arms: list[Arm], seed: int, **settings: Any) -> None:
        """Start all processes and store one service per arm.

        Return when every entry instance answers queries to the first service completely.
        """
        self.service = arms[0].name
        self.start_platform()
        for domain in range(layout.domains):
            self.start_upstreams(
                f"upstreams-{domain}", f"d{domain}", _plan_upstreams(layout, domain, seed)
            )
        names = {
            f"entry-{domain}{number}": f"d{domain}"
            for domain in range(layout.domains)
            for number in range(layout.entries_per_domain)
        }
        self.plan_entries(names, **settings)
        for name in names:
            self.start_entry(name)
        self._apply_arms(arms)
        for name in names:
            self.wait_complete(name)

    def _apply_arms(self, arms: list[Arm]) -> None:
        upstreams = {
            name: UpstreamEntry(
                address=upstream["address"],
                failure_domain=upstream["failure_domain"],
                slots=upstream["slots"],
                max_connections=MAX_CONNECTIONS,
            )
            for name, upstream in self.upstreams.items()
        }
        services = {
            arm.name: ServiceEntry(group="test", upstreams=tuple(upstreams), **arm.parameters)
            for arm in arms
        }
        presets = {"ordinary": PresetEntry()}
        self.edit(ApplyFile(ChangeFile(services=services, upstreams=upstreams, presets=presets)))

    def set_upstream_options(self, upstream: str, **changes: Any) -> None:
        """Change options of one running upstream stand-in."""
        send(self.upstreams[upstream]["control_address"], "/control", changes)

    def read_counts(self) -> dict[str, Counter[str]]:
        """Return the sums of the counters by label over all entry instances that respond."""
        counts: dict[str, Counter[str]] = {name: Counter() for name in COUNTERS}
        for entry in self.entries.values():
            try:
                with urllib.request.urlopen(
                    f"http://{entry['metrics']}/metrics", timeout=5
                ) as response:
                    text = response.read().decode()
            except OSError:
                continue
            for family in text_string_to_metric_families(text):
                name = family.name.removeprefix("citronpaddle_")
                for sample in family.samples if name in counts else ():
                    if sample.name.endswith("_total"):
                        counts[name][next(iter(sample.labels.values()))] += int(sample.value)
        return counts

    def read_cpu_s(self) -> dict[str, float]:
        """Return the CPU time that each running process has used so far, in seconds."""
        cpu_s: dict[str, float] = {}
        for name, process in self.processes.items():
            try:
                fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
            except OSError:
                continue
            # Fields 14 and 15 of proc(5) stat: user and system time in clock ticks.
            cpu_s[name] = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        return cpu_s


def _plan_upstreams(layout: Layout, domain: int, seed: int) -> list[dict[str, Any]]:
    """Return the options of the upstream stand-ins of one failure domain."""
    shards = make_layout(layout.groups)
    planned = []
    for group in range(layout.groups):
        for replica in range(layout.replicas):
            if (group + replica) % layout.domains != domain:
                continue
            number = group * layout.replicas + replica
            planned.append(
                {
                    "name": f"u{group}-{replica}",
                    "slots": layout.slots,
                    "seed": seed * 10_000 + number,
                    "shards": [shards[group].model_dump()],
                }
                | layout.options
            )
    return planned


Script = Callable[[ExperimentCluster, dict[str, float], float], Awaitable[None]]


def measure(
    cluster: ExperimentCluster,
    services: tuple[str, ...],
    load: Load,
    seed: int,
    script: Script | None = None,
) -> RunMeasurements:
    """Send the load to `services` and return the measurements.

    `script` runs concurrently with the load; it may act on the cluster, for example inject faults.
    """
    before, cpu_before_s, start_s = cluster.read_counts(), cluster.read_cpu_s(), time.monotonic()
    marks: dict[str, float] = {}
    report = asyncio.run(_send_load(cluster, services, load, seed, script, marks))
    elapsed_s = time.monotonic() - start_s
    after, cpu_after_s = cluster.read_counts(), cluster.read_cpu_s()
    counts = {name: after[name] - before[name] for name in COUNTERS}
    cores = {
        name: (cpu_after_s[name] - cpu_before_s.get(name, 0.0)) / elapsed_s for name in cpu_after_s
    }
    return RunMeasurements(report, counts, cores, marks)


async def _send_load(
    cluster: ExperimentCluster,
    services: tuple[str, ...],
    load: Load,
    seed: int,
    script: Script | None,
    marks: dict[str, float],
) -> dict[str, Any]:
    clock = SystemClock()
    plan = LoadPlan(
        services, load.rate_per_s, load.seconds, 0.0, load.deadline_ms, ROW_LIMIT, MAX_IN_FLIGHT
    )
    addresses = [entry["http"] for entry in cluster.entries.values()]
    async with Client(addresses, "", clock, RandomSource(seed + 1)) as client:
        run = LoadRun(client, plan, clock, RandomSource(seed))
        if script is None:
            return await run.run()
        task = asyncio.create_task(script(cluster, marks, time.monotonic()))
        try:
            return await run.run()
        finally:
            await task


def compare(
    cluster: ExperimentCluster, arms: list[Arm], load: Load, runs: int, seed: int
) -> dict[str, list[dict[str, Any]]]:
    """Measure each arm in each run, in alternating order; return the summaries by arm."""
    figures: dict[str, list[dict[str, Any]]] = {arm.name: [] for arm in arms}
    for number in range(runs):
        order = arms if number % 2 == 0 else arms[::-1]
        for arm in order:
            # Each run has its own seed; all arms of a run get the same arrivals.
            summary = measure(cluster, (arm.name,), load, seed + 100 * number).summarise()
            figures[arm.name].append(summary)
            click.echo(f"run {number + 1} {format_row(arm.name, summary)}", err=True)
    return figures


def compute_p99_ratios(figures: dict[str, list[dict[str, Any]]]) -> dict[str, Any]:
    """Return median, minimum and maximum of the p99 ratio to the first arm of the same run."""
    baseline = next(iter(figures.values()))
    ratios = {}
    for name, summaries in figures.items():
        pairs = zip(summaries, baseline, strict=True)
        values = [
            arm["p99"] / first_arm["p99"]
            for arm, first_arm in pairs
            if arm["p99"] and first_arm["p99"]
        ]
        if values:
            ratios[name] = [median(values), min(values), max(values)]
    return ratios


COLUMNS = ("p50", "p99", "p99.9", "complete", "mean", "worst", "extra")


def format_row(name: str, summary: dict[str, Any]) -> str:
    """Return one line of the table for an arm."""
    cells = []
    for column in COLUMNS:
        value = summary[column]
        number_format = ".4f" if column in ("complete", "mean", "worst") else ".1f"
        cells.append("-" if value is None else format(value, number_format))
    cells += [f"{summary['answers']}/{summary['arrivals']}", f"{summary['busiest'][1]:.2f}"]
    return f"{name:<22}" + "".join(f"{cell:>10}" for cell in cells)


def _combine_runs(summaries: list[dict[str, Any]]) -> dict[str, Any]:
    """Return medians over the runs; requests are summed, the busiest process is the maximum."""
    combined = dict(summaries[0])
    for column in COLUMNS:
        values = [item[column] for item in summaries if item[column] is not None]
        combined[column] = median(values) if values else None
    for column in ("answers", "arrivals"):
        combined[column] = sum(item[column] for item in summaries)
    combined["busiest"] = max((item["busiest"] for item in summaries), key=lambda item: item[1])
    return combined


def write_result(name: str, context: dict[str, Any], figures: dict[str, Any]) -> None:
    """Print the table, and write it and the summaries of all runs as JSON to `results/`."""
    lines = [f"{name}: " + ", ".join(f"{key} {value}" for key, value in context.items())]
    headings = (*COLUMNS, "answers", "cores")
    lines.append(f"{'median over runs':<22}" + "".join(f"{cell:>10}" for cell in headings))
    lines += [format_row(arm, _combine_runs(summaries)) for arm, summaries in figures.items()]
    ratios = compute_p99_ratios(figures)
    for arm, (median_ratio, minimum, maximum) in ratios.items():
        lines.append(
            f"p99 of {arm} against baseline: {median_ratio:.2f} ({minimum:.2f} to {maximum:.2f})"
        )
    for arm, summaries in figures.items():
        for kind in ("hedges", "withheld", "retries", "errors"):
            added = Counter[str]()
            for item in summaries:
                added.update(item[kind])
            if added:
                lines.append(f"{arm}: {kind} {dict(added)}")
    text = "\n".join(lines)
    click.echo(text)
    RESULTS.mkdir(exist_ok=True)
    stem = f"{name}-{time.strftime('%Y%m%dT%H%M%S')}"
    (RESULTS / f"{stem}.txt").write_text(text + "\n")
    document = {"context": context, "ratios": ratios, "figures": figures}
    (RESULTS / f"{stem}.json").write_text(json.dumps(document, indent=1))


def _make_context(**fields: Any) -> dict[str, Any]:
    load = " ".join(f"{value:.1f}" for value in os.getloadavg())
    return fields | {"load average": load}


def _run_arms(
    name: str, layout: Layout, arms: list[Arm], load: Load, runs: int, seed: int, **settings: Any
) -> None:
    cluster = ExperimentCluster()
    try:
        cluster.start(layout, arms, seed, **settings)
        # Slow start and the latency windows need load before the measured runs.
        measure(cluster, tuple(arm.name for arm in arms), load._replace(seconds=WARM_UP_S), seed)
        figures = compare(cluster, arms, load, runs, seed)
    finally:
        cluster.close()
    context = _make_context(runs=runs, seed=seed, rate=load.rate_per_s, seconds=load.seconds)
    write_result(name, context, figures)


@click.group()
def main() -> None:
    """Compare policies with their baselines, using real processes on loopback."""


_RUNS = click.option("--runs", type=click.IntRange(1, 50), default=5, show_default=True)
_SEED = click.option("--seed", type=int, default=1, show_default=True)
_RATE = click.option("--rate", type=click.FloatRange(0.1, 500), default=4.0, show_default=True,
                     help="Queries per second.")  # fmt: skip
_SECONDS = click.option("--seconds", type=click.FloatRange(1, 600), default=20.0,
                        show_default=True, help="Length of one run of one arm.")  # fmt: skip


@main.command()
@_RUNS
@_SEED
@_RATE
@_SECONDS
@click.option("--groups", type=click.IntRange(1, 200), default=88, show_default=True,
              help="Upstream calls per query.")  # fmt: skip
@click.option("--domains", type=click.IntRange(2, 8), default=8, show_default=True,
              help="Failure domains, each with one entry instance.")  # fmt: skip
@click.option("--replicas", type=click.IntRange(1, 8), default=3, show_default=True)
@click.option("--latency-ms", type=click.FloatRange(1, 1_000), default=100.0, show_default=True,
              help="Service time of an upstream that is not a straggler.")  # fmt: skip
@click.option("--replica-choice", type=click.Choice(["observed", "uniform"]), default="observed",
              show_default=True)  # fmt: skip
def stragglers(
    runs: int, seed: int, rate: float, seconds: float, groups: int, domains: int,
    replicas: int, latency_ms: float, replica_choice: str,
) -> None:  # fmt: skip
    """Compare hedging with no hedging while 1 reply in 100 takes ten times as long."""
    options = {"latency_ms": latency_ms, "straggler_probability": 0.01, "straggler_factor": 10}
    layout = Layout(groups, replicas, domains, ENTRIES_PER_DOMAIN, SLOTS_PER_REPLICA, options)
    arms = [Arm("unhedged", {"hedging": False}), Arm("hedged", {"hedging": True})]
    load = Load(rate, seconds, STRAGGLERS_DEADLINE_MS)
    routing = {"replica_choice": replica_choice}
    _run_arms("stragglers", layout, arms, load, runs, seed, routing=routing)


if __name__ == "__main__":
    main()
