"""HTTP interface for callers: queries, orders, address lookup, status and configuration."""

import asyncio
import contextlib
import json
import socket
from abc import ABC, abstractmethod
from collections.abc import Iterator
from typing import Any, NamedTuple

import falcon.asgi
import uvicorn

from ..documents import Configuration
from ..errors import ErrorKind, Failure
from ..models import Address, QueryAnswer
from ..requests import OrderFields, QueryFields, parse_order, parse_query
from .guard import TOO_LARGE_KEY, RequestMiddleware

LEAVING_HEADER = "X-Citronpaddle-Leaving"


class OrderOutcome(NamedTuple):
    """The upstream's JSON answer to an order; `is_replayed` is true for a stored answer."""

    body: str
    is_replayed: bool


class AddressList(NamedTuple):
    """The result of an address lookup, which a caller may cache for `keep_ms`."""

    addresses: tuple[Address, ...]
    keep_ms: int
    config_revision: int


class EntryService(ABC):
    """The operations of an entry instance that the HTTP interface exposes."""

    @abstractmethod
    def make_request_id(self) -> str:
        """Return a new, unique request id."""

    @abstractmethod
    async def query(
        self, request_id: str, service: str, fields: QueryFields
    ) -> QueryAnswer | Failure:
        """Run a query on the upstreams of `service` and return the merged answer."""

    @abstractmethod
    async def order(
        self, request_id: str, service: str, fields: OrderFields
    ) -> OrderOutcome | Failure:
        """Run an order at most once and return the upstream's answer."""

    @abstractmethod
    def look_up(self, service: str | None) -> AddressList | Failure:
        """Return the addresses that callers should use; fail if `service` is not configured."""

    @abstractmethod
    def describe(self) -> dict[str, Any]:
        """Return the status of the instance for operators, as a JSON document."""

    @abstractmethod
    def get_configuration(self) -> Configuration:
        """Return the configuration in force."""

    @abstractmethod
    def is_leaving(self) -> bool:
        """Return whether the instance is leaving and callers should switch to other addresses."""


def _answer_failure(
    response: falcon.asgi.Response,
    failure: Failure,
    request_id: str,
    address_list: AddressList | None,
) -> None:
    answer = failure.answer
    document: dict[str, Any] = {
        "error": {
            "kind": failure.kind.value,
            "message": failure.message,
            "run_state": answer.run_state.value,
            "retryable": answer.retryable,
            "request_id": request_id,
        }
    }
    if address_list is not None:
        document["addresses"] = [address._asdict() for address in address_list.addresses]
    response.status = answer.http_status
    response.text = json.dumps(document)


class _Resource:
    def __init__(self, service: EntryService) -> None:
        self._service = service

    def _answer_with_failure(
        self, response: falcon.asgi.Response, failure: Failure, request_id: str
    ) -> None:
        address_list = self._service.look_up(None) if failure.kind == ErrorKind.LEAVING else None
        address_list = address_list if isinstance(address_list, AddressList) else None
        _answer_failure(response, failure, request_id, address_list)

    async def _read_body(self, request: falcon.asgi.Request) -> bytes | Failure:
        if request.scope.get(TOO_LARGE_KEY):
            return Failure(ErrorKind.BODY_TOO_LARGE, "the request body exceeds the size limit")
        return await request.stream.read()


class _Queries(_Resource):
    async def on_post(self, request: Any, response: Any, service: str) -> None:
        request_id = self._service.make_request_id()
        body = await self._read_body(request)
        fields = body if isinstance(body, Failure) else parse_query(body)
        result: QueryAnswer | Failure
        if isinstance(fields, Failure):
            result = fields
        else:
            result = await self._service.query(request_id, service, fields)
        if isinstance(result, Failure):
            self._answer_with_failure(response, result, request_id)
            return
        response.text = json.dumps(_answer_to_document(result))


class _Orders(_Resource):
    async def on_post(self, request: Any, response: Any, service: str) -> None:
        request_id = self._service.make_request_id()
        body = await self._read_body(request)
        key = request.get_header("Idempotency-Key")
        fields = body if isinstance(body, Failure) else parse_order(body, key)
        result: OrderOutcome | Failure
        if isinstance(fields, Failure):
            result = fields
        else:
            # A disconnect of the caller does not cancel the order: it may be partly executed.
            result = await asyncio.shield(self._service.order(request_id, service, fields))
        if isinstance(result, Failure):
            self._answer_with_failure(response, result, request_id)
            return
        document = {
            "request_id": request_id,
            "answer": _parse_or_text(result.body),
            "replayed": result.is_replayed,
        }
        response.text = json.dumps(document)


