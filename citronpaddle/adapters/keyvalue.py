"""Client of the key-value store over HTTP, using the JSON gateway of the etcd v3 API."""

import asyncio
import base64
import json
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

import aiohttp

from ..errors import ErrorKind, Failure
from ..ports import Compare, KeyValueStore, Put, StoreEntry, StoreRead, TransactionOutcome
from .responses import read_body

# Stays below the 128 operations per transaction that etcd allows by default.
MAX_READS_PER_CALL = 120
WATCH_CONNECT_TIMEOUT_S = 5.0

# Statuses with which the store refuses a request before it has any effect. 503 is not included:
# etcd also returns it for a proposal that timed out but may still be committed.
_REFUSED_STATUSES = frozenset({400, 401, 403, 404, 405, 411, 412, 413, 414, 415, 429})


@dataclass
class _Progress:
    """The progress of a request: no byte is written before a connection is assigned to it."""

    has_connection: bool = False


class EtcdStore(KeyValueStore):
    """A store at `address` (`host:port`); each failed call switches to the next of `others`.

    A write fails with `store_unavailable` only if no connection was established or the store
    refused the request, and with `outcome_unknown` in all other cases. Reads and lease grants
    change no key, so they fail with `store_unavailable`; a lease whose grant reply was lost expires
    at the end of its TTL.
    """

    def __init__(self, address: str, *others: str, max_connections: int = 32) -> None:
        self._addresses = (address, *others)
        self._current = 0
        self._max_connections = max_connections
        self._session: aiohttp.ClientSession | None = None
        self._write_session: aiohttp.ClientSession | None = None

    async def read(self, keys: Sequence[str], timeout_ms: float) -> StoreRead | Failure:
        entries: list[StoreEntry] = []
        revision = 0
        deadline_ms = _now_ms() + timeout_ms
        for start in range(0, len(keys), MAX_READS_PER_CALL):
            chunk = keys[start : start + MAX_READS_PER_CALL]
            # Later chunks are read at the revision of the first one, for a consistent snapshot.
            ranges = [
                {
                    "requestRange": {"key": _encode_base64(key)}
                    | ({"revision": revision} if start else {})
                }
                for key in chunk
            ]
            answer = await self._post(
                "/v3/kv/txn", {"success": ranges}, deadline_ms - _now_ms(), False
            )
            if isinstance(answer, Failure):
                return answer
            try:
                revision = revision or _parse_revision(answer)
                for response in answer.get("responses", []):
                    entries += _parse_entries(response["response_range"])
            except (KeyError, ValueError, TypeError) as error:
                return self._fail_on_malformed_reply(error, False)
        return StoreRead(tuple(entries), revision)

    async def read_prefix(self, prefix: str, timeout_ms: float) -> StoreRead | Failure:
        body = {
            "key": _encode_base64(prefix),
            "range_end": _encode_base64(_compute_range_end(prefix)),
        }
        answer = await self._post("/v3/kv/range", body, timeout_ms, False)
        if isinstance(answer, Failure):
            return answer
        try:
            return StoreRead(tuple(_parse_entries(answer)), _parse_revision(answer))
        except (KeyError, ValueError, TypeError) as error:
            return self._fail_on_malformed_reply(error, False)

    async def transact(
        self, compares: Sequence[Compare], puts: Sequence[Put], timeout_ms: float
    ) -> TransactionOutcome | Failure:
        body = {
            "compare": [_format_compare(compare) for compare in compares],
            "success": [{"requestPut": _format_put(put)} for put in puts],
        }
        answer = await self._post("/v3/kv/txn", body, timeout_ms, bool(puts))
        if isinstance(answer, Failure):
            return answer
        try:
            return TransactionOutcome(bool(answer.get("succeeded")), _parse_revision(answer))
        except (KeyError, ValueError, TypeError) as error:
            return self._fail_on_malformed_reply(error, bool(puts))

    async def grant_lease(self, ttl_s: int, timeout_ms: float) -> int | Failure:
        answer = await self._post("/v3/lease/grant", {"TTL": str(ttl_s)}, timeout_ms, False)
        if isinstance(answer, Failure):
            return answer
        try:
            return int(answer["ID"])
        except (KeyError, ValueError, TypeError) as error:
            return self._fail_on_malformed_reply(error, False)

    async def watch(self, key: str) -> AsyncIterator[StoreEntry | Failure]:
        body = {"create_request": {"key": _encode_base64(key)}}
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=WATCH_CONNECT_TIMEOUT_S)
        try:
            async with self._get_session().post(
                f"{self._base_url}/v3/watch",
                json=body,
                timeout=timeout,
                allow_redirects=False,
                trace_request_ctx=_Progress(),
            ) as response:
                if response.status != 200:
                    yield self._fail(f"the watch was answered with status {response.status}")
                    return
                async for result in _read_results(response):
                    if result.get("canceled"):
                        break
                    for event in result.get("events", []):
                        yield _parse_event(event)
            yield self._fail("the watch has ended")
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            yield self._fail(f"the watch was lost ({_describe_error(error)})")
        except (KeyError, ValueError, TypeError, AttributeError) as error:
            yield self._fail_on_malformed_reply(error, False)

    async def close(self) -> None:
        sessions = (self._session, self._write_session)
        self._session = self._write_session = None
        for session in sessions:
            if session is not None:
                await session.close()

    async def _post(
        self, path: str, body: dict[str, Any], timeout_ms: float, is_write: bool
    ) -> dict[str, Any] | Failure:
        progress = _Progress()
        timeout = aiohttp.ClientTimeout(total=max(timeout_ms, 1.0) / 1000)
        session = self._get_write_session() if is_write else self._get_session()
        try:
            async with session.post(
                self._base_url + path,
                json=body,
                timeout=timeout,
                allow_redirects=False,
                trace_request_ctx=progress,
            ) as response:
                text = await read_body(response)
                if response.status == 200:
                    answer = json.loads(text)
                    if isinstance(answer, dict):
                        return answer
                    raise ValueError("expected a JSON object")
                message = f"status {response.status}: {text[:200].decode(errors='replace')}"
                may_have_run = is_write and response.status not in _REFUSED_STATUSES
                return self._fail(message, may_have_run)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return self._fail(_describe_error(error), is_write and progress.has_connection)
        except ValueError as error:
            return self._fail_on_malformed_reply(error, is_write)

    @property
    def _address(self) -> str:
        return self._addresses[self._current]

    @property
    def _base_url(self) -> str:
        return f"http://{self._address}"

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            # Each watch occupies a connection; watches are few but must not exhaust the pool.
            connector = aiohttp.TCPConnector(limit=self._max_connections)
            self._session = _open_session(connector)
        return self._session

    def _get_write_session(self) -> aiohttp.ClientSession:
        """Return the session for writes, which opens a connection for each of them.

        Replies carry no id: on a kept connection, a late second copy of an earlier reply could be
        taken for the outcome of this write.
        """
        if self._write_session is None:
            connector = aiohttp.TCPConnector(limit=self._max_connections, force_close=True)
            self._write_session = _open_session(connector)
        return self._write_session

    def _fail(self, message: str, may_have_run: bool = False) -> Failure:
        kind = ErrorKind.OUTCOME_UNKNOWN if may_have_run else ErrorKind.STORE_UNAVAILABLE
        failure = Failure(kind, f"store {self._address}: {message}")
        self._current = (self._current + 1) % len(self._addresses)
        return failure

    def _fail_on_malformed_reply(self, error: Exception, is_write: bool) -> Failure:
        return self._fail(f"the reply is not that of an etcd v3 store ({error!r})", is_write)


