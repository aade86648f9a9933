"""Callers that ask where to connect, keep the answer and use open connections to the end."""

import asyncio
import json
from random import Random

from .records import Attempt, End, History, now_ms

DEADLINE_MS = 2_000
# A caller gives an instance this long to accept a connection, or to name addresses.
CONNECT_S = 1.0
PAUSE_S = 0.04
LEAVE_SHARE = 0.03
NEW_CONNECTION_SHARE = 0.1


class Caller:
    """One caller; it goes on until it is cancelled."""

    def __init__(
        self, name: str, domain: str, directories: dict[str, int], history: History, random: Random
    ) -> None:
        self._name = name
        self._domain = domain
        self._directories = directories
        self._history = history
        self._random = random
        self._addresses: list[str] = []
        self._kept_until_ms = 0.0
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._address = ""
        self._count = 0
        # Names of instances by the address that callers connect to.
        self.instances: dict[str, str] = {}

    async def run(self) -> None:
        """Send one request after the other."""
        while True:
            await asyncio.sleep(self._random.expovariate(1.0 / PAUSE_S))
            await self._look_up()
            if self._addresses:
                await self._send_one()

    async def _look_up(self) -> None:
        if now_ms() < self._kept_until_ms:
            return
        for port in self._random.sample(list(self._directories.values()), 3):
            answer = await self._ask_directory(port)
            if answer is not None and answer.get("addrs"):
                self._addresses = answer["addrs"]
                self._kept_until_ms = now_ms() + 1_000.0 * answer["ttl_s"]
                if self._address not in self._addresses:
                    self._drop()
                return

    async def _ask_directory(self, port: int) -> dict | None:
        try:
            async with asyncio.timeout(CONNECT_S):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                target = f"/citronpaddle/resolve?name=h.example&region=r&zone={self._domain}"
                writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                status, _, body = await read_answer(reader)
                writer.close()
        except (OSError, TimeoutError, EOFError, ValueError):
            return None
        return json.loads(body) if status == 200 else None

    async def _send_one(self) -> None:
        attempt = self._make_attempt()
        if self._streams is not None and self._random.random() < NEW_CONNECTION_SHARE:
            self._drop()
        attempt.was_kept = self._streams is not None
        if self._streams is None and not await self._connect(attempt):
            return
        attempt.instance = self.instances[self._address]
        reader, writer = self._streams
        attempt.sent_ms = now_ms()
        self._history.attempts[attempt.id] = attempt
        writer.write(format_request(attempt))
        patience_ms = DEADLINE_MS + 500.0
        is_leaving = self._random.random() < LEAVE_SHARE
        if is_leaving:
            patience_ms = self._random.uniform(1.0, 60.0)
        try:
            async with asyncio.timeout(patience_ms / 1_000.0):
                attempt.status, attempt.headers, attempt.answer = await read_answer(reader)
            attempt.end = End.ANSWERED
        except TimeoutError:
            attempt.end = End.LEFT if is_leaving else End.TIMED_OUT
        except (OSError, EOFError, ValueError):
            attempt.end = End.CLOSED
        attempt.ended_ms = now_ms()
        closes = attempt.headers.get("connection", "").lower() == "close"
        if attempt.end is not End.ANSWERED or closes:
            self._drop()

    async def _connect(self, attempt: Attempt) -> bool:
        self._address = self._random.choice(self._addresses)
        host, _, port = self._address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_S):
                self._streams = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            self._addresses.remove(self._address)
            attempt.end, attempt.ended_ms = End.UNCONNECTED, now_ms()
            return False
        return True

    def _drop(self) -> None:
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None

    def _make_attempt(self) -> Attempt:
        self._count += 1
        known = sorted({name for version in self._history.versions for name in version.routes})
        prefix = self._random.choice([*known, "/q/", "/u/", "/u/"])
        method, body = "GET", b""
        if prefix.startswith("/u"):
            method, body = "POST", self._random.randbytes(self._random.randint(1, 600))
        name = f"{self._name}-{self._count}"
        return Attempt(name, prefix, method, f"{prefix}{self._count}", body, "", now_ms(), False)


def format_request(attempt: Attempt) -> bytes:
    """Return the bytes of a caller's request."""
    lines = [
        f"{attempt.method} {attempt.target} HTTP/1.1",
        "Host: h.example",
        f"Citronpaddle-Attempt-Id: {attempt.id}",
        f"Citronpaddle-Deadline-Ms: {DEADLINE_MS}",
    ]
    if attempt.body:
        lines.append(f"Content-Length: {len(attempt.body)}")
    return "\r\n".join([*lines, "", ""]).encode() + attempt.body


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """Return status, headers and body; raise EOFError if the answer is not whole."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:-2]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return int(head[0].split()[1]), headers, body
