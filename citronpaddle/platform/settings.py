"""Validates the platform's settings file and decodes it into the settings of an instance."""

import tomllib
from typing import Any

from ..adapters.addresses import parse_address
from ..gatewaysettings import GatewaySettings
from ..policy.exposure import ExposureLimits
from ..policy.extraload import ExtraLoadLimits
from ..policy.quotalimits import QuotaLimits
from ..policy.slowstart import ColdLimits
from .fields import MAX_NUMBER

# Upper limit of the time for which callers may keep a list of addresses.
MAX_ADDRESS_TTL_S = 2.0
# The window in which the requests of a team are counted, if the settings name none.
DEFAULT_QUOTA_WINDOW_S = 5.0


class PlatformSettingsError(ValueError):
    """A settings file that cannot be used; the message names the field."""


def load_settings(path: str) -> GatewaySettings:
    """Return the settings in the file at `path`.

    Raise PlatformSettingsError if it cannot be read, or if a required field is missing or of
    the wrong type. Unknown fields are ignored.
    """
    try:
        with open(path, "rb") as file:
            document = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise PlatformSettingsError(f"{path}: {error}") from error
    bounds = _require_field(document, "bounds", dict)
    listen = _require_field(document, "listen_addrs", dict)
    store = _require_field(document, "platform", dict)
    return GatewaySettings(
        name=_require_field(document, "node_name", str),
        domain=_require_field(document, "zone", str),
        callers_address=_read_address(listen, "front"),
        ready_address=_read_address(listen, "ready"),
        directory_address=_read_address(listen, "directory"),
        store_address=_read_address(store, "address"),
        hints_address=_find_hints_address(document),
        grace_ms=_read_number(bounds, "grace_s", 6.0) * 1_000.0,
        address_ttl_s=min(MAX_ADDRESS_TTL_S, _read_number(bounds, "ttl_max_s", 5.0)),
        extra_load=ExtraLoadLimits(
            _read_number(bounds, "retry_budget_ratio", 0.1),
            _read_number(bounds, "retry_budget_slack", 10.0),
            _read_number(bounds, "budget_window_s", 10.0) * 1_000.0,
        ),
        cold=ColdLimits(
            _read_number(bounds, "warmup_overshoot", 1.0), _read_number(bounds, "warmup_slack", 1.0)
        ),
        config_apply_ms=_read_number(bounds, "config_apply_ms", 3_000.0),
        min_lease_ms=_read_number(store, "ttl_min_ms", 1_000.0),
        cores=_read_cores(document),
        memory_mb=_read_limit(document, "memory_mb"),
        descriptors=_read_limit(document, "max_fds"),
        quota=_read_quota_limits(bounds),
        exposure=_read_exposure(bounds),
    )


def _read_exposure(bounds: dict[str, Any]) -> ExposureLimits | None:
    """Return the bounds of calls to a bad version, or None where there are no roll-outs."""
    if "exposure_share" not in bounds:
        return None
    share = _read_number(bounds, "exposure_share", 0.0)
    slack = _read_number(bounds, "exposure_slack", 0.0)
    if not 0.0 <= share <= 1.0 or not 0.0 <= slack < MAX_NUMBER:
        raise PlatformSettingsError("exposure_share or exposure_slack is out of range")
    return ExposureLimits(share, slack)


def _read_cores(document: dict[str, Any]) -> float:
    """Return the processor capacity: `cpu_share` of a processor that is `cores` times as fast."""
    limits = document.get("limits")
    if not isinstance(limits, dict):
        return 1.0
    return _read_number(limits, "cpu_share", 1.0) * _read_number(limits, "cores", 1.0)


def _read_limit(document: dict[str, Any], name: str) -> int | None:
    """Return the limit `name` of the machine, or None if the settings state none above 0."""
    limits = document.get("limits")
    value = limits.get(name) if isinstance(limits, dict) else None
    if isinstance(value, bool) or not isinstance(value, int) or value <= 0:
        return None
    return value


def _read_quota_limits(bounds: dict[str, Any]) -> QuotaLimits:
    """Return the limits of quotas; the default tolerates no request beyond rate and burst."""
    limits = QuotaLimits(
        _read_number(bounds, "quota_window_s", DEFAULT_QUOTA_WINDOW_S) * 1_000.0,
        _read_number(bounds, "quota_overshoot", 0.0),
        _read_number(bounds, "quota_slack", 0.0),
    )
    if limits.window_ms <= 0 or limits.overshoot < 0 or limits.slack < 0:
        raise PlatformSettingsError(
            "quota_window_s must be above 0, quota_overshoot and quota_slack at least 0"
        )
    return limits


def _find_hints_address(document: dict[str, Any]) -> tuple[str, int] | None:
    """Return the address for other instances' messages: the first port of the internal range."""
    ports = document.get("internal_port_range")
    if not isinstance(ports, list) or not ports or not isinstance(ports[0], int):
        return None
    return _require_field(document, "ip", str), ports[0]


def _read_address(table: dict[str, Any], name: str) -> tuple[str, int] | None:
    if name not in table:
        return None
    try:
        return parse_address(_require_field(table, name, str))
    except ValueError as error:
        raise PlatformSettingsError(f"{name} must be host:port") from error


def _require_field(table: dict[str, Any], name: str, expected_type: type) -> Any:
    if not isinstance(table.get(name), expected_type):
        raise PlatformSettingsError(f"{name} is missing or not of type {expected_type.__name__}")
    return table[name]


def _read_number(table: dict[str, Any], name: str, default: float) -> float:
    value = table.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise PlatformSettingsError(f"{name} must be a number")
    # The comparison is also false for NaN.
    if not abs(value) < MAX_NUMBER:
        raise PlatformSettingsError(f"{name} is out of range")
    return float(value)
