"""Clocks: monotonic and wall time in milliseconds."""

import time
from abc import ABC, abstractmethod

# CLOCK_MONOTONIC does not count the time in which the machine is suspended, so a lease would seem
# valid after its expiry.
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class Clock(ABC):
    """Source of time; every time in the package is in milliseconds."""

    @abstractmethod
    def now_ms(self) -> float:
        """Return monotonic time in ms; only differences are meaningful."""

    @abstractmethod
    def wall_ms(self) -> int:
        """Return Unix time in ms, for records that people read."""


class SystemClock(Clock):
    """The clock of the operating system."""

    def now_ms(self) -> float:
        return time.clock_gettime(_CLOCK_ID) * 1000.0

    def wall_ms(self) -> int:
        return int(time.time() * 1000)


class VirtualClock(Clock):
    """A clock that only moves by calls of `advance`, for simulations."""

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> float:
        return self._now_ms

    def wall_ms(self) -> int:
        return int(self._now_ms)

    def advance(self, by_ms: float) -> None:
        """Move the clock forward by `by_ms`; raise ValueError if negative."""
        if by_ms < 0:
            raise ValueError(f"a clock cannot move back by {-by_ms} ms")
        self._now_ms += by_ms
