"""Backends leave just after a connection of one instance to the store was reset."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness2.backend import Backend
from harness2.client import make_attempt_id, send
from harness2.proxy import StoreProxy
from harness2.script import World, run

SERVICE = "archive"
ZONES = ("noord-a", "midden-a", "zuid-a")
# The bounds of the settings, in seconds.
CONTACT_S = 4.0
DRAIN_S = 3.0
ROUNDS = 9
# From the reset to the removal of the backend's entry.
REMOVED_AFTER_S = 1.2
# The backend goes on serving for `DRAIN_S` after the removal, and this long after that.
SERVES_LONGER_S = 2.0
REQUESTS_PER_S = 20.0


async def _send_one(world: World, port: int) -> None:
    attempt = make_attempt_id()
    world.record.add("sent", attempt=attempt)
    answer = await send(port, f"/{SERVICE}/deed", attempt)
    world.record.add("answered", attempt=attempt, status=answer.status)


async def _load(world: World, port: int) -> None:
    pending = set()
    while True:
        await asyncio.sleep(random.uniform(0.5, 1.5) / REQUESTS_PER_S)
        task = asyncio.create_task(_send_one(world, port))
        pending.add(task)
        task.add_done_callback(pending.discard)


async def _start_backend(world: World, name: str, zone: str) -> Backend:
    backend = Backend(name, SERVICE, zone, world.record)
    await backend.start()
    world.servers.append(backend)
    backend.write_entry(world.store)
    return backend


async def case(world: World) -> str | None:
    proxy = StoreProxy(world.store.port)
    await proxy.start()
    world.servers.append(proxy)
    for number, zone in enumerate(ZONES[1:]):
        await _start_backend(world, f"i-stays-{number}", zone)
    world.configure([{"prefix": f"/{SERVICE}/", "service": SERVICE}], [SERVICE])
    instance = world.add_instance(ZONES[0], proxy.port)
    for zone in ZONES[1:]:
        world.add_instance(zone)
    await world.start_instances()
    load = asyncio.create_task(_load(world, instance.ports["front"]))
    late: list[str] = []
    for number in range(ROUNDS):
        leaving = await _start_backend(world, f"i-leaves-{number}", ZONES[0])
        await asyncio.sleep(3.0 + random.uniform(0.0, 2.0))
        late += await _run_round(world, proxy, leaving)
    load.cancel()
    served = len(world.record.select("answered", status=200))
    if not served:
        raise RuntimeError("no request was served")
    print(f"{served} requests served, {len(late)} of them late at a backend that had left")
    return f"DRAIN: {late}" if late else None


async def _run_round(world: World, proxy: StoreProxy, leaving: Backend) -> list[str]:
    """Return the requests that reached the backend too late, by an instance in touch."""
    if world.has_trouble:
        world.record.add("reset", connections_left=await proxy.reset_watch())
    in_touch = world.record.now() + CONTACT_S
    await asyncio.sleep(REMOVED_AFTER_S)
    # The backend doesn't report `draining`: its entry is removed, and it goes on serving.
    world.store.delete(f"servers/{leaving.id}")
    removed = world.record.now()
    world.record.add("removed", backend=leaving.id)
    await asyncio.sleep(DRAIN_S + SERVES_LONGER_S)
    await leaving.stop()
    sent = {one["attempt"]: one["t"] for one in world.record.select("sent")}
    late = [
        one["attempt"]
        for one in world.record.select("run", backend=leaving.id)
        if one["t"] > removed + DRAIN_S and sent[one["attempt"]] > in_touch
    ]
    world.record.add("round", in_touch=round(in_touch, 3), late=late)
    return late


if __name__ == "__main__":
    run(case, Path(__file__).resolve().parent)
