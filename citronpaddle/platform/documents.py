"""Decodes the operator's documents and the upstreams' entries in the platform's store."""

import json
import re
from ipaddress import IPv4Address
from typing import Any

from ..adapters.addresses import Address, parse_address
from ..policy.catalog import CallerLimits, Catalog, Route, ServiceLimits, WeightedService
from ..policy.registry import Upstream

CONFIG_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
UPSTREAM_PREFIX = "servers/"
# Times are added to numbers of the documents; the sum of a larger one is inexact or overflows.
MAX_NUMBER = 2**53
# Ids are sent in a header field and in messages between instances.
_UPSTREAM_ID = re.compile(r"[\x21-\x7e]{1,200}")
_UPSTREAM_STATES = ("ready", "draining")


class DocumentError(ValueError):
    """A document that cannot be decoded; the message names the invalid field."""


def decode_catalog(value: bytes) -> Catalog:
    """Return the configuration; raise DocumentError if a field is missing or of the wrong type."""
    document = _parse_object(value)
    limits = document.get("limits", {})
    return Catalog(
        _require_field(document, "version", int),
        tuple(_decode_route(item) for item in _require_field(document, "routes", list)),
        tuple(_decode_service(item) for item in _require_field(document, "services", list)),
        CallerLimits(
            _require_field(limits, "max_header_bytes", int),
            _require_field(limits, "max_body_bytes", int),
            float(_require_field(limits, "header_timeout_ms", (int, float))),
            float(_require_field(limits, "idle_timeout_ms", (int, float))),
        ),
    )


def _decode_route(item: dict[str, Any]) -> Route:
    name = _require_field(item, "name", str)
    # `fanout_services` lists the shards of a query; `traffic_split` distributes requests by weight;
    # otherwise `service` names the only target.
    shards = tuple(item.get("fanout_services") or ())
    split = item.get("traffic_split") or ()
    targets = tuple(
        WeightedService(
            _require_field(part, "service", str),
            float(_require_field(part, "weight", (int, float))),
        )
        for part in split
    )
    if not targets and isinstance(item.get("service"), str):
        targets = (WeightedService(item["service"], 1.0),)
    if not targets and not shards:
        raise DocumentError(f"route {name} has neither a service nor shards")
    return Route(
        name,
        _require_field(item, "host", str).lower(),
        _require_field(item, "prefix", str),
        # Only requests of kind `safe` may run more than once; the HTTP method does not matter.
        item.get("kind") == "safe",
        float(_require_field(item, "timeout_ms", (int, float))),
        float(item.get("target_latency_ms") or item["timeout_ms"]),
        int(item.get("priority") or 0),
        max(1, int(item.get("max_attempts") or 1)),
        () if shards else targets,
        shards,
        int(item.get("top_k") or 0),
        float(item.get("min_shard_ratio") or 0.0),
    )


def _decode_service(item: dict[str, Any]) -> ServiceLimits:
    return ServiceLimits(
        _require_field(item, "name", str),
        max(1, int(item.get("max_connections") or 1)),
        # `warmup_s` is how long an upstream stays cold after its start.
        float(item.get("warmup_s") or 0.0) * 1_000.0,
        float(item.get("warmup_per_s") or 0.0),
        str(item.get("health_path") or "/"),
    )


def decode_upstream(upstream_id: str, value: bytes, now_ms: float) -> Upstream:
    """Return a listed upstream; raise DocumentError if the entry is invalid."""
    if not _UPSTREAM_ID.fullmatch(upstream_id):
        raise DocumentError("the id has characters other than printable ASCII, or is too long")
    entry = _parse_object(value)
    host, port = _decode_address(_require_field(entry, "address", str))
    state = _require_field(entry, "state", str)
    if state not in _UPSTREAM_STATES:
        raise DocumentError("the state is not known")
    _require_field(entry, "version", str)
    slots = _require_field(entry, "slots", int)
    cold_left_ms = _require_field(entry, "warmup_left_ms", (int, float))
    return Upstream(
        upstream_id,
        _require_field(entry, "service", str),
        host,
        port,
        _require_field(entry, "zone", str),
        slots,
        state == "draining",
        now_ms + cold_left_ms,
        # Unix time of the start; it distinguishes successive starts under the same id.
        _require_field(entry, "born", int) if "born" in entry else 0,
        _require_field(entry, "sequence", int),
    )


def _decode_address(text: str) -> Address:
    try:
        address = parse_address(text)
        # A name would be looked up at every call, and some names raise errors then.
        IPv4Address(address[0])
    except ValueError as error:
        raise DocumentError("the address is not ip:port") from error
    return address


def decode_evacuation(key: str) -> str:
    """Return the failure domain that the key takes out of service."""
    return key[len(EVACUATION_PREFIX) :]


def _parse_object(value: bytes) -> dict[str, Any]:
    try:
        document = json.loads(value)
    except (ValueError, RecursionError) as error:
        raise DocumentError(f"not JSON: {error}") from error
    if not isinstance(document, dict):
        raise DocumentError("not an object")
    return document


def _require_field(item: Any, name: str, expected_type: type | tuple[type, ...]) -> Any:
    value = item.get(name) if isinstance(item, dict) else None
    if not isinstance(value, expected_type) or isinstance(value, bool):
        raise DocumentError(f"field {name} is missing or of the wrong type")
    # The comparison is also false for NaN.
    if isinstance(value, int | float) and not abs(value) < MAX_NUMBER:
        raise DocumentError(f"field {name} is out of range")
    return value
