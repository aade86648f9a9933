"""Queues the parts of requests that wait for capacity at a service, and refuses those too late.

A service is congested while a part waits for room (spare capacity) at its upstreams, or while its
upstreams reject calls for lack of capacity. First calls to it then start in order of priority;
teams of equal priority share the starts in proportion to their weights (start-time fair queueing).
A priority or a team that is refused much more often than the others goes first, so that none
starves. A part whose answer would come after the deadline is refused at once. When a service has
been congested for longer than a short burst, so is one whose answer would miss the objective: a
late answer would only delay the next ones.

This handles more requests than the service can run: a burst of all callers or of one team, or slow
upstreams. Without congestion every first call starts at once, without queueing. Times are in ms on
one monotonic clock.
"""

import bisect
import copy
import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from .calllimit import CallLimit
from .demand import Demand
from .servedcounts import ServedCounts

# Up to this time after parts began to wait, congestion counts as a short burst.
_SHORT_BURST_MS = 1_000.0
# Weight of a new observation in the moving average of answer times.
_ANSWER_WEIGHT = 0.2
# Decay of the earlier starts with each further one, in the mean interval: parts often start in
# groups, when several calls end together.
_START_DECAY = 0.95
# Bounds of the retry delay that is sent to a refused caller.
_MIN_RETRY_MS = 100.0
_MAX_RETRY_MS = 2_000.0
# Rank of a part of a priority or team that has been refused much more often than the others.
_UNDERSERVED_RANK = 0
_USUAL_RANK = 1

# A priority and a team.
_Group = tuple[int, str]


class Shortage(NamedTuple):
    """Why a part was refused: it was expected to start in `wait_ms`, but had only `left_ms`.

    `ahead` parts were before it, one of which started every `start_interval_ms` on average, and an
    answer took `answer_ms`. `limit` is the limit of open calls after rejections, or None.
    """

    service: str
    ahead: int
    start_interval_ms: float
    answer_ms: float
    wait_ms: float
    left_ms: float
    limit: int | None


class ServiceLoad(NamedTuple):
    """The calls to a service and the parts that wait; first calls queue if it `is_congested`.

    `limit` is the limit of open calls after rejections, or None.
    """

    is_congested: bool = False
    waiting: int = 0
    open_calls: int = 0
    limit: int | None = None


@dataclass(slots=True, eq=False)
class Ticket:
    """A part that waits for room at `service`.

    Its answer is in time until `in_time_ms`, and of no use after `end_ms`, both points in time.
    `shortage` is set when it is refused; it may be retried after `retry_ms`, a delay. `wake` is
    called when the part may be next or is refused.
    """

    service: str
    demand: Demand
    joined_ms: float
    in_time_ms: float
    end_ms: float
    wake: Callable[[], None]
    order: tuple[int, int, float, int] = (_USUAL_RANK, 0, 0.0, 0)
    shortage: Shortage | None = None
    retry_ms: float = 0.0

    @property
    def group(self) -> _Group:
        """Return the priority and the team; parts of one group start in order of arrival."""
        return self.demand.priority, self.demand.team

    @property
    def virtual_start(self) -> float:
        """Return the virtual start time of the part in the fair queue of its priority."""
        return self.order[2]


class _StartRate:
    """How often waiting parts start."""

    __slots__ = ("_starts", "_waited_ms", "started_ms")

    def __init__(self) -> None:
        self._starts = 0.0
        self._waited_ms = 0.0
        self.started_ms = 0.0

    @property
    def interval_ms(self) -> float:
        """Return the mean interval between starts, 0 before the first one."""
        return self._waited_ms / self._starts if self._starts else 0.0

    def record_start(self, joined_ms: float, now_ms: float) -> None:
        """Record a start; only the interval during which the part has waited counts."""
        if now_ms > joined_ms:
            self._starts = _START_DECAY * self._starts + 1.0
            self._waited_ms *= _START_DECAY
            self._waited_ms += now_ms - max(self.started_ms, joined_ms)
        self.started_ms = now_ms


