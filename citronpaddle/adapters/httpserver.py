"""Requests of callers and the answers to them, and the bytes of an answer."""

from typing import NamedTuple

_REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
# Header fields that apply to a single connection, and those that are set anew on each connection.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


class HttpRequest(NamedTuple):
    """A complete request; `target` is the request target as the caller sent it."""

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    received_ms: float


class HttpAnswer(NamedTuple):
    """An answer; `headers` are without connection headers and Content-Length."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""


def list_end_to_end(
    headers: tuple[tuple[bytes, bytes], ...], drop: frozenset[bytes] = frozenset()
) -> list[tuple[bytes, bytes]]:
    """Return the headers without hop-by-hop headers and those in `drop` (lower case)."""
    connection_options = {
        name.strip()
        for header, value in headers
        if header.lower() == b"connection"
        for name in value.lower().split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if (lowered := name.lower()) not in HOP_BY_HOP
        and lowered not in connection_options
        and lowered not in drop
    ]


def format_answer(answer: HttpAnswer, closes_connection: bool, is_head: bool) -> bytes:
    """Return the bytes of an answer; the answer to a HEAD request has no body."""
    has_body = answer.status >= 200 and answer.status not in (204, 304)
    reason = _REASON_PHRASES.get(answer.status, b"Status")
    lines = [b"HTTP/1.1 %d %s\r\n" % (answer.status, reason)]
    lines += [b"%s: %s\r\n" % header for header in answer.headers]
    if has_body:
        lines.append(b"Content-Length: %d\r\n" % len(answer.body))
    if closes_connection:
        lines.append(b"Connection: close\r\n")
    lines.append(b"\r\n")
    if has_body and not is_head:
        lines.append(answer.body)
    return b"".join(lines)