def _open_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_record_connection)
    trace.on_connection_reuseconn.append(_record_connection)
    return aiohttp.ClientSession(connector=connector, trace_configs=[trace])


async def _record_connection(
    session: aiohttp.ClientSession, context: SimpleNamespace, params: Any
) -> None:
    context.trace_request_ctx.has_connection = True


async def _read_results(response: aiohttp.ClientResponse) -> AsyncIterator[dict[str, Any]]:
    # aiohttp's readline refuses lines over 128 KiB, while values of up to 1 MB are allowed.
    buffer = b""
    async for part in response.content.iter_any():
        *lines, buffer = (buffer + part).split(b"\n")
        for line in lines:
            if line.strip():
                yield json.loads(line)["result"]


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * 1000


def _describe_error(error: BaseException) -> str:
    if isinstance(error, asyncio.TimeoutError):
        return "no reply in time"
    if isinstance(error, aiohttp.ClientConnectorError):
        return f"cannot connect ({error.os_error.strerror or error.os_error})"
    return str(error) or type(error).__name__


def _encode_base64(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _compute_range_end(prefix: str) -> str:
    """Return the first key after all keys with `prefix`, which must end in an ASCII character."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _format_compare(compare: Compare) -> dict[str, str]:
    return {
        "key": _encode_base64(compare.key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(compare.mod_revision),
    }


def _format_put(put: Put) -> dict[str, str]:
    value = {"key": _encode_base64(put.key), "value": base64.b64encode(put.value).decode()}
    return value | ({"lease": str(put.lease)} if put.lease else {})


def _parse_revision(answer: dict[str, Any]) -> int:
    return int(answer["header"]["revision"])


def _parse_entries(answer: dict[str, Any]) -> list[StoreEntry]:
    return [_parse_item(item) for item in answer.get("kvs", [])]


def _parse_item(item: dict[str, Any]) -> StoreEntry:
    key = base64.b64decode(item["key"]).decode()
    return StoreEntry(key, base64.b64decode(item.get("value", "")), int(item["mod_revision"]))


def _parse_event(event: dict[str, Any]) -> StoreEntry:
    if event.get("type") == "DELETE":
        return StoreEntry(base64.b64decode(event["kv"]["key"]).decode(), b"", 0)
    return _parse_item(event["kv"])
