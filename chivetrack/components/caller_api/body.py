"""Reads a caller's body."""

from typing import Any

import gevent

from chivetrack.components.pipeline import faults
from chivetrack.exceptions import FaultError


def read_body(environ: dict[str, Any], *, limit: int, timeout_s: float) -> bytes:
    """Return the whole body of a request; raise ``FaultError``."""
    length = environ.get("CONTENT_LENGTH") or ""
    if length.isdigit() and int(length) > limit:
        raise FaultError(faults.body_too_large(limit))
    # A caller that stops in the middle of its body would hold its place for ever.
    with gevent.Timeout(timeout_s, FaultError(faults.body_timeout(timeout_s))):
        try:
            body: bytes = environ["wsgi.input"].read(limit + 1)
        except (OSError, ValueError) as error:
            raise FaultError(faults.malformed_body(f"body not readable: {error}")) from error
    if len(body) > limit:
        raise FaultError(faults.body_too_large(limit))
    if length.isdigit() and len(body) < int(length):
        raise FaultError(faults.malformed_body("the body is shorter than its Content-Length"))
    return body
