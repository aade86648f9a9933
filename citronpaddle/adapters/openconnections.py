"""The open connections of one listening socket."""

import asyncio
from abc import ABC, abstractmethod


class OpenConnection(ABC):
    """A connection of a caller, whether idle, being read or with a request in progress."""

    # Whether a request is in progress: complete, and not answered yet.
    is_busy: bool

    @abstractmethod
    def close_overdue(self, now_ms: float) -> None:
        """Close the connection if what it waits for is overdue at `now_ms`, a monotonic time."""

    @abstractmethod
    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or is in progress."""


class Connections:
    """The open connections of callers; once `is_closing`, each answer closes its connection."""

    def __init__(self) -> None:
        self.is_closing = False
        self._open: set[OpenConnection] = set()
        self._connection_closed = asyncio.Event()

    def __len__(self) -> int:
        return len(self._open)

    def add(self, connection: OpenConnection) -> None:
        """Add a new connection."""
        self._open.add(connection)

    def discard(self, connection: OpenConnection) -> None:
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
        """Close or abort the connections that are overdue at `now_ms`, a monotonic time."""
        for connection in list(self._open):
            connection.close_overdue(now_ms)

    def close_idle(self) -> None:
        """Close the connections on which no request is being read or in progress."""
        for connection in list(self._open):
            connection.close_if_idle()
