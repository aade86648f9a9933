"""Whether the platform's store answers this instance, and the pauses between its retries."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import NamedTuple

from .adapters.eventlog import Event, EventLog
from .clock import Clock
from .policy.outages import StoreContact
from .sharedstate import SharedState
from .statestore import StoreFailure

# Share of random jitter in the pauses after a failure, so that instances don't retry in step.
RETRY_JITTER = 0.25


class StoreCallTimes(NamedTuple):
    """Intervals and timeouts of the calls to the store, in ms."""

    # How long one watch call may wait for changes; the store's limit is 30 s.
    watch_wait_ms: int = 25_000
    # The same for an instance that relays changes to others: an unanswered watch must be detected
    # well within the strictest time limit for a configuration.
    watcher_wait_ms: int = 1_200
    # Minimum interval of watch calls. Every call has a cost, so changes in quick succession share
    # one. The strictest time limit for a configuration, 3 s on the smallest sites, leaves room for
    # this delay.
    watch_interval_ms: float = 900.0
    watcher_interval_ms: float = 700.0
    # The same after an answer with records of spending alone, which come often and change nothing
    # here: they must not delay a change of an upstream.
    record_interval_ms: float = 250.0
    first_retry_ms: float = 150.0
    max_retry_ms: float = 800.0
    # The same while the store refuses calls because of their rate.
    max_overload_retry_ms: float = 1_000.0
    # Without a configuration an instance can't serve callers, so it retries sooner, unless the
    # store refuses calls because of their rate.
    max_unready_retry_ms: float = 400.0
    # Minimum interval of the calls that are made because another call has failed.
    doubt_interval_ms: float = 1_000.0
    # While one task of an instance retries, the others wait for its success, at most this long.
    max_return_wait_ms: float = 4_000.0
    # A crashed instance is removed after this time at most, and a renewal costs little.
    lease_ms: float = 4_000.0
    # The share of a lease's time after which it is renewed, and the same for an instance that has
    # few other answers. Its renewals, which cost a tenth of a call, show in less time than entries
    # need to lapse that the store answers.
    renew_share: float = 0.6
    frequent_renew_share: float = 0.3
    # The timeout of a renewal, and the time after which one that is not answered is repeated: its
    # connection may have become silent, while the store answers on a new one.
    renew_timeout_ms: float = 1_000.0
    renew_repeat_ms: float = 400.0
    # A watch that has been pending for this long is checked, again after each further interval: the
    # store's revision is compared with the one that the watch has reached. The second time is how
    # much longer than the check a watch may take to reach it. Together they are less than the
    # shortest time within which an instance must have recovered, 4 s. A check costs a call. One
    # that was not answered is followed by the next after a shorter time.
    check_ms: float = 1_500.0
    check_tolerance_ms: float = 1_000.0
    check_retry_ms: float = 300.0
    # Interval at which an instance that receives the change feed checks that it is still fed.
    feed_check_ms: float = 250.0
    # How long a pending watch may take to return changes that other instances have already. A slow
    # store answers within this time.
    gap_timeout_ms: float = 2_000.0
    # Interval at which an instance with a pending watch checks whether it has become a watcher.
    role_check_ms: float = 1_000.0


class StoreAvailability:
    """Tracks the loss and the return of the store for all callers of it in this instance."""

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        state: SharedState,
        times: StoreCallTimes,
        random: Callable[[], float],
        on_doubt: Callable[[], None],
        on_return: Callable[[], None],
    ) -> None:
        """Call `on_doubt` after a failure, `on_return` when the store answers after one.

        The first makes another call at once, whose outcome decides whether the store is lost.
        """
        self._clock = clock
        self._log = log
        self._state = state
        self._times = times
        self._random = random
        self._on_doubt = on_doubt
        self._on_return = on_return
        self._contact = StoreContact()
        self._lost_since_ms = 0.0
        self._doubted_ms = -times.doubt_interval_ms
        self._returned = asyncio.Event()

    @property
    def is_unready(self) -> bool:
        """Return whether there is no configuration yet."""
        return self._state.catalog is None

    async def wait_for_return(self, failure: StoreFailure) -> None:
        """Wait until another task's call is answered, at most for `max_return_wait_ms` and jitter.

        Refused calls have a cost, so only one task of an instance retries.
        """
        self._handle_failure(failure)
        jitter = 1.0 + RETRY_JITTER * self._random()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._times.max_return_wait_ms * jitter / 1_000):
                await self._returned.wait()

    async def pause(self, failure: StoreFailure, retry_ms: float) -> float:
        """Wait before the next call; return the pause in ms after a further failure."""
        self._handle_failure(failure)
        jitter = 1.0 + RETRY_JITTER * self._random()
        times = self._times
        max_ms = times.max_overload_retry_ms if failure.is_overload else times.max_retry_ms
        if self.is_unready and not failure.is_overload:
            max_ms = min(max_ms, times.max_unready_retry_ms)
        retry_ms = min(retry_ms, max_ms)
        await asyncio.sleep(retry_ms * jitter / 1_000)
        return min(max_ms, 2 * retry_ms)

    def _handle_failure(self, failure: StoreFailure) -> None:
        now_ms = self._clock.now_ms()
        if not self._contact.is_doubtful:
            self._lost_since_ms = now_ms
        self._contact.record_failure()
        self._returned.clear()
        if self._contact.is_lost and not self._state.is_store_lost:
            self._state.is_store_lost = True
            self._log.write(Event.STORE_LOST, "fleet", reason=failure.reason)
        if now_ms - self._doubted_ms >= self._times.doubt_interval_ms:
            self._doubted_ms = now_ms
            self._on_doubt()

    def handle_answer(self) -> None:
        """Record that the store has answered; after a failure it has returned."""
        now_ms = self._clock.now_ms()
        self._state.confirmed_ms = now_ms
        was_doubtful = self._contact.is_doubtful
        outage_ms = self._contact.record_answer(now_ms)
        self._start_grace(now_ms, outage_ms)
        if was_doubtful:
            self._returned.set()
            self._on_return()
        if self._state.is_store_lost:
            self._state.is_store_lost = False
            lost_ms = now_ms - self._lost_since_ms
            self._log.write(
                Event.STORE_REGAINED,
                "fleet",
                lost_ms=round(lost_ms),
                outage_ms=round(outage_ms),
            )

    def handle_relayed_answer(self, answered_ms: float) -> None:
        """Record that the store has answered another instance, which relays what it has read."""
        self._start_grace(self._clock.now_ms(), self._contact.record_relayed_answer(answered_ms))

    def _start_grace(self, now_ms: float, outage_ms: float) -> None:
        """Keep the entries that may have lapsed in an outage, if there was one."""
        if outage_ms > 0.0:
            self._state.registry.handle_store_return(now_ms, outage_ms)
            self._state.members.handle_store_return(now_ms, outage_ms)
