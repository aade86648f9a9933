"""Measures open connections between instances and requests for upstream indexes."""

import asyncio
import gc
import time
import tracemalloc

import click

from citronpaddle.adapters.messages import ThriftPeers
from citronpaddle.adapters.peers import FrameClient
from citronpaddle.clock import SystemClock

from .bench import BenchmarkCluster
from .builders import make_indexes
from .tables import Table, repeat

# SETTLE_S and WINDOW_S together stay below 3 s, after which an idle connection is closed.
SETTLE_S = 0.5
WINDOW_S = 2.0
DESCRIBE_CALLS = 1_000
TIMEOUT_MS = 1_000.0


@click.command()
@click.option("--repeats", default=3, show_default=True)
@click.option("--sizes", default="10,100,400", show_default=True)
def pings(repeats: int, sizes: str) -> None:
    """Measure CPU time and memory of open connections between instances, and index requests."""
    bench, table = BenchmarkCluster(), Table("pings")
    try:
        address = bench.spawn("peers", "measure", "host-peers")
        for _ in range(repeats):
            for size in (int(text) for text in sizes.split(",")):
                asyncio.run(measure_pings(bench, table, address, size))
            for size in (1, 8, 88):
                asyncio.run(measure_describe(bench, table, address, size))
    finally:
        bench.close()
    table.save()


async def measure_pings(bench: BenchmarkCluster, table: Table, address: str, size: int) -> None:
    """Measure CPU time and memory of `size` open connections, on which only pings are sent."""
    gc.collect()
    tracemalloc.start()
    # A client opens one connection per address, so each peer is simulated by a client of its own.
    clients = [FrameClient(SystemClock()) for _ in range(size)]
    before_bytes = tracemalloc.get_traced_memory()[0]
    connections = [await client._connect(address, TIMEOUT_MS) for client in clients]
    await asyncio.sleep(SETTLE_S)
    gc.collect()
    table.add(
        "KiB traced per connection, client side",
        size,
        (tracemalloc.get_traced_memory()[0] - before_bytes) / 1024 / size,
    )
    tracemalloc.stop()
    start_s, cpu_start_s = time.monotonic(), time.process_time()
    peer_cpu_start_s = bench.cpu_s("peers")
    await asyncio.sleep(WINDOW_S)
    elapsed_s = time.monotonic() - start_s
    used_s = time.process_time() - cpu_start_s
    table.add("client, % of a core for its pings", size, used_s / elapsed_s * 100)
    table.add(
        "server, % of a core", size, (bench.cpu_s("peers") - peer_cpu_start_s) / elapsed_s * 100
    )
    assert all(getattr(connection, "is_open", False) for connection in connections)
    for client in clients:
        await client.close()


async def measure_describe(bench: BenchmarkCluster, table: Table, address: str, size: int) -> None:
    """Measure requests for the indexes of `size` upstreams, sent one after the other."""
    peers = ThriftPeers(FrameClient(SystemClock()))
    names = [index.upstream for index in make_indexes(1)][:size]
    count = DESCRIBE_CALLS
    await peers.describe(address, names, TIMEOUT_MS)
    cpu_start_s, server_cpu_start_s = time.process_time(), bench.cpu_s("peers")
    await repeat(lambda: peers.describe(address, names, TIMEOUT_MS), count)
    used_s = time.process_time() - cpu_start_s
    table.add("DESCRIBE, us at the asker / upstreams", size, used_s / count * 1e6)
    server_s = bench.cpu_s("peers") - server_cpu_start_s
    table.add("DESCRIBE, us at the asked / upstreams", size, server_s / count * 1e6)
    await peers.close()
