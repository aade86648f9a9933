"""The HTTP client of the platform's key-value store."""

import base64
import json
from typing import Any
from urllib.parse import quote

from ..adapters.addresses import Address
from ..adapters.connections import ConnectionPool
from ..adapters.httpclient import HttpFailure, HttpResponse
from ..statestore import (
    Committed,
    Conflict,
    HistoryLost,
    Lease,
    LeaseEnded,
    Precondition,
    StateStore,
    StoreChanges,
    StoreFailure,
    StoreItem,
    StoreView,
    StoreWrite,
)

# The store answers in a few ms and a slow one in some hundred; a slow answer is still useful.
CALL_TIMEOUT_MS = 2_000.0
# Bytes of keys and values in a full read. The state of the largest planned fleet is a tenth of it.
MAX_STATE_BYTES = 32 * 1024 * 1024
# A watch times out this long after the time for which it was asked to wait.
WATCH_MARGIN_MS = 2_000.0
_MAX_IDLE_MS = 10_000.0
# The header field with the number of times that the store was restored from a copy.
_ERA_KEY = b"store-era"
_MAX_ERA_DIGITS = 15
_ROOT = "/citronpaddle"


class HttpStateStore(StateStore):
    """Calls the store over HTTP on pooled connections."""

    def __init__(self, address: Address, pool: ConnectionPool) -> None:
        self._address = address
        self._pool = pool
        self._era = 0

    @property
    def era(self) -> int:
        return self._era

    async def read_all(self, prefix: str) -> StoreView | StoreFailure:
        items: list[StoreItem] = []
        revision: int | None = None
        era: int | None = None
        after = ""
        size_bytes = 0
        while True:
            path = f"{_ROOT}/kv-range?prefix={quote(prefix, safe='')}"
            if after:
                path += f"&after={quote(after, safe='')}"
            answer = await self._call("GET", path)
            if isinstance(answer, StoreFailure):
                return answer
            _, body = answer
            try:
                page = [_read_item(item) for item in body["items"]]
                # Pages are no consistent snapshot: the watch delivers the changes since the first.
                revision = body["as_of"] if revision is None else revision
                has_more = body["has_more"]
            except (KeyError, TypeError, ValueError) as error:
                return StoreFailure(f"unreadable page: {error!r}")
            era = self._era if era is None else era
            if era != self._era:
                return StoreFailure("restored between two pages")
            items.extend(page)
            if not has_more or not page:
                return StoreView(tuple(items), revision, era)
            size_bytes += sum(len(item.key) + len(item.value or b"") for item in page)
            if page[-1].key <= after or size_bytes > MAX_STATE_BYTES:
                return StoreFailure("pages without end")
            after = page[-1].key

    async def read_revision(self) -> int | StoreFailure:
        # A page without items transfers few bytes. A cheaper read, which may be stale, would show a
        # change only seconds later.
        answer = await self._call("GET", f"{_ROOT}/kv-range?prefix=%00")
        if isinstance(answer, StoreFailure):
            return answer
        revision = answer[1].get("as_of") if isinstance(answer[1], dict) else None
        return revision if isinstance(revision, int) else StoreFailure("unreadable page")

    async def watch(
        self, prefix: str, after: int, wait_ms: int
    ) -> StoreChanges | HistoryLost | StoreFailure:
        era = self._era
        path = f"{_ROOT}/kv-watch?prefix={quote(prefix, safe='')}&after={after}&wait_ms={wait_ms}"
        answer = await self._call(
            "GET", path, timeout_ms=wait_ms + WATCH_MARGIN_MS, absent_status=410
        )
        if isinstance(answer, StoreFailure):
            return answer
        status, body = answer
        if status == 410 or self._era != era:
            # In a new era, the changes do not follow those up to `after`.
            return HistoryLost()
        try:
            items = tuple(_read_item(item) for item in body["events"])
            return StoreChanges(items, body["as_of"], era)
        except (KeyError, TypeError, ValueError) as error:
            return StoreFailure(f"unreadable events: {error!r}")

    async def grant_lease(self, ttl_ms: float) -> Lease | StoreFailure:
        answer = await self._call("POST", f"{_ROOT}/kv-lease", {"ttl_ms": int(ttl_ms)})
        if isinstance(answer, StoreFailure):
            return answer
        try:
            return Lease(int(answer[1]["lease"]), float(answer[1]["ttl_ms"]), self._era)
        except (KeyError, TypeError, ValueError) as error:
            return StoreFailure(f"unreadable lease: {error!r}")

    async def renew_lease(
        self, lease: Lease, timeout_ms: float
    ) -> Lease | LeaseEnded | StoreFailure:
        answer = await self._call("POST", f"{_ROOT}/kv-keep/{lease.id}", {}, timeout_ms, 404)
        if isinstance(answer, StoreFailure):
            return answer
        return LeaseEnded() if answer[0] == 404 or self._era != lease.era else lease

    async def end_lease(self, lease: Lease) -> StoreFailure | None:
        answer = await self._call("DELETE", f"{_ROOT}/kv-lease-end/{lease.id}", absent_status=404)
        return answer if isinstance(answer, StoreFailure) else None

    async def put(self, key: str, value: bytes, lease: Lease) -> LeaseEnded | StoreFailure | None:
        text = base64.b64encode(value).decode()
        body = {
            "precondition": [],
            "writes": [{"key": key, "value": text, "lease": lease.id}],
            "deletes": [],
        }
        answer = await self._call("POST", f"{_ROOT}/kv-txn", body, absent_status=404)
        if isinstance(answer, StoreFailure):
            return answer
        return LeaseEnded() if answer[0] == 404 or self._era != lease.era else None

    async def commit(
        self,
        preconditions: tuple[Precondition, ...],
        writes: tuple[StoreWrite, ...],
        deletes: tuple[str, ...] = (),
    ) -> Committed | Conflict | StoreFailure:
        body = {
            "precondition": [one._asdict() for one in preconditions],
            "writes": [
                {"key": key, "value": base64.b64encode(value).decode(), "lease": 0}
                for key, value in writes
            ],
            "deletes": list(deletes),
        }
        answer = await self._call("POST", f"{_ROOT}/kv-txn", body, absent_status=412)
        if isinstance(answer, StoreFailure):
            return answer
        if answer[0] == 412:
            return Conflict()
        revision = answer[1].get("revision") if isinstance(answer[1], dict) else None
        return Committed(revision) if isinstance(revision, int) else StoreFailure("no revision")

    async def _call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        timeout_ms: float = CALL_TIMEOUT_MS,
        absent_status: int = 0,
    ) -> tuple[int, Any] | StoreFailure:
        """Return status and decoded body of a success, or `absent_status` without a body."""
        content = b"" if body is None else json.dumps(body).encode()
        host, port = self._address
        request = (
            f"{method} {path} HTTP/1.1\r\nHost: {host}:{port}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n\r\n"
        ).encode() + content
        response = await self._pool.fetch(
            self._address, request, lambda response, is_reused: True, _MAX_IDLE_MS, timeout_ms
        )
        if isinstance(response, HttpFailure):
            return StoreFailure(response.reason)
        era = _read_era(response)
        if era is not None and era < self._era:
            return StoreFailure("answer of an earlier era")
        self._era = self._era if era is None else era
        return _read_response(response, absent_status)


def _read_era(response: HttpResponse) -> int | None:
    """Return the era in which the store answered, or None if it names none."""
    for name, value in response.headers:
        if name.lower() == _ERA_KEY:
            text = value.strip()
            if text.isdigit() and len(text) <= _MAX_ERA_DIGITS:
                return int(text)
    return None


def _read_response(response: HttpResponse, absent_status: int) -> tuple[int, Any] | StoreFailure:
    if response.status == absent_status:
        return response.status, None
    if response.status != 200:
        return StoreFailure(f"status {response.status}", response.status == 429)
    try:
        return response.status, json.loads(response.body or b"{}")
    except (ValueError, RecursionError) as error:
        return StoreFailure(f"unreadable answer: {error}")


def _read_item(item: dict[str, Any]) -> StoreItem:
    # An event with `tombstone` means that the key was deleted.
    if item.get("tombstone"):
        return StoreItem(str(item["key"]), None, int(item["revision"]))
    value = base64.b64decode(item["value"], validate=True)
    return StoreItem(str(item["key"]), value, int(item["revision"]))
