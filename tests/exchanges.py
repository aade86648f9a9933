"""Builders and a simulation in virtual time for tests of exchanges."""

import collections
import heapq
import itertools
from collections.abc import Callable
from typing import NamedTuple

from citronpaddle.policy.calls import (
    Call,
    CallFailure,
    Cancel,
    FailureKind,
    Outcome,
    Reply,
    Send,
)
from citronpaddle.policy.catalog import Route, ServiceLimits, WeightedService
from citronpaddle.policy.demand import Demand
from citronpaddle.policy.exchange import Exchange, ExchangeDependencies
from citronpaddle.policy.extraload import ExtraLoad, ExtraLoadLimits
from citronpaddle.policy.hints import Hints
from citronpaddle.policy.latencies import RouteLatencies
from citronpaddle.policy.registry import Registry, Upstream
from citronpaddle.policy.selection import Selector
from citronpaddle.policy.sharing import Sharing
from citronpaddle.policy.slowstart import ColdLimits, SlowStart
from citronpaddle.randomness import RandomSource

# The time at which simulations start.
START_MS = 100_000.0
LIMITS = ExtraLoadLimits(ratio=0.2, slack=58.0, window_ms=10_000.0)


def make_route(**changes) -> Route:
    """Return a route over two shards; `changes` override fields."""
    fields = {
        "name": "r",
        "host": "h",
        "prefix": "/p/",
        "is_idempotent": True,
        "timeout_ms": 1_000.0,
        "objective_ms": 100.0,
        "priority": 1,
        "max_upstreams": 2,
        "shards": ("s0", "s1"),
        "top_k": 5,
        "min_coverage": 0.5,
    }
    return Route(**(fields | changes))


def make_single_route(**changes) -> Route:
    """Return a route to one service."""
    targets = (WeightedService("s0", 1.0),)
    return make_route(**({"shards": (), "targets": targets, "min_coverage": 0.0} | changes))


def make_upstream(name: str, service: str = "s0", **changes) -> Upstream:
    """Return a warm upstream with two slots; `changes` override fields."""
    port = 1_000 + sum(name.encode())
    upstream = Upstream(name, service, "127.0.0.1", port, "a", 2, False, 0.0, 1, 1)
    return upstream._replace(**changes)


def make_reply(status: int = 200, body: bytes = b"") -> Reply:
    """Return a signed reply."""
    return Reply(status, (), body, b"signature")


class CallEnd(NamedTuple):
    """End of a simulated call `after_ms` its start; `is_sent` is false without a connection.

    `limit_per_s` is the rate limit that the upstream names in its answer.
    """

    after_ms: float
    result: Reply | CallFailure
    is_sent: bool = True
    limit_per_s: float | None = None


class Arrival(NamedTuple):
    """A request that arrives at a time in ms from the start of a load."""

    at_ms: float
    route: Route
    demand: Demand | None = None


class Ended(NamedTuple):
    """The end of a request, and how long it took in ms."""

    arrival: Arrival
    outcome: Outcome
    took_ms: float


