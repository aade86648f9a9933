"""Tests of teams and their keys: what callers and upstreams receive on the wire.

The load that is replayed is a few requests with each kind of key, before and after a change.
"""

import json

import pytest
from gatewayworld import SINGLE_ROUTE, list_executed, run_scenario

from citronpaddle.explanation import explain
from citronpaddle.platform import documents

PUBLIC_ROUTE = {"prefix": "/open/", "service": "s0", "public": True}
TEAMS = [
    {"name": "alder", "api_keys": ["key-1", "key-2"], "priority": 1},
    {"name": "birch", "api_keys": ["key-3"], "rate_per_s": 9, "burst": 9},
]


def _authorize(key: str) -> list[str]:
    return [f"Authorization: Token {key}"]


def _run(scenario, teams=TEAMS) -> None:
    async def configured(setup):
        setup.platform.configure([SINGLE_ROUTE, PUBLIC_ROUTE], tenants=teams)
        await setup.wait_for_configuration()
        await scenario(setup)

    run_scenario(configured)


def test_upstreams_get_the_team_and_never_the_key():
    """Guards against a key that is passed on, and a team that the caller has made up."""

    async def scenario(setup):
        headers = [*_authorize("key-2"), "Citronpaddle-Tenant: birch"]
        assert (await setup.ask(headers=headers))[0] == 200
        (executed,) = list_executed(setup)
        assert executed.headers["citronpaddle-tenant"] == "alder"
        assert "authorization" not in executed.headers

    _run(scenario)


@pytest.mark.parametrize(
    "headers",
    [
        [],
        ["Authorization: Token"],
        _authorize("key-9"),
        _authorize("k" * 3_000),
        ["Authorization: Basic key-1"],
        ["Authorization: Token key-1 key-2"],
        [*_authorize("key-1"), *_authorize("key-3")],
        ["Authorization: Token k\u00e9y"],
        ["Citronpaddle-Tenant: alder"],
    ],
)
def test_request_without_a_valid_key_is_answered_401(headers):
    """Guards against requests that run without a key, and logs that hold keys."""

    async def scenario(setup):
        status, answer, _ = await setup.ask(headers=headers)
        assert (status, answer["www-authenticate"]) == (401, "Token")
        assert not list_executed(setup)
        (line,) = setup.list_logged("request_denied")
        assert line["reason"] in ("no_key", "unknown_key")
        assert "key-" not in json.dumps(line)
        assert b"key-" not in setup.gateway.render_metrics()
        (finding,) = explain(line["id"], [line]).findings
        assert "key" in finding

    _run(scenario)


def test_public_route_needs_no_key():
    """Guards against a 401 on a public route, and a key that reaches its upstreams."""

    async def scenario(setup):
        assert (await setup.ask(path="/open/x"))[0] == 200
        assert (await setup.ask(path="/open/x", headers=_authorize("key-9")))[0] == 200
        for executed in list_executed(setup):
            assert "authorization" not in executed.headers
            assert "citronpaddle-tenant" not in executed.headers

    _run(scenario)


def test_withdrawn_key_is_refused_on_a_kept_connection():
    """Guards against a withdrawn key that stays in use on connections opened before."""

    async def scenario(setup):
        caller = await setup.connect()
        assert (await caller.ask(headers=_authorize("key-1")))[0] == 200
        teams = [{"name": "alder", "api_keys": ["key-2"]}]
        setup.platform.configure([SINGLE_ROUTE], tenants=teams)
        await setup.wait_for_configuration()
        assert (await caller.ask(headers=_authorize("key-1")))[0] == 401
        assert (await caller.ask(headers=_authorize("key-2")))[0] == 200
        caller.close()

    _run(scenario)


def test_configuration_without_teams_passes_credentials_on():
    """Guards against a change for deployments that use no keys."""

    async def scenario(setup):
        headers = ["Authorization: Basic abc", "Citronpaddle-Tenant: x"]
        assert (await setup.ask(headers=headers))[0] == 200
        (executed,) = list_executed(setup)
        assert executed.headers["authorization"] == "Basic abc"
        assert executed.headers["citronpaddle-tenant"] == "x"

    run_scenario(scenario)


@pytest.mark.parametrize(
    "teams",
    [
        {},
        "alder",
        [7],
        [{"api_keys": ["k"]}],
        [{"name": "", "api_keys": []}],
        [{"name": "a\r\nb", "api_keys": []}],
        [{"name": "a", "api_keys": "k"}],
        [{"name": "a", "api_keys": [""]}],
        [{"name": "a", "api_keys": ["k k"]}],
        [{"name": "a", "api_keys": [7]}],
        [{"name": "a", "api_keys": ["k"]}, {"name": "b", "api_keys": ["k"]}],
        [{"name": "a", "api_keys": ["k"]}, {"name": "a", "api_keys": ["l"]}],
        [{"name": "a", "api_keys": [], "rate_per_s": -1}],
        [{"name": "a", "api_keys": [], "rate_per_s": "9"}],
        [{"name": "a", "api_keys": [], "burst": 1e300}],
        [{"name": "a", "api_keys": [], "priority": 1.5}],
    ],
)
def test_odd_teams_are_refused_and_the_version_before_stays(teams):
    """Guards against an invalid team that ends an instance, admits any caller or logs a key."""

    async def scenario(setup):
        before = setup.platform.version
        setup.platform.configure([SINGLE_ROUTE], tenants=teams)
        refused = []

        def is_refused() -> bool:
            refused.extend(setup.list_logged("configuration_refused"))
            return bool(refused)

        await setup.wait_until(is_refused)
        assert "'k'" not in refused[0]["reason"]
        assert setup.gateway.state.catalog.version == before
        assert (await setup.ask(headers=_authorize("key-1")))[0] == 200

    _run(scenario)


def test_quota_may_be_fractional_and_keys_may_be_many():
    """Guards against a refused configuration with thousands of keys or a quota below one."""
    teams = [
        {"name": f"team-{number}", "api_keys": [f"{number}-{key}" for key in range(50)]}
        for number in range(100)
    ]
    teams[0]["rate_per_s"] = 0.5
    document = {
        "version": 1,
        "routes": [],
        "services": [],
        "limits": {
            "max_header_bytes": 1,
            "max_body_bytes": 1,
            "header_timeout_ms": 1,
            "idle_timeout_ms": 1,
        },
        "tenants": teams,
    }
    catalog = documents.decode_catalog(json.dumps(document).encode())
    assert catalog.find_team("99-49").name == "team-99"
    assert catalog.find_team("0-0").rate_per_s == 0.5
    assert len(catalog.teams) == 100
