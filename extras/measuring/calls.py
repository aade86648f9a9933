"""Measures the bytes and the CPU time of one call to an upstream."""

import asyncio
import time
from collections import Counter

import click

from citronpaddle.adapters.upstreams import HttpUpstreams
from citronpaddle.clock import SystemClock

from .bench import BenchmarkCluster
from .sizes import MAX_CONNECTIONS
from .tables import Table, repeat

RELAYED_CALLS = 50
TIMED_CALLS = 1_000
CALL_TIMEOUT_MS = 1_000.0
RELAY_BUFFER_BYTES = 65_536


@click.command()
@click.option("--repeats", default=3, show_default=True)
def upstream_calls(repeats: int) -> None:
    """Measure bytes and CPU time of one call to an upstream through the HTTP adapter."""
    table = Table("upstream-calls")
    bench = BenchmarkCluster()
    try:
        address = bench.start_upstream_hosts(1, 1)[0]
        for _ in range(repeats):
            asyncio.run(measure_calls(table, address))
    finally:
        bench.close()
    table.save()


async def measure_calls(table: Table, address: str) -> None:
    """Count the bytes of index reports through a TCP relay, and time reports without the relay."""
    byte_counts = Counter()
    host, port = address.split(":")

    async def relay_data(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, key: str
    ) -> None:
        while data := await reader.read(RELAY_BUFFER_BYTES):
            byte_counts[key] += len(data)
            writer.write(data)
        writer.close()

    async def relay_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        upstream_reader, upstream_writer = await asyncio.open_connection(host, int(port))
        await asyncio.gather(
            relay_data(reader, upstream_writer, "out"), relay_data(upstream_reader, writer, "in")
        )

    server = await asyncio.start_server(relay_connection, "127.0.0.1", 0)
    relay = "{}:{}".format(*server.sockets[0].getsockname()[:2])
    transport = HttpUpstreams(SystemClock())

    async def fetch_report_from(target: str) -> None:
        await transport.fetch_report(target, MAX_CONNECTIONS, CALL_TIMEOUT_MS)

    await repeat(lambda: fetch_report_from(relay), RELAYED_CALLS)
    table.add("index report, bytes sent", 1, byte_counts["out"] / RELAYED_CALLS)
    table.add("index report, bytes received", 1, byte_counts["in"] / RELAYED_CALLS)
    start = time.process_time()
    await repeat(lambda: fetch_report_from(address), TIMED_CALLS)
    table.add("index report, us", 1, (time.process_time() - start) / TIMED_CALLS * 1e6)
    await transport.close()
    server.close()
