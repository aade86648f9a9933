"""Applies each configuration revision at this instance, pulled from the store or from peers."""

import asyncio
from collections.abc import Callable, Iterable, Mapping

from .configurator import fetch_base, fetch_head
from .documents import HEAD_KEY, Configuration, ConfigurationUpdate, Head, PullRequest
from .environment import Environment
from .errors import Failure
from .policy.configuration import ConfigurationTracker, Verdict, build_update, choose_watchers
from .ports import KeyValueStore, Peers, StoreEntry

LOOP_INTERVAL_MS = 100
PULL_TIMEOUT_MS = 1_000.0
STORE_TIMEOUT_MS = 1_000.0
# Interval at which an instance without a configuration tries every seed address.
INITIAL_PULL_INTERVAL_MS = 500.0
WATCH_RETRY_DELAY_S = 1.0


class ConfigurationDistributor:
    """Keeps the configuration of this instance up to date and sends it to peers.

    `seeds` maps names of instances to their peer addresses, for pulls before the first heartbeats.
    `find_revisions` returns the revision that each live instance reported, `find_address` the peer
    address of an instance, `list_domain` the live instances of this failure domain. `on_change` is
    called with each configuration that is put in force, `on_head` with each head read from the
    store and its `mod_revision`. While `needs_head` returns True, this instance reads the head
    itself.
    """

    def __init__(
        self,
        environment: Environment,
        name: str,
        failure_domain: str,
        store: KeyValueStore,
        peers: Peers,
        seeds: Mapping[str, str],
        find_revisions: Callable[[], Mapping[str, int]],
        find_address: Callable[[str], str | None],
        list_domain: Callable[[], Iterable[str]],
        on_change: Callable[[Configuration], None],
        on_head: Callable[[Head, int], None],
        needs_head: Callable[[], bool],
    ) -> None:
        self._clock = environment.clock
        self._random = environment.random
        self._log = environment.make_logger("config")
        self._name = name
        self._failure_domain = failure_domain
        self._store = store
        self._peers = peers
        self._seeds = dict(seeds)
        self._find_revisions = find_revisions
        self._find_address = find_address
        self._list_domain = list_domain
        self._on_change = on_change
        self._on_head = on_head
        self._needs_head = needs_head
        self._tracker = ConfigurationTracker(environment.clock.now_ms())
        self._next_initial_pull_ms = 0.0
        self._watch: asyncio.Task[None] | None = None
        self.store_calls = 0

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force, of revision 0 before the first one."""
        return self._tracker.configuration

    @property
    def is_ready(self) -> bool:
        """Return whether a configuration is in force."""
        return self._tracker.is_ready

    @property
    def is_watcher(self) -> bool:
        """Return whether this instance is one of its domain's watchers of the store."""
        return self._name in choose_watchers(self._list_domain(), self._failure_domain)

    def record_head_read(self, age_ms: float) -> None:
        """Record that an instance read the head `age_ms` ago."""
        self._tracker.record_head_read(self._clock.now_ms(), age_ms)

    def compute_head_age_ms(self) -> float:
        """Return the age in ms of the latest known read of the head."""
        return self._tracker.compute_head_age_ms(self._clock.now_ms())

    def handle_pull(self, request: PullRequest) -> ConfigurationUpdate:
        """Return the configuration parts that are missing at a peer."""
        return build_update(self.configuration, request)

    async def run(self) -> None:
        """Keep the configuration up to date until cancelled."""
        try:
            while True:
                if not self.is_ready:
                    await self._load_initial()
                await self._pull_newer_revisions()
                await self._follow_store()
                await asyncio.sleep(LOOP_INTERVAL_MS / 1000)
        finally:
            self._cancel_watch()

    async def _load_initial(self) -> None:
        if self._clock.now_ms() < self._next_initial_pull_ms:
            return
        self._next_initial_pull_ms = self._clock.now_ms() + INITIAL_PULL_INTERVAL_MS
        for name in self._seeds:
            if await self._pull(name) and self.is_ready:
                return
        await self._read_store()

    async def _pull_newer_revisions(self) -> None:
        tried_peers: set[str] = set()
        while peer := self._tracker.choose_peer(self._find_revisions(), tried_peers, self._random):
            tried_peers.add(peer)
            await self._pull(peer)

    async def _pull(self, name: str) -> bool:
        address = self._find_address(name) or self._seeds.get(name)
        if address is None:
            return False
        request = self._tracker.make_request()
        update = await self._peers.pull(address, request, PULL_TIMEOUT_MS)
        if isinstance(update, Failure):
            return False
        if update.head.revision > 0:
            self._apply_update(update, name)
        return True

    def _apply_update(self, update: ConfigurationUpdate, source: str) -> None:
        result = self._tracker.offer_update(update, source)
        if result.warning:
            self._log.warning("{}.", result.warning)
        if result.verdict is Verdict.ACCEPT:
            head = self.configuration.head
            self._log.info("Revision {} in force, preset {}.", head.revision, head.preset or "-")
            self._on_change(self.configuration)

    async def _follow_store(self) -> None:
        is_watcher = self.is_watcher
        if not is_watcher:
            self._cancel_watch()
        elif self._watch is None or self._watch.done():
            self._watch = asyncio.create_task(self._run_watch())
        count = len(self._find_revisions()) + 1
        # If a whole domain starts, its watchers alone may be too few to confirm a voter list.
        is_reader = is_watcher or self._needs_head()
        if self._tracker.is_poll_due(self._clock.now_ms(), is_reader, count, self._random):
            await self._read_store()

    def _cancel_watch(self) -> None:
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

    async def _run_watch(self) -> None:
        self.store_calls += 1
        async for change in self._store.watch(HEAD_KEY):
            if isinstance(change, Failure):
                self._log.info("The watch on the store ended: {}.", change.message)
                await asyncio.sleep(WATCH_RETRY_DELAY_S)
                return
            await self._read_store(change)

    async def _read_store(self, entry: StoreEntry | None = None) -> None:
        """Evaluate the head in the store, read if `entry` is None, and fetch changed parts."""
        if entry is None:
            self.store_calls += 1
            fetched = await fetch_head(self._store, STORE_TIMEOUT_MS)
            if isinstance(fetched, Failure):
                return
            entry = fetched
        head = _parse_head(entry)
        if head is None:
            self._log.error("The store's {} is not a configuration head.", HEAD_KEY)
            return
        self._tracker.record_head_read(self._clock.now_ms())
        self._on_head(head, entry.mod_revision if entry else 0)
        result = self._tracker.evaluate_store_head(head)
        if result.warning:
            self._log.warning("{}.", result.warning)
        if result.verdict is not Verdict.ACCEPT:
            return
        self.store_calls += 2
        base = await fetch_base(self._store, self.configuration, STORE_TIMEOUT_MS)
        if isinstance(base, Failure):
            self._log.warning("Revision {} could not be read: {}.", head.revision, base.message)
            return
        stored = base.configuration
        update = ConfigurationUpdate(
            head=stored.head, services=stored.services, presets=stored.presets
        )
        self._apply_update(update, "the store")


def _parse_head(entry: StoreEntry | None) -> Head | None:
    if entry is None:
        return Head(revision=0, change_id="")
    try:
        return Head.from_bytes(entry.value)
    except ValueError:
        return None
