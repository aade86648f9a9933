"""Reads and checks the settings file of an entry instance."""

import ipaddress
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal, Self, TypeVar, get_args

import yaml
from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError, field_validator
from pydantic_core import ErrorDetails
from pydantic_core.core_schema import ValidationInfo

# The guarantee to operators: a configuration change, or the stop of an instance, takes effect
# within this time.
MAX_EFFECT_DELAY_MS = 5_000
# The watch of the configuration head delivers a change of `out_domains` within this time.
WATCH_DELAY_MS = 100
# A leaving instance accepts requests this much longer than callers cache its address.
KEEP_MARGIN_MS = 500
MAX_SUB_REQUEST_DEADLINE_MS = 2_000
# Covers the clock drift between two instances while a sub-request runs at an upstream.
CLOCK_RATE_MARGIN_MS = 500
DEFAULT_HEARTBEAT_MS = 1_000
# Within this many heartbeat intervals, one lost heartbeat is tolerated.
MIN_HEARTBEATS_PER_TIMEOUT = 2
# The delays of the owner's poll and of the entry instance's refresh add up.
POLLS_UNTIL_INDEX_UPDATE = 2
MAX_PORT = 65_535

Location = tuple[int | str, ...]
ModelT = TypeVar("ModelT", bound=BaseModel)


@dataclass(frozen=True, slots=True)
class SettingsError:
    """A problem in a file; `line` counts from 1 and is 0 if the problem has no line.

    `key` is the dotted path of the invalid key. `others` holds the other problems of the file.
    """

    file: str
    line: int
    key: str
    expected: str
    others: tuple["SettingsError", ...] = ()

    @property
    def texts(self) -> tuple[str, ...]:
        """Return one message per problem."""
        position = f"{self.file}:{self.line}" if self.line else self.file
        subject = f"{self.key}: " if self.key else ""
        own = f"{position}: {subject}expected {self.expected}"
        return (own, *(text for other in self.others for text in other.texts))

    def __str__(self) -> str:
        return "\n".join(self.texts)


def _check_host(value: str) -> str:
    try:
        address = ipaddress.ip_address(value)
    except ValueError:
        raise ValueError("an IP address, for example 127.0.0.1") from None
    if address.is_unspecified:
        raise ValueError(
            "the IP address that other instances connect to, not the unspecified address"
        )
    return value


def _check_address(value: str) -> str:
    host, separator, port = value.rpartition(":")
    bare_host = host[1:-1] if host.startswith("[") and host.endswith("]") else host
    if not separator or not port.isdecimal() or not 1 <= int(port) <= MAX_PORT:
        raise ValueError("host:port with an IP address and a port from 1 to 65535")
    _check_host(bare_host)
    if ":" in bare_host and bare_host == host:
        raise ValueError("brackets around an IPv6 address, for example [::1]:8080")
    return value


def _check_unique(values: list[str], item: str) -> None:
    repeated = sorted({value for value in values if values.count(value) > 1})
    if repeated:
        raise ValueError(f"each {item} once; repeated: {', '.join(repeated)}")


Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
Host = Annotated[str, AfterValidator(_check_host)]
Address = Annotated[str, AfterValidator(_check_address)]
# YAML parses `yes` and `on` as booleans, which only strict integers do not convert to 1.
Port = Annotated[int, Field(strict=True, ge=0, le=MAX_PORT)]
Count = Annotated[int, Field(strict=True, ge=1, le=1_000_000)]
Milliseconds = Annotated[int, Field(strict=True, ge=1, le=600_000)]


class StrictModel(BaseModel):
    """Base of all models of a file: unknown keys are errors, and instances are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True, validate_default=True)


class Listen(StrictModel):
    """Where the instance accepts connections; port 0 lets the operating system choose a port."""

    host: Host
    port: Port


class HttpListen(Listen):
    """Where callers connect.

    `max_body_bytes` is limited by the largest frame between instances.
    """

    max_body_bytes: Annotated[int, Field(strict=True, ge=1_024, le=4_194_304)] = 1_048_576


class StoreSettings(StrictModel):
    """Addresses of the key-value service, `host:port`."""

    addresses: Annotated[tuple[Address, ...], Field(min_length=1)]

    @field_validator("addresses")
    @classmethod
    def _check_addresses(cls, value: tuple[str, ...]) -> tuple[str, ...]:
        _check_unique(list(value), "address")
        return value


class InstanceListSettings(StrictModel):
    """Address of the platform's instance list, `host:port`."""

    address: Address


class PeerSettings(StrictModel):
    """Another entry instance, contacted at startup; `address` is its peer address."""

    name: Name
    failure_domain: Name
    address: Address


