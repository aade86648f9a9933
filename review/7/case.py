"""A machine is lost for good, and a connection of another one to the store is reset."""

import asyncio
import json
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness2.backend import Backend
from harness2.client import send
from harness2.proxy import StoreProxy
from harness2.script import World, run

SERVICE = "archive"
ZONES = ("noord-a", "midden-a", "zuid-a")
# The machines of the first zone: the one whose directory is asked, one that is lost, and others.
LOCAL_MACHINES = 4
CONTACT_S = 4.0
# The directory may name a lost machine for `contact_ms` + 3 s.
NAMED_S = CONTACT_S + 3.0
MOST_ANSWERS = 3
ROUNDS = 6
RESET_AFTER_S = 1.5
LOST_FOR_S = 12.0
LOOK_UP_INTERVAL_S = 0.2


async def _look_up(world: World, port: int) -> None:
    """Ask the directory of a machine for addresses again and again, as its clients do."""
    target = f"/citronpaddle/resolve?name=h.example&region=noord&zone={ZONES[0]}"
    while True:
        answer = await send(port, target)
        if answer.status == 200:
            world.record.add("answered", addresses=json.loads(answer.body)["addrs"])
        await asyncio.sleep(LOOK_UP_INTERVAL_S)


async def case(world: World) -> str | None:
    proxy = StoreProxy(world.store.port)
    await proxy.start()
    world.servers.append(proxy)
    backend = Backend("i-1", SERVICE, ZONES[0], world.record)
    await backend.start()
    world.servers.append(backend)
    backend.write_entry(world.store)
    world.configure([{"prefix": f"/{SERVICE}/", "service": SERVICE}], [SERVICE])
    asked = world.add_instance(ZONES[0], proxy.port)
    for _ in range(LOCAL_MACHINES - 1):
        world.add_instance(ZONES[0])
    for zone in ZONES[1:]:
        world.add_instance(zone)
    await world.start_instances()
    look_up = asyncio.create_task(_look_up(world, asked.ports["directory"]))
    late = 0
    for number in range(ROUNDS):
        await asyncio.sleep(2.5 + random.uniform(0.0, 2.0))
        lost = world.instances[1 + number % (LOCAL_MACHINES - 1)]
        late += await _run_round(world, proxy, lost)
    look_up.cancel()
    if not world.record.select("answered"):
        raise RuntimeError("the directory has not answered")
    print(f"{late} answers name a machine that was lost more than {NAMED_S:.0f} s before")
    return f"DRAIN: {late} answers" if late > MOST_ANSWERS else None


async def _run_round(world: World, proxy: StoreProxy, lost) -> int:
    """Return the number of answers that name a lost machine too late, by a machine in touch."""
    lost.kill()
    killed = world.record.now()
    world.record.add("lost", name=lost.name)
    await asyncio.sleep(RESET_AFTER_S)
    in_touch = killed
    if world.has_trouble:
        world.record.add("reset", connections_left=await proxy.reset_watch())
        in_touch = world.record.now() + CONTACT_S
    await asyncio.sleep(LOST_FOR_S - RESET_AFTER_S)
    address = f"127.0.0.1:{lost.ports['front']}"
    late = [
        one["t"]
        for one in world.record.select("answered")
        if one["t"] > max(in_touch, killed + NAMED_S) and address in one["addresses"]
    ]
    world.record.add("round", in_touch=round(in_touch, 3), late=late)
    lost.start()
    return len(late)


if __name__ == "__main__":
    run(case, Path(__file__).resolve().parent)
