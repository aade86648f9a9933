"""Limits on the bytes of incomplete responses that an instance holds in memory."""

from collections.abc import Hashable
from typing import NamedTuple

# Memory of a header or trailer field in addition to its bytes: a tuple and two bytes objects.
FIELD_COST_BYTES = 160


class ReceiveLimits(NamedTuple):
    """Limits in bytes of one response, and of all incomplete responses together."""

    response_bytes: int
    total_bytes: int


class ReceiveBudget:
    """Counts the bytes received for incomplete responses and selects those to give up.

    When the total is exceeded the largest response is given up, so that upstreams that send without
    end do not displace the responses of others.
    """

    def __init__(self, limits: ReceiveLimits) -> None:
        self._limits = limits
        self._received: dict[Hashable, int] = {}
        self.total_bytes = 0

    def record(self, response: Hashable, size_bytes: int) -> Hashable | None:
        """Record received bytes; return the response to give up, or None if all are within limits.

        A response that is given up counts until `release`.
        """
        received = self._received[response] = self._received.get(response, 0) + size_bytes
        self.total_bytes += size_bytes
        if received > self._limits.response_bytes:
            return response
        if self.total_bytes > self._limits.total_bytes:
            return max(self._received, key=self._received.__getitem__)
        return None

    def release(self, response: Hashable) -> None:
        """Remove a response that is complete or given up; unknown ones are ignored."""
        self.total_bytes -= self._received.pop(response, 0)
