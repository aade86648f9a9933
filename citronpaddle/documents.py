"""Configuration documents, which operators change and instances put in force."""

import ipaddress
from typing import Annotated, Any, Literal, Self

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    StringConstraints,
    field_validator,
    model_validator,
)

Name = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Partial = Literal["complete_or_deadline", "tail"]
Priority = Annotated[int, Field(ge=0, le=9)]
Share = Annotated[float, Field(ge=0.0, le=1.0)]
DurationMs = Annotated[int, Field(ge=0, le=600_000)]


HEAD_KEY = "/config/head"
SERVICES_PREFIX = "/config/services/"
PRESETS_PREFIX = "/config/presets/"
HISTORY_PREFIX = "/config/history/"
CONFIRMED_KEY = "/orders/confirmed"


def history_key(revision: int) -> str:
    """Return the store key of the history entry of `revision`; keys sort in revision order."""
    return f"{HISTORY_PREFIX}{revision:012d}"


class Document(BaseModel):
    """Base class of documents: immutable, and an unknown key is an error."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    @classmethod
    def from_bytes(cls, value: bytes) -> Self:
        """Return the document in JSON `value`; raise pydantic.ValidationError if it is invalid."""
        return cls.model_validate_json(value)

    def to_bytes(self) -> bytes:
        """Return the document as JSON; equal documents give the same bytes."""
        return self.model_dump_json().encode()


class UpstreamEntry(Document):
    """An upstream without its name.

    `address` is `ip:port`, `slots` the limit of concurrent calls.
    """

    address: str
    failure_domain: Name
    slots: int = Field(ge=1, le=10_000)
    max_connections: int = Field(ge=3, le=100_000)

    @field_validator("address")
    @classmethod
    def _check_address(cls, value: str) -> str:
        host, _, port = value.rpartition(":")
        try:
            ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        except ValueError:
            raise ValueError("expected an IP address and a port, such as 10.0.0.1:8080") from None
        if not port.isdecimal() or not 0 < int(port) < 65536:
            raise ValueError("expected a port from 1 to 65535 after the last colon")
        return value


class UpstreamSpec(UpstreamEntry):
    """An upstream with its name."""

    name: Name


class _ServiceParameters(Document):
    """Parameters of the queries of a service; priority 0 is the highest, times are in ms.

    A longer deadline of a caller is reduced to `max_deadline_ms`.
    """

    group: Name
    priority: Priority = 5
    max_deadline_ms: int = Field(default=10_000, ge=1, le=600_000)
    partial: Partial = "complete_or_deadline"
    min_coverage: Share = 1.0
    soft_deadline_ms: DurationMs = 0
    hedging: bool = True
    enabled: bool = True

    @model_validator(mode="after")
    def _check_deadlines(self) -> Self:
        if self.soft_deadline_ms > self.max_deadline_ms:
            raise ValueError(
                f"soft_deadline_ms {self.soft_deadline_ms} is greater than "
                f"max_deadline_ms {self.max_deadline_ms}"
            )
        return self


def _check_unique(names: list[str]) -> None:
    duplicates = sorted({name for name in names if names.count(name) > 1})
    if duplicates:
        raise ValueError(f"upstream {duplicates[0]} is listed twice")


class ServiceEntry(_ServiceParameters):
    """A service in a change file, which names its upstreams."""

    upstreams: tuple[Name, ...]

    @model_validator(mode="after")
    def _check_upstreams(self) -> Self:
        _check_unique(list(self.upstreams))
        return self


class ServiceSpec(_ServiceParameters):
    """A service with its name and upstreams."""

    name: Name
    upstreams: tuple[UpstreamSpec, ...]

    @model_validator(mode="after")
    def _check_upstreams(self) -> Self:
        _check_unique([upstream.name for upstream in self.upstreams])
        return self


class ServiceOverride(Document):
    """Service parameters that a preset may override; None keeps the value of the service."""

    priority: Priority | None = None
    partial: Partial | None = None
    min_coverage: Share | None = None
    soft_deadline_ms: DurationMs | None = None
    hedging: bool | None = None
    enabled: bool | None = None


class PresetEntry(Document):
    """Overrides per group and per service; those per service take precedence.

    `max_in_flight` limits the queries in progress at one entry instance; None keeps the value of
    the instance's settings.
    """

    groups: dict[Name, ServiceOverride] = {}
    services: dict[Name, ServiceOverride] = {}
    max_in_flight: int | None = Field(default=None, ge=1, le=1_000_000)

    def overrides_for(self, service: ServiceSpec) -> dict[str, Any]:
        """Return the fields of `service` that this preset overrides, with their values."""
        fields: dict[str, Any] = {}
        for found in (self.groups.get(service.group), self.services.get(service.name)):
            if found is not None:
                fields.update(found.model_dump(exclude_none=True))
        return fields


class PresetSpec(PresetEntry):
    """A preset with its name."""

    name: Name


class Removal(Document):
    """The parts that a change file removes."""

    services: tuple[Name, ...] = ()
    presets: tuple[Name, ...] = ()


class ChangeFile(Document):
    """A change that an operator applies: parts to add or replace, and parts to remove.

    A service may name upstreams defined in this file or already in force.
    """

    services: dict[Name, ServiceEntry] = {}
    upstreams: dict[Name, UpstreamEntry] = {}
    presets: dict[Name, PresetEntry] = {}
    remove: Removal = Removal()

    @model_validator(mode="after")
    def _check_removal(self) -> Self:
        for kind in ("services", "presets"):
            both = sorted(getattr(self, kind).keys() & set(getattr(self.remove, kind)))
            if both:
                raise ValueError(f"{both[0]} is listed under {kind} and under remove.{kind}")
        return self


class VoterChange(Document):
    """The latest change of a domain's voter list: its revision and the previous list."""

    revision: int
    before: tuple[Name, ...]


