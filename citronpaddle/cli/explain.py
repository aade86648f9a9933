"""The program `citronpaddle-explain`: reports on one request from the logs of instances."""

import json
import sys
from typing import TextIO

import click

from ..explanation import explain, format_report, read_lines
from ..status import ExitStatus


@click.command()
@click.argument("request_id", metavar="ID")
@click.argument("files", nargs=-1, type=click.File("r", errors="replace"), metavar="[FILE]...")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.version_option(package_name="citronpaddle")
def main(request_id: str, files: tuple[TextIO, ...], as_json: bool) -> None:
    """Print what the logs of one or more instances say about the request ID.

    Reads standard input if no file is given. Exit codes: 0 found, 1 no line about it, 2 usage.
    """
    lines = (line for file in (files or (sys.stdin,)) for line in file)
    report = explain(request_id, read_lines(lines))
    if report is None:
        click.echo(f"no line about request {request_id}", err=True)
        sys.exit(ExitStatus.FAILURE)
    click.echo(json.dumps(report._asdict(), indent=2) if as_json else format_report(report))
    sys.exit(ExitStatus.OK)


if __name__ == "__main__":
    main()
