"""Counts events in a sliding window. Times are in ms on one monotonic clock."""

from collections import deque

# Resolution of the window: an event counts for up to one slice longer than it, never shorter.
SLICES_PER_WINDOW = 50


class SlidingCount:
    """Counts the events of the last window in `SLICES_PER_WINDOW` slices of equal length."""

    __slots__ = ("_slice_ms", "_slices", "_total")

    def __init__(self, window_ms: float) -> None:
        self._slice_ms = window_ms / SLICES_PER_WINDOW
        # Pairs of a slice's number and its count of events, the oldest first.
        self._slices: deque[tuple[int, float]] = deque()
        self._total = 0.0

    def add(self, count: float, now_ms: float) -> None:
        """Add `count` events at `now_ms`."""
        number = int(now_ms / self._slice_ms)
        if self._slices and self._slices[-1][0] >= number:
            last, before = self._slices.pop()
            self._slices.append((last, before + count))
        else:
            self._slices.append((number, count))
        self._total += count

    def remove(self, count: float) -> None:
        """Remove up to `count` events, the newest first."""
        while self._slices and count > 0:
            number, events = self._slices.pop()
            removed = min(count, events)
            count -= removed
            self._total -= removed
            if events > removed:
                self._slices.append((number, events - removed))

    def count(self, now_ms: float) -> float:
        """Return the number of events in the window that ends at `now_ms`."""
        oldest = int(now_ms / self._slice_ms) - SLICES_PER_WINDOW
        while self._slices and self._slices[0][0] < oldest:
            self._total -= self._slices.popleft()[1]
        return self._total if self._slices else 0.0

    def find_release_ms(self, now_ms: float) -> float:
        """Return when the oldest events leave the window; `now_ms` if there are none."""
        self.count(now_ms)
        if not self._slices:
            return now_ms
        return (self._slices[0][0] + SLICES_PER_WINDOW + 1) * self._slice_ms
