"""Lets coroutines await the decisions of an admission policy."""

import asyncio
from collections.abc import Callable, Hashable, Iterable
from typing import Protocol

from .clock import Clock
from .errors import Failure
from .policy.queueing import Decision, Refuse, Start


class Admission(Protocol):
    """The interface that the admission policies have in common."""

    def submit(
        self, now_ms: float, key: Hashable, priority: int, deadline_ms: float
    ) -> list[Decision]: ...

    def cancel(self, now_ms: float, key: Hashable) -> list[Decision]: ...

    def poll(self, now_ms: float) -> list[Decision]: ...

    def find_next_check(self) -> float | None: ...


class AsyncAdmission:
    """Resolves the wait of each request when the policy starts or refuses it."""

    def __init__(
        self, clock: Clock, admission: Admission, release: Callable[[Hashable], None]
    ) -> None:
        """`release` frees a slot that was assigned to a request whose wait has already ended."""
        self._clock = clock
        self._admission = admission
        self._release = release
        self._waiters: dict[Hashable, asyncio.Future[Failure | None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def acquire(self, key: Hashable, priority: int, deadline_ms: float) -> Failure | None:
        """Wait for a slot; return None once it is acquired, or the refusal.

        The slot is held until the policy's `finish`. Cancelling the wait removes the request from
        the queue.
        """
        waiter: asyncio.Future[Failure | None] = asyncio.get_running_loop().create_future()
        self._waiters[key] = waiter
        now_ms = self._clock.now_ms()
        self.apply(self._admission.submit(now_ms, key, priority, deadline_ms))
        try:
            return await waiter
        except asyncio.CancelledError:
            if key in self._waiters:
                self.cancel(key)
            elif waiter.done() and not waiter.cancelled() and waiter.result() is None:
                self._release(key)
            raise

    def is_waiting(self, key: Hashable) -> bool:
        """Return whether a request waits for a slot."""
        return key in self._waiters

    def cancel(self, key: Hashable) -> None:
        """Cancel a waiting request, which the policy then refuses."""
        self.apply(self._admission.cancel(self._clock.now_ms(), key))

    def apply(self, decisions: Iterable[Decision]) -> None:
        """Apply decisions of the policy and schedule its next check."""
        for decision in decisions:
            if isinstance(decision, Start):
                self._resolve(decision.key, None)
            elif isinstance(decision, Refuse):
                self._resolve(decision.key, decision.failure)
        self._set_timer()

    def close(self) -> None:
        """Cancel the scheduled check of the policy."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _resolve(self, key: Hashable, outcome: Failure | None) -> None:
        waiter = self._waiters.pop(key, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(outcome)
        elif outcome is None:
            self._release(key)

    def _set_timer(self) -> None:
        self.close()
        next_ms = self._admission.find_next_check()
        if next_ms is not None:
            delay_s = max(0.0, next_ms - self._clock.now_ms()) / 1000
            self._timer = asyncio.get_running_loop().call_later(delay_s, self._poll)

    def _poll(self) -> None:
        self._timer = None
        self.apply(self._admission.poll(self._clock.now_ms()))
