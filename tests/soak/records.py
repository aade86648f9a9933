"""What callers, upstreams, the operator and the faults did: all that the promises are checked on.

Times are in ms of one monotonic clock.
"""

import time
from bisect import bisect_right
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple


def now_ms() -> float:
    """Return the time in ms."""
    return time.monotonic() * 1_000.0


class End(StrEnum):
    """How a caller's attempt ended."""

    ANSWERED = "answered"
    CLOSED = "closed"
    LEFT = "left"
    TIMED_OUT = "timed_out"
    UNCONNECTED = "unconnected"


@dataclass
class Attempt:
    """One attempt of a caller."""

    id: str
    prefix: str
    method: str
    target: str
    body: bytes
    instance: str
    sent_ms: float
    was_kept: bool
    ended_ms: float = 0.0
    end: End | None = None
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    answer: bytes = b""


class Arrival(NamedTuple):
    """A request as an upstream got it; `ran` is false if it was rejected."""

    attempt: str
    upstream: str
    service: str
    domain: str
    method: str
    target: str
    body: bytes
    at_ms: float
    ran: bool


class Given(NamedTuple):
    """What an upstream answered under a signature."""

    attempt: str
    service: str
    status: int
    body: bytes


class Version(NamedTuple):
    """A version of the configuration: the services of each prefix, when it was acknowledged."""

    number: int
    acked_ms: float
    routes: dict[str, frozenset[str]]


class Trouble(NamedTuple):
    """A disruption; `scope` is an instance, an upstream, `store` or `all`."""

    scope: str
    kind: str
    start_ms: float
    end_ms: float
    is_planned: bool = False


@dataclass
class History:
    """Everything that was seen in a run."""

    started_ms: float = field(default_factory=now_ms)
    attempts: dict[str, Attempt] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    given: dict[str, Given] = field(default_factory=dict)
    versions: list[Version] = field(default_factory=list)
    troubles: list[Trouble] = field(default_factory=list)
    # Planned stops: the instance, when SIGTERM was sent and when its process had ended.
    stops: list[tuple[str, float, float]] = field(default_factory=list)
    starts: dict[str, list[float]] = field(default_factory=dict)
    # When an upstream was acknowledged as leaving or gone, and a domain as taken out (or back).
    left_ms: dict[str, float] = field(default_factory=dict)
    out: list[tuple[str, float, float]] = field(default_factory=list)
    cold: dict[str, tuple[float, float]] = field(default_factory=dict)
    ended_upstreams: dict[str, float] = field(default_factory=dict)
    exits: list[str] = field(default_factory=list)
    timeline: list[tuple[float, str]] = field(default_factory=list)

    def note(self, text: str) -> None:
        """Add a line to the timeline of faults."""
        self.timeline.append((now_ms() - self.started_ms, text))

    @contextmanager
    def trouble(self, scope: str, kind: str, is_planned: bool = False) -> Iterator[None]:
        """Take note of a disruption that lasts as long as the block."""
        self.note(f"{scope}: {kind}")
        place = len(self.troubles)
        self.troubles.append(Trouble(scope, kind, now_ms(), float("inf"), is_planned))
        try:
            yield
        finally:
            self.troubles[place] = self.troubles[place]._replace(end_ms=now_ms())
            self.note(f"{scope}: {kind} is over")

    def is_calm(self, from_ms: float, to_ms: float, *scopes: str, planned: bool = True) -> bool:
        """Return whether no disruption of these scopes came between the two times.

        Without `planned`, planned work does not count as one.
        """
        wanted = {*scopes, "all"}
        return not any(
            trouble.scope in wanted
            and trouble.start_ms <= to_ms
            and trouble.end_ms >= from_ms
            and (planned or not trouble.is_planned)
            for trouble in self.troubles
        )

    def find_incarnation(self, instance: str, at_ms: float) -> int:
        """Return the number of the process of `instance` at a time."""
        return bisect_right(self.starts.get(instance, []), at_ms)
