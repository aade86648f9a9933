"""Hints: reports of slow, rate-limited or starting upstreams that instances send to each other.

The first call that a paused upstream delays reveals the pause; a hint lets the other instances send
their calls elsewhere within milliseconds. Hints are short-lived: a lost or late one does no harm,
and a false one only raises the cost of an upstream for a moment. A rate limit that begins or ends
is reported too: an instance with a small share of it would learn of its end seconds later. Times
are in ms.
"""

from collections.abc import Callable, Iterable
from enum import IntEnum
from math import inf
from typing import NamedTuple

from .selection import Selector

# Batching delay: calls of one query become late together, so their hints share a datagram.
BATCHING_DELAY_MS = 4.0
# Keeps a datagram below the usual packet size; more hints than this add nothing.
MAX_HINTS = 24
# At this rate of calls to each upstream an instance detects slow ones in time by itself.
SELF_SUFFICIENT_RATE_PER_S = 1.0
# A reply faster than this multiple of the baseline predicts the next one poorly.
MIN_REPORTED_SLOWNESS = 3.0
MS_PER_SECOND = 1_000.0


class HintKind(IntEnum):
    """What a hint reports: a late call, the reply to one, a rate limit or a pace."""

    LATE = 0
    ANSWERED = 1
    LIMITED = 2
    UNLIMITED = 3
    PACED = 4


# The kinds that are sent when they occur, however rarely; the others come regularly.
LIMIT_KINDS = frozenset({HintKind.LIMITED, HintKind.UNLIMITED})


class Hint(NamedTuple):
    """One observation.

    `value` is an age in ms, a latency as a multiple of the baseline, a limit in requests/s, or a
    number of concurrent calls.
    """

    kind: HintKind
    upstream: str
    value: float


class Hints:
    """Batches this instance's hints and applies those of others."""

    def __init__(self, selector: Selector, schedule: Callable[[], None]) -> None:
        """Set `schedule`, which is called when there is a batch to be sent."""
        # Whether late calls, their replies and paces are reported.
        self.is_enabled = False
        self._selector = selector
        self._schedule = schedule
        self._pending: dict[str, Hint] = {}
        self._pending_limits: dict[str, Hint] = {}
        self._pending_paces: dict[str, Hint] = {}

    def record_late(self, upstream: str, age_ms: float, now_ms: float) -> None:
        """Add a hint that a call to `upstream` is late, unless a peer has just reported one."""
        if self.is_enabled and not self._selector.is_reported_late(upstream, now_ms):
            self._add(self._pending, Hint(HintKind.LATE, upstream, age_ms))

    def record_answered(self, upstream: str, slowness: float) -> None:
        """Add a hint that a late call has a reply, if that was slow enough to be useful."""
        if self.is_enabled and slowness >= MIN_REPORTED_SLOWNESS:
            self._add(self._pending, Hint(HintKind.ANSWERED, upstream, slowness))

    def record_limit(self, upstream: str, limit_per_s: float | None) -> None:
        """Add a hint that `upstream` names another rate limit than before, or none."""
        if limit_per_s is None:
            hint = Hint(HintKind.UNLIMITED, upstream, 0.0)
        else:
            hint = Hint(HintKind.LIMITED, upstream, limit_per_s)
        self._add(self._pending_limits, hint)

    def record_pace(self, upstream: str, concurrency: float) -> None:
        """Add a hint with the new pace of `upstream`, which this instance has found."""
        if self.is_enabled:
            self._add(self._pending_paces, Hint(HintKind.PACED, upstream, concurrency))

    def pop_pending(self) -> list[Hint]:
        """Return up to `MAX_HINTS` hints, the newest of each upstream, limits first, then paces.

        The limits beyond that stay for the next batch; other hints would be outdated by then.
        """
        limits = list(self._pending_limits.values())[:MAX_HINTS]
        others, self._pending = self._pending, {}
        paces, self._pending_paces = self._pending_paces, {}
        for hint in limits:
            del self._pending_limits[hint.upstream]
        if self._pending_limits:
            self._schedule()
        return [*limits, *paces.values(), *others.values()][:MAX_HINTS]

    def apply(self, hints: Iterable[Hint], now_ms: float) -> list[Hint]:
        """Apply the hints of another instance; return those that changed a limit."""
        changed: list[Hint] = []
        for hint in hints:
            if hint.kind is HintKind.LATE:
                self._selector.record_peer_late(hint.upstream, now_ms)
            elif hint.kind is HintKind.ANSWERED:
                self._selector.record_peer_reply(hint.upstream, hint.value, now_ms)
            elif hint.kind is HintKind.PACED:
                self._apply_pace(hint, now_ms)
            elif self._apply_limit(hint, now_ms):
                changed.append(hint)
        return changed

    def _apply_pace(self, hint: Hint, now_ms: float) -> None:
        if 0.0 < hint.value < inf:
            self._selector.record_peer_pace(hint.upstream, hint.value, now_ms)

    def _apply_limit(self, hint: Hint, now_ms: float) -> bool:
        limit_per_s = hint.value if hint.kind is HintKind.LIMITED else None
        if limit_per_s is not None and not 0.0 <= limit_per_s < inf:
            return False
        return self._selector.record_limit(hint.upstream, limit_per_s, now_ms, now_ms)

    def update_enabled(self, calls: int, upstreams: int, period_ms: float) -> None:
        """Enable hints only while calls to each upstream are too rare to detect slow ones.

        `calls` is the number of this instance's calls to `upstreams` upstreams within `period_ms`.
        """
        if upstreams > 0 and period_ms > 0:
            self.is_enabled = (
                MS_PER_SECOND * calls / upstreams / period_ms < SELF_SUFFICIENT_RATE_PER_S
            )

    def _add(self, pending: dict[str, Hint], hint: Hint) -> None:
        if not self._pending and not self._pending_limits and not self._pending_paces:
            self._schedule()
        pending[hint.upstream] = hint
