"""The platform's store: keys, leases, range reads and watches, as PROTOCOL.md states them."""

import asyncio
import base64
import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from .http import HttpServer, Request, format_response

PAGE_SIZE = 500
LEASE_CHECK_S = 0.05


class Store(HttpServer):
    """A store that loses nothing and answers every call."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 1
        self._keys: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._last_lease = 100
        self._changed = asyncio.Event()
        self._expiry: asyncio.Task | None = None

    async def start(self) -> None:
        await super().start()
        self._expiry = asyncio.create_task(self._expire_leases())

    async def stop(self) -> None:
        if self._expiry is not None:
            self._expiry.cancel()
        await super().stop()

    def list_keys(self, prefix: str) -> list[str]:
        """Return the keys that begin with `prefix`."""
        return sorted(key for key in self._keys if key.startswith(prefix))

    def write(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key."""
        self.revision += 1
        created = self._keys[key]["created_rev"] if key in self._keys else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created_rev": created,
            "lease": lease,
        }
        self._keys[key] = item
        self._record(item)

    def delete(self, key: str) -> None:
        """Delete a key, if it is there."""
        if self._keys.pop(key, None) is not None:
            self.revision += 1
            self._record({"key": key, "revision": self.revision, "tombstone": True})

    def _record(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            now = time.monotonic()
            for lease, (_, end) in list(self._leases.items()):
                if now >= end:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [key for key, item in self._keys.items() if item["lease"] == lease]:
            self.delete(key)

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        call = parts.path.removeprefix("/citronpaddle/").split("/")
        status, answer = await self._answer(call, query, json.loads(request.body or b"{}"))
        body = json.dumps(answer).encode()
        writer.write(format_response(status, {"Content-Type": "application/json"}, body))
        return True

    async def _answer(
        self, call: list[str], query: dict[str, str], body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        if call[0] == "kv-range":
            keys = [
                k for k in self.list_keys(query.get("prefix", "")) if k > query.get("after", "")
            ]
            items = [self._keys[key] for key in keys[:PAGE_SIZE]]
            return 200, {"items": items, "has_more": len(keys) > PAGE_SIZE, "as_of": self.revision}
        if call[0] == "kv-watch":
            return await self._watch(query)
        if call[0] == "kv-lease":
            self._last_lease += 1
            ttl_s = body["ttl_ms"] / 1_000
            self._leases[self._last_lease] = ttl_s, time.monotonic() + ttl_s
            return 200, {"lease": self._last_lease, "ttl_ms": body["ttl_ms"]}
        if call[0] in ("kv-keep", "kv-lease-end"):
            lease = int(call[1])
            if lease not in self._leases:
                return 404, {}
            if call[0] == "kv-lease-end":
                self._end_lease(lease)
                return 200, {}
            ttl_s, _ = self._leases[lease]
            self._leases[lease] = ttl_s, time.monotonic() + ttl_s
            return 200, {"ttl_ms": ttl_s * 1_000}
        return self._transact(body)

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after, prefix = int(query["after"]), query.get("prefix", "")
        end = time.monotonic() + int(query["wait_ms"]) / 1_000
        while True:
            changed = self._changed
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = end - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in body["precondition"]:
            item = self._keys.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": []}
        for item in body["writes"]:
            if item.get("lease", 0) and item["lease"] not in self._leases:
                return 404, {}
        for item in body["writes"]:
            self.write(item["key"], base64.b64decode(item["value"]), item.get("lease", 0))
        for key in body["deletes"]:
            self.delete(key)
        return 200, {"revision": self.revision}