class LogSettings(StrictModel):
    """The minimum level that is logged, and the format of the lines."""

    level: Literal["debug", "info", "notice", "warning", "error", "critical"] = "info"
    format: Literal["text", "json"] = "text"


class LimitSettings(StrictModel):
    """How many requests of callers run concurrently, and how many may wait."""

    max_in_flight: Count = 256
    queue_length: Count = 512


class RoutingSettings(StrictModel):
    """How a replica is chosen; `uniform` (at random) is the baseline of experiments."""

    replica_choice: Literal["observed", "uniform"] = "observed"


class TimingSettings(StrictModel):
    """Intervals in ms; the validators reject values that break a guaranteed bound."""

    heartbeat_ms: Milliseconds = DEFAULT_HEARTBEAT_MS
    lease_ms: Milliseconds = 3_000
    drain_ms: Milliseconds = 2_500
    keep_ms: Milliseconds = 2_000
    index_refresh_ms: Milliseconds = 1_000
    suspect_ms: Milliseconds = 2_500
    head_poll_ms: Milliseconds = 2_000

    # A validator has access only to the fields declared above its own. An invalid field is missing
    # from the data and has its own error; its default is used instead.
    @staticmethod
    def _get_heartbeat_ms(info: ValidationInfo) -> int:
        return info.data.get("heartbeat_ms", DEFAULT_HEARTBEAT_MS)

    @field_validator("lease_ms", "suspect_ms")
    @classmethod
    def _check_one_lost_message_is_tolerated(cls, value: int, info: ValidationInfo) -> int:
        minimum_ms = MIN_HEARTBEATS_PER_TIMEOUT * cls._get_heartbeat_ms(info)
        if value < minimum_ms:
            raise ValueError(f"at least 2 x heartbeat_ms = {minimum_ms} ms, found {value} ms")
        return value

    @field_validator("drain_ms")
    @classmethod
    def _check_sub_requests_end_before_the_next_grant(cls, value: int) -> int:
        minimum_ms = MAX_SUB_REQUEST_DEADLINE_MS + CLOCK_RATE_MARGIN_MS
        if value < minimum_ms:
            raise ValueError(
                f"at least {minimum_ms} ms, the longest time a sub-request runs at an upstream, "
                f"found {value} ms"
            )
        return value

    @field_validator("keep_ms")
    @classmethod
    def _check_a_leave_takes_effect_in_time(cls, value: int, info: ValidationInfo) -> int:
        heartbeat_ms = cls._get_heartbeat_ms(info)
        maximum_ms = MAX_EFFECT_DELAY_MS - WATCH_DELAY_MS - KEEP_MARGIN_MS - heartbeat_ms
        if value > maximum_ms:
            raise ValueError(
                f"at most {maximum_ms} ms with heartbeat_ms = {heartbeat_ms}, so that a leave "
                f"takes effect within {MAX_EFFECT_DELAY_MS} ms, found {value} ms"
            )
        return value

    @field_validator("index_refresh_ms")
    @classmethod
    def _check_a_leaving_upstream_is_seen_in_time(cls, value: int) -> int:
        maximum_ms = (MAX_EFFECT_DELAY_MS - KEEP_MARGIN_MS) // POLLS_UNTIL_INDEX_UPDATE
        if value > maximum_ms:
            raise ValueError(f"at most {maximum_ms} ms, found {value} ms")
        return value

    @field_validator("head_poll_ms")
    @classmethod
    def _check_a_change_spreads_in_time(cls, value: int, info: ValidationInfo) -> int:
        # A heartbeat carries the revision; a second one is needed if the first is lost.
        heartbeat_ms = cls._get_heartbeat_ms(info)
        maximum_ms = MAX_EFFECT_DELAY_MS - MIN_HEARTBEATS_PER_TIMEOUT * heartbeat_ms
        if value > maximum_ms:
            raise ValueError(
                f"at most {maximum_ms} ms with heartbeat_ms = {heartbeat_ms}, so that a change is "
                f"in force within {MAX_EFFECT_DELAY_MS} ms, found {value} ms"
            )
        return value


