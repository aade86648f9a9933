"""A stand-in for an upstream with search, orders, cold starts, call limits and injected faults."""

import asyncio
import socket
import struct
from collections import Counter
from collections.abc import Sequence
from itertools import count
from typing import Any

import xxhash
from aiohttp import web
from pydantic import BaseModel, ConfigDict

from ..randomness import RandomSource
from .upstream_options import ShardOption, UpstreamOptions

ROWS_PER_SHARD = 3
LISTEN_BACKLOG = 1024
# Added to the down time so that the restart does not come before its end.
RESTART_MARGIN_S = 0.001
# A linger time of 0 s makes the kernel reset the connection on close.
_LINGER_RESET = struct.pack("ii", 1, 0)


class _Actions(BaseModel):
    """Actions that a control message can request besides changes of options."""

    model_config = ConfigDict(extra="forbid")

    fall_over: bool = False
    go_cold: bool = False
    silence_open: bool = False
    reset_stats: bool = False
    versions: list[int] | None = None


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
