"""Sizes of the parts of a request that is being received, whatever packets it arrives in."""

from ..policy.buffers import FIELD_COST_BYTES
from ..policy.receiving import MAX_FRAMING_PER_BODY_BYTE, LimitReason
from ..policy.turns import FIELD_WORK

# A head and a chunked body end with these bytes, which a parser that insists on CRLF accepts
# nowhere else but inside the data of a chunk.
END_OF_HEAD = b"\r\n\r\n"
# A length with more digits is refused by the parser or exceeds every limit.
_MAX_LENGTH_DIGITS = 18
# Separators of a field line that the parser doesn't report: colon, space, CR and LF.
_FIELD_SEPARATOR_BYTES = 4


def find_end_of_head(tail: bytes, data: bytes, start: int) -> int:
    """Return the index in `data` after the next end of a head, or -1.

    The end may begin in `tail`, the bytes received before `data[start]`, which it must not contain.
    """
    if tail:
        at = (tail + data[start : start + len(END_OF_HEAD) - 1]).find(END_OF_HEAD)
        if at >= 0:
            return start + at + len(END_OF_HEAD) - len(tail)
    at = data.find(END_OF_HEAD, start)
    return at + len(END_OF_HEAD) if at >= 0 else -1


class MessageSizes:
    """Counts the bytes of one request: head and empty lines before it, body, framing, trailers.

    The parser is fed with pieces that end at `find_end`, so that a request never ends inside one,
    and the counts don't depend on how the request was cut into packets.
    """

    __slots__ = (
        "body_bytes",
        "body_left_bytes",
        "is_head_complete",
        "total_work",
        "_chunk_start_bytes",
        "_head_bytes",
        "_is_after_size_line",
        "_tail",
        "_trailer_bytes",
        "_wire_bytes",
        "_work_before",
    )

    def __init__(self) -> None:
        # Work on all requests of the connection, in the units of `policy.turns`.
        self.total_work = 0
        self.reset()

    def reset(self) -> None:
        """Reset all counts for the next request."""
        self.body_bytes = 0
        self.body_left_bytes = 0
        self.is_head_complete = False
        self._work_before = self.total_work
        self._head_bytes = 0
        # Bytes since the head, with chunk sizes, extensions and trailers.
        self._wire_bytes = 0
        self._trailer_bytes = 0
        # After a size line either the data of a chunk follows, or the trailers.
        self._is_after_size_line = False
        self._chunk_start_bytes = 0
        self._tail = b""

    @property
    def work(self) -> int:
        """Return the work on this request so far."""
        return self.total_work - self._work_before

    def find_end(self, data: bytes, start: int, max_header_bytes: int) -> int:
        """Return the index at which the piece ends; `start` if the head exceeds its limit."""
        length = len(data)
        if self.is_head_complete and self.body_left_bytes:
            return min(length, start + self.body_left_bytes)
        end = find_end_of_head(self._tail if start == 0 else b"", data, start)
        if end < 0:
            end = length
        if self.is_head_complete:
            return end
        return max(start, min(end, start + max_header_bytes - self._head_bytes))

    def keep_tail(self, data: bytes) -> None:
        """Keep the last bytes of a packet that the request does not end with."""
        size = len(END_OF_HEAD) - 1
        self._tail = data[-size:] if len(data) >= size else (self._tail + data)[-size:]

    def add_piece(self, size_bytes: int) -> None:
        """Count a piece before it is parsed."""
        if self.is_head_complete:
            self._wire_bytes += size_bytes
        else:
            self._head_bytes += size_bytes

    def add_field(self) -> None:
        """Count a header field."""
        self.total_work += FIELD_WORK

    def set_length(self, value: bytes) -> None:
        """Set the length of the body from its header; the parser refuses one that is malformed."""
        if value.isdigit() and len(value) <= _MAX_LENGTH_DIGITS:
            self.body_left_bytes = int(value)

    def complete_head(self) -> None:
        """Record that the head is complete."""
        self.is_head_complete = True

    def begin_chunk(self) -> None:
        """Record the end of a size line."""
        self.total_work += 1
        self._is_after_size_line = True
        self._chunk_start_bytes = self._wire_bytes

    def add_body(self, size_bytes: int) -> None:
        """Count a piece of the body."""
        self.total_work += 1
        self.body_bytes += size_bytes
        self._is_after_size_line = False
        if self.body_left_bytes:
            self.body_left_bytes -= size_bytes

    def add_trailer(self, size_bytes: int) -> None:
        """Count the name and value of a trailer field."""
        self.total_work += 1
        self._trailer_bytes += size_bytes + _FIELD_SEPARATOR_BYTES

    @property
    def _unfinished_trailer_bytes(self) -> int:
        # The parser holds the bytes of a trailer field that is not complete.
        return self._wire_bytes - self._chunk_start_bytes if self._is_after_size_line else 0

    def find_excess(
        self, max_header_bytes: int, max_body_bytes: int, is_complete: bool = False
    ) -> LimitReason | None:
        """Return the limit that is exceeded, or None; `is_complete` at the end of the request."""
        if self.body_bytes > max_body_bytes:
            return LimitReason.BODY_BYTES
        if self._wire_bytes == self.body_bytes:
            return None
        if max(self._trailer_bytes, self._unfinished_trailer_bytes) > max_header_bytes:
            return LimitReason.TRAILER_BYTES
        # Until the request is complete more body may follow, so the largest body is assumed.
        body_bytes = self.body_bytes if is_complete else max_body_bytes
        framing_bytes = self._wire_bytes - self.body_bytes
        if framing_bytes > max_header_bytes + MAX_FRAMING_PER_BODY_BYTE * body_bytes:
            return LimitReason.FRAMING_BYTES
        return None

    def count_held(self, header_count: int) -> int:
        """Return the memory in bytes that the request takes with this number of header fields."""
        # A growing buffer is an eighth larger than its content.
        body_bytes = self.body_bytes + (self.body_bytes >> 3)
        return (
            self._head_bytes
            + header_count * FIELD_COST_BYTES
            + body_bytes
            + self._unfinished_trailer_bytes
        )
