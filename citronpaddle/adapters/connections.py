"""Kept connections to upstreams, and the connections on their way."""

import asyncio
from collections.abc import Callable

from ..clock import Clock
from .httpclient import HttpConnection, HttpFailure, ResponseSink

# Connections kept idle for each upstream; all instances together must stay within its limit, also
# when half of them have just been replaced and their old connections still count.
MAX_IDLE = 1
# A new connection takes a few ms; without one after this time the upstream counts as unreachable.
CONNECT_TIMEOUT_MS = 1_000.0

Address = tuple[str, int]


class Dispatch:
    """One request on its way to one upstream; `cancel` ends it wherever it is."""

    def __init__(self, sink: ResponseSink) -> None:
        self.sink = sink
        self.connection: HttpConnection | None = None
        self.task: asyncio.Task | None = None

    def cancel(self) -> None:
        """Stop connecting, or close the connection, so that the upstream drops the request."""
        if self.task is not None:
            self.task.cancel()
        if self.connection is not None:
            self.connection.abort()


class ConnectionPool:
    """Connections by address; the caller bounds how many requests are open at each."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle: dict[Address, list[HttpConnection]] = {}
        self._addresses: dict[HttpConnection, Address] = {}
        self.opened = 0

    def dispatch(
        self,
        address: Address,
        build: Callable[[], bytes],
        sink: ResponseSink,
        max_idle_ms: float,
        is_head: bool = False,
    ) -> Dispatch:
        """Send the request that `build` returns, on a connection idle for `max_idle_ms` at most.

        `build` is called when the connection is there, just before the first byte leaves.
        """
        dispatch = Dispatch(sink)
        connection = self._take_idle(address, max_idle_ms)
        if connection is not None:
            dispatch.connection = connection
            connection.send(build(), sink, is_head)
        else:
            opening = self._open(address, build, dispatch, is_head)
            dispatch.task = asyncio.get_running_loop().create_task(opening)
        return dispatch

    def close_address(self, address: Address) -> None:
        """Close the idle connections to an address that is no longer used."""
        for connection in self._idle.pop(address, ()):
            connection.abort()

    def close_stale(self) -> None:
        """Close idle connections that have come close to the upstream's idle time-out."""
        for address, idle in list(self._idle.items()):
            keep = [connection for connection in idle if connection.is_usable]
            for connection in idle:
                if not connection.is_usable:
                    connection.abort()
            if keep:
                self._idle[address] = keep
            else:
                del self._idle[address]

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self._addresses):
            connection.abort()

    def _take_idle(self, address: Address, max_idle_ms: float) -> HttpConnection | None:
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if not connection.is_usable:
                connection.abort()
                continue
            if self._clock.now_ms() - connection.idle_since_ms <= max_idle_ms:
                return connection
            # All others are idle for longer; this one makes room for the new connection.
            connection.abort()
            return None
        return None

    async def _open(
        self, address: Address, build: Callable[[], bytes], dispatch: Dispatch, is_head: bool
    ) -> None:
        loop = asyncio.get_running_loop()
        connection = HttpConnection(self._clock, self._note_idle, self._note_closed)
        self.opened += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1_000):
                await loop.create_connection(lambda: connection, *address)
        except (OSError, TimeoutError) as error:
            dispatch.task = None
            reason = "connect_timeout" if isinstance(error, TimeoutError) else "connect_refused"
            dispatch.sink.on_failure(HttpFailure(reason, False))
            return
        except asyncio.CancelledError:
            connection.abort()
            raise
        dispatch.task = None
        if not connection.is_usable:
            dispatch.sink.on_failure(HttpFailure("connect_reset", False))
            return
        dispatch.connection = connection
        self._addresses[connection] = address
        connection.send(build(), dispatch.sink, is_head)

    def _note_idle(self, connection: HttpConnection) -> None:
        address = self._addresses.get(connection)
        if address is None:
            return
        idle = self._idle.setdefault(address, [])
        idle.append(connection)
        if len(idle) > MAX_IDLE:
            idle.pop(0).close()

    def _note_closed(self, connection: HttpConnection) -> None:
        address = self._addresses.pop(connection, None)
        idle = self._idle.get(address)
        if idle and connection in idle:
            idle.remove(connection)
