"""What the data path costs, against sub-requests, owners and rows."""

import time
from collections.abc import Sequence

import click

from citronpaddle.policy.changes import ApplyFile

from .bench import Bench, make_entries, measure_idle, measure_load, warm_up
from .tables import Table

SIZES = (2, 8, 24, 88)
OWNER_COUNTS = (1, 4, 22)
ROW_COUNTS = (3, 10, 50)
# Bounds of one sample, which then takes about 1 s of processor time.
CALLS_PER_SAMPLE = 2_500
QUERIES_PER_SAMPLE = 300


@click.command()
@click.option("--repeats", default=3, show_default=True)
@click.option("--name", default="query", show_default=True, help="Name of the result files.")
@click.option("--quick", is_flag=True, help="Only the sizes with one owner.")
def query(repeats: int, name: str, quick: bool) -> None:
    """Processor time per query and sub-request, against sub-requests, owners and rows."""
    bench, table = Bench(), Table(name)
    owners = [f"owner{index}" for index in range(1 if quick else max(OWNER_COUNTS))]
    try:
        bench.start_platform()
        bench.plan_entries({"entry": "front"} | {owner: f"back-{owner}" for owner in owners})
        names = list(bench.entries)
        bench.start_counted(names)
        services = add_services(bench, owners, quick)
        time.sleep(6.0)
        for service in services:
            warm_up(bench, "entry", service)
        time.sleep(12.0)
        idle = measure_idle(bench, names, 5.0)
        for repeat in range(repeats):
            for service in services:
                measure_service(bench, table, service, owners, idle)
            click.echo(f"repeat {repeat + 1} done", err=True)
        for entry_name in ("entry", "owner0"):
            table.add(f"idle processor time ({entry_name}), % of a core", 1, idle[entry_name] * 100)
    finally:
        bench.close()
    table.save()


def add_services(bench: Bench, owners: Sequence[str], quick: bool) -> list[str]:
    """Start the upstreams and configure the services; return their names."""
    domains = [f"back-{owner}" for owner in owners]
    changes = {}
    for size in SIZES:
        addresses = bench.start_upstream_hosts(size, 4 if size > 8 else 1)
        changes[f"size-{size}"] = make_entries(addresses, f"size-{size}", domains[:1])
    if not quick:
        for count in OWNER_COUNTS:
            service = f"owners-{count}"
            changes[service] = make_entries(addresses, service, domains[:count])
        for rows in ROW_COUNTS:
            addresses = bench.start_upstream_hosts(8, 2, rows)
            changes[f"rows-{rows}"] = make_entries(addresses, f"rows-{rows}", domains[:1])
    for change in changes.values():
        bench.edit(ApplyFile(change))
    return list(changes)


def measure_service(
    bench: Bench, table: Table, service: str, owners: Sequence[str], idle: dict[str, float]
) -> None:
    """Take one sample of a service."""
    kind, number = service.split("-")
    size = int(number)
    calls = {"size": size, "owners": 88, "rows": 8}[kind]
    count = min(QUERIES_PER_SAMPLE, CALLS_PER_SAMPLE // calls)
    used = owners[:size] if kind == "owners" else owners[:1]
    apart = measure_load(bench, "entry", used, service, count, idle)
    axis = {"size": "sub-requests", "owners": "owners, 88 sub-requests", "rows": "rows, 8 sub-r."}
    table.add(f"entry, owner elsewhere, ms per query / {axis[kind]}", size, apart.entry_ms)
    table.add(f"owner, ms per query / {axis[kind]}", size, apart.owners_ms)
    table.add(f"median latency, owner elsewhere, ms / {axis[kind]}", size, apart.p50_ms)
    if kind != "owners":
        same = measure_load(bench, "owner0", ["owner0"], service, count, idle)
        table.add(f"entry that is the owner, ms per query / {axis[kind]}", size, same.entry_ms)


# Control traffic and the store
