"""The bottle application of the management routes."""

from collections.abc import Callable
from typing import Any

import msgspec
from bottle import Bottle, HTTPResponse, request
from expression import Result

from chivetrack.components.caller_api.body import read_body
from chivetrack.components.caller_api.const import BODY_TIMEOUT_S
from chivetrack.components.caller_api.errors import make_error_response
from chivetrack.components.management.models import Document, Lookup, ManagementPorts
from chivetrack.exceptions import Fault, FaultError, Ran

PREFIX = "/api/v1"
JSON_TYPE = "application/json"
BINARY_TYPE = "application/octet-stream"
BEARER_PREFIX = "Bearer "
MAX_BODY_BYTES = 4096

UNAUTHORIZED = Fault(code="unauthorized", message="no valid operator key", status=401, ran=Ran.NO)


class ReplicaDocument(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a request to add a replica; ``id`` is the id that the replica logs."""

    id: str


def build_management_app(ports: ManagementPorts) -> Bottle:
    """Build the application, which the caller merges with the resource API."""
    routes = _Routes(ports=ports)
    app = Bottle()
    app.route(f"{PREFIX}/status", "GET", routes.require_operator(routes.show_status))
    app.route(
        f"{PREFIX}/explain/request/<name>", "GET", routes.require_operator(routes.explain_request)
    )
    app.route(
        f"{PREFIX}/explain/endpoint/<name>", "GET", routes.require_operator(routes.explain_endpoint)
    )
    app.route(f"{PREFIX}/replicas", "POST", routes.require_operator(routes.add_replica))
    app.route(f"{PREFIX}/replicas/<name>", "DELETE", routes.require_operator(routes.remove_replica))
    app.route(f"{PREFIX}/backup", "GET", routes.require_operator(routes.send_backup))
    return app


class _Routes:
    def __init__(self, *, ports: ManagementPorts) -> None:
        self._ports = ports

    def require_operator(self, handler: Callable[..., HTTPResponse]) -> Callable[..., HTTPResponse]:
        """Wrap a handler so that it runs only for requests with a valid operator key."""

        def check_and_call(**arguments: Any) -> HTTPResponse:
            authorization = request.get_header("Authorization", "")
            if not authorization.startswith(BEARER_PREFIX):
                return make_error_response(UNAUTHORIZED)
            if not self._ports.check_operator(authorization.removeprefix(BEARER_PREFIX).strip()):
                return make_error_response(UNAUTHORIZED)
            return handler(**arguments)

        return check_and_call

    def show_status(self) -> HTTPResponse:
        return _make_json_response(self._ports.read_status())

    def explain_request(self, name: str) -> HTTPResponse:
        return _make_explanation_response(self._ports.explain_request, name)

    def explain_endpoint(self, name: str) -> HTTPResponse:
        return _make_explanation_response(self._ports.explain_endpoint, name)

    def add_replica(self) -> HTTPResponse:
        try:
            body = read_body(request.environ, limit=MAX_BODY_BYTES, timeout_s=BODY_TIMEOUT_S)
        except FaultError as error:
            return make_error_response(error.fault)
        try:
            document = msgspec.json.decode(body, type=ReplicaDocument)
        except msgspec.MsgspecError as error:
            fault = Fault(code="malformed_body", message=str(error), status=400, ran=Ran.NO)
            return make_error_response(fault)
        return _make_accepted_response(self._ports.add_replica(document.id))

    def remove_replica(self, name: str) -> HTTPResponse:
        return _make_accepted_response(self._ports.remove_replica(name))

    def send_backup(self) -> HTTPResponse:
        content = self._ports.read_backup()
        if content.is_error():
            return make_error_response(content.error)
        headers = {"Content-Type": BINARY_TYPE}
        return HTTPResponse(body=content.ok, status=200, headers=headers)


def _make_json_response(document: Document, status: int = 200) -> HTTPResponse:
    body = msgspec.json.encode(document)
    return HTTPResponse(body=body, status=status, headers={"Content-Type": JSON_TYPE})


def _make_accepted_response(result: Result[None, Fault]) -> HTTPResponse:
    if result.is_error():
        return make_error_response(result.error)
    return _make_json_response({"accepted": True}, 202)


def _make_explanation_response(lookup: Lookup, name: str) -> HTTPResponse:
    document = lookup(name)
    if document is None:
        message = f"This instance has no record of {name!r}; ask the instance that served it."
        return make_error_response(Fault(code="not_found", message=message, status=404, ran=Ran.NO))
    return _make_json_response(document)
