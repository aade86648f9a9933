"""The time of a partial answer: the objective counts from before the request arrives."""

from exchanges import START_MS, ExchangeSimulation, make_route, make_upstream, succeed
from hypothesis import given, settings
from hypothesis import strategies as st

from citronpaddle.policy.callertimes import CallerTimes
from citronpaddle.policy.exchange import Exchange

# 20 shards, of which one is paused; the answer may leave out three.
SHARDS = tuple(f"s{number}" for number in range(20))
ROUTE = make_route(shards=SHARDS, objective_ms=75.0, timeout_ms=1_000.0, min_coverage=0.85)
ROUND_TRIP_MS = 6.0
# The time before the first request of a connection, and before one after a look-up.
CONNECT_MS, LOOK_UP_MS = 6.0, 14.0


def play(caller_times: CallerTimes, elapsed_ms: float, is_first: bool) -> tuple[float, int]:
    """Return when the caller has the answer after it began, and how many parts are missing."""
    upstreams = [make_upstream(f"u{name}", name) for name in SHARDS]
    simulation = ExchangeSimulation(
        upstreams, lambda call, now_ms: succeed(200.0 if call.upstream.id == "us0" else 40.0)
    )
    stated_ms = round(1_000.0 - elapsed_ms)
    outside_ms = caller_times.estimate_outside_ms(ROUTE, stated_ms, ROUND_TRIP_MS, is_first)
    exchange = Exchange(
        ROUTE, SHARDS, START_MS, START_MS + stated_ms, simulation.dependencies, outside_ms
    )
    simulation._apply(exchange, exchange.start(START_MS))
    while exchange.outcome is None:
        simulation.step(exchange)
    return elapsed_ms + ROUND_TRIP_MS + simulation.now_ms - START_MS, exchange.outcome.missing


def test_partial_answers_reach_callers_within_the_objective():
    """Guards against late answers to callers that looked up an address or connected before."""
    caller_times = CallerTimes()
    load = [(0.0, False), (CONNECT_MS, True), (LOOK_UP_MS, False)]
    load.append((LOOK_UP_MS + CONNECT_MS + 1.0, True))
    for elapsed_ms, is_first in load * 5:
        took_ms, missing = play(caller_times, elapsed_ms, is_first)
        assert took_ms <= ROUTE.objective_ms and missing == 1


def test_caller_that_waits_longer_than_the_others_makes_no_answer_earlier():
    """Guards against one unusual statement that shortens the time of all other answers."""
    caller_times = CallerTimes()
    known = (1_000.0, 999.0, 1_000.0, 1_000.0) * 2
    for stated_ms in (*known, 1_020.0, *known):
        assert caller_times.estimate_outside_ms(ROUTE, stated_ms, 6.0, False) <= 7.0


def test_retry_after_a_refusal_is_not_taken_for_a_request_that_is_nearly_late():
    """Guards against retries that get fewer parts: their objective starts again."""
    caller_times = CallerTimes()
    for stated_ms in (1_000.0, 1_000.0):
        caller_times.estimate_outside_ms(ROUTE, stated_ms, 6.0, False)
    assert caller_times.estimate_outside_ms(ROUTE, 900.0, 6.0, True) == 12.0


@settings(deadline=None)
@given(st.lists(st.one_of(st.none(), st.floats(0.0, 1e9)), max_size=100))
def test_estimate_stays_within_its_bounds(statements):
    """Guards against statements that move the soft deadline before the request."""
    caller_times = CallerTimes()
    for stated_ms in statements:
        outside_ms = caller_times.estimate_outside_ms(ROUTE, stated_ms, 6.0, False)
        assert 6.0 <= outside_ms <= 6.0 + 0.4 * ROUTE.objective_ms
