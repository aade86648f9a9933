"""A loopback proxy whose connections can be delayed, reset, cut in one direction or silenced."""

import asyncio
from collections import deque
from collections.abc import Callable
from enum import StrEnum


class Direction(StrEnum):
    """Where bytes go: to the server behind the proxy, or back."""

    TO_SERVER = "to_server"
    TO_CLIENT = "to_client"


class _End(asyncio.Protocol):
    """One of the two sockets of a link; what it reads goes out at the other one."""

    def __init__(self, link: "_Link", direction: Direction) -> None:
        self.link = link
        self.direction = direction
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport):
        self.transport = transport
        self.link.note_made(self)

    def data_received(self, data):
        self.link.pass_on(self.direction, lambda end: end.transport.write(data))

    def connection_lost(self, error):
        def close(end: "_End") -> None:
            if error is None:
                end.transport.close()
            else:
                end.transport.abort()

        self.link.pass_on(self.direction, close)


class _Link:
    """A client's connection and the one to the server."""

    def __init__(self, proxy: "FaultProxy") -> None:
        self.proxy = proxy
        self.is_silent = False
        self.client = _End(self, Direction.TO_SERVER)
        self.server = _End(self, Direction.TO_CLIENT)
        self._waiting: dict[Direction, deque] = {d: deque() for d in Direction}
        self._due: dict[Direction, float] = dict.fromkeys(Direction, 0.0)

    def note_made(self, end: _End) -> None:
        if end is self.client:
            self.proxy.links.add(self)
            if self.proxy.is_refusing:
                end.transport.abort()
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

    def pass_on(self, direction: Direction, act: Callable[[_End], None]) -> None:
        """Do `act` at the other end when the proxy's faults let it, in order."""
        if self.is_silent:
            return
        loop = asyncio.get_running_loop()
        due = max(self._due[direction], loop.time() + self.proxy.delay_s)
        self._due[direction] = due
        self._waiting[direction].append((due, act))
        if due <= loop.time():
            self.flush()
        else:
            loop.call_at(due, self.flush)

    def flush(self) -> None:
        """Pass on what is due and not held up."""
        now = asyncio.get_running_loop().time()
        for direction, waiting in self._waiting.items():
            end = self.server if direction is Direction.TO_SERVER else self.client
            if direction in self.proxy.cut or self.is_silent or end.transport is None:
                continue
            while waiting and waiting[0][0] <= now:
                waiting.popleft()[1](end)
        if all(end.transport is None or end.transport.is_closing() for end in self._ends):
            self.proxy.links.discard(self)

    def abort(self) -> None:
        """Reset both sides."""
        self.is_silent = True
        for end in self._ends:
            if end.transport is not None:
                end.transport.abort()
        self.proxy.links.discard(self)

    @property
    def _ends(self) -> tuple[_End, _End]:
        return self.client, self.server


class FaultProxy:
    """Listens on a port of its own for the server at `target`."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.port = 0
        self.delay_s = 0.0
        self.is_refusing = False
        self.cut: frozenset[Direction] = frozenset()
        self.links: set[_Link] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port, or on the former one after a stop."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Link(self).client, "127.0.0.1", self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def heal(self) -> None:
        """End all faults; what was held up goes on its way, silenced connections stay silent."""
        self.delay_s, self.is_refusing, self.cut = 0.0, False, frozenset()
        for link in list(self.links):
            link.flush()

    def reset(self) -> None:
        """Reset all connections."""
        for link in list(self.links):
            link.abort()

    def silence(self) -> None:
        """Let all present connections go silent for good, without a reset; new ones work."""
        for link in self.links:
            link.is_silent = True

    def stop(self) -> None:
        """Stop listening and reset everything."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset()
