"""What one call of an upstream costs."""

import asyncio
import time
from collections import Counter

import click

from citronpaddle.adapters.upstreams import HttpUpstreams

from .bench import Bench
from .sizes import MAX_CONNECTIONS
from .tables import Table, repeat


@click.command()
@click.option("--repeats", default=3, show_default=True)
def upstream_calls(repeats: int) -> None:
    """Bytes and processor time of one call to an upstream through the adapter."""
    table = Table("upstream-calls")
    bench = Bench()
    try:
        address = bench.start_upstream_hosts(1, 1)[0]
        for _ in range(repeats):
            asyncio.run(measure_calls(table, address))
    finally:
        bench.close()
    table.save()


async def measure_calls(table: Table, address: str) -> None:
    """Count the bytes of reports through a relay, and time reports without it."""
    counts = Counter()
    host, port = address.split(":")

    async def copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, key: str) -> None:
        while data := await reader.read(65_536):
            counts[key] += len(data)
            writer.write(data)
        writer.close()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        other_reader, other_writer = await asyncio.open_connection(host, int(port))
        await asyncio.gather(copy(reader, other_writer, "out"), copy(other_reader, writer, "in"))

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    relay = "{}:{}".format(*server.sockets[0].getsockname()[:2])
    transport = HttpUpstreams()

    async def report(target: str) -> None:
        await transport.fetch_report(target, MAX_CONNECTIONS, 1_000.0)

    await repeat(lambda: report(relay), 50)
    table.add("index report, bytes sent", 1, counts["out"] / 50)
    table.add("index report, bytes received", 1, counts["in"] / 50)
    start = time.process_time()
    await repeat(lambda: report(address), 1_000)
    table.add("index report, us", 1, (time.process_time() - start) / 1_000 * 1e6)
    await transport.close()
    server.close()
