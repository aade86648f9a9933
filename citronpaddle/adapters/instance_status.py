"""Client of the HTTP status interface of entry instances, for the operator command line."""

import asyncio
import json
from collections.abc import Sequence
from typing import Any, NamedTuple
from urllib.parse import urlencode

import aiohttp
from pydantic import ValidationError

from ..documents import Configuration
from ..errors import ErrorKind, Failure
from .responses import read_body


class InstanceReport(NamedTuple):
    """The status that one instance returns for `GET /v1/status`."""

    address: str
    name: str
    failure_domain: str
    state: str
    config_revision: int
    config_change_id: str
    settled_voter_list_revision: int
    order_floor: int
    order_regressed_from: int


async def fetch_reports(
    addresses: Sequence[str], timeout_ms: float
) -> dict[str, InstanceReport | Failure]:
    """Return the report of each address (`host:port`); all are fetched concurrently.

    An instance without a valid reply within `timeout_ms` is represented by a Failure.
    """
    async with aiohttp.ClientSession() as session:
        reports = await asyncio.gather(
            *(_fetch_report(session, address, timeout_ms) for address in addresses)
        )
    return dict(zip(addresses, reports, strict=True))


async def fetch_configuration(address: str, timeout_ms: float) -> Configuration | Failure:
    """Return the configuration in force at the instance, from `GET /v1/configuration`."""
    async with aiohttp.ClientSession() as session:
        body = await _get(session, address, "/v1/configuration", timeout_ms)
    if isinstance(body, Failure):
        return body
    try:
        return Configuration.model_validate_json(body)
    except ValidationError as error:
        return _fail(address, f"its configuration cannot be read ({error.errors()[0]['msg']})")


async def fetch_placement(
    address: str, host: str, path: str, team: str | None, timeout_ms: float
) -> dict[str, Any] | Failure:
    """Return where the instance with this ready address would send a request now, and why."""
    fields = {"host": host, "path": path} | ({"team": team} if team is not None else {})
    async with aiohttp.ClientSession() as session:
        body = await _get(session, address, f"/placement?{urlencode(fields)}", timeout_ms)
    if isinstance(body, Failure):
        return body
    try:
        report = json.loads(body)
    except ValueError:
        report = None
    if not isinstance(report, dict) or "outcome" not in report:
        return _fail(address, "the reply is not a placement: is this its ready address?")
    return report


async def _fetch_report(
    session: aiohttp.ClientSession, address: str, timeout_ms: float
) -> InstanceReport | Failure:
    body = await _get(session, address, "/v1/status", timeout_ms)
    if isinstance(body, Failure):
        return body
    try:
        return _parse_report(address, json.loads(body))
    except (KeyError, ValueError, TypeError) as error:
        return _fail(address, f"the reply is not the status of an instance ({error!r})")


def _parse_report(address: str, body: dict[str, Any]) -> InstanceReport:
    return InstanceReport(
        address,
        str(body["name"]),
        str(body["failure_domain"]),
        str(body["state"]),
        int(body["config_revision"]),
        str(body["config_change_id"]),
        int(body["settled_voter_list_revision"]),
        int(body["order_floor"]),
        int(body["order_regressed_from"]),
    )


async def _get(
    session: aiohttp.ClientSession, address: str, path: str, timeout_ms: float
) -> bytes | Failure:
    timeout = aiohttp.ClientTimeout(total=max(timeout_ms, 1.0) / 1000)
    try:
        async with session.get(
            f"http://{address}{path}", timeout=timeout, allow_redirects=False
        ) as response:
            if response.status != 200:
                return _fail(address, f"{path} was answered with status {response.status}")
            return await read_body(response)
    except TimeoutError:
        return _fail(address, f"no reply within {timeout_ms:.0f} ms")
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return _fail(address, str(error) or type(error).__name__)


def _fail(address: str, message: str) -> Failure:
    return Failure(ErrorKind.UPSTREAM_UNAVAILABLE, f"instance {address}: {message}")
