"""Caches state, owner and shards of the upstreams of each service that receives requests."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field

from .documents import Configuration, UpstreamSpec
from .environment import Environment
from .errors import Failure
from .models import UpstreamIndex, UpstreamState
from .policy.routing import ReplicaInfo
from .policy.snapshot import EMPTY_SNAPSHOT, Snapshot, pin_snapshot
from .ports import Peers

DESCRIBE_TIMEOUT_MS = 800
# A service without requests for this long is no longer refreshed.
SERVICE_IDLE_TIMEOUT_MS = 10_000
# Limits the refreshes that a burst of failed calls can cause.
MIN_REFRESH_INTERVAL_MS = 50
# The most instances that a refresh queries for one upstream to find its owner.
MAX_OWNER_LOOKUPS = 3
# Assumed one-way latency to another failure domain, used until a latency has been observed.
OTHER_DOMAIN_DISTANCE_MS = 4.5


class InstanceResolver(ABC):
    """Finds the candidate owners of an upstream and the addresses of instances."""

    @abstractmethod
    def rank_owners(self, upstream: UpstreamSpec) -> Sequence[str]:
        """Return the names of usable instances, the most likely owner first."""

    @abstractmethod
    def find_peer_address(self, instance: str) -> str | None:
        """Return `host:port` of the instance, or None if it is not known."""


class UpstreamDescriber(ABC):
    """Reports the state and shards of upstreams that this instance owns."""

    @abstractmethod
    def describe(self, upstreams: Iterable[str]) -> list[UpstreamIndex]:
        """Return one item per upstream; `owner` is the last known lease holder, or empty."""


@dataclass(slots=True)
class ServiceView:
    """The upstreams of one service.

    `replicas` is updated in place, so callers may keep a reference to it.
    """

    indexes: tuple[UpstreamIndex, ...] = ()
    replicas: dict[str, ReplicaInfo] = field(default_factory=dict)
    snapshot: Snapshot = EMPTY_SNAPSHOT
    last_used_ms: float = 0.0
    last_fetched_ms: float = float("-inf")
    refresh_task: asyncio.Task[None] | None = None
    is_refresh_requested: bool = False


class ServiceDirectory:
    """Refreshes the index of each service in use at the refresh interval."""

    def __init__(
        self,
        environment: Environment,
        name: str,
        failure_domain: str,
        refresh_interval_ms: float,
        peers: Peers,
        resolver: InstanceResolver,
        local_describer: UpstreamDescriber,
        get_configuration: Callable[[], Configuration],
    ) -> None:
        self._clock = environment.clock
        self._name = name
        self._failure_domain = failure_domain
        self._refresh_interval_ms = refresh_interval_ms
        self._peers = peers
        self._resolver = resolver
        self._local_describer = local_describer
        self._get_configuration = get_configuration
        self._views: dict[str, ServiceView] = {}
        self._known_owners: dict[str, str] = {}

    async def get_view(self, service: str, timeout_ms: float) -> ServiceView:
        """Return the view of a service, waiting for its first index up to `timeout_ms`."""
        view = self._views.setdefault(service, ServiceView())
        view.last_used_ms = self._clock.now_ms()
        if view.snapshot.version == 0:
            with suppress(TimeoutError):
                async with asyncio.timeout(timeout_ms / 1000):
                    await asyncio.shield(self._start_refresh(service, view))
        return view

    async def refresh(self, service: str, timeout_ms: float) -> ServiceView:
        """Return the view after another refresh, or the current view after `timeout_ms`."""
        view = self._views.setdefault(service, ServiceView())
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_ms / 1000):
                await asyncio.shield(self._start_refresh(service, view))
        return view

    def request_refresh(self, service: str) -> None:
        """Schedule a refresh, because a reply showed that the view is out of date."""
        view = self._views.get(service)
        if view is not None:
            view.is_refresh_requested = True

    async def run(self) -> None:
        """Refresh the services in use, and drop the idle ones, until cancelled."""
        while True:
            await asyncio.sleep(MIN_REFRESH_INTERVAL_MS / 1000)
            now_ms = self._clock.now_ms()
            for service, view in list(self._views.items()):
                if now_ms - view.last_used_ms > SERVICE_IDLE_TIMEOUT_MS:
                    del self._views[service]
                elif (
                    view.is_refresh_requested
                    or now_ms - view.last_fetched_ms >= self._refresh_interval_ms
                ):
                    self._start_refresh(service, view)

    def _start_refresh(self, service: str, view: ServiceView) -> asyncio.Task[None]:
        if view.refresh_task is None or view.refresh_task.done():
            view.is_refresh_requested = False
            view.refresh_task = asyncio.create_task(self._refresh(service, view))
        return view.refresh_task

    async def _refresh(self, service: str, view: ServiceView) -> None:
        configuration = self._get_configuration()
        spec = configuration.services.get(service)
        usable = [] if spec is None else spec.upstreams
        usable = [upstream for upstream in usable if not configuration.is_out(upstream)]
        indexes = await self._describe_all(usable)
        domains = {upstream.name: upstream.failure_domain for upstream in usable}
        view.indexes = tuple(indexes)
        view.replicas.clear()
        for index in indexes:
            view.replicas[index.upstream] = self._make_replica(index, domains[index.upstream])
        view.snapshot = pin_snapshot([index for index in indexes if index.owner])
        view.last_fetched_ms = self._clock.now_ms()

    def _make_replica(self, index: UpstreamIndex, failure_domain: str) -> ReplicaInfo:
        is_local = failure_domain == self._failure_domain
        distance_ms = 0.0 if is_local else OTHER_DOMAIN_DISTANCE_MS
        return ReplicaInfo(index.upstream, index.owner, index.state, index.allowance, distance_ms)

    async def _describe_all(self, upstreams: Sequence[UpstreamSpec]) -> list[UpstreamIndex]:
        """Query likely owners in turn until one of them reports that it owns the upstream."""
        found: dict[str, UpstreamIndex] = {}
        queried: dict[str, set[str]] = {upstream.name: set() for upstream in upstreams}
        for _ in range(MAX_OWNER_LOOKUPS):
            by_instance: dict[str, list[str]] = {}
            for upstream in upstreams:
                target = self._choose_target(upstream, queried[upstream.name])
                if upstream.name not in found and target:
                    queried[upstream.name].add(target)
                    by_instance.setdefault(target, []).append(upstream.name)
            if not by_instance:
                break
            replies = await asyncio.gather(
                *(self._describe(instance, names) for instance, names in by_instance.items())
            )
            for instance, indexes in zip(by_instance, replies, strict=True):
                self._record_descriptions(instance, indexes, found)
        return [found[upstream.name] for upstream in upstreams if upstream.name in found]

    def _choose_target(self, upstream: UpstreamSpec, queried: set[str]) -> str:
        known_owner = self._known_owners.get(upstream.name)
        if known_owner and known_owner not in queried:
            return known_owner
        ranked = self._resolver.rank_owners(upstream)
        return next((name for name in ranked if name not in queried), "")

    def _record_descriptions(
        self, instance: str, indexes: list[UpstreamIndex], found: dict[str, UpstreamIndex]
    ) -> None:
        for index in indexes:
            if index.owner == instance:
                found[index.upstream] = index
                self._known_owners[index.upstream] = instance
            elif index.owner:
                self._known_owners[index.upstream] = index.owner
            else:
                self._known_owners.pop(index.upstream, None)

    async def _describe(self, instance: str, upstreams: list[str]) -> list[UpstreamIndex]:
        if instance == self._name:
            return self._local_describer.describe(upstreams)
        address = self._resolver.find_peer_address(instance)
        if address is None:
            return []
        reply = await self._peers.describe(address, upstreams, DESCRIBE_TIMEOUT_MS)
        if isinstance(reply, Failure):
            return [_make_unknown(upstream) for upstream in upstreams]
        return reply


def _make_unknown(upstream: str) -> UpstreamIndex:
    return UpstreamIndex(upstream, "", UpstreamState.UNKNOWN, 0, ())
