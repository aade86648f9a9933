"""Injects faults that are drawn from a seed; they follow each other and overlap."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterator
from random import Random

from .fleet import Fleet, Instance
from .proxy import Direction, FaultProxy
from .records import History, now_ms
from .standins import COLD_MS, DOMAINS, SoakPlatform, SoakUpstream

# Mean time between the starts of two faults.
MEAN_FAULT_INTERVAL_S = 0.4
# The entry of a crashed upstream expires after three missed heartbeats. Its address is reused by
# another upstream after a shorter time, while the old entry still names it.
ENTRY_EXPIRY_S = 3.0
ADDRESS_REUSE_S = 2.0
DRAIN_S = 3.0
# Share of the replaced upstreams that announce that they leave before their entry is deleted.
ANNOUNCED_SHARE = 0.7
# Ways in which `SoakUpstream` mishandles requests.
UPSTREAM_FAULT_MODES = (
    "errors",
    "shed",
    "unavailable",
    "encoded",
    "truncated",
    "extra",
    "other",
    "reset",
    "no_reply",
    "slow",
)


class FaultInjector:
    """Injects random faults; each one ends by itself after a random time."""

    def __init__(
        self, platform: SoakPlatform, fleet: Fleet, history: History, random: Random
    ) -> None:
        self._platform = platform
        self._fleet = fleet
        self._history = history
        self._random = random
        self._reserved_targets: set[str] = set()
        self._running: set[asyncio.Task] = set()
        self.errors: list[str] = []
        self._weights: dict[Callable[[], Awaitable[None]], float] = {
            self.kill: 1.0,
            self.stop_and_start: 1.5,
            self.restart_in_sequence: 0.5,
            self.kill_many: 0.3,
            self.freeze: 1.0,
            self.reload: 0.7,
            self.disturb_store_connection: 1.5,
            self.disturb_store: 1.2,
            self.disturb_upstream_connections: 2.0,
            self.disturb_upstream: 2.0,
            self.crash_upstream: 1.2,
            self.restart_upstream: 0.7,
            self.reuse_address: 1.0,
            self.replace_upstream: 1.2,
            self.change_configuration: 2.0,
            self.reshard: 0.5,
            self.evacuate: 0.5,
        }

    async def run(self, seconds: float) -> None:
        """Start faults for `seconds`, then wait until all of them have ended."""
        end_ms = now_ms() + 1_000.0 * seconds
        while now_ms() < end_ms:
            await asyncio.sleep(self._random.expovariate(1.0 / MEAN_FAULT_INTERVAL_S))
            (inject,) = self._random.choices(list(self._weights), list(self._weights.values()))
            task = asyncio.create_task(inject())
            self._running.add(task)
            task.add_done_callback(self._handle_done)
        while self._running:
            await asyncio.wait(self._running)

    async def run_stops(self, seconds: float) -> None:
        """For `seconds`, stop and start one instance after the other, without any other fault."""
        end_ms = now_ms() + 1_000.0 * seconds
        while now_ms() < end_ms:
            instance = self._draw_instance()
            await self._stop_one(instance)
            await instance.wait_until_ready()
            await self._sleep(0.5, 1.0)

    def _handle_done(self, task: asyncio.Task) -> None:
        self._running.discard(task)
        if task.exception() is not None:
            self.errors.append(repr(task.exception()))

    @contextlib.contextmanager
    def _reserve(self, target: str) -> Iterator[bool]:
        """Reserve a target for the block; yield false if another fault has reserved it."""
        if target in self._reserved_targets:
            yield False
            return
        self._reserved_targets.add(target)
        try:
            yield True
        finally:
            self._reserved_targets.discard(target)

    async def _sleep(self, low_s: float, high_s: float) -> None:
        await asyncio.sleep(self._random.uniform(low_s, high_s))

    def _draw_instance(self) -> Instance:
        return self._random.choice(self._fleet.instances)

    def _draw_upstream(self) -> SoakUpstream:
        return self._random.choice(list(self._platform.upstreams.values()))

    # Instances

    async def kill(self) -> None:
        """Kill an instance with SIGKILL and start it some time later."""
        await self._kill_one(self._draw_instance())

    async def _kill_one(self, instance: Instance) -> None:
        with self._reserve(instance.name) as is_free:
            if is_free:
                with self._history.record_fault(instance.name, "killed"):
                    await instance.kill()
                    await self._sleep(0.1, 3.0)
                    await instance.start()

    async def kill_many(self) -> None:
        """Kill half of the instances or more with SIGKILL at the same time."""
        count = self._random.randint(len(self._fleet.instances) // 2, len(self._fleet.instances))
        chosen = self._random.sample(self._fleet.instances, count)
        await asyncio.gather(*(self._kill_one(instance) for instance in chosen))

    async def stop_and_start(self) -> None:
        """Stop an instance with SIGTERM and start it once its process has ended."""
        await self._stop_one(self._draw_instance())

    async def _stop_one(self, instance: Instance) -> None:
        with self._reserve(instance.name) as is_free:
            if is_free:
                with self._history.record_fault(instance.name, "stopped", is_planned=True):
                    await instance.stop()
                    await self._sleep(0.0, 0.5)
                    await instance.start()

    async def restart_in_sequence(self) -> None:
        """Restart three instances one after another, and send SIGHUP to others meanwhile."""
        for instance in self._random.sample(self._fleet.instances, 3):
            await asyncio.gather(self._stop_one(instance), self.reload())

    async def freeze(self) -> None:
        """Pause an instance with SIGSTOP and resume it with SIGCONT."""
        instance = self._draw_instance()
        with self._reserve(instance.name) as is_free:
            if is_free:
                with self._history.record_fault(instance.name, "frozen"):
                    instance.pause()
                    try:
                        await self._sleep(0.2, 3.0)
                    finally:
                        instance.resume()

    async def reload(self) -> None:
        """Send SIGHUP to an instance, up to three times."""
        instance = self._draw_instance()
        for _ in range(self._random.randint(1, 3)):
            with self._reserve(instance.name) as is_free:
                if is_free:
                    self._history.record_event(f"{instance.name}: SIGHUP")
                    instance.reload()
            await self._sleep(0.0, 0.3)

    # The store

    async def disturb_store_connection(self) -> None:
        """Disturb the connections between one instance and the store."""
        instance = self._draw_instance()
        await self._disturb_proxy(instance.store, f"store of {instance.name}", instance.name, 5.0)

    async def disturb_store(self) -> None:
        """Make the store unavailable, silent or slow, lose answers, or compact its history."""
        with self._reserve("store") as is_free:
            if not is_free:
                return
            store = self._platform.store
            kind = self._random.choice(["down", "silent", "slow", "loses answers", "compacted"])
            with self._history.record_fault("store", kind):
                store.is_down = kind == "down"
                store.ignores_input = kind == "silent"
                store.delay_s = self._random.uniform(0.1, 0.6) if kind == "slow" else 0.0
                store.loses_answers = kind == "loses answers"
                if kind == "compacted":
                    store.compact_history()
                await self._sleep(1.0, 5.0)
                store.is_down = store.ignores_input = store.loses_answers = False
                store.delay_s = 0.0

    # Upstreams

    async def disturb_upstream_connections(self) -> None:
        """Delay, reset, refuse, block or silence the connections to one upstream."""
        upstream = self._draw_upstream()
        proxy = self._platform.proxies[upstream.id]
        await self._disturb_proxy(proxy, f"link of {upstream.id}", upstream.id, 4.0)

    async def _disturb_proxy(
        self, proxy: FaultProxy, target: str, scope: str, max_duration_s: float
    ) -> None:
        with self._reserve(target) as is_free:
            if not is_free:
                return
            kind = self._random.choice(["reset", "silence", "delay", "refuse", "cut", "one way"])
            with self._history.record_fault(scope, f"connections: {kind}"):
                if kind == "delay":
                    proxy.delay_s = self._random.uniform(0.01, 0.2)
                elif kind == "cut":
                    proxy.blocked_directions = frozenset(Direction)
                elif kind == "one way":
                    proxy.blocked_directions = frozenset({self._random.choice(list(Direction))})
                elif kind == "silence":
                    proxy.silence()
                else:
                    proxy.is_refusing = kind == "refuse"
                    proxy.reset()
                if kind not in ("reset", "silence"):
                    await self._sleep(0.5, max_duration_s)
                proxy.clear_faults()

    async def disturb_upstream(self) -> None:
        """Let an upstream mishandle a share of its requests."""
        upstream = self._draw_upstream()
        with self._reserve(f"mode of {upstream.id}") as is_free:
            if is_free:
                mode = self._random.choice(UPSTREAM_FAULT_MODES)
                with self._history.record_fault(upstream.id, mode):
                    upstream.mode = mode
                    await self._sleep(1.0, 5.0)
                    upstream.mode = ""

    async def crash_upstream(self) -> None:
        """Crash an upstream; once its entry has expired, another one starts cold."""
        upstream = self._draw_upstream()
        with self._reserve(upstream.service) as is_free:
            if is_free:
                with self._history.record_fault(upstream.id, "crashed"):
                    await self._platform.stop_upstream(upstream)
                    await asyncio.sleep(ENTRY_EXPIRY_S)
                    self._platform.remove_entry(upstream.id)
                    await self._start_cold(upstream.service, upstream.domain)

    async def _start_cold(self, service: str, domain: str) -> None:
        started = await self._platform.start_upstream(service, domain, True)
        self._history.record_event(f"{started.id}: started cold")

    async def restart_upstream(self) -> None:
        """Crash an upstream and start it again with the same id and address, cold."""
        upstream = self._draw_upstream()
        with self._reserve(upstream.service) as is_free:
            if is_free:
                with self._history.record_fault(upstream.id, "crashed, starts again"):
                    await self._platform.stop_upstream(upstream)
                    await self._sleep(0.2, 2.0)
                    proxy = self._platform.proxies[upstream.id]
                    await self._platform.start_upstream(
                        upstream.service, upstream.domain, True, proxy, upstream.id
                    )

    async def reuse_address(self) -> None:
        """Crash an upstream and reuse its address for an upstream of another service."""
        upstream = self._draw_upstream()
        with self._reserve(upstream.service) as is_free:
            if is_free:
                with self._history.record_fault(upstream.id, "crashed, address is used again"):
                    await self._platform.stop_upstream(upstream)
                    await asyncio.sleep(ADDRESS_REUSE_S)
                    others = {item.service for item in self._platform.upstreams.values()}
                    other = self._random.choice(sorted(others - {upstream.service}))
                    proxy = self._platform.proxies[upstream.id]
                    await self._platform.start_upstream(other, upstream.domain, True, proxy)
                    await asyncio.sleep(ENTRY_EXPIRY_S - ADDRESS_REUSE_S)
                    self._platform.remove_entry(upstream.id)
                    await self._start_cold(upstream.service, upstream.domain)

    async def replace_upstream(self) -> None:
        """Replace an upstream: start another one, then drain it or only delete its entry."""
        upstream = self._draw_upstream()
        with self._reserve(upstream.service) as is_free:
            if is_free:
                await self._start_cold(upstream.service, upstream.domain)
                await asyncio.sleep(COLD_MS / 1_000)
                await self._drain_and_stop(upstream, self._random.random() < ANNOUNCED_SHARE)

    async def _drain_and_stop(self, upstream: SoakUpstream, is_announced: bool) -> None:
        self._history.record_event(f"{upstream.id}: leaves")
        upstream.is_leaving = True
        if is_announced:
            self._platform.write_entry(upstream)
        else:
            self._platform.store.delete(f"servers/{upstream.id}")
            self._history.leaving_since_ms.setdefault(upstream.id, now_ms())
        await asyncio.sleep(DRAIN_S + 1.0)
        await self._platform.stop_upstream(upstream)
        self._platform.remove_entry(upstream.id)

    # The operator

    async def change_configuration(self) -> None:
        """Publish one new version of the configuration, or four in quick succession."""
        platform = self._platform
        for _ in range(self._random.choice([1, 1, 1, 4])):
            kind = self._random.choice(["move", "add", "drop"])
            if kind == "move":
                platform.moved_service = "u1" if platform.moved_service == "u0" else "u0"
            elif kind == "add" or not platform.extra_routes:
                platform.extra_routes.append(f"/n{platform.version}/")
            else:
                platform.extra_routes.pop(self._random.randrange(len(platform.extra_routes)))
            platform.publish_configuration()
            self._history.record_event(f"operator: version {platform.version}, {kind}")
            await self._sleep(0.0, 0.4)

    async def reshard(self) -> None:
        """Move the index to another set of shards while queries run."""
        with contextlib.ExitStack() as stack:
            platform = self._platform
            services = [*platform.list_shards("s"), *platform.list_shards("t")]
            if not all([stack.enter_context(self._reserve(name)) for name in services]):
                return
            old = [
                item for name in platform.list_shards() for item in platform.list_upstreams(name)
            ]
            new = "t" if platform.index == "s" else "s"
            for service in platform.list_shards(new):
                for domain in DOMAINS[:2]:
                    await self._start_cold(service, domain)
            await asyncio.sleep(COLD_MS / 1_000)
            platform.index = new
            platform.publish_configuration()
            self._history.record_event(f"operator: version {platform.version}, index {new}")
            await asyncio.sleep(DRAIN_S)
            await asyncio.gather(*(self._drain_and_stop(upstream, True) for upstream in old))

    async def evacuate(self) -> None:
        """Take a failure domain out of service for some seconds; it is cold when it is back."""
        with self._reserve("evacuation") as is_free:
            if not is_free:
                return
            domain = self._random.choice(DOMAINS)
            index = len(self._history.evacuations)
            self._platform.store.write(f"op/evacuate/{domain}", b"{}")
            self._history.evacuations.append((domain, now_ms(), float("inf")))
            self._history.record_event(f"operator: {domain} is taken out of service")
            await self._sleep(6.0, 9.0)
            self._history.evacuations[index] = (*self._history.evacuations[index][:2], now_ms())
            self._platform.store.delete(f"op/evacuate/{domain}")
            self._history.record_event(f"operator: {domain} is back in service")
