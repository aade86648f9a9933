"""Until when a stopping instance accepts requests, and until when it waits for their answers.

Times are in ms on one monotonic clock.
"""

from typing import NamedTuple

# Callers with an older list of addresses go on connecting for up to this multiple of its TTL.
ADDRESS_TTL_FACTOR = 1.5
# The share of the grace period after which no request is accepted: the last one still has nearly
# as long for its answer.
MAX_ACCEPT_SHARE = 0.5
# The grace period begins when the signal is sent. The event loop may handle it this much later.
SIGNAL_DELAY_MS = 100.0
# The end of the grace period that is reserved for the last answers and for exiting.
EXIT_RESERVE_MS = 800.0


class StopSchedule(NamedTuple):
    """The phases of a stop, as points in time in ms.

    Requests are accepted until `accept_until_ms`, and refused as not run after it. Those in
    progress at `answer_until_ms` are answered without waiting any longer for upstreams.
    """

    accept_until_ms: float
    answer_until_ms: float


def schedule_stop(now_ms: float, grace_ms: float, address_ttl_ms: float) -> StopSchedule:
    """Return the schedule of a stop that begins at `now_ms`.

    `grace_ms` is the time after which the process is killed, `address_ttl_ms` how long callers may
    keep a list of addresses.
    """
    accept_ms = min(
        ADDRESS_TTL_FACTOR * address_ttl_ms, MAX_ACCEPT_SHARE * grace_ms - SIGNAL_DELAY_MS
    )
    accept_until_ms = now_ms + max(0.0, accept_ms)
    return StopSchedule(accept_until_ms, max(accept_until_ms, now_ms + grace_ms - EXIT_RESERVE_MS))
