"""What an instance has to do with the others: shares of common limits, hints, who is in use."""

import asyncio
from collections.abc import Iterable

from .adapters.connections import Address
from .adapters.eventlog import Event, EventLog
from .adapters.hintchannel import HintChannel, encode
from .clock import Clock
from .policy.active import REPORT_INTERVAL_MS, SMALL_DOMAIN, ActiveSet
from .policy.extraload import ExtraLoad
from .policy.hints import GATHER_MS, Hint, Hints
from .policy.members import Member, Members
from .policy.selection import Selector
from .policy.slowstart import SlowStart

# For this long after the start, upstreams may still hold connections of a predecessor.
YOUNG_MS = 10_000.0
# Share of a new observation in the mean lateness of timers.
STRAIN_WEIGHT = 0.2
# How often it is looked at whether hints are of use.
HINTS_REVIEW_MS = 2_000.0


class Peering:
    """Keeps shares and hints in step with the instances known; `strain_ms` is timers' lateness."""

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        members: Members,
        selector: Selector,
        extra_load: ExtraLoad,
        slow_start: SlowStart,
    ) -> None:
        self.strain_ms = 0.0
        self.hints = Hints(selector, self._schedule_hints)
        self._clock = clock
        self._log = log
        self._members = members
        self._selector = selector
        self._extra_load = extra_load
        self._slow_start = slow_start
        self._active = ActiveSet()
        self._channel = HintChannel(self._take_message, self._refuse_message)
        self._peers: list[Address] = []
        self._started_ms = clock.now_ms()
        self._reported_ms = 0.0
        self._reviewed_ms = clock.now_ms()

    async def open(self, address: Address) -> None:
        """Hear others; raise OSError if the address can't be used."""
        await self._channel.open(address)

    def close(self) -> None:
        """Hear others no more."""
        self._channel.close()

    def choose(self, members: Iterable[Member]) -> list[Member]:
        """Return the members that are in use."""
        return self._active.choose(members)

    def note_lateness(self, late_ms: float) -> None:
        """Take note of how late a timer fired."""
        self.strain_ms += STRAIN_WEIGHT * (late_ms - self.strain_ms)

    def review(self) -> None:
        """Share common limits out among the instances known, and tell others what is due."""
        now_ms = self._clock.now_ms()
        own = self._members.own
        members = self._members.list_members()
        self._active.review(members, now_ms)
        self._share(now_ms, members)
        active = self._active.choose(members)
        self._peers = _list_hints_addresses(active, own)
        is_active = any(member.name == own.name for member in active)
        if is_active and now_ms - self._reported_ms >= REPORT_INTERVAL_MS:
            self._reported_ms = now_ms
            self._report_strain(members)
        if now_ms - self._reviewed_ms >= HINTS_REVIEW_MS:
            calls, upstreams = self._selector.count_calls()
            self.hints.review(calls, upstreams, now_ms - self._reviewed_ms)
            self._reviewed_ms = now_ms

    def _share(self, now_ms: float, members: list[Member]) -> None:
        names = self._members.list_recent(now_ms)
        share = self._active.measure_share(self._members.own.name, members, names)
        self._extra_load.set_share(share)
        self._selector.set_share(share, now_ms - self._started_ms < YOUNG_MS)
        self._slow_start.set_instances(names)

    def _report_strain(self, members: list[Member]) -> None:
        """Tell those that answer callers of this domain how this instance does."""
        own = self._members.own
        near = [member for member in members if member.domain == own.domain]
        if len(near) > SMALL_DOMAIN:
            message = encode(own.name, self.strain_ms, [])
            self._channel.send(message, _list_hints_addresses(near, own))

    def _schedule_hints(self) -> None:
        asyncio.get_running_loop().call_later(GATHER_MS / 1_000, self._send_hints)

    def _send_hints(self) -> None:
        message = encode(self._members.own.name, self.strain_ms, self.hints.take())
        self._channel.send(message, self._peers)

    def _take_message(self, sender: str, strain_ms: float, hints: list[Hint]) -> None:
        now_ms = self._clock.now_ms()
        self._active.note_strain(sender, strain_ms, now_ms)
        self.hints.apply(hints, now_ms)

    def _refuse_message(self, reason: str) -> None:
        self._log.write(Event.HINTS_REFUSED, "peering", reason=reason)


def join_address(address: Address | None) -> str:
    """Return `host:port`, or nothing for no address."""
    return f"{address[0]}:{address[1]}" if address else ""


def _list_hints_addresses(members: Iterable[Member], own: Member) -> list[Address]:
    """Return where the members other than `own` hear hints."""
    found: list[Address] = []
    for member in members:
        host, _, port = member.hints_address.rpartition(":")
        if member.name != own.name and host and port.isdigit():
            found.append((host, int(port)))
    return found
