"""The program `citronpaddle`: the operators' tool."""

import asyncio
import functools
import getpass
import json
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple, NoReturn

import click

from ..adapters.instance_status import fetch_configuration, fetch_reports
from ..adapters.keyvalue import EtcdStore
from ..clock import SystemClock
from ..configurator import (
    ChangeOutcome,
    ConfigurationWriter,
    Conflict,
    TimeLimits,
    fetch_base,
    fetch_history,
)
from ..documents import EMPTY_CONFIGURATION, ChangeFile, Configuration, PullRequest
from ..errors import ErrorKind, Failure
from ..policy.changes import (
    ApplyFile,
    Change,
    Edit,
    EditVoters,
    NoChange,
    SetDomainOut,
    SetUpstreamOut,
    UsePreset,
    find_unserved_services,
)
from ..status import ExitStatus
from ..yaml_reader import parse_yaml
from .reports import (
    Reports,
    format_instances,
    format_record,
    format_status,
    format_time,
    make_status,
)

EXIT_STATUSES: dict[ErrorKind, ExitStatus] = {
    ErrorKind.BAD_REQUEST: ExitStatus.BAD_DOCUMENT,
    ErrorKind.NOT_FOUND: ExitStatus.BAD_DOCUMENT,
    ErrorKind.STORE_UNAVAILABLE: ExitStatus.UNAVAILABLE,
    ErrorKind.UPSTREAM_UNAVAILABLE: ExitStatus.UNAVAILABLE,
    ErrorKind.OUTCOME_UNKNOWN: ExitStatus.OUTCOME_UNKNOWN,
}

ADVICE: dict[ErrorKind, str] = {
    ErrorKind.STORE_UNAVAILABLE: "Nothing was changed. Check the store and try again.",
    ErrorKind.OUTCOME_UNKNOWN: (
        "The change may or may not have been made. Look for it with 'citronpaddle history' before "
        "you try again."
    ),
}


class Options(NamedTuple):
    """The options of the program; `limits` holds the timeouts in ms."""

    store: str
    author: str
    instances: tuple[str, ...]
    limits: TimeLimits


class Session(NamedTuple):
    """The options and the store connection of a command."""

    options: Options
    store: EtcdStore
    configurator: ConfigurationWriter


def fail(failure: Failure, advice: str = "") -> NoReturn:
    """Print the failure and advice to standard error, and exit with the code for its kind."""
    click.echo(f"error: {failure.message}", err=True)
    advice = advice or ADVICE.get(failure.kind, "")
    if advice:
        click.echo(advice, err=True)
    sys.exit(EXIT_STATUSES.get(failure.kind, ExitStatus.FAILURE))


def warn(message: str) -> None:
    """Print a warning to standard error."""
    click.echo(f"warning: {message}", err=True)


def get_login_name() -> str:
    """Return the login name, `unknown` if the system has none."""
    try:
        return getpass.getuser()
    except (OSError, KeyError, ImportError):
        return "unknown"


def split_addresses(
    context: click.Context, parameter: click.Parameter, value: str
) -> tuple[str, ...]:
    """Return the addresses in a comma-separated list.

    Raises click.BadParameter if one is not `host:port`.
    """
    addresses = tuple(part.strip() for part in value.split(",") if part.strip())
    for address in addresses:
        check_address(context, parameter, address)
    return addresses


def check_address(context: click.Context, parameter: click.Parameter, value: str) -> str:
    """Return `value`; raise click.BadParameter if it is not `host:port`."""
    host, _, port = value.rpartition(":")
    if not host or not port.isdecimal() or "/" in host:
        raise click.BadParameter(f"{value!r} is not an address such as 10.0.0.1:2379")
    return value


def run_with_session(
    command: Callable[..., Awaitable[None]],
) -> Callable[..., None]:
    """Return a click callback that opens a session and runs `command` in an event loop."""

    @click.pass_obj
    @functools.wraps(command)
    def run(options: Options, **arguments: Any) -> None:
        async def run_command() -> None:
            store = EtcdStore(options.store)
            configurator = ConfigurationWriter(
                store, SystemClock(), options.author, sleep_ms, options.limits
            )
            try:
                await command(Session(options, store, configurator), **arguments)
            finally:
                await store.close()

        asyncio.run(run_command())

    return run


