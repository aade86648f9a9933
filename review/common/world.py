"""Stand-ins for the review's scripts: the platform's store, backends, clients and the launcher.

They speak what the users' PROTOCOL page says, on loopback addresses and the real clock, and use the
standard library only. Each stand-in records what it received and did in the shared `Record`.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
# The command of the role in deploy/system.toml, split at spaces.
COMMAND = "python3 -S -m citronpaddle.platform.entry".split()
LOOPBACK = "127.0.0.1"
PORT_RANGE = (20_000, 32_000)
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
ATTEMPT_ID = "citronpaddle-attempt-id"
EXPECTED = "citronpaddle-expect-instance"
_given_ports: set[int] = set()


def is_trouble_on() -> bool:
    """Return whether the case plays its disruption; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The lines of record.txt: seconds since the start, who, and what."""

    def __init__(self, folder: Path) -> None:
        self._started = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    @property
    def now(self) -> float:
        """Return the seconds since the start of the record."""
        return time.monotonic() - self._started

    def write(self, who: str, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now:9.3f} {who:12} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Message:
    """A received request or response; `headers` has lower-case names."""

    def __init__(self, start: str, headers: dict[str, str], body: bytes) -> None:
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split()[1])


async def read_message(reader: asyncio.StreamReader, is_response: bool = False) -> Message | None:
    """Return the next message with its body, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif is_response and lines[0].split()[1] not in ("204", "304"):
            body = await reader.read()
        else:
            body = b""
        return Message(lines[0], headers, body)
    except (asyncio.IncompleteReadError, OSError):
        return None


