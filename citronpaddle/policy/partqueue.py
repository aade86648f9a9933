"""Queues the parts of one request for capacity at their services.

Times are in ms on one monotonic clock.
"""

from collections.abc import Callable

from .demand import Demand
from .parts import Part
from .sharing import Sharing


class PartQueue:
    """Queues the first calls of one request's parts for room at their services.

    Repeated calls have their own budget and delays, and do not queue.
    """

    def __init__(
        self,
        sharing: Sharing,
        demand: Demand,
        in_time_ms: float,
        end_ms: float,
        on_resume: Callable[[], None],
    ) -> None:
        """Set until when an answer is in time (`in_time_ms`) and of any use (`end_ms`).

        `on_resume` is called when the first call of a part may start, or the part is refused.
        """
        self._sharing = sharing
        self._demand = demand
        self._in_time_ms = in_time_ms
        self._end_ms = end_ms
        self._on_resume = on_resume

    def may_call(self, part: Part, now_ms: float) -> bool:
        """Return whether a part may be called now; else it waits in the queue, or is refused.

        A part with a reserved permit or an earlier call does not queue.
        """
        if part.calls > 0 or part.reservation is not None:
            return True
        if part.ticket is None and not self._sharing.is_congested(part.service, now_ms):
            return True
        self.join(part, now_ms)
        if self.is_refused(part, now_ms):
            return False
        if self._sharing.may_start(part.ticket, now_ms):
            return True
        part.resume_ms = part.ticket.end_ms
        return False

    def join(self, part: Part, now_ms: float) -> None:
        """Queue a part, unless it waits already or queueing is disabled."""
        if part.ticket is None and self._sharing.is_enabled:
            part.ticket = self._sharing.join(
                part.service,
                self._demand,
                self._in_time_ms,
                self._end_ms,
                lambda: self._resume(part),
                now_ms,
            )

    def is_refused(self, part: Part, now_ms: float) -> bool:
        """Return whether a queued part was refused, or its deadline has passed."""
        ticket = part.ticket
        return ticket is not None and (ticket.shortage is not None or now_ms >= ticket.end_ms)

    def record_call(self, part: Part, now_ms: float) -> None:
        """Record that a call of the part starts; it no longer waits."""
        ticket, part.ticket = part.ticket, None
        if ticket is not None:
            self._sharing.start(ticket, now_ms)
        self._sharing.record_call(part.service)

    def leave(self, part: Part) -> None:
        """Remove a part that no longer waits, if it does."""
        ticket, part.ticket = part.ticket, None
        if ticket is not None:
            self._sharing.leave(ticket)

    def _resume(self, part: Part) -> None:
        part.resume_ms = 0.0
        self._on_resume()
