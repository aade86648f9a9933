"""The program `citronpaddle-placement`: explains where a request would go now."""

import asyncio
import json
import sys
from collections.abc import Iterator
from typing import Any

import click

from ..adapters.instance_status import fetch_placement
from ..errors import Failure
from ..status import ExitStatus
from .operator import check_address
from .reports import format_table

# The texts of a report, by its `reason`, the `step` of a service and the `reason` of a candidate.
REFUSALS = {
    "no_configuration": "503: the instance has no configuration yet",
    "no_route": "404: no route has this host and a prefix of this path",
    "no_key": "401: the route needs the key of a team; name the team with --team",
    "unknown_team": "no team of this name has a key in this version of the configuration",
    "stopping": "503: the instance is stopping and admits no further requests",
    "over_quota": "429: the quota of the team is used up over all instances",
    "no_upstream": "503: no upstream of the service is listed and in use",
    "too_few_shards": "503: too few shards have an upstream that is listed and in use",
}

STEPS = {
    "call": "calls {upstream} at once",
    "queue": "waits for its turn: {waiting} parts wait, {open_calls} calls are open",
    "wait_for_permit": "waits {wait_ms} ms for a permit of the rate-limited {upstream}",
    "wait_for_room": "waits for room: no upstream can take a call",
    "no_upstream": "no upstream is listed and in use",
}

REASONS = {
    None: "first",
    "tied": "tied with the first: chance decides",
    "higher_cost": "higher cost",
    "other_version": "its version does not get this call in the roll-out",
    "blocked": "avoided after failed calls",
    "rate_limited": "its rate limit has no permit yet",
    "connections": "all connections of this instance are in use",
    "cold_rate": "cold, and its rate is used up or left to other instances",
    "draining": "draining",
    "domain_out": "its failure domain is out of use",
    "misdirected": "excluded: another upstream has answered at its address",
}


def check_path(_context: click.Context, _parameter: click.Parameter, value: str) -> str:
    """Return `value`; raise click.BadParameter if it is not an absolute path."""
    if not value.startswith("/"):
        raise click.BadParameter(f"{value!r} does not begin with a slash")
    return value


@click.command(context_settings={"help_option_names": ["-h", "--help"]})
@click.argument("host")
@click.argument("path", callback=check_path)
@click.option(
    "--at",
    "address",
    required=True,
    metavar="HOST:PORT",
    callback=check_address,
    help="Ready address of the instance to ask.",
)
@click.option("--team", metavar="NAME", help="Name of the calling team, never its key.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.option(
    "--timeout-ms",
    type=click.IntRange(1, 600_000),
    default=2_000,
    show_default=True,
    help="Timeout of the whole command.",
)
@click.version_option(package_name="citronpaddle")
def main(
    host: str, path: str, address: str, team: str | None, as_json: bool, timeout_ms: int
) -> None:
    """Print where an instance would send a request for HOST and PATH now, and why.

    Nothing is sent to an upstream, and nothing changes at the instance: no token of a quota and no
    permit is used. Instances decide alone, so another one may answer otherwise. Costs are in usual
    reply times; the lowest goes first.

    Exit codes: 0 explained, also if the request would be refused, 2 usage, 3 unknown team, 4 the
    instance gave no answer.
    """
    report = asyncio.run(fetch_placement(address, host, path, team, timeout_ms))
    if isinstance(report, Failure):
        click.echo(f"error: {report.message}", err=True)
        sys.exit(ExitStatus.UNAVAILABLE)
    if as_json:
        click.echo(json.dumps(report, indent=2))
    else:
        click.echo("\n".join(format_placement(report)))
    sys.exit(ExitStatus.BAD_DOCUMENT if report["reason"] == "unknown_team" else ExitStatus.OK)


