"""An entry instance on loopback against stand-ins: what callers and upstreams see on the wire.

Times that decide are wide apart, so that a busy machine changes no verdict.
"""

import asyncio
import json
import os
from collections.abc import Awaitable, Callable

import pytest
from cluster import find_port
from platformworld import PlatformStandIn

from citronpaddle.adapters.eventlog import EventLog
from citronpaddle.clock import SystemClock
from citronpaddle.gateway import Gateway, GatewaySettings
from citronpaddle.platform.codec import PlatformCallerCodec, PlatformStateDecoder
from citronpaddle.platform.headers import PlatformCodec
from citronpaddle.platform.store import HttpStateStore
from citronpaddle.policy.extraload import ExtraLoadLimits
from citronpaddle.policy.slowstart import ColdLimits
from citronpaddle.randomness import RandomSource


class Caller:
    """A caller's raw connection."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> "Caller":
        self.reader, self.writer = await asyncio.open_connection(*self._address)
        return self

    def send(self, method="GET", path="/p/x", body=b"", headers=(), attempt="t1", deadline=2000):
        """Write a request."""
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: h.example",
            f"Citronpaddle-Attempt-Id: {attempt}",
            f"Citronpaddle-Deadline-Ms: {deadline}",
            *headers,
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)

    async def read(self) -> tuple[int, dict[str, str], bytes]:
        """Return status, headers and body of the next answer."""
        async with asyncio.timeout(20):
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            headers = {}
            for line in head[1:-2]:
                name, _, value = line.partition(": ")
                headers[name.lower()] = value
            body = await self.reader.readexactly(int(headers.get("content-length", 0)))
        return int(head[0].split()[1]), headers, body

    async def ask(self, **fields) -> tuple[int, dict[str, str], bytes]:
        """Send a request and return its answer."""
        self.send(**fields)
        return await self.read()

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


class Site:
    """One entry instance and its world."""

    def __init__(self, world: PlatformStandIn) -> None:
        self.world = world
        self.settings = GatewaySettings(
            name="i0",
            domain="a",
            callers_address=("127.0.0.1", find_port()),
            ready_address=("127.0.0.1", find_port()),
            directory_address=("127.0.0.1", find_port()),
            store_address=("127.0.0.1", world.store.port),
            hints_address=("127.0.0.1", find_port()),
            grace_ms=6_000.0,
            address_ttl_s=0.1,
            extra_load=ExtraLoadLimits(0.2, 1_000.0, 10_000.0),
            cold=ColdLimits(1.5, 5.0),
            min_lease_ms=1_000.0,
            config_apply_ms=30.0,
        )
        clock = SystemClock()
        self.gateway = Gateway(
            self.settings,
            clock,
            RandomSource(1),
            EventLog("i0", clock, os.open(os.devnull, os.O_WRONLY)),
            PlatformCodec(),
            PlatformCallerCodec(),
            HttpStateStore,
            PlatformStateDecoder(),
        )

    async def connect(self) -> Caller:
        """Return a caller's new connection."""
        return await Caller(self.settings.callers_address).connect()

    async def ask(self, **fields) -> tuple[int, dict[str, str], bytes]:
        """Ask on a new connection."""
        caller = await self.connect()
        try:
            return await caller.ask(**fields)
        finally:
            caller.close()

    async def expect(self, is_so: Callable[[], bool]) -> None:
        """Wait until `is_so`."""
        async with asyncio.timeout(20):
            while not is_so():  # noqa: ASYNC110 - any part of the state may be asked for
                await asyncio.sleep(0.005)

    async def expect_version(self) -> None:
        """Wait until the newest configuration and all upstreams are known."""
        state = self.gateway.state
        await self.expect(
            lambda: state.catalog is not None
            and state.catalog.version == self.world.version
            and len(state.registry) == len(self.world.upstreams)
        )


SINGLE = {"prefix": "/p/", "service": "s0"}
UNSAFE = {"prefix": "/u/", "service": "s0", "kind": "unsafe"}
GATHER = {"prefix": "/q/", "fanout_services": ["s0", "s1"], "top_k": 3, "min_shard_ratio": 0.5}


def play(script: Callable[[Site], Awaitable[None]], routes=(SINGLE, UNSAFE, GATHER)) -> None:
    """Run `script` against an instance with two upstreams of s0 and one of s1."""

    async def run() -> None:
        world = PlatformStandIn()
        await world.start()
        await world.add("a", "s0", [1, 9])
        await world.add("b", "s0", [1, 9])
        await world.add("c", "s1", [5, 7])
        world.configure(list(routes))
        site = Site(world)
        await site.gateway.start()
        await site.expect_version()
        try:
            await script(site)
        finally:
            await site.gateway.stop()
            await world.stop()

    asyncio.run(run())


