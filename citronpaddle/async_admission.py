"""Makes coroutines wait for the decisions of an admission policy."""

import asyncio
from collections.abc import Callable, Hashable, Iterable
from typing import Protocol

from .clock import Clock
from .errors import Failure
from .policy.queueing import Decision, Refuse, Start


class Admission(Protocol):
    """The part that the admission policies have in common."""

    def submit(
        self, now_ms: float, key: Hashable, priority: int, deadline_ms: float
    ) -> list[Decision]: ...

    def cancel(self, now_ms: float, key: Hashable) -> list[Decision]: ...

    def poll(self, now_ms: float) -> list[Decision]: ...

    def find_next_check(self) -> float | None: ...


class Admittance:
    """Wakes each waiting request when the policy starts or refuses it."""

    def __init__(
        self, clock: Clock, admission: Admission, give_back: Callable[[Hashable], None]
    ) -> None:
        """`give_back` frees a place that was given to a request which is gone."""
        self._clock = clock
        self._admission = admission
        self._give_back = give_back
        self._waiting: dict[Hashable, asyncio.Future[Failure | None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def enter(self, key: Hashable, priority: int, deadline_ms: float) -> Failure | None:
        """Wait for a place; None means that one is held until the policy's `finish`.

        A cancelled wait gives up its place in the queue.
        """
        waiting: asyncio.Future[Failure | None] = asyncio.get_running_loop().create_future()
        self._waiting[key] = waiting
        now_ms = self._clock.now_ms()
        self.apply(self._admission.submit(now_ms, key, priority, deadline_ms))
        try:
            return await waiting
        except asyncio.CancelledError:
            if key in self._waiting:
                self.cancel(key)
            elif waiting.done() and not waiting.cancelled() and waiting.result() is None:
                self._give_back(key)
            raise

    def is_waiting(self, key: Hashable) -> bool:
        """Return whether a request waits for its place."""
        return key in self._waiting

    def cancel(self, key: Hashable) -> None:
        """Refuse a request that waits."""
        self.apply(self._admission.cancel(self._clock.now_ms(), key))

    def apply(self, decisions: Iterable[Decision]) -> None:
        """Carry out decisions of the policy and set the time of its next check."""
        for decision in decisions:
            if isinstance(decision, Start):
                self._wake(decision.key, None)
            elif isinstance(decision, Refuse):
                self._wake(decision.key, decision.failure)
        self._set_timer()

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _wake(self, key: Hashable, outcome: Failure | None) -> None:
        waiting = self._waiting.pop(key, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(outcome)
        elif outcome is None:
            self._give_back(key)

    def _set_timer(self) -> None:
        self.close()
        next_ms = self._admission.find_next_check()
        if next_ms is not None:
            delay_s = max(0.0, next_ms - self._clock.now_ms()) / 1000
            self._timer = asyncio.get_running_loop().call_later(delay_s, self._poll)

    def _poll(self) -> None:
        self._timer = None
        self.apply(self._admission.poll(self._clock.now_ms()))
