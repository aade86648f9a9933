"""HTTP/1.1 client connections to upstreams and the platform, one request at a time on each.

Uses the httptools parser on asyncio protocols, since aiohttp does not report whether any byte of a
request was written or whether bytes follow a complete response, and does not guarantee that a
request is never sent twice.
"""

import asyncio
import socket
from collections.abc import Callable
from typing import NamedTuple

import httptools

from ..clock import Clock
from ..policy.buffers import FIELD_COST_BYTES, ReceiveBudget
from ..policy.responsesizes import ResponseSizes, ResponseTooLargeError
from .statusline import StatusLineCheck, is_http_1

# Time after which an unresponsive connection is closed: by keep-alive probes if it is idle, by
# TCP_USER_TIMEOUT if sent bytes are not acknowledged.
UNRESPONSIVE_TIMEOUT_MS = 3_000
_PROBE_INTERVAL_S = 1
_PROBES = 2
# An upstream may close an idle connection at its timeout; the connection is reused only during this
# share of the timeout.
_IDLE_TIMEOUT_SHARE = 0.75
# Time for which an idle connection is reused if the upstream advertises no timeout.
DEFAULT_MAX_IDLE_MS = 4_000.0
# An advertised idle timeout with more digits is ignored.
_MAX_TIMEOUT_DIGITS = 9


class HttpResponse(NamedTuple):
    """A complete response."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class HttpFailure(NamedTuple):
    """A request without a complete response; `is_sent` is false if no byte of it was written."""

    reason: str
    is_sent: bool


class ResponseSink(NamedTuple):
    """The callbacks of a request: exactly one of `on_response` and `on_failure` is called.

    `accept` returns false for a complete response that belongs to another request; the connection
    then continues to read.
    """

    accept: Callable[[HttpResponse], bool]
    on_response: Callable[[HttpResponse], None]
    on_failure: Callable[[HttpFailure], None]


def set_keep_alive(transport: asyncio.BaseTransport) -> None:
    """Set TCP_NODELAY, and make the kernel detect a peer that has become unreachable."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    for level, option, value in (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNRESPONSIVE_TIMEOUT_MS),
    ):
        sock.setsockopt(level, option, value)


