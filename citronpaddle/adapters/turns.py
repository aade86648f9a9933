"""Runs the turns in which the connections of callers parse what they have received."""

import asyncio
from abc import ABC, abstractmethod

from ..clock import Clock
from ..policy.turns import TurnQueue

# The work of turns that are taken at once is counted anew after this time.
PASS_MS = 5.0


class ParsingConnection(ABC):
    """A connection that parses what it has received in turns."""

    @abstractmethod
    def take_turn(self) -> int:
        """Parse some of the bytes received and return the work; ask for a turn if more wait."""

    @abstractmethod
    def fail(self, error: Exception) -> None:
        """Close the connection after an unexpected error in a turn."""


class Turns:
    """The turns of all connections of one process.

    A turn is taken at once unless others wait or the work of this pass is done.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._queue = TurnQueue()
        self._pass_started_ms = clock.now_ms()
        self._is_running = False
        self._next_pass: asyncio.Handle | None = None

    def request(self, connection: ParsingConnection, work: int, body_bytes: int) -> None:
        """Run or schedule the turn of a connection whose request has cost `work` so far."""
        self._queue.add(connection, work, body_bytes)
        if self._is_running or self._next_pass is not None:
            return
        now_ms = self._clock.now_ms()
        if now_ms - self._pass_started_ms >= PASS_MS:
            self._pass_started_ms = now_ms
            self._queue.start_pass()
        self._run()

    def discard(self, connection: ParsingConnection) -> None:
        """Remove a connection that is closed."""
        self._queue.discard(connection)

    def _run_next_pass(self) -> None:
        self._next_pass = None
        self._pass_started_ms = self._clock.now_ms()
        self._queue.start_pass()
        self._run()

    def _run(self) -> None:
        self._is_running = True
        try:
            while (connection := self._queue.pop()) is not None:
                try:
                    self._queue.record_work(connection.take_turn())
                except Exception as error:
                    connection.fail(error)
        finally:
            self._is_running = False
        if len(self._queue):
            self._next_pass = asyncio.get_running_loop().call_soon(self._run_next_pass)
