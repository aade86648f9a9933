"""Limits of what an instance holds for callers: bytes of their requests, and connections.

Times are in ms on one monotonic clock.
"""

from collections.abc import Hashable, Iterable
from enum import IntEnum, StrEnum
from typing import NamedTuple

# File descriptors of a process that are reserved for files; the rest is for sockets.
RESERVED_DESCRIPTORS = 200
# Shares for callers. The other sockets are for upstreams and other instances, the other memory for
# the program, the copies of requests that are sent to upstreams, and responses.
CALLER_SOCKET_SHARE = 0.5
HELD_MEMORY_SHARE = 0.25
# Assumed where the settings do not state the limits of the machine.
DEFAULT_MEMORY_MB = 256.0
DEFAULT_DESCRIPTORS = 1_024
# When a limit is exceeded, what callers hold is reduced to this share of it, so that not every
# further packet exceeds it again.
SHEDDING_TARGET_SHARE = 0.875
# Bytes that each connection may hold without being counted; its own objects need as much.
UNCOUNTED_BYTES = 4_096
# A body must arrive within this time, plus one ms for each `MIN_BODY_BYTES_PER_MS` received.
BODY_GRACE_MS = 30_000.0
MIN_BODY_BYTES_PER_MS = 1.0
# Bytes of chunk sizes and extensions that are allowed for each byte of a body, in addition to the
# maximum size of a head. Chunks of one byte need five.
MAX_FRAMING_PER_BODY_BYTE = 16


class LimitReason(StrEnum):
    """Why a request was refused before it was complete, or a connection closed."""

    MALFORMED = "malformed"
    HEADER_BYTES = "header_bytes"
    BODY_BYTES = "body_bytes"
    FRAMING_BYTES = "framing_bytes"
    TRAILER_BYTES = "trailer_bytes"
    HEADER_TIME = "header_time"
    BODY_TIME = "body_time"
    HELD_BYTES = "held_bytes"
    CONNECTIONS = "connections"


class Phase(IntEnum):
    """What a connection of a caller is doing."""

    IDLE = 0
    READING = 1
    IN_PROGRESS = 2


class ConnectionState(NamedTuple):
    """The state of one connection of a caller; `phase` began at `since_ms`.

    `releasable_bytes` are held for a request that is incomplete or has not started to run.
    `has_completed` tells whether the connection has had a complete request.
    """

    key: Hashable
    phase: Phase
    since_ms: float
    releasable_bytes: int
    has_completed: bool


class CallerBudgetLimits(NamedTuple):
    """Limits of all callers together: bytes held for their requests, and open connections."""

    held_bytes: int
    connections: int


def derive_limits(memory_mb: float | None, descriptors: int | None) -> CallerBudgetLimits:
    """Return the limits for an instance with this memory in MB and this number of descriptors."""
    memory_bytes = (DEFAULT_MEMORY_MB if memory_mb is None else memory_mb) * 1_000_000
    sockets = (DEFAULT_DESCRIPTORS if descriptors is None else descriptors) - RESERVED_DESCRIPTORS
    return CallerBudgetLimits(
        max(1, int(HELD_MEMORY_SHARE * memory_bytes)), max(1, int(CALLER_SOCKET_SHARE * sockets))
    )


def is_body_overdue(elapsed_ms: float, body_bytes: int) -> bool:
    """Return whether a body that began `elapsed_ms` ago has too few bytes.

    Only the bytes of the body extend the allowed time, so that neither single bytes nor chunk
    extensions and trailers keep a request open indefinitely.
    """
    return elapsed_ms > BODY_GRACE_MS + body_bytes / MIN_BODY_BYTES_PER_MS


class CallerBudget:
    """Counts what is held for callers, and selects connections to release when a limit is exceeded.

    Requests in progress are never released, since they may have run.
    """

    def __init__(self, limits: CallerBudgetLimits) -> None:
        self.limits = limits
        self.held_bytes = 0
        self._held: dict[Hashable, int] = {}

    @property
    def exceeds_bytes(self) -> bool:
        """Return whether more bytes are held than the limit."""
        return self.held_bytes > self.limits.held_bytes

    def hold(self, key: Hashable, size_bytes: int) -> None:
        """Set the bytes that are held for a connection; 0 removes it."""
        counted = max(0, size_bytes - UNCOUNTED_BYTES)
        self.held_bytes += counted - self._held.pop(key, 0)
        if counted:
            self._held[key] = counted

    def select_for_bytes(self, states: Iterable[ConnectionState], now_ms: float) -> list[Hashable]:
        """Return the connections that must release their bytes to be below the limit again.

        Callers without a completed request come first, and among those the largest and slowest,
        by the product of bytes and time.
        """
        excess = self.held_bytes - SHEDDING_TARGET_SHARE * self.limits.held_bytes
        holders = [item for item in states if item.releasable_bytes > UNCOUNTED_BYTES]
        holders.sort(
            key=lambda item: (
                item.has_completed,
                -item.releasable_bytes * (1.0 + now_ms - item.since_ms),
            )
        )
        selected = []
        for holder in holders:
            if excess <= 0:
                break
            excess -= holder.releasable_bytes - UNCOUNTED_BYTES
            selected.append(holder.key)
        return selected

    def select_for_connections(self, states: Iterable[ConnectionState]) -> list[Hashable]:
        """Return the connections to close if there are more than the limit, else none.

        Callers without a completed request come first, then idle connections, then requests that
        are being read; the oldest of each go first.
        """
        states = list(states)
        if len(states) <= self.limits.connections:
            return []
        count = len(states) - int(SHEDDING_TARGET_SHARE * self.limits.connections)
        closable = [item for item in states if item.phase is not Phase.IN_PROGRESS]
        closable.sort(
            key=lambda item: (
                item.has_completed,
                item.has_completed and item.phase is Phase.READING,
                item.since_ms,
            )
        )
        return [item.key for item in closable[:count]]