async def sleep_ms(duration_ms: float) -> None:
    """Sleep for `duration_ms`."""
    await asyncio.sleep(duration_ms / 1000)


EPILOG = """\b
Exit codes:
  0  done, or nothing had to be changed
  1  failure
  2  usage error
  3  invalid document or unknown name; nothing was changed
  4  store or instances unavailable; nothing was changed
  5  conflict: another operator's change won; nothing was changed
  6  outcome unknown: look at 'citronpaddle history'

\b
Shell completion, for bash (zsh and fish likewise):
  eval "$(_CITRONPADDLE_COMPLETE=bash_source citronpaddle)"
"""


@click.group(
    epilog=EPILOG,
    context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100},
)
@click.option(
    "--store",
    required=True,
    metavar="HOST:PORT",
    envvar="CITRONPADDLE_STORE",
    show_envvar=True,
    callback=check_address,
    help="Address of the key-value service.",
)
@click.option(
    "--instances",
    default="",
    metavar="HOST:PORT,...",
    envvar="CITRONPADDLE_INSTANCES",
    show_envvar=True,
    callback=split_addresses,
    help="HTTP addresses of entry instances, preferably of all. The revisions that they have in "
    "force are compared with the store, so that a change is refused if the store was restored to "
    "an older state.",
)
@click.option(
    "--author",
    default=get_login_name,
    show_default="login name",
    help="Author of the change, shown in the history.",
)
@click.option(
    "--timeout-ms",
    type=click.IntRange(1, 600_000),
    default=5_000,
    show_default=True,
    help="Timeout of a whole command, including retries.",
)
@click.option(
    "--call-timeout-ms",
    type=click.IntRange(1, 600_000),
    default=1_000,
    show_default=True,
    help="Timeout of one call to the store or to an instance.",
)
@click.pass_context
def main(
    context: click.Context,
    store: str,
    instances: tuple[str, ...],
    author: str,
    timeout_ms: int,
    call_timeout_ms: int,
) -> None:
    """Switch presets, take domains and upstreams out of service, and change the configuration.

    A change is made completely or not at all. It is reported as accepted once it was read back from
    the store; instances apply it within 5 s. Of two concurrent changes one is made, and the other
    fails with a conflict that names it.
    """
    limits = TimeLimits(call_ms=call_timeout_ms, total_ms=timeout_ms)
    context.obj = Options(store, author, instances, limits)


async def fetch_instance_reports(options: Options) -> Reports:
    """Return the reports of the instances in `--instances`, by address.

    Prints a warning for each instance that does not answer.
    """
    reports = await fetch_reports(options.instances, options.limits.call_ms)
    for report in reports.values():
        if isinstance(report, Failure):
            warn(report.message)
    return reports


def find_highest_revision(reports: Reports) -> int:
    """Return the highest configuration revision in the reports, or 0 if there is none."""
    found = [item.config_revision for item in reports.values() if not isinstance(item, Failure)]
    return max(found, default=0)


async def make_change(
    session: Session, edit: Edit, reports: Reports | None = None, verbose: bool = False
) -> None:
    """Commit `edit` and print the outcome; exit with an error code if it fails."""
    if reports is None:
        reports = await fetch_instance_reports(session.options)
    revisions_in_force = [
        PullRequest(revision=item.config_revision, change_id=item.config_change_id)
        for item in reports.values()
        if not isinstance(item, Failure)
    ]
    show_outcome(await session.configurator.change(edit, revisions_in_force), verbose)


