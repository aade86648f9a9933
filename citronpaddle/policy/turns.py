"""The order in which the received bytes of connections are parsed.

Work is counted in units of about the same processor time: a header field, a trailer field, a piece
of a body. Connections take turns, so that no one of them and no number of them keeps the event loop
from its other tasks, and those whose request has cost little come first.
"""

from collections import deque
from collections.abc import Hashable

# Work of all connections in one pass of the event loop, some milliseconds.
PASS_WORK = 1_000
# A request is costly above this work, plus one unit for so many bytes of its body. A chunk has two
# units, so that bodies in chunks of 128 bytes or more are not costly.
COSTLY_WORK = 256
BODY_BYTES_PER_UNIT = 64
# Bytes that a connection parses in a turn. Chunks and fields have at least five bytes each, so that
# a first turn costs little whatever it has.
MIN_TURN_BYTES = 256
MAX_TURN_BYTES = 16_384
# A turn may have twice as many bytes as the last one if that had at most one unit for this many, as
# the heads of ordinary requests have.
LIGHT_BYTES_PER_UNIT = 8
# Work of a header field from its parsing until the request is sent on, and of a complete request.
FIELD_WORK = 4
REQUEST_WORK = 50


def is_costly(work: int, body_bytes: int) -> bool:
    """Return whether a request with this work and size so far is costly."""
    return work > COSTLY_WORK + body_bytes // BODY_BYTES_PER_UNIT


def choose_turn_bytes(last_bytes: int, last_work: int) -> int:
    """Return the size of a connection's next turn after one of `last_bytes` with `last_work`."""
    if last_work * LIGHT_BYTES_PER_UNIT > last_bytes:
        return MIN_TURN_BYTES
    return min(MAX_TURN_BYTES, max(MIN_TURN_BYTES, 2 * last_bytes))


class TurnQueue:
    """Connections that wait for a turn, each once.

    In each pass one costly connection has a turn, so that all progress; then come those that are
    not costly, and the costly ones with the work that is left.
    """

    def __init__(self) -> None:
        self._light: deque[Hashable] = deque()
        self._costly: deque[Hashable] = deque()
        self._waiting: set[Hashable] = set()
        self._pass_work = 0
        self._is_costly_due = True

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, key: Hashable, work: int, body_bytes: int) -> None:
        """Add a connection, whose request has cost `work` so far, unless it waits already."""
        if key in self._waiting:
            return
        self._waiting.add(key)
        (self._costly if is_costly(work, body_bytes) else self._light).append(key)

    def discard(self, key: Hashable) -> None:
        """Remove a connection if it waits."""
        if key in self._waiting:
            self._waiting.remove(key)
            (self._light if key in self._light else self._costly).remove(key)

    def start_pass(self) -> None:
        """Begin the next pass of the event loop."""
        self._pass_work = 0
        self._is_costly_due = True

    def record_work(self, work: int) -> None:
        """Count work that was done in this pass."""
        self._pass_work += work

    def pop(self) -> Hashable | None:
        """Return the next connection of this pass, or None if there is none or no work is left."""
        if self._pass_work >= PASS_WORK:
            return None
        queue = self._light or self._costly
        if self._costly and self._is_costly_due:
            queue = self._costly
            self._is_costly_due = False
        if not queue:
            return None
        key = queue.popleft()
        self._waiting.remove(key)
        return key
