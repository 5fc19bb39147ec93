"""HTTP API of the control listener, for operators and endpoints."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol
from urllib.parse import quote

import msgspec
from bottle import HTTP_CODES, Bottle, HTTPError, HTTPResponse, request
from expression import Result

from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.components.announcements.soundness import RecordFault, UnsoundRecord
from chivetrack.components.caller_api.body import read_at_most, reserve_memory
from chivetrack.components.caller_api.const import (
    BODY_TIMEOUT_S,
    ENVIRON_SOCKET,
)
from chivetrack.components.caller_api.watch import has_left
from chivetrack.components.document.const import (
    DECODED_DOCUMENT_FACTOR,
    DOCUMENT_TIMEOUT_S,
    MAX_DOCUMENT_BYTES,
)
from chivetrack.components.document.store import StoredDocument
from chivetrack.components.evacuation.models import Evacuations
from chivetrack.components.limits.stopping import RETRY_AFTER_S
from chivetrack.components.pipeline import faults
from chivetrack.components.quarantine.models import Quarantine
from chivetrack.components.traffic.models import Document
from chivetrack.exceptions import Fault, FaultError
from chivetrack.helpers.numbers import read_count
from chivetrack.platform.announcements import MAX_BODY_BYTES, read_departure, read_heartbeat
from chivetrack.platform.configuration import read_document, render_findings
from chivetrack.platform.paths import PATH_QUARANTINE, PATH_ZONES

# Not part of the platform's API: only redirects sent by replicas contain this parameter.
_QUERY_VERSION = "version"
_STOPPING = msgspec.json.encode(
    {"error": "stopping", "message": "this replica is stopping; use another replica"}
)
_JSON = {"Content-Type": "application/json"}
_MAX_ERROR_TEXT = 300


@dataclass(frozen=True, slots=True, kw_only=True)
class RedirectTo:
    """The sender must repeat the request at another instance.

    ``address`` is the ``host:port`` of that instance. If ``min_version`` is set, that
    instance returns its document only if the document has at least this version.
    """

    address: str
    min_version: int = 0


class ControlRequestHandler(Protocol):
    """Handler of a replica for the requests of operators and endpoints."""

    def put(self, document: Document, body: bytes) -> Result[int, Fault | RedirectTo]:
        """Commit a document and return the version in force."""
        ...

    def read(self) -> Result[StoredDocument, Fault | RedirectTo]:
        """Return the newest document, confirmed by a quorum."""
        ...

    def order_evacuation(self, zone: str, *, is_evacuated: bool) -> Result[int, Fault | RedirectTo]:
        """Commit the evacuation of a zone, or its withdrawal; return the order's revision."""
        ...

    def read_evacuations(self) -> Result[Evacuations, Fault | RedirectTo]:
        """Return the zone orders in force, confirmed by a quorum."""
        ...

    def release_request(self, fingerprint: bytes) -> Result[int, Fault | RedirectTo]:
        """Commit the release of a quarantined request and return the quarantine's revision."""
        ...

    def read_quarantine(self) -> Result[Quarantine, Fault | RedirectTo]:
        """Return the quarantine, confirmed by a quorum."""
        ...

    def announce(self, record: EndpointRecord) -> Result[None, Fault]:
        """Handle an endpoint's heartbeat."""
        ...

    def leave(self, endpoint_id: str, born: int | None) -> Result[None, Fault]:
        """Handle an endpoint's departure; ``born`` is its start time in Unix milliseconds."""
        ...


def build_control_app(
    *,
    handler: ControlRequestHandler,
    unpack: Callable[[bytes], bytes],
    report_invalid: Callable[[str, str], None],
    report_unsound: Callable[[UnsoundRecord], None],
) -> Bottle:
    """Return the application of the control listener.

    ``unpack`` decompresses a stored document. ``report_invalid`` is called with the kind of
    an invalid body and what is wrong with it, ``report_unsound`` for a call of an endpoint.
    """
    app = make_app()
    _add_configuration_calls(app, handler, unpack, report_invalid)
    _add_zone_calls(app, handler)
    _add_quarantine_calls(app, handler)
    _add_endpoint_calls(app, handler, report_unsound)
    return app


