"""Decodes the operator's documents and the upstreams' entries in the platform's store."""

import re
from ipaddress import IPv4Address
from typing import Any

from ..adapters.addresses import Address, parse_address
from ..policy.catalog import CallerLimits, Catalog, Route, ServiceLimits, WeightedService
from ..policy.registry import Upstream
from .fields import DocumentError, parse_object, require_field
from .teams import decode_teams

CONFIG_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
UPSTREAM_PREFIX = "servers/"
# Ids are sent in a header field and in messages between instances.
_UPSTREAM_ID = re.compile(r"[\x21-\x7e]{1,200}")
_UPSTREAM_STATES = ("ready", "draining")


def decode_catalog(value: bytes) -> Catalog:
    """Return the configuration; raise DocumentError if a field is missing or of the wrong type."""
    document = parse_object(value)
    limits = document.get("limits", {})
    return Catalog(
        require_field(document, "version", int),
        tuple(_decode_route(item) for item in require_field(document, "routes", list)),
        tuple(_decode_service(item) for item in require_field(document, "services", list)),
        CallerLimits(
            require_field(limits, "max_header_bytes", int),
            require_field(limits, "max_body_bytes", int),
            float(require_field(limits, "header_timeout_ms", (int, float))),
            float(require_field(limits, "idle_timeout_ms", (int, float))),
        ),
        decode_teams(document["tenants"]) if "tenants" in document else None,
    )


def _decode_route(item: dict[str, Any]) -> Route:
    name = require_field(item, "name", str)
    # `fanout_services` lists the shards of a query; `traffic_split` distributes requests by weight;
    # otherwise `service` names the only target.
    shards = tuple(item.get("fanout_services") or ())
    split = item.get("traffic_split") or ()
    targets = tuple(
        WeightedService(
            require_field(part, "service", str),
            float(require_field(part, "weight", (int, float))),
        )
        for part in split
    )
    if not targets and isinstance(item.get("service"), str):
        targets = (WeightedService(item["service"], 1.0),)
    if not targets and not shards:
        raise DocumentError(f"route {name} has neither a service nor shards")
    return Route(
        name,
        require_field(item, "host", str).lower(),
        require_field(item, "prefix", str),
        # Only requests of kind `safe` may run more than once; the HTTP method does not matter.
        item.get("kind") == "safe",
        float(require_field(item, "timeout_ms", (int, float))),
        float(item.get("target_latency_ms") or item["timeout_ms"]),
        int(item.get("priority") or 0),
        max(1, int(item.get("max_attempts") or 1)),
        () if shards else targets,
        shards,
        int(item.get("top_k") or 0),
        float(item.get("min_shard_ratio") or 0.0),
        item.get("public") is True,
    )


def _decode_service(item: dict[str, Any]) -> ServiceLimits:
    return ServiceLimits(
        require_field(item, "name", str),
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
    entry = parse_object(value)
    host, port = _decode_address(require_field(entry, "address", str))
    state = require_field(entry, "state", str)
    if state not in _UPSTREAM_STATES:
        raise DocumentError("the state is not known")
    version = require_field(entry, "version", str)
    slots = require_field(entry, "slots", int)
    cold_left_ms = require_field(entry, "warmup_left_ms", (int, float))
    return Upstream(
        upstream_id,
        require_field(entry, "service", str),
        host,
        port,
        require_field(entry, "zone", str),
        slots,
        state == "draining",
        now_ms + cold_left_ms,
        # Unix time of the start; it distinguishes successive starts under the same id.
        require_field(entry, "born", int) if "born" in entry else 0,
        require_field(entry, "sequence", int),
        version,
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
