"""HTTP/1.1 connections to upstreams and to the platform, one request at a time on each.

The httptools parser runs on asyncio protocols here, since the rules ask what aiohttp does not tell:
whether a byte of a request has left, whether bytes follow a complete answer, and that no request is
ever sent a second time.
"""

import asyncio
import socket
from collections.abc import Callable
from typing import NamedTuple

import httptools

from ..clock import Clock

# A silent connection is found by keep-alive probes, and unacknowledged bytes end it, in this time.
SILENCE_MS = 3_000
_PROBE_INTERVAL_S = 1
_PROBES = 2
# An upstream may close an idle connection at its time-out; it is not used in this part before.
_IDLE_SHARE = 0.75
# Without a stated time-out, an idle connection is used for this long.
DEFAULT_IDLE_MS = 4_000.0


class HttpResponse(NamedTuple):
    """A complete response."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class HttpFailure(NamedTuple):
    """A request without a complete response; `is_sent` is false if no byte of it has left."""

    reason: str
    is_sent: bool


class ResponseSink(NamedTuple):
    """Who waits for a response: exactly one of `on_response` and `on_failure` is called.

    `accept` may turn a complete response away as another request's; reading then goes on.
    """

    accept: Callable[[HttpResponse], bool]
    on_response: Callable[[HttpResponse], None]
    on_failure: Callable[[HttpFailure], None]


def set_keep_alive(transport: asyncio.BaseTransport) -> None:
    """Make the kernel find out when the other end of this connection is silent for good."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    for level, option, value in (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS),
    ):
        sock.setsockopt(level, option, value)


class HttpConnection(asyncio.Protocol):
    """One connection; after a response it is idle and may be used again unless `is_usable` is no.

    `on_idle` is called when a response is complete, `on_closed` once when the connection is over.
    """

    def __init__(
        self,
        clock: Clock,
        on_idle: Callable[["HttpConnection"], None],
        on_closed: Callable[["HttpConnection"], None],
    ) -> None:
        self._clock = clock
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._sink: ResponseSink | None = None
        self._is_head = False
        self._is_broken = False
        self._is_tainted = False
        self._idle_ms = DEFAULT_IDLE_MS
        self.idle_since_ms = clock.now_ms()
        self._clear()

    def _clear(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._has_length = False
        self._has_message = False
        self._closes = False
        self._status = 0

    @property
    def is_usable(self) -> bool:
        """Return whether a request may be sent now."""
        return (
            self._sink is None
            and not self._is_broken
            and self._transport is not None
            and not self._transport.is_closing()
            and self._clock.now_ms() - self.idle_since_ms < self._idle_ms
        )

    def send(self, request: bytes, sink: ResponseSink, is_head: bool = False) -> None:
        """Write a request; the connection must be usable."""
        self._sink = sink
        self._is_head = is_head
        self._transport.write(request)

    def close(self) -> None:
        """Close an idle connection in order."""
        self._is_broken = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once; whoever waits for a response is not told."""
        self._sink = None
        self._is_broken = True
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        set_keep_alive(transport)

    def connection_lost(self, error: Exception | None) -> None:
        self._is_broken = True
        self._fail("reset" if error is not None else "closed")
        self._on_closed(self)

    def eof_received(self) -> bool:
        # A response without a length ends with its connection, if that is closed in order.
        is_open_ended = self._has_message and not self._has_length
        if self._sink is not None and is_open_ended and self._status >= 200:
            self._is_broken = True
            self._complete()
        return False

    def data_received(self, data: bytes) -> None:
        if self._sink is None:
            # Bytes that nobody asked for belong to no request.
            self._is_broken = True
            self._transport.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._is_broken = True
            self._fail("garbled")
            self._transport.abort()
            return
        if self._sink is None and self._is_broken:
            self._transport.close()
        elif self._sink is None:
            self._on_idle(self)

    def on_message_begin(self) -> None:
        if self._sink is None:
            self._is_broken = True
            return
        self._clear()
        self._has_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))
        lowered = name.lower()
        if lowered == b"content-length":
            self._has_length = True
        elif lowered == b"transfer-encoding":
            self._has_length = self._has_length or b"chunked" in value.lower()
        elif lowered == b"keep-alive":
            self._read_keep_alive(value)
        elif lowered == b"connection":
            self._closes = self._closes or b"close" in value.lower()

    def on_headers_complete(self) -> None:
        self._status = self._parser.get_status_code()
        if self._status in (204, 304):
            self._has_length = True
        if self._is_head and self._status >= 200 and self._sink is not None:
            self._is_broken = True
            self._complete()

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        if self._sink is None or self._status < 200:
            return
        if self._closes or not self._parser.should_keep_alive():
            self._is_broken = True
        self._complete()

    def _complete(self) -> None:
        response = HttpResponse(self._status, tuple(self._headers), b"".join(self._body))
        self._has_message = False
        sink = self._sink
        if not sink.accept(response):
            # What is due next may be the answer to this request, but nothing more is sent here.
            self._is_tainted = True
            if self._is_broken:
                self._fail("other_answer")
            return
        self._sink = None
        self.idle_since_ms = self._clock.now_ms()
        if self._is_tainted or self._transport.get_write_buffer_size() > 0:
            # In the second case the rest of the body is still due; closing lets it leave first.
            self._is_broken = True
        sink.on_response(response)

    def _fail(self, reason: str) -> None:
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.on_failure(HttpFailure(reason, True))

    def _read_keep_alive(self, value: bytes) -> None:
        for item in value.lower().split(b","):
            name, _, number = item.strip().partition(b"=")
            if name == b"timeout" and number.isdigit():
                self._idle_ms = int(number) * 1_000.0 * _IDLE_SHARE
