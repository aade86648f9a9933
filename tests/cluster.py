"""Runs stand-ins and entry instances as processes on loopback, for scenarios."""

import asyncio
import fcntl
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any, NamedTuple, TextIO

import yaml

from citronpaddle.adapters.keyvalue import EtcdStore
from citronpaddle.clock import SystemClock
from citronpaddle.configurator import CommittedChange, ConfigurationWriter
from citronpaddle.documents import ChangeFile, PresetEntry, ServiceEntry, UpstreamEntry
from citronpaddle.policy.changes import ApplyFile

START_TIMEOUT_S = 30.0
# Below 32768, the first port of outgoing connections on Linux, and above the ports in extras.
LISTEN_PORTS = (23_000, 32_000)
# Open lock files of the ports that this process has found.
PORT_CLAIMS: list[TextIO] = []


class Reply(NamedTuple):
    """The status, decoded JSON body and headers of an HTTP response."""

    status: int
    body: Any
    headers: dict[str, str]


def find_port() -> int:
    """Return a free port of 127.0.0.1 outside the range of outgoing connections.

    An outgoing connection could take a port of that range before the program listens on it. The
    port is locked until this process ends, so that no other test process finds it meanwhile.
    """
    folder = Path(tempfile.gettempdir()) / "citronpaddle-test-ports"
    folder.mkdir(exist_ok=True)
    while True:
        port = random.randint(*LISTEN_PORTS)
        claim = (folder / str(port)).open("w")
        try:
            fcntl.flock(claim, fcntl.LOCK_EX | fcntl.LOCK_NB)
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", port))
        except OSError:
            claim.close()
            continue
        PORT_CLAIMS.append(claim)
        return port


def send(
    address: str,
    path: str,
    body: Any = None,
    method: str | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
) -> Reply:
    """Send one HTTP request and return the response; `body` is sent as JSON unless it is bytes."""
    data = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        f"http://{address}{path}", data=data, method=method, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return _read(response.status, response.read(), response.headers)
    except urllib.error.HTTPError as error:
        with error:
            return _read(error.code, error.read(), error.headers)


def _read(status: int, data: bytes, headers: Any) -> Reply:
    return Reply(status, json.loads(data) if data else None, dict(headers))


