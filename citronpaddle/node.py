"""Builds one entry instance from its settings, and starts and stops it."""

import asyncio
from collections.abc import Collection, Iterable
from typing import Any

from .adapters.callers import CallerServer, make_app
from .adapters.frames import DATA_KINDS, FrameKind
from .adapters.handlers import PeerService, make_handlers
from .adapters.instances import HttpInstanceList
from .adapters.keyvalue import EtcdStore
from .adapters.links import Links
from .adapters.logs import LogFactory
from .adapters.messages import ThriftPeers
from .adapters.metrics import Metrics, MetricsServer
from .adapters.peers import FrameClient, PeerServer
from .adapters.upstreams import HttpUpstreams
from .clock import Clock, SystemClock
from .directory import ServiceDirectory
from .dispatch import OrderDispatcher, SubRequestDispatcher
from .distribution import ConfigurationDistributor
from .documents import Configuration, ConfigurationUpdate, Head, PullRequest
from .entry import Entry
from .environment import Environment
from .errors import Failure
from .leasing import LeaseKeeper
from .membership_runner import MembershipRunner, MemberView
from .models import (
    ListedInstance,
    Member,
    MemberState,
    SubReply,
    SubRequest,
    UpstreamIndex,
)
from .order import OrderRunner
from .owner import Owner
from .policy.addresses import DrainState
from .policy.fanout import FanoutDependencies
from .policy.hedging import Hedging
from .policy.leases import (
    GrantReply,
    GrantRequest,
    HandOver,
    HolderId,
    LeaseParameters,
    Release,
    VoterList,
)
from .policy.membership import Heartbeat, Membership, MembershipParameters, VoterListState
from .policy.routing import ObservedChoice, ReplicaChoice, UniformChoice
from .ports import HeartbeatMessage, OrderCall, OrderKnowledge, OrderReply
from .query import QueryRunner
from .randomness import RandomSource
from .settings import Settings

# The time at a stop for orders in flight to end and for their outcomes to be stored.
ORDERS_CLOSE_TIMEOUT_MS = 10_000.0
# Covers the longest sub-request and the tick that sends the lease releases.
CALLS_CLOSE_TIMEOUT_MS = 2_500.0
# If no peer reports knowledge of the store's revisions within this time, none is expected.
PEER_KNOWLEDGE_TIMEOUT_MS = 5_000.0
# How often the watchers of the configuration also read the confirmation of a store restore.
ORDERS_REFRESH_INTERVAL_S = 1.0
CALLS_POLL_INTERVAL_S = 0.05
LEASE_RENEWALS_PER_TERM = 3


