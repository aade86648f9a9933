"""Command-line options of the entry instance on the users' platform."""

import click

from ..gatewaysettings import GatewaySettings
from ..status import ExitStatus


def check(path: str, settings: GatewaySettings) -> ExitStatus:
    """Run the command line's options; return the exit code, or exit with 2 on wrong usage."""

    @click.command()
    @click.option("--check", is_flag=True, required=True, help="Check the settings and exit.")
    def command(check: bool) -> None:
        """Run an entry instance; the settings file is named by CITRONPADDLE_CONFIG.

        Exit codes: 0 stopped or settings valid, 2 usage, 3 bad settings, 4 an address is in use.
        """
        click.echo(f"{path}: settings of instance {settings.name} are valid")

    command(standalone_mode=True)
    return ExitStatus.OK
