"""Coordinates with other instances: shared limits, hints, the active set, the change feed."""

import asyncio
from collections.abc import Callable, Iterable

from .adapters.addresses import Address, parse_address
from .adapters.eventlog import Event, EventLog
from .adapters.hintchannel import HintChannel, PeerMessage, encode
from .clock import Clock
from .policy.active import REPORT_INTERVAL_MS, SMALL_DOMAIN, ActiveSet
from .policy.extraload import ExtraLoad
from .policy.feed import WATCHER_COUNT, Feed, FeedBatch, split_changes
from .policy.hints import BATCHING_DELAY_MS, Hint, HintKind, Hints
from .policy.members import Member
from .policy.pace import PaceChange, PaceEnd
from .policy.quotapeers import QuotaReport
from .policy.selection import Selector
from .policy.slowstart import SlowStart
from .sharedstate import SharedState
from .statestore import StoreChanges
from .teamquotas import TeamQuotas

# For this long after the start, upstreams may still hold connections of the previous instance.
RECENT_START_MS = 10_000.0
# Weight of a new sample in the moving average of the event loop's lag.
LOOP_LAG_WEIGHT = 0.2
# Interval of the check whether hints are useful.
HINTS_REVIEW_INTERVAL_MS = 2_000.0
# Creates the channel from the callbacks for messages and for refused ones.
ChannelMaker = Callable[[Callable[[PeerMessage], None], Callable[[str], None]], HintChannel]


