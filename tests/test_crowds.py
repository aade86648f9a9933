"""Many callers outside the limits, against the program itself with lowered limits.

Guards against a process that exceeds its memory or its descriptors, or no longer answers ordinary
requests (issue 32). Crowds and bounds are fixed; they must not be thinned out to pass.
"""

import pytest
from crowdworld import MAX_BODY_BYTES, MAX_HEADER_BYTES, run_crowd

HEAD = (
    b"POST /p/x HTTP/1.1\r\nHost: h.example\r\nCitronpaddle-Attempt-Id: c%d\r\n"
    b"Citronpaddle-Deadline-Ms: 60000\r\n"
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
GET = HEAD.replace(b"POST", b"GET")
PACKET_BYTES = 65_536
# More connections than the process may have sockets.
MANY = 300
pytestmark = pytest.mark.crowd


def repeat(piece, total_bytes):
    """Yield packets that repeat `piece` up to about `total_bytes`."""
    packet = piece * (PACKET_BYTES // len(piece))
    for _ in range(total_bytes // len(packet)):
        yield packet


def test_trailers_without_end_are_not_kept(tmp_path):
    """Guards against trailers of a chunked body that are kept as headers, without a limit."""

    def make_packets(number):
        yield CHUNKED % number + b"1\r\nx\r\n0\r\n"
        yield from repeat(b"a:b\r\n", 2_000_000)

    run_crowd(tmp_path, lambda process, crowd: crowd.send(20, make_packets))


@pytest.mark.parametrize("chunk_bytes", [16_384, 3], ids=["large_chunks", "small_chunks"])
def test_many_chunked_bodies_that_stop_short_of_their_end(tmp_path, chunk_bytes):
    """Guards against bodies that only together exceed the limit; small chunks cost most."""
    count, body_bytes = (300, MAX_BODY_BYTES) if chunk_bytes > 3 else (100, 60_000)
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    body = chunk * (body_bytes // chunk_bytes)

    def make_packets(number):
        yield CHUNKED % number
        for at in range(0, len(body), PACKET_BYTES):
            yield body[at : at + PACKET_BYTES]
        # One of ten ends its body; the others lack the last byte of the last chunk's line.
        yield b"0\r\n\r\n" if number % 10 == 0 else b"0\r\n\r"

    run_crowd(tmp_path, lambda process, crowd: crowd.send(count, make_packets))


def test_heads_over_the_limit_and_without_end_in_one_packet(tmp_path):
    """Guards against a head that is measured only after its packet is parsed into headers."""

    def make_packets(number):
        yield GET % number + b"a:b\r\n" * 52_000
        yield from repeat(b"a:b\r\n", 1_000_000)

    run_crowd(tmp_path, lambda process, crowd: crowd.send(MANY, make_packets))


def test_heads_over_the_limit_and_without_end_byte_by_byte(tmp_path):
    """Guards against heads without an end that hold any number of connections."""

    def make_packets(number):
        # Some hundred bytes one by one; the rest of a long head is due after that.
        yield GET % number + b"a:b\r\n" * (MAX_HEADER_BYTES // 5 - 60)
        for _ in range(200):
            yield b"a"

    run_crowd(tmp_path, lambda process, crowd: crowd.send(MANY, make_packets))


def test_empty_lines_without_end_before_a_request(tmp_path):
    """Guards against empty lines before a request that are not counted or have no timer."""

    def make_packets(number):
        yield from repeat(b"\r\n", 1_000_000)

    run_crowd(tmp_path, lambda process, crowd: crowd.send(MANY, make_packets))


def test_chunk_extensions_without_end(tmp_path):
    """Guards against chunk extensions that are not counted."""

    def make_packets(number):
        yield CHUNKED % number + b"1\r\nx\r\n1;a="
        yield from repeat(b"b", 2_000_000)

    run_crowd(tmp_path, lambda process, crowd: crowd.send(MANY, make_packets))


@pytest.mark.parametrize("port", ["directory", "ready"])
def test_the_other_listening_sockets_share_the_limits(tmp_path, port):
    """Guards against limits and timers that the sockets for other purposes don't have."""

    def make_packets(number):
        yield CHUNKED % number
        body = b"4000\r\n%s\r\n" % (b"x" * 16_384) * 15
        for at in range(0, len(body), PACKET_BYTES):
            yield body[at : at + PACKET_BYTES]
        yield from repeat(b"\r\n", 1_000_000)

    run_crowd(tmp_path, lambda process, crowd: crowd.send(MANY, make_packets, port))


def test_many_requests_behind_one_that_is_in_progress(tmp_path):
    """Guards against parsing and keeping all requests that are sent ahead of answers."""
    get = GET.replace(b"/p/x", b"/silent/x")

    def make_packets(number):
        yield get % number + b"\r\n"
        yield from repeat(get % number + b"\r\n", 1_000_000)

    run_crowd(tmp_path, lambda process, crowd: crowd.send(60, make_packets))


def test_bodies_of_one_byte_chunks_that_stop_short_of_their_end(tmp_path):
    """Guards against small pieces, which take most processor time, and never make a request."""

    def make_packets(number):
        yield CHUNKED % number
        yield from repeat(b"1\r\nx\r\n", 400_000)

    run_crowd(tmp_path, lambda process, crowd: crowd.send(MANY, make_packets))


def test_short_trailers_without_end_on_one_connection_after_the_other(tmp_path):
    """Guards against callers that are refused and come back at once with the same."""

    def make_packets(number):
        yield CHUNKED % number + b"1\r\nx\r\n0\r\n"
        yield from repeat(b"a:b\r\n", 200_000)

    async def scenario(process, crowd):
        for _ in range(4):
            await crowd.send(100, make_packets)

    run_crowd(tmp_path, scenario)
