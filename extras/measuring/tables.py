"""Samples of a measurement, their table and slopes, and readings of CPU time and memory."""

import json
import statistics
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import click

EXTRAS_FOLDER = Path(__file__).parent.parent
RESULTS = EXTRAS_FOLDER.parent / "results"
MAX_TIMED_CALLS = 1_000_000


class Sample(NamedTuple):
    """One measured value of one repeat, in the unit that the series names."""

    series: str
    size: int
    value: float


class Table:
    """The samples of one command; `save` writes them with median, range and slope per series."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._samples: list[Sample] = []

    def add(self, series: str, size: int, value: float) -> None:
        """Add one sample and print it to standard error."""
        self._samples.append(Sample(series, size, value))
        click.echo(f"  {series} at {size}: {value:.6g}", err=True)

    def save(self) -> None:
        """Print the summary and write it with all samples under `results/`."""
        series = list(dict.fromkeys(sample.series for sample in self._samples))
        rows = [row for name in series for row in self._summarise(name)]
        text = "\n".join([f"{'series':<58}{'size':>6}{'runs':>5}{'median':>13}  range", *rows])
        RESULTS.mkdir(exist_ok=True)
        (RESULTS / f"{self._name}.txt").write_text(text + "\n")
        document = {"samples": [sample._asdict() for sample in self._samples]}
        (RESULTS / f"{self._name}.json").write_text(json.dumps(document, indent=1))
        click.echo(text)

    def _summarise(self, series: str) -> list[str]:
        by_size: dict[int, list[float]] = {}
        for sample in self._samples:
            if sample.series == series:
                by_size.setdefault(sample.size, []).append(sample.value)
        rows = [_format_row(series, str(size), values) for size, values in sorted(by_size.items())]
        repeats = min(len(values) for values in by_size.values())
        if len(by_size) >= 3:
            slopes, intercepts = [], []
            for repeat in range(repeats):
                points = [(size, values[repeat]) for size, values in by_size.items()]
                slope, intercept = fit_line(points)
                slopes.append(slope)
                intercepts.append(intercept)
            rows.append(_format_row(series, "slope", slopes))
            rows.append(_format_row(series, "at 0", intercepts))
        return rows


def _format_row(series: str, size: str, values: list[float]) -> str:
    median = statistics.median(values)
    spread = f"{min(values):.4g} to {max(values):.4g}"
    return f"{series:<58}{size:>6}{len(values):>5}{median:>13.5g}  {spread}"


def fit_line(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line."""
    slope, intercept = statistics.linear_regression(*zip(*points, strict=True))
    return slope, intercept


def read_cpu_s(pid: int) -> float:
    """Return the CPU time that all threads of a process have used so far, in seconds."""
    # The scheduler statistics are in ns; /proc/PID/stat counts in ticks of 10 ms.
    files = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(file.read_text().split()[0]) for file in files) / 1e9


def read_rss_mib(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    line = next(line for line in lines if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def measure_call_us(call: Callable[[], Any], min_duration_s: float = 0.2) -> float:
    """Return the CPU time of one call in microseconds.

    The number of calls grows until they take at least `min_duration_s` or reach 1,000,000.
    """
    call()
    count = 1
    while True:
        start = time.process_time()
        for _ in range(count):
            call()
        used_s = time.process_time() - start
        if used_s >= min_duration_s or count >= MAX_TIMED_CALLS:
            return used_s / count * 1e6
        count = max(count * 2, int(count * min_duration_s / max(used_s, 1e-4)))


async def repeat(call: Callable[[], Awaitable[Any]], count: int) -> None:
    """Await `call` `count` times, one call after the other."""
    for _ in range(count):
        await call()