def list_runs(site: Site) -> list:
    """Return all requests that upstreams have run."""
    return [run for upstream in site.world.upstreams.values() for run in upstream.runs]


def test_request_and_answer_pass_unchanged():
    """Guards against UNASKED and MIXED: what the caller and the upstream get is what was sent."""

    async def script(site):
        status, headers, body = await site.ask(
            method="POST", path="/u/x%2F?a=1&b=%20", body=b"order", headers=["X-Kept: yes"]
        )
        assert status == 200
        (run,) = list_runs(site)
        assert (run.method, run.target, run.body) == ("POST", "/u/x%2F?a=1&b=%20", b"order")
        assert run.headers["x-kept"] == "yes"
        assert run.headers["citronpaddle-attempt-id"] == "t1"
        assert 0 < int(run.headers["citronpaddle-deadline-ms"]) <= 1_000
        assert run.headers["citronpaddle-expect-instance"] in ("a", "b")
        assert headers["citronpaddle-server-stamp"].endswith(".t1")
        assert body == site.world.upstreams["a"].body

    play(script)


def test_body_in_chunks_reaches_the_upstream_whole():
    """Guards against a body that is cut, or that another request is smuggled in."""

    async def script(site):
        caller = await site.connect()
        caller.send(method="POST", path="/u/x", headers=["Transfer-Encoding: chunked"])
        caller.writer.write(b"5\r\nGET /\r\n6\r\n q HTT\r\n0\r\n\r\n")
        assert (await caller.read())[0] == 200
        (run,) = list_runs(site)
        assert run.body == b"GET / q HTT"

    play(script)


def test_query_merges_the_greatest_records_of_all_shards():
    """Guards against MIXED: records, signatures and the number of missing parts."""

    async def script(site):
        status, headers, body = await site.ask(path="/q/x")
        assert status == 200
        assert [int.from_bytes(body[at : at + 16], "big") for at in (0, 16, 32)] == [9, 7, 5]
        signatures = headers["citronpaddle-part-stamps"].split(", ")
        assert sorted(name[0] for name in signatures) in (["a", "c"], ["b", "c"])
        assert headers["citronpaddle-missing-parts"] == "0"

    play(script)


def test_failure_of_a_shard_is_no_part():
    """Guards against MIXED: an error with a signature counted as a part."""

    async def script(site):
        def answer(request, connection):
            headers = site.world.upstreams["c"].make_headers(request)
            connection.reply(500, headers, b"\xff" * 16)
            return True

        site.world.upstreams["c"].answer = answer
        status, headers, body = await site.ask(path="/q/x")
        assert status == 200 and headers["citronpaddle-missing-parts"] == "1"
        assert body == (9).to_bytes(16, "big") + (1).to_bytes(16, "big")

    play(script)


def test_unsafe_request_is_not_repeated_on_a_broken_connection():
    """Guards against TWICE, by our own repeat or by a library's."""

    async def script(site):
        def answer(request, connection):
            site.world.upstreams["a"].runs.append(request)
            connection.transport.abort()
            return True

        for upstream in site.world.upstreams.values():
            upstream.answer = answer
        caller = await site.connect()
        for number in range(6):
            status, _, _ = await caller.ask(method="POST", path="/u/x", attempt=f"t{number}")
            assert status == 502
        attempts = [run.headers["citronpaddle-attempt-id"] for run in list_runs(site)]
        assert sorted(attempts) == sorted(set(attempts))

    play(script)


def test_rejected_request_is_refused_with_a_time_to_come_back():
    """Guards against REFUSED and against a promise that is not true."""

    async def script(site):
        def answer(request, connection):
            connection.reply(503, {"Citronpaddle-Not-Executed": "1"}, b"")
            return True

        for upstream in site.world.upstreams.values():
            upstream.answer = answer
        status, headers, _ = await site.ask(method="POST", path="/u/x")
        assert status == 503 and float(headers["retry-after"]) > 0
        assert not list_runs(site)

    play(script)


@pytest.mark.parametrize("status", [503, 429, 408])
def test_promise_of_an_upstream_that_ran_the_request_is_not_passed_on(status):
    """Guards against REFUSED: these statuses promise that nothing ran, the upstream does not."""

    async def script(site):
        def answer(request, connection):
            upstream = next(u for u in site.world.upstreams.values() if connection.owner is u)
            upstream.runs.append(request)
            connection.reply(status, upstream.make_headers(request), b"failed")
            return True

        for upstream in site.world.upstreams.values():
            upstream.answer = answer
        got, headers, _ = await site.ask(method="POST", path="/u/x", body=b"order")
        assert len(list_runs(site)) == 1
        assert got == 502 and "citronpaddle-server-stamp" not in headers

    play(script)


