"""What the entry instance knows of the upstreams of each service in use."""

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
# A service that had no query for this long is no longer refreshed.
IN_USE_MS = 10_000
# A burst of failed calls must not become a burst of refreshes.
MIN_REFRESH_MS = 50
MAX_OWNER_HOPS = 3
OTHER_DOMAIN_DISTANCE_MS = 4.5


class Roster(ABC):
    """Which instances may own an upstream, and where they are."""

    @abstractmethod
    def rank_owners(self, upstream: UpstreamSpec) -> Sequence[str]:
        """Return the names of usable instances, the most likely owner first."""

    @abstractmethod
    def find_peer_address(self, instance: str) -> str | None:
        """Return `host:port` of the instance, or None if it is not known."""


class Describer(ABC):
    """Describes upstreams that this instance owns."""

    @abstractmethod
    def describe(self, upstreams: Iterable[str]) -> list[UpstreamIndex]:
        """Return one item per upstream; `owner` is the holder as far as known, or empty."""


@dataclass(slots=True)
class ServiceView:
    """The upstreams of one service; `replicas` is updated in place and may be kept."""

    indexes: tuple[UpstreamIndex, ...] = ()
    replicas: dict[str, ReplicaInfo] = field(default_factory=dict)
    snapshot: Snapshot = EMPTY_SNAPSHOT
    used_ms: float = 0.0
    fetched_ms: float = float("-inf")
    refresh: asyncio.Task[None] | None = None
    is_wanted: bool = False


class Directory:
    """Keeps the index of each service in use no older than the refresh interval."""

    def __init__(
        self,
        environment: Environment,
        name: str,
        failure_domain: str,
        refresh_ms: float,
        peers: Peers,
        roster: Roster,
        local: Describer,
        get_configuration: Callable[[], Configuration],
    ) -> None:
        self._clock = environment.clock
        self._name = name
        self._failure_domain = failure_domain
        self._refresh_ms = refresh_ms
        self._peers = peers
        self._roster = roster
        self._local = local
        self._get_configuration = get_configuration
        self._views: dict[str, ServiceView] = {}
        self._owners: dict[str, str] = {}

    async def get_view(self, service: str, timeout_ms: float) -> ServiceView:
        """Return the view of a service, waiting for its first index up to `timeout_ms`."""
        view = self._views.setdefault(service, ServiceView())
        view.used_ms = self._clock.now_ms()
        if view.snapshot.version == 0:
            with suppress(TimeoutError):
                async with asyncio.timeout(timeout_ms / 1000):
                    await asyncio.shield(self._start_refresh(service, view))
        return view

    async def refresh(self, service: str, timeout_ms: float) -> ServiceView:
        """Return the view after one more refresh, or as it is once the time has passed."""
        view = self._views.setdefault(service, ServiceView())
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_ms / 1000):
                await asyncio.shield(self._start_refresh(service, view))
        return view

    def request_refresh(self, service: str) -> None:
        """Refresh soon, because a reply showed that the view is out of date."""
        view = self._views.get(service)
        if view is not None:
            view.is_wanted = True

    async def run(self) -> None:
        """Refresh the services in use until cancelled."""
        while True:
            await asyncio.sleep(MIN_REFRESH_MS / 1000)
            now_ms = self._clock.now_ms()
            for service, view in list(self._views.items()):
                if now_ms - view.used_ms > IN_USE_MS:
                    del self._views[service]
                elif view.is_wanted or now_ms - view.fetched_ms >= self._refresh_ms:
                    self._start_refresh(service, view)

    def _start_refresh(self, service: str, view: ServiceView) -> asyncio.Task[None]:
        if view.refresh is None or view.refresh.done():
            view.is_wanted = False
            view.refresh = asyncio.create_task(self._refresh(service, view))
        return view.refresh

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
        view.fetched_ms = self._clock.now_ms()

    def _make_replica(self, index: UpstreamIndex, failure_domain: str) -> ReplicaInfo:
        is_near = failure_domain == self._failure_domain
        distance_ms = 0.0 if is_near else OTHER_DOMAIN_DISTANCE_MS
        return ReplicaInfo(index.upstream, index.owner, index.state, index.allowance, distance_ms)

    async def _describe_all(self, upstreams: Sequence[UpstreamSpec]) -> list[UpstreamIndex]:
        """Ask likely owners in turn until each upstream has one that says so itself."""
        found: dict[str, UpstreamIndex] = {}
        asked: dict[str, set[str]] = {upstream.name: set() for upstream in upstreams}
        for _ in range(MAX_OWNER_HOPS):
            by_instance: dict[str, list[str]] = {}
            for upstream in upstreams:
                target = self._choose_target(upstream, asked[upstream.name])
                if upstream.name not in found and target:
                    asked[upstream.name].add(target)
                    by_instance.setdefault(target, []).append(upstream.name)
            if not by_instance:
                break
            answers = await asyncio.gather(
                *(self._describe(instance, names) for instance, names in by_instance.items())
            )
            for instance, indexes in zip(by_instance, answers, strict=True):
                self._take(instance, indexes, found)
        return [found[upstream.name] for upstream in upstreams if upstream.name in found]

    def _choose_target(self, upstream: UpstreamSpec, asked: set[str]) -> str:
        hint = self._owners.get(upstream.name)
        if hint and hint not in asked:
            return hint
        ranked = self._roster.rank_owners(upstream)
        return next((name for name in ranked if name not in asked), "")

    def _take(
        self, instance: str, indexes: list[UpstreamIndex], found: dict[str, UpstreamIndex]
    ) -> None:
        for index in indexes:
            if index.owner == instance:
                found[index.upstream] = index
                self._owners[index.upstream] = instance
            elif index.owner:
                self._owners[index.upstream] = index.owner
            else:
                self._owners.pop(index.upstream, None)

    async def _describe(self, instance: str, upstreams: list[str]) -> list[UpstreamIndex]:
        if instance == self._name:
            return self._local.describe(upstreams)
        address = self._roster.find_peer_address(instance)
        if address is None:
            return []
        reply = await self._peers.describe(address, upstreams, DESCRIBE_TIMEOUT_MS)
        if isinstance(reply, Failure):
            return [_make_unknown(upstream) for upstream in upstreams]
        return reply


def _make_unknown(upstream: str) -> UpstreamIndex:
    return UpstreamIndex(upstream, "", UpstreamState.UNKNOWN, 0, ())
