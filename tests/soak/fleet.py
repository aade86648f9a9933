"""The entry processes of a soak run, and the signals sent to them."""

import asyncio
import os
import socket
import sys
from pathlib import Path
from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM, Signals

from cluster import find_port

from . import invariants
from .proxy import FaultProxy
from .records import History, now_ms
from .standins import DOMAINS

ROOT = Path(__file__).parents[2]
START_TIMEOUT_S = 20.0
# Allowance beyond the grace period of a stop, for a busy machine.
STOP_SLACK_S = 2.0
# Timeout for a stop during which the event loop of the soak itself stalled.
STALLED_STOP_TIMEOUT_S = 30.0
# Fields of /proc/PID/status: masks of the signals that a process ignores and handles.
_SIGNAL_MASKS = ("SigIgn", "SigCgt")

SETTINGS = """
node_name = "{name}"
zone = "{domain}"
ip = "127.0.0.1"
internal_port_range = [{hints}, {hints}]
[listen_addrs]
front = "127.0.0.1:{callers}"
ready = "127.0.0.1:{ready}"
directory = "127.0.0.1:{directory}"
[bounds]
grace_s = {grace_s}
ttl_max_s = 2
retry_budget_ratio = 0.2
retry_budget_slack = 58
budget_window_s = 10
warmup_overshoot = {overshoot}
warmup_slack = {slack}
config_apply_ms = {config_apply_ms}
[platform]
address = "127.0.0.1:{store}"
ttl_min_ms = 1000
"""


class Instance:
    """One entry process with its settings, its log and its own proxy to the store."""

    def __init__(self, name: str, domain: str, folder: Path, history: History) -> None:
        self.name = name
        self.domain = domain
        self.log_path = folder / f"{name}.log"
        # The sockets stay bound until the end, so that no other instance or test gets these ports.
        self._reserved = {
            part: reserve_port() for part in ("callers", "ready", "directory", "hints")
        }
        self.ports = {part: reserved.getsockname()[1] for part, reserved in self._reserved.items()}
        self._settings_path = (folder / f"{name}.toml").resolve()
        self._history = history
        self._process: asyncio.subprocess.Process | None = None
        self._exit_check: asyncio.Task | None = None
        self._is_stopping = False
        self.store: FaultProxy | None = None

    def write_settings(self) -> None:
        """Write the settings file."""
        text = SETTINGS.format(
            name=self.name,
            domain=self.domain,
            store=self.store.port,
            grace_s=invariants.GRACE_MS / 1_000,
            overshoot=invariants.COLD_OVERSHOOT,
            slack=invariants.COLD_SLACK,
            config_apply_ms=invariants.CONFIG_APPLY_MS,
            **self.ports,
        )
        # Replaces the file atomically, so that a starting process never reads a partial file.
        draft = self._settings_path.with_suffix(".draft")
        draft.write_text(text)
        draft.replace(self._settings_path)

    async def start(self) -> None:
        """Start the process."""
        self.write_settings()
        self._is_stopping = False
        log = self._open_log()
        try:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "citronpaddle.platform.entry",
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "CITRONPADDLE_CONFIG": str(self._settings_path),
                },
            )
        finally:
            os.close(log)
        self._history.start_times_ms.setdefault(self.name, []).append(now_ms())
        self._exit_check = asyncio.create_task(self._check_exit(self._process))

    def _open_log(self) -> int:
        return os.open(self.log_path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    async def _check_exit(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        if not self._is_stopping:
            self._history.process_failures.append(
                f"{self.name} ended unexpectedly with code {code}"
            )

    async def wait_until_ready(self) -> None:
        """Wait until the readiness endpoint answers 200; raise TimeoutError otherwise."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._is_ready():  # noqa: ASYNC110 - polls another process
                await asyncio.sleep(0.05)

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["ready"])
        except OSError:
            return False
        writer.write(b"GET /citronpaddle/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return b" 200 " in line

    def _signal(self, number: Signals) -> None:
        # An unexpected end is recorded as a failure already.
        if self._process.returncode is None:
            self._process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self._is_stopping = True
        self._signal(SIGKILL)
        await self._process.wait()

    async def stop(self) -> None:
        """Stop the process with SIGTERM; record a failure unless it ends with code 0 in time."""
        self._is_stopping = True
        sigterm_ms = now_ms()
        is_starting = not self._handles_signal(SIGTERM)
        self._signal(SIGTERM)
        code = await self._wait_for_end(invariants.GRACE_MS / 1_000 + STOP_SLACK_S)
        if code is None and not self._history.is_fault_free(sigterm_ms, now_ms()):
            # The event loop of the soak stalled meanwhile, so the process may have stalled as well.
            code = await self._wait_for_end(STALLED_STOP_TIMEOUT_S)
        if code is None:
            self._history.process_failures.append(
                f"{self.name} has not ended after its grace period"
            )
            await self.kill()
            code = 0
        if code != 0 and not (is_starting and code == -SIGTERM):
            self._history.process_failures.append(
                f"{self.name} ended with code {code} after SIGTERM"
            )
        self._history.stops.append((self.name, sigterm_ms, now_ms()))

    async def _wait_for_end(self, seconds: float) -> int | None:
        try:
            async with asyncio.timeout(seconds):
                return await self._process.wait()
        except TimeoutError:
            return None

    def pause(self) -> None:
        """Pause the process with SIGSTOP."""
        self._signal(SIGSTOP)

    def resume(self) -> None:
        """Resume the process with SIGCONT."""
        self._signal(SIGCONT)

    def reload(self) -> None:
        """Rewrite the settings and send SIGHUP, unless the process does not handle it yet."""
        self.write_settings()
        if self._handles_signal(SIGHUP):
            self._signal(SIGHUP)

    def _handles_signal(self, number: Signals) -> bool:
        """Return whether the process ignores or handles a signal.

        While its interpreter is still starting, no program does, and the signal would end it.
        """
        if self._process.returncode is not None:
            return False
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        masks = [line.split()[1] for line in status.splitlines() if line[:6] in _SIGNAL_MASKS]
        return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)

    def release_ports(self) -> None:
        """Close the sockets that reserve the ports."""
        for reserved in self._reserved.values():
            reserved.close()


def reserve_port() -> socket.socket:
    """Return a socket that reserves a port; a process that sets SO_REUSEADDR can still listen."""
    while True:
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            reserved.bind(("127.0.0.1", find_port()))
            return reserved
        except OSError:
            # Another process has bound the port since it was found free.
            reserved.close()


class Fleet:
    """All entry processes of a run."""

    def __init__(self, count: int, folder: Path, history: History) -> None:
        self.instances = [
            Instance(f"i{number}", DOMAINS[number % len(DOMAINS)], folder, history)
            for number in range(count)
        ]

    async def start(self, store_port: int) -> None:
        """Start all processes and wait until they are ready."""
        for instance in self.instances:
            instance.store = FaultProxy(("127.0.0.1", store_port))
            await instance.store.start()
        await asyncio.gather(*(instance.start() for instance in self.instances))
        await asyncio.gather(*(instance.wait_until_ready() for instance in self.instances))

    async def stop(self) -> None:
        """Stop all processes at the same time with SIGTERM."""
        await asyncio.gather(*(instance.stop() for instance in self.instances))

    async def close(self) -> None:
        """Kill the processes that still run and release their ports and proxies."""
        for instance in self.instances:
            if instance._process is not None and instance._process.returncode is None:
                await instance.kill()
            if instance.store is not None:
                instance.store.stop()
            instance.release_ports()
