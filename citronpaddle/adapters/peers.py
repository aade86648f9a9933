"""Multiplexed frames between instances, over one long-lived connection per peer."""

import asyncio
import itertools
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress

from ..clock import Clock
from ..errors import ErrorKind, Failure
from .addresses import parse_address
from .frames import FrameError, FrameKind, FrameReader, encode_frame, protocol
from .links import DirectLinks, Links

PING_INTERVAL_MS = 500
SILENCE_TIMEOUT_MS = 1000
CONNECT_TIMEOUT_MS = 500
STALL_THRESHOLD_MS = 250
# Idle connections are closed instead of being pinged indefinitely: pings on connections to all of
# 1,100 instances would use more than half a core. Renewals and heartbeats are sent every 1,000 ms.
IDLE_TIMEOUT_MS = 3_000
# A stopping instance waits this long until its peers have read their last replies: a few round
# trips, or the detection of a stopped peer process by SILENCE_TIMEOUT_MS.
GOODBYE_TIMEOUT_MS = 1_000

_CONNECTION_LOST = Failure(ErrorKind.OUTCOME_UNKNOWN, "the connection to the peer was lost")


class Replier(ABC):
    """Sends the replies to one request frame."""

    @abstractmethod
    def send(self, body: bytes, last: bool = True) -> None:
        """Queue one reply; `last` marks the final one. Do nothing if the connection is closed."""


Handler = Callable[[bytes, Replier], Awaitable[None]]


class _PendingRequest:
    """An open request; `replies` holds the replies received but not yet consumed."""

    def __init__(self) -> None:
        self.replies: asyncio.Queue[tuple[bytes, bool] | Failure] = asyncio.Queue()


class _Connection:
    """One open connection to a peer, with its pending requests."""

    def __init__(
        self,
        address: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        clock: Clock,
        links: Links,
        on_close: Callable[["_Connection"], None],
    ) -> None:
        self._on_close = on_close
        self.address = address
        self._frames = FrameReader(reader)
        self._writer = writer
        self._clock = clock
        self._links = links
        self._ids = itertools.count(1)
        self._pending: dict[int, _PendingRequest] = {}
        self._last_received_ms = clock.now_ms()
        self._last_request_ms = self._last_received_ms
        self._pending_pings: set[int] = set()
        self._next_delivery_ms = 0.0
        self._is_peer_stopping = False
        self.is_open = True
        self._tasks = [
            asyncio.create_task(self._receive()),
            asyncio.create_task(self._run_pings()),
        ]

    def send(self, kind: int, body: bytes) -> tuple[int, _PendingRequest]:
        """Write a request frame; return its id and the pending request that gets the replies."""
        frame_id = next(self._ids)
        if kind != FrameKind.PING:
            self._last_request_ms = self._clock.now_ms()
        data = encode_frame(protocol.Frame(id=frame_id, kind=int(kind), body=body))
        pending = _PendingRequest()
        self._pending[frame_id] = pending
        self._write(data)
        return frame_id, pending

    def remove_request(self, frame_id: int) -> None:
        """Remove a request whose replies are no longer needed; late replies are ignored."""
        self._pending.pop(frame_id, None)
        self._close_if_drained()

    def close(self, outcome: Failure = _CONNECTION_LOST) -> None:
        """Close the connection; each pending request fails with `outcome`."""
        if not self.is_open:
            return
        self.is_open = False
        for task in self._tasks:
            task.cancel()
        self._writer.transport.abort()
        for pending in self._pending.values():
            pending.replies.put_nowait(outcome)
        self._pending.clear()
        self._on_close(self)

    def _write(self, data: bytes) -> None:
        if self._links.is_cut(self.address):
            return
        self._deliver(lambda: self._writer.write(data))

    def _deliver(self, action: Callable[[], None]) -> None:
        delay_ms = self._links.delay_ms(self.address)
        if delay_ms <= 0:
            action()
            return
        # Frames on one connection are delivered in order.
        now_ms = self._clock.now_ms()
        self._next_delivery_ms = max(self._next_delivery_ms, now_ms + delay_ms)
        loop = asyncio.get_running_loop()
        loop.call_later((self._next_delivery_ms - now_ms) / 1000, self._run_if_open, action)

    def _run_if_open(self, action: Callable[[], None]) -> None:
        if self.is_open:
            action()

    async def _receive(self) -> None:
        try:
            while True:
                frame = await self._frames.read()
                if self._links.is_cut(self.address):
                    continue
                self._last_received_ms = self._clock.now_ms()
                self._handle_frame(frame)
        except (OSError, EOFError, FrameError):
            self.close()

    def _handle_frame(self, frame: "protocol.Frame") -> None:
        if frame.kind == FrameKind.GOODBYE and not frame.reply:
            self._handle_goodbye()
            return
        pending = self._pending.get(frame.id)
        if pending is None or not frame.reply:
            return
        if frame.last:
            del self._pending[frame.id]
        pending.replies.put_nowait((frame.body, frame.last))

    def _handle_goodbye(self) -> None:
        """Accept no new request and close once no request is pending: the peer is stopping."""
        self._is_peer_stopping = True
        self._on_close(self)
        self._close_if_drained()

    def _close_if_drained(self) -> None:
        if self._is_peer_stopping and self._pending_pings.issuperset(self._pending):
            self.close()

    async def _run_pings(self) -> None:
        while True:
            scheduled_ms = self._clock.now_ms() + PING_INTERVAL_MS
            await asyncio.sleep(PING_INTERVAL_MS / 1000)
            now_ms = self._clock.now_ms()
            if now_ms - scheduled_ms > STALL_THRESHOLD_MS:
                # The event loop was stalled; received replies may not have been read yet.
                self._last_received_ms = now_ms
            # A connection can become unresponsive while a new one would work.
            is_silent = now_ms - self._last_received_ms > SILENCE_TIMEOUT_MS
            is_idle = (
                now_ms - self._last_request_ms > IDLE_TIMEOUT_MS
                and self._pending_pings.issuperset(self._pending)
            )
            if is_silent or is_idle:
                self.close()
                return
            frame_id, _ = self.send(FrameKind.PING, b"")
            self._pending_pings = {
                ping_id for ping_id in self._pending_pings if ping_id in self._pending
            }
            self._pending_pings.add(frame_id)