def show_outcome(outcome: ChangeOutcome, verbose: bool = False) -> None:
    """Print the outcome of a change; exit with an error code unless the change is in the store."""
    if isinstance(outcome, Failure):
        fail(outcome)
    if isinstance(outcome, Conflict):
        show_conflict(outcome)
    if isinstance(outcome, NoChange):
        click.echo(f"nothing to change: revision {outcome.revision} already has this content")
        return
    record = outcome.change.record
    click.echo(
        f"accepted: revision {record.revision}: {record.summary} (change {record.change_id})"
    )
    show_details(outcome.change, verbose)
    show_unserved(outcome.change.configuration)


def show_details(change: Change, verbose: bool) -> None:
    """Print the details of a change, with every parameter of added services if `verbose`."""
    for line in change.record.details if verbose else change.brief_details:
        click.echo(f"  {line}")


def show_conflict(conflict: Conflict) -> NoReturn:
    """Print the change that was made instead and exit with the code for a conflict."""
    if conflict.winner is None:
        click.echo("error: not changed: the store was changed or restored concurrently", err=True)
    else:
        click.echo(f"error: not changed: conflict with {format_record(conflict.winner)}", err=True)
    click.echo("Check 'citronpaddle status', then repeat the command.", err=True)
    sys.exit(ExitStatus.CONFLICT)


def show_unserved(configuration: Configuration) -> None:
    """Print a warning for each service without an upstream in service."""
    for name in find_unserved_services(configuration):
        warn(f"service {name} has no upstream in service; its queries have no coverage")


@main.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--dry-run", is_flag=True, help="Show the difference and change nothing.")
@click.option("--verbose", is_flag=True, help="Show every parameter of added services.")
@run_with_session
async def apply(session: Session, file: Path, dry_run: bool, verbose: bool) -> None:
    """Add, replace or remove services, upstreams and presets as given in FILE.

    Each service, upstream or preset in FILE replaces the one of that name completely; all others
    stay unchanged. FILE is YAML:

    \b
      upstreams:
        lot-1: {address: "10.1.0.7:8080", failure_domain: a, slots: 2, max_connections: 25}
      services:
        lot-search:
          group: kennel-portal
          upstreams: [lot-1]
          priority: 1                      # 0 is the highest, 9 the lowest
          max_deadline_ms: 800
          partial: complete_or_deadline    # or: tail
          min_coverage: 1.0                # for tail: answer once this share is covered ...
          soft_deadline_ms: 0              # ... and this time has passed
          hedging: true
          enabled: true
      presets:
        peak:
          max_in_flight: 400               # concurrent queries per entry instance
          groups: {kennel-portal: {partial: tail, min_coverage: 0.9, soft_deadline_ms: 200}}
          services: {lot-search: {priority: 0}}
      remove: {services: [], presets: []}
    """
    parsed = read_change_file(file)
    if not dry_run:
        await make_change(session, ApplyFile(parsed), verbose=verbose)
        return
    change = await session.configurator.preview(ApplyFile(parsed))
    if isinstance(change, Failure):
        fail(change)
    if isinstance(change, NoChange):
        click.echo(f"nothing to change: revision {change.revision} already has this content")
        return
    record = change.record
    click.echo(f"dry run, nothing was changed: revision {record.from_revision} would become")
    click.echo(f"revision {record.revision}: {record.summary}")
    show_details(change, verbose)
    show_unserved(change.configuration)


def read_change_file(file: Path) -> ChangeFile:
    """Return the change document in `file`; exit with code 3 if it is invalid."""
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fail(Failure(ErrorKind.BAD_REQUEST, f"{file}: cannot be read as UTF-8 text: {error}"))
    parsed = parse_yaml(text, str(file), ChangeFile)
    if isinstance(parsed, Failure):
        fail(parsed)
    return parsed


@main.group()
def preset() -> None:
    """Select the preset in force."""


@preset.command("use")
@click.argument("name")
@run_with_session
async def preset_use(session: Session, name: str) -> None:
    """Put preset NAME in force instead of the current one."""
    await make_change(session, UsePreset(name))


@main.group()
def domain() -> None:
    """Take failure domains out of service and bring them back."""


@domain.command("out")
@click.argument("name")
@run_with_session
async def domain_out(session: Session, name: str) -> None:
    """Take failure domain NAME out of service: it receives no new requests after 5 s at most."""
    await make_change(session, SetDomainOut(name, True))


