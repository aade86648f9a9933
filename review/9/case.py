"""All instances are killed and started again while backends reject a share of their requests."""

import asyncio
import bisect
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness2.backend import Backend
from harness2.client import make_attempt_id, send
from harness2.script import World, run

# A query goes to all shards; of their backends, 80 in 100 reject requests.
SHARDS = [f"finder{number}" for number in range(5)]
SHEDDING = (2, 2, 2, 1, 1)
ZONES = ("noord-a", "midden-a", "zuid-a")
INSTANCES_PER_ZONE = 3
REQUESTS_PER_S = 45.0
WORK_MS = 10.0
# The body of a part: records of 16 bytes.
RECORDS = bytes(range(96))
SHED_SHARE = 0.6
SHED_S = 9.0
KILLED_AFTER_S = 4.0
RESTART_S = 0.5
ROUNDS = 3
CALM_S = 22.0
# The bounds of the settings.
WINDOW_S = 10.0
RATIO = 0.2
SLACK = 58.0


class SheddingBackend(Backend):
    """Rejects a share of its requests; its health check stays good."""

    shed_share = 0.0

    async def handle(self, request, writer):
        attempt = request.headers.get("citronpaddle-attempt-id", "")
        self.record.add("arrived", service=self.service, attempt=attempt)
        if random.random() < self.shed_share:
            return self.reject(attempt, writer)
        return await super().handle(request, writer)


async def _send_one(world: World) -> None:
    attempt = make_attempt_id()
    port = random.choice(world.instances).ports["front"]
    world.record.add("sent", attempt=attempt)
    answer = await send(port, "/find/deed", attempt)
    world.record.add("answered", attempt=attempt, status=answer.status)


async def _load(world: World) -> None:
    pending = set()
    while True:
        await asyncio.sleep(random.uniform(0.5, 1.5) / REQUESTS_PER_S)
        task = asyncio.create_task(_send_one(world))
        pending.add(task)
        task.add_done_callback(pending.discard)


async def case(world: World) -> str | None:
    backends = []
    for shard in SHARDS:
        for zone in ZONES[:2]:
            backend = SheddingBackend(
                f"i-{shard}-{zone}", shard, zone, world.record, WORK_MS, body=RECORDS
            )
            await backend.start()
            world.servers.append(backend)
            backend.write_entry(world.store)
            backends.append(backend)
    shedding = [
        backend
        for shard, count in zip(SHARDS, SHEDDING, strict=True)
        for backend in [one for one in backends if one.service == shard][:count]
    ]
    route = {"prefix": "/find/", "fanout_services": SHARDS, "top_k": 5, "min_shard_ratio": 0.75}
    world.configure([route], SHARDS)
    for zone in ZONES:
        for _ in range(INSTANCES_PER_ZONE):
            world.add_instance(zone)
    await world.start_instances()
    load = asyncio.create_task(_load(world))
    await asyncio.sleep(WINDOW_S)
    for _ in range(ROUNDS):
        for backend in shedding:
            backend.shed_share = SHED_SHARE
        world.record.add("shedding")
        await asyncio.sleep(KILLED_AFTER_S)
        if world.has_trouble:
            for instance in world.instances:
                instance.kill()
            world.record.add("killed")
            await asyncio.sleep(RESTART_S)
            for instance in world.instances:
                instance.start()
            await asyncio.gather(*(one.wait_until_ready() for one in world.instances))
            world.record.add("ready")
        await asyncio.sleep(SHED_S - KILLED_AFTER_S)
        for backend in shedding:
            backend.shed_share = 0.0
        await asyncio.sleep(CALM_S)
    load.cancel()
    return _judge(world)


def _judge(world: World) -> str | None:
    """Return the window in which repeats exceed the budget by most, if there is one."""
    if not world.record.select("answered", status=200):
        raise RuntimeError("no request was served")
    sent = [one["t"] for one in world.record.select("sent")]

    def count(times: list[float], begin: float) -> int:
        return bisect.bisect_left(times, begin + WINDOW_S) - bisect.bisect_left(times, begin)

    worst, text = float("-inf"), "no repeats"
    for shard in SHARDS:
        repeats = _list_repeats(world, shard)
        for begin in repeats:
            # The window, the one before it, or the one half a window before it.
            requests = max(count(sent, begin - shift) for shift in (0.0, WINDOW_S, WINDOW_S / 2))
            found, bound = count(repeats, begin), RATIO * requests + SLACK
            if found - bound > worst:
                worst = found - bound
                text = (
                    f"{shard} gets {found} repeats in the {WINDOW_S:.0f} s from {begin:.1f} s on, "
                    f"{requests} requests, bound {bound:.0f}"
                )
    print(text)
    return f"BUDGET: {text}" if worst > 0 else None


def _list_repeats(world: World, shard: str) -> list[float]:
    """Return the times of the arrivals at a shard beyond the first of each request."""
    seen: set[str] = set()
    repeats = []
    for one in world.record.select("arrived", service=shard):
        if one["attempt"] in seen:
            repeats.append(one["t"])
        seen.add(one["attempt"])
    return repeats


if __name__ == "__main__":
    run(case, Path(__file__).resolve().parent)