def format_response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} Status", *(f"{name}: {value}" for name, value in headers.items())]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Server:
    """An HTTP server on a loopback port; one request at a time on a connection."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return host:port."""
        return f"{LOOPBACK}:{self.port}"

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                await self.handle(request, writer)
                await writer.drain()
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a request."""
        raise NotImplementedError


class Store(Server):
    """The platform's store; while `mode` is "silent", calls get no answer, while "busy", 503.

    Leases that run out while it is unavailable expire.
    """

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.mode = ""
        self._record = record
        self._revision = 1
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_ids = itertools.count(1_000)
        self._changed = asyncio.Event()
        self._expiry: asyncio.Task | None = None

    async def start(self) -> None:
        await super().start()
        self._expiry = asyncio.create_task(self._expire())

    def put(self, key: str, value: object, lease: int = 0) -> None:
        """Write a key; `value` is bytes or a JSON document."""
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._revision += 1
        created = self._items[key]["created_rev"] if key in self._items else self._revision
        item = {
            "key": key,
            "value": base64.b64encode(content).decode(),
            "revision": self._revision,
            "created_rev": created,
            "lease": lease,
        }
        self._items[key] = item
        self._events.append(item)
        self._changed.set()
        self._record.write("store", f"wrote {key} at revision {self._revision}")

    def delete(self, key: str, why: str) -> None:
        """Delete a key."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._events.append({"key": key, "revision": self._revision, "tombstone": True})
            self._changed.set()
            self._record.write("store", f"deleted {key} at revision {self._revision}: {why}")

    def list_keys(self, prefix: str) -> list[str]:
        """Return the present keys with this prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (ttl_s, renewed) in list(self._leases.items()):
                if now - renewed > ttl_s:
                    self._end_lease(lease, "its lease ran out")

    def _end_lease(self, lease: int, why: str) -> None:
        self._leases.pop(lease, None)
        for key in [key for key, item in self._items.items() if item["lease"] == lease]:
            self.delete(key, why)

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        if self.mode == "busy":
            writer.write(format_response(503, {}))
            return
        if self.mode == "silent":
            # A connection on which a response is lost returns nothing further.
            await asyncio.Event().wait()
        method, target, _ = request.start.split()
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        call = parts.path.removeprefix("/citronpaddle/").split("/")
        body = json.loads(request.body or b"{}")
        if call[0] == "kv-watch":
            status, answer = await self._watch(query)
        else:
            status, answer = self._answer(call, query, body)
        if self.mode == "silent":
            await asyncio.Event().wait()
        if self.mode == "busy":
            status, answer = 503, {}
        content = json.dumps(answer).encode()
        writer.write(format_response(status, {"Content-Type": "application/json"}, content))

    def _answer(self, call: list[str], query: dict[str, str], body: dict) -> tuple[int, dict]:
        if call[0] == "kv-range":
            keys = [
                key
                for key in self.list_keys(query.get("prefix", ""))
                if key > query.get("after", "")
            ]
            items = [self._items[key] for key in keys[:500]]
            return 200, {"items": items, "has_more": len(keys) > 500, "as_of": self._revision}
        if call[0] == "kv-lease":
            lease = next(self._lease_ids)
            self._leases[lease] = (body["ttl_ms"] / 1_000, time.monotonic())
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        if call[0] == "kv-keep":
            known = self._leases.get(int(call[1]))
            if known is None:
                return 404, {}
            self._leases[int(call[1])] = (known[0], time.monotonic())
            return 200, {"ttl_ms": known[0] * 1_000}
        if call[0] == "kv-lease-end":
            if int(call[1]) not in self._leases:
                return 404, {}
            self._end_lease(int(call[1]), "its lease was ended")
            return 200, {}
        return self._transact(body)

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        after, prefix = int(query["after"]), query.get("prefix", "")
        end = time.monotonic() + int(query["wait_ms"]) / 1_000
        while True:
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            remaining_s = end - time.monotonic()
            if events or remaining_s <= 0:
                return 200, {"events": events, "as_of": self._revision}
            self._changed.clear()
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                continue

    def _transact(self, body: dict) -> tuple[int, dict]:
        for row in body["precondition"]:
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        for write in body["writes"]:
            lease = write.get("lease", 0)
            if lease and lease not in self._leases:
                return 404, {}
        for write in body["writes"]:
            self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
        for key in body["deletes"]:
            self.delete(key, "by a transaction")
        return 200, {"revision": self._revision}


class Backend(Server):
    """A backend: runs `slots` requests at a time, queues `queue` more and rejects the others.

    `runs` holds the attempt ids in the order in which they began to run.
    """

    def __init__(
        self,
        record: Record,
        id: str,
        service: str,
        slots: int = 4,
        queue: int = 16,
        work_s: float = 0.02,
        answer_bytes: int = 400,
        zone: str = "zone-a",
    ) -> None:
        super().__init__()
        self.id = id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.answer_bytes = answer_bytes
        self.runs: list[str] = []
        self.arrivals: list[tuple[float, str]] = []
        self.state = "ready"
        self._record = record
        self._queue = queue
        self._waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._sequence = itertools.count(1)
        self._born = 0

    async def start(self) -> None:
        await super().start()
        self._born = int(time.time() * 1_000)

    def make_entry(self) -> dict:
        """Return this backend's entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left_ms": 0,
            "sequence": next(self._sequence),
            "born": self._born,
        }

    def make_answer(self, status: int, attempt_id: str, executed: bool) -> bytes:
        """Return the response to a request that was run, or rejected before it ran."""
        headers = {"Citronpaddle-Attempt-Id": attempt_id}
        if not executed:
            headers["Citronpaddle-Not-Executed"] = "1"
            return format_response(status, headers)
        headers["Citronpaddle-Server-Stamp"] = f"{self.id}.{attempt_id}"
        return format_response(status, headers, os.urandom(self.answer_bytes))

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        attempt_id = request.headers.get(ATTEMPT_ID, "")
        if request.headers.get(EXPECTED, self.id) != self.id:
            headers = {"Citronpaddle-Instance-Id": self.id, "Citronpaddle-Attempt-Id": attempt_id}
            writer.write(format_response(421, headers))
            return
        self.arrivals.append((self._record.now, attempt_id))
        if self._free.locked() and self._waiting >= self._queue:
            self._record.write(self.id, f"rejects {attempt_id}: full")
            self.send_answer(self.make_answer(503, attempt_id, False), writer)
            return
        self._waiting += 1
        async with self._free:
            self._waiting -= 1
            self.runs.append(attempt_id)
            self._record.write(self.id, f"runs {attempt_id}")
            await asyncio.sleep(self.work_s * random.uniform(0.7, 1.3))
        self._record.write(self.id, f"answers {attempt_id}")
        self.send_answer(self.make_answer(200, attempt_id, True), writer)

    def send_answer(self, answer: bytes, writer: asyncio.StreamWriter) -> None:
        """Send a complete response."""
        writer.write(answer)


