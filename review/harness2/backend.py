"""A backend: runs requests in slots, rejects those beyond its queue, and checks its own id."""

import asyncio
import itertools
import json
import time

from .http import HttpServer, Request, format_response
from .record import Record
from .store import Store


class Backend(HttpServer):
    """A sound backend; `work_ms` is the time of a request in a slot."""

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        record: Record,
        work_ms: float = 10.0,
        slots: int = 4,
        queue: int = 16,
        body: bytes = b"answer",
    ) -> None:
        super().__init__()
        self.id = name
        self.service = service
        self.zone = zone
        self.record = record
        self.work_ms = work_ms
        self.slots = slots
        self.queue = queue
        self.body = body
        self.born_ms = int(time.time() * 1_000)
        self.sequence = 0
        self._in_slots = asyncio.Semaphore(slots)
        self.in_progress = 0
        self._counter = itertools.count(1)

    def write_entry(self, store: Store, state: str = "ready", warmup_left_ms: int = 0) -> None:
        """Write this backend's entry to the store."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "warmup_left_ms": warmup_left_ms,
            "sequence": self.sequence,
            "born": self.born_ms,
        }
        store.write(f"servers/{self.id}", json.dumps(entry).encode())

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        attempt = request.headers.get("citronpaddle-attempt-id", "")
        echo = {"Citronpaddle-Attempt-Id": attempt}
        if request.headers.get("citronpaddle-expect-instance", self.id) != self.id:
            echo["Citronpaddle-Instance-Id"] = self.id
            writer.write(format_response(421, echo | {"Citronpaddle-Not-Executed": "1"}))
            return True
        if self.in_progress >= self.slots + self.queue:
            return self.reject(attempt, writer)
        self.in_progress += 1
        try:
            async with self._in_slots:
                self.record.add(
                    "run",
                    backend=self.id,
                    service=self.service,
                    attempt=attempt,
                    tenant=request.headers.get("citronpaddle-tenant", ""),
                )
                await asyncio.sleep(self.work_ms / 1_000)
        finally:
            self.in_progress -= 1
        stamp = f"{self.id}.{next(self._counter)}"
        return self.respond(attempt, writer, echo | {"Citronpaddle-Server-Stamp": stamp})

    def reject(self, attempt: str, writer: asyncio.StreamWriter) -> bool:
        """Answer that the request has not run: the queue is full."""
        self.record.add("reject", backend=self.id, attempt=attempt)
        headers = {"Citronpaddle-Attempt-Id": attempt, "Citronpaddle-Not-Executed": "1"}
        writer.write(format_response(503, headers))
        return True

    def respond(self, attempt: str, writer: asyncio.StreamWriter, headers: dict[str, str]) -> bool:
        """Answer a request that has run."""
        writer.write(format_response(200, headers, self.body))
        return True
