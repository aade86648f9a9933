"""What a caller's connection leaves behind, and answers that the instance makes itself."""

import asyncio
import gc
import struct
from socket import SO_LINGER, SOL_SOCKET

import pytest
from gatewayworld import run_scenario

from citronpaddle.adapters.callerconnections import CallerConnection
from citronpaddle.clock import SystemClock
from citronpaddle.forwarding import ExchangeRunner
from citronpaddle.gateway import METRICS_MAX_AGE_MS


async def end_idle(caller):
    await caller.ask(body=b"x" * 30_000, method="POST")
    caller.close()


async def end_midway(caller):
    caller.send(body=b"x" * 30_000, method="POST")
    await asyncio.sleep(0)
    caller.close()


async def end_half_a_body(caller):
    caller.writer.write(b"POST /p/x HTTP/1.1\r\nContent-Length: 30000\r\n\r\n" + b"x" * 29_999)
    await caller.writer.drain()
    caller.close()


async def end_reset(caller):
    await caller.ask(body=b"x" * 30_000, method="POST")
    sock = caller.writer.get_extra_info("socket")
    sock.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
    caller.close()


async def end_half_closed(caller):
    await caller.ask(body=b"x" * 30_000, method="POST")
    caller.writer.write_eof()
    assert await caller.reader.read() == b""
    caller.close()


async def end_malformed(caller):
    await caller.ask(body=b"x" * 30_000, method="POST")
    caller.writer.write(b"nonsense\r\n\r\n")
    assert (await caller.read())[0] == 400
    caller.close()


def count_alive():
    kinds = (CallerConnection, ExchangeRunner)
    return sum(isinstance(item, kinds) for item in gc.get_objects())


@pytest.mark.parametrize(
    "end",
    [end_idle, end_midway, end_half_a_body, end_reset, end_half_closed, end_malformed],
)
def test_nothing_of_a_closed_connection_is_kept(end):
    """Guards against a last request that stays in memory after its connection (review/3)."""

    async def scenario(setup):
        for _ in range(5):
            await end(await setup.connect())
        await setup.wait_until(lambda: not len(setup.gateway._intake))
        # Calls that the caller no longer waits for end shortly after it.
        await setup.wait_until(lambda: not setup.gateway._forwarder.runners)
        gc.collect()
        assert count_alive() == 0
        assert setup.gateway._intake.held_bytes == 0

    run_scenario(scenario)


def test_own_answers_to_head_requests_have_no_body():
    """Guards against a body that the caller reads as its next answer (review/4)."""

    async def scenario(setup):
        caller = await setup.connect()
        for path, status in (("/nowhere", b"404"), ("/p/x", b"200")):
            caller.send(method="HEAD", path=path)
            head = await caller.reader.readuntil(b"\r\n\r\n")
            assert head.split()[1] == status
        assert (await caller.ask())[0] == 200

    run_scenario(scenario)


def test_declared_length_over_the_limit_is_refused_before_the_body():
    """Guards against inviting, or reading, a body that will be refused."""

    async def scenario(setup):
        caller = await setup.connect()
        caller.writer.write(
            b"POST /p/x HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 65537\r\n\r\n"
        )
        status, headers, _ = await caller.read()
        assert (status, headers["connection"]) == (413, "close")
        caller = await setup.connect()
        caller.send(method="POST", headers=["Expect: 100-continue", "Content-Length: 2"])
        assert await caller.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        caller.writer.write(b"ok")
        assert (await caller.read())[0] == 200

    run_scenario(scenario)


def test_trailer_fields_do_not_replace_headers():
    """Guards against trailers that change the route, the id or the deadline of a request."""

    async def scenario(setup):
        caller = await setup.connect()
        caller.send(method="POST", headers=["Transfer-Encoding: chunked"])
        caller.writer.write(b"1\r\nx\r\n0\r\nCitronpaddle-Attempt-Id: other\r\nX-Last: 1\r\n\r\n")
        assert (await caller.read())[0] == 200
        (request,) = (
            item
            for upstream in setup.platform.upstreams.values()
            for item in upstream.executed_requests
        )
        assert request.headers["citronpaddle-attempt-id"] == "t1"
        assert "x-last" not in request.headers

    run_scenario(scenario)


def test_limits_are_counted_by_reason_and_logged():
    """Guards against refusals that an operator can't see."""

    async def scenario(setup):
        caller = await setup.connect()
        caller.writer.write(b"GET /p/x HTTP/1.1\r\nX: " + b"y" * 5_000)
        assert (await caller.read())[0] == 431
        setup.gateway._intake.report()
        (line,) = setup.list_logged("callers_limited")
        assert line["counts"] == {"header_bytes": 1}
        assert b'callers_limited_total{kind="header_bytes"} 1.0' in setup.gateway.render_metrics()

    run_scenario(scenario)


def test_metrics_are_not_rendered_for_each_request():
    """Guards against callers of the ready address that keep the event loop busy with metrics."""

    async def scenario(setup):
        gateway = setup.gateway
        rendered = []
        gateway.render_metrics = lambda: rendered.append(b"") or b""
        started_ms = SystemClock().now_ms()
        for _ in range(50):
            gateway.read_metrics()
        took_ms = SystemClock().now_ms() - started_ms
        assert len(rendered) <= 1 + took_ms / METRICS_MAX_AGE_MS

    run_scenario(scenario)
