"""Reading of request bodies with a size limit and a timeout."""

from typing import Any

import gevent

from chivetrack.components.caller_api.const import ENVIRON_READING_ENDED
from chivetrack.components.limits.stopping import make_stopping_fault
from chivetrack.components.pipeline import faults
from chivetrack.exceptions import Fault, FaultError


def read_body(environ: dict[str, Any], *, limit: int, timeout_s: float) -> bytes:
    """Return the complete body of a request.

    Raises ``FaultError`` if the body is larger than ``limit`` bytes, takes longer than
    ``timeout_s`` seconds, or is incomplete.
    """
    length = environ.get("CONTENT_LENGTH") or ""
    if length.isdigit() and int(length) > limit:
        raise FaultError(faults.body_too_large(limit))
    # Without the timeout, a caller that stops sending in the middle of its body would
    # occupy a connection forever.
    with gevent.Timeout(timeout_s, FaultError(faults.body_timeout(timeout_s))):
        try:
            body: bytes = environ["wsgi.input"].read(limit + 1)
        except (OSError, ValueError) as error:
            raise FaultError(_make_incomplete(environ, f"cannot read the body: {error}")) from error
    if len(body) > limit:
        raise FaultError(faults.body_too_large(limit))
    if length.isdigit() and len(body) < int(length):
        raise FaultError(_make_incomplete(environ, "the body is shorter than its Content-Length"))
    return body


def _make_incomplete(environ: dict[str, Any], detail: str) -> Fault:
    if environ.get(ENVIRON_READING_ENDED):
        return make_stopping_fault(do_others_accept=True, left_s=0.0)
    return faults.malformed_body(detail)
