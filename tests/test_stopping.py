"""Planned stops of an entry instance: which requests it accepts, and what their callers get."""

import asyncio

import pytest
from test_gateway import (
    FANOUT_ROUTE,
    SINGLE_ROUTE,
    UNSAFE_ROUTE,
    GatewaySetup,
    list_executed,
    run_scenario,
)

from citronpaddle.policy.stopping import schedule_stop

# Routes without a timeout or an objective that would end their requests during a stop.
PATIENT = {"timeout_ms": 60_000, "target_latency_ms": 60_000}
ROUTES = (SINGLE_ROUTE | PATIENT, UNSAFE_ROUTE | PATIENT, FANOUT_ROUTE | PATIENT)


async def start_stop(setup: GatewaySetup, grace_ms: float) -> asyncio.Task:
    """Start the stop of the instance with another grace period than that of the settings."""
    setup.gateway.reload(setup.settings._replace(grace_ms=grace_ms))
    stop = asyncio.create_task(setup.gateway.stop())
    await setup.wait_until(lambda: not setup.gateway.is_ready)
    return stop


@pytest.mark.parametrize("grace_ms", [1_000.0, 6_000.0, 30_000.0])
@pytest.mark.parametrize("address_ttl_ms", [100.0, 2_000.0, 60_000.0])
def test_requests_are_accepted_for_half_of_the_grace_period_at_most(grace_ms, address_ttl_ms):
    """Guards against requests accepted so late that a process that is killed cuts them."""
    schedule = schedule_stop(7_000.0, grace_ms, address_ttl_ms)
    accept_ms = schedule.accept_until_ms - 7_000.0
    assert 0 < accept_ms < grace_ms / 2
    assert accept_ms <= 1.5 * address_ttl_ms
    assert schedule.accept_until_ms <= schedule.answer_until_ms < 7_000.0 + grace_ms


def test_no_request_is_cut_when_the_instance_is_never_idle():
    """Guards against requests that are passed on late in a stop and cut at its end.

    Callers with an old list of addresses send one request each 50 ms until no connection is
    accepted. Each request takes 700 ms, so that one is in progress at any time.
    """

    async def scenario(setup):
        for upstream in setup.platform.upstreams.values():
            upstream.processing_ms = 700
        answers = {}

        async def send(attempt):
            try:
                status, _, _ = await setup.ask(method="POST", path="/u/x", attempt=attempt)
            except (OSError, EOFError):
                status = None
            answers[attempt] = status

        async def send_until(stop):
            sends = []
            while not stop.done():
                sends.append(asyncio.create_task(send(f"t{len(sends)}")))
                await asyncio.sleep(0.05)
            await asyncio.gather(*sends)

        stop = await start_stop(setup, 6_000.0)
        await send_until(stop)
        attempts = [
            executed.headers["citronpaddle-attempt-id"] for executed in list_executed(setup)
        ]
        assert attempts
        assert [attempt for attempt in attempts if answers[attempt] != 200] == []

    run_scenario(scenario, ROUTES)
