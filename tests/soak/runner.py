"""Plays one seed: starts everything, lets faults and callers loose, and checks the promises."""

import asyncio
from pathlib import Path
from random import Random
from typing import NamedTuple

from .callers import Caller
from .faults import Faults
from .fleet import Fleet
from .invariants import CONTACT_MS, Breach, check
from .records import History, Trouble, now_ms
from .standins import DOMAINS, SoakWorld

# Traffic before the first fault, and in the calm after the last one.
LEAD_S = 1.0
CALM_S = 3.0
CALLERS = 12
# How often the soak looks whether its own process was held up, and from when on that counts as a
# disruption of everything: its stand-ins and callers stood still meanwhile.
STALL_TICK_S = 0.05
STALL_MS = 250.0


class SoakPlan(NamedTuple):
    """What to play."""

    seed: int
    seconds: float
    instances: int
    shards: int


class SoakResult(NamedTuple):
    """What came of it."""

    plan: SoakPlan
    history: History
    breaches: list[Breach]
    logs: list[Path]

    def summarise(self) -> str:
        """Return a line on the run."""
        history = self.history
        answered = sum(1 for a in history.attempts.values() if a.status == 200)
        stalls = sum(1 for trouble in history.troubles if trouble.scope == "all")
        kinds = sorted({breach.promise for breach in self.breaches})
        return (
            f"seed {self.plan.seed}: {len(history.attempts)} requests, {answered} served, "
            f"{len(history.arrivals)} calls, {len(history.troubles)} disruptions, "
            f"{len(history.versions)} versions, {stalls} stalls of the soak itself, "
            f"broken: {', '.join(kinds) or 'nothing'}"
        )


async def play(plan: SoakPlan, folder: Path) -> SoakResult:
    """Play a seed; logs go to `folder`."""
    _clear(folder)
    # The faults draw from a source of their own, so that a seed always draws the same ones.
    random = Random(plan.seed)
    history = History()
    world = SoakWorld(history, Random(f"upstreams {plan.seed}"), plan.shards)
    fleet = Fleet(plan.instances, folder, history)
    try:
        await _start(world, fleet)
        calm_from_ms = await _run(plan, world, fleet, history, random)
        await fleet.stop()
    finally:
        await fleet.close()
        await world.stop()
    breaches = check(history, calm_from_ms)
    logs = [instance.log_path for instance in fleet.instances]
    return SoakResult(plan, history, breaches, logs)


def _clear(folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for old in folder.glob("*.log"):
        old.unlink()


async def _start(world: SoakWorld, fleet: Fleet) -> None:
    await world.start()
    for number, service in enumerate(("u0", "u1", *world.list_shards("s"))):
        for turn in range(3 if service == "u0" else 2):
            domain = DOMAINS[(number + turn) % len(DOMAINS)]
            await world.start_upstream(service, domain, False)
    world.apply()
    await fleet.start(world.store.port)


async def _run(
    plan: SoakPlan, world: SoakWorld, fleet: Fleet, history: History, random: Random
) -> float:
    """Play traffic and faults; return the time from which on all was calm, in ms."""
    directories = {item.name: item.ports["directory"] for item in fleet.instances}
    names = {f"127.0.0.1:{item.ports['callers']}": item.name for item in fleet.instances}
    tasks = [asyncio.create_task(_watch_stalls(history))]
    for number in range(CALLERS):
        caller = Caller(
            f"c{plan.seed}x{number}",
            DOMAINS[number % len(DOMAINS)],
            directories,
            history,
            Random(plan.seed * 1_000 + number),
        )
        caller.instances = names
        tasks.append(asyncio.create_task(caller.run()))
    faults = Faults(world, fleet, history, random)
    await asyncio.sleep(LEAD_S)
    await faults.run(plan.seconds - LEAD_S - CALM_S)
    calm_from_ms = now_ms() + CONTACT_MS
    await asyncio.sleep(CONTACT_MS / 1_000 + CALM_S)
    for task in tasks:
        task.cancel()
    ended = await asyncio.gather(*tasks, return_exceptions=True)
    errors = [repr(e) for e in ended if not isinstance(e, asyncio.CancelledError)]
    history.exits += [f"the soak itself failed: {error}" for error in (*errors, *faults.errors)]
    return calm_from_ms


async def _watch_stalls(history: History) -> None:
    while True:
        slept_ms = now_ms()
        await asyncio.sleep(STALL_TICK_S)
        if now_ms() - slept_ms > STALL_MS:
            history.note(f"the soak stood still for {now_ms() - slept_ms:.0f} ms")
            history.troubles.append(Trouble("all", "stall", slept_ms, now_ms()))