def format_placement(report: dict[str, Any]) -> Iterator[str]:
    """Yield the lines of a report."""
    version = report["configuration_version"]
    configuration = "none" if version is None else f"version {version}"
    age_ms = report["state_age_ms"]
    yield f"instance       {report['instance']}"
    yield f"configuration  {configuration}, store last answered {age_ms} ms ago"
    if "route" in report:
        yield from _format_route(report["route"])
    if "team" in report:
        yield f"priority       {report['priority']} (of the {report['priority_of']})"
        yield from _format_team(report["team"])
    reason = report["reason"]
    refusal = f": {REFUSALS.get(reason, reason)}" if reason is not None else ""
    yield f"outcome        {report['outcome']}{refusal}"
    if "services" not in report:
        return
    if reason is not None:
        yield "               an admitted request would go as follows"
    if report["route"]["is_sharded"]:
        yield (
            f"shards         {report['services_total']}, of which {report['services_listed']}"
            f" have an upstream and {report['services_as_usual']} are as usual"
        )
    for service in report["services"]:
        yield ""
        yield from _format_service(service)


def _format_route(route: dict[str, Any]) -> Iterator[str]:
    yield f"route          {route['name']} ({route['prefix']}), within {route['objective_ms']:g} ms"
    if len(route["weights"]) > 1:
        weights = ", ".join(f"{name} {weight:g}" for name, weight in route["weights"].items())
        yield f"split          {weights}"


def _format_team(team: dict[str, Any] | None) -> Iterator[str]:
    if team is None:
        return
    quota = team["quota"]
    if quota is None:
        yield f"team           {team['name']}, without a quota"
        return
    room = f"{quota['tokens']:g} tokens left" if not quota["wait_ms"] else "no room"
    wait = f", the next token in {quota['wait_ms']:g} ms" if quota["wait_ms"] else ""
    yield (
        f"team           {team['name']}, {quota['rate_per_s']:g}/s and {quota['burst']:g} at once:"
        f" {room}{wait}; {quota['admitted']} admitted in the last window,"
        f" {quota['kept_for_others']:g} kept for {quota['instances_cut_off']} cut-off instances"
    )


def _format_service(service: dict[str, Any]) -> Iterator[str]:
    step = STEPS.get(service["step"], service["step"]).format_map(service)
    congestion = ""
    if service["is_congested"]:
        limit = "no limit" if service["limit"] is None else f"limit {service['limit']}"
        congestion = f" (congested: {service['waiting']} waiting, {limit})"
    yield f"service {service['service']}: {step}{congestion}"
    rows = [["upstream", "domain", "version", "cost", "open", "why not first", "state"]]
    for one in service["candidates"]:
        cost = "-" if one["cost"] is None else f"{one['cost']:.2f}"
        reason = REASONS.get(one["reason"], one["reason"])
        names = [one["upstream"], one["domain"], one["version"]]
        rows.append([*names, cost, str(one["open_calls"]), reason, _describe_state(one)])
    yield from (f"  {line}" for line in format_table(rows))
    hidden = service["candidates_total"] - len(service["candidates"])
    if hidden:
        yield f"  and {hidden} more"


def _describe_state(candidate: dict[str, Any]) -> str:
    """Return what made the cost, and what else is known about an upstream."""
    pace = candidate["pace"]
    facts = (
        ("other domain", candidate["is_remote"]),
        (f"slowness {candidate['slowness']:g}", candidate["slowness"] != 1.0),
        (f"failures {candidate['failure_rate']:g}", candidate["failure_rate"] > 0),
        (f"cold for {candidate['cold_ms']} ms", candidate["cold_ms"] > 0),
        (f"pace {pace or 0:.1f} calls", pace is not None),
        (f"beyond its pace: cost x{candidate['pace_factor']:g}", candidate["pace_factor"] > 1),
        (f"next permit in {candidate['permit_ms']} ms", candidate["permit_ms"] > 0),
        (f"avoided for {candidate['blocked_ms']} ms", candidate["blocked_ms"] > 0),
        ("late calls of other instances", candidate["is_reported_late"]),
    )
    return ", ".join(text for text, holds in facts if holds)


if __name__ == "__main__":
    main()
