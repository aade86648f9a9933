"""Configures logbook: one line per record, as text with a fixed prefix or as JSON."""

import json
import sys
from typing import TextIO

from logbook import Logger, LogRecord, StreamHandler, lookup_level

from ..settings import LogSettings


def _format_time(record: LogRecord) -> str:
    return record.time.replace(tzinfo=None).isoformat(timespec="milliseconds") + "Z"


class LogFactory:
    """Creates the loggers of one instance; they write to stderr or to `stream`."""

    def __init__(self, instance: str, settings: LogSettings, stream: TextIO | None = None) -> None:
        self._instance = instance
        self._level = lookup_level(settings.level.upper())
        self._handler = StreamHandler(stream or sys.stderr, level=self._level)
        formatters = {"text": self._format_text, "json": self._format_json}
        self._handler.formatter = formatters[settings.format]

    def make_logger(self, part: str) -> Logger:
        """Return a logger that writes `part` as its channel and uses no global handler."""
        logger = Logger(part, level=self._level)
        logger.handlers.append(self._handler)
        return logger

    def _format_text(self, record: LogRecord, handler: StreamHandler) -> str:
        # Line breaks are escaped, so that a caller's input cannot forge another record.
        message = record.message.replace("\r", "\\r").replace("\n", "\\n")
        head = f"{_format_time(record)} {record.level_name:<8} {self._instance}"
        line = f"{head} [{record.channel}] {message}"
        if record.formatted_exception:
            line = f"{line}\n{record.formatted_exception}"
        return line

    def _format_json(self, record: LogRecord, handler: StreamHandler) -> str:
        fields = {
            "time": _format_time(record),
            "level": record.level_name.lower(),
            "instance": self._instance,
            "part": record.channel,
            "message": record.message,
        }
        if record.formatted_exception:
            fields["exception"] = record.formatted_exception
        return json.dumps(fields, ensure_ascii=False)
