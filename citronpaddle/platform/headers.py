"""Decodes and encodes the platform's HTTP headers, requests, calls and answers."""

import re
from typing import NamedTuple
from urllib.parse import parse_qs

from ..adapters.httpclient import HttpResponse
from ..adapters.httpserver import HttpAnswer, HttpRequest, list_end_to_end
from ..forwarding import CallCodec, RoutedRequest
from ..policy.calls import (
    Answered,
    CallFailure,
    Failed,
    FailureKind,
    Outcome,
    Refused,
    Reply,
    UnknownLimit,
)
from ..policy.records import merge_records
from ..policy.registry import Upstream

# Identifies one attempt of a caller; upstreams repeat it in their responses.
ATTEMPT_ID = b"Citronpaddle-Attempt-Id"
# How long the sender of the request waits for the answer, in ms.
DEADLINE = b"Citronpaddle-Deadline-Ms"
# The id of the only upstream that may run the call; another one at its address answers 421.
EXPECTED_UPSTREAM = b"Citronpaddle-Expect-Instance"
# The upstream's signature of its response; despite its name the header holds no timestamp.
SIGNATURE = b"Citronpaddle-Server-Stamp"
# The signatures of the parts of which an answer was merged.
PART_SIGNATURES = b"Citronpaddle-Part-Stamps"
# The number of shards that are missing in the answer.
MISSING_PARTS = b"Citronpaddle-Missing-Parts"
# The rate in requests per second that an overloaded upstream takes from all instances together.
RATE_LIMIT = b"Server-Limit"
# The name of the caller's team, which upstreams get in place of the caller's key.
TEAM = b"Citronpaddle-Tenant"
# Set by an upstream that has not run the request and never will.
NOT_EXECUTED = b"citronpaddle-not-executed"

_SIGNATURE_KEY = SIGNATURE.lower()
_ATTEMPT_KEY = ATTEMPT_ID.lower()
_DEADLINE_KEY = DEADLINE.lower()
_REPLACED_HEADERS = frozenset({_DEADLINE_KEY, EXPECTED_UPSTREAM.lower()})
_RATE_LIMIT_KEY = RATE_LIMIT.lower()
_AUTHORIZATION_KEY = b"authorization"
# The credentials of a caller: the scheme and its team's key.
_CREDENTIALS = re.compile(rb"token +([\x21-\x7e]+)", re.IGNORECASE)
# Upstreams get no keys, and callers can't name their team themselves.
_IDENTITY_HEADERS = frozenset({_AUTHORIZATION_KEY, TEAM.lower()})
_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
_MAX_DEADLINE_MS = 86_400_000
_MAX_DEADLINE_DIGITS = 9
# Statuses that tell a caller that its request has not run. An upstream guarantees this only with
# the header NOT_EXECUTED; without it they are not passed on to the caller.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

READY_PATH = b"/citronpaddle/ready"
RESOLVE_PATH = b"/citronpaddle/resolve"


class CallerFields(NamedTuple):
    """The decoded headers of a caller's request; `deadline_ms` is None if it gives none."""

    host: str
    path: str
    attempt_id: bytes
    deadline_ms: float | None


class CallContent(NamedTuple):
    """A caller's request as sent to upstreams, without the headers that each call sets."""

    head: bytes
    body: bytes
    attempt_id: bytes


class ResolveFields(NamedTuple):
    """The query parameters of a caller that requests addresses; the values may be empty."""

    host: str
    domain: str


def read_fields(request: HttpRequest) -> CallerFields | None:
    """Return the fields of a caller's request, or None if it is malformed."""
    host: bytes | None = None
    attempt_id = b""
    deadline_ms: float | None = None
    for name, value in request.headers:
        key = name.lower()
        if key == b"host":
            if host is not None and host != value:
                return None
            host = value
        elif key == _ATTEMPT_KEY:
            attempt_id = value.strip()
        elif key == _DEADLINE_KEY and value.strip().isdigit():
            # int() refuses thousands of digits; the first ones suffice to exceed the maximum.
            digits = value.strip().lstrip(b"0")[:_MAX_DEADLINE_DIGITS] or b"0"
            deadline_ms = float(min(int(digits), _MAX_DEADLINE_MS))
    if not host or not request.target.startswith(b"/"):
        return None
    path = request.target.partition(b"?")[0]
    host_name = host.decode("latin-1").strip().lower()
    if ":" in host_name:
        host_name = host_name.rpartition(":")[0]
    return CallerFields(host_name, path.decode("latin-1"), attempt_id, deadline_ms)


def read_key(request: HttpRequest) -> str | None:
    """Return the key of the caller's team; None if there is none, or more than one."""
    credentials = {
        value.strip() for name, value in request.headers if name.lower() == _AUTHORIZATION_KEY
    }
    if len(credentials) != 1:
        return None
    match = _CREDENTIALS.fullmatch(credentials.pop())
    return match[1].decode("ascii") if match else None


def read_resolve_fields(target: bytes) -> ResolveFields:
    """Return the parameters of a request for addresses."""
    query = parse_qs(target.partition(b"?")[2].decode("latin-1"))
    return ResolveFields(query.get("name", [""])[0], query.get("zone", [""])[0])


