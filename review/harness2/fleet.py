"""Entry instances of the project as processes, started with the command of the deploy file."""

import asyncio
import os
import signal
import socket
import subprocess
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 20.0
PORT_NAMES = ("front", "ready", "control", "directory", "hints")

SETTINGS = """
node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front","directory"]
ip = "127.0.0.1"
zone = "{zone}"
region = "noord"
internal_port_range = [{hints},{hints}]
seeds = []
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
[listen_addrs]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
directory = "127.0.0.1:{directory}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 4000
ack_timeout_ms = 5000
catch_up_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
max_skew_ms = 12000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 58
warmup_overshoot = 1.5
warmup_slack = 5
evacuate_ms = 5000
recovery_s = 12
ttl_max_s = 5
{bounds}
[platform]
address = "127.0.0.1:{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


class Instance:
    """One entry instance; `bounds` are further lines of the table of that name."""

    def __init__(
        self, name: str, zone: str, folder: Path, store_port: int, bounds: str = ""
    ) -> None:
        self.name = name
        self.zone = zone
        # The reserved sockets keep other programs from taking the ports; they do not listen.
        self._reserved = {part: _reserve_port() for part in PORT_NAMES}
        self.ports = {part: sock.getsockname()[1] for part, sock in self._reserved.items()}
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(
            SETTINGS.format(name=name, zone=zone, store=store_port, bounds=bounds, **self.ports)
        )
        self._log_path = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "CITRONPADDLE_CONFIG": str(self._settings),
                },
            )

    async def wait_until_ready(self) -> None:
        """Wait until the instance answers that it is ready."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._is_ready():
                await asyncio.sleep(0.02)

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["ready"])
        except OSError:
            return False
        writer.write(b"GET /citronpaddle/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        try:
            return b" 200 " in await reader.readline()
        except ConnectionError:
            return False
        finally:
            writer.close()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def read_log(self) -> str:
        """Return what the process has logged."""
        return self._log_path.read_text()

    def close(self) -> None:
        """Kill the process and release the ports."""
        self.kill()
        for sock in self._reserved.values():
            sock.close()


def _reserve_port() -> socket.socket:
    """Return a bound socket; a process that sets SO_REUSEADDR can still listen on its port."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    return sock