class FrameClient:
    """Client side: one connection per peer address, opened on first use.

    After a failure of kind `upstream_unavailable` no byte was sent; after one of kind
    `outcome_unknown` the peer may have executed the request.
    """

    def __init__(
        self,
        clock: Clock,
        links: Links | None = None,
        on_frame: Callable[[str, int, int], None] | None = None,
    ) -> None:
        """`on_frame` gets the direction (`sent` or `received`), kind and body size in bytes."""
        self._clock = clock
        self._on_frame = on_frame or (lambda direction, kind, size: None)
        self._links = links or DirectLinks()
        self._connections: dict[str, _Connection] = {}
        self._connecting: dict[str, asyncio.Task[_Connection | Failure]] = {}
        self.sent_bytes = 0
        self.sent_frames = 0

    async def call(
        self, address: str, kind: int, body: bytes, timeout_ms: float
    ) -> bytes | Failure:
        """Send a frame and return the body of its first reply."""
        async for reply in self.stream(address, kind, body, timeout_ms):
            return reply
        return _CONNECTION_LOST

    async def stream(
        self, address: str, kind: int, body: bytes, timeout_ms: float
    ) -> AsyncIterator[bytes | Failure]:
        """Send a frame and yield the bodies of its replies up to the last; a failure ends them."""
        deadline_ms = self._clock.now_ms() + timeout_ms
        connection = await self._connect(address, timeout_ms)
        if isinstance(connection, Failure):
            yield connection
            return
        frame_id, pending = connection.send(kind, body)
        self.sent_bytes += len(body)
        self.sent_frames += 1
        self._on_frame("sent", kind, len(body))
        try:
            last = False
            while not last:
                remaining_s = (deadline_ms - self._clock.now_ms()) / 1000
                try:
                    async with asyncio.timeout(remaining_s):
                        reply = await pending.replies.get()
                except TimeoutError:
                    yield Failure(ErrorKind.OUTCOME_UNKNOWN, "no reply from the peer in time")
                    return
                if isinstance(reply, Failure):
                    yield reply
                    return
                data, last = reply
                self._on_frame("received", kind, len(data))
                yield data
        finally:
            connection.remove_request(frame_id)

    def count_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    async def close(self) -> None:
        """Close all connections."""
        for task in self._connecting.values():
            task.cancel()
        for connection in list(self._connections.values()):
            connection.close()
        self._connections.clear()

    async def _connect(self, address: str, timeout_ms: float) -> _Connection | Failure:
        connection = self._connections.get(address)
        if connection is not None and connection.is_open:
            return connection
        task = self._connecting.get(address)
        if task is None:
            task = asyncio.create_task(self._open(address))
            self._connecting[address] = task
            task.add_done_callback(lambda _: self._connecting.pop(address, None))
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await asyncio.shield(task)
        except TimeoutError:
            return Failure(ErrorKind.UPSTREAM_UNAVAILABLE, f"no connection to peer {address}")

    def _remove_connection(self, connection: _Connection) -> None:
        if self._connections.get(connection.address) is connection:
            del self._connections[connection.address]

    async def _open(self, address: str) -> _Connection | Failure:
        if self._links.is_cut(address):
            await asyncio.sleep(CONNECT_TIMEOUT_MS / 1000)
            return Failure(ErrorKind.UPSTREAM_UNAVAILABLE, f"no connection to peer {address}")
        try:
            host, port = parse_address(address)
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                reader, writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError, ValueError) as error:
            return Failure(
                ErrorKind.UPSTREAM_UNAVAILABLE, f"no connection to peer {address}: {error}"
            )
        connection = _Connection(
            address, reader, writer, self._clock, self._links, self._remove_connection
        )
        self._connections[address] = connection
        return connection


