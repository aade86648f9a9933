"""Clients: one request on a new connection, and its complete answer."""

import asyncio
import itertools
from typing import NamedTuple

HOST = "h.example"
_ids = itertools.count(1)


class Answer(NamedTuple):
    """An answer; `status` is 0 if the connection ended without a complete one."""

    status: int
    headers: dict[str, str]
    body: bytes


NO_ANSWER = Answer(0, {}, b"")


def make_attempt_id() -> str:
    """Return an attempt id that no other request has."""
    return f"{next(_ids):016x}"


async def send(
    port: int,
    target: str,
    attempt: str = "",
    method: str = "GET",
    body: bytes = b"",
    deadline_ms: int = 1_000,
    key: str = "",
) -> Answer:
    """Send one request to a port and return its answer."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", "Connection: close"]
    if attempt:
        lines += [f"Citronpaddle-Attempt-Id: {attempt}", f"Citronpaddle-Deadline-Ms: {deadline_ms}"]
    if key:
        lines.append(f"Authorization: Token {key}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    try:
        async with asyncio.timeout(deadline_ms / 1_000 + 1.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write("\r\n".join([*lines, "", ""]).encode() + body)
                return await _read_answer(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return NO_ANSWER


async def _read_answer(reader: asyncio.StreamReader) -> Answer:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for field in head[1:]:
        name, _, value = field.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Answer(int(head[0].split(" ")[1]), headers, body)
