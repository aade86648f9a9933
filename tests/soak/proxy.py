"""A loopback proxy that can delay, reset, block (per direction) or silence its connections."""

import asyncio
from collections import deque
from collections.abc import Callable
from enum import StrEnum


class Direction(StrEnum):
    """The direction of a byte stream: to the server behind the proxy, or to the client."""

    TO_SERVER = "to_server"
    TO_CLIENT = "to_client"


class _Socket(asyncio.Protocol):
    """One of the two sockets of a link; bytes read from it are written to the other one."""

    def __init__(self, link: "_Link", direction: Direction) -> None:
        self.link = link
        self.direction = direction
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport):
        self.transport = transport
        self.link.handle_connected(self)

    def data_received(self, data):
        self.link.forward(self.direction, lambda endpoint: endpoint.transport.write(data))

    def connection_lost(self, error):
        def close(endpoint: "_Socket") -> None:
            if error is None:
                endpoint.transport.close()
            else:
                endpoint.transport.abort()

        self.link.forward(self.direction, close)


class _Link:
    """A client connection and the connection to the server that belongs to it."""

    def __init__(self, proxy: "FaultProxy") -> None:
        self.proxy = proxy
        self.is_silent = False
        self.client = _Socket(self, Direction.TO_SERVER)
        self.server = _Socket(self, Direction.TO_CLIENT)
        self._pending: dict[Direction, deque] = {d: deque() for d in Direction}
        self._last_due_s: dict[Direction, float] = dict.fromkeys(Direction, 0.0)

    def handle_connected(self, endpoint: _Socket) -> None:
        if endpoint is self.client:
            self.proxy.links.add(self)
            if self.proxy.is_refusing:
                endpoint.transport.abort()
                return
            asyncio.get_running_loop().create_task(self._connect())
        else:
            self.flush()

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: self.server, *self.proxy.target)
        except OSError:
            self.client.transport.abort()

    def forward(self, direction: Direction, action: Callable[[_Socket], None]) -> None:
        """Apply `action` to the receiving socket, in order, once the faults of the proxy allow it.

        An action on a silent link is dropped.
        """
        if self.is_silent:
            return
        loop = asyncio.get_running_loop()
        due_s = max(self._last_due_s[direction], loop.time() + self.proxy.delay_s)
        self._last_due_s[direction] = due_s
        self._pending[direction].append((due_s, action))
        if due_s <= loop.time():
            self.flush()
        else:
            loop.call_at(due_s, self.flush)

    def flush(self) -> None:
        """Run the pending actions that are due and not blocked."""
        now = asyncio.get_running_loop().time()
        for direction, pending in self._pending.items():
            endpoint = self.server if direction is Direction.TO_SERVER else self.client
            if (
                direction in self.proxy.blocked_directions
                or self.is_silent
                or endpoint.transport is None
            ):
                continue
            while pending and pending[0][0] <= now:
                pending.popleft()[1](endpoint)
        if all(
            endpoint.transport is None or endpoint.transport.is_closing()
            for endpoint in self._sockets
        ):
            self.proxy.links.discard(self)

    def abort(self) -> None:
        """Reset both sides."""
        self.is_silent = True
        for endpoint in self._sockets:
            if endpoint.transport is not None:
                endpoint.transport.abort()
        self.proxy.links.discard(self)

    @property
    def _sockets(self) -> tuple[_Socket, _Socket]:
        return self.client, self.server


class FaultProxy:
    """Listens on a port of its own and forwards connections to the server at `target`."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.port = 0
        self.delay_s = 0.0
        self.is_refusing = False
        self.blocked_directions: frozenset[Direction] = frozenset()
        self.links: set[_Link] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port, or on the previous port after a stop."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Link(self).client, "127.0.0.1", self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def clear_faults(self) -> None:
        """End all faults and forward what is pending; silenced connections stay silent."""
        self.delay_s, self.is_refusing, self.blocked_directions = 0.0, False, frozenset()
        for link in list(self.links):
            link.flush()

    def reset(self) -> None:
        """Reset all connections."""
        for link in list(self.links):
            link.abort()

    def silence(self) -> None:
        """Stop forwarding on all open connections for good, without a reset; new ones work."""
        for link in self.links:
            link.is_silent = True

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset()
