"""Counts the calls in progress at a control listener and refuses new ones during a stop."""

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from chivetrack.components.limits.stopping import RETRY_AFTER_S

_BODY = msgspec.json.encode(
    {"error": "stopping", "message": "this replica is stopping; use another replica"}
)


class CallGate:
    """WSGI wrapper that counts an application's calls and refuses new ones once closed."""

    def __init__(self, *, application: Callable[..., Iterable[bytes]]) -> None:
        """Wrap ``application``; the gate is open at first."""
        self._application = application
        self.open_count = 0
        self.is_closed = False

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Serve one call, or answer 503 if the gate is closed."""
        if self.is_closed:
            headers = [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(_BODY))),
                ("Retry-After", f"{RETRY_AFTER_S:.2f}"),
            ]
            start_response("503 Service Unavailable", headers)
            return [_BODY]
        self.open_count += 1
        try:
            return self._application(environ, start_response)
        finally:
            self.open_count -= 1