class ExchangeSimulation:
    """One instance's exchanges with simulated upstreams in virtual time.

    `plan_reply` maps a call and its start in ms to the call's end, or to None if it never ends.
    """

    def __init__(
        self,
        upstreams: list[Upstream],
        plan_reply: Callable[[Call, float], CallEnd | None],
        instances: int = 9,
        limits: ExtraLoadLimits = LIMITS,
        services: dict[str, ServiceLimits] | None = None,
        seed: int = 1,
    ) -> None:
        self.now_ms = self.started_ms = START_MS
        self.registry = Registry()
        for upstream in upstreams:
            self.registry.put(upstream)
        limits_by_service = services or {}
        random = RandomSource(seed)
        slow_start = SlowStart(ColdLimits(1.5, 5.0), "i0")
        self.selector = Selector(
            self.registry,
            slow_start,
            lambda name: limits_by_service.get(name, ServiceLimits(name, 26, 3_000.0, 0.0)),
            random.random,
        )
        self.selector.set_share(1.0 / instances, False)
        # Started a full window ago, so that all of the slack has accrued.
        self.extra_load = ExtraLoad(limits, self.now_ms - limits.window_ms)
        self.extra_load.set_share(1.0 / instances)
        self.hints = Hints(self.selector, lambda: None)
        self.dependencies = ExchangeDependencies(
            self.selector,
            self.extra_load,
            RouteLatencies(),
            itertools.count(1),
            self.hints,
            Sharing(is_enabled=True),
        )
        self.calls: list[tuple[float, Call]] = []
        self.cancelled: list[Call] = []
        self._plan_reply = plan_reply
        self._events: list[tuple[float, int, Exchange, Call, CallEnd]] = []
        self._order = itertools.count()
        self._open: set[int] = set()

    def run(self, route: Route, deadline_ms: float = 1_000.0) -> tuple[Outcome, float]:
        """Run one request to its end; return its outcome and duration in ms."""
        exchange = self.start(route, deadline_ms)
        started_ms = self.now_ms
        while exchange.outcome is None:
            self.step(exchange)
        took_ms = self.now_ms - started_ms
        self._apply(exchange, exchange.cancel(self.now_ms))
        return exchange.outcome, took_ms

    def start(
        self, route: Route, deadline_ms: float = 1_000.0, demand: Demand | None = None
    ) -> Exchange:
        """Start a request and return its exchange."""
        services = route.shards or (route.targets[0].service,)
        exchange = Exchange(
            route,
            services,
            self.now_ms,
            self.now_ms + deadline_ms,
            self.dependencies,
            demand=demand,
        )
        self._apply(exchange, exchange.start(self.now_ms))
        return exchange

    def step(self, exchange: Exchange) -> None:
        """Advance to the next event: the end of a call or the timer of `exchange`."""
        due_ms = exchange.next_timer_ms(self.now_ms)
        if self._events and self._events[0][0] <= due_ms:
            self._handle_event()
            return
        self.now_ms = max(self.now_ms, due_ms)
        self._apply(exchange, exchange.handle_timer(self.now_ms))

    def play(self, route: Route, arrivals_ms: list[float]) -> list[tuple[float, Outcome, float]]:
        """Run requests that arrive at these times from now on; return arrival, outcome, duration.

        Requests overlap; each has the timeout of the route as its deadline.
        """
        ended = self.play_arrivals([Arrival(at_ms, route) for at_ms in arrivals_ms])
        return [(self.started_ms + one.arrival.at_ms, one.outcome, one.took_ms) for one in ended]

    def play_arrivals(self, planned: list["Arrival"]) -> list["Ended"]:
        """Run requests that arrive from now on, in this order; each has its route's timeout."""
        self.started_ms = self.now_ms
        arrivals = collections.deque(planned)
        running: dict[int, tuple[Arrival, Exchange]] = {}
        ended: list[Ended] = []
        while arrivals or running:
            next_arrival_ms = self.started_ms + arrivals[0].at_ms if arrivals else float("inf")
            first = min(
                (exchange for _, exchange in running.values()),
                key=lambda exchange: exchange.next_timer_ms(self.now_ms),
                default=None,
            )
            due_ms = first.next_timer_ms(self.now_ms) if first else float("inf")
            event_ms = self._events[0][0] if self._events else float("inf")
            if next_arrival_ms <= min(due_ms, event_ms):
                self.now_ms = max(self.now_ms, next_arrival_ms)
                arrival = arrivals.popleft()
                exchange = self.start(arrival.route, arrival.route.timeout_ms, arrival.demand)
                running[id(exchange)] = arrival, exchange
            elif first is not None:
                self.step(first)
            else:
                self._handle_event()
            for arrival, exchange in list(running.values()):
                if exchange.outcome is not None:
                    del running[id(exchange)]
                    self._apply(exchange, exchange.cancel(self.now_ms))
                    took_ms = self.now_ms - exchange.received_ms
                    ended.append(Ended(arrival, exchange.outcome, took_ms))
        return ended

    def _handle_event(self) -> None:
        """Advance to the end of the next call, and end it unless it has been cancelled."""
        at_ms, _, owner, call, call_end = heapq.heappop(self._events)
        self.now_ms = max(self.now_ms, at_ms)
        if call.id in self._open:
            self._open.discard(call.id)
            self._end_call(owner, call, call_end)

    def _end_call(self, owner: Exchange, call: Call, call_end: CallEnd) -> None:
        if call_end.is_sent:
            self.selector.record_limit(
                call.upstream.id, call_end.limit_per_s, call.started_ms, self.now_ms
            )
        if isinstance(call_end.result, Reply):
            owner.handle_reply(call, call_end.result, self.now_ms)
        else:
            self._apply(owner, owner.handle_failure(call, call_end.result, self.now_ms))

    def _apply(self, exchange: Exchange, actions: list) -> None:
        for action in actions:
            if isinstance(action, Cancel):
                self.cancelled.append(action.call)
                self._open.discard(action.call.id)
            elif isinstance(action, Send):
                self._send(exchange, action.call)

    def _send(self, exchange: Exchange, call: Call) -> None:
        self.calls.append((self.now_ms, call))
        self._open.add(call.id)
        call_end = self._plan_reply(call, self.now_ms)
        if call_end is None or call_end.is_sent:
            exchange.record_sent(call)
        if call_end is not None:
            event = (self.now_ms + call_end.after_ms, next(self._order), exchange, call, call_end)
            heapq.heappush(self._events, event)


def fail(kind: FailureKind, after_ms: float = 5.0, status: int = 500) -> CallEnd:
    """Return a call end with a failure; an unreachable upstream gets no bytes."""
    reply = make_reply(status) if kind is FailureKind.ERROR else None
    return CallEnd(after_ms, CallFailure(kind, reply), kind is not FailureKind.UNREACHABLE)


def succeed(after_ms: float = 10.0, body: bytes = b"") -> CallEnd:
    """Return a call end with a successful reply."""
    return CallEnd(after_ms, make_reply(200, body))