class Node(PeerService):
    """One entry instance: builds its components and handles the requests of peers."""

    def __init__(
        self, settings: Settings, environment: Environment, links: Links | None = None
    ) -> None:
        self._settings = settings
        self._clock = environment.clock
        self._random = environment.random
        self._log = environment.make_logger("node")
        self.metrics = Metrics()
        self.http_address = ""
        self.peer_address = ""
        self._tasks: list[asyncio.Task[None]] = []
        self._started_ms = environment.clock.now_ms()
        self._head_revision = 0
        self.superseded = asyncio.Event()
        self._incarnation = environment.clock.wall_ms()
        self._drain_state = DrainState(settings.timing.keep_ms)
        self._membership = Membership(
            self._describe_member(MemberState.STARTING, 0, 0.0),
            environment.random,
            environment.clock.now_ms(),
            MembershipParameters(settings.timing.heartbeat_ms, settings.timing.suspect_ms),
        )
        self._member_view = MemberView(self._membership)
        self._store = EtcdStore(*settings.store.addresses)
        self._transport = HttpUpstreams(environment.clock)
        self._peers = ThriftPeers(FrameClient(environment.clock, links, self._count_frame))
        self._distributor = self._make_distributor(environment)
        self._leases = self._make_leases(environment)
        self._owner = Owner(
            environment,
            settings.name,
            settings.failure_domain,
            self._transport,
            self._leases,
            self._get_configuration,
        )
        self._directory = self._make_directory(environment)
        self._queries = self._make_queries(environment)
        self._orders = self._make_orders(environment)
        self._instance_list = HttpInstanceList(settings.instance_list.address)
        self._membership_runner = self._make_membership_runner(environment)
        self._entry = Entry(
            settings,
            environment,
            self.metrics,
            self._drain_state,
            self._member_view,
            self._distributor,
            self._queries,
            self._orders,
            self.describe,
        )
        self._peer_server = PeerServer(make_handlers(self))
        self._caller_server = CallerServer(make_app(self._entry, settings.http.max_body_bytes))
        self._metrics_server = MetricsServer(self.metrics, lambda: self.is_ready)

    @classmethod
    def from_config(
        cls, settings: Settings, clock: Clock | None = None, links: Links | None = None
    ) -> "Node":
        """Return an instance that is not yet started."""
        logs = LogFactory(settings.name, settings.logs)
        environment = Environment(
            clock or SystemClock(), RandomSource(settings.seed), logs.make_logger
        )
        return cls(settings, environment, links)

    @property
    def is_ready(self) -> bool:
        """Return whether queries can be answered and the instance is not leaving."""
        return self._distributor.is_ready and not self._drain_state.is_leaving

    async def start(self) -> None:
        """Open all listeners and start the background loops.

        Raise OSError if an address cannot be used.
        """
        settings = self._settings
        self.peer_address = await self._peer_server.start(settings.peer.host, settings.peer.port)
        self.http_address = await self._caller_server.start(settings.http.host, settings.http.port)
        await self._metrics_server.start(settings.metrics.host, settings.metrics.port)
        self._membership.set_address(self.peer_address, self.http_address)
        self._started_ms = self._clock.now_ms()
        for loop in (
            self._membership_runner,
            self._distributor,
            self._leases,
            self._owner,
            self._directory,
        ):
            self._tasks.append(asyncio.create_task(loop.run()))
        self._tasks.append(asyncio.create_task(self._refresh_orders()))
        self._log.notice(
            "Listening for callers on {}, for peers on {}.", self.http_address, self.peer_address
        )

    async def stop(self) -> None:
        """Stop gracefully.

        Accept requests during the grace period, then refuse new ones, finish those in flight,
        release the leases and close all connections.
        """
        self._drain_state.start_leaving(self._clock.now_ms())
        self._log.notice(
            "Stopping: accepting new requests for another {} ms.", self._drain_state.grace_ms
        )
        await asyncio.sleep(self._drain_state.grace_ms / 1000)
        await self._caller_server.close()
        await self._orders.close(ORDERS_CLOSE_TIMEOUT_MS)
        self._leases.start_leaving()
        await self._drain_calls()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._peer_server.close()
        await self._metrics_server.stop()
        await self._leases.close()
        await self._membership_runner.close()
        await self._instance_list.close()
        await self._peers.close()
        await self._transport.close()
        await self._store.close()

    async def _refresh_orders(self) -> None:
        while True:
            await asyncio.sleep(ORDERS_REFRESH_INTERVAL_S)
            if self._distributor.is_watcher:
                await self._orders.refresh()

    async def _drain_calls(self) -> None:
        """Wait until calls to owned upstreams have ended and the leases are released.

        Give up after `CALLS_CLOSE_TIMEOUT_MS`.
        """
        end_ms = self._clock.now_ms() + CALLS_CLOSE_TIMEOUT_MS
        while self._clock.now_ms() < end_ms:
            if self._owner.count_in_flight() == 0 and not self._leases.list_held():
                break
            await asyncio.sleep(CALLS_POLL_INTERVAL_S)

    # Requests of peers

    async def execute(self, call: SubRequest) -> SubReply:
        return await self._owner.execute(call)

    def cancel(self, call_ids: Iterable[str]) -> None:
        self._owner.cancel(call_ids)

    def describe_upstreams(self, upstreams: Iterable[str]) -> list[UpstreamIndex]:
        return self._owner.describe(upstreams)

    async def run_order(self, call: OrderCall) -> OrderReply | Failure:
        return await self._owner.order(call)

    def handle_request(self, request: GrantRequest) -> GrantReply:
        return self._leases.handle_request(request)

    def handle_notice(self, message: Release | HandOver) -> None:
        if isinstance(message, Release):
            self._leases.handle_release(message)
        else:
            self._leases.handle_hand_over(message)

    def handle_heartbeat(self, message: HeartbeatMessage) -> HeartbeatMessage:
        self._record_head_age(message)
        return self._membership_runner.handle_heartbeat(message)

    def handle_pull(self, request: PullRequest) -> ConfigurationUpdate:
        return self._distributor.handle_pull(request)

    # Internal

    def _count_frame(self, direction: str, kind: int, size_bytes: int) -> None:
        if kind in DATA_KINDS:
            return
        self.metrics.control_bytes.labels(direction).inc(size_bytes)
        if kind == FrameKind.HEARTBEAT:
            self.metrics.heartbeats.labels(direction).inc()

    def _make_distributor(self, environment: Environment) -> ConfigurationDistributor:
        return ConfigurationDistributor(
            environment,
            self._settings.name,
            self._settings.failure_domain,
            self._store,
            self._peers,
            {peer.name: peer.address for peer in self._settings.peers},
            self._member_view.find_revisions,
            self._member_view.find_peer_address,
            lambda: self._member_view.list_domain(self._settings.failure_domain),
            self._apply_configuration,
            self._handle_head,
            self._is_unconfirmed_voter,
        )

    def _make_leases(self, environment: Environment) -> LeaseKeeper:
        return LeaseKeeper(
            environment,
            HolderId(self._settings.name, self._incarnation),
            self._make_seed_voters(),
            LeaseParameters(
                lease_ms=self._settings.timing.lease_ms,
                renew_ms=self._settings.timing.lease_ms / LEASE_RENEWALS_PER_TERM,
                drain_ms=self._settings.timing.drain_ms,
            ),
            self._peers,
            self._member_view,
            self._handle_leases_gained,
            self._handle_leases_lost,
        )

    def _make_directory(self, environment: Environment) -> ServiceDirectory:
        return ServiceDirectory(
            environment,
            self._settings.name,
            self._settings.failure_domain,
            self._settings.timing.index_refresh_ms,
            self._peers,
            self._member_view,
            self._owner,
            self._get_configuration,
        )

    def _make_queries(self, environment: Environment) -> QueryRunner:
        return QueryRunner(
            environment,
            self._directory,
            SubRequestDispatcher(self._settings.name, self._owner, self._peers, self._member_view),
            FanoutDependencies(self._make_replica_choice(), Hedging()),
            self._get_configuration,
            self.metrics.count_calls,
        )

    def _make_orders(self, environment: Environment) -> OrderRunner:
        return OrderRunner(
            self._store,
            OrderDispatcher(
                environment.clock,
                self._settings.name,
                self._owner,
                self._peers,
                self._member_view,
                self._directory,
                self._get_configuration,
            ),
            environment.clock,
            environment.random,
            self._settings.name,
            self._incarnation,
        )

    def _make_membership_runner(self, environment: Environment) -> MembershipRunner:
        return MembershipRunner(
            environment,
            self._membership,
            self._peers,
            self._instance_list,
            self._make_seeds(),
            self._describe_self,
            self._make_heartbeat_message,
            self._handle_heartbeat_reply,
            self._apply_members,
            self._handle_pause,
        )

    def _make_replica_choice(self) -> ReplicaChoice:
        is_uniform = self._settings.routing.replica_choice == "uniform"
        return UniformChoice(self._random) if is_uniform else ObservedChoice(self._random)

    def _make_seeds(self) -> list[ListedInstance]:
        return [
            ListedInstance(peer.name, peer.failure_domain, peer.address, "", False)
            for peer in self._settings.peers
        ]

    def _make_seed_voters(self) -> VoterList:
        """Return the voters of this failure domain for use until the configuration lists some."""
        domain = self._settings.failure_domain
        names = [peer.name for peer in self._settings.peers if peer.failure_domain == domain]
        return VoterList(0, tuple(sorted([*names, self._settings.name])))

    def _describe_member(self, state: MemberState, revision: int, load: float) -> Member:
        return Member(
            self._settings.name,
            self._incarnation,
            self._settings.failure_domain,
            self.peer_address,
            self.http_address,
            state,
            revision,
            load,
        )

    def _describe_self(self) -> tuple[MemberState, int, float, VoterListState]:
        voter = self._leases.voter
        voter_list = VoterListState(
            voter.voters.revision,
            voter.settled_revision(self._clock.now_ms()),
            voter.is_list_confirmed,
        )
        return (
            self._choose_state(),
            self._get_configuration().head.revision,
            self._entry.load,
            voter_list,
        )

    def _choose_state(self) -> MemberState:
        if self._drain_state.is_stopping:
            return MemberState.LEAVING
        return MemberState.LIVE if self._distributor.is_ready else MemberState.STARTING

    def _make_heartbeat_message(self, heartbeat: Heartbeat) -> HeartbeatMessage:
        guard = self._orders.guard
        knowledge = None
        if guard.has_knowledge:
            knowledge = OrderKnowledge(guard.floor, guard.regressed_from, guard.witness)
        return HeartbeatMessage(heartbeat, knowledge, self._distributor.compute_head_age_ms())

    def _handle_heartbeat_reply(self, message: HeartbeatMessage) -> None:
        """Handle the reply to a heartbeat that this run of the instance has sent."""
        self._record_head_age(message)
        sender, voter_list = message.heartbeat.sender, message.heartbeat.voter_list
        if sender.failure_domain == self._settings.failure_domain and voter_list.is_confirmed:
            self._leases.voter.confirm_list_from_peer(sender.name, voter_list.revision)
        if message.orders is not None:
            self._orders.guard.merge_knowledge(*message.orders)

    def _record_head_age(self, message: HeartbeatMessage) -> None:
        self._distributor.record_head_read(message.head_age_ms)

    def _apply_members(self) -> None:
        self._leases.set_live_instances(
            self._member_view.list_domain(self._settings.failure_domain)
        )
        self.metrics.owned_upstreams.set(len(self._leases.list_held()))
        if self._membership.is_superseded and not self.superseded.is_set():
            self._log.error("A newer run of {} exists; stopping.", self._settings.name)
            self.superseded.set()
        # If no peer is left that saw a later state of the store, orders start from the store's
        # present revision.
        waited_ms = self._clock.now_ms() - self._started_ms
        is_waiting = self._distributor.is_ready and not self._orders.guard.has_knowledge
        if is_waiting and waited_ms > PEER_KNOWLEDGE_TIMEOUT_MS:
            self._orders.guard.merge_knowledge(self._head_revision, 0)

    def _handle_pause(self, pause_ms: float) -> None:
        self._leases.drop_all()
        self._orders.guard.hold()

    def describe(self) -> dict[str, Any]:
        """Return the status for operators, ready for JSON encoding."""
        head = self._get_configuration().head
        voter = self._leases.voter
        return {
            "name": self._settings.name,
            "failure_domain": self._settings.failure_domain,
            "state": self._choose_state().value,
            "taken_out": self._settings.failure_domain in head.out_domains,
            "config_revision": head.revision,
            "config_change_id": head.change_id,
            "owned_upstreams": self._owner.list_owned(),
            "usable_instances": [member.name for member in self._member_view.list_usable()],
            "voter_list_revision": voter.voters.revision,
            "settled_voter_list_revision": voter.settled_revision(self._clock.now_ms()),
            "order_floor": self._orders.guard.floor,
            "order_regressed_from": self._orders.guard.regressed_from,
        }

    def _get_configuration(self) -> Configuration:
        return self._distributor.configuration

    def _apply_configuration(self, configuration: Configuration) -> None:
        upstreams = self._owner.apply_configuration(configuration)
        self._leases.set_upstreams(upstreams)
        self._apply_voters(configuration.head)
        is_domain_out = self._settings.failure_domain in configuration.head.out_domains
        now_ms = self._clock.now_ms()
        self._drain_state.set_domain_out(is_domain_out, now_ms)
        self._entry.apply_configuration(configuration)
        self.metrics.config_revision.set(configuration.head.revision)

    def _is_unconfirmed_voter(self) -> bool:
        voter = self._leases.voter
        return self._settings.name in voter.voters.names and not voter.is_list_confirmed

    def _apply_voters(self, head: Head) -> None:
        domain = self._settings.failure_domain
        change = head.voter_changes.get(domain)
        if change is not None:
            self._leases.apply_voter_list(VoterList(change.revision, head.voters.get(domain, ())))

    def _handle_head(self, head: Head, mod_revision: int) -> None:
        self._head_revision = mod_revision
        change = head.voter_changes.get(self._settings.failure_domain)
        self._leases.voter.confirm_list_from_store(change.revision if change else 0)

    def _handle_leases_gained(self, upstreams: Iterable[str]) -> None:
        for upstream in upstreams:
            self._owner.restart_admission(upstream)

    def _handle_leases_lost(self, upstreams: Collection[str]) -> None:
        self.metrics.lease_losses.labels("expired_or_released").inc(len(upstreams))
        self._owner.disconnect(upstreams)
