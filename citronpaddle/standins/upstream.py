"""Runs stand-ins for upstreams: `python -m citronpaddle.standins.upstream`."""

import asyncio
import json
import signal
import sys
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import click
from pydantic import ValidationError

from ..documents import ChangeFile
from ..errors import Failure
from ..status import ExitStatus
from ..yaml_reader import parse_yaml
from .upstream_options import UpstreamOptions, make_layout
from .upstream_service import UpstreamStandIn


class PlannedUpstream(NamedTuple):
    """A stand-in and the ports that it will listen on; 0 selects a free one."""

    upstream: UpstreamStandIn
    port: int
    control_port: int


def plan_upstreams(
    document: ChangeFile, shards: int, changes: Mapping[str, Any]
) -> list[PlannedUpstream]:
    """Return a stand-in for each upstream of a configuration document.

    Each holds all `shards` shards, so the upstreams of a service are replicas of each other.
    `changes` are options for all of them. Raises ValueError for an address that is not on
    127.0.0.1, and pydantic.ValidationError for an invalid option.
    """
    planned = []
    for name, entry in document.upstreams.items():
        host, _, port = entry.address.rpartition(":")
        if host != "127.0.0.1":
            raise ValueError(f"upstream {name}: {entry.address} is not on 127.0.0.1")
        fields = {"name": name, "slots": entry.slots, "connections": entry.max_connections}
        options = UpstreamOptions.model_validate(
            {"shards": make_layout(shards), **fields, **changes}
        )
        planned.append(PlannedUpstream(UpstreamStandIn(options), int(port), 0))
    return planned


def _load_document(path: Path, shards: int, changes: Mapping[str, Any]) -> list[PlannedUpstream]:
    parsed = parse_yaml(path.read_text(encoding="utf-8"), str(path), ChangeFile)
    if isinstance(parsed, Failure):
        click.echo(f"upstream stand-in: {parsed.message}", err=True)
        sys.exit(ExitStatus.BAD_DOCUMENT)
    return plan_upstreams(parsed, shards, changes)


def _load_options(path: Path) -> list[PlannedUpstream]:
    """Return a stand-in, on free ports, for each item of a JSON list of options.

    Raises ValueError if the file is not JSON or an option is invalid.
    """
    items = json.loads(path.read_text(encoding="utf-8"))
    options = [UpstreamOptions.model_validate(item) for item in items]
    return [PlannedUpstream(UpstreamStandIn(item), 0, 0) for item in options]


async def _run_until_signalled(
    planned: Sequence[PlannedUpstream], format_line: Callable[[], str]
) -> None:
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    try:
        for upstream, port, control_port in planned:
            await upstream.start(port, control_port)
        print(format_line(), flush=True)
        await stop.wait()
    finally:
        for upstream, *_ in planned:
            await upstream.close()


def _make_address_fields(upstream: UpstreamStandIn) -> dict[str, str]:
    return {"address": upstream.address, "control_address": upstream.control_address}


@click.command()
@click.option(
    "--port", default=0, show_default=True, help="Port on 127.0.0.1; 0 selects a free one."
)
@click.option("--control-port", default=0, show_default=True, help="Port of the control endpoint.")
@click.option("--shards", default=4, show_default=True, help="Number of shards in the key space.")
@click.option("--first", default=0, show_default=True, help="First shard served, counted from 0.")
@click.option(
    "--last",
    default=None,
    type=int,
    help="Last shard served; by default the last of the key space.",
)
@click.option(
    "--set", "changes", multiple=True, metavar="NAME=VALUE", help="Set an option; may be repeated."
)
@click.option("--document", type=click.Path(exists=True, dir_okay=False, path_type=Path),
              metavar="FILE", help="Run a stand-in for each upstream of this configuration "
              "document, at its address and with all shards.")  # fmt: skip
@click.option("--options", "options_file",
              type=click.Path(exists=True, dir_okay=False, path_type=Path), metavar="FILE",
              help="Run one stand-in, on free ports, per item of this JSON list.")  # fmt: skip
def main(
    port: int,
    control_port: int,
    shards: int,
    first: int,
    last: int | None,
    changes: tuple[str, ...],
    document: Path | None,
    options_file: Path | None,
) -> None:
    """Run a stand-in for an upstream and print its addresses as one line of JSON.

    With --document or --options the line contains the addresses of each upstream by name.

    Options for --set: name, slots, connections, setup_ms, latency_ms, cold_ms, cold_factor,
    fallen_ms, straggler_probability, straggler_factor, seed, health and others; the control
    endpoint accepts the same names.
    """
    if document and (port or control_port or first or last is not None):
        raise click.UsageError("--document can only be combined with --shards and --set")
    if options_file and (document or port or control_port or first or last is not None or changes):
        raise click.UsageError("--options cannot be combined with other options")
    try:
        values = dict(item.split("=", 1) for item in changes)
        if options_file:
            planned = _load_options(options_file)
        elif document:
            planned = _load_document(document, shards, values)
        else:
            layout = make_layout(shards, first=first, last=last)
            options = UpstreamOptions.model_validate({"shards": layout, **values})
            planned = [PlannedUpstream(UpstreamStandIn(options), port, control_port)]
    except (ValidationError, ValueError, IndexError) as error:
        click.echo(f"upstream stand-in: invalid option: {error}", err=True)
        sys.exit(ExitStatus.USAGE)

    def format_line() -> str:
        if not document and not options_file:
            return json.dumps(_make_address_fields(planned[0].upstream))
        shown = {
            item.upstream.options.name: _make_address_fields(item.upstream) for item in planned
        }
        return json.dumps(shown)

    try:
        asyncio.run(_run_until_signalled(planned, format_line))
    except OSError as error:
        click.echo(f"upstream stand-in: cannot listen: {error}", err=True)
        sys.exit(ExitStatus.UNAVAILABLE)


if __name__ == "__main__":
    main()
