"""Tests of an entry instance on loopback: what callers and upstreams receive on the wire.

The store and the upstreams are stand-ins. Delays that decide a result are far apart, so that the
result does not depend on the load of the machine.
"""

import asyncio
import json

import pytest
from gatewayworld import SINGLE_ROUTE, Caller, list_executed, run_scenario


def test_request_and_answer_pass_unchanged():
    """Guards against a request that differs from the caller's, or an answer from the upstream's."""

    async def scenario(setup):
        status, headers, body = await setup.ask(
            method="POST", path="/u/x%2F?a=1&b=%20", body=b"order", headers=["X-Kept: yes"]
        )
        assert status == 200
        (executed,) = list_executed(setup)
        assert (executed.method, executed.target, executed.body) == (
            "POST",
            "/u/x%2F?a=1&b=%20",
            b"order",
        )
        assert executed.headers["x-kept"] == "yes"
        assert executed.headers["citronpaddle-attempt-id"] == "t1"
        assert 0 < int(executed.headers["citronpaddle-deadline-ms"]) <= 1_000
        assert executed.headers["citronpaddle-expect-instance"] in ("a", "b")
        assert headers["citronpaddle-server-stamp"].endswith(".t1")
        assert body == setup.platform.upstreams["a"].body

    run_scenario(scenario)


def test_body_in_chunks_reaches_the_upstream_whole():
    """Guards against a truncated body and against request smuggling inside a body."""

    async def scenario(setup):
        caller = await setup.connect()
        caller.send(method="POST", path="/u/x", headers=["Transfer-Encoding: chunked"])
        caller.writer.write(b"5\r\nGET /\r\n6\r\n q HTT\r\n0\r\n\r\n")
        assert (await caller.read())[0] == 200
        (executed,) = list_executed(setup)
        assert executed.body == b"GET / q HTT"

    run_scenario(scenario)


def test_query_merges_the_greatest_records_of_all_shards():
    """Guards against wrong records, signatures or counts of missing parts in a merged answer."""

    async def scenario(setup):
        status, headers, body = await setup.ask(path="/q/x")
        assert status == 200
        assert [int.from_bytes(body[at : at + 16], "big") for at in (0, 16, 32)] == [9, 7, 5]
        signatures = headers["citronpaddle-part-stamps"].split(", ")
        assert sorted(name[0] for name in signatures) in (["a", "c"], ["b", "c"])
        assert headers["citronpaddle-missing-parts"] == "0"

    run_scenario(scenario)


def test_error_of_a_shard_counts_as_a_missing_part():
    """Guards against an error response with a signature that is merged as a part."""

    async def scenario(setup):
        def answer(request, connection):
            headers = setup.platform.upstreams["c"].make_headers(request)
            connection.reply(500, headers, b"\xff" * 16)
            return True

        setup.platform.upstreams["c"].answer = answer
        status, headers, body = await setup.ask(path="/q/x")
        assert status == 200 and headers["citronpaddle-missing-parts"] == "1"
        assert body == (9).to_bytes(16, "big") + (1).to_bytes(16, "big")

    run_scenario(scenario)


def test_unsafe_request_is_not_repeated_on_a_broken_connection():
    """Guards against executing a request twice, by a retry of the instance or of a library."""

    async def scenario(setup):
        def answer(request, connection):
            setup.platform.upstreams["a"].executed_requests.append(request)
            connection.transport.abort()
            return True

        for upstream in setup.platform.upstreams.values():
            upstream.answer = answer
        caller = await setup.connect()
        for number in range(6):
            status, _, _ = await caller.ask(method="POST", path="/u/x", attempt=f"t{number}")
            assert status == 502
        attempts = [
            executed.headers["citronpaddle-attempt-id"] for executed in list_executed(setup)
        ]
        assert sorted(attempts) == sorted(set(attempts))

    run_scenario(scenario)


def test_rejected_request_is_refused_with_a_retry_time():
    """Guards against a refusal without a retry time, or one of a request that was executed."""

    async def scenario(setup):
        def answer(request, connection):
            connection.reply(503, {"Citronpaddle-Not-Executed": "1"}, b"")
            return True

        for upstream in setup.platform.upstreams.values():
            upstream.answer = answer
        status, headers, _ = await setup.ask(method="POST", path="/u/x")
        assert status == 503 and float(headers["retry-after"]) > 0
        assert not list_executed(setup)

    run_scenario(scenario)


@pytest.mark.parametrize("status", [503, 429, 408])
def test_not_run_status_of_an_upstream_that_ran_the_request_is_not_passed_on(status):
    """Guards against a status that says "not run" for a request that the upstream has executed."""

    async def scenario(setup):
        def answer(request, connection):
            upstream = next(u for u in setup.platform.upstreams.values() if connection.owner is u)
            upstream.executed_requests.append(request)
            connection.reply(status, upstream.make_headers(request), b"failed")
            return True

        for upstream in setup.platform.upstreams.values():
            upstream.answer = answer
        got, headers, _ = await setup.ask(method="POST", path="/u/x", body=b"order")
        assert len(list_executed(setup)) == 1
        assert got == 502 and "citronpaddle-server-stamp" not in headers

    run_scenario(scenario)


