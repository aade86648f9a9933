"""Settings of an entry instance."""

from typing import NamedTuple

from .adapters.addresses import Address
from .policy.exposure import ExposureLimits
from .policy.extraload import ExtraLoadLimits
from .policy.quotalimits import QuotaLimits
from .policy.slowstart import ColdLimits


class GatewaySettings(NamedTuple):
    """Settings of an instance; an address is None if the instance does not use it.

    `grace_ms` is the time allowed for a stop, `address_ttl_s` how long callers may keep a list of
    addresses, `config_apply_ms` the time allowed for applying a new configuration, and `cores` the
    processor time of the instance in seconds per second on the scale of the platform's settings.
    `min_lease_ms` is the shortest lease that the store grants. `memory_mb` and `descriptors` limit
    the memory of the process in MB and its open files; they are None if not known. `exposure`
    bounds the calls to a bad version; it is None where there are no roll-outs.
    """

    name: str
    domain: str
    callers_address: Address | None
    ready_address: Address | None
    directory_address: Address | None
    store_address: Address
    hints_address: Address | None
    grace_ms: float
    address_ttl_s: float
    extra_load: ExtraLoadLimits
    cold: ColdLimits
    min_lease_ms: float
    config_apply_ms: float
    cores: float = 1.0
    memory_mb: float | None = None
    descriptors: int | None = None
    quota: QuotaLimits = QuotaLimits()
    exposure: ExposureLimits | None = None