class Cluster:
    """The processes of one test; `close` ends each of them by its pid."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="citronpaddle-test-"))
        self.processes: dict[str, subprocess.Popen[str]] = {}
        self.entries: dict[str, dict[str, Any]] = {}
        self.upstreams: dict[str, dict[str, Any]] = {}
        self.store = ""
        self.instances = ""
        self.service = "designs"
        self.topology: tuple[int, ...] = ()

    # Processes

    def spawn(self, name: str, module: str, *options: str, has_line: bool = True) -> str:
        """Start a program and return its first line of output, or "" without `has_line`."""
        log = open(self.folder / f"{name}.log", "a")
        process = subprocess.Popen(
            [sys.executable, "-m", module, *options],
            stdout=subprocess.PIPE if has_line else log,
            stderr=log,
            text=True,
            env=os.environ | {"PYTHONUNBUFFERED": "1"},
        )
        log.close()
        self.processes[name] = process
        return process.stdout.readline().strip() if has_line else ""

    def start_platform(self) -> None:
        """Start the stand-ins for the key-value store and the instance list."""
        self.store = self.spawn("store", "citronpaddle.standins.keyvalue")
        self.instances = self.spawn("instances", "citronpaddle.standins.instances")

    def start_upstream(self, name: str, failure_domain: str, shards: int, **options: Any) -> None:
        """Start one upstream that serves the whole key space in `shards` shards."""
        arguments = [f"--set={key}={value}" for key, value in {"name": name, **options}.items()]
        line = self.spawn(name, "citronpaddle.standins.upstream", f"--shards={shards}", *arguments)
        self.upstreams[name] = json.loads(line) | {
            "failure_domain": failure_domain,
            "slots": int(options.get("slots", 2)),
            "connections": int(options.get("connections", 25)),
            "options": options,
        }

    def start_upstreams(
        self, process: str, failure_domain: str, options: list[dict[str, Any]]
    ) -> None:
        """Start one process with a stand-in upstream for each item of `options`."""
        path = self.folder / f"{process}.json"
        path.write_text(json.dumps(options))
        line = self.spawn(process, "citronpaddle.standins.upstream", f"--options={path}")
        addresses = json.loads(line)
        for item in options:
            self.upstreams[item["name"]] = addresses[item["name"]] | {
                "failure_domain": failure_domain,
                "slots": item["slots"],
                "process": process,
            }

    def plan_entries(self, names: dict[str, str], **settings: Any) -> None:
        """Choose ports and write the settings of entry instances.

        `names` maps each instance to its failure domain; `settings` are added to those of each.
        """
        for name, failure_domain in names.items():
            self.entries[name] = {
                "failure_domain": failure_domain,
                "http": f"127.0.0.1:{find_port()}",
                "peer": f"127.0.0.1:{find_port()}",
                "metrics": f"127.0.0.1:{find_port()}",
            }
        for name, entry in self.entries.items():
            entry["settings"] = self.folder / f"{name}.yaml"
            entry["settings"].write_text(
                yaml.safe_dump(self._make_settings(name, entry) | settings)
            )

    def _make_settings(self, name: str, entry: dict[str, Any]) -> dict[str, Any]:
        def listen(kind: str) -> dict[str, Any]:
            host, port = entry[kind].split(":")
            return {"host": host, "port": int(port)}

        return {
            "name": name,
            "failure_domain": entry["failure_domain"],
            "http": listen("http"),
            "peer": listen("peer"),
            "metrics": listen("metrics"),
            "store": {"addresses": [self.store]},
            "instance_list": {"address": self.instances},
            "peers": [
                {
                    "name": other,
                    "failure_domain": self.entries[other]["failure_domain"],
                    "address": self.entries[other]["peer"],
                }
                for other in self.entries
                if other != name
            ],
        }

    def start_entry(self, name: str) -> None:
        """Start one planned entry instance."""
        settings = str(self.entries[name]["settings"])
        self.spawn(name, "citronpaddle.cli.entry", "--settings", settings, has_line=False)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill one process with SIGKILL and wait for its end."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def has_ended_process(self) -> bool:
        """Return whether any process has ended."""
        return any(process.poll() is not None for process in self.processes.values())

    def clear_faults(self) -> None:
        """Resume paused processes and reset the faults that were set by control endpoints."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
        defaults = {"latency_ms": 5, "straggler_probability": 0, "cold_ms": 0, "is_leaving": False}
        for upstream in self.upstreams.values():
            send(upstream["control_address"], "/control", defaults | upstream["options"])
        send(self.store, "/control", {"outage": "", "latency_ms": 0}, "PUT")

    def close(self) -> None:
        """Kill all processes, also paused ones, and wait for their end."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
            if process.stdout:
                process.stdout.close()

    # Configuration and calls

    def apply(self, **fields: Any) -> None:
        """Write a service with all upstreams of this test to the configuration."""
        upstreams = {
            name: UpstreamEntry(
                address=upstream["address"],
                failure_domain=upstream["failure_domain"],
                slots=upstream["slots"],
                max_connections=upstream["connections"],
            )
            for name, upstream in self.upstreams.items()
        }
        service = ServiceEntry(group="test", upstreams=tuple(upstreams), **fields)
        file = ChangeFile(
            services={self.service: service},
            upstreams=upstreams,
            presets={"ordinary": PresetEntry()},
        )
        self.edit(ApplyFile(file))

    def edit(self, edit: Any) -> CommittedChange:
        """Change the configuration and return the result; raise AssertionError if it is refused."""

        async def change() -> Any:
            store = EtcdStore(self.store)
            try:
                return await ConfigurationWriter(
                    store, SystemClock(), "test", lambda ms: asyncio.sleep(ms / 1000)
                ).change(edit)
            finally:
                await store.close()

        outcome = asyncio.run(change())
        assert isinstance(outcome, CommittedChange), outcome
        return outcome

    def query(
        self, name: str, text: str = "oak", deadline_ms: int = 1000, limit: int = 50
    ) -> Reply:
        """Send one query to an entry instance and return the response."""
        body = {"query": text, "limit": limit, "deadline_ms": deadline_ms}
        path = f"/v1/services/{self.service}/query"
        return send(self.entries[name]["http"], path, body)

    def wait_until(self, check: Any, limit_s: float = START_TIMEOUT_S) -> None:
        """Poll `check` until it is true; raise AssertionError after `limit_s`.

        An OSError or ValueError of `check` counts as false.
        """
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            try:
                if check():
                    return
            except (OSError, ValueError):
                pass
            time.sleep(0.05)
        raise AssertionError(f"not within {limit_s} s: {check.__name__}; logs in {self.folder}")

    def wait_complete(self, name: str) -> None:
        """Wait until an entry instance answers a query completely."""

        def is_complete() -> bool:
            reply = self.query(name)
            return reply.status == 200 and reply.body["coverage"]["complete"]

        self.wait_until(is_complete)
