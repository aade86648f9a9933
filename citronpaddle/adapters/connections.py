"""Connection pool to upstreams: idle connections and those being opened."""

import asyncio
from collections.abc import Callable

from ..clock import Clock
from ..policy.buffers import ReceiveBudget, ReceiveLimits
from .addresses import Address
from .httpclient import HttpConnection, HttpFailure, HttpResponse, ResponseSink

# Idle connections kept per upstream. The connections of all instances together must stay within the
# upstream's limit, even when half of the instances were just replaced and their old connections
# still count.
MAX_IDLE_PER_ADDRESS = 1
# Opening a connection takes a few ms; after this timeout the upstream is treated as unreachable.
CONNECT_TIMEOUT_MS = 1_000.0
# The store's responses are the largest: a watch may return many values of up to a megabyte.
DEFAULT_RECEIVE_LIMITS = ReceiveLimits(
    response_bytes=16 * 1024 * 1024, total_bytes=32 * 1024 * 1024
)
# The share of the memory of a small machine that incomplete responses of one pool may take.
RECEIVE_MEMORY_SHARE = 0.1


def derive_receive_limits(memory_mb: float | None) -> ReceiveLimits:
    """Return the limits for an instance with this memory in MB, the defaults if it is unknown."""
    limits = DEFAULT_RECEIVE_LIMITS
    if memory_mb is None:
        return limits
    total_bytes = min(limits.total_bytes, int(RECEIVE_MEMORY_SHARE * memory_mb * 1_000_000))
    return ReceiveLimits(min(limits.response_bytes, total_bytes // 2), total_bytes)


class Dispatch:
    """One request sent to an upstream; `cancel` stops it at any stage."""

    def __init__(self, sink: ResponseSink) -> None:
        self.sink = sink
        self.connection: HttpConnection | None = None
        self.task: asyncio.Task | None = None

    def cancel(self) -> None:
        """Stop connecting, or abort the connection, so that the upstream drops the request."""
        if self.task is not None:
            self.task.cancel()
        if self.connection is not None:
            self.connection.abort()


class ConnectionPool:
    """Connections by address; the caller limits the number of open requests per address."""

    def __init__(
        self,
        clock: Clock,
        limits: ReceiveLimits = DEFAULT_RECEIVE_LIMITS,
        max_idle_per_address: int = MAX_IDLE_PER_ADDRESS,
    ) -> None:
        """Create an empty pool; `limits` bound the responses that its connections receive."""
        self._clock = clock
        self._max_idle_per_address = max_idle_per_address
        self._budget = ReceiveBudget(limits)
        self._idle: dict[Address, list[HttpConnection]] = {}
        self._addresses: dict[HttpConnection, Address] = {}
        self.opened = 0

    @property
    def held_bytes(self) -> int:
        """Return how many bytes of incomplete responses the pool holds."""
        return self._budget.total_bytes

    def dispatch(
        self,
        address: Address,
        build: Callable[[], bytes],
        sink: ResponseSink,
        max_idle_ms: float,
        is_head: bool = False,
    ) -> Dispatch:
        """Send the request that `build` returns, on a new connection or a recently used one.

        A pooled connection is reused if it was idle for at most `max_idle_ms`. `build` is called
        once the connection is established, just before the first byte is written. Failures are
        reported to `sink`.
        """
        dispatch = Dispatch(sink)
        connection = self._pop_idle(address, max_idle_ms)
        if connection is not None:
            dispatch.connection = connection
            connection.send(build(), sink, is_head)
        else:
            open_and_send = self._open(address, build, dispatch, is_head)
            dispatch.task = asyncio.get_running_loop().create_task(open_and_send)
        return dispatch

    async def fetch(
        self,
        address: Address,
        request: bytes,
        accept: Callable[[HttpResponse, bool], bool],
        max_idle_ms: float,
        timeout_ms: float,
    ) -> HttpResponse | HttpFailure:
        """Send a request once and return its response or the failure, within `timeout_ms`.

        `accept` gets a response and whether its connection was used before, and returns false for
        the response to another request. A connection whose response is overdue is closed.
        """
        ended: asyncio.Future[HttpResponse | HttpFailure] = (
            asyncio.get_running_loop().create_future()
        )
        is_sent = is_reused = False

        def build() -> bytes:
            nonlocal is_sent
            is_sent = True
            return request

        sink = ResponseSink(
            lambda response: accept(response, is_reused), ended.set_result, ended.set_result
        )
        dispatch = self.dispatch(address, build, sink, max_idle_ms)
        is_reused = dispatch.connection is not None
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                return await asyncio.shield(ended)
        except TimeoutError:
            return HttpFailure("timeout", is_sent)
        finally:
            if not ended.done():
                dispatch.cancel()

    def close_address(self, address: Address) -> None:
        """Close the idle connections to `address`, which is no longer used."""
        for connection in self._idle.pop(address, ()):
            connection.abort()

    def close_stale(self) -> None:
        """Close idle connections that approach the upstream's idle timeout."""
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
        """Abort all open connections, including those with a request in progress."""
        for connection in list(self._addresses):
            connection.abort()

    def _pop_idle(self, address: Address, max_idle_ms: float) -> HttpConnection | None:
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if not connection.is_usable:
                connection.abort()
                continue
            if self._clock.now_ms() - connection.idle_since_ms <= max_idle_ms:
                return connection
            # The remaining ones have been idle for longer; abort this one to stay within the limit.
            connection.abort()
            return None
        return None

    async def _open(
        self, address: Address, build: Callable[[], bytes], dispatch: Dispatch, is_head: bool
    ) -> None:
        loop = asyncio.get_running_loop()
        connection = HttpConnection(
            self._clock, self._budget, self._handle_idle, self._handle_closed
        )
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

    def _handle_idle(self, connection: HttpConnection) -> None:
        address = self._addresses.get(connection)
        if address is None:
            return
        idle = self._idle.setdefault(address, [])
        idle.append(connection)
        if len(idle) > self._max_idle_per_address:
            idle.pop(0).close()

    def _handle_closed(self, connection: HttpConnection) -> None:
        address = self._addresses.pop(connection, None)
        idle = self._idle.get(address)
        if idle and connection in idle:
            idle.remove(connection)
