"""Applies the limits on what callers make the instance hold, at all of its listening sockets."""

import asyncio
import socket
from abc import abstractmethod
from collections import Counter
from collections.abc import Callable

from ..clock import Clock
from ..policy.receiving import CallerBudget, CallerBudgetLimits, ConnectionState, LimitReason
from .addresses import Address
from .counts import Counts
from .eventlog import Event, EventLog
from .turns import ParsingConnection, Turns

# Pending connections of a listening socket.
BACKLOG = 512
# Connections that are accepted at a time. asyncio accepts further ones before it reports these, so
# a large batch would exceed the limit on connections before the first one can be closed.
ACCEPT_BATCH = 16
# The most that a connection reads in a pass of the event loop.
RECEIVE_BYTES = 16_384
# Minimum interval of the log lines.
REPORT_INTERVAL_MS = 1_000.0


class LimitedConnection(ParsingConnection):
    """A connection of a caller that can be given up."""

    @abstractmethod
    def describe(self) -> ConnectionState:
        """Return the state of the connection; its key is the connection itself."""

    @abstractmethod
    def give_up(self, reason: LimitReason) -> None:
        """Release what is held for a request that is not complete, and close the connection.

        A request in progress is still answered. A connection that is closing already is aborted.
        """


class Intake:
    """The open connections of all listening sockets, what they hold, and their turns."""

    def __init__(
        self, limits: CallerBudgetLimits, clock: Clock, log: EventLog, counts: Counts
    ) -> None:
        self.turns = Turns(clock)
        # All connections receive into the same buffer and copy from it at once.
        self.receive_buffer = memoryview(bytearray(RECEIVE_BYTES))
        self._budget = CallerBudget(limits)
        self._clock = clock
        self._log = log
        self._counts = counts
        self._open: set[LimitedConnection] = set()
        self._unreported: Counter[str] = Counter()
        self._reported_ms = 0.0

    def __len__(self) -> int:
        return len(self._open)

    @property
    def held_bytes(self) -> int:
        """Return the bytes held for requests of callers."""
        return self._budget.held_bytes

    def set_limits(self, limits: CallerBudgetLimits) -> None:
        """Apply other limits; what exceeds them is given up at the next connection or packet."""
        self._budget.limits = limits

    def add(self, connection: LimitedConnection) -> None:
        """Add a new connection; close others, or this one, if the limit is exceeded."""
        self._open.add(connection)
        if len(self._open) > self._budget.limits.connections:
            states = [item.describe() for item in self._open]
            for excess in self._budget.select_for_connections(states):
                # Connections that are closing stay in `_open` until asyncio reports their end.
                excess.give_up(LimitReason.CONNECTIONS)

    def discard(self, connection: LimitedConnection) -> None:
        """Remove a closed connection."""
        self._open.discard(connection)
        self.turns.discard(connection)
        self._budget.hold(connection, 0)

    def set_held_bytes(self, connection: LimitedConnection, size_bytes: int) -> None:
        """Set the bytes held for a connection; give up requests if the sum exceeds its limit."""
        self._budget.hold(connection, size_bytes)
        if self._budget.exceeds_bytes:
            states = [item.describe() for item in self._open]
            for holder in self._budget.select_for_bytes(states, self._clock.now_ms()):
                holder.give_up(LimitReason.HELD_BYTES)

    def record(self, reason: LimitReason) -> None:
        """Count a refused request or a closed connection."""
        self._counts.add("callers_limited", reason.value)
        self._unreported[reason.value] += 1

    def report(self) -> None:
        """Log what was counted since the last line, at most once in `REPORT_INTERVAL_MS`."""
        now_ms = self._clock.now_ms()
        if not self._unreported or now_ms - self._reported_ms < REPORT_INTERVAL_MS:
            return
        self._reported_ms = now_ms
        counts, self._unreported = self._unreported, Counter()
        self._log.write(
            Event.CALLERS_LIMITED,
            "intake",
            counts=dict(counts),
            held_bytes=self.held_bytes,
            connections=len(self._open),
        )


class _Listener(socket.socket):
    """A listening socket whose queue is longer than the batch that asyncio accepts."""

    def listen(self, _batch: int) -> None:
        # asyncio passes the size of its batch as the length of the queue.
        super().listen(BACKLOG)


async def listen(
    address: Address, make_connection: Callable[[], asyncio.Protocol]
) -> asyncio.Server:
    """Listen at `address`; raise OSError if it can't be used."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = _Listener(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind(address)
        return await asyncio.get_running_loop().create_server(
            make_connection, sock=listener, backlog=ACCEPT_BATCH
        )
    except BaseException:
        listener.close()
        raise
