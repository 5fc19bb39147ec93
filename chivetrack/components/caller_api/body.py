"""Reading of request bodies with a size limit and a timeout."""

from typing import Any

import gevent

from chivetrack.components.caller_api.const import ENVIRON_MEMORY, ENVIRON_READING_ENDED
from chivetrack.components.limits.stopping import make_stopping_fault
from chivetrack.components.pipeline import faults
from chivetrack.exceptions import Fault, FaultError


def read_at_most(environ: dict[str, Any], size: int, *, timeout_s: float) -> bytes:
    """Return the body of a request, of a longer one at least its first ``size`` bytes.

    Raises ``OSError`` if the body is not whole, and ``FaultError`` if it takes longer than
    ``timeout_s`` seconds or if there is no memory for it.
    """
    # Without the timeout, a caller that stops sending in the middle of its body would
    # occupy a connection forever.
    with gevent.Timeout(timeout_s, FaultError(faults.body_timeout(timeout_s))):
        body: bytes = environ["wsgi.input"].read(size)
        return body


def read_body(environ: dict[str, Any], *, limit: int, timeout_s: float) -> bytes:
    """Return the complete body of a request.

    Raises ``FaultError`` if the body is larger than ``limit`` bytes, takes longer than
    ``timeout_s`` seconds, is incomplete, or if there is no memory for it.
    """
    length = environ.get("CONTENT_LENGTH") or ""
    if length.isdigit() and int(length) > limit:
        raise FaultError(faults.body_too_large(limit))
    try:
        body = read_at_most(environ, limit + 1, timeout_s=timeout_s)
    except (OSError, ValueError) as error:
        raise FaultError(_make_incomplete(environ, f"cannot read the body: {error}")) from error
    if len(body) > limit:
        raise FaultError(faults.body_too_large(limit))
    if length.isdigit() and len(body) < int(length):
        raise FaultError(_make_incomplete(environ, "the body is shorter than its Content-Length"))
    return body


def reserve_memory(environ: dict[str, Any], size: int) -> None:
    """Reserve bytes for what is made of a body; raise ``FaultError`` if there is no room.

    They are free again at the end of the request. A server without a memory budget has room.
    """
    memory = environ.get(ENVIRON_MEMORY)
    if memory is not None:
        memory.reserve(size)


def _make_incomplete(environ: dict[str, Any], detail: str) -> Fault:
    if environ.get(ENVIRON_READING_ENDED):
        return make_stopping_fault(do_others_accept=True, left_s=0.0)
    return faults.malformed_body(detail)