class Peering:
    """Updates this instance's shares and hints to the known instances.

    `loop_lag_ms` is the moving average of how late timers fire.
    """

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        state: SharedState,
        feed: Feed,
        selector: Selector,
        extra_load: ExtraLoad,
        slow_start: SlowStart,
        on_feed: Callable[[str, FeedBatch], None],
        make_channel: ChannelMaker = HintChannel,
        quotas: TeamQuotas | None = None,
    ) -> None:
        """Pass the batches of other instances to `on_feed`; `quotas` is None without quotas."""
        self.loop_lag_ms = 0.0
        # The share, from 0 to 1, that this instance may use of limits over all instances.
        self.share = 0.0
        self.hints = Hints(selector, self._schedule_hints)
        self._clock = clock
        self._log = log
        self._state = state
        self._members = state.members
        self._feed = feed
        self._on_feed = on_feed
        self._selector = selector
        selector.paces.on_change = self._handle_pace_change
        self._extra_load = extra_load
        self._slow_start = slow_start
        self._quotas = quotas
        if quotas is not None:
            quotas.set_sender(self._send_quota_report)
        self._active = ActiveSet()
        self._channel = make_channel(self._handle_message, self._log_refused_message)
        self._peers: list[Address] = []
        # The addresses of the other instances of this failure domain, if it is a large one.
        self._domain_peers: list[Address] = []
        self._started_ms = clock.now_ms()
        self._reported_ms = 0.0
        self._hints_reviewed_ms = clock.now_ms()

    async def open(self, address: Address) -> None:
        """Start receiving messages of instances; raise OSError if the address can't be used."""
        await self._channel.open(address)

    def close(self) -> None:
        """Stop receiving messages of other instances."""
        self._channel.close()

    def choose_active(self, members: Iterable[Member]) -> list[Member]:
        """Return the active members, those that callers are sent to."""
        return self._active.choose(members)

    def record_loop_lag(self, lag_ms: float) -> None:
        """Record how late a timer fired, in ms."""
        self.loop_lag_ms += LOOP_LAG_WEIGHT * (lag_ms - self.loop_lag_ms)

    def review(self) -> None:
        """Divide shared limits among the known instances, and send reports if they are due."""
        now_ms = self._clock.now_ms()
        own = self._members.own
        members = self._members.list_members()
        self._active.review(members, now_ms)
        self._update_shares(now_ms)
        active = self._active.choose(members)
        self._peers = _list_hints_addresses(active, own)
        domain_members = [member for member in members if member.domain == own.domain]
        self._domain_peers = (
            _list_hints_addresses(domain_members, own) if len(domain_members) > SMALL_DOMAIN else []
        )
        if self._quotas is not None:
            self._quotas.review(
                {member.name for member in active}, _find_hints_addresses(members, own)
            )
        active_names = [member.name for member in active if member.domain == own.domain]
        self._feed.set_watchers(active_names[:WATCHER_COUNT] if self._domain_peers else ())
        if own.name in active_names and now_ms - self._reported_ms >= REPORT_INTERVAL_MS:
            self._reported_ms = now_ms
            self._send_report(now_ms)
        if now_ms - self._hints_reviewed_ms >= HINTS_REVIEW_INTERVAL_MS:
            calls, upstreams = self._selector.count_calls()
            self.hints.update_enabled(calls, upstreams, now_ms - self._hints_reviewed_ms)
            self._hints_reviewed_ms = now_ms

    def _update_shares(self, now_ms: float) -> None:
        members = self._members.list_sharing(now_ms)
        names = self._members.list_recent(now_ms)
        share = self._active.compute_share(self._members.own.name, members, names)
        self.share = share
        self._extra_load.set_share(share)
        self._selector.set_share(share, now_ms - self._started_ms < RECENT_START_MS)
        self._slow_start.set_instances(names)

    def relay(self, from_revision: int, changes: StoreChanges) -> None:
        """Send the changes after `from_revision` to the instances that this watcher reads for.

        The state may already be newer than `changes`, by the batches of another watcher. The last
        batch ends where this watcher has read to: an instance skips what a batch claims.
        """
        if not self._feed.is_watcher:
            return
        age_ms = self._clock.now_ms() - self._state.store_read_ms
        for batch in split_changes(from_revision, changes, age_ms):
            self._send_to_domain(batch)

    def _send_report(self, now_ms: float) -> None:
        """Send the event loop's lag, and a watcher's revision, to the instances of this domain."""
        batch = None
        if self._feed.is_watcher and not self._state.is_store_lost:
            revision = self._state.revision
            age_ms = now_ms - self._state.store_read_ms
            batch = FeedBatch(revision, revision, age_ms, era=self._state.era)
        self._send_to_domain(batch)

    def _send_to_domain(self, batch: FeedBatch | None) -> None:
        if self._domain_peers:
            message = PeerMessage(self._members.own.name, self.loop_lag_ms, (), batch)
            self._channel.send(encode(message), self._domain_peers)

    def _send_quota_report(self, report: QuotaReport, addresses: Iterable[Address]) -> None:
        message = PeerMessage(self._members.own.name, self.loop_lag_ms, quota=report)
        self._channel.send(encode(message), addresses)

    def _schedule_hints(self) -> None:
        asyncio.get_running_loop().call_later(BATCHING_DELAY_MS / 1_000, self._send_hints)

    def _send_hints(self) -> None:
        message = PeerMessage(
            self._members.own.name, self.loop_lag_ms, tuple(self.hints.pop_pending())
        )
        self._channel.send(encode(message), self._peers)

    def _handle_message(self, message: PeerMessage) -> None:
        now_ms = self._clock.now_ms()
        if message.quota is not None:
            if self._quotas is not None:
                self._quotas.apply(message.sender, message.quota)
        elif not message.reports_only_limits:
            # Others are sent regularly, and their sender counts as silent without them.
            self._active.record_loop_lag(message.sender, message.loop_lag_ms, now_ms)
        for hint in self.hints.apply(message.hints, now_ms):
            self._log_peer_limit(message.sender, hint)
        if message.feed is not None:
            self._on_feed(message.sender, message.feed)

    def _handle_pace_change(self, change: PaceChange) -> None:
        """Log a pace that this instance has found, and send it to the others unless it expired."""
        self._log.write(
            Event.UPSTREAM_PACED,
            "peering",
            service=change.upstream.service,
            upstream=change.upstream.id,
            concurrency=None if change.end else round(change.concurrency, 2),
            end=change.end.value if change.end else None,
        )
        if change.end is not PaceEnd.EXPIRED:
            self.hints.record_pace(change.upstream.id, change.concurrency)

    def _log_peer_limit(self, sender: str, hint: Hint) -> None:
        is_limited = hint.kind is HintKind.LIMITED
        self._log.write(
            Event.UPSTREAM_LIMITED,
            "peering",
            upstream=hint.upstream,
            limit_per_s=hint.value if is_limited else None,
            reported_by=sender,
        )

    def _log_refused_message(self, reason: str) -> None:
        self._log.write(Event.HINTS_REFUSED, "peering", reason=reason)


def _list_hints_addresses(members: Iterable[Member], own: Member) -> list[Address]:
    """Return the addresses at which the members other than `own` receive hints."""
    return list(_find_hints_addresses(members, own).values())


def _find_hints_addresses(members: Iterable[Member], own: Member) -> dict[str, Address]:
    """Return the same addresses by the names of the instances."""
    return {
        member.name: parse_address(member.hints_address)
        for member in members
        if member.name != own.name and member.hints_address
    }