class _FrameReplier(Replier):
    def __init__(self, writer: asyncio.StreamWriter, frame_id: int, kind: int) -> None:
        self._writer = writer
        self._frame_id = frame_id
        self._kind = kind

    def send(self, body: bytes, last: bool = True) -> None:
        if self._writer.is_closing():
            return
        frame = protocol.Frame(id=self._frame_id, kind=self._kind, reply=True, last=last, body=body)
        self._writer.write(encode_frame(frame))


class PeerServer:
    """Server side: passes each request frame to the handler of its kind."""

    def __init__(self, handlers: dict[int, Handler]) -> None:
        self._handlers = handlers
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._all_disconnected = asyncio.Event()

    async def start(self, host: str, port: int) -> str:
        """Listen and return the address as `host:port`; raise OSError if the bind fails."""
        self._server = await asyncio.start_server(self._serve, host, port)
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def close(self) -> None:
        """Stop listening, wait until peers have read pending replies, and close all connections.

        A request that crosses the goodbye frame is still handled: if its connection were reset, the
        peer could not determine whether the request was executed.
        """
        if self._server is not None:
            self._server.close()
        goodbye = encode_frame(protocol.Frame(id=0, kind=int(FrameKind.GOODBYE), body=b""))
        for writer in self._writers:
            writer.write(goodbye)
        await self._wait_for_peers(GOODBYE_TIMEOUT_MS)
        for writer in list(self._writers):
            writer.transport.abort()
        if self._server is not None:
            await self._server.wait_closed()

    async def _wait_for_peers(self, limit_ms: float) -> None:
        if not self._writers:
            return
        self._all_disconnected.clear()
        try:
            async with asyncio.timeout(limit_ms / 1_000):
                await self._all_disconnected.wait()
        except TimeoutError:
            # A paused or partitioned peer does not close its connection; close() aborts it.
            return

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        running: set[asyncio.Task[None]] = set()
        frames = FrameReader(reader)
        try:
            while True:
                frame = await frames.read()
                replier = _FrameReplier(writer, frame.id, frame.kind)
                if frame.kind == FrameKind.PING:
                    replier.send(b"")
                    continue
                handler = self._handlers.get(frame.kind)
                if handler is None or frame.reply:
                    continue
                task = asyncio.create_task(handler(frame.body or b"", replier))
                running.add(task)
                task.add_done_callback(running.discard)
        except (OSError, EOFError, FrameError):
            pass
        finally:
            # Handlers keep running: an order that was started must be completed.
            self._writers.discard(writer)
            if not self._writers:
                self._all_disconnected.set()
            with suppress(OSError):
                writer.close()
