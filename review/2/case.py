"""Case 2: a planned stop cuts requests that the instance accepted late and had passed on."""

import asyncio
import collections
import itertools
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import world

SERVICE = "donor-desk"
GRACE_S = 6.0
# How long a caller may keep a list of addresses: the directory's ttl_s, and for some three times.
PATIENT_FACTOR = 3
# The work of a request; one request of the route takes longer, within the route's timeout of 8 s.
WORK_S = 0.5
LONG_WORK_S = 4.5
CLIENTS = 4
PAUSE_S = 0.1
STOPS = 3
# Requests that were sent up to 3 s after SIGTERM and are at work in the last sixth are excused.
EXCUSED_SENT_S = 3.0


class Desk(world.Backend):
    """A backend at which requests to a path that ends with `long` take longer."""

    async def handle(self, request, writer) -> None:
        self.work_s = LONG_WORK_S if "long" in request.start else WORK_S
        await super().handle(request, writer)


class Sent:
    """One request of a client: when it was sent, when it ended and how."""

    def __init__(self, attempt_id: str, sent: float) -> None:
        self.attempt_id = attempt_id
        self.sent = sent
        self.ended = 0.0
        self.status: int | None = None
        self.was_connected = False


async def send_one(record, instance, attempt_id: str, path: str) -> Sent:
    """Send a request on a new connection and wait for its end."""
    request = world.make_request("POST", path, attempt_id, b"x" * 300)
    sent = Sent(attempt_id, record.now)
    writer = None
    try:
        async with asyncio.timeout(9):
            reader, writer = await asyncio.open_connection(world.LOOPBACK, instance.front)
            sent.was_connected = True
            writer.write(request)
            sent.sent = record.now
            answer = await world.read_message(reader, True)
            sent.status = answer.status if answer else None
    except (OSError, TimeoutError):
        pass
    finally:
        if writer is not None:
            writer.close()
    sent.ended = record.now
    record.write("client", f"{attempt_id} sent at {sent.sent:.3f} got {sent.status}")
    return sent


async def play_stop(record, instance, backends, round_number: int) -> tuple[int, int]:
    """Stop the instance under load; return the requests and how many of them were lost."""
    requests: list[Sent] = []
    stopped_at = record.now + 1.0
    numbers = itertools.count(1)
    target = "/citronpaddle/resolve?name=shop.example&region=region-a&zone=zone-a"

    async def run_client(client: int) -> None:
        # A client that keeps the list, which it gets right before SIGTERM, three times as long.
        await asyncio.sleep(stopped_at - record.now - 0.05)
        answer = await world.send(instance.directory, world.make_request("GET", target, "r"), 1.0)
        if answer is None or answer.status != 200:
            raise RuntimeError("the directory does not answer")
        ttl_s = json.loads(answer.body)["ttl_s"]
        until = record.now + PATIENT_FACTOR * min(ttl_s, 5)
        record.write("client", f"client {client} may use its list until {until:.3f}")
        while record.now < until:
            attempt_id = f"{round_number:04x}{client:04x}{next(numbers):08x}"
            sent = await send_one(record, instance, attempt_id, "/pledge/1")
            requests.append(sent)
            if not sent.was_connected:
                # It excludes an address that has failed it.
                break
            await asyncio.sleep(PAUSE_S)

    async def send_long() -> None:
        requests.append(
            await send_one(record, instance, f"{round_number:04x}{1:012x}", "/pledge/long")
        )

    clients = [asyncio.create_task(run_client(client)) for client in range(CLIENTS)]
    await asyncio.sleep(0.8)
    long_request = asyncio.create_task(send_long())
    await asyncio.sleep(max(0.0, stopped_at - record.now))
    stopped_at = record.now
    if world.is_trouble_on():
        instance.signal(signal.SIGTERM)
    await asyncio.gather(*clients, long_request)
    if world.is_trouble_on():
        await asyncio.wait_for(instance.process.wait(), GRACE_S + 2)
        record.write(instance.name, f"has ended {record.now - stopped_at:.2f} s after SIGTERM")
    runs = collections.Counter(run for backend in backends for run in backend.runs)
    lost = 0
    for one in requests:
        # Passed on to a backend, sent too late for the excuse, and ended without an answer.
        # The planned work of a SIGTERM lasts until 1 s after the time allowed for it.
        is_excused = (
            one.sent - stopped_at <= EXCUSED_SENT_S or one.ended - stopped_at > GRACE_S + 1.0
        )
        if one.status is None and runs[one.attempt_id] and not is_excused:
            lost += 1
            record.write(
                "case",
                f"LOST: {one.attempt_id} was sent {one.sent - stopped_at:.2f} s after SIGTERM, ran, "
                f"and its connection ended without an answer {one.ended - stopped_at:.2f} s after it",
            )
    return len(requests), lost


async def case(record: world.Record, folder: Path) -> int:
    store = world.Store(record)
    await store.start()
    backends = [Desk(record, f"i-{index}", SERVICE) for index in range(4)]
    route = {
        "name": "pledge",
        "host": "shop.example",
        "prefix": "/pledge/",
        "kind": "unsafe",
        "timeout_ms": 8000,
        "target_latency_ms": 555,
        "priority": 2,
        "service": SERVICE,
        "max_attempts": 2,
    }
    instances = [world.Instance(record, folder, f"entry-{number}", store) for number in range(3)]
    total = lost = 0
    try:
        for backend in backends:
            await backend.start()
            store.put(f"servers/{backend.id}", backend.make_entry())
        store.put("op/config", world.make_config(1, [route], [SERVICE]))
        for instance in instances:
            await instance.start()
        for instance in instances:
            await instance.wait_until_ready()
        await asyncio.sleep(5.0)
        for round_number, instance in enumerate(instances):
            sent, cut = await play_stop(record, instance, backends, round_number)
            total += sent
            lost += cut
            if world.is_trouble_on():
                # The platform starts it again.
                await instance.start()
                await instance.wait_until_ready()
            await asyncio.sleep(5.0)
    finally:
        for instance in instances:
            await instance.stop()
        for server in [*backends, store]:
            await server.stop()
    summary = f"{total} requests, {lost} lost in {STOPS} planned stops"
    record.write("case", summary)
    print(summary)
    if total < STOPS * CLIENTS:
        return world.COULD_NOT_RUN
    return world.BROKEN if lost else world.HELD


world.run(case)
