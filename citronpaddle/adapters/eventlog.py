"""Structured log lines on standard output: rate-limited, bounded in memory and non-blocking.

The standard library's logging is used instead of logbook: asyncio imports it anyway, while logbook
imports ssl and other modules that cost a fifth of the memory of an instance.
"""

import json
import logging
import os
from collections import Counter
from enum import StrEnum
from typing import Any

from ..clock import Clock

# Lines over this limit within one second are counted and summarized instead of written.
MAX_LINES_PER_S = 300
# Memory used while the reader of the log does not read; further lines are dropped.
MAX_BUFFER_BYTES = 65_536


class Event(StrEnum):
    """The event types of log lines; the value is written as the field `event`."""

    STARTED = "started"
    STOPPING = "stopping"
    STOPPED = "stopped"
    SETTINGS_RELOADED = "settings_reloaded"
    SETTINGS_REFUSED = "settings_refused"
    STORE_LOST = "store_lost"
    STORE_REGAINED = "store_regained"
    SPENDING_RESUMED = "spending_resumed"
    STORE_RESTORED = "store_restored"
    WATCH_SILENT = "watch_silent"
    HISTORY_LOST = "history_lost"
    LEASE_GRANTED = "lease_granted"
    LEASE_LOST = "lease_lost"
    CONFIGURATION_TAKEN = "configuration_taken"
    CONFIGURATION_REFUSED = "configuration_refused"
    UPSTREAM_LISTED = "upstream_listed"
    UPSTREAM_GONE = "upstream_gone"
    CHANGE_REFUSED = "change_refused"
    UPSTREAM_REFUSED = "upstream_refused"
    UPSTREAM_LIMITED = "upstream_limited"
    UPSTREAM_PACED = "upstream_paced"
    DOMAINS_OUT = "domains_out"
    INSTANCES_CHANGED = "instances_changed"
    ROLLOUT_ORDERED = "rollout_ordered"
    ROLLOUT_REFUSED = "rollout_refused"
    ROLLOUT_CHANGED = "rollout_changed"
    ROLLOUT_FAULT_FOUND = "rollout_fault_found"
    ROLLOUT_WRITTEN = "rollout_written"
    REQUEST_ENDED = "request_ended"
    REQUEST_DENIED = "request_denied"
    TEAM_OVER_QUOTA = "team_over_quota"
    CALLER_LEFT = "caller_left"
    CALLERS_LIMITED = "callers_limited"
    CALL_REPEATED = "call_repeated"
    CALL_FAILED = "call_failed"
    HINTS_REFUSED = "hints_refused"
    INTERNAL_ERROR = "internal_error"
    LINES_SUPPRESSED = "lines_suppressed"


class BoundedHandler(logging.Handler):
    """Writes records to a file descriptor without blocking; `dropped` counts the lines lost."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._buffer = bytearray()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def has_room(self) -> bool:
        """Return whether more than half of the buffer is free, so that a line still fits."""
        return len(self._buffer) < MAX_BUFFER_BYTES // 2

    def emit(self, record: logging.LogRecord) -> None:
        line = record.getMessage().encode() + b"\n"
        if len(self._buffer) + len(line) > MAX_BUFFER_BYTES:
            self.dropped += 1
            return
        self._buffer += line
        self.flush()

    def flush(self) -> None:
        """Write as much as the descriptor accepts; the rest stays in the buffer."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the descriptor: the buffered lines are lost and counted.
                self.dropped += self._buffer.count(b"\n")
                self._buffer.clear()
                return
            del self._buffer[:written]


class EventLog:
    """Writes one JSON object per event, with the fields that the caller passes."""

    def __init__(self, instance: str, clock: Clock, descriptor: int = 1) -> None:
        self._instance = instance
        self._clock = clock
        self._handler = BoundedHandler(descriptor)
        # A private logger, not registered in the process: several instances may share a process.
        self._logger = logging.Logger("citronpaddle", logging.INFO)
        self._logger.addHandler(self._handler)
        self._second = 0
        self._lines = 0
        self._suppressed: Counter[str] = Counter()

    def write(self, event: Event, part: str, **fields: Any) -> None:
        """Write a line for `event`; above `MAX_LINES_PER_S` it is only counted.

        `part` names the component that writes the line; `fields` are added as they are.
        """
        now_ms = self._clock.now_ms()
        second = int(now_ms / 1_000)
        if second != self._second:
            self._second = second
            self._lines = 0
            self._write_summary()
        self._lines += 1
        if self._lines > MAX_LINES_PER_S:
            self._suppressed[event.value] += 1
            return
        self._write_line(event, part, fields)

    def flush(self) -> None:
        """Write buffered lines, as far as the reader accepts them."""
        self._handler.flush()

    def _write_summary(self) -> None:
        if self._handler.dropped:
            self._suppressed["dropped"] += self._handler.dropped
            self._handler.dropped = 0
        # A summary that is dropped would lose its counts, so it waits for free space.
        if self._suppressed and self._handler.has_room:
            counts = dict(self._suppressed)
            self._suppressed.clear()
            self._write_line(Event.LINES_SUPPRESSED, "log", {"counts": counts})

    def _write_line(self, event: Event, part: str, fields: dict[str, Any]) -> None:
        line = {
            "time_ms": self._clock.wall_ms(),
            "instance": self._instance,
            "part": part,
            "event": event.value,
            **fields,
        }
        self._logger.info(json.dumps(line, separators=(",", ":"), default=str))
