"""Measures the cost of queries, control traffic, memory and policy decisions as size grows.

Run it with the root of the checkout and `tests` in PYTHONPATH. Each command prints a table with
medians and least-squares slopes, and writes it with the samples as JSON to `results/`. All
processes run on loopback.
"""

import resource

import click
from measuring.calls import upstream_calls
from measuring.control import control
from measuring.decisions import decisions
from measuring.hosts import host_entry, host_peers, host_upstreams
from measuring.memory import memory
from measuring.pings import pings
from measuring.queries import query

MAX_OPEN_FILES = 8_192


@click.group()
def main() -> None:
    """Measure costs against the number of upstreams, instances, services and rows."""


for command in (
    host_upstreams,
    host_entry,
    host_peers,
    query,
    control,
    pings,
    memory,
    decisions,
    upstream_calls,
):
    main.add_command(command)


if __name__ == "__main__":
    # Some measurements open many connections in one process.
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(MAX_OPEN_FILES, hard), hard))
    main()
