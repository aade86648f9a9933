"""ASGI middleware that limits the body size and cancels requests of disconnected callers."""

import asyncio
import contextlib
from typing import Any

TOO_LARGE_KEY = "citronpaddle.is_too_large"
# A body over the limit is read up to this multiple of the limit, so that the caller receives the
# answer instead of a connection reset.
MAX_READ_FACTOR = 4


class RequestMiddleware:
    """Buffers the body of each request, then calls the application.

    `TOO_LARGE_KEY` in the scope says whether the body exceeds the limit. If the caller disconnects,
    the request is cancelled.
    """

    def __init__(self, app: Any, max_body_bytes: int) -> None:
        self._app = app
        self._max_body_bytes = max_body_bytes

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        body = await self._read_body(receive)
        if body is None:
            return
        scope[TOO_LARGE_KEY] = len(body) > self._max_body_bytes
        _set_content_length(scope, len(body))
        application_task = asyncio.ensure_future(self._app(scope, _make_receive(body), send))
        disconnect_task = asyncio.ensure_future(_wait_for_disconnect(receive))
        await asyncio.wait({application_task, disconnect_task}, return_when=asyncio.FIRST_COMPLETED)
        disconnect_task.cancel()
        if not application_task.done():
            application_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await application_task

    async def _read_body(self, receive: Any) -> bytes | None:
        """Return the body, truncated one byte above the limit; None if the caller disconnected."""
        body = bytearray()
        size = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return None
            part = message.get("body", b"")
            size += len(part)
            body += part[: self._max_body_bytes + 1 - len(body)]
            if not message.get("more_body") or size > MAX_READ_FACTOR * self._max_body_bytes:
                return bytes(body)


def _set_content_length(scope: Any, size: int) -> None:
    headers = [pair for pair in scope["headers"] if pair[0] != b"content-length"]
    scope["headers"] = [*headers, (b"content-length", str(size).encode())]


def _make_receive(body: bytes) -> Any:
    pending = [{"type": "http.request", "body": body, "more_body": False}]

    async def receive() -> Any:
        return pending.pop() if pending else await asyncio.get_running_loop().create_future()

    return receive


async def _wait_for_disconnect(receive: Any) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
