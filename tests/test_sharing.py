"""Sharing of a service's room between teams and priorities, in virtual time.

Each test names the load that it replays and checks what callers got. A service has two upstreams,
each with two slots and a queue; the instance may keep as many calls open as there are slots, or
many more, so that the upstreams' queues fill and they reject calls.
"""

import heapq
from collections import defaultdict

from exchanges import (
    Arrival,
    CallEnd,
    Ended,
    ExchangeSimulation,
    fail,
    make_reply,
    make_route,
    make_single_route,
    make_upstream,
    succeed,
)

from citronpaddle.policy.calls import Answered, Failed, FailureKind, Refused
from citronpaddle.policy.catalog import CallerLimits, Catalog, ServiceLimits, Team
from citronpaddle.policy.demand import Demand, make_demand
from citronpaddle.policy.servedcounts import MIN_SERVED_SHARE
from citronpaddle.policy.sharing import Sharing

SLOTS = 2
NAMES = ("a", "b")


class FullService:
    """Upstreams of s0 that take `work_ms` for each call, and reject it if `queue` calls wait."""

    def __init__(self, work_ms: float, connections: int, queue: int = 100) -> None:
        self._work_ms = work_ms
        self._queue = queue
        # When the calls of each upstream end.
        self._ends_ms: dict[str, list[float]] = {name: [] for name in NAMES}
        self.rejected = 0
        self.simulation = ExchangeSimulation(
            [make_upstream(name, slots=SLOTS) for name in NAMES],
            self._plan_reply,
            instances=1,
            services={"s0": ServiceLimits("s0", connections, 3_000.0, 0.0)},
        )

    def _plan_reply(self, call, now_ms):
        ends_ms = self._ends_ms[call.upstream.id]
        while ends_ms and ends_ms[0] <= now_ms:
            heapq.heappop(ends_ms)
        if len(ends_ms) >= SLOTS + self._queue:
            self.rejected += 1
            return fail(FailureKind.REJECTED, 1.0)
        begin_ms = now_ms if len(ends_ms) < SLOTS else sorted(ends_ms)[len(ends_ms) - SLOTS]
        heapq.heappush(ends_ms, begin_ms + self._work_ms)
        return succeed(begin_ms + self._work_ms - now_ms)


def _make_single(**changes):
    """Return a route to s0 whose objective is several times the time of a call."""
    return make_single_route(objective_ms=400.0, **changes)


def _plan(per_s: float, from_ms: float, to_ms: float, route, demand=None) -> list[Arrival]:
    """Return evenly spaced arrivals."""
    count = int(per_s * (to_ms - from_ms) / 1_000)
    gap_ms = (to_ms - from_ms) / count
    return [Arrival(from_ms + (one + 0.5) * gap_ms, route, demand) for one in range(count)]


def _served_share(ended: list[Ended]) -> float:
    return sum(isinstance(one.outcome, Answered) for one in ended) / len(ended)


def _group(ended: list[Ended], attribute: str) -> dict:
    groups = defaultdict(list)
    for one in ended:
        groups[getattr(one.arrival.demand, attribute)].append(one)
    return groups


def test_team_far_above_its_usual_demand_delays_itself():
    """Guards against a burst of one team that delays all others on a service that is full.

    Load: 18 teams use 0.9 of a service's 40 requests a second; then one of them sends 7.5 times
    as many for 10 s.
    """
    service = FullService(100.0, SLOTS)
    route = _make_single()
    catalog = Catalog(1, (route,), (), CallerLimits())
    teams = [Team(f"t{number}") for number in range(18)]
    planned = [
        arrival._replace(at_ms=arrival.at_ms + 13.0 * number, demand=team)
        for number, team in enumerate(teams)
        for arrival in _plan(2.0, 0.0, 20_000.0, route)
    ]
    planned += [one._replace(demand=teams[0]) for one in _plan(13.0, 10_000.0, 20_000.0, route)]
    planned.sort(key=lambda one: one.at_ms)
    planned = [one._replace(demand=make_demand(route, one.demand, catalog)) for one in planned]
    ended = service.simulation.play_arrivals(planned)
    hot = [one for one in ended if one.arrival.at_ms >= 11_000.0]
    by_team = _group(hot, "team")
    for team in teams[1:]:
        in_time = [one for one in by_team[team.name] if one.took_ms <= route.objective_ms]
        assert _served_share(in_time) == 1.0 and len(in_time) >= 0.95 * len(by_team[team.name])
    assert _served_share(by_team["t0"]) < 0.7
    assert _served_share(by_team["t0"]) >= 0.25 * _served_share(hot)


