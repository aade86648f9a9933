"""A stand-in for the platform's key-value service, with the JSON form of the etcd v3 API.

`PUT /control` sets the fields of `Faults`; with `restore_to_revision` it returns the store to that
revision. `GET /control` returns the faults and the numbers of calls by kind.
"""

import asyncio
import base64
import itertools
import json
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass, fields
from operator import eq, gt, lt, ne
from typing import Any, NamedTuple

import click
from aiohttp import web

from ..clock import Clock, SystemClock

# Default limits of etcd that calls of the query tier could exceed.
MAX_OPERATIONS = 128
MAX_VALUE_BYTES = 1_048_576
# Older changes are compacted, so that the memory of a long run is bounded.
MAX_LOG_ENTRIES = 100_000
LEASE_CHECK_INTERVAL_S = 0.1
# For leases of restored keys that no longer exist.
RESTORED_LEASE_TTL_S = 60
# Status codes of gRPC.
INVALID_ARGUMENT = 3
NOT_FOUND = 5
OUT_OF_RANGE = 11

_OPERATORS: dict[str, Callable[[Any, Any], bool]] = {
    "EQUAL": eq,
    "NOT_EQUAL": ne,
    "GREATER": gt,
    "LESS": lt,
}


class StoreError(Exception):
    """A call that the store refuses without a write: HTTP status, gRPC code and message."""

    def __init__(self, status: int, code: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code


class Item(NamedTuple):
    """One key with its value and revisions; `lease` is 0 if none is attached."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int


class Lease(NamedTuple):
    """A lease; `end_ms` is its expiry time on the store's clock."""

    ttl_s: int
    end_ms: float


class LogEntry(NamedTuple):
    """A change of one key at a revision; `item` is None for a deletion."""

    revision: int
    key: bytes
    item: Item | None


class Operation(NamedTuple):
    """An operation of a transaction; `kind` is `range`, `put` or `delete`."""

    kind: str
    key: bytes
    value: bytes = b""
    range_end: bytes = b""
    lease: int = 0
    revision: int = 0


class Comparison(NamedTuple):
    """A condition of a transaction; `target` names a field of `Item`."""

    key: bytes
    target: str
    result: str
    value: Any


class StoreState:
    """The keys, their history and the leases, without input or output."""

    def __init__(self, clock: Clock) -> None:
        self.revision = 1
        self._clock = clock
        self._items: dict[bytes, Item] = {}
        self._compacted_items: dict[bytes, Item] = {}
        self._compacted_revision = 1
        self._log: list[LogEntry] = []
        self._leases: dict[int, Lease] = {}
        self._lease_ids = itertools.count(1)

    def find(self, key: bytes, range_end: bytes = b"", revision: int = 0) -> list[Item]:
        """Return the items from `key` up to `range_end` (empty: `key` alone), sorted by key.

        `revision` selects a past state, 0 the current one. Raises StoreError if it is in the future
        or compacted.
        """
        self.expire_leases()
        if revision > self.revision:
            raise StoreError(
                400, OUT_OF_RANGE, "etcdserver: mvcc: required revision is a future revision"
            )
        items = self._items if revision in (0, self.revision) else self._get_items_at(revision)
        if not range_end:
            return [items[key]] if key in items else []
        # A range end of one zero byte selects every key from `key` on.
        found = [k for k in items if key <= k and (range_end == b"\0" or k < range_end)]
        return [items[k] for k in sorted(found)]

    def transact(
        self,
        comparisons: list[Comparison],
        success: list[Operation],
        failure: list[Operation] | None = None,
    ) -> tuple[bool, list[list[Item]], list[LogEntry]]:
        """Run `success` if all comparisons are true, otherwise `failure`.

        Returns whether they are true, the items found by each operation and the changes made.
        Raises StoreError if an operation is invalid.
        """
        self.expire_leases()
        is_successful = all(self._is_true(comparison) for comparison in comparisons)
        operations = success if is_successful else failure or []
        self._check_operations(operations)
        revision = self.revision + 1
        found: list[list[Item]] = []
        changes: list[LogEntry] = []
        for operation in operations:
            if operation.kind == "range":
                found.append(self.find(operation.key, operation.range_end, operation.revision))
                continue
            found.append([])
            changes += self._apply_operation(operation, revision)
        self._commit_changes(changes)
        return is_successful, found, changes

    def grant_lease(self, ttl_s: int, lease: int = 0) -> int:
        """Create a lease, with id `lease` unless it is 0, and return its id."""
        lease = lease or next(self._lease_ids)
        self._leases[lease] = Lease(ttl_s, self._clock.now_ms() + ttl_s * 1000)
        return lease

    def renew_lease(self, lease: int) -> int:
        """Renew the lease and return its time to live in s, or 0 if it has expired."""
        self.expire_leases()
        found = self._leases.get(lease)
        if found is None:
            return 0
        self._leases[lease] = Lease(found.ttl_s, self._clock.now_ms() + found.ttl_s * 1000)
        return found.ttl_s

    def revoke_lease(self, lease: int) -> list[LogEntry]:
        """Delete the lease and its keys and return the changes.

        Raises StoreError if there is no such lease.
        """
        if self._leases.pop(lease, None) is None:
            raise StoreError(404, NOT_FOUND, "etcdserver: requested lease not found")
        keys = [item.key for item in self._items.values() if item.lease == lease]
        changes = [LogEntry(self.revision + 1, key, None) for key in sorted(keys)]
        for key in keys:
            del self._items[key]
        self._commit_changes(changes)
        return changes

    def expire_leases(self) -> list[LogEntry]:
        """Delete the expired leases and their keys and return the changes."""
        now_ms = self._clock.now_ms()
        expired = [lease for lease, found in self._leases.items() if found.end_ms <= now_ms]
        return [change for lease in expired for change in self.revoke_lease(lease)]

    def restore(self, revision: int) -> None:
        """Restore the state at `revision`, as from a backup, and renew the leases of its keys."""
        items = self._get_items_at(revision)
        self._items = items
        self._log = [entry for entry in self._log if entry.revision <= revision]
        self.revision = revision
        for lease in {item.lease for item in items.values() if item.lease}:
            ttl_s = self._leases[lease].ttl_s if lease in self._leases else RESTORED_LEASE_TTL_S
            self.grant_lease(ttl_s, lease)

    def _get_items_at(self, revision: int) -> dict[bytes, Item]:
        if not self._compacted_revision <= revision <= self.revision:
            raise StoreError(
                400, OUT_OF_RANGE, "etcdserver: mvcc: required revision has been compacted"
            )
        items = dict(self._compacted_items)
        for entry in self._log:
            if entry.revision <= revision:
                _apply_change(items, entry)
        return items

    def _commit_changes(self, changes: list[LogEntry]) -> None:
        if not changes:
            return
        self.revision += 1
        self._log += changes
        if len(self._log) <= MAX_LOG_ENTRIES:
            return
        limit = self._log[MAX_LOG_ENTRIES // 2].revision
        for entry in self._log:
            if entry.revision <= limit:
                _apply_change(self._compacted_items, entry)
        self._log = [entry for entry in self._log if entry.revision > limit]
        self._compacted_revision = limit

    def _check_operations(self, operations: list[Operation]) -> None:
        if len(operations) > MAX_OPERATIONS:
            raise StoreError(
                400, INVALID_ARGUMENT, "etcdserver: too many operations in txn request"
            )
        put_keys = [operation.key for operation in operations if operation.kind == "put"]
        if len(put_keys) != len(set(put_keys)):
            raise StoreError(
                400, INVALID_ARGUMENT, "etcdserver: duplicate key given in txn request"
            )
        for operation in operations:
            if operation.lease and operation.lease not in self._leases:
                raise StoreError(404, NOT_FOUND, "etcdserver: requested lease not found")
            if len(operation.value) > MAX_VALUE_BYTES:
                raise StoreError(400, INVALID_ARGUMENT, "etcdserver: request is too large")

    def _is_true(self, comparison: Comparison) -> bool:
        item = self._items.get(comparison.key)
        if item is None and comparison.target == "value":
            return False
        actual = getattr(item, comparison.target) if item else 0
        return _OPERATORS[comparison.result](actual, comparison.value)

    def _apply_operation(self, operation: Operation, revision: int) -> list[LogEntry]:
        if operation.kind == "delete":
            deleted_items = self.find(operation.key, operation.range_end)
            for item in deleted_items:
                del self._items[item.key]
            return [LogEntry(revision, item.key, None) for item in deleted_items]
        old = self._items.get(operation.key)
        item = Item(
            operation.key,
            operation.value,
            old.create_revision if old else revision,
            revision,
            old.version + 1 if old else 1,
            operation.lease,
        )
        self._items[operation.key] = item
        return [LogEntry(revision, operation.key, item)]


def _apply_change(items: dict[bytes, Item], entry: LogEntry) -> None:
    if entry.item is None:
        items.pop(entry.key, None)
    else:
        items[entry.key] = entry.item


@dataclass
class Faults:
    """The faults that a test can set.

    `latency_ms` delays the effect of a call, `reply_latency_ms` the reply after it. `outage` is
    empty, `error` (status 503), `reset` (connections are reset) or `hang` (no reply). While
    `hold_writes` is set, writes wait before they take effect. `lose_requests` is how many of the
    next writes lose their connection before they take effect, `lose_replies` how many after it.
    """

    latency_ms: float = 0.0
    reply_latency_ms: float = 0.0
    outage: str = ""
    hold_writes: bool = False
    lose_requests: int = 0
    lose_replies: int = 0


OUTAGES = ("", "error", "reset", "hang")


class KeyValueStandIn:
    """An HTTP server in the running event loop with a store and its faults."""

    def __init__(self, clock: Clock | None = None, host: str = "127.0.0.1", port: int = 0) -> None:
        self.state = StoreState(clock or SystemClock())
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self._host = host
        self._port = port
        self._runner: web.AppRunner | None = None
        self._watches: dict[asyncio.Queue[list[LogEntry] | None], tuple[bytes, bytes]] = {}
        self._expiry_task: asyncio.Task[None] | None = None
        self._hang_ended = asyncio.Event()
        self._writes_released = asyncio.Event()
        self._writes_released.set()

    @property
    def address(self) -> str:
        """Return `host:port`; the port is known after `start`."""
        return f"{self._host}:{self._port}"

    async def start(self) -> str:
        """Listen and return the address; a restart after `stop` keeps the port and the data.

        Raises OSError if the port is in use.
        """
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_post("/v3/kv/range", self._inject_faults(self._range))
        app.router.add_post("/v3/kv/txn", self._inject_faults(self._txn))
        app.router.add_post("/v3/lease/grant", self._inject_faults(self._grant))
        app.router.add_post("/v3/lease/keepalive", self._inject_faults(self._keepalive))
        app.router.add_post("/v3/lease/revoke", self._inject_faults(self._revoke))
        app.router.add_post("/v3/watch", self._watch)
        app.router.add_get("/control", self._get_control)
        app.router.add_put("/control", self._put_control)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.2)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._host, self._port, reuse_address=True)
        await site.start()
        self._port = self._runner.addresses[0][1]
        self._expiry_task = asyncio.create_task(self._expire_leases())
        return self.address

    async def stop(self) -> None:
        """Close the port and all connections; the data is kept."""
        if self._expiry_task is not None:
            self._expiry_task.cancel()
        self._end_watches()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def set_faults(self, **changes: Any) -> None:
        """Set fields of `faults`; raise ValueError for an unknown field or outage."""
        known = {field.name for field in fields(Faults)}
        unknown = sorted(changes.keys() - known)
        if unknown:
            raise ValueError(f"unknown fault {unknown[0]}; expected one of {', '.join(known)}")
        if changes.get("outage", "") not in OUTAGES:
            raise ValueError(f"outage must be one of {OUTAGES}")
        for name, value in changes.items():
            setattr(self.faults, name, value)
        if self.faults.outage:
            self._end_watches()
        for event, is_blocking in (
            (self._hang_ended, self.faults.outage == "hang"),
            (self._writes_released, self.faults.hold_writes),
        ):
            event.clear() if is_blocking else event.set()

    def restore(self, revision: int) -> None:
        """Restore the state at store revision `revision` and end all watches."""
        self.state.restore(revision)
        self._end_watches()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            self._publish(self.state.expire_leases())

    def _publish(self, changes: list[LogEntry]) -> None:
        for queue, (key, range_end) in self._watches.items():
            wanted = [c for c in changes if _is_watched(c.key, key, range_end)]
            if wanted:
                queue.put_nowait(wanted)

    def _end_watches(self) -> None:
        for queue in self._watches:
            queue.put_nowait(None)

    def _inject_faults(self, handle: Callable[[dict[str, Any]], dict[str, Any]]) -> Any:
        async def respond(request: web.Request) -> web.StreamResponse:
            body = await request.json()
            kind, is_write = _classify_call(request.path, body)
            self.calls[kind] += 1
            if await self._apply_outage(request) or (
                is_write and self._consume_fault("lose_requests", request)
            ):
                return web.Response(status=503)
            if is_write:
                await self._writes_released.wait()
            if self.faults.latency_ms:
                await asyncio.sleep(self.faults.latency_ms / 1000)
            try:
                answer = handle(body)
            except StoreError as error:
                return _make_error_response(error.status, error.code, str(error))
            except (KeyError, ValueError, TypeError) as error:
                return _make_error_response(400, INVALID_ARGUMENT, f"bad request: {error!r}")
            if self.faults.reply_latency_ms:
                await asyncio.sleep(self.faults.reply_latency_ms / 1000)
            if is_write and self._consume_fault("lose_replies", request):
                return web.Response(status=503)
            return web.json_response(answer)

        return respond

    def _consume_fault(self, fault: str, request: web.Request) -> bool:
        left = getattr(self.faults, fault)
        if left <= 0:
            return False
        setattr(self.faults, fault, left - 1)
        _reset_connection(request)
        return True

    async def _apply_outage(self, request: web.Request) -> bool:
        if self.faults.outage == "hang":
            await self._hang_ended.wait()
        if self.faults.outage == "reset":
            _reset_connection(request)
        return bool(self.faults.outage)

    def _header(self) -> dict[str, str]:
        return {"cluster_id": "1", "member_id": "1", "revision": str(self.state.revision)}

    def _range(self, body: dict[str, Any]) -> dict[str, Any]:
        operation = _parse_operation("range", body)
        found = self.state.find(operation.key, operation.range_end, operation.revision)
        return {"header": self._header(), **_format_range(found)}

    def _txn(self, body: dict[str, Any]) -> dict[str, Any]:
        comparisons = [_parse_comparison(item) for item in body.get("compare", [])]
        success = [_parse_step(item) for item in body.get("success", [])]
        failure = [_parse_step(item) for item in body.get("failure", [])]
        is_successful, found, changes = self.state.transact(comparisons, success, failure)
        self._publish(changes)
        kinds = [step.kind for step in (success if is_successful else failure)]
        answer: dict[str, Any] = {"header": self._header()}
        if is_successful:  # The JSON gateway of etcd omits fields that have their default value.
            answer["succeeded"] = True
        if kinds:
            answer["responses"] = [
                (
                    {"response_range": {"header": self._header(), **_format_range(items)}}
                    if kind == "range"
                    else {f"response_{kind if kind == 'put' else 'delete_range'}": {}}
                )
                for kind, items in zip(kinds, found, strict=True)
            ]
        return answer

    def _grant(self, body: dict[str, Any]) -> dict[str, Any]:
        ttl_s = int(_get_field(body, "TTL", 0))
        lease = self.state.grant_lease(ttl_s, int(_get_field(body, "ID", 0)))
        return {"header": self._header(), "ID": str(lease), "TTL": str(ttl_s)}

    def _keepalive(self, body: dict[str, Any]) -> dict[str, Any]:
        lease = int(body["ID"])
        result = {"header": self._header(), "ID": str(lease)}
        ttl_s = self.state.renew_lease(lease)
        return {"result": result | ({"TTL": str(ttl_s)} if ttl_s else {})}

    def _revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        self._publish(self.state.revoke_lease(int(body["ID"])))
        return {"header": self._header()}

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        self.calls["watch"] += 1
        if await self._apply_outage(request):
            return web.Response(status=503)
        created = _get_field(body, "create_request")
        key = base64.b64decode(created["key"])
        range_end = base64.b64decode(_get_field(created, "range_end", ""))
        queue: asyncio.Queue[list[LogEntry] | None] = asyncio.Queue()
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        self._watches[queue] = (key, range_end)
        try:
            await response.prepare(request)
            await _send_line(response, {"header": self._header(), "created": True})
            while (changes := await queue.get()) is not None:
                events = [_format_event(change) for change in changes]
                await _send_line(response, {"header": self._header(), "events": events})
            _reset_connection(request)
        except ConnectionError:
            pass
        finally:
            del self._watches[queue]
        return response

    async def _get_control(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "revision": self.state.revision,
                "faults": asdict(self.faults),
                "calls": dict(self.calls),
                "waiting_watches": len(self._watches),
            }
        )

    async def _put_control(self, request: web.Request) -> web.Response:
        body = await request.json()
        try:
            revision = body.pop("restore_to_revision", None)
            self.set_faults(**body)
            if revision is not None:
                self.restore(int(revision))
        except (ValueError, TypeError, StoreError) as error:
            return _make_error_response(400, INVALID_ARGUMENT, str(error))
        return await self._get_control(request)


