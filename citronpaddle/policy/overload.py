"""Admission control of an entry instance: which queries run, wait or are shed.

Times are in ms on one monotonic clock. Each submitted query gets exactly one `Start` or `Refuse`,
from `submit` or a later method; a refused query was not run.
"""

from collections.abc import Hashable
from itertools import count

from ..errors import ErrorKind, Failure
from .queueing import Decision, Queued, QueueEntry, Refuse, Start, WaitingQueue, refuse_overloaded

# Weight of a new run time in the moving average that wait estimates use.
_MEAN_WEIGHT = 0.1


class EntryAdmission:
    """Runs at most `max_in_flight` queries and queues more by priority (0 first), then deadline."""

    def __init__(self, max_in_flight: int, queue_size: int) -> None:
        """Raise ValueError if `max_in_flight` is below 1 or `queue_size` below 0."""
        if max_in_flight < 1:
            raise ValueError(f"max_in_flight must be at least 1, not {max_in_flight}")
        self._max_in_flight = max_in_flight
        self._queue = WaitingQueue(queue_size)
        self._started_ms: dict[Hashable, float] = {}
        self._sequence_numbers = count()
        self._mean_ms = 0.0

    @property
    def in_flight(self) -> int:
        """Return the number of running queries."""
        return len(self._started_ms)

    @property
    def queue_length(self) -> int:
        """Return the number of queued queries."""
        return len(self._queue)

    @property
    def load(self) -> float:
        """Return running and queued queries as a share of `max_in_flight`; above 1 if any wait."""
        return (self.in_flight + self.queue_length) / self._max_in_flight

    def find_next_check(self) -> float | None:
        """Return the time in ms at which `poll` is due without other events; None if never."""
        return self._queue.find_next_deadline()

    def set_max_in_flight(self, now_ms: float, max_in_flight: int) -> list[Decision]:
        """Set `max_in_flight` and return the resulting decisions; raise ValueError below 1."""
        if max_in_flight < 1:
            raise ValueError(f"max_in_flight must be at least 1, not {max_in_flight}")
        self._max_in_flight = max_in_flight
        return self.poll(now_ms)

    def submit(
        self, now_ms: float, key: Hashable, priority: int, deadline_ms: float
    ) -> list[Decision]:
        """Return the decision on a new query, possibly with decisions on other queries.

        Raise ValueError if a query with this `key` is queued or running.
        """
        if key in self._started_ms or key in self._queue:
            raise ValueError(f"query {key!r} is queued or running already")
        if deadline_ms <= now_ms:
            return [Refuse(key, Failure(ErrorKind.DEADLINE_PAST, "deadline past on arrival"))]
        decisions = self.poll(now_ms)
        if self.in_flight < self._max_in_flight:
            return [*decisions, self._start(now_ms, key)]
        item = QueueEntry(priority, deadline_ms, next(self._sequence_numbers), key)
        wait_ms = self._mean_ms * (self._queue.count_ahead(item) + 1) / self._max_in_flight
        if now_ms + wait_ms >= deadline_ms:
            reason = f"cannot start in time (estimated wait {wait_ms:.0f} ms)"
            return [*decisions, refuse_overloaded(key, reason)]
        refusal = self._queue.add(item)
        if refusal:
            decisions.append(refusal)
        if key in self._queue:
            decisions.append(Queued(key, wait_ms))
        return decisions

    def finish(self, now_ms: float, key: Hashable) -> list[Decision]:
        """Record that a query ended, with any outcome; raise KeyError if it is not running."""
        run_ms = now_ms - self._started_ms.pop(key)
        weight = _MEAN_WEIGHT if self._mean_ms else 1.0
        self._mean_ms += weight * (run_ms - self._mean_ms)
        return self.poll(now_ms)

    def cancel(self, now_ms: float, key: Hashable) -> list[Decision]:
        """Refuse a queued query; a running query counts as running until `finish`."""
        if self._queue.remove(key) is None:
            return self.poll(now_ms)
        refusal = Refuse(key, Failure(ErrorKind.CANCELLED, "cancelled in the queue"))
        return [refusal, *self.poll(now_ms)]

    def poll(self, now_ms: float) -> list[Decision]:
        """Refuse queued queries whose deadline passed, then start others up to the limit."""
        decisions: list[Decision] = list(self._queue.pop_expired(now_ms))
        while self.in_flight < self._max_in_flight and (item := self._queue.pop_first()):
            decisions.append(self._start(now_ms, item.key))
        return decisions

    def _start(self, now_ms: float, key: Hashable) -> Start:
        self._started_ms[key] = now_ms
        return Start(key)
