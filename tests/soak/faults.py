"""The faults of a soak: drawn from a seed, in series and overlapping."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterator
from random import Random

from .fleet import Fleet, Instance
from .proxy import Direction, FaultProxy
from .records import History, now_ms
from .world import COLD_MS, DOMAINS, SoakUpstream, SoakWorld

# The mean time between the beginnings of two faults.
FAULT_GAP_S = 0.4
# An entry goes after three heartbeats of silence; an address is used again after this time.
ENTRY_LAPSE_S = 3.0
REUSE_S = 2.0
DRAIN_S = 3.0
MODES = (
    "errors",
    "shed",
    "promise",
    "encoded",
    "truncated",
    "extra",
    "other",
    "reset",
    "mute",
    "slow",
)


class Faults:
    """Begins faults until told to end; each one heals by itself."""

    def __init__(self, world: SoakWorld, fleet: Fleet, history: History, random: Random) -> None:
        self._world = world
        self._fleet = fleet
        self._history = history
        self._random = random
        self._busy: set[str] = set()
        self._running: set[asyncio.Task] = set()
        self.errors: list[str] = []
        self._kinds: dict[Callable[[], Awaitable[None]], float] = {
            self.kill: 1.0,
            self.stop_and_start: 1.5,
            self.roll: 0.5,
            self.kill_many: 0.3,
            self.freeze: 1.0,
            self.reload: 0.7,
            self.cut_from_store: 1.5,
            self.disturb_store: 1.2,
            self.disturb_link: 2.0,
            self.disturb_upstream: 2.0,
            self.crash: 1.2,
            self.reborn: 0.7,
            self.replace: 1.0,
            self.drain: 1.2,
            self.change: 2.0,
            self.reshard: 0.5,
            self.evacuate: 0.5,
        }

    async def run(self, seconds: float) -> None:
        """Begin faults for this long, then wait until all have healed."""
        end_ms = now_ms() + 1_000.0 * seconds
        while now_ms() < end_ms:
            await asyncio.sleep(self._random.expovariate(1.0 / FAULT_GAP_S))
            (kind,) = self._random.choices(list(self._kinds), list(self._kinds.values()))
            task = asyncio.create_task(kind())
            self._running.add(task)
            task.add_done_callback(self._note_done)
        while self._running:
            await asyncio.wait(self._running)

    def _note_done(self, task: asyncio.Task) -> None:
        self._running.discard(task)
        if task.exception() is not None:
            self.errors.append(repr(task.exception()))

    @contextlib.contextmanager
    def _claim(self, name: str) -> Iterator[bool]:
        """Yield whether nothing else is being done to `name`, and hold it for the block."""
        if name in self._busy:
            yield False
            return
        self._busy.add(name)
        try:
            yield True
        finally:
            self._busy.discard(name)

    async def _sleep(self, low_s: float, high_s: float) -> None:
        await asyncio.sleep(self._random.uniform(low_s, high_s))

    def _draw_instance(self) -> Instance:
        return self._random.choice(self._fleet.instances)

    def _draw_upstream(self) -> SoakUpstream:
        return self._random.choice(list(self._world.upstreams.values()))

    # Instances

    async def kill(self) -> None:
        """SIGKILL, and a start some time later."""
        await self._kill_one(self._draw_instance())

    async def _kill_one(self, instance: Instance) -> None:
        with self._claim(instance.name) as is_free:
            if is_free:
                with self._history.trouble(instance.name, "killed"):
                    await instance.kill()
                    await self._sleep(0.1, 3.0)
                    await instance.start()

    async def kill_many(self) -> None:
        """SIGKILL for half of the instances or more at the same moment."""
        count = self._random.randint(len(self._fleet.instances) // 2, len(self._fleet.instances))
        chosen = self._random.sample(self._fleet.instances, count)
        await asyncio.gather(*(self._kill_one(instance) for instance in chosen))

    async def stop_and_start(self) -> None:
        """SIGTERM, and a start once the process has ended."""
        await self._stop_one(self._draw_instance())

    async def _stop_one(self, instance: Instance) -> None:
        with self._claim(instance.name) as is_free:
            if is_free:
                with self._history.trouble(instance.name, "stopped", is_planned=True):
                    await instance.stop()
                    await self._sleep(0.0, 0.5)
                    await instance.start()

    async def roll(self) -> None:
        """SIGTERM for one instance after the other, with SIGHUP for others in between."""
        for instance in self._random.sample(self._fleet.instances, 3):
            await asyncio.gather(self._stop_one(instance), self.reload())

    async def freeze(self) -> None:
        """SIGSTOP and SIGCONT."""
        instance = self._draw_instance()
        with self._claim(instance.name) as is_free:
            if is_free:
                with self._history.trouble(instance.name, "frozen"):
                    instance.pause()
                    try:
                        await self._sleep(0.2, 3.0)
                    finally:
                        instance.resume()

    async def reload(self) -> None:
        """SIGHUP several times."""
        instance = self._draw_instance()
        for _ in range(self._random.randint(1, 3)):
            with self._claim(instance.name) as is_free:
                if is_free:
                    self._history.note(f"{instance.name}: SIGHUP")
                    instance.reload()
            await self._sleep(0.0, 0.3)

    # The store

    async def cut_from_store(self) -> None:
        """One instance cannot use the store."""
        instance = self._draw_instance()
        await self._disturb_proxy(instance.store, f"store of {instance.name}", instance.name, 5.0)

    async def disturb_store(self) -> None:
        """The store is down, silent, slow, loses answers, or forgets its history."""
        with self._claim("store") as is_free:
            if not is_free:
                return
            store = self._world.store
            kind = self._random.choice(["down", "silent", "slow", "loses answers", "forgets"])
            with self._history.trouble("store", kind):
                store.is_down = kind == "down"
                store.ignores_input = kind == "silent"
                store.delay_s = self._random.uniform(0.1, 0.6) if kind == "slow" else 0.0
                store.loses_answers = kind == "loses answers"
                if kind == "forgets":
                    store.forget_history()
                await self._sleep(1.0, 5.0)
                store.is_down = store.ignores_input = store.loses_answers = False
                store.delay_s = 0.0

    # Upstreams

    async def disturb_link(self) -> None:
        """The connections to one upstream are delayed, reset, cut or silenced."""
        upstream = self._draw_upstream()
        proxy = self._world.proxies[upstream.id]
        await self._disturb_proxy(proxy, f"link of {upstream.id}", upstream.id, 4.0)

    async def _disturb_proxy(
        self, proxy: FaultProxy, name: str, scope: str, longest_s: float
    ) -> None:
        with self._claim(name) as is_free:
            if not is_free:
                return
            kind = self._random.choice(["reset", "silence", "delay", "refuse", "cut", "one way"])
            with self._history.trouble(scope, f"connections: {kind}"):
                if kind == "delay":
                    proxy.delay_s = self._random.uniform(0.01, 0.2)
                elif kind == "cut":
                    proxy.cut = frozenset(Direction)
                elif kind == "one way":
                    proxy.cut = frozenset({self._random.choice(list(Direction))})
                elif kind == "silence":
                    proxy.silence()
                else:
                    proxy.is_refusing = kind == "refuse"
                    proxy.reset()
                if kind not in ("reset", "silence"):
                    await self._sleep(0.5, longest_s)
                proxy.heal()

    async def disturb_upstream(self) -> None:
        """An upstream treats a part of its requests badly."""
        upstream = self._draw_upstream()
        with self._claim(f"mode of {upstream.id}") as is_free:
            if is_free:
                mode = self._random.choice(MODES)
                with self._history.trouble(upstream.id, mode):
                    upstream.mode = mode
                    await self._sleep(1.0, 5.0)
                    upstream.mode = ""

    async def crash(self) -> None:
        """An upstream ends without a word; another one starts cold."""
        upstream = self._draw_upstream()
        with self._claim(upstream.service) as is_free:
            if is_free:
                with self._history.trouble(upstream.id, "crashed"):
                    await self._world.end_upstream(upstream)
                    await asyncio.sleep(ENTRY_LAPSE_S)
                    self._world.unlist(upstream.id)
                    await self._start(upstream.service, upstream.domain)

    async def _start(self, service: str, domain: str) -> None:
        started = await self._world.start_upstream(service, domain, True)
        self._history.note(f"{started.id}: started cold")

    async def reborn(self) -> None:
        """An upstream crashes and starts again under its id, cold."""
        upstream = self._draw_upstream()
        with self._claim(upstream.service) as is_free:
            if is_free:
                with self._history.trouble(upstream.id, "crashed, starts again"):
                    await self._world.end_upstream(upstream)
                    await self._sleep(0.2, 2.0)
                    proxy = self._world.proxies[upstream.id]
                    await self._world.start_upstream(
                        upstream.service, upstream.domain, True, proxy, upstream.id
                    )

    async def replace(self) -> None:
        """An upstream crashes, and its address goes to one of another service."""
        upstream = self._draw_upstream()
        with self._claim(upstream.service) as is_free:
            if is_free:
                with self._history.trouble(upstream.id, "crashed, address is used again"):
                    await self._world.end_upstream(upstream)
                    await asyncio.sleep(REUSE_S)
                    others = {item.service for item in self._world.upstreams.values()}
                    other = self._random.choice(sorted(others - {upstream.service}))
                    proxy = self._world.proxies[upstream.id]
                    await self._world.start_upstream(other, upstream.domain, True, proxy)
                    await asyncio.sleep(ENTRY_LAPSE_S - REUSE_S)
                    self._world.unlist(upstream.id)
                    await self._start(upstream.service, upstream.domain)

    async def drain(self) -> None:
        """Another upstream starts, then one says that it leaves, or its entry goes unsaid."""
        upstream = self._draw_upstream()
        with self._claim(upstream.service) as is_free:
            if is_free:
                await self._start(upstream.service, upstream.domain)
                await asyncio.sleep(COLD_MS / 1_000)
                await self._retire(upstream, self._random.random() < 0.7)

    async def _retire(self, upstream: SoakUpstream, says_so: bool) -> None:
        self._history.note(f"{upstream.id}: leaves")
        upstream.is_leaving = True
        if says_so:
            self._world.publish(upstream)
        else:
            self._world.store.delete(f"servers/{upstream.id}")
            self._history.left_ms.setdefault(upstream.id, now_ms())
        await asyncio.sleep(DRAIN_S + 1.0)
        await self._world.end_upstream(upstream)
        self._world.unlist(upstream.id)

    # The operator

    async def change(self) -> None:
        """A new version, or a few in quick succession."""
        world = self._world
        for _ in range(self._random.choice([1, 1, 1, 4])):
            kind = self._random.choice(["move", "add", "drop"])
            if kind == "move":
                world.moved_to = "u1" if world.moved_to == "u0" else "u0"
            elif kind == "add" or not world.extra_routes:
                world.extra_routes.append(f"/n{world.version}/")
            else:
                world.extra_routes.pop(self._random.randrange(len(world.extra_routes)))
            world.apply()
            self._history.note(f"operator: version {world.version}, {kind}")
            await self._sleep(0.0, 0.4)

    async def reshard(self) -> None:
        """The index moves to another set of shards while queries run."""
        with contextlib.ExitStack() as stack:
            world = self._world
            services = [*world.list_shards("s"), *world.list_shards("t")]
            if not all([stack.enter_context(self._claim(name)) for name in services]):
                return
            old = [item for name in world.list_shards() for item in world.list_service(name)]
            new = "t" if world.index == "s" else "s"
            for service in world.list_shards(new):
                for domain in DOMAINS[:2]:
                    await self._start(service, domain)
            await asyncio.sleep(COLD_MS / 1_000)
            world.index = new
            world.apply()
            self._history.note(f"operator: version {world.version}, index {new}")
            await asyncio.sleep(DRAIN_S)
            await asyncio.gather(*(self._retire(upstream, True) for upstream in old))

    async def evacuate(self) -> None:
        """A failure domain is taken out for some seconds; it is cold when it comes back."""
        with self._claim("evacuation") as is_free:
            if not is_free:
                return
            domain = self._random.choice(DOMAINS)
            place = len(self._history.out)
            self._world.store.write(f"op/evacuate/{domain}", b"{}")
            self._history.out.append((domain, now_ms(), float("inf")))
            self._history.note(f"operator: {domain} is taken out")
            await self._sleep(6.0, 9.0)
            self._history.out[place] = (*self._history.out[place][:2], now_ms())
            self._world.store.delete(f"op/evacuate/{domain}")
            self._history.note(f"operator: {domain} is back")
