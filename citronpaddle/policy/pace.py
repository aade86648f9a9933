"""Pace: an adaptive concurrency limit for an upstream that starts or recovers.

It applies to the calls of all instances together, grows by a factor after good replies and shrinks
after slow replies and failures. It is a soft limit: further calls cost more in the selection. Times
are in ms on one monotonic clock; slowness is a latency as a multiple of the baseline latency of the
upstream's service and the route.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from enum import Enum
from typing import NamedTuple

from .registry import Upstream

# Concurrent calls at the start of a pace, and its minimum; below 1, calls are spaced by the latency
# divided by the pace, so that an upstream that fails is still called now and then.
INITIAL_CONCURRENCY = 1.0
MIN_CONCURRENCY = 0.25
# Factors of the pace after a good reply, a slow reply, and a rejection or failure.
GROWTH_FACTOR = 1.25
SLOW_FACTOR = 0.8
FAILURE_FACTOR = 0.5
# A reply is good up to this multiple of the reference, which is the usual slowness of the upstream.
GOOD_SLOWNESS_FACTOR = 2.0
# Weight of a slower reply in the moving average of the reference; a faster reply replaces it.
REFERENCE_WEIGHT = 0.2
# A pace ends after this time without a reply: it is outdated.
MAX_SILENCE_MS = 10_000.0
# A new pace begins for a cold upstream if its warm-up ends later by more than this than was known
# when its last pace ended: the end of the warm-up is computed anew from each rewritten entry.
COLD_TOLERANCE_MS = 1_000.0
# Latency assumed for an upstream without replies, which spaces its calls if the pace is below 1.
ASSUMED_LATENCY_MS = 50.0


class PaceEnd(Enum):
    """Why a pace ended: it has reached the upstream's slots, or there were no replies."""

    REACHED = "reached"
    EXPIRED = "expired"


class PaceChange(NamedTuple):
    """The new pace of an upstream in concurrent calls; `end` is set with the last one."""

    upstream: Upstream
    concurrency: float
    end: PaceEnd | None = None


@dataclass(slots=True)
class _Pace:
    """The state of one upstream; `concurrency` is None after the end."""

    concurrency: float | None
    cold_until_ms: float
    changed_ms: float
    replied_ms: float
    reference: float | None = None
    latency_ms: float = ASSUMED_LATENCY_MS
    next_call_ms: float = 0.0


