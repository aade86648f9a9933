"""HTTP/1.1 server for callers: complete requests and answers, one at a time per connection.

Uses the httptools parser on asyncio protocols, since uvicorn does not report at once that a caller
has disconnected, nor whether a request was read when a connection is closed.
"""

import asyncio
from abc import ABC, abstractmethod
from typing import Any

import httptools

from ..clock import Clock
from ..policy.catalog import CallerLimits
from ..policy.receiving import UNCOUNTED_BYTES, ConnectionState, LimitReason, Phase, is_body_overdue
from ..policy.turns import MIN_TURN_BYTES, REQUEST_WORK, choose_turn_bytes
from .framing import MessageSizes
from .httpclient import set_keep_alive
from .httpserver import HttpAnswer, HttpRequest, format_answer
from .intake import Intake, LimitedConnection
from .openconnections import Connections, OpenConnection
from .roundtrips import read_round_trip_ms

_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
_STATUS_OF_EXCESS = {
    LimitReason.HEADER_BYTES: 431,
    LimitReason.BODY_BYTES: 413,
    LimitReason.FRAMING_BYTES: 431,
    LimitReason.TRAILER_BYTES: 431,
}
# Sent with a refusal for lack of memory or connections; the value is in seconds.
_RETRY_AFTER = ((b"Retry-After", b"1"),)
# Bytes that a connection keeps until they are parsed; above that, reading pauses.
MAX_UNPARSED_BYTES = 16_384


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


