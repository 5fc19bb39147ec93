"""Bottle application for callers, announcing endpoints and the load balancer."""

from collections.abc import Callable
from urllib.parse import quote

from bottle import Bottle, HTTPError, HTTPResponse, request

from chivetrack.components.caller_api.body import read_body
from chivetrack.components.caller_api.const import (
    BODY_TIMEOUT_S,
    DEFAULT_MAX_BODY_BYTES,
    ENVIRON_SOCKET,
    PATH_ANNOUNCE,
    PATH_CHAT,
    PATH_HEALTH,
    PATH_READY,
    PATH_SERVICE,
)
from chivetrack.components.caller_api.errors import make_error_response
from chivetrack.components.caller_api.gateway import Gateway, GatewayAnswer
from chivetrack.components.caller_api.open_requests import ExitDecidedError
from chivetrack.components.caller_api.watch import CallerLeftError, watch_caller
from chivetrack.components.limits.stopping import make_stopping_fault
from chivetrack.components.pipeline import faults
from chivetrack.components.pipeline.models import CallerRequest, RequestKind
from chivetrack.exceptions import Fault, FaultError

SERVICE_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]

Announce = Callable[[bytes, str], "Fault | None"]


def read_headers() -> dict[str, str]:
    """Return the headers of the current request with names in lower case."""
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in request.environ.items()
        if name.startswith("HTTP_")
    }
    content_type = request.environ.get("CONTENT_TYPE")
    if content_type:
        headers["content-type"] = content_type
    return headers


def make_response(answer: GatewayAnswer) -> HTTPResponse:
    """Convert an answer of the gateway to a bottle response."""
    if answer.fault is not None:
        return make_error_response(answer.fault, answer.request_id)
    return HTTPResponse(body=answer.body, status=answer.status, headers=dict(answer.headers))


class CallerApi:
    """Routes of the caller interface.

    ``announce`` receives the body and the Authorization header of an endpoint's
    announcement, and returns a fault if the announcement is refused.
    """

    def __init__(
        self,
        *,
        gateway: Gateway,
        announce: Announce,
        is_ready: Callable[[], bool],
        max_body: int = DEFAULT_MAX_BODY_BYTES,
        body_timeout_s: float = BODY_TIMEOUT_S,
    ) -> None:
        """Store the handlers of the routes; ``max_body`` is in bytes."""
        self._gateway = gateway
        self._announce = announce
        self._is_ready = is_ready
        self._max_body = max_body
        self._body_timeout_s = body_timeout_s

    def build(self) -> Bottle:
        """Return the bottle application with all routes."""
        app = Bottle()
        app.route(PATH_CHAT, "POST", self._serve_chat)
        app.route(PATH_SERVICE, SERVICE_METHODS, self._serve_service)
        app.route(PATH_ANNOUNCE, "POST", self._handle_announcement)
        app.route(PATH_HEALTH, "GET", self._handle_health)
        app.route(PATH_READY, "GET", self._handle_ready)
        app.default_error_handler = self._make_default_error
        return app

    def _serve_chat(self) -> HTTPResponse:
        return self._serve(RequestKind.CHAT, PATH_CHAT, "")

    def _serve_service(self, service: str, path: str) -> HTTPResponse:
        target = "/" + quote(path, safe="/:@!$&'()*+,;=~-._")
        if request.query_string:
            target = f"{target}?{request.query_string}"
        return self._serve(RequestKind.SERVICE, target, service)

    def _serve(self, kind: RequestKind, path: str, service: str) -> HTTPResponse:
        try:
            body = self._read_body()
            caller_request = CallerRequest(
                kind=kind,
                method=request.method,
                path=path,
                headers=read_headers(),
                body=body,
                service=service,
            )
            with watch_caller(request.environ.get(ENVIRON_SOCKET)):
                answer = self._gateway.serve(caller_request)
        except FaultError as error:
            return make_error_response(error.fault)
        except CallerLeftError as error:
            return make_error_response(faults.caller_gone(error.ran))
        return make_response(answer)

    def _read_body(self) -> bytes:
        """Return the body of the current request; raise ``FaultError`` if it cannot be read."""
        try:
            with self._gateway.open_requests.track():
                return read_body(
                    request.environ, limit=self._max_body, timeout_s=self._body_timeout_s
                )
        except ExitDecidedError:
            fault = make_stopping_fault(do_others_accept=True, left_s=0.0)
            raise FaultError(fault) from None

    def _handle_announcement(self) -> HTTPResponse:
        try:
            body = self._read_body()
        except FaultError as error:
            return make_error_response(error.fault)
        fault = self._announce(body, read_headers().get("authorization", ""))
        if fault is not None:
            return make_error_response(fault)
        return HTTPResponse(status=204)

    @staticmethod
    def _handle_health() -> HTTPResponse:
        return HTTPResponse(body="ok\n", status=200, headers={"Content-Type": "text/plain"})

    def _handle_ready(self) -> HTTPResponse:
        if self._is_ready():
            return HTTPResponse(body="ready\n", status=200, headers={"Content-Type": "text/plain"})
        return make_error_response(faults.not_ready())

    @staticmethod
    def _make_default_error(error: HTTPError) -> bytes:
        fault = faults.from_status(error.status_code, request.path)
        response = make_error_response(fault)
        error.content_type = response.headers["Content-Type"]
        return response.body
