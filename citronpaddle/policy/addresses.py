"""Lists instance addresses for callers, and decides when this instance stops accepting requests."""

from collections.abc import Collection, Iterable

from ..models import Address, Member, MemberState

# Margin for a caller that looked up the address just before the change: it may still connect this
# long after its cached answer expires.
KEEP_MARGIN_MS = 500.0
# A busy instance keeps receiving some requests, so that its reported load stays current.
MIN_WEIGHT = 0.05


def list_addresses(members: Iterable[Member], out_domains: Collection[str]) -> tuple[Address, ...]:
    """Return the live instances outside `out_domains`, weighted by free capacity.

    `out_domains` are the failure domains taken out of service. Weights add up to 1; the result is
    empty if no instance is usable.
    """
    usable = [
        member
        for member in members
        if member.state is MemberState.LIVE and member.failure_domain not in out_domains
    ]
    weights = [max(MIN_WEIGHT, 1.0 - member.load) for member in usable]
    total = sum(weights)
    return tuple(
        Address(member.http_address, member.failure_domain, round(weight / total, 4))
        for member, weight in zip(usable, weights, strict=True)
    )


class DrainState:
    """Tracks whether this instance accepts new requests from callers.

    After the instance starts leaving, or its failure domain is taken out of service, it accepts
    requests for another `keep_ms` plus `KEEP_MARGIN_MS`, because callers cache its address for
    `keep_ms`.
    """

    def __init__(self, keep_ms: float) -> None:
        self.grace_ms = keep_ms + KEEP_MARGIN_MS
        self._leaving_ms: float | None = None
        self._domain_out_ms: float | None = None

    def start_leaving(self, now_ms: float) -> None:
        """Record that the instance is stopping; later calls have no effect."""
        if self._leaving_ms is None:
            self._leaving_ms = now_ms

    def set_domain_out(self, is_out_of_service: bool, now_ms: float) -> None:
        """Record whether the failure domain is taken out of service."""
        if not is_out_of_service:
            self._domain_out_ms = None
        elif self._domain_out_ms is None:
            self._domain_out_ms = now_ms

    @property
    def is_stopping(self) -> bool:
        """Return whether the instance itself is stopping."""
        return self._leaving_ms is not None

    @property
    def is_leaving(self) -> bool:
        """Return whether callers should switch to other instances."""
        return self._leaving_ms is not None or self._domain_out_ms is not None

    def accepts_requests(self, now_ms: float) -> bool:
        """Return whether a new request is accepted at `now_ms`."""
        since_ms = [time for time in (self._leaving_ms, self._domain_out_ms) if time is not None]
        return not since_ms or now_ms < min(since_ms) + self.grace_ms
