"""A stand-in for an upstream with search, orders, cold starts, call limits and injected faults."""

import asyncio
import json
import signal
import socket
import struct
import sys
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from itertools import count
from pathlib import Path
from typing import Any, Literal, NamedTuple

import click
import xxhash
from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..documents import ChangeFile
from ..errors import Failure
from ..models import KEY_SPACE_SIZE
from ..randomness import RandomSource
from ..status import ExitStatus
from ..yaml_reader import parse_yaml

ROWS_PER_SHARD = 3
LISTEN_BACKLOG = 1024
# Added to the down time so that the restart does not come before its end.
RESTART_MARGIN_S = 0.001
# A linger time of 0 s makes the kernel reset the connection on close.
_LINGER_RESET = struct.pack("ii", 1, 0)


class ShardOption(BaseModel):
    """One shard: its key range `[low, high)` and the index versions that the upstream serves."""

    model_config = ConfigDict(extra="forbid")

    shard: str
    low: int = Field(ge=0)
    high: int = Field(le=KEY_SPACE_SIZE)
    versions: list[int]


class UpstreamOptions(BaseModel):
    """Options of the stand-in, which can all be changed while it runs.

    Times are in ms. `slots` limits concurrent calls and `connections` open connections. A call
    takes `latency_ms`, multiplied by `straggler_factor` with `straggler_probability` and by
    `cold_factor` while cold. For `cold_ms` after a start more than `cold_calls` concurrent calls
    crash the upstream, which then stays down for `fallen_ms`. `is_silent` executes calls without an
    answer. `is_refusing` resets connections and refuses new ones. `health` is `honest`, `lagging`
    (up to `health_lag_ms` old) or `misleading` (always reports no load).
    """

    model_config = ConfigDict(extra="forbid")

    name: str = "upstream"
    slots: int = Field(2, ge=1)
    connections: int = Field(25, ge=1)
    setup_ms: float = Field(0, ge=0)
    latency_ms: float = Field(5, ge=0)
    straggler_probability: float = Field(0, ge=0, le=1)
    straggler_factor: float = Field(20, ge=1)
    seed: int = 1
    cold_ms: float = Field(0, ge=0)
    cold_calls: int = Field(1, ge=1)
    cold_factor: float = Field(5, ge=1)
    fallen_ms: float = Field(500, ge=0)
    health: Literal["honest", "lagging", "misleading"] = "honest"
    health_lag_ms: float = Field(5000, ge=0)
    is_leaving: bool = False
    is_silent: bool = False
    is_refusing: bool = False
    shards: list[ShardOption] = Field(default_factory=lambda: make_layout(4))


class _Actions(BaseModel):
    """Actions that a control message can request besides changes of options."""

    model_config = ConfigDict(extra="forbid")

    fall_over: bool = False
    go_cold: bool = False
    silence_open: bool = False
    reset_stats: bool = False
    versions: list[int] | None = None