def refuse_during_stop(_environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
    """Answer as a WSGI application that a call has not run because the replica stops."""
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(_STOPPING))),
        ("Retry-After", f"{RETRY_AFTER_S:.2f}"),
    ]
    start_response("503 Service Unavailable", headers)
    return [_STOPPING]


def _add_configuration_calls(
    app: Bottle,
    handler: ControlRequestHandler,
    unpack: Callable[[bytes], bytes],
    report_invalid: Callable[[str, str], None],
) -> None:
    def put_config() -> HTTPResponse:
        body = _read_document_body()
        read = read_document(body)
        if read.is_error():
            report_invalid("configuration", "; ".join(str(one) for one in read.error)[:500])
            return _make_response(400, render_findings(read.error))
        outcome = handler.put(read.ok, body)
        if outcome.is_ok():
            return _make_response(200, {"version": outcome.ok})
        return _make_refusal(outcome.error, "/config")

    def get_config() -> HTTPResponse:
        outcome = handler.read()
        if outcome.is_error():
            return _make_refusal(outcome.error, "/config")
        return HTTPResponse(body=unpack(outcome.ok.payload), status=200, headers=_JSON)

    app.route("/config", "PUT", put_config)
    app.route("/config", "GET", get_config)


def _add_zone_calls(app: Bottle, handler: ControlRequestHandler) -> None:
    def order_zone(zone: str) -> HTTPResponse:
        if _read_body(0):
            return _make_response(400, {"error": "body", "message": "this call takes no body"})
        if has_left(request.environ.get(ENVIRON_SOCKET)):
            # The operator has closed the connection. It may have sent the order to another
            # replica since then, and even withdrawn it, so a late order must not be committed.
            return _make_response(503, {"error": "operator_left"})
        is_evacuated = request.method == "POST"
        outcome = handler.order_evacuation(zone, is_evacuated=is_evacuated)
        if outcome.is_ok():
            return _make_response(200, {"revision": outcome.ok})
        return _make_refusal(outcome.error, f"{PATH_ZONES}/{quote(zone, safe='')}")

    def get_zones() -> HTTPResponse:
        outcome = handler.read_evacuations()
        if outcome.is_error():
            return _make_refusal(outcome.error, PATH_ZONES)
        return _make_response(200, {"zones": [one.describe() for one in outcome.ok.zones]})

    app.route(f"{PATH_ZONES}/<zone>", ["POST", "DELETE"], order_zone)
    app.route(PATH_ZONES, "GET", get_zones)


def _add_quarantine_calls(app: Bottle, handler: ControlRequestHandler) -> None:
    def release(fingerprint: str) -> HTTPResponse:
        try:
            decoded = bytes.fromhex(fingerprint)
        except ValueError:
            message = f"{fingerprint!r} is no fingerprint"
            return _make_response(400, {"error": "fingerprint", "message": message})
        outcome = handler.release_request(decoded)
        if outcome.is_ok():
            return _make_response(200, {"revision": outcome.ok})
        return _make_refusal(outcome.error, f"{PATH_QUARANTINE}/{fingerprint}")

    def get_quarantine() -> HTTPResponse:
        outcome = handler.read_quarantine()
        if outcome.is_error():
            return _make_refusal(outcome.error, PATH_QUARANTINE)
        return _make_response(200, {"requests": [one.describe() for one in outcome.ok.requests]})

    app.route(f"{PATH_QUARANTINE}/<fingerprint>", "DELETE", release)
    app.route(PATH_QUARANTINE, "GET", get_quarantine)