def test_encoded_answer_is_not_taken_for_the_upstreams_own():
    """Guards against MIXED: callers ask for no encoding, so an encoded body is not the body."""

    async def script(site):
        def answer(request, connection):
            headers = connection.owner.make_headers(request)
            connection.reply(200, headers | {"Content-Encoding": "gzip"}, connection.owner.body)
            return True

        site.world.upstreams["a"].answer = answer
        site.world.upstreams["c"].answer = answer
        for number in range(6):
            status, headers, _ = await site.ask(path="/p/x", attempt=f"e{number}")
            assert status == 200 and "content-encoding" not in headers
            status, headers, body = await site.ask(path="/q/x", attempt=f"g{number}")
            assert status == 200 and headers["citronpaddle-missing-parts"] == "1"
            assert len(body) == 2 * 16

    play(script)


def test_redirection_of_an_upstream_is_its_answer():
    """Guards against a retry of an answer that is neither a success nor a failure."""

    async def script(site):
        def answer(request, connection):
            connection.owner.runs.append(request)
            headers = connection.owner.make_headers(request)
            connection.reply(307, headers | {"Location": "/p/y"}, b"")
            return True

        for upstream in site.world.upstreams.values():
            upstream.answer = answer
        status, headers, _ = await site.ask(path="/p/x")
        assert status == 307 and headers["location"] == "/p/y"
        assert len(list_runs(site)) == 1

    play(script)


def test_answer_of_another_request_is_not_taken():
    """Guards against MIXED: an extra answer comes late, where the next one is due."""

    async def script(site):
        def answer(request, connection):
            late = {"Citronpaddle-Server-Stamp": "x", "Citronpaddle-Attempt-Id": "other"}
            connection.reply(200, late, b"wrong")
            return False

        for upstream in site.world.upstreams.values():
            upstream.answer = answer
        status, headers, _ = await site.ask()
        assert status == 200
        assert headers["citronpaddle-server-stamp"].endswith(".t1")

    play(script)


@pytest.mark.parametrize(
    "broken",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort",
        b"not http at all\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    ],
)
def test_broken_answer_never_looks_complete(broken):
    """Guards against MIXED: truncated answers and bytes that are none."""

    async def script(site):
        def answer(request, connection):
            connection.transport.write(broken)
            connection.transport.close()
            return True

        for upstream in site.world.upstreams.values():
            upstream.answer = answer
        status, _, body = await site.ask(method="POST", path="/u/x")
        assert status == 502 and b"short" not in body

    play(script)


def test_answer_without_a_length_ends_with_its_connection():
    """Guards against losing answers that a closed connection ends."""

    async def script(site):
        def answer(request, connection):
            head = "HTTP/1.1 200 OK\r\nCitronpaddle-Server-Stamp: s\r\n\r\n"
            connection.transport.write(head.encode() + b"whole")
            connection.transport.close()
            return True

        for upstream in site.world.upstreams.values():
            upstream.answer = answer
        status, _, body = await site.ask()
        assert (status, body) == (200, b"whole")

    play(script)


def test_bytes_after_an_answer_end_the_connection():
    """Guards against MIXED: bytes that follow an answer taken for the next one."""

    async def script(site):
        def answer(request, connection):
            upstream = next(u for u in site.world.upstreams.values() if connection.owner is u)
            connection.reply(200, upstream.make_headers(request), b"good")
            connection.reply(200, upstream.make_headers(request), b"extra")
            return True

        for upstream in site.world.upstreams.values():
            upstream.answer = answer
        caller = await site.connect()
        for number in range(6):
            status, headers, body = await caller.ask(attempt=f"t{number}")
            assert (status, body) == (200, b"good")
            assert headers["citronpaddle-server-stamp"].endswith(f".t{number}")

    play(script)


def test_caller_that_leaves_ends_the_call():
    """Guards against GONE: an upstream at work for a caller that has left."""

    async def script(site):
        for upstream in site.world.upstreams.values():
            upstream.work_ms = 60_000
        caller = await site.connect()
        caller.send(deadline=90_000)
        await site.expect(lambda: bool(list_runs(site)))
        caller.close()
        await site.expect(
            lambda: not any(upstream.connections for upstream in site.world.upstreams.values())
        )

    play(script, ({**SINGLE, "timeout_ms": 60_000},))


