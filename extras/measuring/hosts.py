"""Hidden commands that measurements start as processes: upstreams, entry instances and peers."""

import asyncio
import json
import time
from collections import Counter
from collections.abc import Iterable
from typing import Any

import click
from aiohttp import web

from citronpaddle.adapters import peers as peer_adapter
from citronpaddle.adapters.frames import FrameKind
from citronpaddle.adapters.handlers import make_handlers
from citronpaddle.adapters.peers import PeerServer
from citronpaddle.documents import (
    Configuration,
)
from citronpaddle.models import (
    UpstreamIndex,
)
from citronpaddle.node import Node
from citronpaddle.settings import Settings
from citronpaddle.standins import upstream_service
from citronpaddle.standins.upstream_options import UpstreamOptions, make_layout

from .builders import make_indexes
from .sizes import SLOTS


@click.command(hidden=True)
@click.option("--count", type=int, required=True)
@click.option("--total", type=int, required=True)
@click.option("--first", type=int, default=0)
@click.option("--rows", type=int, default=3)
def host_upstreams(count: int, total: int, first: int, rows: int) -> None:
    """Run `count` upstream stand-ins and print their addresses as one line of JSON.

    Upstream `i`, counted from `first`, holds shard `i` of `total`; each shard has `rows` rows.
    """
    upstream_service.ROWS_PER_SHARD = rows

    async def run() -> None:
        addresses = []
        for index in range(first, first + count):
            options = UpstreamOptions(
                name=f"u{index}",
                slots=SLOTS,
                connections=10_000,
                latency_ms=2.0,
                shards=make_layout(total, first=index, last=index),
            )
            upstream = upstream_service.UpstreamStandIn(options)
            await upstream.start()
            addresses.append(upstream.address)
        print(json.dumps(addresses), flush=True)
        await asyncio.Event().wait()

    asyncio.run(run())


class FrameCounter:
    """Counts the frames and bytes that this process sends, by frame kind and direction.

    It replaces `encode_frame` of the peer adapter for the whole process.
    """

    def __init__(self) -> None:
        self.frames: Counter[str] = Counter()
        self.sizes_bytes: Counter[str] = Counter()
        self._encode = peer_adapter.encode_frame
        peer_adapter.encode_frame = self.encode

    def encode(self, frame: Any) -> bytes:
        """Return the encoded frame after counting it."""
        data = self._encode(frame)
        key = FrameKind(frame.kind).name + (" reply" if frame.reply else "")
        self.frames[key] += 1
        self.sizes_bytes[key] += len(data)
        return data


class InstrumentedNode(Node):
    """An instance that records when it applied each configuration revision.

    The times are those of the monotonic clock, which all processes of the machine share.
    """

    def __init__(self, *arguments: Any) -> None:
        self.applied_s: dict[int, float] = {}
        super().__init__(*arguments)

    def _apply_configuration(self, configuration: Configuration) -> None:
        super()._apply_configuration(configuration)
        self.applied_s[configuration.head.revision] = time.monotonic()


@click.command(hidden=True)
@click.option("--settings", "path", required=True)
def host_entry(path: str) -> None:
    """Run one entry instance and print the address that serves its counters as JSON."""

    async def run() -> None:
        counter = FrameCounter()
        settings = Settings.from_file(path)
        assert isinstance(settings, Settings), settings
        node = InstrumentedNode.from_config(settings)
        assert isinstance(node, InstrumentedNode)

        async def serve_counters(request: web.Request) -> web.Response:
            document = {
                "frames": counter.frames,
                "bytes": counter.sizes_bytes,
                "applied_s": node.applied_s,
                "held": len(node.describe()["owned_upstreams"]),
            }
            return web.json_response(document)

        app = web.Application()
        app.router.add_get("/", serve_counters)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        await node.start()
        print(f"127.0.0.1:{runner.addresses[0][1]}", flush=True)
        await asyncio.Event().wait()

    asyncio.run(run())


class _IndexOnlyNode:
    """A stand-in for an instance that gets only pings and index requests; other calls raise."""

    def __init__(self) -> None:
        self._indexes = {index.upstream: index for index in make_indexes(1)}

    def describe_upstreams(self, upstreams: Iterable[str]) -> list[UpstreamIndex]:
        """Return the indexes of the given upstreams of service 1."""
        return [self._indexes[name] for name in upstreams]

    def __getattr__(self, name: str) -> Any:
        def raise_unexpected_call(*arguments: Any) -> None:
            raise AssertionError(f"{name} was called")

        return raise_unexpected_call


@click.command(hidden=True)
def host_peers() -> None:
    """Run a peer server on a free port and print its address."""

    async def run() -> None:
        server = PeerServer(make_handlers(_IndexOnlyNode()))  # type: ignore[arg-type]
        address = await server.start("127.0.0.1", 0)
        print(address, flush=True)
        await asyncio.Event().wait()

    asyncio.run(run())