def test_encoded_response_is_discarded():
    """Guards against an encoded body in an answer: callers request no content encoding."""

    async def scenario(setup):
        def answer(request, connection):
            headers = connection.owner.make_headers(request)
            connection.reply(200, headers | {"Content-Encoding": "gzip"}, connection.owner.body)
            return True

        setup.platform.upstreams["a"].answer = answer
        setup.platform.upstreams["c"].answer = answer
        for number in range(6):
            status, headers, _ = await setup.ask(path="/p/x", attempt=f"e{number}")
            assert status == 200 and "content-encoding" not in headers
            status, headers, body = await setup.ask(path="/q/x", attempt=f"g{number}")
            assert status == 200 and headers["citronpaddle-missing-parts"] == "1"
            assert len(body) == 2 * 16

    run_scenario(scenario)


def test_limit_that_an_upstream_names_is_logged_until_it_ends():
    """Guards against a limit that operators cannot see, and one that outlives its upstream's need.

    Values that are no decimal number change nothing.
    """

    async def scenario(setup):
        platform = setup.platform
        platform.upstreams["b"].refuses_connections = True
        values = ["14.7", "14.7", "nan", "-3", "1e9", None]

        def answer(request, connection):
            upstream = platform.upstreams["a"]
            value = values.pop(0)
            limit = {} if value is None else {"Server-Limit": value}
            connection.reply(200, upstream.make_headers(request) | limit, upstream.body)
            return True

        platform.upstreams["a"].answer = answer
        while values:
            await setup.ask(path="/p/x", deadline=20_000)
        lines = setup.list_logged("upstream_limited")
        assert [(line["upstream"], line["limit_per_s"]) for line in lines] == [
            ("a", 14.7),
            ("a", None),
        ]

    run_scenario(scenario)


def test_redirection_is_passed_on():
    """Guards against a retry after a redirection, which is neither a success nor a failure."""

    async def scenario(setup):
        def answer(request, connection):
            connection.owner.executed_requests.append(request)
            headers = connection.owner.make_headers(request)
            connection.reply(307, headers | {"Location": "/p/y"}, b"")
            return True

        for upstream in setup.platform.upstreams.values():
            upstream.answer = answer
        status, headers, _ = await setup.ask(path="/p/x")
        assert status == 307 and headers["location"] == "/p/y"
        assert len(list_executed(setup)) == 1

    run_scenario(scenario)


def test_response_to_another_request_is_discarded():
    """Guards against a late response that is taken for the response to the next request."""

    async def scenario(setup):
        def answer(request, connection):
            late = {"Citronpaddle-Server-Stamp": "x", "Citronpaddle-Attempt-Id": "other"}
            connection.reply(200, late, b"wrong")
            return False

        for upstream in setup.platform.upstreams.values():
            upstream.answer = answer
        status, headers, _ = await setup.ask()
        assert status == 200
        assert headers["citronpaddle-server-stamp"].endswith(".t1")

    run_scenario(scenario)


@pytest.mark.parametrize(
    "broken",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort",
        b"not http at all\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    ],
)
def test_broken_response_is_never_passed_on_as_complete(broken):
    """Guards against truncated or malformed responses that are passed on as complete."""

    async def scenario(setup):
        def answer(request, connection):
            connection.transport.write(broken)
            connection.transport.close()
            return True

        for upstream in setup.platform.upstreams.values():
            upstream.answer = answer
        status, _, body = await setup.ask(method="POST", path="/u/x")
        assert status == 502 and b"short" not in body

    run_scenario(scenario)


def test_response_without_a_length_ends_with_its_connection():
    """Guards against the loss of a response that ends with its connection."""

    async def scenario(setup):
        def answer(request, connection):
            head = "HTTP/1.1 200 OK\r\nCitronpaddle-Server-Stamp: s\r\n\r\n"
            connection.transport.write(head.encode() + b"whole")
            connection.transport.close()
            return True

        for upstream in setup.platform.upstreams.values():
            upstream.answer = answer
        status, _, body = await setup.ask()
        assert (status, body) == (200, b"whole")

    run_scenario(scenario)


