"""What an instance has to do with the others: common limits, hints, who is in use, the feed."""

import asyncio
from collections.abc import Callable, Iterable

from .adapters.connections import Address
from .adapters.eventlog import Event, EventLog
from .adapters.hintchannel import HintChannel, PeerMessage, encode
from .clock import Clock
from .fleet import FleetState
from .policy.active import REPORT_INTERVAL_MS, SMALL_DOMAIN, ActiveSet
from .policy.extraload import ExtraLoad
from .policy.feed import WATCHER_COUNT, Feed, FeedBatch, split_changes
from .policy.hints import BATCHING_DELAY_MS, Hints
from .policy.members import Member
from .policy.selection import Selector
from .policy.slowstart import SlowStart
from .statestore import StoreItem

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
        state: FleetState,
        feed: Feed,
        selector: Selector,
        extra_load: ExtraLoad,
        slow_start: SlowStart,
        on_feed: Callable[[str, FeedBatch], None],
    ) -> None:
        self.strain_ms = 0.0
        self.hints = Hints(selector, self._schedule_hints)
        self._clock = clock
        self._log = log
        self._state = state
        self._members = state.members
        self._feed = feed
        self._on_feed = on_feed
        self._selector = selector
        self._extra_load = extra_load
        self._slow_start = slow_start
        self._active = ActiveSet()
        self._channel = HintChannel(self._take_message, self._refuse_message)
        self._peers: list[Address] = []
        # The other instances of a large failure domain.
        self._near: list[Address] = []
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
        near = [member for member in members if member.domain == own.domain]
        self._near = _list_hints_addresses(near, own) if len(near) > SMALL_DOMAIN else []
        near_active = [member.name for member in active if member.domain == own.domain]
        self._feed.set_watchers(near_active[:WATCHER_COUNT] if self._near else ())
        if own.name in near_active and now_ms - self._reported_ms >= REPORT_INTERVAL_MS:
            self._reported_ms = now_ms
            self._report(now_ms)
        if now_ms - self._reviewed_ms >= HINTS_REVIEW_MS:
            calls, upstreams = self._selector.count_calls()
            self.hints.update_enabled(calls, upstreams, now_ms - self._reviewed_ms)
            self._reviewed_ms = now_ms

    def _share(self, now_ms: float, members: list[Member]) -> None:
        names = self._members.list_recent(now_ms)
        share = self._active.compute_share(self._members.own.name, members, names)
        self._extra_load.set_share(share)
        self._selector.set_share(share, now_ms - self._started_ms < YOUNG_MS)
        self._slow_start.set_instances(names)

    def relay(self, from_revision: int, items: tuple[StoreItem, ...]) -> None:
        """Pass changes that this instance has read on to those that it reads for."""
        if not self._feed.is_watcher:
            return
        age_ms = self._clock.now_ms() - self._state.watched_ms
        for batch in split_changes(from_revision, self._state.revision, items, age_ms):
            self._tell_near(batch)

    def _report(self, now_ms: float) -> None:
        """Tell those that answer callers of this domain how this instance does."""
        batch = None
        if self._feed.is_watcher and not self._state.is_store_lost:
            revision = self._state.revision
            batch = FeedBatch(revision, revision, now_ms - self._state.watched_ms)
        self._tell_near(batch)

    def _tell_near(self, batch: FeedBatch | None) -> None:
        if self._near:
            message = PeerMessage(self._members.own.name, self.strain_ms, (), batch)
            self._channel.send(encode(message), self._near)

    def _schedule_hints(self) -> None:
        asyncio.get_running_loop().call_later(BATCHING_DELAY_MS / 1_000, self._send_hints)

    def _send_hints(self) -> None:
        message = PeerMessage(
            self._members.own.name, self.strain_ms, tuple(self.hints.pop_pending())
        )
        self._channel.send(encode(message), self._peers)

    def _take_message(self, message: PeerMessage) -> None:
        now_ms = self._clock.now_ms()
        self._active.record_loop_lag(message.sender, message.loop_lag_ms, now_ms)
        self.hints.apply(message.hints, now_ms)
        if message.feed is not None:
            self._on_feed(message.sender, message.feed)

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
