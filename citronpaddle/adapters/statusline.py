"""Checks that a response begins with a status line of HTTP/1.1.

The httptools parser accepts any three digits, HTTP/0.9 and HTTP/2.0, and RTSP and ICE, and does not
report the protocol's name.
"""

import re

import httptools

from .framing import END_OF_HEAD, find_end_of_head

_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9][ \r]")
# The bytes that are allowed at each position of the pattern above.
_UP_TO_STATUS = (*(bytes([byte]) for byte in b"HTTP/1."), b"01", b" ", b"12345") + (
    b"0123456789",
) * 2
_ALLOWED = (*_UP_TO_STATUS, b" \r")
_VERSIONS = ("1.1", "1.0")
_STATUS_CLASS_INDEX = _ALLOWED.index(b"12345")


class StatusLineError(httptools.HttpParserError):
    """A response that does not begin with a status line of HTTP/1.1."""


def is_http_1(status: int, version: str) -> bool:
    """Return whether a parsed status and version are those of an HTTP/1.0 or HTTP/1.1 response."""
    return 100 <= status <= 599 and version in _VERSIONS


class StatusLineCheck:
    """Checks the status lines of the responses to one request, interim (1xx) ones included."""

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Expect the beginning of a response."""
        self._checked_bytes = 0
        self._is_interim = False
        self._tail = b""

    def check(self, data: bytes, start: int) -> int:
        """Check the bytes from `start` on; return the index after those to parse next.

        These end with the head of an interim response, otherwise with `data`. Raise
        StatusLineError if the status line is not one of HTTP/1.0 or HTTP/1.1.
        """
        if not self._checked_bytes and _STATUS_LINE.match(data, start):
            self._checked_bytes = len(_ALLOWED)
            self._is_interim = data[start + _STATUS_CLASS_INDEX] == ord("1")
        elif self._checked_bytes < len(_ALLOWED):
            self._check_bytes(data, start)
        if not self._is_interim:
            return len(data)
        # An interim response has no body, and another response follows its head.
        end = find_end_of_head(self._tail, data, start)
        if end < 0:
            self._tail = (self._tail + data[start:])[1 - len(END_OF_HEAD) :]
            return len(data)
        self.reset()
        return end

    def _check_bytes(self, data: bytes, start: int) -> None:
        for byte in data[start : start + len(_ALLOWED) - self._checked_bytes]:
            if byte not in _ALLOWED[self._checked_bytes]:
                raise StatusLineError
            if self._checked_bytes == _STATUS_CLASS_INDEX:
                self._is_interim = byte == ord("1")
            self._checked_bytes += 1