def test_lowest_priority_is_not_starved():
    """Guards against requests of the lowest priority that are never served.

    Load: for a minute, urgent requests alone are twice what the service can run, and as many of
    the lowest priority come on top.
    """
    service = FullService(100.0, SLOTS)
    planned = []
    for priority in (0, 9):
        route = _make_single(name=f"r{priority}", priority=priority)
        planned += _plan(80.0, 0.0, 60_000.0, route, Demand(priority))
    ended = service.simulation.play_arrivals(sorted(planned, key=lambda one: one.at_ms))
    by_priority = _group(ended, "priority")
    urgent, lowest = _served_share(by_priority[0]), _served_share(by_priority[9])
    assert _served_share(ended) >= 0.24
    assert 0.25 * _served_share(ended) <= lowest <= 0.5 * urgent
    assert MIN_SERVED_SHARE > 0.25


def test_burst_is_refused_early_and_wastes_no_work():
    """Guards against requests that wait until their deadline, and answers that come too late.

    Load: three times what the service can run for 4 s, each request with a deadline of 1 s.
    """
    service = FullService(100.0, SLOTS)
    route = _make_single()
    ended = service.simulation.play_arrivals(_plan(120.0, 0.0, 4_000.0, route))
    refused = sorted(one.took_ms for one in ended if isinstance(one.outcome, Refused))
    assert {one.outcome.reason for one in ended if isinstance(one.outcome, Refused)} == {"no_room"}
    assert refused[int(0.9 * len(refused))] <= 100.0
    answered = [one for one in ended if isinstance(one.outcome, Answered)]
    assert len(answered) + len(refused) == len(ended) and len(answered) >= 0.95 * 40 * 4
    assert not service.simulation.cancelled and len(service.simulation.calls) == len(answered)


def test_slow_service_serves_late_rather_than_not():
    """Guards against refusals of requests that could only be answered late, but could be.

    Load: three times what the service can run for 4 s; answers take longer than the objective.
    """
    service = FullService(500.0, SLOTS)
    route = make_single_route(objective_ms=400.0, timeout_ms=3_000.0)
    ended = service.simulation.play_arrivals(_plan(24.0, 0.0, 4_000.0, route))
    answered = [one for one in ended if isinstance(one.outcome, Answered)]
    # The service runs 8 requests a second, for as long as the last request has time.
    assert len(answered) >= 0.9 * 8 * (4 + 3 - 0.5)


def test_refused_caller_is_served_after_the_retry_time():
    """Guards against a retry time that is too short: the queue is still as long then.

    Load: three times what the service can run, until a request is refused; it comes back alone.
    """
    route = _make_single()
    burst = _plan(120.0, 0.0, 4_000.0, route)
    ended = FullService(100.0, SLOTS).simulation.play_arrivals(burst)
    last = [one for one in ended if isinstance(one.outcome, Refused)][-1]
    until_then = [one for one in burst if one.at_ms <= last.arrival.at_ms]
    again = Arrival(last.arrival.at_ms + last.outcome.retry_ms, route, Demand(9))
    ended = FullService(100.0, SLOTS).simulation.play_arrivals([*until_then, again])
    (outcome,) = [one.outcome for one in ended if one.arrival is again]
    assert isinstance(outcome, Answered)


def test_rejections_make_calls_wait_here():
    """Guards against work that is rejected again and again by upstreams whose queues are full.

    Load: twice what the service can run for 5 s; upstreams queue four calls and reject others.
    """
    service = FullService(100.0, 100, queue=4)
    ended = service.simulation.play_arrivals(_plan(80.0, 0.0, 5_000.0, _make_single()))
    assert _served_share(ended) >= 0.45
    assert service.rejected <= 0.3 * len(ended)
    assert not [one for one in ended if isinstance(one.outcome, Failed)]


def test_one_upstream_that_rejects_does_not_limit_its_service():
    """Guards against requests that wait although other upstreams have room.

    Load: a tenth of what the service can run; one of three upstreams rejects all calls.
    """

    def plan_reply(call, now_ms):
        return fail(FailureKind.REJECTED) if call.upstream.id == "a" else succeed()

    simulation = ExchangeSimulation([make_upstream(name) for name in "abc"], plan_reply)
    ended = simulation.play_arrivals(_plan(20.0, 0.0, 5_000.0, _make_single()))
    assert _served_share(ended) == 1.0 and max(one.took_ms for one in ended) <= 20.0


def test_query_that_cannot_reach_its_minimum_is_given_up():
    """Guards against a query that is continued though too many of its shards are lost.

    Load: one query over four shards of which it needs three. Two fail at once, the calls to the
    others take 500 ms.
    """

    def plan_reply(call, now_ms):
        is_lost = call.upstream.service in ("s0", "s1")
        return fail(FailureKind.ERROR, 5.0) if is_lost else succeed(500.0)

    shards = ("s0", "s1", "s2", "s3")
    upstreams = [make_upstream(f"{shard}-{one}", shard) for shard in shards for one in "ab"]
    simulation = ExchangeSimulation(upstreams, plan_reply)
    outcome, took_ms = simulation.run(make_route(shards=shards, min_coverage=0.75))
    assert isinstance(outcome, Failed) and took_ms <= 100.0
    assert {call.upstream.service for call in simulation.cancelled} == {"s2", "s3"}


