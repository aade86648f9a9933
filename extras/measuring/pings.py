"""What open connections between instances and frames of the index cost."""

import asyncio
import gc
import time
import tracemalloc

import click

from citronpaddle.adapters.messages import ThriftPeers
from citronpaddle.adapters.peers import FrameClient
from citronpaddle.clock import SystemClock

from .bench import Bench
from .builders import make_indexes
from .tables import Table, repeat

# Together shorter than the time after which an idle connection is closed, 3 s.
SETTLE_S = 0.5
WINDOW_S = 2.0


@click.command()
@click.option("--repeats", default=3, show_default=True)
@click.option("--sizes", default="10,100,400", show_default=True)
def pings(repeats: int, sizes: str) -> None:
    """Cost of open connections between instances: pings, processor time and memory."""
    bench, table = Bench(), Table("pings")
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


async def measure_pings(bench: Bench, table: Table, address: str, size: int) -> None:
    """Keep `size` connections open for a while."""
    gc.collect()
    tracemalloc.start()
    # One client has one connection per address, so that many clients stand for many peers.
    clients = [FrameClient(SystemClock()) for _ in range(size)]
    before_bytes = tracemalloc.get_traced_memory()[0]
    connections = [await client._connect(address, 1_000.0) for client in clients]
    await asyncio.sleep(SETTLE_S)
    gc.collect()
    table.add(
        "KiB traced per connection, client side",
        size,
        (tracemalloc.get_traced_memory()[0] - before_bytes) / 1024 / size,
    )
    tracemalloc.stop()
    start_s, start = time.monotonic(), time.process_time()
    peer = bench.cpu_s("peers")
    await asyncio.sleep(WINDOW_S)
    passed_s = time.monotonic() - start_s
    used_s = time.process_time() - start
    table.add("client, % of a core for its pings", size, used_s / passed_s * 100)
    table.add("server, % of a core", size, (bench.cpu_s("peers") - peer) / passed_s * 100)
    assert all(getattr(connection, "is_open", False) for connection in connections)
    for client in clients:
        await client.close()


async def measure_describe(bench: Bench, table: Table, address: str, size: int) -> None:
    """Fetch the index of `size` upstreams, one frame after the other."""
    peers = ThriftPeers(FrameClient(SystemClock()))
    names = [index.upstream for index in make_indexes(1)][:size]
    count = 1_000
    await peers.describe(address, names, 1_000.0)
    start, server = time.process_time(), bench.cpu_s("peers")
    await repeat(lambda: peers.describe(address, names, 1_000.0), count)
    used_s = time.process_time() - start
    table.add("DESCRIBE, us at the asker / upstreams", size, used_s / count * 1e6)
    server_s = bench.cpu_s("peers") - server
    table.add("DESCRIBE, us at the asked / upstreams", size, server_s / count * 1e6)
    await peers.close()


# Memory
