"""Implements the codecs of callers' requests and of the store's documents for the platform."""

import json

from ..adapters.httpserver import HttpAnswer, HttpRequest
from ..callercodec import CallerCodec, CallerRequest
from ..forwarding import RoutedRequest
from ..policy.calls import Outcome
from ..policy.catalog import Catalog
from ..policy.registry import Upstream
from ..sharedstate import StateDecoder
from . import documents, headers


class PlatformCallerCodec(CallerCodec):
    """Decodes callers' requests and encodes answers with the platform's headers."""

    def read_request(self, request: HttpRequest) -> CallerRequest | None:
        fields = headers.read_fields(request)
        if fields is None:
            return None
        return CallerRequest(
            fields.attempt_id.decode("latin-1"),
            fields.host,
            fields.path,
            fields.deadline_ms,
            headers.read_key(request),
            request.method == b"HEAD",
        )

    def make_content(
        self, request: HttpRequest, team: str | None, has_teams: bool
    ) -> headers.CallContent:
        return headers.make_content(request, team, has_teams)

    def make_unauthorized(self) -> HttpAnswer:
        return headers.make_unauthorized()

    def make_answer(self, request: RoutedRequest, outcome: Outcome) -> HttpAnswer:
        return headers.make_answer(request, outcome)

    def make_refusal(self, reason: str, retry_ms: float) -> HttpAnswer:
        return headers.make_refusal(reason, retry_ms)

    def make_over_quota(self, retry_ms: float) -> HttpAnswer:
        return headers.make_over_quota(retry_ms)

    def find_resolve_domain(self, request: HttpRequest) -> str | None:
        if request.target.partition(b"?")[0] != headers.RESOLVE_PATH:
            return None
        return headers.read_resolve_fields(request.target).domain

    def make_address_list(self, addresses: list[str], address_ttl_s: float) -> HttpAnswer:
        # `ttl_s` is how long the caller may keep the list, in seconds.
        body = json.dumps({"addrs": addresses, "ttl_s": address_ttl_s}).encode()
        return HttpAnswer(200, ((b"Content-Type", b"application/json"),), body)


class PlatformStateDecoder(StateDecoder):
    """Decodes the keys and documents in the platform's store."""

    def is_catalog(self, key: str) -> bool:
        return key == documents.CONFIG_KEY

    def find_domain_taken_out(self, key: str) -> str | None:
        if key.startswith(documents.EVACUATION_PREFIX):
            return documents.decode_evacuation(key)
        return None

    def find_upstream_id(self, key: str) -> str | None:
        if key.startswith(documents.UPSTREAM_PREFIX):
            return key[len(documents.UPSTREAM_PREFIX) :]
        return None

    def decode_catalog(self, value: bytes) -> Catalog | str:
        try:
            return documents.decode_catalog(value)
        except documents.DocumentError as error:
            return str(error)

    def decode_upstream(self, upstream_id: str, value: bytes, now_ms: float) -> Upstream | str:
        try:
            return documents.decode_upstream(upstream_id, value, now_ms)
        except documents.DocumentError as error:
            return str(error)
