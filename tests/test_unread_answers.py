"""Answers that callers do not read, with transports that write nothing."""

import asyncio
import os
from unittest.mock import Mock

from citronpaddle.adapters.callerconnections import CallerConnection
from citronpaddle.adapters.counts import Counts
from citronpaddle.adapters.eventlog import EventLog
from citronpaddle.adapters.httpserver import HttpAnswer
from citronpaddle.adapters.intake import Intake
from citronpaddle.adapters.openconnections import Connections
from citronpaddle.clock import SystemClock
from citronpaddle.policy.catalog import CallerLimits
from citronpaddle.policy.receiving import CallerBudgetLimits

LIMIT_BYTES = 1_000_000
ANSWER = HttpAnswer(200, (), b"x" * 200_000)


class StuckTransport(Mock):
    """A transport whose peer reads nothing: what is written stays in its buffer."""

    def attach(self, protocol: CallerConnection) -> None:
        self.buffer_bytes = 0
        self.is_aborted = False
        self.protocol = protocol
        self.get_write_buffer_size = lambda: self.buffer_bytes
        protocol.connection_made(self)

    def write(self, data: bytes) -> None:
        self.buffer_bytes += len(data)
        self.protocol.pause_writing()

    def abort(self) -> None:
        self.is_aborted = True
        self.buffer_bytes = 0


def _make_intake() -> Intake:
    clock = SystemClock()
    log = EventLog("i0", clock, os.open(os.devnull, os.O_WRONLY))
    return Intake(CallerBudgetLimits(LIMIT_BYTES, 1_000), clock, log, Counts())


def _connect(intake: Intake) -> StuckTransport:
    service = Mock()
    service.get_limits.return_value = CallerLimits()
    service.handle = lambda request, connection: connection.answer(ANSWER)
    transport = StuckTransport()
    connection = CallerConnection(service, SystemClock(), Connections(), intake)
    transport.attach(connection)
    return transport


async def _send_request(transport: StuckTransport) -> None:
    """Receive a request, and run the passes of the event loop in which it may have its turn."""
    transport.protocol.data_received(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    for _ in range(3):
        await asyncio.sleep(0)


def test_unread_answers_stay_within_the_memory_for_callers():
    """Guards against callers that read nothing and make the instance keep all of their answers."""

    async def run():
        intake = _make_intake()
        transports = [_connect(intake) for _ in range(50)]
        for transport in transports:
            await _send_request(transport)
        assert sum(transport.buffer_bytes for transport in transports) <= LIMIT_BYTES
        assert not transports[-1].is_aborted

    asyncio.run(run())


def test_read_answers_are_not_counted():
    """Guards against answers that count for ever, so that ordinary callers are cut."""

    async def run():
        intake = _make_intake()
        for _ in range(50):
            transport = _connect(intake)
            await _send_request(transport)
            assert intake.held_bytes > 0
            transport.buffer_bytes = 0
            transport.protocol.resume_writing()
            assert intake.held_bytes == 0
            assert not transport.is_aborted

    asyncio.run(run())