class _Addresses(_Resource):
    async def on_get(self, request: Any, response: Any) -> None:
        result = self._service.look_up(request.get_param("service"))
        if isinstance(result, Failure):
            self._answer_with_failure(response, result, self._service.make_request_id())
            return
        document = {
            "addresses": [address._asdict() for address in result.addresses],
            "keep_ms": result.keep_ms,
            "config_revision": result.config_revision,
        }
        response.text = json.dumps(document)


class _Status(_Resource):
    async def on_get(self, request: Any, response: Any) -> None:
        response.text = json.dumps(self._service.describe())


class _Configuration(_Resource):
    async def on_get(self, request: Any, response: Any) -> None:
        response.data = self._service.get_configuration().to_bytes()
        response.content_type = falcon.MEDIA_JSON


class _LeavingHeader:
    def __init__(self, service: EntryService) -> None:
        self._service = service

    async def process_response(
        self, request: Any, response: Any, resource: Any, is_successful: bool
    ) -> None:
        if self._service.is_leaving():
            response.set_header(LEAVING_HEADER, "1")


def _parse_or_text(body: str) -> Any:
    try:
        return json.loads(body)
    except ValueError:
        return body


def _answer_to_document(answer: QueryAnswer) -> dict[str, Any]:
    coverage = answer.coverage
    return {
        "request_id": answer.request_id,
        "snapshot": {"service": answer.service, "version": answer.version},
        "coverage": {
            "share": coverage.share,
            "complete": coverage.is_complete,
            "missing": [list(item) for item in coverage.missing],
            "reasons": list(coverage.reasons),
        },
        "rows": list(answer.rows),
        "truncated": answer.truncated,
        "took_ms": round(answer.took_ms, 3),
        "config_revision": answer.config_revision,
    }


_ERROR_KINDS_BY_STATUS = {404: ErrorKind.NOT_FOUND, 405: ErrorKind.METHOD_NOT_ALLOWED}


def make_app(service: EntryService, max_body_bytes: int) -> Any:
    """Return the ASGI application; bodies over `max_body_bytes` are answered with 413."""
    app = falcon.asgi.App(middleware=[_LeavingHeader(service)])
    app.add_route("/v1/services/{service}/query", _Queries(service))
    app.add_route("/v1/services/{service}/orders", _Orders(service))
    app.add_route("/v1/addresses", _Addresses(service))
    app.add_route("/v1/status", _Status(service))
    app.add_route("/v1/configuration", _Configuration(service))

    async def answer_http_error(request: Any, response: Any, error: Any, params: Any) -> None:
        kind = _ERROR_KINDS_BY_STATUS.get(error.status_code, ErrorKind.BAD_REQUEST)
        text = f"{request.method} {request.path}: {error.title}"
        _answer_failure(response, Failure(kind, text), service.make_request_id(), None)
        if error.headers:
            response.set_headers(error.headers)

    async def answer_internal_error(request: Any, response: Any, error: Any, params: Any) -> None:
        failure = Failure(ErrorKind.INTERNAL, f"unexpected error: {error!r}")
        _answer_failure(response, failure, service.make_request_id(), None)

    app.add_error_handler(Exception, answer_internal_error)
    app.add_error_handler(falcon.HTTPError, answer_http_error)
    return RequestMiddleware(app, max_body_bytes)


class _Server(uvicorn.Server):
    """A uvicorn server that installs no signal handlers and reports when it listens."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._started = asyncio.Event()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        await super().startup(sockets)
        self._started.set()

    async def wait_started(self) -> None:
        await self._started.wait()


class CallerServer:
    """Serves the ASGI application with uvicorn in the running event loop."""

    def __init__(self, app: Any) -> None:
        config = uvicorn.Config(
            app, log_level="error", access_log=False, lifespan="off", timeout_keep_alive=30
        )
        self._server = _Server(config)
        self._task: asyncio.Task[None] | None = None

    async def start(self, host: str, port: int) -> str:
        """Listen and return the address as `host:port`; raise OSError if the bind fails."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        # asyncio sets TCP_NODELAY only on sockets created with an explicit protocol. Without it,
        # Nagle's algorithm delays the body by about 40 ms, until the headers are acknowledged.
        listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((host, port))
        except OSError:
            listener.close()
            raise
        address = "{}:{}".format(*listener.getsockname()[:2])
        self._task = asyncio.create_task(self._server.serve(sockets=[listener]))
        await self._server.wait_started()
        return address

    async def close(self) -> None:
        """Stop listening, wait for requests in flight, then close all connections."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task
