"""Explains one request from logs: `citronpaddle-explain ID [FILE...]`."""

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
    """Print the story of the request ID from the logs of one or more instances.

    Without files it reads standard input. Exit codes: 0 found, 1 no line about it, 2 usage.
    """
    texts = (line for file in (files or (sys.stdin,)) for line in file)
    story = explain(request_id, read_lines(texts))
    if story is None:
        click.echo(f"no line about request {request_id}", err=True)
        sys.exit(ExitStatus.FAILURE)
    click.echo(json.dumps(story._asdict(), indent=2) if as_json else format_report(story))
    sys.exit(ExitStatus.OK)


if __name__ == "__main__":
    main()
