"""What instances tell each other about upstreams, so that each does not have to find out alone.

A paused upstream is found by the first call that it holds up; the others learn of it within
milliseconds and send their calls elsewhere. Hints are about moments: a lost or late one does no
harm, and a false one only makes another upstream a little more attractive. Times are in ms.
"""

from collections.abc import Callable, Iterable
from enum import IntEnum
from typing import NamedTuple

from .selection import Selector

# Calls of one query become late together: their hints share a datagram.
BATCHING_DELAY_MS = 4.0
# A datagram stays below the usual limit of a packet, and more hints than this add nothing.
MAX_HINTS = 24
# With this many calls a second to each upstream, an instance finds out by itself in time.
KNOWN_RATE_PER_S = 1.0
# An answer after less than this many times the usual time tells little of the next one.
WORTH_TELLING = 3.0


class HintKind(IntEnum):
    """What a hint says."""

    LATE = 0
    ANSWERED = 1


class Hint(NamedTuple):
    """One observation; `value` is an age in ms, or an answer time in multiples of the usual."""

    kind: HintKind
    upstream: str
    value: float


class Hints:
    """Gathers this instance's hints and applies those of others."""

    def __init__(self, selector: Selector, schedule: Callable[[], None]) -> None:
        """Take `schedule`, called when hints have come together that should be sent soon."""
        self.is_wanted = False
        self._selector = selector
        self._schedule = schedule
        self._gathered: dict[str, Hint] = {}

    def note_late(self, upstream: str, age_ms: float, now_ms: float) -> None:
        """Tell that a call to `upstream` has been open for longer than usual, if it is news."""
        if not self._selector.is_known_late(upstream, now_ms):
            self._gather(Hint(HintKind.LATE, upstream, age_ms))

    def note_answered(self, upstream: str, slowness: float) -> None:
        """Tell that a late call has been answered, if it took long enough to be of use."""
        if slowness >= WORTH_TELLING:
            self._gather(Hint(HintKind.ANSWERED, upstream, slowness))

    def pop_pending(self) -> list[Hint]:
        """Return the gathered hints, the newest of each upstream, and begin anew."""
        gathered, self._gathered = self._gathered, {}
        return list(gathered.values())[:MAX_HINTS]

    def apply(self, hints: Iterable[Hint], now_ms: float) -> None:
        """Take over what another instance has seen."""
        for hint in hints:
            if hint.kind is HintKind.LATE:
                self._selector.note_peer_late(hint.upstream, now_ms)
            else:
                self._selector.note_peer_answer(hint.upstream, hint.value, now_ms)

    def update_enabled(self, calls: int, upstreams: int, period_ms: float) -> None:
        """Give hints only while instances call each upstream too rarely to know it themselves.

        Take the calls of this instance to its upstreams within a period.
        """
        if upstreams > 0 and period_ms > 0:
            self.is_wanted = 1_000.0 * calls / upstreams / period_ms < KNOWN_RATE_PER_S

    def _gather(self, hint: Hint) -> None:
        if not self.is_wanted:
            return
        if not self._gathered:
            self._schedule()
        self._gathered[hint.upstream] = hint
