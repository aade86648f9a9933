"""Runs the lease holder and the voter of this instance, and exchanges their messages."""

import asyncio
from collections.abc import Callable, Collection, Coroutine, Iterable, Sequence

from .directory import InstanceResolver
from .environment import Environment
from .errors import Failure
from .owner import Leases
from .policy.leases import (
    GrantReply,
    GrantRequest,
    HandOver,
    HolderId,
    LeaseParameters,
    OutgoingMessage,
    Release,
    VoterList,
)
from .policy.ownership import Holder
from .policy.voter import Voter
from .ports import Peers

TICK_INTERVAL_MS = 100
GRANT_TIMEOUT_MS = 500.0


class LeaseKeeper(Leases):
    """Runs the holder and the voter of one instance.

    `on_gained` is called with the upstreams whose lease this instance has gained, `on_lost` with
    those whose lease it has lost or handed over.
    """

    def __init__(
        self,
        environment: Environment,
        holder: HolderId,
        voters: VoterList,
        terms: LeaseParameters,
        peers: Peers,
        resolver: InstanceResolver,
        on_gained: Callable[[Iterable[str]], None],
        on_lost: Callable[[Collection[str]], None],
    ) -> None:
        self._clock = environment.clock
        self._log = environment.make_logger("lease")
        self._name = holder.name
        self._peers = peers
        self._resolver = resolver
        self._on_gained = on_gained
        self._on_lost = on_lost
        self._holder = Holder(holder, voters, environment.random, terms)
        self.voter = Voter(holder.name, voters, self._clock.now_ms(), terms)
        self._lease_ms = terms.lease_ms
        self._known_holders: dict[str, tuple[str, float]] = {}
        self._held: frozenset[str] = frozenset()
        self._tasks: set[asyncio.Task[None]] = set()

    # Called by the owner

    def can_dispatch(self, upstream: str, now_ms: float) -> bool:
        return self._holder.can_dispatch(upstream, now_ms)

    def open_call(self, upstream: str, now_ms: float) -> bool:
        return self._holder.open_call(upstream, now_ms)

    def close_call(self, upstream: str) -> None:
        self._holder.close_call(upstream)

    def find_holder(self, upstream: str) -> str:
        holder, until_ms = self._known_holders.get(upstream, ("", 0.0))
        return holder if until_ms > self._clock.now_ms() else ""

    # Called by the instance

    def set_upstreams(self, upstreams: Iterable[str]) -> None:
        """Set the upstreams of this failure domain."""
        self._holder.set_upstreams(upstreams, self._clock.now_ms())

    def set_live_instances(self, names: Iterable[str]) -> None:
        """Set the instances of this failure domain that may own upstreams."""
        self._holder.set_live_instances(names, self._clock.now_ms())

    def apply_voter_list(self, voters: VoterList) -> None:
        """Apply a list of voters to the holder and the voter."""
        now_ms = self._clock.now_ms()
        self._holder.apply_voter_list(voters, now_ms)
        self.voter.apply_voter_list(voters, now_ms)

    def drop_all(self) -> None:
        """Drop all leases, as required after a pause of the process."""
        self._holder.drop_all(self._clock.now_ms())

    def start_leaving(self) -> None:
        """Start to release each lease once the calls of its upstream have ended."""
        self._holder.start_leaving()

    def list_held(self) -> Sequence[str]:
        """Return the upstreams whose lease this instance holds."""
        return self._holder.list_held(self._clock.now_ms())

    async def run(self) -> None:
        """Request, renew and release leases until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_INTERVAL_MS / 1000)

    def tick(self) -> None:
        """Remove expired grants, send the messages that are due, and report lease changes."""
        now_ms = self._clock.now_ms()
        self.voter.remove_expired_grants(now_ms)
        self._send(self._holder.tick(now_ms))
        self._report_changes()

    async def close(self) -> None:
        """Wait for messages in progress, at most `GRANT_TIMEOUT_MS`."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=GRANT_TIMEOUT_MS / 1000)

    # Messages of other instances

    def handle_request(self, request: GrantRequest) -> GrantReply:
        """Handle a request for leases as a voter and return the reply."""
        now_ms = self._clock.now_ms()
        reply = self.voter.handle_request(request, now_ms)
        for upstream in reply.granted:
            self._known_holders[upstream] = (request.holder.name, now_ms + self._lease_ms)
        return reply

    def handle_release(self, release: Release) -> None:
        """Handle the release of leases by a holder that has no calls left."""
        self.voter.handle_release(release)

    def handle_hand_over(self, request: HandOver) -> None:
        """Start to hand upstreams over to an instance that ranks higher for them."""
        draining = self._holder.handle_hand_over(request, self._clock.now_ms())
        if draining:
            self._log.info("Handing over {} upstreams to {}.", len(draining), request.asker)

    def _report_changes(self) -> None:
        held = frozenset(self.list_held())
        gained, lost = held - self._held, self._held - held
        self._held = held
        if gained:
            self._log.info("Gained the leases of {} upstreams; {} held.", len(gained), len(held))
            self._on_gained(gained)
        if lost:
            self._on_lost(lost)
            self._log.notice("Lost the leases of {} upstreams; {} held.", len(lost), len(held))

    def _send(self, messages: Iterable[OutgoingMessage]) -> None:
        for outgoing in messages:
            work = self._deliver(outgoing)
            task = asyncio.create_task(work)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _deliver(self, outgoing: OutgoingMessage) -> Coroutine[None, None, None]:
        if isinstance(outgoing.message, GrantRequest):
            return self._request_grant(outgoing.to, outgoing.message)
        return self._notify(outgoing.to, outgoing.message)

    async def _request_grant(self, to: str, request: GrantRequest) -> None:
        if to == self._name:
            reply: GrantReply | Failure = self.handle_request(request)
        else:
            address = self._resolver.find_peer_address(to)
            if address is None:
                return
            reply = await self._peers.request_grant(address, request, GRANT_TIMEOUT_MS)
        if not isinstance(reply, Failure):
            self._send(self._holder.handle_reply(reply, self._clock.now_ms()))
            self._report_changes()

    async def _notify(self, to: str, message: Release | HandOver) -> None:
        if to != self._name:
            address = self._resolver.find_peer_address(to)
            if address is not None:
                await self._peers.notify(address, message, GRANT_TIMEOUT_MS)
        elif isinstance(message, Release):
            self.handle_release(message)
        else:
            self.handle_hand_over(message)
