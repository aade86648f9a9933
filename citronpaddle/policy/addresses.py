"""Answers "which address" for callers, and decides when this instance stops taking new work."""

from collections.abc import Collection, Iterable

from ..models import Address, Member, MemberState

# A caller that looked up just before the change may connect this much after its kept answer ended.
KEEP_MARGIN_MS = 500.0
# A busy instance still gets some work, so that its load figure stays current.
MIN_WEIGHT = 0.05


def list_addresses(members: Iterable[Member], out_domains: Collection[str]) -> tuple[Address, ...]:
    """Return the live instances outside the domains that are taken out, weighted by free capacity.

    Weights add up to 1; the result is empty if no instance may be used.
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
    """Whether this instance takes new work from callers.

    After it starts to leave, or its failure domain is taken out, it still does for `keep_ms` and a
    margin, because callers keep its address that long.
    """

    def __init__(self, keep_ms: float) -> None:
        self.grace_ms = keep_ms + KEEP_MARGIN_MS
        self._leaving_ms: float | None = None
        self._domain_out_ms: float | None = None

    def leave(self, now_ms: float) -> None:
        """Note that the instance is stopping."""
        if self._leaving_ms is None:
            self._leaving_ms = now_ms

    def set_domain_out(self, is_out: bool, now_ms: float) -> None:
        """Note whether the failure domain is taken out."""
        if not is_out:
            self._domain_out_ms = None
        elif self._domain_out_ms is None:
            self._domain_out_ms = now_ms

    @property
    def is_stopping(self) -> bool:
        """Return whether the instance itself is stopping."""
        return self._leaving_ms is not None

    @property
    def is_leaving(self) -> bool:
        """Return whether callers should move to other addresses."""
        return self._leaving_ms is not None or self._domain_out_ms is not None

    def accepts_requests(self, now_ms: float) -> bool:
        """Return whether a new request is taken at `now_ms`."""
        since_ms = [time for time in (self._leaving_ms, self._domain_out_ms) if time is not None]
        return not since_ms or now_ms < min(since_ms) + self.grace_ms