def find_free_ports(kind: int, count: int) -> list[int]:
    """Return free loopback ports; `kind` is SOCK_STREAM or SOCK_DGRAM.

    They are below the range from which the system takes the ports of outgoing connections.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(*PORT_RANGE)
        with socket.socket(socket.AF_INET, kind) as one:
            try:
                one.bind((LOOPBACK, port))
            except OSError:
                continue
        if port not in _given_ports:
            _given_ports.add(port)
            ports.append(port)
    return ports


class Instance:
    """One entry instance as a process, started with the deploy file's command."""

    def __init__(
        self,
        record: Record,
        folder: Path,
        name: str,
        store: Store,
        zone: str = "zone-a",
        bounds: str = "",
    ) -> None:
        self.name = name
        self.zone = zone
        self.process: asyncio.subprocess.Process | None = None
        self._record = record
        self._settings = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        front, ready, directory = find_free_ports(socket.SOCK_STREAM, 3)
        internal = find_free_ports(socket.SOCK_DGRAM, 1)[0]
        self.front, self.ready, self.directory = front, ready, directory
        self._settings.write_text(
            f"""node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front", "directory"]
ip = "{LOOPBACK}"
zone = "{zone}"
region = "region-a"
internal_port_range = [{internal}, {internal}]
heartbeat_ms = 1200
[listen_addrs]
front = "{LOOPBACK}:{front}"
ready = "{LOOPBACK}:{ready}"
directory = "{LOOPBACK}:{directory}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
[bounds]
contact_ms = 4000
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 58
warmup_overshoot = 1.5
warmup_slack = 5
evacuate_ms = 5000
ttl_max_s = 5
{bounds}
[platform]
address = "{store.address}"
form = "kv"
ttl_min_ms = 1000
""",
            encoding="utf-8",
        )

    async def start(self) -> None:
        """Start the process."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["CITRONPADDLE_CONFIG"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._record.write(self.name, f"started as process {self.process.pid}")

    async def wait_until_ready(self, timeout_s: float = 15.0) -> None:
        """Wait until the readiness check gets 200; raise TimeoutError."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            answer = await send(
                self.ready, make_request("GET", "/citronpaddle/ready", "ready"), 1.0
            )
            if answer is not None and answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{self.name} is not ready")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._record.write(self.name, f"gets {number.name}")
        self.process.send_signal(number)

    def read_resident_bytes(self) -> int:
        """Return the resident memory of the process, or 0 if it has ended."""
        try:
            fields = Path(f"/proc/{self.process.pid}/statm").read_text(encoding="ascii").split()
            return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")
        except (OSError, IndexError):
            return 0

    def read_log(self) -> list[dict]:
        """Return the log lines that the process wrote."""
        lines = self._log.read_text(encoding="utf-8", errors="replace").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    async def stop(self) -> None:
        """Kill the process if it runs, and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()


def make_request(
    method: str,
    target: str,
    attempt_id: str,
    body: bytes = b"",
    deadline_ms: int = 8_000,
    host: str = "shop.example",
    closes: bool = False,
) -> bytes:
    """Return the bytes of a client's request."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {host}",
        f"Citronpaddle-Attempt-Id: {attempt_id}",
        f"Citronpaddle-Deadline-Ms: {deadline_ms}",
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    if closes:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def send(port: int, request: bytes, timeout_s: float) -> Message | None:
    """Send a request on a new connection and return the response; None if there is none."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            writer.write(request)
            return await read_message(reader, True)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


def make_config(version: int, routes: list[dict], services: list[str], **limits: int) -> dict:
    """Return a configuration; `services` may take 110 connections each and have no cold rate."""
    base = {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": 110,
                "protocol": "h1",
                "tls": False,
                "warmup_s": 3.0,
                "warmup_per_s": 0.0,
            }
            for name in services
        ],
        "limits": base | limits,
    }


def run(case) -> None:
    """Run `case(record, folder)`, a coroutine function, and exit with the code that it returns.

    Any error is the result "could not run". All instances that the case creates must be stopped by
    it; `folder` is a temporary folder that is removed.
    """
    record = Record(Path(sys.argv[0]).resolve().parent)

    async def play() -> int:
        with tempfile.TemporaryDirectory() as folder:
            async with asyncio.timeout(115):
                return await case(record, Path(folder))

    try:
        result = asyncio.run(play())
    except Exception as error:
        record.write("case", f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        result = COULD_NOT_RUN
    record.write("case", f"exit {result}")
    record.close()
    sys.exit(result)
