"""What the listening sockets of an instance serve: requests, the directory, and its own status."""

from typing import TYPE_CHECKING

from .adapters.callerconnections import CallerConnection, RequestHandler
from .adapters.httpserver import HttpAnswer, HttpRequest
from .adapters.openconnections import Connections
from .placement import PLACEMENT_PATH
from .policy.catalog import CallerLimits

if TYPE_CHECKING:
    from .gateway import Gateway

METRICS_PATH = b"/metrics"
METRICS_HEADERS = ((b"Content-Type", b"text/plain; version=0.0.4; charset=utf-8"),)


class _GatewayService(RequestHandler):
    def __init__(self, gateway: "Gateway", connections: Connections) -> None:
        self._gateway = gateway
        self.connections = connections

    def get_limits(self) -> CallerLimits:
        return self._gateway.caller_limits

    def handle_disconnect(self, connection: CallerConnection) -> None:
        """Do nothing: these requests are answered at once, so none is in progress."""


class RequestService(_GatewayService):
    """Serves callers' requests."""

    def __init__(self, gateway: "Gateway") -> None:
        super().__init__(gateway, gateway.connections)

    def handle(self, request: HttpRequest, connection: CallerConnection) -> None:
        try:
            runner = self._gateway.serve(request, connection)
        except Exception as error:
            # Without an answer the caller would wait until its deadline. The connection is closed,
            # since calls that were started may still deliver an outcome to it.
            self._gateway.log_error(error)
            connection.answer_and_close(HttpAnswer(502, (), b"internal error"))
            return
        if connection.is_busy:
            connection.exchange = runner

    def handle_disconnect(self, connection: CallerConnection) -> None:
        if connection.exchange is not None:
            self._gateway.handle_caller_left(connection.exchange)


class DirectoryService(_GatewayService):
    """Serves callers that request the addresses of instances."""

    def __init__(self, gateway: "Gateway") -> None:
        super().__init__(gateway, Connections())

    def handle(self, request: HttpRequest, connection: CallerConnection) -> None:
        connection.answer(self._gateway.resolve(request))


class StatusService(_GatewayService):
    """Serves the platform's readiness check, the metrics and the placement of a request."""

    def __init__(self, gateway: "Gateway") -> None:
        super().__init__(gateway, Connections())

    def handle(self, request: HttpRequest, connection: CallerConnection) -> None:
        if request.target == METRICS_PATH:
            connection.answer(HttpAnswer(200, METRICS_HEADERS, self._gateway.read_metrics()))
            return
        if request.target.partition(b"?")[0] == PLACEMENT_PATH:
            connection.answer(self._gateway.explain_placement(request))
            return
        status = 200 if self._gateway.is_ready else 503
        connection.answer(HttpAnswer(status, (), b"ready\n" if status == 200 else b"not ready\n"))
