"""Registry of the entry instances that callers may use, built from their store entries.

Times are in ms on one monotonic clock.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from .outages import LapsedEntries

# A caller skips an address that has failed, so it needs at least one more.
MIN_LOCAL_MEMBERS = 2
# Maximum number of addresses returned to a caller.
MAX_ADDRESSES = 64
# How long an instance that has left still counts: it may return at once.
RECENT_MEMBER_MS = 30_000.0


class Member(NamedTuple):
    """One entry instance; `address` (for callers) and `hints_address` are `host:port`.

    `cores` is its CPU time in seconds per second, on the scale of the platform's settings.
    """

    name: str
    address: str
    domain: str
    hints_address: str = ""
    cores: float = 1.0


class Members:
    """Instances with an entry; after a store outage, lapsed entries are kept for a grace period."""

    def __init__(self, own: Member) -> None:
        self._own = own
        self._members: dict[str, Member] = {}
        self._seen_ms: dict[str, float] = {}
        # Instances that are not listed and may start at the same time as this one.
        self._expected: dict[str, Member] = {}
        self._lapsed = LapsedEntries()

    @property
    def own(self) -> Member:
        """Return this instance."""
        return self._own

    def put(self, member: Member, now_ms: float) -> None:
        """Add or update the entry of an instance."""
        self._members[member.name] = member
        self._lapsed.discard(member.name)
        self._seen_ms[member.name] = now_ms

    def expect(self, member: Member, now_ms: float) -> None:
        """Count an instance that ran lately among those that share limits, for a time."""
        self._expected[member.name] = member
        self._seen_ms[member.name] = now_ms

    def list_sharing(self, now_ms: float) -> list[Member]:
        """Return the members, and the expected instances that are not listed yet."""
        self._expected = {
            name: member
            for name, member in self._expected.items()
            if name not in self._members
            and now_ms - self._seen_ms.get(name, -RECENT_MEMBER_MS) < RECENT_MEMBER_MS
        }
        return [*self._members.values(), *self._expected.values()]

    def remove(self, name: str, now_ms: float) -> None:
        """Remove an instance whose entry was deleted, at once or after the grace period."""
        if name not in self._members:
            return
        self._seen_ms[name] = now_ms
        if not self._lapsed.keep(name, now_ms):
            del self._members[name]

    def handle_store_return(self, now_ms: float, outage_ms: float = 0.0) -> None:
        """Start the grace period for instances to write entries that lapsed in a store outage."""
        self._lapsed.handle_store_return(now_ms, outage_ms)

    def expire(self, now_ms: float, are_changes_unknown: bool = False) -> None:
        """Remove the instances still missing after the grace period.

        While changes of the store are unknown, entries that may have returned are kept.
        """
        if not are_changes_unknown:
            for name in self._lapsed.pop_expired(now_ms):
                self._members.pop(name, None)

    def list_names(self) -> list[str]:
        """Return the names of all members."""
        return list(self._members)

    def list_recent(self, now_ms: float) -> tuple[str, ...]:
        """Return the sorted names of current and recent members, always with this instance."""
        for name in self._members:
            self._seen_ms[name] = now_ms
        self._seen_ms = {
            name: seen_ms
            for name, seen_ms in self._seen_ms.items()
            if now_ms - seen_ms < RECENT_MEMBER_MS
        }
        return tuple(sorted({self._own.name, *self._seen_ms}))

    def list_members(self) -> list[Member]:
        """Return all members."""
        return list(self._members.values())

    def list_addresses(
        self,
        domain: str,
        is_own_included: bool,
        choose: Callable[[Iterable[Member]], Iterable[Member]],
    ) -> list[str]:
        """Return the addresses for a caller in `domain`, this instance's if `is_own_included`.

        This instance is also returned if it is the only member. `choose` selects the members that
        are in use.

        Callers get only instances of their own failure domain: a round trip to another one takes
        a large part of a short objective. If there are too few, the other domains' follow.
        """
        members = dict(self._members)
        if is_own_included:
            members[self._own.name] = self._own
        elif len(members) > 1:
            members.pop(self._own.name, None)
        active = list(choose(members.values()))
        local = sorted(member for member in active if member.domain == domain)
        remote = sorted(member for member in active if member.domain != domain)
        chosen = local if len(local) >= MIN_LOCAL_MEMBERS else local + remote
        return [member.address for member in chosen[:MAX_ADDRESSES]]
