"""The program `citronpaddle-demo`: runs stand-ins and entry instances in one process."""

import asyncio
import sys

import click

from ..demonstration import DemonstrationError, run_demonstration
from ..status import ExitStatus


@click.command()
@click.version_option(package_name="citronpaddle")
def main() -> None:
    """Start stand-ins and three entry instances, and show how queries and an order are answered.

    Needs no settings, uses free ports of 127.0.0.1 and ends by itself after about 25 s.

    Exit codes: 0 all steps succeeded, 1 a step failed, 2 usage, 4 an address cannot be used.
    """
    try:
        asyncio.run(run_demonstration(click.echo))
    except DemonstrationError as error:
        click.echo(f"error: {error}", err=True)
        sys.exit(ExitStatus.FAILURE)
    except OSError as error:
        click.echo(f"cannot listen: {error}", err=True)
        sys.exit(ExitStatus.UNAVAILABLE)
    click.echo("All as expected.")


if __name__ == "__main__":
    main()