def test_extra_bytes_after_a_response_end_the_connection():
    """Guards against extra bytes after a response that are taken for the next response."""

    async def scenario(setup):
        def answer(request, connection):
            upstream = next(u for u in setup.platform.upstreams.values() if connection.owner is u)
            connection.reply(200, upstream.make_headers(request), b"good")
            connection.reply(200, upstream.make_headers(request), b"extra")
            return True

        for upstream in setup.platform.upstreams.values():
            upstream.answer = answer
        caller = await setup.connect()
        for number in range(6):
            status, headers, body = await caller.ask(attempt=f"t{number}")
            assert (status, body) == (200, b"good")
            assert headers["citronpaddle-server-stamp"].endswith(f".t{number}")

    run_scenario(scenario)


def test_call_is_cancelled_when_the_caller_leaves():
    """Guards against an upstream that goes on working for a caller that has left."""

    async def scenario(setup):
        for upstream in setup.platform.upstreams.values():
            upstream.processing_ms = 60_000
        caller = await setup.connect()
        caller.send(deadline=90_000)
        await setup.wait_until(lambda: bool(list_executed(setup)))
        caller.close()
        await setup.wait_until(
            lambda: not any(upstream.connections for upstream in setup.platform.upstreams.values())
        )

    run_scenario(scenario, ({**SINGLE_ROUTE, "timeout_ms": 60_000},))


def test_unknown_route_is_denied_only_with_a_configuration():
    """Guards against a 404 before a configuration is loaded, when the answer must be 503."""

    async def scenario(setup):
        assert (await setup.ask(path="/none/x"))[0] == 404
        setup.gateway.state.catalog = None
        status, headers, _ = await setup.ask()
        assert status == 503 and "retry-after" in headers

    run_scenario(scenario)


def test_denied_request_is_logged_with_the_state_that_decided_it():
    """Guards against a 404 whose log does not tell an outdated instance from a lost change."""

    async def scenario(setup):
        assert (await setup.ask(path="/none/x", attempt="t9"))[0] == 404
        (line,) = setup.list_logged("request_denied")
        state = setup.gateway.state
        assert (line["id"], line["version"]) == ("t9", state.catalog.version)
        assert line["store_revision"] == state.revision
        assert line["state_age_ms"] >= 0

    run_scenario(scenario)


def test_retry_time_grows_while_the_configuration_is_missing():
    """Guards against a retry time that is too short while the store is down at the start.

    When all instances restart during an outage of the store, callers that retry after half a second
    are refused again and again for seconds; each should retry only once.
    """

    async def scenario(setup):
        setup.gateway.state.catalog = None
        await asyncio.sleep(0.8)
        _, headers, _ = await setup.ask()
        assert 0.8 <= float(headers["retry-after"]) <= 2.0

    run_scenario(scenario)


@pytest.mark.parametrize(
    "request_bytes, status",
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /p/x HTTP/1.1\r\n\r\n", 400),
        (b"GET /p/x HTTP/1.1\r\nHost: h.example\r\nX: " + b"y" * 5_000 + b"\r\n", 431),
        (
            b"POST /u/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (
            b"POST /u/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 70000\r\n\r\n"
            + b"z" * 70_000,
            413,
        ),
    ],
)
def test_malformed_request_is_answered_and_reaches_no_upstream(request_bytes, status):
    """Guards against requests that the instance and the upstream parse differently."""

    async def scenario(setup):
        caller = await setup.connect()
        caller.writer.write(request_bytes)
        assert (await caller.read())[0] == status
        assert not list_executed(setup)

    run_scenario(scenario)


def test_requests_in_one_packet_are_answered_in_order():
    """Guards against pipelined requests that get the answers of each other."""

    async def scenario(setup):
        caller = await setup.connect()
        for number in range(5):
            caller.send(attempt=f"t{number}")
        for number in range(5):
            _, headers, _ = await caller.read()
            assert headers["citronpaddle-server-stamp"].endswith(f".t{number}")

    run_scenario(scenario)


def test_planned_stop_completes_all_requests():
    """Guards against the loss of requests in progress or on kept connections during a stop."""

    async def scenario(setup):
        for upstream in setup.platform.upstreams.values():
            upstream.processing_ms = 700
        caller = await setup.connect()
        other = await setup.connect()
        caller.send()
        await setup.wait_until(lambda: bool(list_executed(setup)))
        stop = asyncio.create_task(setup.gateway.stop())
        await asyncio.sleep(0.05)
        assert not setup.gateway.is_ready
        # A caller with an older list of addresses may still send on its kept connection.
        other.send(attempt="t2")
        for kept in (caller, other):
            status, headers, _ = await kept.read()
            assert status == 200 and headers["connection"] == "close"
        await stop

    run_scenario(scenario)


def test_directory_lists_this_instance():
    """Guards against an empty list of addresses."""

    async def scenario(setup):
        await setup.wait_until(lambda: any("instances" in key for key in setup.platform.store.keys))
        caller = await Caller(setup.settings.directory_address).connect()
        path = "/citronpaddle/resolve?name=h.example&region=r&zone=a"
        status, _, body = await caller.ask(path=path)
        answer = json.loads(body)
        host, port = setup.settings.callers_address
        assert status == 200 and answer["addrs"] == [f"{host}:{port}"]
        assert 0 < answer["ttl_s"] <= 5

    run_scenario(scenario)