def test_route_that_does_not_exist_is_denied_and_none_before_a_configuration():
    """Guards against DENIED: 404 only with a configuration, 503 without one."""

    async def script(site):
        assert (await site.ask(path="/none/x"))[0] == 404
        site.gateway.state.catalog = None
        status, headers, _ = await site.ask()
        assert status == 503 and "retry-after" in headers

    play(script)


def test_caller_is_told_to_wait_longer_the_longer_the_configuration_is_missing():
    """Load: all instances start anew while the store is down; callers come back once each.

    Guards against sending them away for half a second, to be refused again, for seconds on end.
    """

    async def script(site):
        site.gateway.state.catalog = None
        await asyncio.sleep(0.8)
        _, headers, _ = await site.ask()
        assert 0.8 <= float(headers["retry-after"]) <= 2.0

    play(script)


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
def test_malformed_request_is_answered_and_reaches_nobody(request_bytes, status):
    """Guards against UNASKED by requests that two parsers read differently."""

    async def script(site):
        caller = await site.connect()
        caller.writer.write(request_bytes)
        assert (await caller.read())[0] == status
        assert not list_runs(site)

    play(script)


def test_requests_in_one_packet_are_answered_in_order():
    """Guards against answers crossed on one connection."""

    async def script(site):
        caller = await site.connect()
        for number in range(5):
            caller.send(attempt=f"t{number}")
        for number in range(5):
            _, headers, _ = await caller.read()
            assert headers["citronpaddle-server-stamp"].endswith(f".t{number}")

    play(script)


def test_planned_stop_cuts_no_request():
    """Guards against LOST: requests in progress and on kept connections around a stop."""

    async def script(site):
        for upstream in site.world.upstreams.values():
            upstream.work_ms = 700
        caller = await site.connect()
        other = await site.connect()
        caller.send()
        await site.expect(lambda: bool(list_runs(site)))
        stop = asyncio.create_task(site.gateway.stop())
        await asyncio.sleep(0.05)
        assert not site.gateway.is_ready
        # A caller with an older list of addresses may still come on its kept connection.
        other.send(attempt="t2")
        for kept in (caller, other):
            status, headers, _ = await kept.read()
            assert status == 200 and headers["connection"] == "close"
        await stop

    play(script)


def test_directory_names_this_instance():
    """Guards against callers that are told of nobody."""

    async def script(site):
        await site.expect(lambda: any("instances" in key for key in site.world.store.keys))
        caller = await Caller(site.settings.directory_address).connect()
        path = "/citronpaddle/resolve?name=h.example&region=r&zone=a"
        status, _, body = await caller.ask(path=path)
        answer = json.loads(body)
        host, port = site.settings.callers_address
        assert status == 200 and answer["addrs"] == [f"{host}:{port}"]
        assert 0 < answer["ttl_s"] <= 5

    play(script)


def test_moved_upstream_is_not_trusted():
    """Guards against ROUTE: another upstream has taken over the address."""

    async def script(site):
        for upstream in site.world.upstreams.values():
            upstream.id = "stranger"
        status, headers, _ = await site.ask(method="POST", path="/u/x")
        assert status == 503 and "retry-after" in headers
        assert not list_runs(site)

    play(script)


def test_requests_are_served_while_the_store_is_away():
    """Guards against a store outage that takes the service with it."""

    async def script(site):
        site.world.store.is_down = True
        await site.world.store.stop()
        for number in range(5):
            assert (await site.ask(attempt=f"t{number}"))[0] == 200

    play(script)


def test_split_route_keeps_its_weights():
    """Guards against CONFIG: shares off their weights."""
    split = [{"service": "s0", "weight": 3}, {"service": "s1", "weight": 1}]

    async def script(site):
        for number in range(40):
            await site.ask(attempt=f"t{number}")
        assert len(site.world.upstreams["c"].runs) == 10

    play(script, ({"prefix": "/p/", "traffic_split": split},))


def test_nothing_leaves_for_an_upstream_after_a_refusal():
    """Guards against REFUSED: the connection is there only after the caller got "not run"."""

    async def script(site):
        opened = asyncio.Event()

        async def connect_late(*arguments, **options):
            await asyncio.sleep(0.15)
            opened.set()
            return await create_connection(*arguments, **options)

        loop = asyncio.get_running_loop()
        create_connection = loop.create_connection
        caller = await site.connect()
        loop.create_connection = connect_late
        try:
            caller.send(method="POST", path="/u/x", body=b"order", deadline=60)
            status, _, _ = await caller.read()
            await asyncio.sleep(0.6)
        finally:
            loop.create_connection = create_connection
        assert status == 503
        assert not list_runs(site)

    play(script)
