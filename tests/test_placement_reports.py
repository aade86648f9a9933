"""The report of an instance on where a request would go now, and the command that prints it."""

import asyncio
import json

from click.testing import CliRunner
from gatewayworld import FANOUT_ROUTE, SINGLE_ROUTE, list_executed, run_scenario

from citronpaddle.cli.placement import main

TEAMS = [{"name": "alder", "api_keys": ["key-1"], "priority": 7, "rate_per_s": 1, "burst": 1}]


async def ask_status(setup, target, method="GET"):
    """Return the status and the body that the ready address answers."""
    reader, writer = await asyncio.open_connection(*setup.settings.ready_address)
    writer.write(f"{method} {target} HTTP/1.1\r\nHost: i0\r\nConnection: close\r\n\r\n".encode())
    async with asyncio.timeout(20):
        head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    writer.close()
    return int(head.split()[1]), body


async def explain(setup, path="/p/x", team=None):
    """Return the report on a request."""
    team_field = f"&team={team}" if team else ""
    status, body = await ask_status(setup, f"/placement?host=H.example:80&path={path}{team_field}")
    assert status == 200
    return json.loads(body)


async def run_command(setup, *arguments):
    """Return the exit code and the output of the command."""
    address = ":".join(map(str, setup.settings.ready_address))
    result = await asyncio.to_thread(CliRunner().invoke, main, [*arguments, "--at", address])
    return result.exit_code, result.output


def test_report_of_an_instance_and_its_refusals():
    """Guards against a report that differs from what a caller would get, or that sends a call."""

    async def scenario(setup):
        report = await explain(setup)
        assert (report["outcome"], report["reason"]) == ("calls", None)
        assert report["configuration_version"] == setup.platform.version
        assert report["services"][0]["upstream"] in ("a", "b")
        assert (await explain(setup, path="/none"))["reason"] == "no_route"
        setup.platform.configure([SINGLE_ROUTE], tenants=TEAMS)
        await setup.wait_for_configuration()
        assert (await explain(setup))["reason"] == "no_key"
        assert (await explain(setup, team="key-1"))["reason"] == "unknown_team"
        assert "key-1" not in json.dumps(await explain(setup, team="key-1"))
        report = await explain(setup, team="alder")
        assert (report["priority"], report["priority_of"]) == (7, "team")
        assert report["team"]["quota"]["rate_per_s"] == 1
        headers = ["Authorization: Token key-1"]
        statuses = {(await setup.ask(headers=headers))[0] for _ in range(40)}
        assert statuses == {200, 429}
        report = await explain(setup, team="alder")
        assert report["reason"] == "over_quota" and report["team"]["quota"]["wait_ms"] > 0
        code, output = await run_command(setup, "h.example", "/p/x", "--team", "alder")
        assert code == 0 and "429" in output and "service s0" in output and "key-1" not in output
        assert (await run_command(setup, "h.example", "/p/x", "--team", "none"))[0] == 3
        assert (await run_command(setup, "h.example", "p/x"))[0] == 2

    run_scenario(scenario)


def test_only_unusual_shards_are_in_full():
    """Guards against a report over 90 shards that nobody can read, and one that hides a fault."""

    async def scenario(setup):
        report = await explain(setup, path="/q/x")
        assert (report["services_total"], report["services"]) == (2, [])
        setup.platform.write_upstream_entry(
            setup.platform.upstreams["c"], "s1", state="draining", sequence=2
        )
        registry = setup.gateway.state.registry
        await setup.wait_until(lambda: not registry.list_available("s1"))
        report = await explain(setup, path="/q/x")
        assert (report["services_listed"], report["outcome"]) == (1, "calls")
        (shown,) = report["services"]
        assert (shown["step"], shown["candidates"][0]["reason"]) == ("no_upstream", "draining")
        assert list_executed(setup) == []

    run_scenario(scenario, routes=(FANOUT_ROUTE,))


def test_instance_without_a_configuration_and_one_that_stops():
    """Guards against a route being named by an instance that refuses requests."""

    async def scenario(setup):
        catalog, setup.gateway.state.catalog = setup.gateway.state.catalog, None
        assert (await explain(setup))["reason"] == "no_configuration"
        setup.gateway.state.catalog = catalog
        setup.gateway._request_server.accepts_requests = False
        assert (await explain(setup))["reason"] == "stopping"
        assert (await run_command(setup, "h.example", "/p/x"))[0] == 0

    run_scenario(scenario)


MALFORMED = [
    "",
    "?",
    "?host=h.example",
    "?path=/p/x",
    "?host=h.example&path=p",
    "?host=&path=/p",
    "?host=h.example&path=/p&host=other",
    "?host=h.example&path=/p&key=key-1",
    "?host=h.example&path=/p%0d%0a",
    "?host=h.example&path=/%ff",
    "?host=h.example&path=/" + "p" * 2_048,
]


def test_malformed_queries_get_400_and_nothing_else_happens():
    """Guards against an error in the instance, and against a change by any method but GET."""

    async def scenario(setup):
        for query in MALFORMED:
            assert (await ask_status(setup, f"/placement{query}"))[0] == 400
        target = "/placement?host=h.example&path=/p/x"
        assert (await ask_status(setup, target, "POST"))[0] == 400
        assert setup.list_logged("internal_error") == [] and list_executed(setup) == []
        assert (await ask_status(setup, "/citronpaddle/ready"))[0] == 200

    run_scenario(scenario)
