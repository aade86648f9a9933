"""The operator's documents and the upstreams' entries in the store, decoded into product types."""

import json
from typing import Any

from ..policy.catalog import CallerLimits, Catalog, Route, ServiceLimits, WeightedService
from ..policy.registry import Upstream

CONFIG_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
UPSTREAM_PREFIX = "servers/"


class DocumentError(ValueError):
    """A document that cannot be read; the message says which field is wrong."""


def decode_catalog(value: bytes) -> Catalog:
    """Return the configuration; raise DocumentError if a field is missing or of another type."""
    document = _load(value)
    limits = document.get("limits", {})
    return Catalog(
        _take(document, "version", int),
        tuple(_decode_route(item) for item in _take(document, "routes", list)),
        tuple(_decode_service(item) for item in _take(document, "services", list)),
        CallerLimits(
            _take(limits, "max_header_bytes", int),
            _take(limits, "max_body_bytes", int),
            float(_take(limits, "header_timeout_ms", (int, float))),
            float(_take(limits, "idle_timeout_ms", (int, float))),
        ),
    )


def _decode_route(item: dict[str, Any]) -> Route:
    name = _take(item, "name", str)
    # `fanout_services` names the shards; `traffic_split` shares requests out; else one `service`.
    shards = tuple(item.get("fanout_services") or ())
    split = item.get("traffic_split") or ()
    targets = tuple(
        WeightedService(_take(part, "service", str), float(_take(part, "weight", (int, float))))
        for part in split
    )
    if not targets and isinstance(item.get("service"), str):
        targets = (WeightedService(item["service"], 1.0),)
    if not targets and not shards:
        raise DocumentError(f"route {name} has neither a service nor shards")
    return Route(
        name,
        _take(item, "host", str).lower(),
        _take(item, "prefix", str),
        # Only `safe` requests may run more than once, whatever their method.
        item.get("kind") == "safe",
        float(_take(item, "timeout_ms", (int, float))),
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
        _take(item, "name", str),
        max(1, int(item.get("max_connections") or 1)),
        # `warmup_s` is how long an upstream is cold after its start.
        float(item.get("warmup_s") or 0.0) * 1_000.0,
        float(item.get("warmup_per_s") or 0.0),
        str(item.get("health_path") or "/"),
    )


def decode_upstream(upstream_id: str, value: bytes, now_ms: float) -> Upstream:
    """Return a listed upstream; raise DocumentError if the entry names none to use."""
    entry = _load(value)
    host, _, port = _take(entry, "address", str).rpartition(":")
    state = _take(entry, "state", str)
    if state not in ("ready", "draining"):
        raise DocumentError(f"state {state!r} is not known")
    if not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise DocumentError("address is not host:port")
    _take(entry, "version", str)
    slots = _take(entry, "slots", int)
    cold_left_ms = _take(entry, "warmup_left_ms", (int, float))
    return Upstream(
        upstream_id,
        _take(entry, "service", str),
        host,
        int(port),
        _take(entry, "zone", str),
        slots,
        state == "draining",
        now_ms + cold_left_ms,
        # Unix time of the start, which tells one start under an id from the next.
        _take(entry, "born", int) if "born" in entry else 0,
        _take(entry, "sequence", int),
    )


def decode_evacuation(key: str) -> str:
    """Return the failure domain that the key of an evacuation names."""
    return key[len(EVACUATION_PREFIX) :]


def _load(value: bytes) -> dict[str, Any]:
    try:
        document = json.loads(value)
    except (ValueError, RecursionError) as error:
        raise DocumentError(f"not JSON: {error}") from error
    if not isinstance(document, dict):
        raise DocumentError("not an object")
    return document


def _take(item: Any, name: str, kind: type | tuple[type, ...]) -> Any:
    value = item.get(name) if isinstance(item, dict) else None
    if not isinstance(value, kind) or isinstance(value, bool):
        raise DocumentError(f"field {name} is missing or of another type")
    return value
