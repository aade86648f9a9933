"""Calls to upstreams, their results and the outcome of a request. Times are in ms."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from .registry import Upstream

# The reason of a part's first call; calls with any other reason are repeats.
FIRST_CALL = "first"


class FailureKind(StrEnum):
    """Why a call failed."""

    UNREACHABLE = "unreachable"
    REJECTED = "rejected"
    MISDIRECTED = "misdirected"
    BROKEN = "broken"
    GARBLED = "garbled"
    TIMED_OUT = "timed_out"
    ERROR = "error"


# Failures that guarantee that the upstream has not run the call and never will.
NOT_RUN = frozenset({FailureKind.UNREACHABLE, FailureKind.REJECTED, FailureKind.MISDIRECTED})


class Reply(NamedTuple):
    """A complete reply; `signature` lets the caller verify which upstream sent it."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    signature: bytes


class CallFailure(NamedTuple):
    """A failed call; `reply` is the upstream's error response if it arrived completely."""

    kind: FailureKind
    reply: Reply | None = None


@dataclass(frozen=True, slots=True)
class UnknownLimit:
    """An answer names a limit that cannot be decoded; the limit known before stays in force."""


@dataclass(slots=True)
class Call:
    """One call to an upstream; `is_sent` is set once its first byte may have been sent."""

    id: int
    part: int
    upstream: Upstream
    started_ms: float
    reason: str
    is_sent: bool = False


@dataclass(frozen=True, slots=True)
class Send:
    """Action: start this call."""

    call: Call


@dataclass(frozen=True, slots=True)
class Cancel:
    """Action: cancel this call; its result is not needed."""

    call: Call


@dataclass(frozen=True, slots=True)
class Answered:
    """The request is answered with the replies received; `missing` counts parts without one."""

    replies: tuple[Reply, ...]
    missing: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The request has not run and never will; the caller may retry after `retry_ms`."""

    reason: str
    retry_ms: float


@dataclass(frozen=True, slots=True)
class Failed:
    """The request has no answer, and an upstream may have run it; `is_late` marks a timeout."""

    reason: str
    is_late: bool


Outcome = Answered | Refused | Failed
Action = Send | Cancel


class MissingPart(NamedTuple):
    """A part without a reply: its service, the upstreams called, the last failure kind."""

    service: str
    tried: tuple[str, ...]
    fault: str
