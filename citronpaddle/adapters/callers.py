"""The HTTP interface for callers: queries, orders, address lookup, status."""

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
from .guard import TOO_LARGE, Guard

LEAVING_HEADER = "X-Citronpaddle-Leaving"


class OrderOutcome(NamedTuple):
    """The upstream's JSON answer to an order; `is_replayed` if it is a stored one."""

    body: str
    is_replayed: bool


class AddressList(NamedTuple):
    """The answer to an address lookup; `keep_ms` is how long it may be kept."""

    addresses: tuple[Address, ...]
    keep_ms: int
    config_revision: int


class EntryService(ABC):
    """What the HTTP interface needs from the instance."""

    @abstractmethod
    def make_request_id(self) -> str:
        """Return a new id for one request."""

    @abstractmethod
    async def query(
        self, request_id: str, service: str, fields: QueryFields
    ) -> QueryAnswer | Failure:
        """Answer a query."""

    @abstractmethod
    async def order(
        self, request_id: str, service: str, fields: OrderFields
    ) -> OrderOutcome | Failure:
        """Run an order at most once."""

    @abstractmethod
    def look_up(self, service: str | None) -> AddressList | Failure:
        """Return the addresses that callers should use."""

    @abstractmethod
    def describe(self) -> dict[str, Any]:
        """Return the instance's status for operators, as a JSON document."""

    @abstractmethod
    def get_configuration(self) -> Configuration:
        """Return the configuration in force."""

    @abstractmethod
    def is_leaving(self) -> bool:
        """Return whether callers should move to other addresses."""


def _answer_failure(
    response: falcon.asgi.Response, failure: Failure, request_id: str, book: AddressList | None
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
    if book is not None:
        document["addresses"] = [address._asdict() for address in book.addresses]
    response.status = answer.http_status
    response.text = json.dumps(document)


class _Resource:
    def __init__(self, service: EntryService) -> None:
        self._service = service

    def _fail(self, response: falcon.asgi.Response, failure: Failure, request_id: str) -> None:
        book = self._service.look_up(None) if failure.kind == ErrorKind.LEAVING else None
        book = book if isinstance(book, AddressList) else None
        _answer_failure(response, failure, request_id, book)

    async def _read(self, request: falcon.asgi.Request) -> bytes | Failure:
        if request.scope.get(TOO_LARGE):
            return Failure(ErrorKind.BODY_TOO_LARGE, "the body is over the size limit")
        return await request.stream.read()


class _Queries(_Resource):
    async def on_post(self, request: Any, response: Any, service: str) -> None:
        request_id = self._service.make_request_id()
        body = await self._read(request)
        fields = body if isinstance(body, Failure) else parse_query(body)
        result: QueryAnswer | Failure
        if isinstance(fields, Failure):
            result = fields
        else:
            result = await self._service.query(request_id, service, fields)
        if isinstance(result, Failure):
            self._fail(response, result, request_id)
            return
        response.text = json.dumps(_describe_answer(result))


class _Orders(_Resource):
    async def on_post(self, request: Any, response: Any, service: str) -> None:
        request_id = self._service.make_request_id()
        body = await self._read(request)
        key = request.get_header("Idempotency-Key")
        fields = body if isinstance(body, Failure) else parse_order(body, key)
        result: OrderOutcome | Failure
        if isinstance(fields, Failure):
            result = fields
        else:
            # The order goes on if the caller goes away: half of it may already have happened.
            result = await asyncio.shield(self._service.order(request_id, service, fields))
        if isinstance(result, Failure):
            self._fail(response, result, request_id)
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
            self._fail(response, result, self._service.make_request_id())
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


def _describe_answer(answer: QueryAnswer) -> dict[str, Any]:
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


_HTTP_KINDS = {404: ErrorKind.NOT_FOUND, 405: ErrorKind.METHOD_NOT_ALLOWED}


def make_app(service: EntryService, max_body_bytes: int) -> Any:
    """Return the ASGI application."""
    app = falcon.asgi.App(middleware=[_LeavingHeader(service)])
    app.add_route("/v1/services/{service}/query", _Queries(service))
    app.add_route("/v1/services/{service}/orders", _Orders(service))
    app.add_route("/v1/addresses", _Addresses(service))
    app.add_route("/v1/status", _Status(service))
    app.add_route("/v1/configuration", _Configuration(service))

    async def answer_http_error(request: Any, response: Any, error: Any, params: Any) -> None:
        kind = _HTTP_KINDS.get(error.status_code, ErrorKind.BAD_REQUEST)
        text = f"{request.method} {request.path}: {error.title}"
        _answer_failure(response, Failure(kind, text), service.make_request_id(), None)
        if error.headers:
            response.set_headers(error.headers)

    async def answer_fault(request: Any, response: Any, error: Any, params: Any) -> None:
        failure = Failure(ErrorKind.INTERNAL, f"unexpected fault: {error!r}")
        _answer_failure(response, failure, service.make_request_id(), None)

    app.add_error_handler(Exception, answer_fault)
    app.add_error_handler(falcon.HTTPError, answer_http_error)
    return Guard(app, max_body_bytes)


class _Server(uvicorn.Server):
    """Leaves signals to the program and tells when it listens."""

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
    """Serves the application by uvicorn in the running loop."""

    def __init__(self, app: Any) -> None:
        config = uvicorn.Config(
            app, log_level="error", access_log=False, lifespan="off", timeout_keep_alive=30
        )
        self._server = _Server(config)
        self._task: asyncio.Task[None] | None = None

    async def start(self, host: str, port: int) -> str:
        """Listen and return the address as `host:port`; raise OSError if that fails."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        # asyncio sets TCP_NODELAY only on sockets whose protocol is stated. Without it the body of
        # an answer waits about 40 ms for the acknowledgement of its headers.
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
        """Stop listening, let requests in flight end, close connections."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task
