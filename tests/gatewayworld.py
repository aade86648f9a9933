"""An entry instance on loopback between callers and a stand-in for the platform, for tests."""

import asyncio
import json
import os
from collections.abc import Awaitable, Callable
from typing import Any

from cluster import find_port
from platformworld import PlatformStandIn

from citronpaddle.adapters.eventlog import EventLog
from citronpaddle.clock import SystemClock
from citronpaddle.gateway import Gateway
from citronpaddle.gatewaysettings import GatewaySettings
from citronpaddle.platform.codec import PlatformCallerCodec, PlatformStateDecoder
from citronpaddle.platform.headers import PlatformCodec
from citronpaddle.platform.rollouts import PlatformRolloutCodec
from citronpaddle.platform.store import HttpStateStore
from citronpaddle.policy.exposure import ExposureLimits
from citronpaddle.policy.extraload import ExtraLoadLimits
from citronpaddle.policy.quotalimits import QuotaLimits
from citronpaddle.policy.slowstart import ColdLimits
from citronpaddle.randomness import RandomSource


class Caller:
    """A caller's connection that sends raw HTTP."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> "Caller":
        self.reader, self.writer = await asyncio.open_connection(*self._address)
        return self

    def send(self, method="GET", path="/p/x", body=b"", headers=(), attempt="t1", deadline=2000):
        """Write a request with the platform's headers."""
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: h.example",
            f"Citronpaddle-Attempt-Id: {attempt}",
            f"Citronpaddle-Deadline-Ms: {deadline}",
            *headers,
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)

    async def read(self) -> tuple[int, dict[str, str], bytes]:
        """Return the status, headers and body of the next answer."""
        async with asyncio.timeout(20):
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            headers = {}
            for line in head[1:-2]:
                name, _, value = line.partition(": ")
                headers[name.lower()] = value
            body = await self.reader.readexactly(int(headers.get("content-length", 0)))
        return int(head[0].split()[1]), headers, body

    async def ask(self, **fields) -> tuple[int, dict[str, str], bytes]:
        """Send a request and return its answer."""
        self.send(**fields)
        return await self.read()

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


class GatewaySetup:
    """One entry instance with a stand-in for the platform."""

    def __init__(
        self,
        platform: PlatformStandIn,
        name: str = "i0",
        exposure: ExposureLimits | None = None,
    ) -> None:
        self.platform = platform
        self.settings = GatewaySettings(
            name=name,
            domain="a",
            callers_address=("127.0.0.1", find_port()),
            ready_address=("127.0.0.1", find_port()),
            directory_address=("127.0.0.1", find_port()),
            store_address=("127.0.0.1", platform.store.port),
            hints_address=("127.0.0.1", find_port()),
            grace_ms=6_000.0,
            address_ttl_s=0.1,
            extra_load=ExtraLoadLimits(0.2, 1_000.0, 10_000.0),
            cold=ColdLimits(1.5, 5.0),
            min_lease_ms=1_000.0,
            config_apply_ms=30.0,
            quota=QuotaLimits(window_ms=1e6, slack=16.0),
            exposure=exposure,
        )
        clock = SystemClock()
        self._log_reader, log_writer = os.pipe()
        os.set_blocking(self._log_reader, False)
        self.gateway = Gateway(
            self.settings,
            clock,
            RandomSource(1),
            EventLog(name, clock, log_writer),
            PlatformCodec(),
            PlatformCallerCodec(),
            HttpStateStore,
            PlatformStateDecoder(),
            PlatformRolloutCodec(),
        )

    def list_logged(self, event: str) -> list[dict[str, Any]]:
        """Return the log lines of `event` written since the last call for any event."""
        try:
            lines = os.read(self._log_reader, 1 << 20).decode().splitlines()
        except BlockingIOError:
            return []
        return [line for line in map(json.loads, lines) if line["event"] == event]

    async def connect(self) -> Caller:
        """Return a new connection of a caller."""
        return await Caller(self.settings.callers_address).connect()

    async def ask(self, **fields) -> tuple[int, dict[str, str], bytes]:
        """Send a request on a new connection and return its answer."""
        caller = await self.connect()
        try:
            return await caller.ask(**fields)
        finally:
            caller.close()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until `condition` holds; raise TimeoutError after 20 s."""
        async with asyncio.timeout(20):
            while not condition():  # noqa: ASYNC110 - the condition may depend on any state
                await asyncio.sleep(0.005)

    async def wait_for_configuration(self) -> None:
        """Wait until the instance has the newest configuration and all upstreams."""
        state = self.gateway.state
        await self.wait_until(
            lambda: state.catalog is not None
            and state.catalog.version == self.platform.version
            and len(state.registry) == len(self.platform.upstreams)
        )


SINGLE_ROUTE = {"prefix": "/p/", "service": "s0"}
UNSAFE_ROUTE = {"prefix": "/u/", "service": "s0", "kind": "unsafe"}
FANOUT_ROUTE = {
    "prefix": "/q/",
    "fanout_services": ["s0", "s1"],
    "top_k": 3,
    "min_shard_ratio": 0.5,
}


def run_scenario(
    scenario: Callable[[GatewaySetup], Awaitable[None]],
    routes=(SINGLE_ROUTE, UNSAFE_ROUTE, FANOUT_ROUTE),
) -> None:
    """Run `scenario` against an instance with two upstreams of s0 and one of s1."""

    async def run() -> None:
        platform = PlatformStandIn()
        await platform.start()
        await platform.add("a", "s0", [1, 9])
        await platform.add("b", "s0", [1, 9])
        await platform.add("c", "s1", [5, 7])
        platform.configure(list(routes))
        setup = GatewaySetup(platform)
        await setup.gateway.start()
        await setup.wait_for_configuration()
        try:
            await scenario(setup)
        finally:
            await setup.gateway.stop()
            await platform.stop()

    asyncio.run(run())


def list_executed(setup: GatewaySetup) -> list:
    """Return all requests that the upstreams have executed."""
    return [
        executed
        for upstream in setup.platform.upstreams.values()
        for executed in upstream.executed_requests
    ]