def _reset_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


def _make_error_response(status: int, code: int, message: str) -> web.Response:
    return web.json_response({"error": message, "code": code, "message": message}, status=status)


async def _send_line(response: web.StreamResponse, result: dict[str, Any]) -> None:
    await response.write(json.dumps({"result": result}).encode() + b"\n")


def _get_field(body: dict[str, Any], name: str, default: Any = None) -> Any:
    """Return the field called `name` or its lowerCamelCase form; etcd accepts both."""
    first, *rest = name.split("_")
    return body.get(name, body.get(first + "".join(part.title() for part in rest), default))


def _classify_call(path: str, body: dict[str, Any]) -> tuple[str, bool]:
    kind = path.removeprefix("/v3/").removeprefix("kv/").replace("/", "_")
    if kind != "txn":
        return kind, False
    steps = body.get("success", []) + body.get("failure", [])
    is_write = any(_get_field(step, "request_range") is None for step in steps)
    return ("txn_write" if is_write else "txn_read"), is_write


def _parse_operation(kind: str, body: dict[str, Any]) -> Operation:
    return Operation(
        kind,
        base64.b64decode(body["key"]),
        base64.b64decode(body.get("value", "")),
        base64.b64decode(_get_field(body, "range_end", "")),
        int(body.get("lease", 0)),
        int(body.get("revision", 0)),
    )


