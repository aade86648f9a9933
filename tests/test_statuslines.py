"""Invalid status lines of upstreams: 000, 099, 600 and above, other protocols (issue 32)."""

import asyncio

import pytest
from gatewayworld import GatewaySetup, list_executed, run_scenario
from hypothesis import given, settings
from hypothesis import strategies as st
from test_upstream_client import MAX_CONNECTIONS, ScriptedUpstream, make_order, make_search

from citronpaddle.adapters.connections import DEFAULT_RECEIVE_LIMITS
from citronpaddle.adapters.httpclient import HttpConnection, HttpFailure, HttpResponse, ResponseSink
from citronpaddle.adapters.upstreams import HttpUpstreams
from citronpaddle.clock import SystemClock, VirtualClock
from citronpaddle.errors import ErrorKind
from citronpaddle.policy.buffers import ReceiveBudget

ODD_LINES = (
    "HTTP/1.1 000 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 600 OK",
    "HTTP/1.1 999 OK",
    "HTTP/1.1 1000 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 +20 OK",
    "HTTP/1.1 -20 OK",
    "HTTP/1.1 OK",
    "HTTP/1.1  OK",
    "HTTP/0.9 200 OK",
    "HTTP/2.0 200 OK",
    "HTTP/3 200 OK",
    "RTSP/1.0 200 OK",
    "ICE/1.0 200 OK",
    "ICY 200 OK",
    "200 OK",
    "http/1.1 200 OK",
)


def answer_with(line, upstream):
    """Return an `answer` that executes each request and sends a complete response with `line`."""

    def answer(request, connection):
        upstream.executed_requests.append(request)
        fields = [f"{name}: {value}" for name, value in upstream.make_headers(request).items()]
        head = "\r\n".join([line, *fields, f"Content-Length: {len(upstream.body)}", "", ""])
        connection.transport.write(head.encode() + upstream.body)
        return True

    return answer


async def ask_plainly(setup: GatewaySetup, path: str, attempt: str) -> tuple[bytes, bytes]:
    """Send a request and return the first line and the body of the answer, as they are."""
    caller = await setup.connect()
    caller.send(path=path, attempt=attempt, deadline=1_500)
    async with asyncio.timeout(20):
        head = await caller.reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
        body = await caller.reader.readexactly(length)
    caller.close()
    return head.partition(b"\r\n")[0], body


@pytest.mark.parametrize("line", ODD_LINES)
def test_odd_status_line_does_not_reach_the_caller(line):
    """Guards against an answer with status 000, or another invalid status line, to a caller."""

    async def scenario(setup):
        upstreams = setup.platform.upstreams
        upstreams["a"].answer = answer_with(line, upstreams["a"])
        for number in range(6):
            # A request that may run twice is answered by the other upstream.
            status_line, body = await ask_plainly(setup, "/p/x", f"s{number}")
            assert (status_line, body) == (b"HTTP/1.1 200 OK", upstreams["b"].body)
        upstreams["b"].answer = answer_with(line, upstreams["b"])
        for path in ("/p/x", "/u/x"):
            status_line, _ = await ask_plainly(setup, path, "t" + path)
            assert status_line == b"HTTP/1.1 502 Bad Gateway"
            attempts = [item.headers["citronpaddle-attempt-id"] for item in list_executed(setup)]
            # It has run, which the status of a refusal would deny; twice only if that is allowed.
            count = attempts.count("t" + path)
            assert count == 1 if path == "/u/x" else count >= 1

    run_scenario(scenario)


@pytest.mark.parametrize("line", ODD_LINES)
def test_odd_status_line_is_no_answer_of_the_own_interface(line):
    """Guards against a known outcome of a call with such an answer, whatever body it has."""

    async def run():
        def script(request_id):
            yield f"{line}\r\nX-Request-Id: {request_id}\r\nContent-Length: 2\r\n\r\n{{}}".encode()

        upstreams = HttpUpstreams(SystemClock())
        async with ScriptedUpstream(script) as upstream:
            reply = await upstreams.search(upstream.address, MAX_CONNECTIONS, make_search("s"))
            order = await upstreams.order(upstream.address, MAX_CONNECTIONS, make_order("o"))
            await upstreams.close()
        assert reply.error == order.kind == ErrorKind.OUTCOME_UNKNOWN
        assert "garbled" in order.message

    asyncio.run(run())


class Transport:
    """A transport that only records whether it was closed."""

    def get_extra_info(self, name):
        return None

    def write(self, data):
        pass

    def is_closing(self):
        return False

    def get_write_buffer_size(self):
        return 0

    def close(self):
        pass

    abort = close


def receive(packets, accept=lambda response: True):
    """Return the status and body of a response in these packets, or the reason of the failure."""
    results = []
    connection = HttpConnection(
        VirtualClock(0.0),
        ReceiveBudget(DEFAULT_RECEIVE_LIMITS),
        lambda connection: None,
        lambda connection: None,
    )
    connection.connection_made(Transport())
    connection.send(b"", ResponseSink(accept, results.append, results.append))
    for packet in packets:
        if not results:
            connection.data_received(packet)
    if not results:
        connection.connection_lost(None)
    (result,) = results
    if isinstance(result, HttpFailure):
        return result.reason
    assert isinstance(result, HttpResponse)
    return result.status, result.body


NUMBERS = st.one_of(
    st.integers(0, 1_100).map("{:03d}".format),
    st.sampled_from(["", "2", "20", "+20", "-01", "2e2", "0200", "20 0", "٢٠٠"]),
)
LINES = st.builds(
    "{} {}{}".format,
    st.sampled_from(["HTTP/1.1"] * 6 + ["HTTP/1.0", "HTTP/0.9", "HTTP/2.0", "RTSP/1.0", "ICE/1.0"]),
    NUMBERS,
    st.sampled_from([" OK", "", " ", "OK"]),
)


@settings(max_examples=600, deadline=None, derandomize=True)
@given(line=LINES, interim=st.sampled_from(["", "HTTP/1.1 100 Continue\r\n\r\n"]))
def test_status_line_is_judged_the_same_wherever_it_is_cut(line, interim):
    """Guards against a check that a cut status line, or one after an interim answer, passes by."""
    data = f"{interim}{line}\r\nContent-Length: 2\r\n\r\nok".encode()
    whole = receive([data])
    for at in range(1, len(data)):
        assert receive([data[:at], data[at:]]) == whole
    assert receive([data[at : at + 1] for at in range(len(data))]) == whole
    protocol, _, rest = line.partition(" ")
    is_status = rest[:3].isascii() and rest[:3].isdecimal() and 100 <= int(rest[:3]) <= 599
    if not (protocol in ("HTTP/1.0", "HTTP/1.1") and is_status and rest[3:] in (" OK", "", " ")):
        assert whole == "garbled"
    elif int(rest[:3]) >= 200 and int(rest[:3]) not in (204, 304):
        assert whole == (int(rest[:3]), b"ok")


@pytest.mark.parametrize("line", ["HTTP/1.1 600 OK", "HTTP/1.1 000 OK", "HTTP/0.9 200 OK"])
def test_odd_status_line_behind_the_response_to_another_request(line):
    """Guards against a check that ends with a late response to an earlier request."""
    late = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"
    data = late + f"{line}\r\nContent-Length: 2\r\n\r\nok".encode()
    for at in range(1, len(data)):
        result = receive([data[:at], data[at:]], lambda response: response.body != b"late")
        assert result == "garbled"
