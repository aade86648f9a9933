"""Planned stops of an entry instance: which requests it accepts, and what their callers get."""

import asyncio

import pytest
from gatewayworld import (
    FANOUT_ROUTE,
    SINGLE_ROUTE,
    UNSAFE_ROUTE,
    GatewaySetup,
    list_executed,
    run_scenario,
)
from platformworld import Request

from citronpaddle.policy.stopping import schedule_stop

# Routes without a timeout or an objective that would end their requests during a stop.
PATIENT = {"timeout_ms": 60_000, "target_latency_ms": 60_000}
ROUTES = (SINGLE_ROUTE | PATIENT, UNSAFE_ROUTE | PATIENT, FANOUT_ROUTE | PATIENT)
# Longer than any stop in these tests.
ENDLESS_MS = 60_000.0


async def start_stop(setup: GatewaySetup, grace_ms: float) -> asyncio.Task:
    """Start the stop of the instance with another grace period than that of the settings."""
    setup.gateway.reload(setup.settings._replace(grace_ms=grace_ms))
    stop = asyncio.create_task(setup.gateway.stop())
    await setup.wait_until(lambda: not setup.gateway.is_ready)
    return stop


async def wait_until_not_listening(setup: GatewaySetup) -> None:
    """Wait until the instance accepts no connection; raise TimeoutError after 20 s."""
    async with asyncio.timeout(20):
        while True:
            try:
                caller = await setup.connect()
            except OSError:
                return
            caller.close()
            await asyncio.sleep(0.01)


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


def test_request_that_is_read_late_in_a_stop_is_refused_as_not_run():
    """Guards against an upload that is cut when it ends just as the instance stops."""

    async def scenario(setup):
        caller = await setup.connect()
        headers = ["Content-Length: 10", "Expect: 100-continue"]
        caller.send(method="POST", path="/u/x", headers=headers)
        # The instance has read the head once it asks for the body.
        await caller.reader.readuntil(b"\r\n\r\n")
        caller.writer.write(b"order")
        stop = await start_stop(setup, 20_000.0)
        await wait_until_not_listening(setup)
        await asyncio.wait({stop}, timeout=0.5)
        assert not stop.done()
        caller.writer.write(b"-rest")
        status, headers, _ = await caller.read()
        assert status == 503 and "retry-after" in headers and headers["connection"] == "close"
        await stop
        assert not list_executed(setup)

    run_scenario(scenario, ROUTES)


def test_requests_still_in_progress_at_the_end_of_a_stop_are_answered():
    """Guards against callers whose connections end without an answer: the brief allows no cut.

    A query gets the parts that are there; a request that may have run gets no promise.
    """

    async def scenario(setup):
        setup.platform.upstreams["c"].processing_ms = ENDLESS_MS
        query = await setup.connect()
        query.send(path="/q/x", attempt="t1", deadline=60_000)
        await setup.wait_until(lambda: len(list_executed(setup)) == 2)
        for upstream in setup.platform.upstreams.values():
            upstream.processing_ms = ENDLESS_MS
        order = await setup.connect()
        order.send(method="POST", path="/u/x", body=b"order", attempt="t2", deadline=60_000)
        await setup.wait_until(lambda: len(list_executed(setup)) == 3)
        stop = await start_stop(setup, 1_500.0)
        status, headers, body = await query.read()
        assert (status, headers["citronpaddle-missing-parts"]) == (200, "1")
        assert body == b"".join(number.to_bytes(16, "big") for number in (9, 1))
        status, headers, _ = await order.read()
        assert status == 504 and "retry-after" not in headers
        await stop
        (stopped,) = setup.list_logged("stopped")
        assert stopped["unanswered"] == 2

    run_scenario(scenario, ROUTES)


def test_large_answer_is_written_whole_before_the_process_ends():
    """Guards against an answer that is cut because its caller reads it slowly during a stop."""
    size = 8 * 1024 * 1024

    async def scenario(setup):
        def answer(request: Request, connection) -> bool:
            connection.reply(200, setup.platform.upstreams["c"].make_headers(request), b"x" * size)
            return True

        for upstream in setup.platform.upstreams.values():
            upstream.answer = answer
        caller = await setup.connect()
        caller.send()
        # The answer is larger than the buffers of the connection, and not read yet.
        await setup.wait_until(lambda: ("requests", "answered") in setup.gateway.counts.values)
        stop = await start_stop(setup, 20_000.0)
        await wait_until_not_listening(setup)
        await asyncio.wait({stop}, timeout=0.5)
        assert not stop.done()
        async with asyncio.timeout(20):
            received = b""
            while chunk := await caller.reader.read(1 << 20):
                received += chunk
        assert received.endswith(b"x" * size)
        await stop

    run_scenario(scenario, ROUTES)
