"""Client of the upstreams over HTTP/1.1."""

import asyncio
import itertools
import json
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NamedTuple
from urllib.parse import quote

from ..clock import Clock
from ..errors import ErrorKind, Failure
from ..models import KeyRange, ShardInfo, SubReply, SubRequest
from ..ports import OrderCall, OrderReply, UpstreamReport, UpstreamTransport
from .addresses import Address
from .connections import ConnectionPool
from .httpclient import HttpResponse

# Subtracted from the upstream's connection limit, so that an unresponsive connection can be
# replaced at once.
RESERVED_CONNECTIONS = 2
# Only the owner of an upstream calls it, so connections are kept for all of its slots.
MAX_IDLE_PER_UPSTREAM = 16
CANCEL_TIMEOUT_MS = 500.0
# Maximum idle time of a reused connection. The upstream may be closing an older one at the moment
# at which an order is sent, whose outcome would then be unknown.
MAX_IDLE_MS = 30_000.0
MAX_ORDER_IDLE_MS = 250.0
# No idle time is this short, so that the request gets a new connection.
NO_REUSE_MS = -1.0
# Returned by an upstream for a request that was cancelled.
STATUS_CANCELLED = 499
REQUEST_ID_HEADER = "X-Request-Id"


class _Request(NamedTuple):
    """A request to an upstream; `id` is repeated in its response."""

    method: str
    path: str
    id: str
    body: bytes = b""
    max_idle_ms: float = MAX_IDLE_MS
    headers: Mapping[str, str] = MappingProxyType({})

    def encode(self, address: str, timeout_ms: float) -> bytes:
        """Return the bytes of the request; the upstream has `timeout_ms` for it.

        Raise ValueError if a line break would end a header field early.
        """
        fields = {
            "Host": address,
            REQUEST_ID_HEADER: self.id,
            "X-Deadline-Ms": str(int(timeout_ms)),
            "Content-Type": "application/json",
            "Content-Length": str(len(self.body)),
            **self.headers,
        }
        lines = [f"{self.method} {self.path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        if not all(line.isprintable() for line in lines):
            raise ValueError("an unprintable character in a header field")
        return "\r\n".join([*lines, "", ""]).encode() + self.body


class HttpUpstreams(UpstreamTransport):
    """Connections to each upstream, bounded by the connection limit of the upstream."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._pool = ConnectionPool(clock, max_idle_per_address=MAX_IDLE_PER_UPSTREAM)
        self._connection_slots: dict[str, asyncio.Semaphore] = {}
        # The addresses whose last response repeated the id of its request.
        self._identifying: set[str] = set()
        self._report_numbers = itertools.count(1)

    async def search(self, address: str, max_connections: int, call: SubRequest) -> SubReply:
        document = {
            "shards": list(call.shards),
            "version": call.version,
            "query": call.query,
            "limit": call.limit,
        }
        request = _Request("POST", "/search", call.call_id, json.dumps(document).encode())
        result = await self._call(address, max_connections, request, call.deadline_ms)
        if isinstance(result, Failure):
            return SubReply(call.call_id, call.upstream, result.kind, result.message, b"")
        return SubReply(call.call_id, call.upstream, "", "", result)

    async def order(
        self, address: str, max_connections: int, call: OrderCall
    ) -> OrderReply | Failure:
        headers = {"Idempotency-Key": call.idempotency_key}
        request = _Request("POST", "/orders", call.call_id, call.body, MAX_ORDER_IDLE_MS, headers)
        result = await self._call(address, max_connections, request, call.deadline_ms)
        if isinstance(result, Failure):
            return result
        return OrderReply(result.decode("utf-8", "replace"))

    async def fetch_report(
        self, address: str, max_connections: int, timeout_ms: float
    ) -> UpstreamReport | Failure:
        request = _Request("GET", "/index", f"report-{next(self._report_numbers)}")
        result = await self._call(address, max_connections, request, timeout_ms)
        if isinstance(result, Failure):
            return result
        try:
            return _parse_report(json.loads(result))
        except (ValueError, KeyError, TypeError) as error:
            return Failure(ErrorKind.UPSTREAM_ERROR, f"{address}: malformed index: {error!r}")

    async def cancel(self, address: str, max_connections: int, call_id: str) -> None:
        path = f"/requests/{quote(call_id, safe='')}"
        request = _Request("DELETE", path, f"cancel-{call_id}")
        # The outcome does not matter: the cancelled call itself reports how it ended.
        await self._call(address, max_connections, request, CANCEL_TIMEOUT_MS)

    async def close(self) -> None:
        self._pool.close()

    async def disconnect(self, address: str) -> None:
        """Close the idle connections to an upstream that this instance no longer owns."""
        self._identifying.discard(address)
        self._pool.close_address(_split_address(address))

    async def _call(
        self, address: str, max_connections: int, request: _Request, timeout_ms: float
    ) -> bytes | Failure:
        """Send a request and return the body of its successful response."""
        try:
            content = request.encode(address, timeout_ms)
        except ValueError as error:
            return Failure(ErrorKind.BAD_REQUEST, f"{address}: {error}")
        end_ms = self._clock.now_ms() + timeout_ms
        slots = self._get_connection_slots(address, max_connections)
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                await slots.acquire()
        except TimeoutError:
            return Failure(ErrorKind.UPSTREAM_UNAVAILABLE, f"{address}: no connection was free")
        try:
            result = await self._pool.fetch(
                _split_address(address),
                content,
                lambda response, is_reused: self._accept(request, address, response, is_reused),
                request.max_idle_ms if address in self._identifying else NO_REUSE_MS,
                end_ms - self._clock.now_ms(),
            )
        finally:
            slots.release()
        if isinstance(result, HttpResponse):
            return _classify_response(result)
        kind = ErrorKind.OUTCOME_UNKNOWN if result.is_sent else ErrorKind.UPSTREAM_UNAVAILABLE
        return Failure(kind, f"{address}: {result.reason}")

    def _get_connection_slots(self, address: str, max_connections: int) -> asyncio.Semaphore:
        slots = self._connection_slots.get(address)
        if slots is None:
            limit = max(1, max_connections - RESERVED_CONNECTIONS)
            slots = self._connection_slots[address] = asyncio.Semaphore(limit)
        return slots

    def _accept(
        self, request: _Request, address: str, response: HttpResponse, is_reused: bool
    ) -> bool:
        """Return whether the response repeats the request's id, or has none on a new connection.

        A second copy of an earlier response may arrive on a kept connection. Only the id shows
        that, so connections are reused only to upstreams that repeat it.
        """
        response_id = _find_header(response, REQUEST_ID_HEADER)
        if response_id is None:
            self._identifying.discard(address)
            return not is_reused
        self._identifying.add(address)
        return response_id == request.id.encode()


def _split_address(address: str) -> Address:
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def _find_header(response: HttpResponse, name: str) -> bytes | None:
    key = name.lower().encode()
    return next((value for field, value in response.headers if field.lower() == key), None)


def _classify_response(response: HttpResponse) -> bytes | Failure:
    if response.status == 200:
        return response.body
    text = response.body[:200].decode("utf-8", "replace")
    if _find_header(response, "X-Not-Run") == b"1":
        return Failure(ErrorKind.OVERLOADED, f"shed by the upstream: {text}")
    if response.status == STATUS_CANCELLED:
        return Failure(ErrorKind.CANCELLED, "cancelled at the upstream")
    # A status below 500 is a definite answer of the upstream; after a server error it is unknown
    # whether the request took effect.
    kind = ErrorKind.UPSTREAM_ERROR if response.status < 500 else ErrorKind.OUTCOME_UNKNOWN
    return Failure(kind, f"status {response.status}: {text}")


def _parse_report(document: dict[str, Any]) -> UpstreamReport:
    shards = tuple(
        ShardInfo(
            str(item["shard"]),
            KeyRange(int(item["low"]), int(item["high"])),
            tuple(int(version) for version in item["versions"]),
        )
        for item in document["shards"]
    )
    return UpstreamReport(str(document["boot_id"]), bool(document["leaving"]), shards)
