"""Measures what queries, control traffic, memory and decisions cost, as slopes against sizes.

Run it with the root of the checkout and `tests` in PYTHONPATH. Each command prints a table and
writes it with the samples as JSON under `results/`. All processes are on loopback.
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


@click.group()
def main() -> None:
    """Measure costs against sizes."""


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
    # Many connections of one process are measured.
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(8_192, hard), hard))
    main()
