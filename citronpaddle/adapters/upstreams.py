"""Client of the upstreams over HTTP/1.1."""

import asyncio
import json
from typing import Any

import aiohttp

from ..errors import ErrorKind, Failure
from ..models import KeyRange, ShardInfo, SubReply, SubRequest
from ..ports import OrderCall, OrderReply, UpstreamReport, UpstreamTransport

# Subtracted from the upstream's connection limit, so that an unresponsive connection can be
# replaced at once.
RESERVED_CONNECTIONS = 2
CONNECT_TIMEOUT_S = 0.5
CANCEL_TIMEOUT_S = 0.5
IDLE_TIMEOUT_S = 30.0
# Returned by an upstream for a request that was cancelled.
STATUS_CANCELLED = 499


class HttpUpstreams(UpstreamTransport):
    """One connection pool per upstream, bounded by the connection limit of the upstream."""

    def __init__(self) -> None:
        self._sessions: dict[str, aiohttp.ClientSession] = {}

    async def search(self, address: str, max_connections: int, call: SubRequest) -> SubReply:
        document = {
            "shards": list(call.shards),
            "version": call.version,
            "query": call.query,
            "limit": call.limit,
        }
        result = await self._post(
            address,
            max_connections,
            "/search",
            json.dumps(document).encode(),
            {"X-Request-Id": call.call_id},
            call.deadline_ms,
        )
        if isinstance(result, Failure):
            return SubReply(call.call_id, call.upstream, result.kind, result.message, b"")
        return SubReply(call.call_id, call.upstream, "", "", result)

    async def order(
        self, address: str, max_connections: int, call: OrderCall
    ) -> OrderReply | Failure:
        headers = {"X-Request-Id": call.call_id, "Idempotency-Key": call.idempotency_key}
        result = await self._post(
            address, max_connections, "/orders", call.body, headers, call.deadline_ms
        )
        if isinstance(result, Failure):
            return result
        return OrderReply(result.decode("utf-8", "replace"))

    async def fetch_report(
        self, address: str, max_connections: int, timeout_ms: float
    ) -> UpstreamReport | Failure:
        session = self._open_session(address, max_connections)
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                async with session.get(f"http://{address}/index") as response:
                    if response.status != 200:
                        return Failure(ErrorKind.UPSTREAM_ERROR, f"status {response.status}")
                    return _parse_report(await response.json())
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return Failure(ErrorKind.UPSTREAM_UNAVAILABLE, f"{address}: {error!r}")
        except (ValueError, KeyError, TypeError) as error:
            return Failure(ErrorKind.UPSTREAM_ERROR, f"{address}: malformed index: {error!r}")

    async def cancel(self, address: str, max_connections: int, call_id: str) -> None:
        session = self._open_session(address, max_connections)
        try:
            async with asyncio.timeout(CANCEL_TIMEOUT_S):
                async with session.delete(f"http://{address}/requests/{call_id}"):
                    return
        except (aiohttp.ClientError, OSError, TimeoutError):
            return

    async def close(self) -> None:
        sessions, self._sessions = list(self._sessions.values()), {}
        for session in sessions:
            await session.close()

    async def disconnect(self, address: str) -> None:
        """Close the connections to an upstream that this instance no longer owns."""
        session = self._sessions.pop(address, None)
        if session is not None:
            await session.close()

    def _open_session(self, address: str, max_connections: int) -> aiohttp.ClientSession:
        session = self._sessions.get(address)
        if session is None:
            connector = aiohttp.TCPConnector(
                limit=max(1, max_connections - RESERVED_CONNECTIONS),
                keepalive_timeout=IDLE_TIMEOUT_S,
                use_dns_cache=False,
            )
            session = aiohttp.ClientSession(
                connector=connector,
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
                auto_decompress=False,
                trace_configs=[_make_sent_trace()],
            )
            self._sessions[address] = session
        return session

    async def _post(
        self,
        address: str,
        max_connections: int,
        path: str,
        body: bytes,
        headers: dict[str, str],
        deadline_ms: float,
    ) -> bytes | Failure:
        session = self._open_session(address, max_connections)
        headers |= {"X-Deadline-Ms": str(int(deadline_ms)), "Content-Type": "application/json"}
        sent: dict[str, bool] = {}
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                async with session.post(
                    f"http://{address}{path}", data=body, headers=headers, trace_request_ctx=sent
                ) as response:
                    data = await response.read()
                    return _classify_response(response, data)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            if not sent.get("sent"):
                return Failure(ErrorKind.UPSTREAM_UNAVAILABLE, f"{address}: {error!r}")
            return Failure(ErrorKind.OUTCOME_UNKNOWN, f"{address}: {error!r}")


def _classify_response(response: aiohttp.ClientResponse, data: bytes) -> bytes | Failure:
    if response.status == 200:
        return data
    text = data[:200].decode("utf-8", "replace")
    if response.headers.get("X-Not-Run") == "1":
        return Failure(ErrorKind.OVERLOADED, f"shed by the upstream: {text}")
    if response.status == STATUS_CANCELLED:
        return Failure(ErrorKind.CANCELLED, "cancelled at the upstream")
    # A status below 500 is a definite answer of the upstream; after a server error it is unknown
    # whether the request took effect.
    kind = ErrorKind.UPSTREAM_ERROR if response.status < 500 else ErrorKind.OUTCOME_UNKNOWN
    return Failure(kind, f"status {response.status}: {text}")


def _make_sent_trace() -> aiohttp.TraceConfig:
    """Return a trace that marks a request as sent once it has a connection.

    From that moment the upstream may have received part of the request.
    """

    async def mark(_session: Any, context: Any, _params: Any) -> None:
        if context.trace_request_ctx is not None:
            context.trace_request_ctx["sent"] = True

    config = aiohttp.TraceConfig()
    config.on_connection_create_end.append(mark)
    config.on_connection_reuseconn.append(mark)
    return config


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