def make_layout(
    total: int, versions: Sequence[int] = (1,), first: int = 0, last: int | None = None
) -> list[ShardOption]:
    """Return the shards `first` to `last` of a key space split into `total` nearly equal shards.

    `last` is inclusive; without it, all shards from `first` on are returned.
    """
    bounds = [KEY_SPACE_SIZE * position // total for position in range(total + 1)]
    chosen = range(first, total if last is None else last + 1)
    return [
        ShardOption(
            shard=f"s{position}of{total}",
            low=bounds[position],
            high=bounds[position + 1],
            versions=list(versions),
        )
        for position in chosen
    ]


def make_rows(shard: ShardOption, version: int, query: str, limit: int) -> list[dict[str, Any]]:
    """Return up to `limit` rows; every replica of `shard` returns the same."""
    rows = []
    for position in range(min(limit, ROWS_PER_SHARD)):
        digest = xxhash.xxh64_intdigest(f"{shard.shard}/{version}/{query}/{position}".encode())
        rows.append(
            {
                "key": shard.low + digest % (shard.high - shard.low),
                "score": (digest >> 11) / 2**53,
                "text": f"{shard.shard}@{version} {query}",
            }
        )
    return rows


class _Call:
    """A call that occupies a slot; `stopped` gets the reason if it ends before it is completed."""

    def __init__(self, request_id: str, cold_epoch: int) -> None:
        self.request_id = request_id
        self.cold_epoch = cold_epoch
        self.stopped: asyncio.Future[str] = asyncio.get_running_loop().create_future()

    def stop(self, reason: str) -> None:
        """End the call early; a second reason is ignored."""
        if not self.stopped.done():
            self.stopped.set_result(reason)


class _Connection(asyncio.Protocol):
    """Wraps the HTTP protocol to limit connections, delay the first read and drop received data.

    `handler` is the wrapped protocol; a silent connection ignores what it receives.
    """

    def __init__(self, upstream: "UpstreamStandIn", handler: Any) -> None:
        self.handler = handler
        self.is_silent = False
        self.lost = asyncio.Event()
        self._upstream = upstream
        self._transport: Any = None
        self._is_open = False

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        if not self._upstream.admit_connection(self):
            self.reset()
            return
        self._is_open = True
        self.handler.connection_made(transport)
        setup_ms = self._upstream.options.setup_ms
        if setup_ms:
            transport.pause_reading()
            asyncio.get_running_loop().call_later(setup_ms / 1000, self._start_reading)

    def _start_reading(self) -> None:
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        if self._is_open and not self.is_silent:
            self.handler.data_received(data)

    def eof_received(self) -> Any:
        return self.handler.eof_received() if self._is_open else None

    def pause_writing(self) -> None:
        self.handler.pause_writing()

    def resume_writing(self) -> None:
        self.handler.resume_writing()

    def connection_lost(self, error: Exception | None) -> None:
        self.lost.set()
        self._upstream.remove_connection(self)
        if self._is_open:
            self.handler.connection_lost(error)

    def reset(self) -> None:
        """Close with a TCP reset, as when a process is killed."""
        raw = self._transport.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        self._transport.abort()


class UpstreamStandIn:
    """One upstream on loopback in the running event loop.

    The control endpoint has its own port, so that it answers while the upstream is silent, refuses
    connections or has crashed, and does not count against the upstream's connection limit.
    """

    def __init__(self, options: UpstreamOptions | None = None) -> None:
        self.options = options or UpstreamOptions()
        self.boot_id = ""
        self.address = ""
        self.control_address = ""
        self._boot_numbers = count(1)
        self._order_numbers = count(1)
        self._random = RandomSource(self.options.seed)
        self._calls: set[_Call] = set()
        self._connections: set[_Connection] = set()
        self._cold_epoch = 0
        self._cold_until_ms = 0.0
        self._down_until_ms = 0.0
        self._leaving_since_ms = 0.0
        self._cached_health: tuple[float, dict[str, Any]] | None = None
        self._port_socket: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._restart_timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._runners: list[web.AppRunner] = []
        self._reset_stats()

    # Lifecycle

    async def start(self, port: int = 0, control_port: int = 0) -> None:
        """Bind both ports (0: an ephemeral one); raise OSError if a port is in use."""
        # A bound socket that does not listen reserves the port while connections are refused.
        self._port_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._port_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._port_socket.bind(("127.0.0.1", port))
        self.address = f"127.0.0.1:{self._port_socket.getsockname()[1]}"
        self._service_runner = await self._make_runner(self._make_service_app())
        control_runner = await self._make_runner(self._make_control_app())
        site = web.TCPSite(control_runner, "127.0.0.1", control_port)
        await site.start()
        self.control_address = f"127.0.0.1:{control_runner.addresses[0][1]}"
        self._boot()
        await self._update_listener()

    async def close(self) -> None:
        """Reset all connections and release both ports."""
        self._stop_listening()
        if self._restart_timer:
            self._restart_timer.cancel()
        for task in self._tasks:
            task.cancel()
        self._drop_connections("closed")
        for runner in self._runners:
            await runner.cleanup()
        if self._port_socket:
            self._port_socket.close()

    async def _make_runner(self, app: web.Application) -> web.AppRunner:
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        self._runners.append(runner)
        return runner

    def _make_service_app(self) -> web.Application:
        app = web.Application(middlewares=[self._count_and_handle])
        app.router.add_post("/search", self._handle_search)
        app.router.add_post("/orders", self._handle_order)
        app.router.add_delete("/requests/{id}", self._handle_cancel)
        app.router.add_get("/index", self._describe_index)
        app.router.add_get("/health", self._report_health)
        return app

    def _make_control_app(self) -> web.Application:
        app = web.Application()
        app.router.add_post("/control", self._handle_control)
        app.router.add_get("/control/stats", self._handle_stats)
        return app

    def _now_ms(self) -> float:
        return asyncio.get_running_loop().time() * 1000

    def _boot(self) -> None:
        self.boot_id = f"{self.options.name}-{next(self._boot_numbers)}"
        self._start_cold_period()

    def _start_cold_period(self) -> None:
        self._cold_epoch += 1
        self._cold_until_ms = self._now_ms() + self.options.cold_ms

    @property
    def is_cold(self) -> bool:
        """Return whether more than `cold_calls` concurrent calls would crash the upstream."""
        return self._now_ms() < self._cold_until_ms

    # Listening

    async def _update_listener(self) -> None:
        is_accepting = not self.options.is_refusing and self._now_ms() >= self._down_until_ms
        if not is_accepting:
            self._stop_listening()
        elif self._server is None:
            host, port = self.address.split(":")
            self._server = await asyncio.get_running_loop().create_server(
                self._create_connection, host, int(port), reuse_address=True, backlog=LISTEN_BACKLOG
            )

    def _stop_listening(self) -> None:
        if self._server:
            self._server.close()
            self._server = None

    def _create_connection(self) -> _Connection:
        return _Connection(self, self._service_runner.server())

    def admit_connection(self, connection: _Connection) -> bool:
        """Count a new connection; return False if the limit is reached."""
        if len(self._connections) >= self.options.connections:
            self.over_limit_connections += 1
            return False
        self._connections.add(connection)
        self.max_connections = max(self.max_connections, len(self._connections))
        return True

    def remove_connection(self, connection: _Connection) -> None:
        """Remove a closed connection from the count."""
        self._connections.discard(connection)

    def _drop_connections(self, reason: str) -> None:
        for call in self._calls:
            call.stop(reason)
        self._calls.clear()
        for connection in list(self._connections):
            connection.reset()

    def crash(self) -> None:
        """Reset all connections, refuse new ones for `fallen_ms` and restart cold as a new boot."""
        self.crash_count += 1
        self._down_until_ms = self._now_ms() + self.options.fallen_ms
        self._stop_listening()
        self._drop_connections("fell_over")
        if self._restart_timer:
            self._restart_timer.cancel()
        loop = asyncio.get_running_loop()
        self._restart_timer = loop.call_later(
            self.options.fallen_ms / 1000 + RESTART_MARGIN_S, self._restart
        )

    def _restart(self) -> None:
        self._boot()
        task = asyncio.get_running_loop().create_task(self._update_listener())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Calls

    @web.middleware
    async def _count_and_handle(self, request: web.Request, handler: Any) -> web.StreamResponse:
        connection = next((c for c in self._connections if c.handler is request.protocol), None)
        self.calls_by_kind[f"{request.method} /{request.path.split('/')[1]}"] += 1
        response = await handler(request)
        response.headers["X-Request-Id"] = request.headers.get("X-Request-Id", "")
        if connection and (connection.is_silent or self.options.is_silent):
            await connection.lost.wait()
        return response

    async def _handle_search(self, request: web.Request) -> web.Response:
        try:
            body = await request.json()
            version, query, limit = int(body["version"]), str(body["query"]), int(body["limit"])
            names = [str(name) for name in body["shards"]]
        except (ValueError, KeyError, TypeError) as error:
            return _make_error_response(400, f"bad search request: {error!r}")
        refusal = await self._run_call(request)
        if refusal:
            return refusal
        return web.json_response(self._answer_search(names, version, query, limit))

    def _answer_search(
        self, names: Sequence[str], version: int, query: str, limit: int
    ) -> dict[str, Any]:
        shard_results, missing = [], []
        layout = {item.shard: item for item in self.options.shards}
        for name in names:
            item = layout.get(name)
            if item is None:
                missing.append({"shard": name, "error": "unknown_shard"})
            elif version not in item.versions:
                missing.append({"shard": name, "error": "version_gone"})
            else:
                rows = make_rows(item, version, query, limit)
                shard_range = {"shard": name, "low": item.low, "high": item.high}
                shard_results.append({**shard_range, "version": version, "rows": rows})
        return {"shards": shard_results, "missing": missing}

    async def _handle_order(self, request: web.Request) -> web.Response:
        try:
            await request.json()
        except ValueError as error:
            return _make_error_response(400, f"bad order: {error!r}")
        key = request.headers.get("Idempotency-Key", "")
        numbers: list[str] = []

        def record_execution() -> None:
            # The order takes effect at the start, so a loss after acceptance leaves it executed.
            self.executions[key] += 1
            numbers.append(f"{self.options.name}-{next(self._order_numbers)}")

        refusal = await self._run_call(request, record_execution)
        return refusal or web.json_response({"order_number": numbers[0]})

    async def _run_call(self, request: web.Request, on_accepted: Any = None) -> web.Response | None:
        """Occupy a slot for the service time; return an error response if it is cut short.

        `on_accepted` is called once the call is accepted.
        """
        try:
            deadline_ms = float(request.headers.get("X-Deadline-Ms", "60000"))
        except ValueError:
            return _make_error_response(400, "X-Deadline-Ms is not a number")
        if deadline_ms <= 0:
            return _make_error_response(504, "deadline past", not_run=True)
        refusal = self._check_capacity()
        if refusal:
            return refusal
        call = _Call(request.headers.get("X-Request-Id", ""), self._cold_epoch)
        self._calls.add(call)
        self._record_concurrency()
        if on_accepted:
            on_accepted()
        service_ms = self._draw_service_ms()
        try:
            await asyncio.wait({call.stopped}, timeout=min(service_ms, deadline_ms) / 1000)
        finally:
            self._calls.discard(call)
        if call.stopped.done():
            return _make_error_response(499, call.stopped.result())
        return _make_error_response(504, "deadline past") if service_ms > deadline_ms else None

    def _check_capacity(self) -> web.Response | None:
        if self.options.is_leaving:
            self.last_call_after_leaving_ms = self._now_ms() - self._leaving_since_ms
        calls_in_epoch = sum(call.cold_epoch == self._cold_epoch for call in self._calls)
        if self.is_cold and calls_in_epoch >= self.options.cold_calls:
            self.over_limit_calls += 1
            self.crash()
            return _make_error_response(503, "fell over")
        if len(self._calls) >= self.options.slots:
            self.over_limit_calls += 1
            return _make_error_response(503, "no free slot", not_run=True)
        return None

    def _record_concurrency(self) -> None:
        self.max_calls = max(self.max_calls, len(self._calls))
        if self.is_cold:
            calls_in_epoch = sum(call.cold_epoch == self._cold_epoch for call in self._calls)
            self.max_cold_calls = max(self.max_cold_calls, calls_in_epoch)

    def _draw_service_ms(self) -> float:
        service_ms = self.options.latency_ms
        if self._random.random() < self.options.straggler_probability:
            service_ms *= self.options.straggler_factor
        return service_ms * (self.options.cold_factor if self.is_cold else 1)

    async def _handle_cancel(self, request: web.Request) -> web.Response:
        calls = [call for call in self._calls if call.request_id == request.match_info["id"]]
        for call in calls:
            call.stop("cancelled")
        return web.Response(status=204 if calls else 404)

    async def _describe_index(self, request: web.Request) -> web.Response:
        shards = [item.model_dump() for item in self.options.shards]
        leaving = self.options.is_leaving
        return web.json_response({"boot_id": self.boot_id, "leaving": leaving, "shards": shards})

    async def _report_health(self, request: web.Request) -> web.Response:
        now_ms = self._now_ms()
        if self.options.health == "misleading":
            return web.json_response({"status": "ok", "load": 0.0})
        lag_ms = self.options.health_lag_ms if self.options.health == "lagging" else 0.0
        if self._cached_health is None or now_ms - self._cached_health[0] >= lag_ms:
            load = len(self._calls) / self.options.slots
            self._cached_health = now_ms, {"status": "cold" if self.is_cold else "ok", "load": load}
        return web.json_response(self._cached_health[1])

    # Control

    async def apply_control_message(self, message: dict[str, Any]) -> None:
        """Change options and perform actions; raise ValueError for an unknown or invalid field.

        Options are the fields of `UpstreamOptions`. Actions are `fall_over` (crash), `go_cold`,
        `silence_open` (silence the open connections for the rest of their lifetime), `reset_stats`
        and `versions` (set the versions of all shards).
        """
        names = _Actions.model_fields
        actions = _Actions.model_validate({k: v for k, v in message.items() if k in names})
        changes = {k: v for k, v in message.items() if k not in names}
        options = UpstreamOptions.model_validate({**self.options.model_dump(), **changes})
        if options.is_leaving and not self.options.is_leaving:
            self._leaving_since_ms = self._now_ms()
            self.last_call_after_leaving_ms = 0.0
        if "seed" in changes:
            self._random = RandomSource(options.seed)
        self.options = options
        self._perform_actions(actions)
        if options.is_refusing:
            self._drop_connections("refused")
        await self._update_listener()

    def _perform_actions(self, actions: _Actions) -> None:
        if actions.versions is not None:
            for item in self.options.shards:
                item.versions = list(actions.versions)
        if actions.reset_stats:
            self._reset_stats()
        if actions.go_cold:
            self._start_cold_period()
        if actions.silence_open:
            for connection in self._connections:
                connection.is_silent = True
        if actions.fall_over:
            self.crash()

    def _reset_stats(self) -> None:
        self.max_calls = 0
        self.max_cold_calls = 0
        self.max_connections = 0
        self.over_limit_calls = 0
        self.over_limit_connections = 0
        self.crash_count = 0
        self.last_call_after_leaving_ms = 0.0
        self.executions: Counter[str] = Counter()
        self.calls_by_kind: Counter[str] = Counter()

    def stats(self) -> dict[str, Any]:
        """Return counters and maxima since the start or the last `reset_stats`."""
        return {
            "boot_id": self.boot_id,
            "is_cold": self.is_cold,
            "calls": len(self._calls),
            "max_calls": self.max_calls,
            "max_cold_calls": self.max_cold_calls,
            "connections": len(self._connections),
            "max_connections": self.max_connections,
            "over_limit_calls": self.over_limit_calls,
            "over_limit_connections": self.over_limit_connections,
            "falls": self.crash_count,
            "last_call_after_leaving_ms": self.last_call_after_leaving_ms,
            "executions": dict(self.executions),
            "calls_by_kind": dict(self.calls_by_kind),
        }

    async def _handle_control(self, request: web.Request) -> web.Response:
        try:
            await self.apply_control_message(dict(await request.json()))
        except (ValueError, TypeError) as error:
            return _make_error_response(400, f"bad control message: {error}")
        return web.json_response(self.stats())

    async def _handle_stats(self, request: web.Request) -> web.Response:
        return web.json_response(self.stats())


def _make_error_response(status: int, message: str, not_run: bool = False) -> web.Response:
    headers = {"X-Not-Run": "1"} if not_run else {}
    return web.json_response({"error": message}, status=status, headers=headers)


class PlannedUpstream(NamedTuple):
    """A stand-in and the ports that it will listen on; 0 selects a free one."""

    upstream: UpstreamStandIn
    port: int
    control_port: int


def plan_upstreams(
    document: ChangeFile, shards: int, changes: Mapping[str, Any]
) -> list[PlannedUpstream]:
    """Return a stand-in for each upstream of a configuration document.

    Each holds all `shards` shards, so the upstreams of a service are replicas of each other.
    `changes` are options for all of them. Raises ValueError for an address that is not on
    127.0.0.1, and pydantic.ValidationError for an invalid option.
    """
    planned = []
    for name, entry in document.upstreams.items():
        host, _, port = entry.address.rpartition(":")
        if host != "127.0.0.1":
            raise ValueError(f"upstream {name}: {entry.address} is not on 127.0.0.1")
        fields = {"name": name, "slots": entry.slots, "connections": entry.max_connections}
        options = UpstreamOptions.model_validate(
            {"shards": make_layout(shards), **fields, **changes}
        )
        planned.append(PlannedUpstream(UpstreamStandIn(options), int(port), 0))
    return planned


def _load_document(path: Path, shards: int, changes: Mapping[str, Any]) -> list[PlannedUpstream]:
    parsed = parse_yaml(path.read_text(encoding="utf-8"), str(path), ChangeFile)
    if isinstance(parsed, Failure):
        click.echo(f"upstream stand-in: {parsed.message}", err=True)
        sys.exit(ExitStatus.BAD_DOCUMENT)
    return plan_upstreams(parsed, shards, changes)


def _load_options(path: Path) -> list[PlannedUpstream]:
    """Return a stand-in, on free ports, for each item of a JSON list of options.

    Raises ValueError if the file is not JSON or an option is invalid.
    """
    items = json.loads(path.read_text(encoding="utf-8"))
    options = [UpstreamOptions.model_validate(item) for item in items]
    return [PlannedUpstream(UpstreamStandIn(item), 0, 0) for item in options]


async def _run_until_signalled(
    planned: Sequence[PlannedUpstream], format_line: Callable[[], str]
) -> None:
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    try:
        for upstream, port, control_port in planned:
            await upstream.start(port, control_port)
        print(format_line(), flush=True)
        await stop.wait()
    finally:
        for upstream, *_ in planned:
            await upstream.close()


def _make_address_fields(upstream: UpstreamStandIn) -> dict[str, str]:
    return {"address": upstream.address, "control_address": upstream.control_address}


@click.command()
@click.option(
    "--port", default=0, show_default=True, help="Port on 127.0.0.1; 0 selects a free one."
)
@click.option("--control-port", default=0, show_default=True, help="Port of the control endpoint.")
@click.option("--shards", default=4, show_default=True, help="Number of shards in the key space.")
@click.option("--first", default=0, show_default=True, help="First shard served, counted from 0.")
@click.option(
    "--last",
    default=None,
    type=int,
    help="Last shard served; by default the last of the key space.",
)
@click.option(
    "--set", "changes", multiple=True, metavar="NAME=VALUE", help="Set an option; may be repeated."
)
@click.option("--document", type=click.Path(exists=True, dir_okay=False, path_type=Path),
              metavar="FILE", help="Run a stand-in for each upstream of this configuration "
              "document, at its address and with all shards.")  # fmt: skip
@click.option("--options", "options_file",
              type=click.Path(exists=True, dir_okay=False, path_type=Path), metavar="FILE",
              help="Run one stand-in, on free ports, per item of this JSON list.")  # fmt: skip
def main(
    port: int,
    control_port: int,
    shards: int,
    first: int,
    last: int | None,
    changes: tuple[str, ...],
    document: Path | None,
    options_file: Path | None,
) -> None:
    """Run a stand-in for an upstream and print its addresses as one line of JSON.

    With --document or --options the line contains the addresses of each upstream by name.

    Options for --set: name, slots, connections, setup_ms, latency_ms, cold_ms, cold_factor,
    fallen_ms, straggler_probability, straggler_factor, seed, health and others; the control
    endpoint accepts the same names.
    """
    if document and (port or control_port or first or last is not None):
        raise click.UsageError("--document can only be combined with --shards and --set")
    if options_file and (document or port or control_port or first or last is not None or changes):
        raise click.UsageError("--options cannot be combined with other options")
    try:
        values = dict(item.split("=", 1) for item in changes)
        if options_file:
            planned = _load_options(options_file)
        elif document:
            planned = _load_document(document, shards, values)
        else:
            layout = make_layout(shards, first=first, last=last)
            options = UpstreamOptions.model_validate({"shards": layout, **values})
            planned = [PlannedUpstream(UpstreamStandIn(options), port, control_port)]
    except (ValidationError, ValueError, IndexError) as error:
        click.echo(f"upstream stand-in: invalid option: {error}", err=True)
        sys.exit(ExitStatus.USAGE)

    def format_line() -> str:
        if not document and not options_file:
            return json.dumps(_make_address_fields(planned[0].upstream))
        shown = {
            item.upstream.options.name: _make_address_fields(item.upstream) for item in planned
        }
        return json.dumps(shown)

    try:
        asyncio.run(_run_until_signalled(planned, format_line))
    except OSError as error:
        click.echo(f"upstream stand-in: cannot listen: {error}", err=True)
        sys.exit(ExitStatus.UNAVAILABLE)


if __name__ == "__main__":
    main()
