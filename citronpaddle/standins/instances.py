"""A stand-in for the platform's instance list, with a configurable lag.

`GET /v1/instances` returns the list as it was `lag_ms` ago. Tests change the list by `PUT` and
`DELETE` on `/v1/instances/{name}`, and the behaviour by `PUT /control` with `lag_ms` and `is_down`.
"""

import asyncio
import json
from collections import Counter, deque
from typing import Any

import click
from aiohttp import web

from ..clock import Clock, SystemClock

FIELDS = ("failure_domain", "peer_address", "http_address")
STATES = ("live", "leaving")
MAX_LIST_STATES = 10_000


class InstanceListStandIn:
    """An HTTP server in the running event loop; `lag_ms` and `is_down` can be changed."""

    def __init__(
        self,
        clock: Clock | None = None,
        host: str = "127.0.0.1",
        port: int = 0,
        lag_ms: float = 0.0,
    ) -> None:
        self.lag_ms = lag_ms
        self.is_down = False
        self.calls: Counter[str] = Counter()
        self._clock = clock or SystemClock()
        self._host = host
        self._port = port
        self._runner: web.AppRunner | None = None
        self._instances: dict[str, dict[str, str]] = {}
        # States of the list, oldest first, each with the time in ms from which it applied.
        self._list_states: deque[tuple[float, dict[str, dict[str, str]]]] = deque(
            [(float("-inf"), {})]
        )

    @property
    def address(self) -> str:
        """Return `host:port`; the port is known after `start`."""
        return f"{self._host}:{self._port}"

    async def start(self) -> str:
        """Listen and return the address; raise OSError if the port is in use."""
        app = web.Application()
        app.router.add_get("/v1/instances", self._get_instances)
        app.router.add_put("/v1/instances/{name}", self._put_instance)
        app.router.add_delete("/v1/instances/{name}", self._delete_instance)
        app.router.add_put("/control", self._put_control)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.2)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, self._port, reuse_address=True).start()
        self._port = self._runner.addresses[0][1]
        return self.address

    async def stop(self) -> None:
        """Close the port and all connections; the list is kept."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def put(self, name: str, fields: dict[str, str]) -> None:
        """Add or replace an instance; raise ValueError if a field is missing or wrong."""
        missing = [field for field in FIELDS if not isinstance(fields.get(field), str)]
        if missing:
            raise ValueError(f"instance {name}: {missing[0]} must be given as text")
        state = fields.get("state", "live")
        if state not in STATES:
            raise ValueError(f"instance {name}: state must be one of {', '.join(STATES)}")
        address_fields = {field: fields[field] for field in FIELDS}
        self._instances = self._instances | {name: {"name": name, "state": state, **address_fields}}
        self._record_state()

    def delete(self, name: str) -> bool:
        """Remove an instance and return whether it was listed."""
        was_listed = name in self._instances
        self._instances = {key: value for key, value in self._instances.items() if key != name}
        self._record_state()
        return was_listed

    def get_visible(self) -> list[dict[str, str]]:
        """Return the list as it was `lag_ms` ago, sorted by name."""
        visible_until_ms = self._clock.now_ms() - self.lag_ms
        visible: dict[str, dict[str, str]] = {}
        for since_ms, state in self._list_states:
            if since_ms > visible_until_ms:
                break
            visible = state
        return [visible[name] for name in sorted(visible)]

    def _record_state(self) -> None:
        self._list_states.append((self._clock.now_ms(), self._instances))
        if len(self._list_states) > MAX_LIST_STATES:
            self._list_states.popleft()

    async def _get_instances(self, request: web.Request) -> web.Response:
        self.calls["get"] += 1
        if self.is_down:
            return web.json_response({"error": "the instance list is down"}, status=503)
        return web.json_response({"instances": self.get_visible()})

    async def _put_instance(self, request: web.Request) -> web.Response:
        try:
            body: dict[str, Any] = await request.json()
            self.put(request.match_info["name"], body)
        except (json.JSONDecodeError, ValueError, AttributeError) as error:
            return web.json_response({"error": str(error)}, status=400)
        return web.json_response({})

    async def _delete_instance(self, request: web.Request) -> web.Response:
        was_listed = self.delete(request.match_info["name"])
        return web.json_response({}, status=200 if was_listed else 404)

    async def _put_control(self, request: web.Request) -> web.Response:
        body = await request.json()
        unknown = sorted(body.keys() - {"lag_ms", "is_down"})
        if unknown:
            return web.json_response({"error": f"unknown field {unknown[0]}"}, status=400)
        self.lag_ms = float(body.get("lag_ms", self.lag_ms))
        self.is_down = bool(body.get("is_down", self.is_down))
        return web.json_response({"lag_ms": self.lag_ms, "is_down": self.is_down})


@click.command(context_settings={"show_default": True})
@click.option("--host", default="127.0.0.1", help="Address to listen on.")
@click.option("--port", default=0, help="Port to listen on; 0 selects a free one.")
@click.option("--lag-ms", default=0.0, help="Age of the returned list in ms.")
def main(host: str, port: int, lag_ms: float) -> None:
    """Run a stand-in for the instance list until interrupted.

    Prints its address as the first line. Data is kept in memory only.
    """
    try:
        asyncio.run(
            _run_until_interrupted(InstanceListStandIn(host=host, port=port, lag_ms=lag_ms))
        )
    except KeyboardInterrupt:
        pass


async def _run_until_interrupted(standin: InstanceListStandIn) -> None:
    click.echo(await standin.start())
    await asyncio.Event().wait()


if __name__ == "__main__":
    main()