class CallerConnection(asyncio.BufferedProtocol, LimitedConnection, OpenConnection):
    """One connection of a caller; requests are read one after the other.

    Bytes are kept until it is the connection's turn to parse some of them, and while a request is
    in progress.
    """

    def __init__(
        self, service: RequestHandler, clock: Clock, connections: Connections, intake: Intake
    ) -> None:
        self._service = service
        self._clock = clock
        self._connections = connections
        self._intake = intake
        self._limits = CallerLimits()
        self._sizes = MessageSizes()
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._keeps_alive = True
        self._has_completed = False
        # Whether no request of this connection has been answered yet.
        self.is_first = True
        self._is_closed = False
        self._closed_ms = 0.0
        self._is_reading_paused = False
        self._is_writing_paused = False
        self._unparsed = bytearray()
        self._turn_bytes = MIN_TURN_BYTES
        self._idle_since_ms = clock.now_ms()
        self._held_bytes = 0
        self._in_progress_bytes = 0
        self._is_head_request = False
        # Whether a request is in progress: complete, and not answered yet.
        self.is_busy = False
        # Belongs to the service while the request is in progress.
        self.exchange: Any = None
        self._clear()

    def _clear(self) -> None:
        """Reset all counters and timers for the next request."""
        self._read_start_ms: float | None = None
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._expects_continue = False
        self._body: bytes | bytearray = b""
        self._sizes.reset()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        set_keep_alive(transport)
        self._connections.add(self)
        self._intake.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self._is_closed = True
        self._connections.discard(self)
        self._intake.discard(self)
        if self.is_busy:
            self.is_busy = False
            self._service.handle_disconnect(self)
        self.exchange = None
        # The parser refers to this object; without the cycle both are freed at once.
        self._parser = None
        self._unparsed.clear()
        self._clear()

    def pause_writing(self) -> None:
        self._is_writing_paused = True
        self._report_held()

    def resume_writing(self) -> None:
        self._is_writing_paused = False
        self._report_held()
        self._request_turn()

    def get_buffer(self, size_hint: int) -> memoryview:
        return self._intake.receive_buffer

    def buffer_updated(self, size_bytes: int) -> None:
        self.data_received(bytes(self._intake.receive_buffer[:size_bytes]))

    def data_received(self, data: bytes) -> None:
        """Keep `data`, and parse it when it is this connection's turn."""
        if self._is_closed:
            return
        self._unparsed += data
        if len(self._unparsed) > MAX_UNPARSED_BYTES and not self._is_reading_paused:
            # Otherwise reading continues, since only that reports that a caller has disconnected.
            self._is_reading_paused = True
            self._transport.pause_reading()
        self._request_turn()
        if self._unparsed:
            self._report_held()

    def _request_turn(self) -> None:
        """Ask for a turn, unless bytes have to wait for the answer to the request before them."""
        if self._unparsed and not (self._is_closed or self.is_busy or self._is_writing_paused):
            self._intake.turns.request(self, self._sizes.work, self._sizes.body_bytes)

    def take_turn(self) -> int:
        if self._is_closed or self.is_busy or self._is_writing_paused:
            return 0
        before = self._sizes.total_work
        data = bytes(self._unparsed[: self._turn_bytes])
        del self._unparsed[: len(data)]
        if self._is_reading_paused and len(self._unparsed) <= MAX_UNPARSED_BYTES // 2:
            self._is_reading_paused = False
            self._transport.resume_reading()
        self._parse(data)
        work = 1 + self._sizes.total_work - before
        self._turn_bytes = choose_turn_bytes(len(data), work)
        if self._held_bytes:
            self._report_held()
        self._request_turn()
        return work

    def fail(self, error: Exception) -> None:
        context = {"message": "error while a request was read", "exception": error}
        asyncio.get_running_loop().call_exception_handler(context)
        self._transport.abort()

    def _parse(self, data: bytes) -> None:
        """Feed the parser with pieces that end where a head or a request may end.

        What follows a complete request is kept.
        """
        limits = self._limits = self._service.get_limits()
        length = len(data)
        start = 0
        while start < length:
            if self._read_start_ms is None:
                self._read_start_ms = self._clock.now_ms()
            end = self._sizes.find_end(data, start, limits.max_header_bytes)
            if end == start:
                self._reject(431, LimitReason.HEADER_BYTES)
                return
            is_whole = start == 0 and end == length
            self._feed(data if is_whole else memoryview(data)[start:end], limits)
            if self._is_closed:
                return
            start = end
            if start < length and self._read_start_ms is None:
                # The next request is parsed in another turn.
                self._unparsed[:0] = memoryview(data)[start:]
                return
        if self._read_start_ms is not None:
            self._sizes.keep_tail(data)
            self._report_held()

    def _feed(self, piece: bytes | memoryview, limits: CallerLimits) -> None:
        sizes = self._sizes
        sizes.add_piece(len(piece))
        try:
            self._parser.feed_data(piece)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self._read_start_ms is None and not self.is_busy:
                # The parser reports an upgrade after a complete request, which has been answered.
                self._close()
            else:
                self._reject(400, LimitReason.MALFORMED)
            return
        if self._read_start_ms is not None and not self._is_closed:
            excess = sizes.find_excess(limits.max_header_bytes, limits.max_body_bytes)
            if excess is not None:
                self._reject(_STATUS_OF_EXCESS[excess], excess)

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        sizes = self._sizes
        if sizes.is_head_complete:
            # Trailer fields are dropped: no route uses them, and as header fields they would
            # replace those that the request was routed by.
            sizes.add_trailer(len(name) + len(value))
            return
        sizes.add_field()
        self._headers.append((name, value))
        lowered = name.lower()
        if lowered == b"expect":
            self._expects_continue = value.lower() == b"100-continue"
        elif lowered == b"content-length":
            sizes.set_length(value)

    def on_headers_complete(self) -> None:
        sizes = self._sizes
        sizes.complete_head()
        if sizes.body_left_bytes > self._limits.max_body_bytes:
            self._reject(413, LimitReason.BODY_BYTES)
        elif self._expects_continue and not self._is_closed:
            self._transport.write(_CONTINUE_RESPONSE)

    def on_chunk_header(self) -> None:
        self._sizes.begin_chunk()

    def on_body(self, body: bytes) -> None:
        sizes = self._sizes
        sizes.add_body(len(body))
        if self._is_closed or sizes.body_bytes > self._limits.max_body_bytes:
            return
        if not self._body:
            self._body = body
            return
        if not isinstance(self._body, bytearray):
            # One buffer: a list of pieces would cost far more memory than the bytes of the body.
            self._body = bytearray(self._body)
        self._body += body

    def on_message_complete(self) -> None:
        limits = self._limits
        sizes = self._sizes
        excess = sizes.find_excess(limits.max_header_bytes, limits.max_body_bytes, is_complete=True)
        if self._is_closed or self.is_busy:
            return
        if excess is not None:
            self._reject(_STATUS_OF_EXCESS[excess], excess)
            return
        request = HttpRequest(
            self._parser.get_method(),
            self._target,
            tuple(self._headers),
            bytes(self._body),
            self._clock.now_ms(),
        )
        sizes.total_work += REQUEST_WORK
        self._in_progress_bytes = sizes.count_held(len(self._headers))
        self._report_held()
        if self._is_closed:
            return
        self._clear()
        self._keeps_alive = self._parser.should_keep_alive()
        self._is_head_request = request.method == b"HEAD"
        self._has_completed = True
        self.is_busy = True
        self._service.handle(request, self)

    def _report_held(self) -> None:
        """Report the bytes held for requests to the intake; up to `UNCOUNTED_BYTES` count as 0."""
        held = self._in_progress_bytes + len(self._unparsed)
        if self._is_writing_paused:
            held += self._transport.get_write_buffer_size()
        if self._read_start_ms is not None and not self._in_progress_bytes:
            held += self._sizes.count_held(len(self._headers))
        if held > UNCOUNTED_BYTES or self._held_bytes:
            self._held_bytes = held if held > UNCOUNTED_BYTES else 0
            self._intake.set_held_bytes(self, self._held_bytes)

    def answer(self, answer: HttpAnswer) -> None:
        """Send the answer to the request in progress, then read the next request.

        Nothing is sent if no request is in progress or the connection is closed.
        """
        if not self.is_busy or self._is_closed:
            return
        self.is_busy = False
        self.exchange = None
        self.is_first = False
        self._idle_since_ms = self._clock.now_ms()
        closes_connection = not self._keeps_alive or self._connections.is_closing
        self._transport.write(format_answer(answer, closes_connection, self._is_head_request))
        self._in_progress_bytes = 0
        if self._held_bytes:
            self._report_held()
        if closes_connection:
            self._close()
            return
        if self._unparsed:
            asyncio.get_running_loop().call_soon(self._request_turn)

    def answer_and_close(self, answer: HttpAnswer) -> None:
        """Send the answer to the request in progress and close the connection."""
        self._keeps_alive = False
        self.answer(answer)

    def estimate_round_trip_ms(self) -> float | None:
        """Return the network time of a request and its answer in ms, or None if unknown."""
        return read_round_trip_ms(self._transport.get_extra_info("socket"))

    def close_overdue(self, now_ms: float) -> None:
        """Close the connection if its request or its next request is overdue at `now_ms`.

        Abort a closed connection whose caller has not read the last answer within the idle timeout.
        """
        limits = self._service.get_limits()
        if self._is_closed:
            if now_ms - self._closed_ms > limits.idle_timeout_ms:
                self._transport.abort()
            return
        if self.is_busy:
            return
        if self._read_start_ms is None:
            if now_ms - self._idle_since_ms > limits.idle_timeout_ms:
                self._close()
            return
        elapsed_ms = now_ms - self._read_start_ms
        if not self._sizes.is_head_complete:
            if elapsed_ms > limits.header_timeout_ms:
                self._reject(408, LimitReason.HEADER_TIME)
        elif is_body_overdue(elapsed_ms - limits.header_timeout_ms, self._sizes.body_bytes):
            self._reject(408, LimitReason.BODY_TIME)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or is in progress."""
        if not self.is_busy and self._read_start_ms is None and not self._unparsed:
            self._close()

    def describe(self) -> ConnectionState:
        releasable = self._held_bytes
        if self.is_busy:
            phase, since_ms = Phase.IN_PROGRESS, self._idle_since_ms
            releasable = len(self._unparsed)
        elif self._read_start_ms is None:
            phase = Phase.READING if self._unparsed else Phase.IDLE
            since_ms = self._idle_since_ms
        else:
            phase, since_ms = Phase.READING, self._read_start_ms
        return ConnectionState(self, phase, since_ms, releasable, self._has_completed)

    def give_up(self, reason: LimitReason) -> None:
        if self._is_closed:
            self._transport.abort()
        elif self.is_busy:
            self._intake.record(reason)
            self._stop_reading()
        elif self._read_start_ms is not None or self._unparsed:
            self._reject(503, reason)
        else:
            self._intake.record(reason)
            self._close()
            if self._is_writing_paused:
                # Its caller does not read the last answer, so closing would keep the rest of it.
                self._transport.abort()

    def _stop_reading(self) -> None:
        """Drop what follows the request in progress; its answer closes the connection."""
        self._keeps_alive = False
        self._unparsed.clear()
        self._is_reading_paused = True
        self._transport.pause_reading()
        self._report_held()

    def _reject(self, status: int, reason: LimitReason) -> None:
        if self._is_closed:
            return
        self._intake.record(reason)
        if self.is_busy:
            self._stop_reading()
            return
        headers = _RETRY_AFTER if status == 503 else ()
        self._transport.write(format_answer(HttpAnswer(status, headers), True, False))
        self._close()

    def _close(self) -> None:
        if not self._is_closed:
            self._is_closed = True
            self._closed_ms = self._clock.now_ms()
            if self._is_reading_paused:
                self._is_reading_paused = False
                self._transport.resume_reading()
            self._transport.close()
            self._in_progress_bytes = 0
            self._intake.turns.discard(self)
            self._unparsed.clear()
            self._clear()
            self._report_held()