def make_content(request: HttpRequest, team: str | None, has_teams: bool) -> CallContent:
    """Return the request as sent to upstreams: method, path, query and body are unchanged.

    Where callers are identified by keys, upstreams get the name of the `team`, if any, and no key.
    """
    lines = [b"%s %s HTTP/1.1\r\n" % (request.method, request.target)]
    dropped = _REPLACED_HEADERS | _IDENTITY_HEADERS if has_teams else _REPLACED_HEADERS
    attempt_id = b""
    for name, value in list_end_to_end(request.headers, dropped):
        lines.append(b"%s: %s\r\n" % (name, value))
        if name.lower() == _ATTEMPT_KEY:
            attempt_id = value.strip()
    if team is not None:
        lines.append(b"%s: %s\r\n" % (TEAM, team.encode("ascii")))
    if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"Content-Length: %d\r\n" % len(request.body))
    return CallContent(b"".join(lines), request.body, attempt_id)


class PlatformCodec(CallCodec):
    """Encodes calls to upstreams and decodes responses with the platform's headers."""

    def encode_call(self, request: CallContent, upstream: Upstream, remaining_ms: float) -> bytes:
        return b"%s%s: %d\r\n%s: %s\r\n\r\n%s" % (
            request.head,
            DEADLINE,
            max(1, int(remaining_ms)),
            EXPECTED_UPSTREAM,
            upstream.id.encode("latin-1"),
            request.body,
        )

    def is_response_to(self, request: CallContent, response: HttpResponse) -> bool:
        for name, value in response.headers:
            if name.lower() == _ATTEMPT_KEY:
                return value == request.attempt_id
        return True

    def decode_response(
        self, request: CallContent, response: HttpResponse, is_part: bool
    ) -> Reply | CallFailure:
        signature, is_rejected, is_encoded = _read_markers(response)
        if response.status == 421:
            return CallFailure(FailureKind.MISDIRECTED)
        if is_rejected:
            return CallFailure(FailureKind.REJECTED)
        if is_encoded:
            # Callers request no content encoding, so these bytes are not the upstream's body.
            return CallFailure(FailureKind.GARBLED)
        if response.status in _NOT_RUN_STATUSES:
            return CallFailure(FailureKind.ERROR)
        reply = Reply(response.status, response.headers, response.body, signature)
        if 200 <= response.status < 300:
            return reply if signature else CallFailure(FailureKind.GARBLED)
        if 300 <= response.status < 500 and not is_part:
            return reply
        return CallFailure(FailureKind.ERROR, reply)

    def read_limit(self, response: HttpResponse) -> float | UnknownLimit | None:
        for name, value in response.headers:
            if name.lower() == _RATE_LIMIT_KEY:
                text = value.strip()
                return float(text) if _DECIMAL.fullmatch(text) else UnknownLimit()
        return None


def _read_markers(response: HttpResponse) -> tuple[bytes, bool, bool]:
    """Return the signature, whether the call was rejected, and whether the body is encoded."""
    signature = b""
    is_rejected = False
    is_encoded = False
    for name, value in response.headers:
        key = name.lower()
        if key == _SIGNATURE_KEY:
            signature = value.strip()
        elif key == NOT_EXECUTED:
            is_rejected = True
        elif key == b"content-encoding":
            is_encoded = value.strip().lower() != b"identity"
    return signature, is_rejected, is_encoded


def make_answer(request: RoutedRequest, outcome: Outcome) -> HttpAnswer:
    """Return the answer to the caller for the outcome of its request."""
    if isinstance(outcome, Answered):
        if request.route.shards:
            return _make_merged_answer(request, outcome)
        reply = outcome.replies[0]
        return HttpAnswer(reply.status, tuple(list_end_to_end(reply.headers)), reply.body)
    attempt = (ATTEMPT_ID, request.content.attempt_id)
    if isinstance(outcome, Refused):
        return make_refusal(outcome.reason, outcome.retry_ms, (attempt,))
    assert isinstance(outcome, Failed)
    return HttpAnswer(504 if outcome.is_late else 502, (attempt,), outcome.reason.encode())


def make_refusal(
    reason: str, retry_ms: float, headers: tuple[tuple[bytes, bytes], ...] = ()
) -> HttpAnswer:
    """Return the answer 503 to a request that has not run, with a retry time of `retry_ms`."""
    return HttpAnswer(503, (_make_retry_after(retry_ms), *headers), reason.encode())


def make_over_quota(retry_ms: float) -> HttpAnswer:
    """Return the answer 429, with a retry time of `retry_ms`, to a request beyond a quota."""
    return HttpAnswer(429, (_make_retry_after(retry_ms),), b"over the quota of the team")


def _make_retry_after(retry_ms: float) -> tuple[bytes, bytes]:
    return b"Retry-After", b"%.3f" % (retry_ms / 1_000)


def make_unauthorized() -> HttpAnswer:
    """Return the answer 401 to a request without a valid key."""
    return HttpAnswer(401, ((b"WWW-Authenticate", b"Token"),), b"no valid key")


def _make_merged_answer(request: RoutedRequest, outcome: Answered) -> HttpAnswer:
    body = merge_records((reply.body for reply in outcome.replies), request.route.top_k)
    headers = (
        (ATTEMPT_ID, request.content.attempt_id),
        (PART_SIGNATURES, b", ".join(reply.signature for reply in outcome.replies)),
        (MISSING_PARTS, b"%d" % outcome.missing),
        (b"Content-Type", b"application/octet-stream"),
    )
    return HttpAnswer(200, headers, body)
