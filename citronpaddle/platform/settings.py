"""The users' settings file, checked and decoded into the product's settings."""

import tomllib
from typing import Any

from ..gateway import GatewaySettings
from ..policy.extraload import ExtraLoadLimits
from ..policy.slowstart import ColdLimits


class PlatformSettingsError(ValueError):
    """A settings file that cannot be used; the message names the field."""


def load_settings(path: str) -> GatewaySettings:
    """Return the settings in the file at `path`.

    Raise PlatformSettingsError if it cannot be read, or if a field that is needed is missing or of
    another type. Unknown fields are ignored.
    """
    try:
        with open(path, "rb") as file:
            document = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise PlatformSettingsError(f"{path}: {error}") from error
    bounds = _take(document, "bounds", dict)
    listen = _take(document, "listen_addrs", dict)
    store = _take(document, "platform", dict)
    return GatewaySettings(
        name=_take(document, "node_name", str),
        domain=_take(document, "zone", str),
        callers_address=_read_address(listen, "front"),
        ready_address=_read_address(listen, "ready"),
        directory_address=_read_address(listen, "directory"),
        store_address=_read_address(store, "address"),
        hints_address=_find_hints_address(document),
        grace_ms=_number(bounds, "grace_s", 6.0) * 1_000.0,
        address_ttl_s=min(2.0, _number(bounds, "ttl_max_s", 5.0)),
        extra_load=ExtraLoadLimits(
            _number(bounds, "retry_budget_ratio", 0.1),
            _number(bounds, "retry_budget_slack", 10.0),
            _number(bounds, "budget_window_s", 10.0) * 1_000.0,
        ),
        cold=ColdLimits(
            _number(bounds, "warmup_overshoot", 1.0), _number(bounds, "warmup_slack", 1.0)
        ),
        config_apply_ms=_number(bounds, "config_apply_ms", 3_000.0),
        min_lease_ms=_number(store, "ttl_min_ms", 1_000.0),
        cores=_read_cores(document),
    )


def _read_cores(document: dict[str, Any]) -> float:
    """Return the processor's capacity: `cpu_share` of one that is `cores` times as fast as one."""
    limits = document.get("limits")
    if not isinstance(limits, dict):
        return 1.0
    return _number(limits, "cpu_share", 1.0) * _number(limits, "cores", 1.0)


def _find_hints_address(document: dict[str, Any]) -> tuple[str, int] | None:
    """Return where this instance hears others: the first port that is free for that."""
    ports = document.get("internal_port_range")
    if not isinstance(ports, list) or not ports or not isinstance(ports[0], int):
        return None
    return _take(document, "ip", str), ports[0]


def _read_address(table: dict[str, Any], name: str) -> tuple[str, int] | None:
    if name not in table:
        return None
    host, _, port = _take(table, name, str).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise PlatformSettingsError(f"{name} must be host:port")
    return host, int(port)


def _take(table: dict[str, Any], name: str, kind: type) -> Any:
    if not isinstance(table.get(name), kind):
        raise PlatformSettingsError(f"{name} is missing or not of type {kind.__name__}")
    return table[name]


def _number(table: dict[str, Any], name: str, default: float) -> float:
    value = table.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise PlatformSettingsError(f"{name} must be a number")
    return float(value)
