"""Conversion of faults to HTTP answers."""

import math
from typing import Any

import msgspec
from bottle import HTTPResponse

from chivetrack.components.caller_api.const import HEADER_REQUEST_ID, JSON_TYPE
from chivetrack.exceptions import Fault


def make_error_body(fault: Fault, request_id: str = "") -> dict[str, Any]:
    """Return the JSON form of a fault."""
    error: dict[str, Any] = {
        "code": fault.code,
        "message": fault.message,
        "ran": fault.ran.value,
    }
    if request_id:
        error["request_id"] = request_id
    if fault.retry_after_s is not None:
        error["retry_after_s"] = round(fault.retry_after_s, 3)
    return {"error": error}


def make_error_response(fault: Fault, request_id: str = "") -> HTTPResponse:
    """Return the HTTP answer for a fault; ``Retry-After`` is rounded up to whole seconds."""
    headers = {"Content-Type": JSON_TYPE}
    if request_id:
        headers[HEADER_REQUEST_ID] = request_id
    if fault.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(fault.retry_after_s)))
    body = msgspec.json.encode(make_error_body(fault, request_id))
    return HTTPResponse(body=body, status=fault.status, headers=headers)


def make_raw_error(fault: Fault) -> bytes:
    """Return the raw HTTP answer for a request that did not reach an application."""
    response = make_error_response(fault)
    lines = [f"HTTP/1.1 {response.status_line}", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in response.headerlist]
    lines.append(f"Content-Length: {len(response.body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + response.body


def make_stream_error(fault: Fault, request_id: str) -> bytes:
    """Return a fault as the last event of an event stream."""
    return b"data: " + msgspec.json.encode(make_error_body(fault, request_id)) + b"\n\n"
