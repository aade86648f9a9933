"""Measures entry instances without queries: control traffic, store calls and changes."""

import statistics
import time
from collections import Counter

import click

from citronpaddle.policy.changes import ApplyFile, UsePreset

from .bench import BenchmarkCluster, make_service_change
from .tables import Table, read_rss_mib

OWNERSHIP_TIMEOUT_S = 60.0
OWNERSHIP_POLL_S = 2.0
CONNECTION_SETTLE_S = 10.0
APPLY_WAIT_S = 2.0
APPLY_TIMEOUT_S = 10.0
APPLY_POLL_S = 0.5


@click.command()
@click.option("--repeats", default=3, show_default=True)
@click.option("--sizes", default="3,9,27,45", show_default=True)
@click.option("--domains", default=9, show_default=True, help="Maximum number of failure domains.")
@click.option("--window-s", default=8.0, show_default=True)
@click.option("--upstreams-per-instance", default=7, show_default=True)
@click.option("--name", default="control", show_default=True, help="Name of the result files.")
def control(
    repeats: int, sizes: str, domains: int, window_s: float, upstreams_per_instance: int, name: str
) -> None:
    """Measure control traffic, CPU time, store calls and the time to apply a change."""
    table = Table(name)
    try:
        for size in (int(text) for text in sizes.split(",")):
            measure_instances(
                table, size, min(size, domains), repeats, window_s, upstreams_per_instance
            )
    finally:
        table.save()


def measure_instances(
    table: Table, size: int, domains: int, repeats: int, window_s: float, per_instance: int
) -> None:
    """Measure `size` entry instances that get no queries."""
    bench = BenchmarkCluster()
    try:
        bench.start_platform()
        names = {f"e{index}": f"d{index % domains}" for index in range(size)}
        bench.plan_entries(names)
        # All upstreams share one stand-in: the cost of owning one does not depend on its address.
        address = bench.start_upstream_hosts(1, 1)[0]
        domain_names = sorted(set(names.values()))
        addresses = [address] * (per_instance * size)
        bench.edit(ApplyFile(make_service_change(addresses, "held", domain_names)))
        bench.start_instrumented(names)
        wait_until_owned(bench, per_instance * size, OWNERSHIP_TIMEOUT_S)
        # Instances connect to randomly chosen peers, so connections accumulate for some seconds.
        time.sleep(CONNECTION_SETTLE_S)
        for _ in range(repeats):
            measure_window(bench, table, size, window_s)
            measure_changes(bench, table, size)
    finally:
        bench.close()


def wait_until_owned(bench: BenchmarkCluster, count: int, limit_s: float) -> None:
    """Wait up to `limit_s` until every upstream has an owner; print how many have one."""
    timeout_at_s = time.monotonic() + limit_s
    held = 0
    while time.monotonic() < timeout_at_s and held < count:
        time.sleep(OWNERSHIP_POLL_S)
        held = sum(bench.read_counters(name)["held"] for name in bench.counters)
    click.echo(f"  {held} of {count} upstreams have an owner", err=True)


def measure_window(bench: BenchmarkCluster, table: Table, size: int, window_s: float) -> None:
    """Count frames, store calls and CPU time over a window without configuration changes."""
    names = list(bench.counters)
    counters_before = {name: bench.read_counters(name) for name in names}
    store_calls_before = bench.read_store_calls()
    cpu_s_by_name = {name: bench.cpu_s(name) for name in names}
    start = time.monotonic()
    time.sleep(window_s)
    cpu_s_by_name = {name: bench.cpu_s(name) - cpu_s_by_name[name] for name in names}
    elapsed_s = time.monotonic() - start
    store_calls = bench.read_store_calls() - store_calls_before
    sent_frames: Counter[str] = Counter()
    sent_bytes: Counter[str] = Counter()
    for name in names:
        after = bench.read_counters(name)
        sent_frames += Counter(after["frames"]) - Counter(counters_before[name]["frames"])
        sent_bytes += Counter(after["bytes"]) - Counter(counters_before[name]["bytes"])
    instance_s = size * elapsed_s
    table.add(
        "processor time, % of a core, mean", size, sum(cpu_s_by_name.values()) / instance_s * 100
    )
    table.add(
        "processor time, % of a core, highest", size, max(cpu_s_by_name.values()) / elapsed_s * 100
    )
    table.add("frames sent per instance and s", size, sum(sent_frames.values()) / instance_s)
    table.add(
        "bytes sent in frames per instance and s", size, sum(sent_bytes.values()) / instance_s
    )
    for kind in sorted(sent_frames):
        table.add(f"  {kind} frames per instance and s", size, sent_frames[kind] / instance_s)
        table.add(f"  {kind} bytes per frame", size, sent_bytes[kind] / sent_frames[kind])
    table.add("store calls per s, whole fleet", size, sum(store_calls.values()) / elapsed_s)
    rss = [read_rss_mib(bench.processes[name].pid) for name in names]
    table.add("resident memory, MiB, mean", size, statistics.mean(rss))


def measure_changes(bench: BenchmarkCluster, table: Table, size: int, count: int = 2) -> None:
    """Commit changes and measure the time until the last instance has applied each."""
    before = bench.read_store_calls()
    for number in range(count):
        start_s = time.monotonic()
        bench.edit(UsePreset(("peak", "ordinary")[number % 2]))
        accepted_s = time.monotonic()
        time.sleep(APPLY_WAIT_S)
        times = find_apply_times(bench, start_s, accepted_s + APPLY_TIMEOUT_S)
        table.add("ms from acceptance to the last in force", size, (times[-1] - accepted_s) * 1e3)
    after = bench.read_store_calls()
    table.add("store calls per change, all kinds", size, sum((after - before).values()) / count)


def find_apply_times(bench: BenchmarkCluster, start_s: float, timeout_at_s: float) -> list[float]:
    """Return the sorted times at which each instance applied the change made after `start_s`.

    If an instance has not applied it by `timeout_at_s`, the current time is appended.
    """
    while True:
        found = []
        for name in bench.counters:
            times = [at for at in bench.read_counters(name)["applied_s"].values() if at > start_s]
            found += times[:1]
        if len(found) == len(bench.counters):
            return sorted(found)
        if time.monotonic() > timeout_at_s:
            click.echo(f"  only {len(found)} instances have applied the change", err=True)
            return [*sorted(found), time.monotonic()]
        time.sleep(APPLY_POLL_S)
