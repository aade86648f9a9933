"""Order in which the requests of many connections are parsed, by counted work instead of time.

The bytes of all callers are in memory when the event loop begins. What is counted is the work on
the requests of the crowd, in calls of the parser, before an ordinary request is handled.
"""

import asyncio

import pytest
from test_cuts import Transport

from citronpaddle.adapters.callerconnections import CallerConnection, RequestHandler
from citronpaddle.adapters.counts import Counts
from citronpaddle.adapters.httpserver import HttpAnswer
from citronpaddle.adapters.intake import Intake
from citronpaddle.adapters.openconnections import Connections
from citronpaddle.clock import SystemClock
from citronpaddle.policy.catalog import CallerLimits
from citronpaddle.policy.receiving import CallerBudgetLimits

LIMITS = CallerLimits(max_header_bytes=8_192, max_body_bytes=262_144)
CROWD = 64
# The bound for all work before an ordinary request: that of two connections of a crowd of 64.
MAX_WORK = 4_000
PACKET_BYTES = 12_000
HEAD = b"POST /p/x HTTP/1.1\r\nHost: h.example\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ORDINARY = b"GET /ordinary HTTP/1.1\r\nHost: h.example\r\n\r\n"
ONE_BYTE_CHUNK = b"1\r\nx\r\n"
FIELD = b"a:b\r\n"
CROWDS = {
    "chunks": CHUNKED + ONE_BYTE_CHUNK * (PACKET_BYTES // len(ONE_BYTE_CHUNK)),
    "trailers": CHUNKED + b"1\r\nx\r\n0\r\n" + FIELD * (PACKET_BYTES // len(FIELD)),
    "fields": HEAD + FIELD * 1_600 + b"\r\n",
}


class CountingConnection(CallerConnection):
    """Counts the calls of the parser for all requests but the ordinary ones."""

    work = 0

    def on_header(self, name, value):
        CountingConnection.work += 1
        super().on_header(name, value)

    def on_body(self, body):
        CountingConnection.work += 1
        super().on_body(body)


class Service(RequestHandler):
    """Answers each request at once, and records the work that was done before an ordinary one."""

    def __init__(self):
        self.work_before = []
        self.served = 0

    def get_limits(self):
        return LIMITS

    def handle(self, request, connection):
        if request.target == b"/ordinary":
            self.work_before.append(CountingConnection.work)
        self.served += 1
        connection.answer(HttpAnswer(200, (), b""))

    def handle_disconnect(self, connection):
        """Do nothing."""


class World:
    """Connections of one process that share its limits."""

    def __init__(self):
        CountingConnection.work = 0
        self.service = Service()
        self._clock = SystemClock()
        self._intake = Intake(CallerBudgetLimits(64_000_000, 1_000), self._clock, None, Counts())

    def connect(self, make=CountingConnection):
        connection = make(self.service, self._clock, Connections(), self._intake)
        connection.connection_made(Transport())
        return connection


async def run_passes(is_done, most=20_000):
    """Run passes of the event loop until `is_done`."""
    for _ in range(most):
        if is_done():
            return
        await asyncio.sleep(0)
    raise AssertionError("not done")


@pytest.mark.parametrize("crowd", CROWDS)
def test_ordinary_request_is_parsed_before_the_bytes_of_a_crowd(crowd):
    """Guards against a pass of the event loop that parses all that each connection has received."""

    async def run():
        world = World()
        for _ in range(CROWD):
            world.connect().data_received(CROWDS[crowd])
        world.connect(CallerConnection).data_received(ORDINARY)
        await run_passes(lambda: world.service.work_before)
        assert world.service.work_before[0] < MAX_WORK

    asyncio.run(run())


def test_ordinary_requests_are_parsed_while_a_crowd_is():
    """Guards against a crowd that takes most of the passes once its first bytes are parsed."""

    async def run():
        world = World()
        service = world.service
        for _ in range(CROWD):
            world.connect().data_received(CROWDS["chunks"])
        ordinary = world.connect(CallerConnection)
        for number in range(20):
            work = CountingConnection.work
            ordinary.data_received(ORDINARY)
            await run_passes(lambda number=number: len(service.work_before) > number)
            assert service.work_before[-1] - work < MAX_WORK

    asyncio.run(run())


def test_bodies_of_one_byte_chunks_inside_the_limits_are_served():
    """Guards against refusing or forgetting a costly request that no limit forbids."""

    async def run():
        world = World()
        body = ONE_BYTE_CHUNK * 20_000 + b"0\r\n\r\n"
        for _ in range(8):
            connection = world.connect()
            data = CHUNKED + body
            for at in range(0, len(data), PACKET_BYTES):
                connection.data_received(data[at : at + PACKET_BYTES])
        await run_passes(lambda: world.service.served == 8)

    asyncio.run(run())
