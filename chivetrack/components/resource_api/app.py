"""The bottle application of the resource API."""

import hashlib
import re
from collections.abc import Callable, Iterable
from typing import Any

import bottle
import msgspec
from expression import Error, Ok, Result

from chivetrack.components.caller_api.body import read_body
from chivetrack.components.caller_api.const import BODY_TIMEOUT_S
from chivetrack.components.resource_api import const
from chivetrack.components.resource_api.models import (
    ApiRequest,
    Json,
    Ports,
    Problem,
    Reply,
    Stream,
)
from chivetrack.components.resource_api.openapi import make_openapi
from chivetrack.components.resource_api.operations import OPERATIONS, Operation
from chivetrack.components.resource_api.problems import make_problem
from chivetrack.components.resource_api.rendering import render_problem
from chivetrack.components.resources.kinds import KINDS, Kind
from chivetrack.exceptions import Fault, FaultError, Ran
from chivetrack.helpers.finding import suggest_name

JSON_TYPE = "application/json"
STREAM_TYPE = "application/x-ndjson"

TOO_LARGE = 413

_REQUEST_ID = re.compile(const.REQUEST_ID_PATTERN)
_REVISION = re.compile(r'(?:W/)?"?(\d{1,18})"?')


def build_app(ports: Ports) -> bottle.Bottle:
    """Build the application; it can be mounted beside others.

    Every operation of the registry becomes a route under ``/api/v1/{kind}`` or
    ``/api/v1/{kind}/{name}``.
    """
    app = bottle.Bottle()
    app.config["json.enable"] = False
    document = msgspec.json.encode(make_openapi())

    def get_openapi() -> bytes:
        bottle.response.content_type = JSON_TYPE
        return document

    app.route(f"{const.PREFIX}/openapi.json", "GET", get_openapi)
    for entry in OPERATIONS.values():
        path = f"{const.PREFIX}/<kind>"
        if entry.has_name:
            path = f"{path}/<name>"
        app.route(path, entry.method, _make_callback(ports, entry), name=entry.name)
    app.default_error_handler = _render_http_error
    return app


def _make_callback(ports: Ports, entry: Operation) -> Callable[..., Iterable[bytes]]:
    def serve(kind: str, name: str = "") -> Iterable[bytes]:
        parsed = _parse_request(ports, entry, kind, name)
        if parsed.is_error():
            return _render_error(parsed.error)
        outcome = entry.handler(ports, parsed.ok)
        if outcome.is_error():
            return _render_error(outcome.error)
        return _render_reply(outcome.ok)

    return serve


def _parse_request(
    ports: Ports, entry: Operation, kind_name: str, name: str
) -> Result[ApiRequest, Problem]:
    kind = _find_kind(ports, entry, kind_name)
    if kind.is_error():
        return Error(kind.error)
    precondition = _parse_precondition()
    if precondition.is_error():
        return Error(precondition.error)
    request_id = bottle.request.get_header(const.REQUEST_ID_HEADER, "")
    if request_id and not _REQUEST_ID.fullmatch(request_id):
        message = f"{const.REQUEST_ID_HEADER} must match {const.REQUEST_ID_PATTERN}"
        return Error(make_problem("invalid_request_id", message, status=400))
    body = _read_body() if entry.takes_body else Ok(b"")
    if body.is_error():
        return Error(body.error)
    request = ApiRequest(
        kind=kind.ok,
        name=name,
        body=body.ok,
        query=dict(bottle.request.query.decode()),
        precondition=precondition.ok,
        request_id=request_id,
        fingerprint=_compute_fingerprint(entry, kind_name, name, precondition.ok, body.ok),
    )
    return Ok(request)


def _find_kind(ports: Ports, entry: Operation, name: str) -> Result[Kind, Problem]:
    scheme, _, token = bottle.request.get_header("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not ports.check_operator(token.strip()):
        return Error(make_problem("unauthorized", "no valid operator key", status=401))
    kind = KINDS.get(name)
    if kind is None:
        hint = suggest_name(name, KINDS)
        message = f"there is no kind {name!r}" + (f"; {hint}" if hint else "")
        return Error(make_problem("unknown_kind", message, status=404))
    if entry.is_write and not kind.stored:
        message = f"{name} resources are observed and can't be written"
        return Error(make_problem("read_only", message, status=405))
    return Ok(kind)


def _parse_precondition() -> Result[int | None, Problem]:
    header = bottle.request.get_header("If-Match", "").strip()
    if header in ("", "*"):
        return Ok(None)
    matched = _REVISION.fullmatch(header)
    if matched is None:
        return Error(
            make_problem("invalid_precondition", "If-Match must be a revision", status=400)
        )
    return Ok(int(matched.group(1)))


def _read_body() -> Result[bytes, Problem]:
    """Read the body; refuse it without a length or above the size limit.

    The HTTP library would write a body without a length to disk, however large, before
    this code could refuse it.
    """
    length = bottle.request.content_length
    if length < 0 or bottle.request.chunked:
        return Error(make_problem("length_required", "Content-Length is missing", status=411))
    if length == 0:
        return Ok(b"")
    try:
        body = read_body(
            bottle.request.environ, limit=const.MAX_BODY_BYTES, timeout_s=BODY_TIMEOUT_S
        )
    except FaultError as error:
        fault = error.fault
        code = "too_large" if fault.status == TOO_LARGE else fault.code
        return Error(make_problem(code, fault.message, status=fault.status))
    return Ok(body)


def _compute_fingerprint(
    entry: Operation, kind: str, name: str, precondition: int | None, body: bytes
) -> bytes:
    parts = (entry.name, kind, name, precondition)
    return hashlib.sha256(msgspec.msgpack.encode(parts) + body).digest()


def _render_reply(reply: Reply | Stream) -> Iterable[bytes]:
    response = bottle.response
    if isinstance(reply, Stream):
        response.status = 200
        response.content_type = STREAM_TYPE
        return reply.lines
    metadata = reply.body.get("metadata", {})
    if "revision" in metadata:
        response.set_header("ETag", f'"{metadata["revision"]}"')
    return _render_json(reply.status, reply.body)


def _render_error(problem: Problem) -> Iterable[bytes]:
    if problem.fault.retry_after_s is not None:
        seconds = max(1, round(problem.fault.retry_after_s))
        bottle.response.set_header("Retry-After", str(seconds))
    return _render_json(problem.fault.status, render_problem(problem))


def _render_json(status: int, body: Json) -> Iterable[bytes]:
    bottle.response.status = status
    bottle.response.content_type = JSON_TYPE
    return [msgspec.json.encode(body)]


def _render_http_error(error: Any) -> str:
    """Render errors of the HTTP library (unknown route, exception) in the same form."""
    codes = {404: "unknown_path", 405: "method_not_allowed"}
    code = codes.get(error.status_code)
    if code is not None:
        problem = make_problem(code, str(error.body), status=error.status_code)
    else:
        # It is unknown whether the request had an effect before the exception.
        fault = Fault(code="internal_error", message="unexpected error", status=500, ran=Ran.MAYBE)
        problem = Problem(fault=fault)
    bottle.response.content_type = JSON_TYPE
    return msgspec.json.encode(render_problem(problem)).decode()
