"""Runs one seed: starts all processes, callers and faults, then checks the invariants."""

import asyncio
from pathlib import Path
from random import Random
from typing import NamedTuple

from .callers import Caller
from .faults import FaultInjector
from .fleet import Fleet
from .invariants import SETTLE_MS, Violation, find_violations
from .records import Fault, History, now_ms
from .standins import DOMAINS, USUAL_CAPACITY, Capacity, SoakPlatform

# Time with traffic before the first fault, and in the quiet period after the last one.
LEAD_IN_S = 1.0
QUIET_PERIOD_S = 3.0
CALLER_COUNT = 12
# The number of callers and the capacity of the upstreams in a run with stops only.
STOPS_CALLER_COUNT = 36
STOPS_CAPACITY = Capacity(slots=24, work_factor=50.0)
# Every so many callers one is patient; in a run with stops only, all are.
PATIENT_INTERVAL = 4
# How often the soak checks its own event loop for a stall. A longer delay than the threshold counts
# as a fault of every scope, since the stand-ins and callers of this process stall as well.
STALL_CHECK_INTERVAL_S = 0.05
STALL_THRESHOLD_MS = 250.0


class SoakPlan(NamedTuple):
    """The seed, the length in seconds and the number of instances and shards of a run.

    With `stops_only` there is no fault but instances that are stopped and started one after the
    other, there are more callers, and each request takes a large part of its time-out: under such
    a load an instance is never idle.
    """

    seed: int
    seconds: float
    instances: int
    shards: int
    stops_only: bool = False


class SoakResult(NamedTuple):
    """The history of a run, the violations in it and the log files of its instances."""

    plan: SoakPlan
    history: History
    violations: list[Violation]
    logs: list[Path]

    def summarise(self) -> str:
        """Return a one-line summary of the run."""
        history = self.history
        answered = sum(1 for a in history.attempts.values() if a.status == 200)
        stalls = sum(1 for fault in history.faults if fault.scope == "all")
        kinds = sorted({violation.invariant for violation in self.violations})
        return (
            f"seed {self.plan.seed}: {len(history.attempts)} requests, {answered} served, "
            f"{len(history.arrivals)} calls, {len(history.faults)} faults, "
            f"{len(history.versions)} versions, {stalls} stalls of its event loop, "
            f"violated: {', '.join(kinds) or 'nothing'}"
        )


async def run_soak(plan: SoakPlan, folder: Path) -> SoakResult:
    """Run a seed, with the logs of the instances in `folder`, and return its result."""
    _clear(folder)
    # Faults have a random source of their own, so that a seed always draws the same faults.
    random = Random(plan.seed)
    history = History()
    capacity = STOPS_CAPACITY if plan.stops_only else USUAL_CAPACITY
    upstream_random = Random(f"upstreams {plan.seed}")
    platform = SoakPlatform(history, upstream_random, plan.shards, capacity)
    fleet = Fleet(plan.instances, folder, history)
    try:
        await _start(platform, fleet)
        quiet_from_ms = await _run(plan, platform, fleet, history, random)
        await fleet.stop()
    finally:
        await fleet.close()
        await platform.stop()
    violations = find_violations(history, quiet_from_ms)
    logs = [instance.log_path for instance in fleet.instances]
    return SoakResult(plan, history, violations, logs)


def _clear(folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for old in folder.glob("*.log"):
        old.unlink()


async def _start(platform: SoakPlatform, fleet: Fleet) -> None:
    await platform.start()
    for number, service in enumerate(("u0", "u1", *platform.list_shards("s"))):
        for replica in range(3 if service == "u0" else 2):
            domain = DOMAINS[(number + replica) % len(DOMAINS)]
            await platform.start_upstream(service, domain, False)
    platform.publish_configuration()
    await fleet.start(platform.store.port)


async def _run(
    plan: SoakPlan, platform: SoakPlatform, fleet: Fleet, history: History, random: Random
) -> float:
    """Run traffic and faults; return the start of the fault-free period at the end, in ms."""
    directory_ports = {item.name: item.ports["directory"] for item in fleet.instances}
    instance_names = {f"127.0.0.1:{item.ports['callers']}": item.name for item in fleet.instances}
    tasks = [asyncio.create_task(_record_stalls(history))]
    for number in range(STOPS_CALLER_COUNT if plan.stops_only else CALLER_COUNT):
        caller = Caller(
            f"c{plan.seed}x{number}",
            DOMAINS[number % len(DOMAINS)],
            directory_ports,
            history,
            Random(plan.seed * 1_000 + number),
            is_patient=plan.stops_only or number % PATIENT_INTERVAL == 0,
        )
        caller.instances = instance_names
        tasks.append(asyncio.create_task(caller.run()))
    injector = FaultInjector(platform, fleet, history, random)
    await asyncio.sleep(LEAD_IN_S)
    inject = injector.run_stops if plan.stops_only else injector.run
    await inject(plan.seconds - LEAD_IN_S - QUIET_PERIOD_S)
    quiet_from_ms = now_ms() + SETTLE_MS
    await asyncio.sleep(SETTLE_MS / 1_000 + QUIET_PERIOD_S)
    for task in tasks:
        task.cancel()
    ended = await asyncio.gather(*tasks, return_exceptions=True)
    errors = [repr(e) for e in ended if not isinstance(e, asyncio.CancelledError)]
    history.process_failures += [
        f"the soak test itself failed: {error}" for error in (*errors, *injector.errors)
    ]
    return quiet_from_ms


async def _record_stalls(history: History) -> None:
    while True:
        sleep_start_ms = now_ms()
        await asyncio.sleep(STALL_CHECK_INTERVAL_S)
        if now_ms() - sleep_start_ms > STALL_THRESHOLD_MS:
            history.record_event(
                f"the event loop of the soak stalled for {now_ms() - sleep_start_ms:.0f} ms"
            )
            history.faults.append(Fault("all", "stall", sleep_start_ms, now_ms()))
