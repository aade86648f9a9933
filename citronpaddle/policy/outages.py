"""Outages of the platform's store, and the entries that may have lapsed during one.

Times are in ms on one monotonic clock.
"""

from math import inf

# An upstream writes its entry every 1.2 s, and it lapses after three such intervals, of which one
# may have passed when the store stops answering. A shorter outage removes no entry of a running
# upstream.
MIN_LAPSE_MS = 2_000.0
# Watchers read the store, and relay that it answers, up to 2 s apart. A longer silence of all of
# them is an outage even if no call of this instance has failed.
MAX_RELAYED_SILENCE_MS = 2_400.0
# Upstreams and instances write lapsed entries again within about two seconds of the store's return.
RETURN_GRACE_MS = 2_500.0
# One failed or cut call is followed at once by another, so a second failure without an answer in
# between is a loss of the store.
FAILURES_OF_A_LOSS = 2


class StoreContact:
    """Tracks when the store has answered this instance."""

    def __init__(self) -> None:
        self._answered_ms: float | None = None
        self._failures = 0

    @property
    def is_doubtful(self) -> bool:
        """Return whether a call has failed since the last answer."""
        return self._failures > 0

    @property
    def is_lost(self) -> bool:
        """Return whether several calls have failed since the last answer."""
        return self._failures >= FAILURES_OF_A_LOSS

    def record_failure(self) -> None:
        """Record a call without a usable answer."""
        self._failures += 1

    def record_answer(self, now_ms: float) -> float:
        """Record an answer; return the length in ms of the outage before it.

        The result is 0 unless entries may have lapsed: the store may have been away since the last
        answer if a call has failed since then.
        """
        outage_ms = self._record(now_ms, MIN_LAPSE_MS if self.is_doubtful else inf)
        self._failures = 0
        return outage_ms

    def record_relayed_answer(self, answered_ms: float) -> float:
        """Record that the store has answered another instance; return the same as for an own one.

        Calls of this instance may fail all the same.
        """
        return self._record(
            answered_ms, MIN_LAPSE_MS if self.is_doubtful else MAX_RELAYED_SILENCE_MS
        )

    def _record(self, answered_ms: float, min_outage_ms: float) -> float:
        previous_ms = answered_ms if self._answered_ms is None else self._answered_ms
        self._answered_ms = max(previous_ms, answered_ms)
        silent_ms = answered_ms - previous_ms
        return silent_ms if silent_ms >= min_outage_ms else 0.0


class LapsedEntries:
    """Entries that are missing after an outage and are kept until the grace period is over.

    Each is kept for at most `RETURN_GRACE_MS` in which the store answers. A further outage suspends
    that time and does not start it anew.
    """

    def __init__(self) -> None:
        self._keep_until_ms: dict[str, float] = {}
        self._grace_until_ms = 0.0

    def handle_store_return(self, now_ms: float, outage_ms: float = 0.0) -> None:
        """Start the grace period after an outage of `outage_ms`."""
        for key, until_ms in self._keep_until_ms.items():
            self._keep_until_ms[key] = min(until_ms + outage_ms, now_ms + RETURN_GRACE_MS)
        self._grace_until_ms = now_ms + RETURN_GRACE_MS

    def keep(self, key: str, now_ms: float) -> bool:
        """Return whether the entry of `key`, which was removed, is kept for now."""
        if now_ms >= self._grace_until_ms:
            return False
        self._keep_until_ms.setdefault(key, self._grace_until_ms)
        return True

    def discard(self, key: str) -> None:
        """Stop tracking an entry that is back, or that is no longer needed."""
        self._keep_until_ms.pop(key, None)

    def pop_expired(self, now_ms: float) -> list[str]:
        """Return the keys whose time is over, which are no longer tracked."""
        expired = [key for key, until_ms in self._keep_until_ms.items() if now_ms >= until_ms]
        for key in expired:
            del self._keep_until_ms[key]
        return expired
