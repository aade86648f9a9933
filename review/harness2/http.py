"""A small HTTP/1.1 server connection for the stand-ins, on asyncio streams."""

import asyncio
from typing import NamedTuple

REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed"}


class Request(NamedTuple):
    """A complete request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, or None at its end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *fields = head.split("\r\n")
        method, target, _ = line.split(" ")
        headers = {}
        for field in fields:
            name, _, value = field.partition(":")
            if name:
                headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def format_response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class HttpServer:
    """A server on loopback; a subclass answers each request in `handle`."""

    def __init__(self) -> None:
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port, or on the previous one after a stop."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.handle(request, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer a request; return whether the connection is kept."""
        raise NotImplementedError
