"""Hints: reports of slow upstreams that instances send to each other.

The first call that a paused upstream delays reveals the pause; a hint lets the other instances send
their calls elsewhere within milliseconds. Hints are short-lived: a lost or late one does no harm,
and a false one only raises the cost of an upstream for a moment. Times are in ms.
"""

from collections.abc import Callable, Iterable
from enum import IntEnum
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
    """What a hint reports: a call that is late, or the reply to one."""

    LATE = 0
    ANSWERED = 1


class Hint(NamedTuple):
    """One observation; `value` is an age in ms, or a latency as a multiple of the baseline."""

    kind: HintKind
    upstream: str
    value: float


class Hints:
    """Batches this instance's hints and applies those of others."""

    def __init__(self, selector: Selector, schedule: Callable[[], None]) -> None:
        """Set `schedule`, which is called when the first hint of a batch is added."""
        self.is_enabled = False
        self._selector = selector
        self._schedule = schedule
        self._pending: dict[str, Hint] = {}

    def record_late(self, upstream: str, age_ms: float, now_ms: float) -> None:
        """Add a hint that a call to `upstream` is late, unless a peer has just reported one."""
        if not self._selector.is_reported_late(upstream, now_ms):
            self._add(Hint(HintKind.LATE, upstream, age_ms))

    def record_answered(self, upstream: str, slowness: float) -> None:
        """Add a hint that a late call has a reply, if that was slow enough to be useful."""
        if slowness >= MIN_REPORTED_SLOWNESS:
            self._add(Hint(HintKind.ANSWERED, upstream, slowness))

    def pop_pending(self) -> list[Hint]:
        """Return up to `MAX_HINTS` hints, the newest of each upstream, and clear the batch."""
        pending, self._pending = self._pending, {}
        return list(pending.values())[:MAX_HINTS]

    def apply(self, hints: Iterable[Hint], now_ms: float) -> None:
        """Apply the hints of another instance."""
        for hint in hints:
            if hint.kind is HintKind.LATE:
                self._selector.record_peer_late(hint.upstream, now_ms)
            else:
                self._selector.record_peer_reply(hint.upstream, hint.value, now_ms)

    def update_enabled(self, calls: int, upstreams: int, period_ms: float) -> None:
        """Enable hints only while calls to each upstream are too rare to detect slow ones.

        `calls` is the number of this instance's calls to `upstreams` upstreams within `period_ms`.
        """
        if upstreams > 0 and period_ms > 0:
            self.is_enabled = (
                MS_PER_SECOND * calls / upstreams / period_ms < SELF_SUFFICIENT_RATE_PER_S
            )

    def _add(self, hint: Hint) -> None:
        if not self.is_enabled:
            return
        if not self._pending:
            self._schedule()
        self._pending[hint.upstream] = hint