def _add_endpoint_calls(
    app: Bottle,
    handler: ControlRequestHandler,
    report_unsound: Callable[[UnsoundRecord], None],
) -> None:
    def reject(endpoint_id: str, fault: RecordFault) -> HTTPResponse:
        writer = request.environ.get("REMOTE_ADDR", "")
        report_unsound(UnsoundRecord(writer=writer, endpoint_id=endpoint_id, fault=fault))
        message = f"{fault.field}: {fault.detail}"[:_MAX_ERROR_TEXT]
        return _make_response(400, {"error": "unsound", "message": message})

    def put_endpoint(endpoint_id: str) -> HTTPResponse:
        record = read_heartbeat(endpoint_id, _read_body(MAX_BODY_BYTES))
        if record.is_error():
            return reject(endpoint_id, record.error)
        outcome = handler.announce(record.ok)
        return _make_response(200, {}) if outcome.is_ok() else _make_refusal(outcome.error, "")

    def delete_endpoint(endpoint_id: str) -> HTTPResponse:
        born = read_departure(endpoint_id, _read_body(MAX_BODY_BYTES))
        if born.is_error():
            return reject(endpoint_id, born.error)
        outcome = handler.leave(endpoint_id, born.ok)
        return _make_response(200, {}) if outcome.is_ok() else _make_refusal(outcome.error, "")

    app.route("/instances/<endpoint_id>", "PUT", put_endpoint)
    app.route("/instances/<endpoint_id>", "DELETE", delete_endpoint)


def make_app() -> Bottle:
    """Return an application that renders its errors as short JSON documents."""
    app = Bottle()

    def render_error(error: HTTPError) -> bytes:
        error.content_type = "application/json"
        name = HTTP_CODES.get(error.status_code, "error").lower().replace(" ", "_")
        text = f"{request.method} {request.path} is not a call of this listener"
        message = text if error.status_code in (404, 405) else str(error.body)
        return msgspec.json.encode({"error": name, "message": message[:_MAX_ERROR_TEXT]})

    app.default_error_handler = render_error
    return app


def add_document_route(app: Bottle, find_body: Callable[[int], bytes | None]) -> None:
    """Add the call by which a router serves its document to operators redirected to it.

    ``find_body`` returns the document if it has at least the given version.
    """

    def get_config() -> HTTPResponse:
        min_version = read_count(request.query.get(_QUERY_VERSION, ""))
        body = None if min_version is None else find_body(min_version)
        if body is None:
            return _make_response(503, {"error": "behind"})
        return HTTPResponse(body=body, status=200, headers=_JSON)

    app.route("/config", "GET", get_config)


def _read_document_body() -> bytes:
    """Return the body of a configuration call, with memory reserved for what is decoded from it."""
    if int(request.environ.get("CONTENT_LENGTH") or 0) > MAX_DOCUMENT_BYTES:
        raise _make_refusal(faults.body_too_large(MAX_DOCUMENT_BYTES), "")
    body = _read_body(MAX_DOCUMENT_BYTES, timeout_s=DOCUMENT_TIMEOUT_S)
    if len(body) > MAX_DOCUMENT_BYTES:
        raise _make_refusal(faults.body_too_large(MAX_DOCUMENT_BYTES), "")
    try:
        reserve_memory(request.environ, len(body) * DECODED_DOCUMENT_FACTOR)
    except FaultError as error:
        raise _make_refusal(error.fault, "") from error
    return body


def _read_body(max_bytes: int, *, timeout_s: float = BODY_TIMEOUT_S) -> bytes:
    """Return the body of a call; of one that is too long more than ``max_bytes``, but not all.

    One that does not arrive whole ends the call unexecuted.
    """
    try:
        return read_at_most(request.environ, max_bytes + 1, timeout_s=timeout_s)
    except FaultError as error:
        raise _make_refusal(error.fault, "") from error
    except OSError as error:
        message = "the rest of the call has not arrived; the call has not run"
        response = _make_response(503, {"error": "incomplete_body", "message": message})
        response.set_header("Retry-After", f"{RETRY_AFTER_S:.2f}")
        raise response from error


def _make_response(status: int, document: object) -> HTTPResponse:
    return HTTPResponse(body=msgspec.json.encode(document), status=status, headers=_JSON)


def _make_refusal(refusal: Fault | RedirectTo, path: str) -> HTTPResponse:
    if isinstance(refusal, RedirectTo):
        query = f"?{_QUERY_VERSION}={refusal.min_version}" if refusal.min_version else ""
        headers = {**_JSON, "Location": f"http://{refusal.address}{path}{query}"}
        return HTTPResponse(body=b"{}", status=307, headers=headers)
    headers = dict(_JSON)
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = f"{refusal.retry_after_s:g}"
    body = msgspec.json.encode({"error": refusal.code, "message": refusal.message})
    return HTTPResponse(body=body, status=refusal.status, headers=headers)
