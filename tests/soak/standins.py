"""Stand-ins of a soak run: a store with faults, upstreams behind proxies and an operator."""

import asyncio
import json
import time
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from platformworld import (
    HttpStandIn,
    PlatformStandIn,
    Request,
    StoreStandIn,
    UpstreamStandIn,
    make_route,
)

from .invariants import COLD_PER_S, MAX_UPSTREAMS, MIN_COVERAGE, TIMEOUT_MS, TOP_K
from .proxy import FaultProxy
from .records import Arrival, History, SignedReply, Version, now_ms

DOMAINS = ("a", "b", "c")
# Concurrent requests of an upstream, and further ones that it queues before it rejects.
SLOTS = 4
QUEUE_LENGTH = 12
MIN_WORK_MS = 2.0
MAX_WORK_MS = 12.0
SLOW_FACTOR = 8.0
COLD_MS = 3_000.0
# Share of its requests that an upstream with a fault mishandles.
FAULT_SHARE = 0.4


class Capacity(NamedTuple):
    """The requests that an upstream runs at once, and how much longer than usual each one takes."""

    slots: int = SLOTS
    work_factor: float = 1.0


# The capacity of an upstream with nothing else stated.
USUAL_CAPACITY = Capacity()


class SoakUpstream(UpstreamStandIn):
    """An upstream with slots and a queue; `mode` names its present fault, if it has one."""

    def __init__(
        self,
        name: str,
        service: str,
        domain: str,
        history: History,
        random: Random,
        capacity: Capacity,
    ) -> None:
        super().__init__(name, [random.getrandbits(100) for _ in range(4)])
        self.service = service
        self.domain = domain
        self.mode = ""
        self.started_at_ms = int(time.time() * 1_000)
        self.is_leaving = False
        self._history = history
        self._random = random
        self.capacity = capacity
        self._slots = asyncio.Semaphore(capacity.slots)
        self._in_progress = 0
        self._count = 0

    async def handle(self, request: Request, connection: HttpStandIn) -> None:
        if request.headers.get("citronpaddle-expect-instance", self.id) != self.id:
            connection.reply(421, {"Citronpaddle-Instance-Id": self.id}, b"")
            return
        attempt = request.headers.get("citronpaddle-attempt-id", "")
        fault = self.mode if self._random.random() < FAULT_SHARE else ""
        is_rejected = fault == "shed" or self._in_progress >= self.capacity.slots + QUEUE_LENGTH
        arrival = Arrival(
            attempt,
            self.id,
            self.service,
            self.domain,
            request.method,
            request.target,
            request.body,
            now_ms(),
            not is_rejected,
        )
        self._history.arrivals.append(arrival)
        if is_rejected:
            connection.reply(503, {"Citronpaddle-Not-Executed": "1"}, b"")
            return
        self._in_progress += 1
        try:
            async with self._slots:
                work_ms = self._random.uniform(MIN_WORK_MS, MAX_WORK_MS)
                work_ms *= self.capacity.work_factor
                work_ms *= SLOW_FACTOR if self.mode == "slow" else 1.0
                await asyncio.sleep(work_ms / 1_000)
        finally:
            self._in_progress -= 1
        self._answer(attempt, request, connection, fault)

    def _answer(self, attempt: str, request: Request, connection: HttpStandIn, fault: str) -> None:
        if fault == "reset":
            connection.transport.abort()
            return
        if fault == "no_reply":
            return
        if fault == "other":
            # The answer to an earlier request, ahead of the answer to this one.
            connection.reply(200, {"Citronpaddle-Attempt-Id": "earlier"}, b"earlier")
        status = {"errors": 500, "unavailable": 503}.get(fault, 200)
        body = self.body if status == 200 else b"failed"
        self._count += 1
        signature = f"{self.id}.{self.started_at_ms}.{attempt}.{self._count}"
        self._history.signed_replies[signature] = SignedReply(attempt, self.service, status, body)
        headers = {"Citronpaddle-Server-Stamp": signature, "Citronpaddle-Attempt-Id": attempt}
        if fault == "encoded":
            headers["Content-Encoding"] = "gzip"
            body = b"\x1f\x8b" + body
        if self.is_leaving:
            headers["Connection"] = "close"
        if fault == "truncated":
            lines = [f"{name}: {value}\r\n" for name, value in headers.items()]
            head = f"HTTP/1.1 200 OK\r\n{''.join(lines)}Content-Length: {len(body)}\r\n\r\n"
            connection.transport.write(head.encode() + body[: len(body) // 2])
            connection.transport.close()
            return
        connection.reply(status, headers, body)
        if fault == "extra":
            connection.reply(200, headers, b"extra")


@dataclass
class SoakStore(StoreStandIn):
    """A store that can be slow, lose the answers to applied writes, and drop its history."""

    delay_s: float = 0.0
    loses_answers: bool = False
    compacted_revision: int = 0

    def compact_history(self) -> None:
        """Drop the history of changes: a watch that needs it gets status 410."""
        self.events.clear()
        self.compacted_revision = self.revision

    async def handle(self, request: Request, connection: HttpStandIn) -> None:
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.loses_answers and request.method != "GET":
            await self._execute_call(request)
            connection.transport.abort()
            return
        await super().handle(request, connection)

    async def _execute_call(self, request: Request) -> None:
        call = request.target.partition("?")[0].removeprefix("/citronpaddle/").split("/")
        await self._answer(call, {}, json.loads(request.body or b"{}"))

    async def _watch(self, query):
        if int(query["after"]) < self.compacted_revision:
            return 410, {}
        return await super()._watch(query)


class SoakPlatform(PlatformStandIn):
    """The stand-ins for the platform: the store, and upstreams that each have a proxy.

    Entries and configuration versions that are written are recorded in the history.
    """

    def __init__(
        self,
        history: History,
        random: Random,
        shards: int,
        capacity: Capacity = USUAL_CAPACITY,
    ) -> None:
        """Create the stand-ins; all upstreams have the same capacity."""
        super().__init__()
        self._capacity = capacity
        self.store = SoakStore()
        self.history = history
        self.random = random
        self.shards = shards
        self.proxies: dict[str, FaultProxy] = {}
        self.index = "s"
        self.moved_service = "u0"
        self.extra_routes: list[str] = []
        self._last_number = 0

    def list_shards(self, index: str = "") -> list[str]:
        """Return the services of the shards of an index, by default of the present index."""
        return [f"{index or self.index}{number}" for number in range(self.shards)]

    async def stop(self) -> None:
        for proxy in self.proxies.values():
            proxy.stop()
        await super().stop()

    async def start_upstream(
        self,
        service: str,
        domain: str,
        is_cold: bool,
        proxy: FaultProxy | None = None,
        name: str = "",
    ) -> SoakUpstream:
        """Start an upstream and write its entry to the store.

        With `proxy` it is reached at the address of that proxy. With the `name` of a stopped
        upstream it is that upstream, restarted.
        """
        if not name:
            self._last_number += 1
            name = f"{service}-{self._last_number}"
        upstream = SoakUpstream(name, service, domain, self.history, self.random, self._capacity)
        await upstream.start()
        target = ("127.0.0.1", upstream.port)
        proxy = proxy or FaultProxy(target)
        proxy.target = target
        await proxy.start()
        self.proxies[name] = proxy
        self.upstreams[name] = upstream
        self.history.upstream_end_ms.pop(name, None)
        self.history.leaving_since_ms.pop(name, None)
        self.write_entry(upstream, COLD_MS if is_cold else 0.0)
        if is_cold:
            self.history.cold_periods[name] = (now_ms(), now_ms() + COLD_MS)
        return upstream

    def write_entry(self, upstream: SoakUpstream, cold_ms: float = 0.0) -> None:
        """Write the entry of an upstream to the store."""
        if upstream.is_leaving:
            self.history.leaving_since_ms.setdefault(upstream.id, now_ms())
        self.write_upstream_entry(
            upstream,
            upstream.service,
            address=f"127.0.0.1:{self.proxies[upstream.id].port}",
            zone=upstream.domain,
            slots=upstream.capacity.slots,
            state="draining" if upstream.is_leaving else "ready",
            warmup_left_ms=cold_ms,
            born=upstream.started_at_ms,
            sequence=self.store.revision,
        )

    async def stop_upstream(self, upstream: SoakUpstream) -> None:
        """Stop an upstream and its proxy; its entry stays in the store."""
        self.history.upstream_end_ms[upstream.id] = now_ms()
        self.upstreams.pop(upstream.id, None)
        # Connections to a port without a listener are refused.
        self.proxies[upstream.id].stop()
        await upstream.stop()

    def remove_entry(self, name: str) -> None:
        """Delete the entry of an upstream from the store, unless it was restarted."""
        if name not in self.upstreams:
            self.store.delete(f"servers/{name}")
            self.history.leaving_since_ms.setdefault(name, now_ms())

    def list_upstreams(self, service: str) -> list[SoakUpstream]:
        """Return the running upstreams of a service."""
        return [item for item in self.upstreams.values() if item.service == service]

    def publish_configuration(self) -> None:
        """Write the next version of the configuration to the store, and record it."""
        routes = [
            make_route(prefix="/p/", service="u0"),
            make_route(prefix="/u/", service="u0", kind="unsafe"),
            make_route(
                prefix="/q/",
                fanout_services=self.list_shards(),
                top_k=TOP_K,
                min_shard_ratio=MIN_COVERAGE,
            ),
            make_route(prefix="/r/", service=self.moved_service),
            make_route(
                prefix="/w/",
                traffic_split=[
                    {"service": "u0", "weight": 3.0},
                    {"service": "u1", "weight": 1.0},
                ],
            ),
            *(make_route(prefix=prefix, service="u1") for prefix in self.extra_routes),
        ]
        services = {"u0", "u1", *self.list_shards("s"), *self.list_shards("t")}
        self.version += self.random.randint(1, 3)
        document = {
            "version": self.version,
            "routes": [
                route | {"timeout_ms": TIMEOUT_MS, "max_attempts": MAX_UPSTREAMS}
                for route in routes
            ],
            "services": [
                {
                    "name": name,
                    "health_path": "/h",
                    "max_connections": 60,
                    "warmup_s": COLD_MS / 1_000,
                    "warmup_per_s": COLD_PER_S,
                }
                for name in sorted(services)
            ],
            "limits": {
                "max_header_bytes": 4096,
                "max_body_bytes": 65536,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        self.store.write("op/config", json.dumps(document).encode())
        services_by_prefix = {route["prefix"]: _list_services(route) for route in routes}
        self.history.versions.append(Version(self.version, now_ms(), services_by_prefix))


def _list_services(route: dict) -> frozenset[str]:
    names = [*route.get("fanout_services", ())]
    names += [part["service"] for part in route.get("traffic_split", ())]
    return frozenset(names or [route["service"]])