class Settings(StrictModel):
    """The settings of one entry instance."""

    name: Name
    failure_domain: Name
    region: Name = "local"
    http: HttpListen
    peer: Listen
    metrics: Listen
    store: StoreSettings
    instance_list: InstanceListSettings
    peers: tuple[PeerSettings, ...] = ()
    logs: LogSettings = LogSettings()
    limits: LimitSettings = LimitSettings()
    timing: TimingSettings = TimingSettings()
    routing: RoutingSettings = RoutingSettings()
    seed: Annotated[int, Field(strict=True, ge=0)] | None = None

    @field_validator("peer", "metrics")
    @classmethod
    def _check_listeners_differ(cls, value: Listen, info: ValidationInfo) -> Listen:
        for key in ("http", "peer"):
            other = info.data.get(key)
            if other and value.port and (other.host, other.port) == (value.host, value.port):
                raise ValueError(f"a port other than that of {key}, found {value.port}")
        return value

    @field_validator("peers")
    @classmethod
    def _check_peers(
        cls, value: tuple[PeerSettings, ...], info: ValidationInfo
    ) -> tuple[PeerSettings, ...]:
        _check_unique([peer.name for peer in value], "peer name")
        _check_unique([peer.address for peer in value], "peer address")
        if info.data.get("name") in [peer.name for peer in value]:
            raise ValueError("only other instances, but the list contains this instance")
        return value

    @classmethod
    def from_file(cls, path: str | Path) -> Self | SettingsError:
        """Return the settings in the YAML file at `path`, or the problems found in it."""
        return read_model(path, cls)


def read_model(path: str | Path, model: type[ModelT]) -> ModelT | SettingsError:
    """Return the YAML file at `path` validated as `model`, or an error with file, line and key."""
    file = str(path)
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        return SettingsError(file, 0, "", f"a readable file, found: {error.strerror}")
    except UnicodeDecodeError as error:
        return SettingsError(file, 0, "", f"UTF-8 text, found another byte at {error.start}")
    try:
        root = yaml.compose(text, yaml.SafeLoader)
        values = yaml.safe_load(text)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        problem = getattr(error, "problem", None) or str(error)
        return SettingsError(
            file, mark.line + 1 if mark else 0, "", f"valid YAML, found: {problem}"
        )
    except (ValueError, TypeError, RecursionError) as error:
        return SettingsError(file, 0, "", f"plain YAML values, found: {error}")
    if not isinstance(root, yaml.MappingNode):
        return SettingsError(file, 1, "", "a mapping of keys to values")
    problems = list(_find_repeated_keys(root, file))
    try:
        result = model.model_validate(values)
    except ValidationError as error:
        problems += [_describe(detail, root, model, file) for detail in error.errors()]
    if problems:
        first, *others = sorted(problems, key=lambda problem: problem.line)
        return SettingsError(file, first.line, first.key, first.expected, tuple(others))
    return result


def _join(location: Location) -> str:
    return ".".join(str(part) for part in location)


def _find_repeated_keys(root: yaml.Node, file: str) -> Iterator[SettingsError]:
    # PyYAML keeps the last of two equal keys and drops the first without an error.
    pending: list[tuple[Location, yaml.Node]] = [((), root)]
    # Through an alias a node can appear several times, even inside itself.
    visited: set[yaml.Node] = set()
    while pending:
        parent, node = pending.pop()
        if node in visited:
            continue
        visited.add(node)
        if isinstance(node, yaml.SequenceNode):
            pending += [((*parent, index), item) for index, item in enumerate(node.value)]
        if not isinstance(node, yaml.MappingNode):
            continue
        keys: set[str] = set()
        for key, value in node.value:
            child = (*parent, str(key.value))
            if child[-1] in keys:
                line = key.start_mark.line + 1
                yield SettingsError(file, line, _join(child), "each key only once")
            keys.add(child[-1])
            pending.append((child, value))


def _find_line(root: yaml.Node, location: Location) -> int:
    """Return the line of the key at `location`, or of its nearest parent if it is absent."""
    node, line = root, root.start_mark.line + 1
    for part in location:
        if isinstance(node, yaml.MappingNode):
            found = [(key, value) for key, value in node.value if key.value == str(part)]
        elif isinstance(node, yaml.SequenceNode) and isinstance(part, int):
            found = [(item, item) for item in node.value[part : part + 1]]
        else:
            found = []
        if not found:
            return line
        key, node = found[0]
        line = key.start_mark.line + 1
    return line


def _list_keys(model: Any, location: Location) -> str:
    """Return the keys that `model` allows at `location`, separated by commas."""
    for part in location:
        if isinstance(part, str) and hasattr(model, "model_fields"):
            model = model.model_fields[part].annotation
        else:
            model = (*get_args(model), Any)[0 if isinstance(part, int) else -2]
    return ", ".join(getattr(model, "model_fields", {}))


def _describe(
    detail: ErrorDetails, root: yaml.Node, model: type[BaseModel], file: str
) -> SettingsError:
    location = detail["loc"]
    text = detail["msg"].removeprefix("Value error, ").removeprefix("Input should be ")
    replacements = {
        "extra_forbidden": f"one of these keys: {_list_keys(model, location[:-1])}",
        "missing": "this key, which is required",
        "model_type": "a mapping of keys to values",
        "invalid_key": "a key that is text",
    }
    text = replacements.get(detail["type"], text)
    return SettingsError(file, _find_line(root, location), _join(location), text)
