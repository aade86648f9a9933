"""The history of a run: what callers, upstreams, the operator and the fault injector did.

The invariants are checked on it. Times are in ms of one monotonic clock.
"""

import time
from bisect import bisect_right
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple


def now_ms() -> float:
    """Return the monotonic time in ms."""
    return time.monotonic() * 1_000.0


class Outcome(StrEnum):
    """How a caller's attempt ended."""

    ANSWERED = "answered"
    CLOSED = "closed"
    ABANDONED = "abandoned"
    TIMED_OUT = "timed_out"
    UNCONNECTED = "unconnected"


@dataclass
class Attempt:
    """One request of a caller, and its answer if there is one."""

    id: str
    prefix: str
    method: str
    target: str
    body: bytes
    instance: str
    sent_ms: float
    reused_connection: bool
    ended_ms: float = 0.0
    outcome: Outcome | None = None
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    answer: bytes = b""


class Arrival(NamedTuple):
    """A request that an upstream received, with its id; `ran` is false if it was rejected."""

    attempt: str
    upstream: str
    service: str
    domain: str
    method: str
    target: str
    body: bytes
    at_ms: float
    ran: bool


class SignedReply(NamedTuple):
    """A reply of an upstream, recorded under its signature; `attempt` is the id of the request."""

    attempt: str
    service: str
    status: int
    body: bytes


class Version(NamedTuple):
    """A version of the configuration: when the store acknowledged it, and services by prefix."""

    number: int
    acknowledged_ms: float
    routes: dict[str, frozenset[str]]


class Fault(NamedTuple):
    """An injected fault or a stall; `scope` is an instance, an upstream, `store` or `all`."""

    scope: str
    kind: str
    start_ms: float
    end_ms: float
    is_planned: bool = False


@dataclass
class History:
    """Everything that was recorded in a run."""

    started_ms: float = field(default_factory=now_ms)
    attempts: dict[str, Attempt] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    signed_replies: dict[str, SignedReply] = field(default_factory=dict)
    versions: list[Version] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    # Planned stops: the instance, when SIGTERM was sent and when its process ended.
    stops: list[tuple[str, float, float]] = field(default_factory=list)
    start_times_ms: dict[str, list[float]] = field(default_factory=dict)
    # When the store acknowledged that an upstream is leaving or gone.
    leaving_since_ms: dict[str, float] = field(default_factory=dict)
    # A failure domain, when it was taken out of service and when it was brought back.
    evacuations: list[tuple[str, float, float]] = field(default_factory=list)
    # The start and the end of the time in which an upstream is cold.
    cold_periods: dict[str, tuple[float, float]] = field(default_factory=dict)
    upstream_end_ms: dict[str, float] = field(default_factory=dict)
    # Processes that ended unexpectedly or not in time, and errors of the soak test itself.
    process_failures: list[str] = field(default_factory=list)
    timeline: list[tuple[float, str]] = field(default_factory=list)

    def record_event(self, text: str) -> None:
        """Add a line to the timeline of the run."""
        self.timeline.append((now_ms() - self.started_ms, text))

    @contextmanager
    def record_fault(self, scope: str, kind: str, is_planned: bool = False) -> Iterator[None]:
        """Record a fault that lasts as long as the block."""
        self.record_event(f"{scope}: {kind}")
        index = len(self.faults)
        self.faults.append(Fault(scope, kind, now_ms(), float("inf"), is_planned))
        try:
            yield
        finally:
            self.faults[index] = self.faults[index]._replace(end_ms=now_ms())
            self.record_event(f"{scope}: {kind} is over")

    def is_fault_free(
        self, from_ms: float, to_ms: float, *scopes: str, includes_planned: bool = True
    ) -> bool:
        """Return whether there was no fault of these scopes between the two times.

        Planned work counts as a fault only with `includes_planned`.
        """
        relevant = {*scopes, "all"}
        return not any(
            fault.scope in relevant
            and fault.start_ms <= to_ms
            and fault.end_ms >= from_ms
            and (includes_planned or not fault.is_planned)
            for fault in self.faults
        )

    def find_incarnation(self, instance: str, at_ms: float) -> int:
        """Return how many processes of `instance` were started up to `at_ms`."""
        return bisect_right(self.start_times_ms.get(instance, []), at_ms)
