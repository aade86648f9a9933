"""Requests that may run once, at backends that reject some and repeat some answers late."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness2.backend import Backend
from harness2.client import make_attempt_id, send
from harness2.script import World, run

ZONES = ("noord-a", "midden-a", "zuid-a")
SERVICES = [f"desk{number}" for number in range(10)]
BACKENDS_PER_SERVICE = 2
# Of the 20 backends, 80 in 100 reject some requests, and 60 in 100 repeat some answers.
SHEDDING_SERVICES = SERVICES[:8]
REPEATING_SERVICES = SERVICES[:6]
SHED_SHARE = 0.6
REPEAT_SHARE = 0.04
WORK_MS = 30.0
REQUESTS_PER_S = 5.0
DURATION_S = 80.0


class FaultyBackend(Backend):
    """Rejects a share of its requests, and sends a share of its answers a second time.

    The second copy is sent late: when the next request has arrived on the connection.
    """

    shed_share = 0.0
    repeat_share = 0.0

    async def handle(self, request, writer):
        copy = getattr(writer, "late_copy", None)
        writer.late_copy = None
        if copy is not None:
            self.record.add("late_copy", backend=self.id, status=copy[9:12].decode())
            writer.write(copy)
        answers = _Answers(writer, self.repeat_share)
        if random.random() < self.shed_share:
            return self.reject(request.headers.get("citronpaddle-attempt-id", ""), answers)
        return await super().handle(request, answers)


class _Answers:
    """Writes answers to a connection, and keeps a copy of a share of them."""

    def __init__(self, writer, repeat_share):
        self._writer = writer
        self._repeat_share = repeat_share

    def write(self, data):
        if random.random() < self._repeat_share:
            self._writer.late_copy = data
        self._writer.write(data)


async def _send_one(world: World, service: str) -> None:
    attempt = make_attempt_id()
    port = random.choice(world.instances).ports["front"]
    world.record.add("sent", attempt=attempt, service=service)
    answer = await send(port, f"/{service}/gift", attempt, "POST", b"one pledge", 5_000)
    world.record.add("answered", attempt=attempt, status=answer.status)


async def _load(world: World) -> None:
    pending = set()
    interval_s = 1.0 / (REQUESTS_PER_S * len(SERVICES))
    loop = asyncio.get_running_loop()
    start = loop.time()
    for number in range(int(DURATION_S / interval_s)):
        await asyncio.sleep(max(0.0, start + number * interval_s - loop.time()))
        task = asyncio.create_task(_send_one(world, SERVICES[number % len(SERVICES)]))
        pending.add(task)
        task.add_done_callback(pending.discard)
    await asyncio.gather(*pending)


async def case(world: World) -> str | None:
    for service in SERVICES:
        for number in range(BACKENDS_PER_SERVICE):
            backend = FaultyBackend(
                f"i-{service}-{number}", service, ZONES[number], world.record, WORK_MS
            )
            if world.has_trouble:
                backend.shed_share = SHED_SHARE if service in SHEDDING_SERVICES else 0.0
                backend.repeat_share = REPEAT_SHARE if service in REPEATING_SERVICES else 0.0
            await backend.start()
            world.servers.append(backend)
            backend.write_entry(world.store)
    routes = [
        {"prefix": f"/{name}/", "service": name, "kind": "unsafe", "timeout_ms": 5000}
        for name in SERVICES
    ]
    world.configure(routes, SERVICES)
    for zone in ZONES:
        world.add_instance(zone)
    await world.start_instances()
    await asyncio.sleep(2.0)
    await _load(world)
    return _judge(world)


def _judge(world: World) -> str | None:
    runs: dict[str, int] = {}
    for event in world.record.select("run"):
        runs[event["attempt"]] = runs.get(event["attempt"], 0) + 1
    answers = world.record.select("answered")
    twice = sorted(attempt for attempt, count in runs.items() if count > 1)
    refused = [a["attempt"] for a in answers if a["status"] in (408, 421, 429, 503)]
    refused_and_run = sorted(attempt for attempt in refused if attempt in runs)
    print(
        f"{len(answers)} requests, {sum(a['status'] == 200 for a in answers)} answered with 200, "
        f"{len(refused)} refused, {len(twice)} run twice, "
        f"{len(refused_and_run)} refused and run"
    )
    if not any(answer["status"] == 200 for answer in answers):
        raise RuntimeError("no request was served")
    return f"TWICE: {twice}; REFUSED: {refused_and_run}" if twice or refused_and_run else None


if __name__ == "__main__":
    run(case, Path(__file__).resolve().parent)
