"""The entry processes of a soak, and the signals that they get."""

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
START_S = 20.0
# Beyond the time of grace, for a machine that is busy.
STOP_MARGIN_S = 2.0
# For a machine so busy that the soak itself stood still.
STALLED_STOP_S = 30.0
# Lines of a process's status that tell which signals it ignores and handles.
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
    """One entry process with its settings, its log and its own way to the store."""

    def __init__(self, name: str, domain: str, folder: Path, history: History) -> None:
        self.name = name
        self.domain = domain
        self.log_path = folder / f"{name}.log"
        # Held until the end, so that neither another instance nor another test draws the same ones.
        self._reserved = {
            part: reserve_port() for part in ("callers", "ready", "directory", "hints")
        }
        self.ports = {part: held.getsockname()[1] for part, held in self._reserved.items()}
        self.is_busy = False
        self._settings_path = (folder / f"{name}.toml").resolve()
        self._history = history
        self._process: asyncio.subprocess.Process | None = None
        self._watch: asyncio.Task | None = None
        self._is_ending = False
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
        # At once, so that a process that starts at this moment reads either the old or the new one.
        draft = self._settings_path.with_suffix(".draft")
        draft.write_text(text)
        draft.replace(self._settings_path)

    async def start(self) -> None:
        """Start the process."""
        self.write_settings()
        self._is_ending = False
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
        self._history.starts.setdefault(self.name, []).append(now_ms())
        self._watch = asyncio.create_task(self._note_exit(self._process))

    def _open_log(self) -> int:
        return os.open(self.log_path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    async def _note_exit(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        if not self._is_ending:
            self._history.exits.append(f"{self.name} ended by itself with code {code}")

    async def wait_until_ready(self) -> None:
        """Return when the platform's question is answered with 200; raise TimeoutError."""
        async with asyncio.timeout(START_S):
            while not await self._is_ready():  # noqa: ASYNC110 - another process is asked
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
        # One that has ended by itself is a finding already.
        if self._process.returncode is None:
            self._process.send_signal(number)

    async def kill(self) -> None:
        """End the process at once."""
        self._is_ending = True
        self._signal(SIGKILL)
        await self._process.wait()

    async def stop(self) -> None:
        """Stop the process as planned; one that does not end in time is a finding."""
        self._is_ending = True
        term_ms = now_ms()
        is_starting = not self._minds(SIGTERM)
        self._signal(SIGTERM)
        code = await self._wait_for_end(invariants.GRACE_MS / 1_000 + STOP_MARGIN_S)
        if code is None and not self._history.is_calm(term_ms, now_ms()):
            # The soak itself stood still meanwhile, and so may have the process.
            code = await self._wait_for_end(STALLED_STOP_S)
        if code is None:
            self._history.exits.append(f"{self.name} has not ended after its time of grace")
            await self.kill()
            code = 0
        if code != 0 and not (is_starting and code == -SIGTERM):
            self._history.exits.append(f"{self.name} ended with code {code} after SIGTERM")
        self._history.stops.append((self.name, term_ms, now_ms()))

    async def _wait_for_end(self, seconds: float) -> int | None:
        try:
            async with asyncio.timeout(seconds):
                return await self._process.wait()
        except TimeoutError:
            return None

    def pause(self) -> None:
        """Let the process stand still."""
        self._signal(SIGSTOP)

    def resume(self) -> None:
        """Let the process go on."""
        self._signal(SIGCONT)

    def reload(self) -> None:
        """Tell the process that its settings file has changed, once it can be told."""
        self.write_settings()
        if self._minds(SIGHUP):
            self._signal(SIGHUP)

    def _minds(self, number: Signals) -> bool:
        """Return whether the process ignores or handles a signal.

        Before its first instruction, while the interpreter starts, no program can.
        """
        if self._process.returncode is not None:
            return False
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        masks = [line.split()[1] for line in status.splitlines() if line[:6] in _SIGNAL_MASKS]
        return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)

    def release_ports(self) -> None:
        """Give the ports back."""
        for held in self._reserved.values():
            held.close()


def reserve_port() -> socket.socket:
    """Return a socket that holds a port: others that allow reuse may still listen there."""
    while True:
        held = socket.socket()
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            held.bind(("127.0.0.1", find_port()))
            return held
        except OSError:
            # Taken since it was found free.
            held.close()


class Fleet:
    """All entry processes."""

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
        """Stop all processes at once, as planned."""
        await asyncio.gather(*(instance.stop() for instance in self.instances))

    async def close(self) -> None:
        """End whatever is left."""
        for instance in self.instances:
            if instance._process is not None and instance._process.returncode is None:
                await instance.kill()
            if instance.store is not None:
                instance.store.stop()
            instance.release_ports()