class Paces:
    """The paces of all upstreams that are starting or recovering."""

    def __init__(self) -> None:
        # Receives the changes that this instance's own calls cause.
        self.on_change: Callable[[PaceChange], None] = lambda change: None
        self._share = 1.0
        self._paces: dict[str, _Pace] = {}

    def __len__(self) -> int:
        return sum(1 for pace in self._paces.values() if pace.concurrency is not None)

    def copy_for(self, upstream_ids: Iterable[str]) -> "Paces":
        """Return a copy with the paces of some upstreams, which reports no changes."""
        copied = Paces()
        copied._share = self._share
        copied._paces = {
            name: replace(self._paces[name]) for name in upstream_ids if name in self._paces
        }
        return copied

    def get_concurrency(self, upstream_id: str) -> float | None:
        """Return the calls that all instances are to have in progress, or None without a pace."""
        pace = self._paces.get(upstream_id)
        return pace.concurrency if pace is not None else None

    def set_share(self, share: float) -> None:
        """Set the share (above 0, up to 1) of every pace that this instance may use."""
        self._share = share

    def may_apply(self, upstream: Upstream, now_ms: float) -> bool:
        """Return whether the upstream has or had a pace, or is cold: else its factor is 1."""
        return upstream.id in self._paces or upstream.cold_until_ms > now_ms

    def find_factor(self, upstream: Upstream, open_calls: int, now_ms: float) -> float:
        """Return the factor of a call's cost: 1 within the pace, slots divided by pace beyond it.

        Begin a pace for a cold upstream without one, and end one that has expired.
        """
        pace = self._find(upstream, now_ms)
        if pace is None or self._permits(pace, open_calls, now_ms):
            return 1.0
        return max(1.0, upstream.slots / pace.concurrency)

    def estimate_excess(self, upstream_id: str) -> float | None:
        """Return by how much the reference exceeds a slowness of 1, or None before any reply."""
        pace = self._paces.get(upstream_id)
        if pace is None or pace.reference is None:
            return None
        return max(0.0, pace.reference - 1.0)

    def begin(self, upstream: Upstream, now_ms: float) -> None:
        """Begin a pace for an upstream that has recovered, unless it has one."""
        pace = self._paces.get(upstream.id)
        if pace is None or pace.concurrency is None:
            self._start(upstream, INITIAL_CONCURRENCY, now_ms)

    def record_sent(self, upstream: Upstream, now_ms: float) -> None:
        """Record a call; if this instance's pace is below 1, set when the next call is due."""
        pace = self._paces.get(upstream.id)
        if pace is None or pace.concurrency is None:
            return
        own_concurrency = pace.concurrency * self._share
        if own_concurrency < 1.0:
            pace.next_call_ms = now_ms + pace.latency_ms / own_concurrency

    def record_reply(
        self, upstream: Upstream, slowness: float, latency_ms: float, now_ms: float
    ) -> None:
        """Grow the pace after a good reply, shrink it after a slow one; once per round trip."""
        pace = self._paces.get(upstream.id)
        if pace is None or pace.concurrency is None:
            return
        is_good = slowness <= GOOD_SLOWNESS_FACTOR * max(1.0, pace.reference or slowness)
        if pace.reference is None or slowness < pace.reference:
            pace.reference = slowness
        else:
            pace.reference += REFERENCE_WEIGHT * (slowness - pace.reference)
        pace.latency_ms = max(1.0, latency_ms)
        pace.replied_ms = now_ms
        if now_ms - latency_ms >= pace.changed_ms:
            self._change(upstream, pace, GROWTH_FACTOR if is_good else SLOW_FACTOR, now_ms)

    def record_failure(self, upstream: Upstream, now_ms: float) -> None:
        """Halve the pace after a rejection or a failure."""
        pace = self._paces.get(upstream.id)
        if pace is not None and pace.concurrency is not None:
            self._change(upstream, pace, FAILURE_FACTOR, now_ms)

    def record_peer_pace(self, upstream: Upstream, concurrency: float, now_ms: float) -> None:
        """Adopt the pace that another instance has found; one beyond the slots ends it."""
        pace = self._paces.get(upstream.id)
        if pace is None or pace.concurrency is None:
            if concurrency >= upstream.slots:
                return
            pace = self._start(upstream, concurrency, now_ms)
        pace.concurrency = max(MIN_CONCURRENCY, concurrency)
        pace.changed_ms = pace.replied_ms = now_ms
        if pace.concurrency >= upstream.slots:
            self._end(upstream, pace)

    def remove_upstream(self, upstream_id: str) -> None:
        """Remove the pace of an upstream that is no longer listed or has restarted."""
        self._paces.pop(upstream_id, None)

    def _permits(self, pace: _Pace, open_calls: int, now_ms: float) -> bool:
        own_concurrency = pace.concurrency * self._share
        if own_concurrency >= 1.0:
            return open_calls < int(own_concurrency)
        return open_calls == 0 and now_ms >= pace.next_call_ms

    def _find(self, upstream: Upstream, now_ms: float) -> _Pace | None:
        """Return the pace of an upstream or None; begin one if it is cold, end an expired one."""
        pace = self._paces.get(upstream.id)
        is_cold = upstream.cold_until_ms > now_ms
        if pace is None:
            return self._start(upstream, INITIAL_CONCURRENCY, now_ms) if is_cold else None
        if pace.concurrency is None:
            if is_cold and upstream.cold_until_ms > pace.cold_until_ms + COLD_TOLERANCE_MS:
                return self._start(upstream, INITIAL_CONCURRENCY, now_ms)
            return None
        if now_ms - pace.replied_ms > MAX_SILENCE_MS:
            concurrency = pace.concurrency
            self._end(upstream, pace)
            self.on_change(PaceChange(upstream, concurrency, PaceEnd.EXPIRED))
            return None
        return pace

    def _start(self, upstream: Upstream, concurrency: float, now_ms: float) -> _Pace:
        pace = _Pace(concurrency, upstream.cold_until_ms, now_ms, now_ms)
        self._paces[upstream.id] = pace
        return pace

    def _change(self, upstream: Upstream, pace: _Pace, factor: float, now_ms: float) -> None:
        pace.concurrency = max(MIN_CONCURRENCY, pace.concurrency * factor)
        pace.changed_ms = now_ms
        pace.next_call_ms = min(
            pace.next_call_ms, now_ms + pace.latency_ms / (pace.concurrency * self._share)
        )
        change = PaceChange(upstream, pace.concurrency)
        if pace.concurrency >= upstream.slots:
            change = change._replace(end=PaceEnd.REACHED)
            self._end(upstream, pace)
        self.on_change(change)

    def _end(self, upstream: Upstream, pace: _Pace) -> None:
        pace.concurrency = None
        pace.cold_until_ms = upstream.cold_until_ms