@domain.command("in")
@click.argument("name")
@run_with_session
async def domain_in(session: Session, name: str) -> None:
    """Bring failure domain NAME back into service."""
    await make_change(session, SetDomainOut(name, False))


@main.group()
def upstream() -> None:
    """Take upstreams out of service and bring them back."""


@upstream.command("out")
@click.argument("name")
@run_with_session
async def upstream_out(session: Session, name: str) -> None:
    """Take upstream NAME out of service: it receives no new requests after 5 s at most."""
    await make_change(session, SetUpstreamOut(name, True))


@upstream.command("in")
@click.argument("name")
@run_with_session
async def upstream_in(session: Session, name: str) -> None:
    """Bring upstream NAME back into service."""
    await make_change(session, SetUpstreamOut(name, False))


@main.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@run_with_session
async def status(session: Session, as_json: bool) -> None:
    """Show the configuration in the store and, with --instances, the revisions in force there.

    Services are shown with the preset in force applied.
    """
    options = session.options
    reports = await fetch_reports(options.instances, options.limits.call_ms)
    base = await fetch_base(session.store, EMPTY_CONFIGURATION, options.limits.call_ms)
    configuration = None if isinstance(base, Failure) else base.configuration
    if as_json:
        click.echo(json.dumps(make_status(configuration, reports), indent=2))
    else:
        lines = format_status(configuration, reports) if configuration else ()
        if reports and configuration is None:
            lines = format_instances(None, reports)
        for line in lines:
            click.echo(line)
    if isinstance(base, Failure):
        fail(base)


@main.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON, newest first.")
@click.option(
    "--count",
    type=click.IntRange(1, 1_000),
    default=20,
    show_default=True,
    help="Number of revisions.",
)
@run_with_session
async def history(session: Session, as_json: bool, count: int) -> None:
    """Show the changes with author and time, newest first."""
    call_ms = session.options.limits.call_ms
    base = await fetch_base(session.store, EMPTY_CONFIGURATION, call_ms)
    if isinstance(base, Failure):
        fail(base)
    revision = base.configuration.head.revision
    records = await fetch_history(session.store, revision, count, call_ms)
    if isinstance(records, Failure):
        fail(records)
    if as_json:
        click.echo(json.dumps([record.model_dump(mode="json") for record in records], indent=2))
        return
    for record in records:
        click.echo(format_record(record))
        for line in record.details:
            click.echo(f"  {line}")
    if not records:
        click.echo("no changes yet")


@main.group()
def store() -> None:
    """Recover after the key-value service was restored to an older state."""


@store.command("restore")
@click.option("--yes", is_flag=True, help="Do not ask for confirmation.")
@run_with_session
async def store_restore(session: Session, yes: bool) -> None:
    """Write the configuration that instances have in force back to the store.

    Needs --instances, preferably all of them. The configuration with the highest revision among
    them is written back under the revision after the highest known one. Use it after the store was
    restored to an older state; until then instances ignore the lower revision in the store.
    """
    if not session.options.instances:
        raise click.UsageError("give the addresses of the entry instances with --instances")
    reports = await fetch_instance_reports(session.options)
    found = await fetch_newest_configuration(session.options, reports)
    head = found.head
    unanswered_count = sum(isinstance(report, Failure) for report in reports.values())
    click.echo(f"newest configuration: revision {head.revision} (change {head.change_id})")
    if unanswered_count:
        warn(
            f"{unanswered_count} of {len(reports)} instances did not answer; "
            "one may have a higher revision"
        )
    if not yes:
        click.confirm("Write it to the store?", abort=True)
    highest_revision = find_highest_revision(reports)
    show_outcome(await session.configurator.restore(found, highest_revision))


