"""What instances keep in memory, against services, upstreams and peers."""

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
from citronpaddle.policy.snapshot import pin_snapshot
from citronpaddle.settings import PeerSettings

from .bench import Bench
from .builders import make_configuration, make_domain, make_indexes, make_membership
from .sizes import MAX_CONNECTIONS
from .tables import Table, read_rss_mib


def run_snippet(code: str) -> float:
    """Return the resident memory in MiB of a new interpreter after `code`."""
    program = f"{code}\nprint(open('/proc/self/status').read().split('VmRSS:')[1].split()[0])"
    done = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    return int(done.stdout) / 1024


def trace(build: Callable[[], Any]) -> float:
    """Return the KiB that what `build` returns keeps allocated."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return (after - before) / 1024


@click.command()
@click.option("--repeats", default=3, show_default=True)
def memory(repeats: int) -> None:
    """Memory of an idle instance and its growth per part."""
    table = Table("memory")
    snippets = {
        "interpreter": "pass",
        "interpreter, asyncio and aiohttp": "import asyncio, aiohttp.web",
        "all modules of an entry instance": "import citronpaddle.cli.entry",
    }
    for _ in range(repeats):
        for name, code in snippets.items():
            table.add(f"MiB resident: {name}", 1, run_snippet(code))
        measure_start(table)
        for size in (10, 30, 91):
            measure_services(table, size)
        for size in (10, 100, 889):
            table.add("KiB traced, owner and leases / upstreams", size, trace_domain(size, 122))
        for size in (10, 100, 1_099):
            table.add("KiB traced, settings and membership / peers", size, trace_peers(size))
        for size in (10, 100, 300):
            asyncio.run(measure_sessions(table, size))
    table.save()


def measure_start(table: Table) -> None:
    """Start an instance alone and read its memory."""
    bench = Bench()
    try:
        bench.start_platform()
        bench.plan_entries({"entry": "front"})
        bench.start_entry("entry")
        bench.wait_until(lambda: send(bench.entries["entry"]["http"], "/v1/status").status == 200)
        time.sleep(2.0)
        table.add("MiB resident: idle instance", 1, read_rss_mib(bench.processes["entry"].pid))
    finally:
        bench.close()


def measure_services(table: Table, size: int) -> None:
    """Memory of configured services and of indexes in use."""
    table.add(
        "KiB traced, configuration / services of 88",
        size,
        trace(lambda: make_configuration(size)),
    )
    data = [encode_indexes(make_indexes(number)) for number in range(size)]

    def build() -> Any:
        indexes = [decode_indexes(body) for body in data]
        return indexes, [pin_snapshot(items) for items in indexes]

    table.add("KiB traced, index cache / services in use", size, trace(build))


def trace_domain(upstreams: int, instances: int) -> float:
    """Return the KiB of owner, holder and voter of a domain, all upstreams granted."""
    return trace(lambda: make_domain(upstreams, instances))


def trace_peers(size: int) -> float:
    """Return the KiB of the settings of `size` peers and of the view of them."""

    def build() -> Any:
        peers = tuple(
            PeerSettings(
                name=f"entry-{number:04}",
                failure_domain=f"domain-{number % 9}",
                address=f"10.0.{number // 200}.{number % 200 + 1}:9000",
            )
            for number in range(size)
        )
        return peers, make_membership(size)

    return trace(build)


async def measure_sessions(table: Table, size: int) -> None:
    """Memory of the connection pool of an owned upstream with one open connection."""
    bench = Bench()
    try:
        addresses = bench.start_upstream_hosts(size, 1)
        transport = HttpUpstreams()
        gc.collect()
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        for address in addresses:
            await transport.fetch_report(address, MAX_CONNECTIONS, 2_000.0)
        gc.collect()
        used = (tracemalloc.get_traced_memory()[0] - before) / 1024
        tracemalloc.stop()
        table.add("KiB traced, pools with a connection / upstreams", size, used)
        await transport.close()
    finally:
        bench.close()
