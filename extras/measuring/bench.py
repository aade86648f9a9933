"""The processes of one measurement, and the load that they get."""

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
from .tables import HERE, RESULTS, read_cpu_s


class Bench(Cluster):
    """Processes of one measurement."""

    def __init__(self) -> None:
        super().__init__()
        # Not among the folders of tests, which may be removed while a measurement runs.
        RESULTS.mkdir(exist_ok=True)
        self.folder = Path(tempfile.mkdtemp(prefix="run-", dir=RESULTS))
        cluster.find_port = self._find_port
        self._ports = itertools.count(random.SystemRandom().randrange(23_000, 30_000))
        path = [str(HERE), str(HERE.parent), str(HERE.parent / "tests")]
        os.environ["PYTHONPATH"] = os.pathsep.join(path)
        self.counters: dict[str, str] = {}

    def _find_port(self) -> int:
        # Below the range of outgoing connections, one of which could take the port in the meantime.
        for port in self._ports:
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
                return port
        raise AssertionError("there is always a next port")

    def start_counted(self, names: Iterable[str]) -> None:
        """Start planned entry instances that serve their counters."""

        def start(name: str) -> None:
            settings = str(self.entries[name]["settings"])
            self.counters[name] = self.spawn(
                name, "measure", "host-entry", "--settings", settings, has_line=True
            )

        with ThreadPoolExecutor(4) as pool:
            list(pool.map(start, names))

    def start_upstream_hosts(self, count: int, hosts: int, rows: int = 3) -> list[str]:
        """Start `count` upstreams in `hosts` processes; return their addresses."""
        addresses: list[str] = []
        share = -(-count // hosts)
        for host in range(hosts):
            first = host * share
            options = {
                "count": min(share, count - first),
                "total": count,
                "first": first,
                "rows": rows,
            }
            arguments = [f"--{key}={value}" for key, value in options.items()]
            # A name that is used twice would hide the first process from `close`.
            name = f"upstreams-{len(self.processes)}"
            addresses += json.loads(self.spawn(name, "measure", "host-upstreams", *arguments))
        return addresses

    def read_counters(self, name: str) -> dict[str, Any]:
        """Return the counters of an instance."""
        return send(self.counters[name], "/").body

    def read_store_calls(self) -> Counter[str]:
        """Return the store's calls so far by kind."""
        return Counter(send(self.store, "/control").body["calls"])

    def cpu_s(self, name: str) -> float:
        """Return the processor time of a process."""
        return read_cpu_s(self.processes[name].pid)


def make_entries(addresses: Sequence[str], service: str, domains: Sequence[str]) -> ChangeFile:
    """Return a change that adds a service over `addresses`, spread over `domains`."""
    upstreams = {
        f"{service}-u{index}": UpstreamEntry(
            address=address,
            failure_domain=domains[index % len(domains)],
            slots=SLOTS,
            max_connections=MAX_CONNECTIONS,
        )
        for index, address in enumerate(addresses)
    }
    entry = ServiceEntry(group="measured", upstreams=tuple(upstreams), max_deadline_ms=5_000)
    presets = {"ordinary": PresetEntry(), "peak": PresetEntry(max_in_flight=64)}
    return ChangeFile(services={service: entry}, upstreams=upstreams, presets=presets)


class Load(NamedTuple):
    """What a run of queries gave."""

    count: int
    complete: int
    rows: int
    latencies_ms: list[float]


async def run_queries(address: str, service: str, count: int, concurrency: int) -> Load:
    """Send `count` queries, `concurrency` at a time."""
    left = iter(range(count))
    latencies: list[float] = []
    complete = rows = 0
    url = f"http://{address}/v1/services/{service}/query"
    body = {"query": "oak", "limit": 50, "deadline_ms": 2_000}

    async def work(session: aiohttp.ClientSession) -> None:
        nonlocal complete, rows
        for _ in left:
            start = time.monotonic()
            async with session.post(url, json=body) as response:
                answer = await response.json(content_type=None)
            latencies.append((time.monotonic() - start) * 1e3)
            complete += response.status == 200 and answer["coverage"]["complete"]
            rows += len(answer.get("rows", ()))

    async with aiohttp.ClientSession() as session:
        await asyncio.gather(*(work(session) for _ in range(concurrency)))
    return Load(count, complete, rows, latencies)


def warm_up(bench: Bench, name: str, service: str) -> None:
    """Send queries until they are complete and the allowances have risen."""
    bench.service = service
    bench.wait_complete(name)
    asyncio.run(run_queries(bench.entries[name]["http"], service, 60, 2))


def measure_idle(bench: Bench, names: Sequence[str], duration_s: float) -> dict[str, float]:
    """Return the processor time per second without queries, by instance."""
    before = {name: bench.cpu_s(name) for name in names}
    start = time.monotonic()
    time.sleep(duration_s)
    passed_s = time.monotonic() - start
    return {name: (bench.cpu_s(name) - before[name]) / passed_s for name in names}


class Cost(NamedTuple):
    """Processor time per query in ms at the entry instance and at all owners together."""

    entry_ms: float
    owners_ms: float
    p50_ms: float


def measure_load(
    bench: Bench,
    entry: str,
    owners: Sequence[str],
    service: str,
    count: int,
    idle: dict[str, float],
) -> Cost:
    """Run queries and return what one costs, without what the instances use when idle."""
    names = [entry, *(owner for owner in owners if owner != entry)]
    before = {name: bench.cpu_s(name) for name in names}
    start = time.monotonic()
    load = asyncio.run(run_queries(bench.entries[entry]["http"], service, count, 2))
    passed_s = time.monotonic() - start
    used = {name: bench.cpu_s(name) - before[name] - idle[name] * passed_s for name in names}
    if load.complete < load.count:
        click.echo(f"  {service}: {load.complete} of {load.count} answers complete", err=True)
    owners_s = sum(used[name] for name in owners if name != entry)
    p50_ms = statistics.median(load.latencies_ms)
    return Cost(used[entry] / count * 1e3, owners_s / count * 1e3, p50_ms)
