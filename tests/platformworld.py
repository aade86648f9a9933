"""Stand-ins for the users' platform on loopback: its store and its upstreams.

They implement the part of the published protocol that an entry instance uses, with faults that a
test can enable. Only this module and `citronpaddle/platform` contain names of the wire protocol.
"""

import asyncio
import base64
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

import httptools

# Items in one page of a range read.
PAGE_SIZE = 500


class HttpStandIn(asyncio.Protocol):
    """One HTTP connection; complete requests are passed to the owner's `handle`."""

    def __init__(self, owner: "StandIn") -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.tasks: set[asyncio.Task] = set()

    def connection_made(self, transport):
        self.transport = transport
        self.owner.connections.add(self)
        self.owner.accepted_connections += 1
        if self.owner.refuses_connections:
            transport.abort()

    def connection_lost(self, error):
        self.owner.connections.discard(self)
        for task in list(self.tasks):
            task.cancel()

    def data_received(self, data):
        if self.owner.ignores_input:
            return
        self.parser.feed_data(data)

    def on_message_begin(self):
        self.target, self.headers, self.body = b"", {}, b""

    def on_url(self, url):
        self.target += url

    def on_header(self, name, value):
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, body):
        self.body += body

    def on_message_complete(self):
        request = Request(
            self.parser.get_method().decode(), self.target.decode(), self.headers, self.body
        )
        task = asyncio.get_running_loop().create_task(self.owner.handle(request, self))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def reply(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Write a complete response."""
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        self.transport.write("\r\n".join(lines).encode() + body)


@dataclass
class Request:
    """A request as received by a stand-in."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class StandIn:
    """An HTTP server on loopback.

    It discards received data while `ignores_input` is set, and resets new connections while
    `refuses_connections` is set.
    """

    def __init__(self) -> None:
        self.connections: set[HttpStandIn] = set()
        self.accepted_connections = 0
        self.ignores_input = False
        self.refuses_connections = False
        self.port = 0
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return the listening address as `host:port`."""
        return f"127.0.0.1:{self.port}"

    async def start(self, port: int = 0) -> None:
        """Listen on `port`, or on a free one."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: HttpStandIn(self), "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.transport.abort()

    async def handle(self, request: Request, connection: HttpStandIn) -> None:
        """Answer a request on its connection."""
        raise NotImplementedError


class UpstreamStandIn(StandIn):
    """An upstream that records the requests that it executes.

    `answer` may answer a request itself and then returns True; otherwise the request is executed.
    """

    def __init__(self, upstream_id: str, records: list[int] | None = None) -> None:
        super().__init__()
        self.id = upstream_id
        self.records = records or []
        self.executed_requests: list[Request] = []
        self.processing_ms = 2.0
        self.answer: Callable[[Request, HttpStandIn], bool] | None = None

    @property
    def body(self) -> bytes:
        """Return the body of an answer: the records, 16 bytes each."""
        return b"".join(number.to_bytes(16, "big") for number in self.records)

    def sign(self, request: Request) -> str:
        """Return the signature of this upstream for a request."""
        return f"{self.id}.{request.headers.get('citronpaddle-attempt-id', '')}"

    async def handle(self, request: Request, connection: HttpStandIn) -> None:
        if request.headers.get("citronpaddle-expect-instance", self.id) != self.id:
            connection.reply(421, {"Citronpaddle-Instance-Id": self.id}, b"")
            return
        if self.answer is not None and self.answer(request, connection):
            return
        self.executed_requests.append(request)
        await asyncio.sleep(self.processing_ms / 1_000)
        connection.reply(200, self.make_headers(request), self.body)

    def make_headers(self, request: Request) -> dict[str, str]:
        """Return the headers of a successful answer."""
        return {
            "Citronpaddle-Server-Stamp": self.sign(request),
            "Citronpaddle-Attempt-Id": request.headers.get("citronpaddle-attempt-id", ""),
        }


@dataclass
class Key:
    """The value of a key in the store; `lease` is 0 for none."""

    value: bytes
    revision: int
    lease: int = 0


@dataclass
class StoreStandIn(StandIn):
    """The platform's key-value store; it answers every call with 503 while `is_down` is set.

    Its answers name the `era`, unless that is 0. Reads that may be stale are as of
    `stale_revision`, if that is set.
    """

    keys: dict[str, Key] = field(default_factory=dict)
    events: list[dict[str, Any]] = field(default_factory=list)
    revision: int = 1
    is_down: bool = False
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    era: int | str = 0
    stale_revision: int | None = None

    def __post_init__(self) -> None:
        super().__init__()
        self.changed = asyncio.Event()

    def write(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key and record the change for watches."""
        self.revision += 1
        self.keys[key] = Key(value, self.revision, lease)
        self.events.append(self.format_item(key))
        self.changed.set()

    def delete(self, key: str) -> None:
        """Delete a key if it exists, and record the change for watches."""
        if self.keys.pop(key, None) is not None:
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "tombstone": True})
            self.changed.set()

    def format_item(self, key: str) -> dict[str, Any]:
        """Return the item of a key in the format of the protocol."""
        item = self.keys[key]
        value = base64.b64encode(item.value).decode()
        return {
            "key": key,
            "value": value,
            "revision": item.revision,
            "created_rev": item.revision,
            "lease": item.lease,
        }

    def expire_leases(self) -> None:
        """End the leases that were not renewed in time."""
        now = time.monotonic()
        for lease, (ttl_s, renewed) in list(self.leases.items()):
            if now - renewed > ttl_s:
                self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        self.leases.pop(lease, None)
        for key in [name for name, item in self.keys.items() if item.lease == lease]:
            self.delete(key)

    async def handle(self, request: Request, connection: HttpStandIn) -> None:
        if self.is_down:
            connection.reply(503, {}, b"")
            return
        self.expire_leases()
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        call = parts.path.removeprefix("/citronpaddle/").split("/")
        body = json.loads(request.body or b"{}")
        status, answer = await self._answer(call, query, body)
        if self.is_down:
            connection.transport.abort()
            return
        headers = {"Content-Type": "application/json"}
        if self.era:
            headers["Store-Era"] = str(self.era)
        connection.reply(status, headers, json.dumps(answer).encode())

    async def _answer(self, call, query, body) -> tuple[int, Any]:
        if call[0] == "kv-range":
            names = sorted(key for key in self.keys if key.startswith(query.get("prefix", "")))
            names = [name for name in names if name > query.get("after", "")]
            items = [self.format_item(name) for name in names[:PAGE_SIZE]]
            is_stale = self.stale_revision is not None and query.get("stale_ok") == "1"
            as_of = self.stale_revision if is_stale else self.revision
            return 200, {"items": items, "has_more": len(names) > PAGE_SIZE, "as_of": as_of}
        if call[0] == "kv-watch":
            return await self._watch(query)
        if call[0] == "kv-lease":
            lease = 1_000 + self.revision + len(self.leases)
            self.leases[lease] = (body["ttl_ms"] / 1_000, time.monotonic())
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        if call[0] == "kv-keep":
            lease = int(call[1])
            if lease not in self.leases:
                return 404, {}
            self.leases[lease] = (self.leases[lease][0], time.monotonic())
            return 200, {"ttl_ms": self.leases[lease][0] * 1_000}
        if call[0] == "kv-lease-end":
            self.end_lease(int(call[1]))
            return 200, {}
        return self._transact(body)

    async def _watch(self, query) -> tuple[int, Any]:
        after = int(query["after"])
        prefix = query.get("prefix", "")
        end = time.monotonic() + int(query["wait_ms"]) / 1_000
        while True:
            matching = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            if matching or time.monotonic() >= end:
                return 200, {"events": matching, "as_of": self.revision}
            self.changed.clear()
            try:
                async with asyncio.timeout(end - time.monotonic()):
                    await self.changed.wait()
            except TimeoutError:
                continue

    def _transact(self, body) -> tuple[int, Any]:
        for row in body["precondition"]:
            item = self.keys.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return 412, {"items": []}
        for write in body["writes"]:
            lease = write.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
            self.write(write["key"], base64.b64decode(write["value"]), lease)
        for key in body["deletes"]:
            self.delete(key)
        return 200, {"revision": self.revision}


class PlatformStandIn:
    """The platform: a store with the operator's documents, and upstreams."""

    def __init__(self) -> None:
        self.store = StoreStandIn()
        self.upstreams: dict[str, UpstreamStandIn] = {}
        self.version = 0

    async def start(self) -> None:
        """Start the store."""
        await self.store.start()

    async def stop(self) -> None:
        """Stop the upstreams and the store."""
        for upstream in self.upstreams.values():
            await upstream.stop()
        await self.store.stop()

    async def add(
        self, upstream_id: str, service: str, records: list[int] | None = None, **entry: Any
    ) -> UpstreamStandIn:
        """Start an upstream, write its entry with the fields `entry`, and return it."""
        upstream = UpstreamStandIn(upstream_id, records)
        await upstream.start()
        self.upstreams[upstream_id] = upstream
        self.write_upstream_entry(upstream, service, **entry)
        return upstream

    def write_upstream_entry(self, upstream: UpstreamStandIn, service: str, **changes: Any) -> None:
        """Write the entry of an upstream; `changes` replace or add fields."""
        entry = {
            "service": service,
            "address": upstream.address,
            "zone": "a",
            "version": "v1",
            "slots": 2,
            "state": "ready",
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": 1,
        }
        self.store.write(f"servers/{upstream.id}", json.dumps(entry | changes).encode())

    def configure(
        self,
        routes: list[dict[str, Any]],
        tenants: Any = None,
        max_connections: int = 26,
        **limits: Any,
    ) -> None:
        """Write the next version of the configuration; `limits` replace fields of the limits.

        Without `tenants`, callers need no keys.
        """
        self.version += 1
        services = {
            name
            for route in routes
            for name in [
                *route.get("fanout_services", ()),
                *([route["service"]] if "service" in route else ()),
                *(part["service"] for part in route.get("traffic_split", ())),
            ]
        }
        base = {
            "max_header_bytes": 4096,
            "max_body_bytes": 65536,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        document = {
            "version": self.version,
            "routes": [make_route(**route) for route in routes],
            "services": [
                {"name": name, "health_path": "/h", "warmup_s": 3.0}
                | {"max_connections": max_connections}
                for name in sorted(services)
            ],
            "limits": base | limits,
        }
        if tenants is not None:
            document["tenants"] = tenants
        self.store.write("op/config", json.dumps(document).encode())


def make_route(**changes: Any) -> dict[str, Any]:
    """Return a route of the operator's document; `changes` replace or add fields."""
    route = {
        "name": "r" + changes.get("prefix", "/p/"),
        "host": "h.example",
        "prefix": "/p/",
        "kind": "safe",
        "timeout_ms": 1000,
        "target_latency_ms": 300,
        "priority": 1,
        "max_attempts": 2,
    }
    return route | changes