async def fetch_newest_configuration(options: Options, reports: Reports) -> Configuration:
    """Return the configuration with the highest revision in force at the instances.

    Exits with an error code if no instance returns it, or if instances have different changes in
    force under that revision.
    """
    answered = [item for item in reports.values() if not isinstance(item, Failure)]
    if not answered:
        fail(Failure(ErrorKind.UPSTREAM_UNAVAILABLE, "no instance answered; nothing was changed"))
    newest = max(item.config_revision for item in answered)
    if newest == 0:
        fail(Failure(ErrorKind.NOT_READY, "no instance has a configuration in force"))
    newest_reports = [item for item in answered if item.config_revision == newest]
    changes = sorted({item.config_change_id for item in newest_reports})
    if len(changes) > 1:
        text = (
            f"instances have different changes in force under revision {newest}: "
            f"{', '.join(changes)}. Name only those with the right configuration in --instances"
        )
        fail(Failure(ErrorKind.BAD_REQUEST, text))
    for report in newest_reports:
        found = await fetch_configuration(report.address, options.limits.call_ms)
        if isinstance(found, Configuration):
            return found
        warn(found.message)
    fail(Failure(ErrorKind.UPSTREAM_UNAVAILABLE, "no instance returned its configuration"))


@store.command("confirm")
@click.option("--yes", is_flag=True, help="Do not ask for confirmation.")
@run_with_session
async def store_confirm(session: Session, yes: bool) -> None:
    """Accept the loss of order claims in a restore of the store, and allow orders again.

    A restored store lacks the claims made after its backup. Instances refuse all orders until this
    confirmation, because a repeat of an order whose claim is lost would run a second time. Inform
    callers of the period concerned first, and wait at least 5 s after the restore, until every
    instance has detected it. Needs --instances: the confirmation contains the highest store
    revision that they have seen.
    """
    reports = await fetch_instance_reports(session.options)
    found = [item for item in reports.values() if not isinstance(item, Failure)]
    if not found:
        fail(
            Failure(
                ErrorKind.UPSTREAM_UNAVAILABLE,
                "no instance reported the store revision it has seen",
            ),
            "Name reachable instances with --instances.",
        )
    seen_revision = max(max(item.order_floor, item.order_regressed_from) for item in found)
    if not yes:
        click.confirm(
            "Repeats of orders placed before the restore may run a second time. Allow orders?",
            abort=True,
        )
    outcome = await session.configurator.confirm_orders(seen_revision)
    if isinstance(outcome, Failure):
        fail(outcome, "Orders may or may not be allowed now. The command can be repeated safely.")
    if isinstance(outcome, Conflict):
        show_conflict(outcome)
    click.echo(
        f"accepted: orders confirmed by {outcome.author} at {format_time(outcome.wall_ms)} "
        f"(confirmation {outcome.confirmation_id})"
    )


@main.group()
def voters() -> None:
    """Change the instances that vote in a failure domain."""


@voters.command("add")
@click.argument("domain")
@click.argument("names", nargs=-1, required=True)
@run_with_session
async def voters_add(session: Session, domain: str, names: tuple[str, ...]) -> None:
    """Add instance NAMES to the voters of DOMAIN.

    A domain without a voter list uses the 'peers' in the settings of its instances, and its first
    list must name exactly those instances. After that, names are added one at a time: a change is
    refused until a majority of the list before the last change has that change in force, as
    reported by --instances.
    """
    await edit_voters(session, domain, names, True)


@voters.command("remove")
@click.argument("domain")
@click.argument("name")
@run_with_session
async def voters_remove(session: Session, domain: str, name: str) -> None:
    """Remove instance NAME from the voters of DOMAIN; needs --instances after a recent change."""
    await edit_voters(session, domain, (name,), False)


async def edit_voters(
    session: Session, domain: str, names: tuple[str, ...], is_adding: bool
) -> None:
    """Change a voter list, if the voter list revisions that instances report permit it."""
    reports = await fetch_instance_reports(session.options)
    reported = {
        item.name: item.settled_voter_list_revision
        for item in reports.values()
        if not isinstance(item, Failure)
    }
    await make_change(session, EditVoters(domain, names, is_adding, reported), reports)


if __name__ == "__main__":
    main()