class HttpConnection(asyncio.Protocol):
    """One connection; after a response it is idle and may be reused while `is_usable` is true.

    `on_idle` is called when a response is complete, `on_closed` once when the connection is lost.
    A response over the size limits fails and ends the connection, since an upstream may send
    without end.
    """

    def __init__(
        self,
        clock: Clock,
        budget: ReceiveBudget,
        on_idle: Callable[["HttpConnection"], None],
        on_closed: Callable[["HttpConnection"], None],
    ) -> None:
        self._clock = clock
        self._budget = budget
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._sink: ResponseSink | None = None
        self._is_head = False
        self._must_not_reuse = False
        self._has_rejected_response = False
        self._sizes = ResponseSizes()
        # Memory of the response that the budget does not know yet.
        self._uncounted_bytes = 0
        self._has_final_head = False
        self._status_line = StatusLineCheck()
        self._max_idle_ms = DEFAULT_MAX_IDLE_MS
        self.idle_since_ms = clock.now_ms()
        self._clear()

    def _clear(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: bytes | bytearray = b""
        self._has_length = False
        self._has_message = False
        self._closes_after_response = False
        self._are_headers_complete = False
        self._status = 0

    @property
    def is_usable(self) -> bool:
        """Return whether a request may be sent now."""
        return (
            self._sink is None
            and not self._must_not_reuse
            and self._transport is not None
            and not self._transport.is_closing()
            and self._clock.now_ms() - self.idle_since_ms < self._max_idle_ms
        )

    def send(self, request: bytes, sink: ResponseSink, is_head: bool = False) -> None:
        """Write a request, whose response goes to `sink`; the connection must be usable."""
        self._sink = sink
        self._is_head = is_head
        self._sizes.reset()
        self._uncounted_bytes = 0
        self._has_final_head = False
        self._status_line.reset()
        self._transport.write(request)

    def close(self) -> None:
        """Close an idle connection gracefully."""
        self._must_not_reuse = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once, without calling the sink of a request in progress."""
        self._end_request()
        self._must_not_reuse = True
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        set_keep_alive(transport)

    def connection_lost(self, error: Exception | None) -> None:
        self._must_not_reuse = True
        self._fail("reset" if error is not None else "closed")
        self._on_closed(self)

    def eof_received(self) -> bool:
        # A response without a length ends where the peer closes the connection gracefully.
        ends_with_connection = self._has_message and not self._has_length
        if self._sink is not None and ends_with_connection and self._status >= 200:
            self._must_not_reuse = True
            self._complete()
        return False

    def data_received(self, data: bytes) -> None:
        if self._sink is None:
            # Bytes received while no request is open belong to no response.
            self._must_not_reuse = True
            self._transport.abort()
            return
        try:
            self._sizes.add_packet()
            self._count_held(len(data))
            self._feed(data)
        except ResponseTooLargeError:
            self.give_up("oversized")
            return
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, ResponseTooLargeError):
                self.give_up("oversized")
                return
            # An error of ours, not of the upstream: the event loop's handler logs it.
            self.give_up("internal_error")
            raise
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.give_up("garbled")
            return
        if self._sink is None and self._must_not_reuse:
            self._transport.close()
        elif self._sink is None:
            self._on_idle(self)

    def _count_held(self, size_bytes: int) -> None:
        """Count memory; fail the response that is to be given up if the limit is exceeded."""
        oversized = self._budget.record(self, size_bytes)
        if oversized is self:
            raise ResponseTooLargeError("bytes")
        if oversized is not None:
            oversized.give_up("oversized")

    def _feed(self, data: bytes) -> None:
        """Feed the parser in slices, and check each status line up to that of the final response.

        Stop when the request has failed.
        """
        start = 0
        while start < len(data) and self._sink is not None:
            is_head = not self._has_final_head
            piece = data[start : self._sizes.find_slice_end(start, len(data), is_head)]
            if is_head:
                piece = piece[: self._status_line.check(piece, 0)]
            self._sizes.add_slice(len(piece), is_head)
            self._parser.feed_data(piece)
            start += len(piece)
            if self._sink is not None and self._uncounted_bytes:
                self._count_held(self._uncounted_bytes)
                self._uncounted_bytes = 0
        if start < len(data):
            # Bytes after the complete response belong to no response.
            self._must_not_reuse = True

    def give_up(self, reason: str) -> None:
        """Fail the request in progress and close the connection at once."""
        self._must_not_reuse = True
        self._fail(reason)
        self._transport.abort()

    def on_message_begin(self) -> None:
        if self._sink is None:
            self._must_not_reuse = True
            return
        self._clear()
        self._has_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self._sizes.add_field()
        if self._are_headers_complete:
            # A trailer field after a chunked body is no part of the head.
            return
        self._uncounted_bytes += FIELD_COST_BYTES
        self._headers.append((name, value))
        lowered = name.lower()
        if lowered == b"content-length":
            self._has_length = True
        elif lowered == b"transfer-encoding":
            self._has_length = self._has_length or b"chunked" in value.lower()
        elif lowered == b"keep-alive":
            self._read_keep_alive(value)
        elif lowered == b"connection":
            self._closes_after_response = self._closes_after_response or b"close" in value.lower()

    def on_headers_complete(self) -> None:
        self._are_headers_complete = True
        self._status = self._parser.get_status_code()
        if not is_http_1(self._status, self._parser.get_http_version()):
            # A response that follows another one in the same packet has no check of its own bytes.
            self.give_up("garbled")
            return
        if self._status < 200:
            self._sizes.add_other_response()
        self._has_final_head = self._has_final_head or self._status >= 200
        if self._status in (204, 304):
            self._has_length = True
        if self._is_head and self._status >= 200 and self._sink is not None:
            self._must_not_reuse = True
            self._complete()

    def on_chunk_header(self) -> None:
        self._sizes.add_chunk()

    def on_body(self, body: bytes) -> None:
        self._sizes.add_body(len(body))
        if not self._body:
            self._body = body
            return
        if not isinstance(self._body, bytearray):
            # One buffer: a list of pieces would cost far more memory than their bytes.
            self._body = bytearray(self._body)
        self._body += body

    def on_message_complete(self) -> None:
        if self._sink is None or self._status < 200:
            return
        if self._closes_after_response or not self._parser.should_keep_alive():
            self._must_not_reuse = True
        self._complete()

    def _complete(self) -> None:
        response = HttpResponse(self._status, tuple(self._headers), bytes(self._body))
        self._has_message = False
        sink = self._sink
        if not sink.accept(response):
            # The response to this request may follow, but the connection is not reused after it.
            self._has_rejected_response = True
            self._sizes.add_other_response()
            self._has_final_head = False
            self._status_line.reset()
            if self._must_not_reuse:
                self._fail("other_answer")
            return
        self._end_request()
        self.idle_since_ms = self._clock.now_ms()
        if self._has_rejected_response or self._transport.get_write_buffer_size() > 0:
            # In the second case part of the request body is unsent; close() flushes it first.
            self._must_not_reuse = True
        sink.on_response(response)

    def _end_request(self) -> None:
        self._sink = None
        self._body = b""
        self._budget.release(self)

    def _fail(self, reason: str) -> None:
        sink = self._sink
        self._end_request()
        if sink is not None:
            sink.on_failure(HttpFailure(reason, True))

    def _read_keep_alive(self, value: bytes) -> None:
        for item in value.lower().split(b","):
            name, _, number = item.strip().partition(b"=")
            if name == b"timeout" and number.isdigit() and len(number) <= _MAX_TIMEOUT_DIGITS:
                self._max_idle_ms = int(number) * 1_000.0 * _IDLE_TIMEOUT_SHARE