class _Service:
    """The open calls of one service, and the parts that wait for it."""

    def __init__(self) -> None:
        self.open_calls = 0
        self.limit = CallLimit()
        self.waiting: list[Ticket] = []
        self.counts: ServedCounts | None = None
        self._answer_ms = 0.0
        # When parts began to wait.
        self._busy_since_ms = 0.0
        self._start_rate = _StartRate()
        self._start_rates: dict[_Group, _StartRate] = {}
        # Virtual start time by priority, and the finish time of the last part by priority and team.
        self._virtual_start: dict[int, float] = {}
        self._virtual_finish: dict[_Group, float] = {}

    def is_congested(self, now_ms: float) -> bool:
        """Return whether first calls to the service must queue."""
        return bool(self.waiting) or self.limit.read(now_ms) is not None

    def may_start(self, ticket: Ticket, now_ms: float) -> bool:
        """Return whether the part is the next one to start, and the limit permits it."""
        limit = self.limit.read(now_ms)
        is_first = bool(self.waiting) and self.waiting[0] is ticket
        return is_first and (limit is None or self.open_calls < limit)

    def add(self, ticket: Ticket, sequence: int, now_ms: float) -> None:
        """Insert a part that has just arrived."""
        if not self.waiting:
            # The start of a busy period: no team is ahead of its share yet.
            self._virtual_start.clear()
            self._virtual_finish.clear()
            self._start_rates.clear()
            self._busy_since_ms = now_ms
        if self.counts is None:
            self.counts = ServedCounts()
        demand = ticket.demand
        self.counts.record_arrival(demand, now_ms)
        rank = _UNDERSERVED_RANK if self.counts.is_underserved(demand) else _USUAL_RANK
        start = max(
            self._virtual_start.get(demand.priority, 0.0),
            self._virtual_finish.get(ticket.group, 0.0),
        )
        self._virtual_finish[ticket.group] = start + 1.0 / demand.weight
        ticket.order = (rank, demand.priority, start, sequence)
        bisect.insort(self.waiting, ticket, key=lambda one: one.order)

    def remove(self, ticket: Ticket) -> bool:
        """Remove a part; return whether it was the next one."""
        index = bisect.bisect_left(self.waiting, ticket.order, key=lambda one: one.order)
        if index == len(self.waiting) or self.waiting[index] is not ticket:
            return False
        del self.waiting[index]
        return index == 0

    def record_start(self, ticket: Ticket, now_ms: float) -> None:
        """Record that a waiting part has started."""
        priority = ticket.demand.priority
        self._virtual_start[priority] = max(
            self._virtual_start.get(priority, 0.0), ticket.virtual_start
        )
        self._start_rate.record_start(ticket.joined_ms, now_ms)
        self._start_rates.setdefault(ticket.group, _StartRate()).record_start(
            ticket.joined_ms, now_ms
        )

    def record_answer(self, latency_ms: float) -> None:
        """Record how long an answer took."""
        if self._answer_ms:
            self._answer_ms += _ANSWER_WEIGHT * (latency_ms - self._answer_ms)
        else:
            self._answer_ms = latency_ms

    def refuse_late(self, now_ms: float) -> list[Ticket]:
        """Remove and return the parts whose answer would come too late."""
        interval_ms = self._estimate_interval_ms(now_ms)
        kept: list[Ticket] = []
        refused: list[Ticket] = []
        kept_by_team: Counter[_Group] = Counter()
        last_kept: dict[_Group, Ticket] = {}
        for ticket in self.waiting:
            group = ticket.group
            # Later arrivals of other teams may go before a team that exceeds its share, so the rate
            # of its own starts counts too.
            start_rate = self._start_rates.get(group)
            own_wait_ms = kept_by_team[group] * start_rate.interval_ms if start_rate else 0.0
            wait_ms = max(len(kept) * interval_ms, own_wait_ms)
            left_ms = self._find_end_ms(ticket, now_ms) - now_ms - self._answer_ms
            # Without an open call the answer time may be outdated; the next part measures it.
            is_probe = not kept and self.open_calls == 0 and now_ms < ticket.end_ms
            if wait_ms <= left_ms or is_probe:
                kept.append(ticket)
                kept_by_team[group] += 1
                last_kept[group] = ticket
                continue
            ticket.shortage = Shortage(
                ticket.service,
                len(kept),
                round(interval_ms, 1),
                round(self._answer_ms, 1),
                round(wait_ms, 1),
                round(left_ms, 1),
                self.limit.read(now_ms),
            )
            ticket.retry_ms = min(_MAX_RETRY_MS, max(_MIN_RETRY_MS, wait_ms - left_ms))
            refused.append(ticket)
        if refused:
            self.waiting = kept
            self._record_refusals(refused, last_kept)
        return refused

    def _estimate_interval_ms(self, now_ms: float) -> float:
        """Return the mean interval between starts, or for how long one is overdue if longer."""
        # Open calls end within an answer time, and then parts start.
        stalled_ms = (
            now_ms - max(self._start_rate.started_ms, self._busy_since_ms) - self._answer_ms
        )
        expected_ms = self._answer_ms / max(1, self.open_calls)
        return max(self._start_rate.interval_ms or expected_ms, stalled_ms)

    def _find_end_ms(self, ticket: Ticket, now_ms: float) -> float:
        """Return until when an answer justifies a call: the deadline or the soft deadline."""
        is_short_burst = now_ms - self._busy_since_ms <= _SHORT_BURST_MS
        # Where answers alone take longer than the objective, none is in time; a late one is better.
        is_always_late = ticket.joined_ms + self._answer_ms > ticket.in_time_ms
        return ticket.end_ms if is_short_burst or is_always_late else ticket.in_time_ms

    def _record_refusals(self, refused: list[Ticket], last_kept: dict[_Group, Ticket]) -> None:
        """Count refused parts, and remove them from the virtual time of their teams.

        `last_kept` has the last waiting part by priority and team, after which later ones queue.
        """
        for ticket in reversed(refused):
            demand = ticket.demand
            self.counts.record_refusal(demand)
            kept = last_kept.get(ticket.group)
            start = ticket.virtual_start
            if kept is not None:
                start = max(start, kept.virtual_start + 1.0 / demand.weight)
            self._virtual_finish[ticket.group] = start


