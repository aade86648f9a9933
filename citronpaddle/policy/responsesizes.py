"""Limits of one response that an upstream or the store sends: memory and processor time.

A limit on its bytes bounds neither: header fields of five bytes take forty times as much memory,
and chunks of a byte take as much time as large ones. What is counted here is what costs either.
"""

# Bytes of the head, with those of interim (1xx) and rejected responses before it.
MAX_HEAD_BYTES = 64 * 1024
# Fields of all heads and trailers together.
MAX_FIELDS = 512
# Interim responses, and responses to other requests, before the one that is awaited.
MAX_OTHER_RESPONSES = 16
# Chunks and packets that are allowed, in addition to one for each `MIN_PIECE_BYTES` of the body.
MAX_EXTRA_PIECES = 4_096
MIN_PIECE_BYTES = 128
# Chunk sizes, extensions and trailers that are allowed, for a body and for each byte of it.
MAX_FRAMING_BYTES = 64 * 1024
MAX_FRAMING_PER_BODY_BYTE = 16
# What is parsed at a time, so that limits are checked before the rest of a packet is.
SLICE_BYTES = 16 * 1024


class ResponseTooLargeError(Exception):
    """A response that exceeds a limit; its connection must be closed."""


class ResponseSizes:
    """Counts the parts of the response to one request; each count raises ResponseTooLargeError."""

    __slots__ = ("_body_bytes", "_fields", "_framing_bytes", "_head_bytes", "_others", "_pieces")

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Reset all counts for the next request."""
        self._head_bytes = 0
        self._fields = 0
        self._others = 0
        self._body_bytes = 0
        self._framing_bytes = 0
        self._pieces = 0

    def find_slice_end(self, start: int, length: int, is_head: bool) -> int:
        """Return the end of the next slice to parse of a packet with `length` bytes."""
        end = min(length, start + SLICE_BYTES)
        return min(end, start + max(1, MAX_HEAD_BYTES - self._head_bytes)) if is_head else end

    def add_packet(self) -> None:
        """Count a packet."""
        self._add_piece()

    def add_slice(self, size_bytes: int, is_head: bool) -> None:
        """Count a slice before it is parsed."""
        if is_head:
            self._head_bytes += size_bytes
            if self._head_bytes > MAX_HEAD_BYTES:
                raise ResponseTooLargeError("head")
            return
        allowed = MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * self._body_bytes
        if self._framing_bytes > allowed:
            raise ResponseTooLargeError("framing")
        # Bytes of the body among them are subtracted as they are parsed.
        self._framing_bytes += size_bytes

    def add_field(self) -> None:
        """Count a field of a head or a trailer."""
        self._fields += 1
        if self._fields > MAX_FIELDS:
            raise ResponseTooLargeError("fields")

    def add_other_response(self) -> None:
        """Count a response that is not the one awaited."""
        self._others += 1
        if self._others > MAX_OTHER_RESPONSES:
            raise ResponseTooLargeError("other responses")

    def add_chunk(self) -> None:
        """Count the size line of a chunk."""
        self._add_piece()

    def add_body(self, size_bytes: int) -> None:
        """Count bytes of the body."""
        self._body_bytes += size_bytes
        self._framing_bytes -= size_bytes

    def _add_piece(self) -> None:
        self._pieces += 1
        if self._pieces > MAX_EXTRA_PIECES + self._body_bytes // MIN_PIECE_BYTES:
            raise ResponseTooLargeError("pieces")
