"""Callers that look addresses up, cache them and reuse their open connections."""

import asyncio
import json
from random import Random

from .records import Attempt, History, Outcome, now_ms

DEADLINE_MS = 2_000
# Timeout for a connection to an instance, and for a lookup of addresses.
CONNECT_TIMEOUT_S = 1.0
MEAN_PAUSE_S = 0.04
# Share of the requests that a caller abandons after a random time.
ABANDON_SHARE = 0.03
MIN_ABANDON_MS = 1.0
MAX_ABANDON_MS = 60.0
# Share of the requests that are sent over a new connection although one is open.
NEW_CONNECTION_SHARE = 0.1
# How long a caller waits for an answer beyond the deadline of its request.
ANSWER_SLACK_MS = 500.0
DIRECTORIES_PER_LOOKUP = 3
# A patient caller keeps a list of addresses for so many times as long as the directory says.
PATIENCE = 3
MAX_BODY_BYTES = 600


class Caller:
    """One caller, which sends requests until it is cancelled."""

    def __init__(
        self,
        name: str,
        domain: str,
        directory_ports: dict[str, int],
        history: History,
        random: Random,
        is_patient: bool = False,
    ) -> None:
        self._name = name
        self._patience = PATIENCE if is_patient else 1
        self._domain = domain
        self._directory_ports = directory_ports
        self._history = history
        self._random = random
        self._addresses: list[str] = []
        self._addresses_expire_ms = 0.0
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._address = ""
        self._count = 0
        # Instance names, keyed by the address that callers connect to.
        self.instances: dict[str, str] = {}

    async def run(self) -> None:
        """Send requests one after another, with random pauses."""
        while True:
            await asyncio.sleep(self._random.expovariate(1.0 / MEAN_PAUSE_S))
            await self._refresh_addresses()
            if self._addresses:
                await self._send_request()

    async def _refresh_addresses(self) -> None:
        if now_ms() < self._addresses_expire_ms:
            return
        for port in self._random.sample(
            list(self._directory_ports.values()), DIRECTORIES_PER_LOOKUP
        ):
            answer = await self._query_directory(port)
            if answer is not None and answer.get("addrs"):
                self._addresses = answer["addrs"]
                self._addresses_expire_ms = now_ms() + 1_000.0 * self._patience * answer["ttl_s"]
                if self._address not in self._addresses:
                    self._close_connection()
                return

    async def _query_directory(self, port: int) -> dict | None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                target = f"/citronpaddle/resolve?name=h.example&region=r&zone={self._domain}"
                writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                status, _, body = await read_answer(reader)
                writer.close()
        except (OSError, TimeoutError, EOFError, ValueError):
            return None
        return json.loads(body) if status == 200 else None

    async def _send_request(self) -> None:
        attempt = self._make_attempt()
        if self._connection is not None and self._random.random() < NEW_CONNECTION_SHARE:
            self._close_connection()
        attempt.reused_connection = self._connection is not None
        if self._connection is None and not await self._connect(attempt):
            return
        attempt.instance = self.instances[self._address]
        reader, writer = self._connection
        attempt.sent_ms = now_ms()
        self._history.attempts[attempt.id] = attempt
        writer.write(format_request(attempt))
        timeout_ms = DEADLINE_MS + ANSWER_SLACK_MS
        is_abandoned = self._random.random() < ABANDON_SHARE
        if is_abandoned:
            timeout_ms = self._random.uniform(MIN_ABANDON_MS, MAX_ABANDON_MS)
        try:
            async with asyncio.timeout(timeout_ms / 1_000.0):
                attempt.status, attempt.headers, attempt.answer = await read_answer(reader)
            attempt.outcome = Outcome.ANSWERED
        except TimeoutError:
            attempt.outcome = Outcome.ABANDONED if is_abandoned else Outcome.TIMED_OUT
        except (OSError, EOFError, ValueError):
            attempt.outcome = Outcome.CLOSED
        attempt.ended_ms = now_ms()
        must_close = attempt.headers.get("connection", "").lower() == "close"
        if attempt.outcome is not Outcome.ANSWERED or must_close:
            self._close_connection()

    async def _connect(self, attempt: Attempt) -> bool:
        self._address = self._random.choice(self._addresses)
        host, _, port = self._address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self._connection = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            self._addresses.remove(self._address)
            attempt.outcome, attempt.ended_ms = Outcome.UNCONNECTED, now_ms()
            return False
        return True

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection[1].transport.abort()
            self._connection = None

    def _make_attempt(self) -> Attempt:
        self._count += 1
        prefixes = sorted({name for version in self._history.versions for name in version.routes})
        prefix = self._random.choice([*prefixes, "/q/", "/u/", "/u/"])
        method, body = "GET", b""
        if prefix.startswith("/u"):
            method, body = "POST", self._random.randbytes(self._random.randint(1, MAX_BODY_BYTES))
        name = f"{self._name}-{self._count}"
        return Attempt(name, prefix, method, f"{prefix}{self._count}", body, "", now_ms(), False)


def format_request(attempt: Attempt) -> bytes:
    """Return an attempt as an HTTP request."""
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
    """Return status, headers and body; raise EOFError if the answer is incomplete."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:-2]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return int(head[0].split()[1]), headers, body