class Sharing:
    """The queues of all services at this instance.

    Parts are queued only if `is_enabled`: without teams there are no shares.
    """

    def __init__(self, is_enabled: bool = False) -> None:
        self.is_enabled = is_enabled
        self._services: dict[str, _Service] = {}
        self._sequence = itertools.count()

    def is_congested(self, service: str, now_ms: float) -> bool:
        """Return whether first calls to `service` must queue."""
        state = self._services.get(service)
        return self.is_enabled and state is not None and state.is_congested(now_ms)

    def describe(self, service: str, now_ms: float) -> ServiceLoad:
        """Return the load of a service, without any change."""
        state = self._services.get(service)
        if state is None:
            return ServiceLoad()
        # The end of a limit is found by reading it.
        copied = copy.copy(state)
        copied.limit = copy.copy(state.limit)
        return ServiceLoad(
            copied.is_congested(now_ms),
            len(state.waiting),
            state.open_calls,
            copied.limit.read(now_ms),
        )

    def join(
        self,
        service: str,
        demand: Demand,
        in_time_ms: float,
        end_ms: float,
        wake: Callable[[], None],
        now_ms: float,
    ) -> Ticket:
        """Queue a part that has just arrived, and refuse the parts that would now start too late.

        Its answer is in time until `in_time_ms` and of no use after `end_ms`. `wake` is called when
        the part may be next, or is refused; it must not change the queue.
        """
        state = self._get_or_create(service)
        ticket = Ticket(service, demand, now_ms, min(in_time_ms, end_ms), end_ms, wake)
        state.add(ticket, next(self._sequence), now_ms)
        self._refuse_late(state, now_ms)
        return ticket

    def may_start(self, ticket: Ticket, now_ms: float) -> bool:
        """Return whether a waiting part may start now, if an upstream has room."""
        state = self._services.get(ticket.service)
        return state is not None and state.may_start(ticket, now_ms)

    def start(self, ticket: Ticket, now_ms: float) -> None:
        """Remove a part that starts, and wake the next one."""
        state = self._services[ticket.service]
        state.remove(ticket)
        state.record_start(ticket, now_ms)
        self._refuse_late(state, now_ms)
        _wake_next(state)

    def leave(self, ticket: Ticket) -> None:
        """Remove a part that no longer waits: its request has ended, or it was refused."""
        state = self._services.get(ticket.service)
        if state is None:
            return
        if state.remove(ticket):
            _wake_next(state)
        if not state.waiting and state.open_calls <= 0:
            del self._services[ticket.service]

    def record_call(self, service: str) -> None:
        """Record that a call to `service` has started."""
        self._get_or_create(service).open_calls += 1

    def record_call_end(self, service: str, now_ms: float) -> None:
        """Record that a call has ended, and wake the next part."""
        state = self._services.get(service)
        if state is None:
            return
        state.open_calls -= 1
        if state.waiting:
            _wake_next(state)
        elif state.open_calls <= 0 and state.limit.read(now_ms) is None:
            del self._services[service]

    def record_reply(self, service: str, latency_ms: float) -> None:
        """Record a reply and how long it took."""
        state = self._services.get(service)
        if state is not None:
            state.record_answer(latency_ms)
            state.limit.record_reply()

    def record_rejection(self, service: str, now_ms: float) -> None:
        """Record that several upstreams of `service` have rejected a part in a row."""
        if not self.is_enabled:
            return
        state = self._get_or_create(service)
        state.limit.record_rejection(state.open_calls, now_ms)

    def count_waiting(self) -> Counter[int]:
        """Return the number of parts that wait for room, by priority."""
        return Counter(
            ticket.demand.priority for state in self._services.values() for ticket in state.waiting
        )

    def _get_or_create(self, service: str) -> _Service:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _Service()
        return state

    def _refuse_late(self, state: _Service, now_ms: float) -> None:
        refused = state.refuse_late(now_ms)
        for ticket in refused:
            ticket.wake()
        if refused:
            _wake_next(state)


def _wake_next(state: _Service) -> None:
    if state.waiting:
        state.waiting[0].wake()
