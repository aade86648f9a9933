"""Property tests: answers do not depend on how requests are cut into packets."""

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from citronpaddle.adapters.callerconnections import CallerConnection, RequestHandler
from citronpaddle.adapters.counts import Counts
from citronpaddle.adapters.httpserver import HttpAnswer
from citronpaddle.adapters.intake import Intake
from citronpaddle.adapters.openconnections import Connections
from citronpaddle.clock import VirtualClock
from citronpaddle.policy.catalog import CallerLimits
from citronpaddle.policy.receiving import CallerBudgetLimits

LIMITS = CallerLimits(max_header_bytes=300, max_body_bytes=2_000)


class Transport:
    """Collects what is written; reading that is paused holds back further packets."""

    def __init__(self):
        self.written = b""
        self.is_closed = self.is_paused = self.is_aborted = False

    def get_extra_info(self, name):
        return None

    def write(self, data):
        self.written += data

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False

    def close(self):
        self.is_closed = True

    def abort(self):
        self.is_aborted = True


class Echo(RequestHandler):
    """Answers with the request, at once or in a later turn of the event loop."""

    def __init__(self, is_late):
        self.is_late = is_late
        self.requests = []

    def get_limits(self):
        return LIMITS

    def handle(self, request, connection):
        self.requests.append(request._replace(received_ms=0.0))
        answer = HttpAnswer(200, (), b"%s %s" % (request.method, request.target))
        if self.is_late:
            asyncio.get_running_loop().call_soon(connection.answer, answer)
        else:
            connection.answer(answer)

    def handle_disconnect(self, connection):
        raise AssertionError


def make_connection(service, held_bytes=10_000_000):
    clock = VirtualClock(0.0)
    intake = Intake(CallerBudgetLimits(held_bytes, 10), clock, None, Counts())
    connection = CallerConnection(service, clock, Connections(), intake)
    transport = Transport()
    connection.connection_made(transport)
    return connection, transport, intake


def serve(packets, is_late=False):
    """Return what a connection writes, whether it closes, and the requests that it accepts."""

    async def run():
        service = Echo(is_late)
        connection, transport, intake = make_connection(service)
        for packet in packets:
            while transport.is_paused:  # noqa: ASYNC110 - the next turn may resume it
                await asyncio.sleep(0)
            if not transport.is_closed:
                connection.data_received(packet)
        for _ in range(60):
            await asyncio.sleep(0)
        connection.connection_lost(None)
        assert intake.held_bytes == 0
        return transport.written, transport.is_closed, service.requests

    return asyncio.run(run())


def cut(data, places):
    """Return the pieces of `data` between the given places."""
    bounds = [0, *sorted({place % (len(data) + 1) for place in places}), len(data)]
    return [data[a:b] for a, b in zip(bounds, bounds[1:], strict=False) if a < b]


def encode_chunks(body, size, extension, trailers):
    chunks = [body[at : at + size] for at in range(0, len(body), size)]
    lines = [b"%x%s\r\n%s\r\n" % (len(chunk), extension, chunk) for chunk in chunks]
    return b"".join([*lines, b"0\r\n", *trailers, b"\r\n"])


@st.composite
def make_request(draw):
    """A request inside the limits, or one that exceeds one of them or is malformed."""
    empty_lines = b"\r\n" * draw(st.sampled_from([0, 0, 1, 3, 150, 200]))
    field = b"X: %s\r\n" % (b"y" * draw(st.integers(0, 260)))
    body = draw(st.sampled_from([b"", b"x", b"\r\n\r\n", b"ab\r\n\r\n" * 30, b"z" * 2_000]))
    body *= draw(st.sampled_from([1, 1, 1, 2]))
    kind = draw(st.sampled_from(["get", "head", "length", "chunks", "malformed"]))
    if kind in ("get", "head"):
        return empty_lines + b"%s /a HTTP/1.1\r\n%s\r\n" % (kind.upper().encode(), field)
    if kind == "malformed":
        return b"POST /b HTTP/1.1\r\nContent-Length: x1\r\n\r\n"
    head = empty_lines + b"POST /c HTTP/1.1\r\n" + field
    if kind == "length":
        return head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    trailers = [b"T: %s\r\n" % (b"t" * draw(st.integers(0, 60)))] * draw(st.integers(0, 8))
    extension = draw(st.sampled_from([b"", b";e=1", b";e=" + b"f" * 400]))
    content = encode_chunks(body, draw(st.sampled_from([1, 7, 3_000])), extension, trailers)
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + content


@settings(max_examples=400, deadline=None, derandomize=True)
@given(
    requests=st.lists(make_request(), min_size=1, max_size=4),
    places=st.lists(st.integers(0, 20_000), max_size=12),
    is_late=st.booleans(),
)
def test_answers_do_not_depend_on_cuts(requests, places, is_late):
    """Guards against counters that continue over requests, or that depend on the packets."""
    data = b"".join(requests)
    whole = serve([data])
    assert serve(cut(data, places), is_late) == whole
    assert serve([data[at : at + 1] for at in range(len(data))], is_late) == whole


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    size=st.integers(0, 2_000), chunk=st.sampled_from([0, 1, 100, 2_000]), count=st.integers(1, 5)
)
def test_requests_inside_the_limits_are_served(size, chunk, count):
    """Guards against the refusal of a request inside the limits, in any packets."""
    body = b"x" * size
    head = b"POST /c HTTP/1.1\r\nX: %s\r\n" % (b"y" * 200)
    if chunk:
        request = head + b"Transfer-Encoding: chunked\r\n\r\n" + encode_chunks(body, chunk, b"", [])
    else:
        request = head + b"Content-Length: %d\r\n\r\n%s" % (size, body)
    written, is_closed, requests = serve(cut(request * count, range(0, 9_999, 97)))
    assert [item.body for item in requests] == [body] * count
    assert written.count(b"HTTP/1.1 200 OK") == count and not is_closed


def test_closing_connection_whose_caller_reads_nothing_is_aborted():
    """Guards against unread answers that are kept for as long as their callers stay connected."""
    connection, transport, _ = make_connection(Echo(False))
    connection.data_received(b"GET /a HTTP/1.1\r\nConnection: close\r\n\r\n")
    assert transport.is_closed
    connection.close_overdue(LIMITS.idle_timeout_ms)
    assert not transport.is_aborted
    connection.close_overdue(LIMITS.idle_timeout_ms + 1.0)
    assert transport.is_aborted