def test_other_upstream_at_the_address_gets_no_request():
    """Guards against a call to another upstream that has taken over the address."""

    async def scenario(setup):
        for upstream in setup.platform.upstreams.values():
            upstream.id = "other"
        status, headers, _ = await setup.ask(method="POST", path="/u/x")
        assert status == 503 and "retry-after" in headers
        assert not list_executed(setup)

    run_scenario(scenario)


def test_requests_are_served_during_a_store_outage():
    """Guards against a store outage that interrupts the service."""

    async def scenario(setup):
        setup.platform.store.is_down = True
        await setup.platform.store.stop()
        for number in range(5):
            assert (await setup.ask(attempt=f"t{number}"))[0] == 200

    run_scenario(scenario)


def test_split_route_keeps_its_weights():
    """Guards against a distribution that differs from the configured weights."""
    split = [{"service": "s0", "weight": 3}, {"service": "s1", "weight": 1}]

    async def scenario(setup):
        for number in range(40):
            await setup.ask(attempt=f"t{number}")
        assert len(setup.platform.upstreams["c"].executed_requests) == 10

    run_scenario(scenario, ({"prefix": "/p/", "traffic_split": split},))


def test_no_call_is_sent_after_a_refusal():
    """Guards against a call on a connection that opens after the caller got "not run"."""

    async def scenario(setup):
        opened = asyncio.Event()

        async def connect_late(*arguments, **options):
            await asyncio.sleep(0.15)
            opened.set()
            return await create_connection(*arguments, **options)

        loop = asyncio.get_running_loop()
        create_connection = loop.create_connection
        caller = await setup.connect()
        loop.create_connection = connect_late
        try:
            caller.send(method="POST", path="/u/x", body=b"order", deadline=60)
            status, _, _ = await caller.read()
            await asyncio.sleep(0.6)
        finally:
            loop.create_connection = create_connection
        assert status == 503
        assert not list_executed(setup)

    run_scenario(scenario)


def test_request_without_time_left_is_refused():
    """Guards against calls that have more time than their caller states."""

    async def scenario(setup):
        status, _, _ = await setup.ask(path="/p/x", deadline=0)
        assert status == 503 and not list_executed(setup)

    run_scenario(scenario)


def test_unexpected_error_ends_one_request_only():
    """Guards against an error in one request that leaves its caller waiting or ends the process."""

    async def scenario(setup):
        serve, setup.gateway.serve = setup.gateway.serve, None
        caller = await setup.connect()
        status, headers, _ = await caller.ask(path="/p/x", attempt="t1")
        assert status == 502 and headers["connection"] == "close"
        assert await caller.reader.read() == b""
        setup.gateway.serve = serve
        status, _, _ = await setup.ask(path="/p/x", attempt="t2")
        assert status == 200

    run_scenario(scenario)


def test_endless_response_is_replaced_by_another_upstream():
    """Guards against a caller that waits while an upstream sends a response without end."""

    async def scenario(setup):
        async def send_without_end(connection):
            while not connection.transport.is_closing():
                if connection.transport.get_write_buffer_size() < 65_536:
                    connection.transport.write(b"x" * 65_536)
                await asyncio.sleep(0)

        tasks = []

        def answer(request, connection):
            connection.transport.write(b"HTTP/1.1 200 OK\r\nX-Filler: ")
            tasks.append(asyncio.create_task(send_without_end(connection)))
            return True

        setup.platform.upstreams["a"].answer = answer
        for number in range(6):
            status, _, body = await setup.ask(path="/p/x", attempt=f"t{number}")
            assert status == 200 and body == setup.platform.upstreams["b"].body
        assert tasks
        await asyncio.wait_for(asyncio.gather(*tasks), 20)

    run_scenario(scenario)


def test_work_of_an_upstream_that_fell_silent_is_neither_given_up_nor_repeated():
    """Guards against a second run, or a lost answer, when a busy upstream's entry lapses."""

    async def scenario(setup):
        for upstream in setup.platform.upstreams.values():
            upstream.processing_ms = 600.0
        caller = await setup.connect()
        caller.send(method="POST", path="/u/x", body=b"order")
        await setup.wait_until(lambda: bool(list_executed(setup)))
        for name in ("a", "b"):
            setup.platform.store.delete(f"servers/{name}")
        await setup.wait_until(lambda: len(setup.gateway.state.registry) == 1)
        status, headers, _ = await caller.read()
        assert status == 200 and headers["citronpaddle-server-stamp"].endswith(".t1")
        assert len(list_executed(setup)) == 1

    run_scenario(scenario)
