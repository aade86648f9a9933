"""The entry instances that callers may use, from their entries in the store.

Times are in ms on one monotonic clock.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

# After the store was away, instances need about this long to renew their entries.
RETURN_GRACE_MS = 4_000.0
# A caller leaves out an address that has failed, so it needs another one at least.
MIN_NEAR = 2
# Callers are told at most this many addresses.
MAX_ADDRESSES = 64
# The number of instances shrinks only this long after one has left: it may be back at once.
COUNT_MEMORY_MS = 30_000.0


class Member(NamedTuple):
    """One entry instance; the addresses are `host:port`, for callers and for hints.

    `cores` is its processor time in seconds a second, on the scale of the platform's settings.
    """

    name: str
    address: str
    domain: str
    hints_address: str = ""
    cores: float = 1.0


class Members:
    """The instances with an entry; after an outage of the store, lapsed ones are kept a while."""

    def __init__(self, own: Member) -> None:
        self._own = own
        self._members: dict[str, Member] = {}
        self._missing: set[str] = set()
        self._seen_ms: dict[str, float] = {}
        self._grace_until_ms = 0.0

    @property
    def own(self) -> Member:
        """Return this instance."""
        return self._own

    def put(self, member: Member, now_ms: float) -> None:
        """Take over an entry."""
        self._members[member.name] = member
        self._missing.discard(member.name)
        self._seen_ms[member.name] = now_ms

    def remove(self, name: str, now_ms: float) -> None:
        """Drop an instance whose entry has gone."""
        if name not in self._members:
            return
        self._seen_ms[name] = now_ms
        if now_ms < self._grace_until_ms:
            self._missing.add(name)
        else:
            del self._members[name]

    def handle_store_return(self, now_ms: float) -> None:
        """Keep instances whose entries lapsed with the store until they can have renewed them."""
        self._grace_until_ms = now_ms + RETURN_GRACE_MS

    def expire(self, now_ms: float) -> None:
        """Drop what is still missing after the grace time."""
        if self._missing and now_ms >= self._grace_until_ms:
            for name in self._missing:
                self._members.pop(name, None)
            self._missing.clear()

    def list_names(self) -> list[str]:
        """Return the names of all members."""
        return list(self._members)

    def list_recent(self, now_ms: float) -> tuple[str, ...]:
        """Return the instances that are or just were members, this one among them."""
        for name in self._members:
            self._seen_ms[name] = now_ms
        self._seen_ms = {
            name: seen_ms
            for name, seen_ms in self._seen_ms.items()
            if now_ms - seen_ms < COUNT_MEMORY_MS
        }
        return tuple(sorted({self._own.name, *self._seen_ms}))

    def list_members(self) -> list[Member]:
        """Return all members."""
        return list(self._members.values())

    def list_addresses(
        self,
        domain: str,
        is_own_open: bool,
        choose: Callable[[Iterable[Member]], Iterable[Member]],
    ) -> list[str]:
        """Return the addresses for a caller in `domain`, this one's included if `is_own_open`.

        `choose` returns those of the members that are in use.

        Callers get the instances of their own domain alone: the way to another one and back takes
        a good part of a short objective. With too few of them the others follow.
        """
        members = dict(self._members)
        if is_own_open:
            members[self._own.name] = self._own
        elif len(members) > 1:
            members.pop(self._own.name, None)
        active = list(choose(members.values()))
        near = sorted(member for member in active if member.domain == domain)
        far = sorted(member for member in active if member.domain != domain)
        chosen = near if len(near) >= MIN_NEAR else near + far
        return [member.address for member in chosen[:MAX_ADDRESSES]]
