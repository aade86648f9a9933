"""The frame of a script: starts the store and the instances, runs the case, ends all processes."""

import asyncio
import json
import os
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from .fleet import Instance
from .record import Record
from .store import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 110.0


class World:
    """The stand-ins and processes of one run; `has_trouble` is false with TROUBLE=0."""

    def __init__(self, folder: Path) -> None:
        self.record = Record()
        self.store = Store()
        self.folder = folder
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.instances: list[Instance] = []
        self.servers: list[Any] = []
        self._version = 0

    def add_instance(self, zone: str, store_port: int = 0, bounds: str = "") -> Instance:
        """Add an instance, which is not started yet."""
        name = f"front-{zone}-{len(self.instances) + 1}"
        instance = Instance(name, zone, self.folder, store_port or self.store.port, bounds)
        self.instances.append(instance)
        return instance

    async def start_instances(self) -> None:
        """Start all instances at once and wait until they are ready."""
        for instance in self.instances:
            instance.start()
        await asyncio.gather(*(instance.wait_until_ready() for instance in self.instances))

    def configure(
        self,
        routes: list[dict[str, Any]],
        services: list[str],
        warmup: dict[str, Any] | None = None,
        **fields: Any,
    ) -> None:
        """Write the next version of the configuration; `warmup` holds fields of each service."""
        self._version += 1
        base = {
            "host": "h.example",
            "kind": "safe",
            "timeout_ms": 1200,
            "target_latency_ms": 300,
            "priority": 1,
            "max_attempts": 2,
        }
        document = {
            "version": self._version,
            "routes": [base | {"name": "r" + route["prefix"]} | route for route in routes],
            "services": [
                {
                    "name": name,
                    "health_path": "/health",
                    "max_connections": 45,
                    "protocol": "h1",
                    "tls": False,
                    "warmup_s": 3.0,
                    "warmup_per_s": 0.0,
                }
                | (warmup or {})
                for name in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        self.store.write("op/config", json.dumps(document | fields).encode())

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for instance in self.instances:
            instance.close()
        for server in self.servers:
            await server.stop()
        await self.store.stop()


def run(case: Callable[[World], Awaitable[str | None]], folder: Path) -> None:
    """Run a case and exit: 1 with its text if the rule was broken, 0 if it held, 2 otherwise."""
    sys.exit(asyncio.run(_run(case, folder)))


async def _run(case: Callable[[World], Awaitable[str | None]], folder: Path) -> int:
    with tempfile.TemporaryDirectory() as settings:
        world = World(Path(settings))
        try:
            await world.store.start()
            async with asyncio.timeout(TIME_LIMIT_S):
                broken = await case(world)
        except Exception:
            traceback.print_exc()
            return NOT_RUN
        finally:
            await world.close()
            world.record.save(folder / "record.txt")
    print(f"broken: {broken}" if broken else "held")
    return BROKEN if broken else HELD
