"""The processes of a measurement, and the queries that load them."""

import asyncio
import itertools
import json
import os
import random
import socket
import statistics
import tempfile
import time
from collections import Counter
from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import click
import cluster
from cluster import Cluster, send

from citronpaddle.documents import (
    ChangeFile,
    PresetEntry,
    ServiceEntry,
    UpstreamEntry,
)

from .sizes import MAX_CONNECTIONS, SLOTS
from .tables import EXTRAS_FOLDER, RESULTS, read_cpu_s

MIN_FIRST_PORT = 23_000
FIRST_PORT_LIMIT = 30_000
MAX_DEADLINE_MS = 5_000
PEAK_MAX_IN_FLIGHT = 64
QUERY_CONCURRENCY = 2
WARM_UP_QUERIES = 60
START_CONCURRENCY = 4


class BenchmarkCluster(Cluster):
    """The stand-ins and entry instances of one measurement."""

    def __init__(self) -> None:
        super().__init__()
        # Kept apart from the tests' temporary folders, which may be removed during a measurement.
        RESULTS.mkdir(exist_ok=True)
        self.folder = Path(tempfile.mkdtemp(prefix="run-", dir=RESULTS))
        cluster.find_port = self._find_port
        self._ports = itertools.count(
            random.SystemRandom().randrange(MIN_FIRST_PORT, FIRST_PORT_LIMIT)
        )
        path = [str(EXTRAS_FOLDER), str(EXTRAS_FOLDER.parent), str(EXTRAS_FOLDER.parent / "tests")]
        os.environ["PYTHONPATH"] = os.pathsep.join(path)
        self.counters: dict[str, str] = {}

    def _find_port(self) -> int:
        # Ports below the ephemeral range: an outgoing connection could take a port from that range
        # before the process binds it.
        for port in self._ports:
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
                return port
        raise AssertionError("the port counter has no end")

    def start_instrumented(self, names: Iterable[str]) -> None:
        """Start planned entry instances that serve their traffic counters over HTTP."""

        def start(name: str) -> None:
            settings = str(self.entries[name]["settings"])
            self.counters[name] = self.spawn(
                name, "measure", "host-entry", "--settings", settings, has_line=True
            )

        with ThreadPoolExecutor(START_CONCURRENCY) as pool:
            list(pool.map(start, names))

    def start_upstream_hosts(self, count: int, hosts: int, rows: int = 3) -> list[str]:
        """Start `count` upstream stand-ins in `hosts` processes; return their addresses.

        Each shard has `rows` rows.
        """
        addresses: list[str] = []
        upstreams_per_host = -(-count // hosts)
        for host in range(hosts):
            first = host * upstreams_per_host
            options = {
                "count": min(upstreams_per_host, count - first),
                "total": count,
                "first": first,
                "rows": rows,
            }
            arguments = [f"--{key}={value}" for key, value in options.items()]
            # `close` ends processes by name: a reused name would leave the first process running.
            name = f"upstreams-{len(self.processes)}"
            addresses += json.loads(self.spawn(name, "measure", "host-upstreams", *arguments))
        return addresses

    def read_counters(self, name: str) -> dict[str, Any]:
        """Return the counters that an instance serves."""
        return send(self.counters[name], "/").body

    def read_store_calls(self) -> Counter[str]:
        """Return the number of calls to the store stand-in so far by kind."""
        return Counter(send(self.store, "/control").body["calls"])

    def cpu_s(self, name: str) -> float:
        """Return the CPU time that a process has used so far, in seconds."""
        return read_cpu_s(self.processes[name].pid)


def make_service_change(
    addresses: Sequence[str], service: str, domains: Sequence[str]
) -> ChangeFile:
    """Return a change that adds a service with one upstream per address, spread over `domains`."""
    upstreams = {
        f"{service}-u{index}": UpstreamEntry(
            address=address,
            failure_domain=domains[index % len(domains)],
            slots=SLOTS,
            max_connections=MAX_CONNECTIONS,
        )
        for index, address in enumerate(addresses)
    }
    entry = ServiceEntry(
        group="measured", upstreams=tuple(upstreams), max_deadline_ms=MAX_DEADLINE_MS
    )
    presets = {"ordinary": PresetEntry(), "peak": PresetEntry(max_in_flight=PEAK_MAX_IN_FLIGHT)}
    return ChangeFile(services={service: entry}, upstreams=upstreams, presets=presets)


class QueryResults(NamedTuple):
    """Results of a run of queries: queries, complete answers, rows and latencies."""

    count: int
    complete: int
    rows: int
    latencies_ms: list[float]


async def run_queries(address: str, service: str, count: int, concurrency: int) -> QueryResults:
    """Send `count` queries over HTTP, at most `concurrency` at a time."""
    remaining = iter(range(count))
    latencies: list[float] = []
    complete = rows = 0
    url = f"http://{address}/v1/services/{service}/query"
    body = {"query": "oak", "limit": 50, "deadline_ms": 2_000}

    async def send_queries(session: aiohttp.ClientSession) -> None:
        nonlocal complete, rows
        for _ in remaining:
            start = time.monotonic()
            async with session.post(url, json=body) as response:
                answer = await response.json(content_type=None)
            latencies.append((time.monotonic() - start) * 1e3)
            complete += response.status == 200 and answer["coverage"]["complete"]
            rows += len(answer.get("rows", ()))

    async with aiohttp.ClientSession() as session:
        await asyncio.gather(*(send_queries(session) for _ in range(concurrency)))
    return QueryResults(count, complete, rows, latencies)


def warm_up(bench: BenchmarkCluster, name: str, service: str) -> None:
    """Wait for a complete answer, then send queries that raise the admission allowances."""
    bench.service = service
    bench.wait_complete(name)
    asyncio.run(
        run_queries(bench.entries[name]["http"], service, WARM_UP_QUERIES, QUERY_CONCURRENCY)
    )


def measure_idle(
    bench: BenchmarkCluster, names: Sequence[str], duration_s: float
) -> dict[str, float]:
    """Return the CPU seconds per second that each instance uses without queries."""
    before = {name: bench.cpu_s(name) for name in names}
    start = time.monotonic()
    time.sleep(duration_s)
    elapsed_s = time.monotonic() - start
    return {name: (bench.cpu_s(name) - before[name]) / elapsed_s for name in names}


class QueryCost(NamedTuple):
    """CPU time per query at the entry instance and at the other owners in total; median latency."""

    entry_ms: float
    owners_ms: float
    p50_ms: float


def measure_load(
    bench: BenchmarkCluster,
    entry: str,
    owners: Sequence[str],
    service: str,
    count: int,
    idle: dict[str, float],
) -> QueryCost:
    """Run queries and return the cost of one; the CPU use of idle instances is subtracted."""
    names = [entry, *(owner for owner in owners if owner != entry)]
    before = {name: bench.cpu_s(name) for name in names}
    start = time.monotonic()
    results = asyncio.run(
        run_queries(bench.entries[entry]["http"], service, count, QUERY_CONCURRENCY)
    )
    elapsed_s = time.monotonic() - start
    used = {name: bench.cpu_s(name) - before[name] - idle[name] * elapsed_s for name in names}
    if results.complete < results.count:
        click.echo(f"  {service}: {results.complete} of {results.count} answers complete", err=True)
    owners_s = sum(used[name] for name in owners if name != entry)
    p50_ms = statistics.median(results.latencies_ms)
    return QueryCost(used[entry] / count * 1e3, owners_s / count * 1e3, p50_ms)
