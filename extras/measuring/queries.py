"""Measures the CPU time of queries against the number of sub-requests, owners and rows."""

import time
from collections.abc import Sequence

import click

from citronpaddle.policy.changes import ApplyFile

from .bench import BenchmarkCluster, make_service_change, measure_idle, measure_load, warm_up
from .tables import Table

SIZES = (2, 8, 24, 88)
OWNER_COUNTS = (1, 4, 22)
ROW_COUNTS = (3, 10, 50)
# Limits of one sample, which then takes about 1 s of CPU time.
CALLS_PER_SAMPLE = 2_500
QUERIES_PER_SAMPLE = 300
OWNERSHIP_WAIT_S = 6.0
IDLE_WAIT_S = 12.0
IDLE_WINDOW_S = 5.0
OWNERS_SUB_REQUESTS = 88
ROWS_SUB_REQUESTS = 8


@click.command()
@click.option("--repeats", default=3, show_default=True)
@click.option("--name", default="query", show_default=True, help="Name of the result files.")
@click.option(
    "--quick", is_flag=True, help="Measure only the series over sub-requests, with one owner."
)
def query(repeats: int, name: str, quick: bool) -> None:
    """Measure the CPU time per query against the number of sub-requests, owners and rows."""
    bench, table = BenchmarkCluster(), Table(name)
    owners = [f"owner{index}" for index in range(1 if quick else max(OWNER_COUNTS))]
    try:
        bench.start_platform()
        bench.plan_entries({"entry": "front"} | {owner: f"back-{owner}" for owner in owners})
        names = list(bench.entries)
        bench.start_instrumented(names)
        services = add_services(bench, owners, quick)
        time.sleep(OWNERSHIP_WAIT_S)
        for service in services:
            warm_up(bench, "entry", service)
        time.sleep(IDLE_WAIT_S)
        idle = measure_idle(bench, names, IDLE_WINDOW_S)
        for repeat in range(repeats):
            for service in services:
                measure_service(bench, table, service, owners, idle)
            click.echo(f"repeat {repeat + 1} done", err=True)
        for entry_name in ("entry", "owner0"):
            table.add(f"idle processor time ({entry_name}), % of a core", 1, idle[entry_name] * 100)
    finally:
        bench.close()
    table.save()


def add_services(bench: BenchmarkCluster, owners: Sequence[str], quick: bool) -> list[str]:
    """Start the upstream stand-ins and configure the services; return the service names."""
    domains = [f"back-{owner}" for owner in owners]
    changes = {}
    for size in SIZES:
        addresses = bench.start_upstream_hosts(size, 4 if size > 8 else 1)
        changes[f"size-{size}"] = make_service_change(addresses, f"size-{size}", domains[:1])
    if not quick:
        for count in OWNER_COUNTS:
            service = f"owners-{count}"
            changes[service] = make_service_change(addresses, service, domains[:count])
        for rows in ROW_COUNTS:
            addresses = bench.start_upstream_hosts(ROWS_SUB_REQUESTS, 2, rows)
            changes[f"rows-{rows}"] = make_service_change(addresses, f"rows-{rows}", domains[:1])
    for change in changes.values():
        bench.edit(ApplyFile(change))
    return list(changes)


def measure_service(
    bench: BenchmarkCluster,
    table: Table,
    service: str,
    owners: Sequence[str],
    idle: dict[str, float],
) -> None:
    """Add one sample of each series of a service, named by its kind and size."""
    kind, number = service.split("-")
    size = int(number)
    calls_per_query = {"size": size, "owners": OWNERS_SUB_REQUESTS, "rows": ROWS_SUB_REQUESTS}[kind]
    count = min(QUERIES_PER_SAMPLE, CALLS_PER_SAMPLE // calls_per_query)
    used_owners = owners[:size] if kind == "owners" else owners[:1]
    remote_cost = measure_load(bench, "entry", used_owners, service, count, idle)
    axis = {"size": "sub-requests", "owners": "owners, 88 sub-requests", "rows": "rows, 8 sub-r."}
    table.add(f"entry, owner elsewhere, ms per query / {axis[kind]}", size, remote_cost.entry_ms)
    table.add(f"owner, ms per query / {axis[kind]}", size, remote_cost.owners_ms)
    table.add(f"median latency, owner elsewhere, ms / {axis[kind]}", size, remote_cost.p50_ms)
    if kind != "owners":
        local_cost = measure_load(bench, "owner0", ["owner0"], service, count, idle)
        table.add(
            f"entry that is the owner, ms per query / {axis[kind]}", size, local_cost.entry_ms
        )
