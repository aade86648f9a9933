"""Measures the memory of instances against the number of services, upstreams and peers."""

import asyncio
import gc
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import click
from cluster import send

from citronpaddle.adapters.messages import decode_indexes, encode_indexes
from citronpaddle.adapters.upstreams import HttpUpstreams
from citronpaddle.clock import SystemClock
from citronpaddle.policy.snapshot import pin_snapshot
from citronpaddle.settings import PeerSettings

from .bench import BenchmarkCluster
from .builders import make_configuration, make_domain, make_indexes, make_membership
from .sizes import MAX_CONNECTIONS
from .tables import Table, read_rss_mib

DOMAIN_COUNT = 9
DOMAIN_INSTANCES = 122
IDLE_SETTLE_S = 2.0
REPORT_TIMEOUT_MS = 2_000.0


def measure_snippet_mib(code: str) -> float:
    """Return the resident memory in MiB of a new interpreter that has run `code`."""
    program = f"{code}\nprint(open('/proc/self/status').read().split('VmRSS:')[1].split()[0])"
    completed = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    return int(completed.stdout) / 1024


def measure_allocated_kib(build: Callable[[], Any]) -> float:
    """Return the KiB that the object returned by `build` keeps allocated."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return (after - before) / 1024


@click.command()
@click.option("--repeats", default=3, show_default=True)
def memory(repeats: int) -> None:
    """Measure the memory of an idle instance and its growth per service, upstream and peer."""
    table = Table("memory")
    snippets = {
        "interpreter": "pass",
        "interpreter, asyncio and aiohttp": "import asyncio, aiohttp.web",
        "all modules of an entry instance": "import citronpaddle.cli.entry",
    }
    for _ in range(repeats):
        for name, code in snippets.items():
            table.add(f"MiB resident: {name}", 1, measure_snippet_mib(code))
        measure_idle_instance(table)
        for size in (10, 30, 91):
            measure_services(table, size)
        for size in (10, 100, 889):
            table.add(
                "KiB traced, owner and leases / upstreams",
                size,
                measure_domain_kib(size, DOMAIN_INSTANCES),
            )
        for size in (10, 100, 1_099):
            table.add("KiB traced, settings and membership / peers", size, measure_peers_kib(size))
        for size in (10, 100, 300):
            asyncio.run(measure_connection_pools(table, size))
    table.save()


def measure_idle_instance(table: Table) -> None:
    """Measure the resident memory of a single instance without services."""
    bench = BenchmarkCluster()
    try:
        bench.start_platform()
        bench.plan_entries({"entry": "front"})
        bench.start_entry("entry")
        bench.wait_until(lambda: send(bench.entries["entry"]["http"], "/v1/status").status == 200)
        time.sleep(IDLE_SETTLE_S)
        table.add("MiB resident: idle instance", 1, read_rss_mib(bench.processes["entry"].pid))
    finally:
        bench.close()


def measure_services(table: Table, size: int) -> None:
    """Measure the memory of `size` configured services and of their cached indexes."""
    table.add(
        "KiB traced, configuration / services of 88",
        size,
        measure_allocated_kib(lambda: make_configuration(size)),
    )
    data = [encode_indexes(make_indexes(number)) for number in range(size)]

    def build() -> Any:
        indexes = [decode_indexes(body) for body in data]
        return indexes, [pin_snapshot(items) for items in indexes]

    table.add("KiB traced, index cache / services in use", size, measure_allocated_kib(build))


def measure_domain_kib(upstreams: int, instances: int) -> float:
    """Return the KiB of the owner, holder and voter of an instance, with all upstreams granted."""
    return measure_allocated_kib(lambda: make_domain(upstreams, instances))


def measure_peers_kib(size: int) -> float:
    """Return the KiB of the settings of `size` peers and of the membership view of them."""

    def build() -> Any:
        peers = tuple(
            PeerSettings(
                name=f"entry-{number:04}",
                failure_domain=f"domain-{number % DOMAIN_COUNT}",
                address=f"10.0.{number // 200}.{number % 200 + 1}:9000",
            )
            for number in range(size)
        )
        return peers, make_membership(size)

    return measure_allocated_kib(build)


async def measure_connection_pools(table: Table, size: int) -> None:
    """Measure the memory of `size` upstream connection pools with one open connection each."""
    bench = BenchmarkCluster()
    try:
        addresses = bench.start_upstream_hosts(size, 1)
        transport = HttpUpstreams(SystemClock())
        gc.collect()
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        for address in addresses:
            await transport.fetch_report(address, MAX_CONNECTIONS, REPORT_TIMEOUT_MS)
        gc.collect()
        used = (tracemalloc.get_traced_memory()[0] - before) / 1024
        tracemalloc.stop()
        table.add("KiB traced, pools with a connection / upstreams", size, used)
        await transport.close()
    finally:
        bench.close()