def _parse_step(item: dict[str, Any]) -> Operation:
    for kind, name in (("put", "put"), ("range", "range"), ("delete", "delete_range")):
        body = _get_field(item, f"request_{name}")
        if body is not None:
            return _parse_operation(kind, body)
    raise ValueError("expected request_put, request_range or request_delete_range")


_TARGETS = {
    "MOD": "mod_revision",
    "CREATE": "create_revision",
    "VERSION": "version",
    "VALUE": "value",
}


def _parse_comparison(item: dict[str, Any]) -> Comparison:
    target = _TARGETS[item.get("target", "VERSION")]
    value = _get_field(item, target, 0)
    return Comparison(
        base64.b64decode(item["key"]),
        target,
        item.get("result", "EQUAL"),
        base64.b64decode(value) if target == "value" else int(value),
    )


def _format_item(item: Item) -> dict[str, str]:
    found = {
        "key": base64.b64encode(item.key).decode(),
        "create_revision": str(item.create_revision),
        "mod_revision": str(item.mod_revision),
        "version": str(item.version),
        "value": base64.b64encode(item.value).decode(),
    }
    return found | ({"lease": str(item.lease)} if item.lease else {})


def _format_range(items: list[Item]) -> dict[str, Any]:
    if not items:
        return {}
    return {"kvs": [_format_item(item) for item in items], "count": str(len(items))}


def _format_event(change: LogEntry) -> dict[str, Any]:
    if change.item is not None:  # The JSON gateway of etcd omits the type PUT, the default.
        return {"kv": _format_item(change.item)}
    key = base64.b64encode(change.key).decode()
    return {"type": "DELETE", "kv": {"key": key, "mod_revision": str(change.revision)}}


def _is_watched(changed: bytes, key: bytes, range_end: bytes) -> bool:
    if not range_end:
        return changed == key
    return changed >= key and (range_end == b"\0" or changed < range_end)


@click.command(context_settings={"show_default": True})
@click.option("--host", default="127.0.0.1", help="Address to listen on.")
@click.option("--port", default=0, help="Port to listen on; 0 selects a free one.")
def main(host: str, port: int) -> None:
    """Run a stand-in for the key-value service until interrupted.

    Prints its address as the first line. Data is kept in memory only.
    """
    try:
        asyncio.run(_run_until_interrupted(KeyValueStandIn(host=host, port=port)))
    except KeyboardInterrupt:
        pass


async def _run_until_interrupted(standin: KeyValueStandIn) -> None:
    click.echo(await standin.start())
    await asyncio.Event().wait()


if __name__ == "__main__":
    main()
