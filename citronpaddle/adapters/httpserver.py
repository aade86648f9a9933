"""HTTP/1.1 server for callers: complete requests and answers, one at a time per connection.

Uses the httptools parser on asyncio protocols, since uvicorn does not report at once that a caller
has disconnected, nor whether a request was read when a connection is closed.
"""

import asyncio
import socket
import struct
from abc import ABC, abstractmethod
from collections import deque
from typing import NamedTuple

import httptools

from ..clock import Clock
from ..policy.catalog import CallerLimits
from .httpclient import set_keep_alive

_REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
# The smoothed round-trip time in us (tcpi_rtt) in the kernel's struct tcp_info.
_ROUND_TRIP_US = struct.Struct("I")
_ROUND_TRIP_OFFSET_BYTES = 68
_TCP_INFO_BYTES = 104
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Header fields that apply to a single connection, and those that are set anew on each connection.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


class HttpRequest(NamedTuple):
    """A complete request; `target` is the request target as the caller sent it."""

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    received_ms: float


class HttpAnswer(NamedTuple):
    """An answer; `headers` are without connection headers and Content-Length."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""


class RequestHandler(ABC):
    """Handles requests; each one ends with an `answer` on its connection or with a disconnect."""

    @abstractmethod
    def get_limits(self) -> CallerLimits:
        """Return the current limits for requests and connections."""

    @abstractmethod
    def handle(self, request: HttpRequest, connection: "CallerConnection") -> None:
        """Handle a request; call `connection.answer` once, now or later."""

    @abstractmethod
    def handle_disconnect(self, connection: "CallerConnection") -> None:
        """Handle the disconnect of the caller whose request is in progress."""


def list_end_to_end(
    headers: tuple[tuple[bytes, bytes], ...], drop: frozenset[bytes] = frozenset()
) -> list[tuple[bytes, bytes]]:
    """Return the headers without hop-by-hop headers and those in `drop` (lower case)."""
    connection_options = {
        name.strip()
        for header, value in headers
        if header.lower() == b"connection"
        for name in value.lower().split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if (lowered := name.lower()) not in HOP_BY_HOP
        and lowered not in connection_options
        and lowered not in drop
    ]


class CallerConnection(asyncio.Protocol):
    """One connection of a caller; pipelined requests wait until the current one is answered."""

    def __init__(self, service: RequestHandler, clock: Clock, connections: "Connections") -> None:
        self._service = service
        self._clock = clock
        self._connections = connections
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._pipelined: deque[tuple[HttpRequest, bool]] = deque()
        self._keeps_alive = True
        # Whether no request of this connection has been answered yet.
        self.is_first = True
        self._is_closed = False
        self._read_start_ms: float | None = None
        self._idle_since_ms = clock.now_ms()
        self._header_bytes = 0
        self._are_headers_complete = True
        self.is_busy = False
        self._clear()

    def _clear(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        set_keep_alive(transport)
        self._connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self._is_closed = True
        self._connections.discard(self)
        self._pipelined.clear()
        if self.is_busy:
            self.is_busy = False
            self._service.handle_disconnect(self)

    def data_received(self, data: bytes) -> None:
        if self._is_closed:
            return
        if self._read_start_ms is None and not self.is_busy:
            self._read_start_ms = self._clock.now_ms()
        if not self._are_headers_complete or self._read_start_ms is not None:
            self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reject(400)
            return
        limits = self._service.get_limits()
        if not self._are_headers_complete and self._header_bytes > limits.max_header_bytes:
            self._reject(431)
        elif self._body_bytes > limits.max_body_bytes:
            self._reject(413)

    def on_message_begin(self) -> None:
        self._clear()
        self._are_headers_complete = False
        if self._read_start_ms is None:
            self._read_start_ms = self._clock.now_ms()

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))
        if name.lower() == b"expect" and value.lower() == b"100-continue" and not self.is_busy:
            self._transport.write(_CONTINUE_RESPONSE)

    def on_headers_complete(self) -> None:
        self._are_headers_complete = True
        self._header_bytes = 0

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        if self._body_bytes <= self._service.get_limits().max_body_bytes:
            self._body.append(body)

    def on_message_complete(self) -> None:
        self._read_start_ms = None
        request = HttpRequest(
            self._parser.get_method(),
            self._target,
            tuple(self._headers),
            b"".join(self._body),
            self._clock.now_ms(),
        )
        if self._body_bytes > self._service.get_limits().max_body_bytes:
            return
        self._pipelined.append((request, self._parser.should_keep_alive()))
        self._handle_next()
        if self._pipelined and not self._is_closed:
            self._transport.pause_reading()

    def _handle_next(self) -> None:
        if self.is_busy or self._is_closed or not self._pipelined:
            return
        request, self._keeps_alive = self._pipelined.popleft()
        self.is_busy = True
        self._service.handle(request, self)

    def answer(self, answer: HttpAnswer) -> None:
        """Send the answer to the request in progress, then handle the next pipelined request.

        Nothing is sent if no request is in progress or the connection is closed.
        """
        if not self.is_busy or self._is_closed:
            return
        self.is_busy = False
        self.is_first = False
        self._idle_since_ms = self._clock.now_ms()
        closes_connection = not self._keeps_alive or self._connections.is_closing
        self._transport.write(_format_answer(answer, closes_connection))
        if closes_connection:
            self._close()
            return
        if self._pipelined:
            asyncio.get_running_loop().call_soon(self._handle_next_and_resume)

    def answer_and_close(self, answer: HttpAnswer) -> None:
        """Send the answer to the request in progress and close the connection."""
        self._keeps_alive = False
        self.answer(answer)

    def _handle_next_and_resume(self) -> None:
        self._handle_next()
        if not self._pipelined and not self._is_closed:
            self._transport.resume_reading()

    def estimate_round_trip_ms(self) -> float | None:
        """Return the network time of a request and its answer in ms, or None if unknown."""
        sock = self._transport.get_extra_info("socket")
        try:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
        except OSError:
            return None
        if len(info) < _ROUND_TRIP_OFFSET_BYTES + _ROUND_TRIP_US.size:
            return None
        return _ROUND_TRIP_US.unpack_from(info, _ROUND_TRIP_OFFSET_BYTES)[0] / 1_000

    def close_overdue(self, now_ms: float) -> None:
        """Close the connection if its request headers or its next request are overdue."""
        limits = self._service.get_limits()
        if self.is_busy or self._is_closed:
            return
        if self._read_start_ms is not None:
            if now_ms - self._read_start_ms > limits.header_timeout_ms:
                if not self._are_headers_complete:
                    self._reject(408)
        elif now_ms - self._idle_since_ms > limits.idle_timeout_ms:
            self._close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or is in progress."""
        if not self.is_busy and self._read_start_ms is None:
            self._close()

    def _reject(self, status: int) -> None:
        if self.is_busy:
            # The request in progress is still answered; the connection is closed after that.
            self._keeps_alive = False
            self._transport.pause_reading()
            return
        self._transport.write(_format_answer(HttpAnswer(status), True))
        self._close()

    def _close(self) -> None:
        if not self._is_closed:
            self._is_closed = True
            self._transport.close()


