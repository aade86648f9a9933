"""The program `citronpaddle-entry`: runs one entry instance."""

import asyncio
import signal
import sys

import click

from ..node import Node
from ..settings import Settings, SettingsError
from ..status import ExitStatus


@click.command()
@click.option(
    "--settings", "path", required=True, metavar="FILE", help="YAML settings of this instance."
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.version_option(package_name="citronpaddle")
def main(path: str, check: bool) -> None:
    """Run one entry instance until SIGTERM or SIGINT, then stop gracefully.

    Exit codes: 0 stopped, 1 failure, 2 usage, 3 invalid settings, 4 an address cannot be used.
    """
    settings = Settings.from_file(path)
    if isinstance(settings, SettingsError):
        click.echo(str(settings), err=True)
        sys.exit(ExitStatus.BAD_DOCUMENT)
    if check:
        click.echo(f"{path}: settings of instance {settings.name} are valid")
        sys.exit(ExitStatus.OK)
    sys.exit(asyncio.run(run(settings)))


async def run(settings: Settings) -> ExitStatus:
    """Run the instance until a signal arrives or a newer incarnation of it has started.

    Returns OK after a signal, FAILURE if the instance was superseded and UNAVAILABLE if it cannot
    listen on an address.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    node = Node.from_config(settings)
    try:
        await node.start()
    except OSError as error:
        click.echo(f"cannot listen: {error}", err=True)
        return ExitStatus.UNAVAILABLE
    signal_task = asyncio.create_task(stopped.wait())
    superseded_task = asyncio.create_task(node.superseded.wait())
    await asyncio.wait({signal_task, superseded_task}, return_when=asyncio.FIRST_COMPLETED)
    await node.stop()
    signal_task.cancel()
    superseded_task.cancel()
    return ExitStatus.OK if stopped.is_set() else ExitStatus.FAILURE


if __name__ == "__main__":
    main()