class Head(Document):
    """One revision of the configuration, without the contents of its parts.

    `services` and `presets` give the revision at which each part last changed. Revision 0 means
    that the store has no configuration yet. `ancestors` holds the change ids of the previous
    revisions, newest first, so that an instance can distinguish a later revision from one that was
    built on a store restored to an older state. `restored_at` is the revision of the last
    `store restore`, which replaces every revision below it.
    """

    revision: int = Field(ge=0)
    change_id: str
    preset: str = ""
    out_domains: tuple[Name, ...] = ()
    out_upstreams: tuple[Name, ...] = ()
    voters: dict[Name, tuple[Name, ...]] = {}
    services: dict[Name, int] = {}
    presets: dict[Name, int] = {}
    voter_changes: dict[Name, VoterChange] = {}
    ancestors: tuple[str, ...] = ()
    restored_at: int = 0


class ChangeRecord(Document):
    """An entry of the change history; `wall_ms` is Unix time in ms."""

    revision: int = Field(ge=1)
    from_revision: int = Field(ge=0)
    change_id: str
    author: str
    wall_ms: int
    summary: str
    details: tuple[str, ...] = ()


class Configuration(Document):
    """A head with all its parts."""

    head: Head
    services: dict[Name, ServiceSpec] = {}
    presets: dict[Name, PresetSpec] = {}

    @model_validator(mode="after")
    def _check_parts(self) -> Self:
        for kind, listed, found in (
            ("service", self.head.services, self.services),
            ("preset", self.head.presets, self.presets),
        ):
            for name in listed.keys() ^ found.keys():
                where = "parts" if name in listed else "head"
                raise ValueError(f"{kind} {name} is missing from the {where}")
            for name, part in found.items():
                if part.name != name:
                    raise ValueError(f"{kind} {name} has the name {part.name} in its document")
        if self.head.preset and self.head.preset not in self.presets:
            raise ValueError(f"preset {self.head.preset} is in force but not defined")
        return self

    def get_preset(self) -> PresetSpec | None:
        """Return the preset in force, None if there is none."""
        return self.presets.get(self.head.preset)

    def get_effective_service(self, name: str) -> ServiceSpec | None:
        """Return service `name` with the overrides of the preset in force, None if undefined."""
        service = self.services.get(name)
        preset = self.get_preset()
        if service is None or preset is None:
            return service
        return service.model_copy(update=preset.overrides_for(service))

    def get_upstreams(self) -> dict[str, UpstreamSpec]:
        """Return the upstreams of all services by name."""
        return {
            upstream.name: upstream
            for service in self.services.values()
            for upstream in service.upstreams
        }

    def is_out(self, upstream: UpstreamSpec) -> bool:
        """Return whether the upstream or its failure domain is out of service."""
        head = self.head
        return upstream.failure_domain in head.out_domains or upstream.name in head.out_upstreams


class ConfigurationUpdate(Document):
    """A head with those of its parts that are missing at the receiver."""

    head: Head
    services: dict[Name, ServiceSpec] = {}
    presets: dict[Name, PresetSpec] = {}


class PullRequest(Document):
    """The change that an instance has in force, sent to a peer to pull newer parts."""

    revision: int
    change_id: str


class OrdersConfirmation(Document):
    """An operator's acceptance that a restored store has lost claims of orders.

    `seen_revision` is the highest order revision that any instance had seen, `store_revision` that
    of the restored store; `policy.orders` defines their use.
    """

    confirmation_id: str
    author: str
    wall_ms: int
    seen_revision: int
    store_revision: int


EMPTY_CONFIGURATION = Configuration(head=Head(revision=0, change_id=""))
