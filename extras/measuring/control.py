"""What fleets without queries cost: control traffic, store calls, changes."""

import statistics
import time
from collections import Counter

import click

from citronpaddle.policy.changes import ApplyFile, UsePreset

from .bench import Bench, make_entries
from .tables import Table, read_rss_mib


@click.command()
@click.option("--repeats", default=3, show_default=True)
@click.option("--sizes", default="3,9,27,45", show_default=True)
@click.option("--domains", default=9, show_default=True, help="The most failure domains.")
@click.option("--window-s", default=8.0, show_default=True)
@click.option("--upstreams-per-instance", default=7, show_default=True)
@click.option("--name", default="control", show_default=True, help="Name of the result files.")
def control(
    repeats: int, sizes: str, domains: int, window_s: float, upstreams_per_instance: int, name: str
) -> None:
    """Traffic and processor time of the control part, calls to the store, time of a change."""
    table = Table(name)
    try:
        for size in (int(text) for text in sizes.split(",")):
            measure_fleet(
                table, size, min(size, domains), repeats, window_s, upstreams_per_instance
            )
    finally:
        table.save()


def measure_fleet(
    table: Table, size: int, domains: int, repeats: int, window_s: float, per_instance: int
) -> None:
    """Measure a fleet of `size` idle instances."""
    bench = Bench()
    try:
        bench.start_platform()
        names = {f"e{index}": f"d{index % domains}" for index in range(size)}
        bench.plan_entries(names)
        # The ownership of an upstream costs the same whether it shares an address or not.
        address = bench.start_upstream_hosts(1, 1)[0]
        domain_names = sorted(set(names.values()))
        addresses = [address] * (per_instance * size)
        bench.edit(ApplyFile(make_entries(addresses, "held", domain_names)))
        bench.start_counted(names)
        wait_until_owned(bench, per_instance * size, 60.0)
        # Connections to peers that are met at random build up for a while.
        time.sleep(10.0)
        for _ in range(repeats):
            measure_window(bench, table, size, window_s)
            measure_changes(bench, table, size)
    finally:
        bench.close()


def wait_until_owned(bench: Bench, count: int, limit_s: float) -> None:
    """Wait until every upstream has an owner, or say how many have."""
    end_s = time.monotonic() + limit_s
    held = 0
    while time.monotonic() < end_s and held < count:
        time.sleep(2.0)
        held = sum(bench.read_counters(name)["held"] for name in bench.counters)
    click.echo(f"  {held} of {count} upstreams have an owner", err=True)


def measure_window(bench: Bench, table: Table, size: int, window_s: float) -> None:
    """Count frames, store calls and processor time over a window without changes."""
    names = list(bench.counters)
    frames = {name: bench.read_counters(name) for name in names}
    calls = bench.read_store_calls()
    cpu = {name: bench.cpu_s(name) for name in names}
    start = time.monotonic()
    time.sleep(window_s)
    cpu = {name: bench.cpu_s(name) - cpu[name] for name in names}
    passed_s = time.monotonic() - start
    used = bench.read_store_calls() - calls
    sent_frames: Counter[str] = Counter()
    sent_bytes: Counter[str] = Counter()
    for name in names:
        after = bench.read_counters(name)
        sent_frames += Counter(after["frames"]) - Counter(frames[name]["frames"])
        sent_bytes += Counter(after["bytes"]) - Counter(frames[name]["bytes"])
    per = size * passed_s
    table.add("processor time, % of a core, mean", size, sum(cpu.values()) / per * 100)
    table.add("processor time, % of a core, highest", size, max(cpu.values()) / passed_s * 100)
    table.add("frames sent per instance and s", size, sum(sent_frames.values()) / per)
    table.add("bytes sent in frames per instance and s", size, sum(sent_bytes.values()) / per)
    for kind in sorted(sent_frames):
        table.add(f"  {kind} frames per instance and s", size, sent_frames[kind] / per)
        table.add(f"  {kind} bytes per frame", size, sent_bytes[kind] / sent_frames[kind])
    table.add("store calls per s, whole fleet", size, sum(used.values()) / passed_s)
    rss = [read_rss_mib(bench.processes[name].pid) for name in names]
    table.add("resident memory, MiB, mean", size, statistics.mean(rss))


def measure_changes(bench: Bench, table: Table, size: int, count: int = 2) -> None:
    """Make changes and take the time from acceptance to the last instance in force."""
    before = bench.read_store_calls()
    for number in range(count):
        start_s = time.monotonic()
        bench.edit(UsePreset(("peak", "ordinary")[number % 2]))
        accepted_s = time.monotonic()
        time.sleep(2.0)
        times = find_times(bench, start_s, accepted_s + 10.0)
        table.add("ms from acceptance to the last in force", size, (times[-1] - accepted_s) * 1e3)
    after = bench.read_store_calls()
    table.add("store calls per change, all kinds", size, sum((after - before).values()) / count)


def find_times(bench: Bench, start_s: float, end_s: float) -> list[float]:
    """Return when each instance put the change in force that was made after `start_s`."""
    while True:
        found = []
        for name in bench.counters:
            times = [at for at in bench.read_counters(name)["applied_s"].values() if at > start_s]
            found += times[:1]
        if len(found) == len(bench.counters):
            return sorted(found)
        if time.monotonic() > end_s:
            click.echo(f"  only {len(found)} instances have the change in force", err=True)
            return [*sorted(found), time.monotonic()]
        time.sleep(0.5)
