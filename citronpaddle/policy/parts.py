"""The parts of a request: one for each shard of its route, or a single one without shards.

Times are in ms on one monotonic clock.
"""

from dataclasses import dataclass, field

from .calls import Call, Reply
from .selection import Reservation
from .sharing import Ticket


@dataclass(slots=True)
class Part:
    """The state of one part: its calls, its reply or the reason why it has none.

    It has a reply, or waits for one of its open calls, for its turn or until `resume_ms`, or it is
    done without a reply; then `last_failure` has the reason. `rejections` counts the latest
    rejections in a row.
    """

    service: str
    reply: Reply | None = None
    error_reply: Reply | None = None
    open_calls: dict[int, Call] = field(default_factory=dict)
    tried: list[str] = field(default_factory=list)
    # Upstreams that may have received the request; a route limits their number.
    used_upstreams: set[str] = field(default_factory=set)
    calls: int = 0
    resume_ms: float = 0.0
    # The permit for which the part waits until `resume_ms`.
    reservation: Reservation | None = None
    # The place of its first call in the queue of the service, while it waits for room.
    ticket: Ticket | None = None
    rejections: int = 0
    # Number of ended calls that an upstream may have run.
    possibly_run_calls: int = 0
    is_done: bool = False
    is_answer_expected: bool = True
    is_hedged: bool = False
    last_failure: str = ""

    @property
    def may_have_run(self) -> bool:
        """Return whether an upstream may have run a call of this part or may still run one."""
        if self.reply is not None or self.possibly_run_calls > 0:
            return True
        return any(call.is_sent for call in self.open_calls.values())