def test_query_with_a_part_that_has_run_is_not_refused():
    """Guards against a false "not run" for a query of which some shards have replied.

    Load: one query over four shards of which it needs three. Two reply, the others reject it.
    """

    def plan_reply(call, now_ms):
        is_full = call.upstream.service in ("s0", "s1")
        return fail(FailureKind.REJECTED, 20.0) if is_full else succeed(5.0)

    shards = ("s0", "s1", "s2", "s3")
    simulation = ExchangeSimulation([make_upstream(shard, shard) for shard in shards], plan_reply)
    outcome, _ = simulation.run(make_route(shards=shards, min_coverage=0.75))
    assert isinstance(outcome, Failed) and outcome.reason == "rejected"


def test_reserved_permit_is_not_used_before_its_time():
    """Guards against calls beyond the rate that an upstream names, when others join the queue.

    Load: three requests for an upstream with one connection. The first answer names a limit; the
    second request then waits for its permit while the third arrives.
    """

    def play(arrivals):
        simulation = ExchangeSimulation(
            [make_upstream("a")],
            lambda call, now_ms: CallEnd(50.0, make_reply(), limit_per_s=0.5),
            instances=1,
            services={"s0": ServiceLimits("s0", 1, 3_000.0, 0.0)},
        )
        simulation.play_arrivals(arrivals)
        return [sent_ms - simulation.started_ms for sent_ms, _ in simulation.calls]

    route = make_single_route(objective_ms=4_000.0, timeout_ms=6_000.0)
    short = make_single_route(name="short", objective_ms=100.0, timeout_ms=150.0)
    arrivals = [Arrival(0.0, route), Arrival(10.0, route), Arrival(200.0, short)]
    without_third = play(arrivals[:2])
    assert without_third[1] > 1_000.0
    assert play(arrivals) == without_third


def test_query_without_room_at_too_many_shards_is_refused_before_any_call():
    """Guards against calls for a query that is then refused as not run.

    Load: two shards have no room for as long as the query has time; the third one is idle.
    """
    shards = ("s0", "s1", "s2")
    simulation = ExchangeSimulation(
        [make_upstream(shard, shard) for shard in shards],
        lambda call, now_ms: succeed(200.0),
        instances=1,
        services={shard: ServiceLimits(shard, 1, 3_000.0, 0.0) for shard in shards},
    )
    busy = _plan(10.0, 0.0, 1_500.0, make_route(shards=("s0", "s1"), objective_ms=800.0))
    query = make_route(shards=shards, min_coverage=0.6, timeout_ms=300.0)
    ended = simulation.play_arrivals([*busy, Arrival(1_500.0, query)])
    (refused,) = [one for one in ended if one.arrival.route is query]
    assert refused.outcome.reason == "no_room" and refused.took_ms == 0.0
    assert "s2" not in {call.upstream.service for _, call in simulation.calls}
    # Nor does it take the permits of upstreams that it does not call.
    assert simulation.selector.count_calls()[0] == len(simulation.calls)


def test_place_of_a_lost_request_is_given_up_at_its_deadline():
    """Guards against a service that is blocked by a part that neither starts nor leaves.

    Load: one request that was lost in an unexpected error, and one 2 s later.
    """
    sharing = Sharing(is_enabled=True)
    lost = sharing.join("s0", Demand(), 500.0, 1_000.0, lambda: None, 0.0)
    assert sharing.may_start(lost, 0.0)
    next_one = sharing.join("s0", Demand(), 2_500.0, 3_000.0, lambda: None, 2_000.0)
    assert lost.shortage and sharing.may_start(next_one, 2_000.0)


def test_nothing_waits_below_capacity():
    """Guards against a change for deployments whose services have room.

    Load: 0.9 of what the service can run, without teams, on routes of two priorities.
    """
    service = FullService(100.0, 100)
    routes = [_make_single(name=f"r{priority}", priority=priority) for priority in (0, 1)]
    planned = [one for route in routes for one in _plan(18.0, 0.0, 10_000.0, route)]
    ended = service.simulation.play_arrivals(sorted(planned, key=lambda one: one.at_ms))
    assert _served_share(ended) == 1.0
    sent = [at_ms for at_ms, call in service.simulation.calls if call.reason == "first"]
    arrived = sorted(service.simulation.started_ms + one.arrival.at_ms for one in ended)
    assert sent == arrived
