"""Multiplexed frames to other instances over one long-lived connection each."""

import asyncio
import itertools
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress

from ..clock import Clock
from ..errors import ErrorKind, Failure
from .frames import FrameError, FrameKind, encode_frame, protocol, read_frame
from .links import DirectLinks, Links

PING_INTERVAL_MS = 500
SILENCE_LIMIT_MS = 1000
CONNECT_TIMEOUT_MS = 500
STALL_LIMIT_MS = 250
# An idle connection is closed in place of being tested for ever: pings over connections to all of
# 1,100 instances would take more than half a core. Renewals and heartbeats come every 1,000 ms.
IDLE_LIMIT_MS = 3_000
# A stopping instance waits this long for its peers to take their last replies: a few round trips,
# and the stop of a peer's process that is found out by SILENCE_LIMIT_MS.
GOODBYE_LIMIT_MS = 1_000

_LOST = Failure(ErrorKind.OUTCOME_UNKNOWN, "the connection to the peer was lost")


def parse_address(address: str) -> tuple[str, int]:
    """Split `host:port`; raise ValueError if it is not of that form."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"{address!r} is not host:port")
    return host, int(port)


class Replier(ABC):
    """Sends the replies to one request frame."""

    @abstractmethod
    def send(self, body: bytes, last: bool = True) -> None:
        """Queue one reply; nothing happens if the connection is gone."""


Handler = Callable[[bytes, Replier], Awaitable[None]]


class _Waiting:
    """The replies of one request that have come in and were not yet taken."""

    def __init__(self) -> None:
        self.replies: asyncio.Queue[tuple[bytes, bool] | Failure] = asyncio.Queue()


class _Connection:
    """One open connection to a peer, with the requests that wait on it."""

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
        self._reader = reader
        self._writer = writer
        self._clock = clock
        self._links = links
        self._ids = itertools.count(1)
        self._waiting: dict[int, _Waiting] = {}
        self._heard_ms = clock.now_ms()
        self._used_ms = self._heard_ms
        self._pings: set[int] = set()
        self._next_delivery_ms = 0.0
        self._is_ending = False
        self.is_open = True
        self._tasks = [
            asyncio.create_task(self._receive()),
            asyncio.create_task(self._ping()),
        ]

    def send(self, kind: int, body: bytes) -> tuple[int, _Waiting]:
        """Write a request frame; its replies arrive in the returned queue."""
        frame_id = next(self._ids)
        if kind != FrameKind.PING:
            self._used_ms = self._clock.now_ms()
        data = encode_frame(protocol.Frame(id=frame_id, kind=int(kind), body=body))
        waiting = _Waiting()
        self._waiting[frame_id] = waiting
        self._write(data)
        return frame_id, waiting

    def forget(self, frame_id: int) -> None:
        """Drop a request whose replies are no longer wanted; late ones are ignored."""
        self._waiting.pop(frame_id, None)
        self._close_if_ended()

    def close(self, outcome: Failure = _LOST) -> None:
        """Close the connection; every waiting request gets `outcome`."""
        if not self.is_open:
            return
        self.is_open = False
        for task in self._tasks:
            task.cancel()
        self._writer.transport.abort()
        for waiting in self._waiting.values():
            waiting.replies.put_nowait(outcome)
        self._waiting.clear()
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
        # A later frame must not overtake an earlier one on the same connection.
        now_ms = self._clock.now_ms()
        self._next_delivery_ms = max(self._next_delivery_ms, now_ms + delay_ms)
        loop = asyncio.get_running_loop()
        loop.call_later((self._next_delivery_ms - now_ms) / 1000, self._act, action)

    def _act(self, action: Callable[[], None]) -> None:
        if self.is_open:
            action()

    async def _receive(self) -> None:
        try:
            while True:
                frame = await read_frame(self._reader)
                if self._links.is_cut(self.address):
                    continue
                self._heard_ms = self._clock.now_ms()
                self._accept(frame)
        except (OSError, EOFError, FrameError):
            self.close()

    def _accept(self, frame: "protocol.Frame") -> None:
        if frame.kind == FrameKind.GOODBYE and not frame.reply:
            self._end()
            return
        waiting = self._waiting.get(frame.id)
        if waiting is None or not frame.reply:
            return
        if frame.last:
            del self._waiting[frame.id]
        waiting.replies.put_nowait((frame.body, frame.last))

    def _end(self) -> None:
        """Take no new request, and close once nobody waits: the peer is stopping."""
        self._is_ending = True
        self._on_close(self)
        self._close_if_ended()

    def _close_if_ended(self) -> None:
        if self._is_ending and self._pings.issuperset(self._waiting):
            self.close()

    async def _ping(self) -> None:
        while True:
            due_ms = self._clock.now_ms() + PING_INTERVAL_MS
            await asyncio.sleep(PING_INTERVAL_MS / 1000)
            now_ms = self._clock.now_ms()
            if now_ms - due_ms > STALL_LIMIT_MS:
                # This process stood still; replies may be waiting to be read.
                self._heard_ms = now_ms
            # A connection can go silent for good while a new one works.
            is_silent = now_ms - self._heard_ms > SILENCE_LIMIT_MS
            is_idle = now_ms - self._used_ms > IDLE_LIMIT_MS and self._pings.issuperset(
                self._waiting
            )
            if is_silent or is_idle:
                self.close()
                return
            frame_id, _ = self.send(FrameKind.PING, b"")
            self._pings = {number for number in self._pings if number in self._waiting}
            self._pings.add(frame_id)


class FrameClient:
    """Client side: one connection per peer address, opened on first use.

    A failure of kind `upstream_unavailable` says that no byte was sent; `outcome_unknown` says that
    the peer may have acted.
    """

    def __init__(
        self,
        clock: Clock,
        links: Links | None = None,
        on_frame: Callable[[str, int, int], None] | None = None,
    ) -> None:
        """`on_frame` gets direction (`sent` or `received`), kind and size in bytes of each body."""
        self._clock = clock
        self._on_frame = on_frame or (lambda direction, kind, size: None)
        self._links = links or DirectLinks()
        self._connections: dict[str, _Connection] = {}
        self._opening: dict[str, asyncio.Task[_Connection | Failure]] = {}
        self.sent_bytes = 0
        self.sent_frames = 0

    async def call(
        self, address: str, kind: int, body: bytes, timeout_ms: float
    ) -> bytes | Failure:
        """Send a frame and return the body of its one reply."""
        async for reply in self.stream(address, kind, body, timeout_ms):
            return reply
        return _LOST

    async def stream(
        self, address: str, kind: int, body: bytes, timeout_ms: float
    ) -> AsyncIterator[bytes | Failure]:
        """Send a frame and yield its replies up to the last; a failure is the last item."""
        end_ms = self._clock.now_ms() + timeout_ms
        connection = await self._connect(address, timeout_ms)
        if isinstance(connection, Failure):
            yield connection
            return
        frame_id, waiting = connection.send(kind, body)
        self.sent_bytes += len(body)
        self.sent_frames += 1
        self._on_frame("sent", kind, len(body))
        try:
            last = False
            while not last:
                left_s = (end_ms - self._clock.now_ms()) / 1000
                try:
                    async with asyncio.timeout(left_s):
                        reply = await waiting.replies.get()
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
            connection.forget(frame_id)

    def count_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    async def close(self) -> None:
        """Close all connections."""
        for task in self._opening.values():
            task.cancel()
        for connection in list(self._connections.values()):
            connection.close()
        self._connections.clear()

    async def _connect(self, address: str, timeout_ms: float) -> _Connection | Failure:
        connection = self._connections.get(address)
        if connection is not None and connection.is_open:
            return connection
        task = self._opening.get(address)
        if task is None:
            task = asyncio.create_task(self._open(address))
            self._opening[address] = task
            task.add_done_callback(lambda _: self._opening.pop(address, None))
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await asyncio.shield(task)
        except TimeoutError:
            return Failure(ErrorKind.UPSTREAM_UNAVAILABLE, f"no connection to peer {address}")

    def _drop_connection(self, connection: _Connection) -> None:
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
            address, reader, writer, self._clock, self._links, self._drop_connection
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
    """Server side: gives each request frame to the handler of its kind."""

    def __init__(self, handlers: dict[int, Handler]) -> None:
        self._handlers = handlers
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._all_gone = asyncio.Event()

    async def start(self, host: str, port: int) -> str:
        """Listen and return the address as `host:port`; raise OSError if that fails."""
        self._server = await asyncio.start_server(self._serve, host, port)
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def close(self) -> None:
        """Stop listening, let peers take the replies they wait for, and close every connection.

        A request that crosses the goodbye is still handled: a connection that breaks under it would
        leave the peer without knowing whether it ran.
        """
        if self._server is not None:
            self._server.close()
        goodbye = encode_frame(protocol.Frame(id=0, kind=int(FrameKind.GOODBYE), body=b""))
        for writer in self._writers:
            writer.write(goodbye)
        await self._wait_for_peers(GOODBYE_LIMIT_MS)
        for writer in list(self._writers):
            writer.transport.abort()
        if self._server is not None:
            await self._server.wait_closed()

    async def _wait_for_peers(self, limit_ms: float) -> None:
        if not self._writers:
            return
        self._all_gone.clear()
        try:
            async with asyncio.timeout(limit_ms / 1_000):
                await self._all_gone.wait()
        except TimeoutError:
            # A peer that is paused or cut off does not close; its connection is aborted.
            return

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        running: set[asyncio.Task[None]] = set()
        try:
            while True:
                frame = await read_frame(reader)
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
            # Handlers go on: an order that was started must be brought to its end.
            self._writers.discard(writer)
            if not self._writers:
                self._all_gone.set()
            with suppress(OSError):
                writer.close()