class Connections:
    """The open connections of callers; once `is_closing`, each answer closes its connection."""

    def __init__(self) -> None:
        self.is_closing = False
        self._open: set[CallerConnection] = set()
        self._connection_closed = asyncio.Event()

    def __len__(self) -> int:
        return len(self._open)

    def add(self, connection: CallerConnection) -> None:
        """Add a new connection."""
        self._open.add(connection)

    def discard(self, connection: CallerConnection) -> None:
        """Remove a closed connection and wake `wait_for_close`."""
        self._open.discard(connection)
        self._connection_closed.set()

    def count_busy(self) -> int:
        """Return the number of requests in progress."""
        return sum(1 for connection in self._open if connection.is_busy)

    async def wait_for_close(self, timeout_ms: float) -> None:
        """Return when a connection is closed, or after the timeout."""
        self._connection_closed.clear()
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                await self._connection_closed.wait()
        except TimeoutError:
            return

    def close_overdue(self, now_ms: float) -> None:
        """Close connections whose request headers or next request are overdue."""
        for connection in list(self._open):
            connection.close_overdue(now_ms)

    def close_idle(self) -> None:
        """Close the connections on which no request is being read or in progress."""
        for connection in list(self._open):
            connection.close_if_idle()


def _format_answer(answer: HttpAnswer, closes_connection: bool) -> bytes:
    reason = _REASON_PHRASES.get(answer.status, b"Status")
    lines = [b"HTTP/1.1 %d %s\r\n" % (answer.status, reason)]
    lines += [b"%s: %s\r\n" % header for header in answer.headers]
    if answer.status not in (204, 304) and answer.status >= 200:
        lines.append(b"Content-Length: %d\r\n" % len(answer.body))
    if closes_connection:
        lines.append(b"Connection: close\r\n")
    lines.append(b"\r\n")
    lines.append(answer.body)
    return b"".join(lines)
