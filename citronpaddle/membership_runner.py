"""Sends and receives heartbeats, keeps the view of other instances, and detects process pauses."""

import asyncio
from collections.abc import Callable, Iterable, Mapping, Sequence

from .directory import InstanceResolver
from .documents import UpstreamSpec
from .environment import Environment
from .errors import ErrorKind, Failure
from .models import ListedInstance, Member, MemberState
from .policy.membership import Heartbeat, Membership, PauseDetector, VoterListState
from .policy.rendezvous import rank_candidates
from .ports import HeartbeatMessage, InstanceList, Peers

TICK_INTERVAL_MS = 50
HEARTBEAT_TIMEOUT_MS = 900.0
LIST_REFRESH_INTERVAL_MS = 2_000.0
LIST_TIMEOUT_MS = 1_000.0


class MemberView(InstanceResolver):
    """The known instances, in the form that routing and leases need.

    Sorting 1,100 members takes most of a millisecond and the loops read the view 30 times a second,
    so results are cached until the membership changes.
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._version = -1
        self._names_by_domain: dict[str, list[str]] = {}
        self._revisions: dict[str, int] = {}

    def rank_owners(self, upstream: UpstreamSpec) -> Sequence[str]:
        names = self.list_domain(upstream.failure_domain)
        return rank_candidates(upstream.name, names)

    def find_peer_address(self, instance: str) -> str | None:
        member = self._membership.find_member(instance)
        return member.peer_address if member else None

    def list_usable(self) -> tuple[Member, ...]:
        """Return the live instances of all failure domains, this one included."""
        return self._membership.list_usable()

    def list_domain(self, failure_domain: str) -> list[str]:
        """Return the live instances of a failure domain."""
        self._rebuild_if_changed()
        return self._names_by_domain.get(failure_domain, [])

    def list_names(self) -> list[str]:
        """Return the live instances of all failure domains, this one included."""
        self._rebuild_if_changed()
        return [name for names in self._names_by_domain.values() for name in names]

    def find_revisions(self) -> Mapping[str, int]:
        """Return the configuration revision reported by each other instance that is not suspect."""
        self._rebuild_if_changed()
        return self._revisions

    def _rebuild_if_changed(self) -> None:
        if self._version == self._membership.version:
            return
        self._version = self._membership.version
        self._names_by_domain = {}
        for member in self._membership.list_usable():
            self._names_by_domain.setdefault(member.failure_domain, []).append(member.name)
        self._revisions = {
            member.name: member.config_revision
            for member in self._membership.list_members()
            if member.state is not MemberState.SUSPECT
        }


class MembershipRunner:
    """Runs the membership of one instance.

    `describe_self` returns the state of this instance to report in heartbeats; `make_message` adds
    the other fields of a heartbeat message. `on_reply` is called with each reply to a message that
    was sent since the start, `on_members` after each tick, `on_pause` with the length in ms of a
    pause of the process.
    """

    def __init__(
        self,
        environment: Environment,
        membership: Membership,
        peers: Peers,
        instance_list: InstanceList,
        seeds: Iterable[ListedInstance],
        describe_self: Callable[[], tuple[MemberState, int, float, VoterListState]],
        make_message: Callable[[Heartbeat], HeartbeatMessage],
        on_reply: Callable[[HeartbeatMessage], None],
        on_members: Callable[[], None],
        on_pause: Callable[[float], None],
    ) -> None:
        self._clock = environment.clock
        self._log = environment.make_logger("members")
        self._membership = membership
        self._peers = peers
        self._instance_list = instance_list
        self._seeds = tuple(seeds)
        self._describe_self = describe_self
        self._make_message = make_message
        self._on_reply = on_reply
        self._on_members = on_members
        self._on_pause = on_pause
        self._pause_detector = PauseDetector(self._clock.now_ms())
        self._next_list_ms = 0.0
        self._last_version = -1
        self._usable: frozenset[str] = frozenset()
        self._tasks: set[asyncio.Task[None]] = set()
        membership.apply_instance_list(self._seeds)

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_INTERVAL_MS / 1000)

    def tick(self) -> None:
        """Check for a pause, send heartbeats that are due, and fetch the instance list if due."""
        now_ms = self._clock.now_ms()
        self.check_pause()
        self._membership.set_own_status(*self._describe_self())
        heartbeat_round = self._membership.tick(now_ms)
        if heartbeat_round is not None:
            message = self._make_message(heartbeat_round.heartbeat)
            for member in heartbeat_round.targets:
                self._spawn(self._send(member, message))
        if now_ms >= self._next_list_ms:
            self._next_list_ms = now_ms + LIST_REFRESH_INTERVAL_MS
            self._spawn(self._fetch_list())
        self._handle_members()

    def check_pause(self) -> None:
        """Detect a pause of the process since the last check, and report it to `on_pause`."""
        pause_ms = self._pause_detector.observe(self._clock.now_ms())
        if pause_ms > 0:
            self._log.warning("The process was paused for {:.0f} ms.", pause_ms)
            self._membership.compensate_for_pause(pause_ms)
            self._on_pause(pause_ms)

    def handle_heartbeat(self, message: HeartbeatMessage) -> HeartbeatMessage:
        """Handle a heartbeat of a peer and return the reply.

        A starting peer gets the whole view of the members.
        """
        now_ms = self._clock.now_ms()
        is_starting = message.heartbeat.sender.state is MemberState.STARTING
        self._membership.receive(message.heartbeat, now_ms)
        self._membership.set_own_status(*self._describe_self())
        reply = self._membership.build_heartbeat(now_ms)
        if is_starting:
            reply = reply._replace(reports=self._membership.list_reports(now_ms))
        return self._make_message(reply)

    async def close(self) -> None:
        """Update the reported state of this instance and cancel all messages in progress."""
        self._membership.set_own_status(*self._describe_self())
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, work: object) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, member: Member, message: HeartbeatMessage) -> None:
        reply = await self._peers.heartbeat(member.peer_address, message, HEARTBEAT_TIMEOUT_MS)
        now_ms = self._clock.now_ms()
        if isinstance(reply, Failure):
            if reply.kind is ErrorKind.UPSTREAM_UNAVAILABLE:
                self._membership.record_refused_connection(member.name, now_ms)
            return
        heartbeat = reply.heartbeat
        if message.heartbeat.sender.state is MemberState.STARTING:
            self._membership.merge_view(heartbeat.reports, now_ms)
            heartbeat = heartbeat._replace(reports=())
        self._membership.receive(heartbeat, now_ms)
        self._on_reply(reply)

    async def _fetch_list(self) -> None:
        listed = await self._instance_list.fetch(LIST_TIMEOUT_MS)
        if isinstance(listed, Failure):
            return
        # Instances from the settings are kept: a list without them must not partition the
        # instances permanently.
        known = {instance.name for instance in listed}
        seeds = [seed for seed in self._seeds if seed.name not in known]
        self._membership.apply_instance_list([*listed, *seeds])

    def _handle_members(self) -> None:
        if self._membership.version == self._last_version:
            self._on_members()
            return
        self._last_version = self._membership.version
        usable = frozenset(member.name for member in self._membership.list_usable())
        if usable != self._usable:
            joined, left = sorted(usable - self._usable), sorted(self._usable - usable)
            self._usable = usable
            self._log.info(
                "{} instances usable; new: {}; gone: {}.",
                len(usable),
                ", ".join(joined) or "none",
                ", ".join(left) or "none",
            )
        self._on_members()
