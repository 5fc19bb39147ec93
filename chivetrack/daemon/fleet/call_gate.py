"""The calls in progress at a control listener, and the end of new ones during a stop."""

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from chivetrack.components.limits.stopping import RETRY_AFTER_S

_BODY = msgspec.json.encode(
    {"error": "stopping", "message": "this replica is stopping; ask another one"}
)


class CallGate:
    """Wraps an application: counts its calls, and refuses new ones once it is closed."""

    def __init__(self, *, application: Callable[..., Iterable[bytes]]) -> None:
        """Start open."""
        self._application = application
        self.open_count = 0
        self.is_closed = False

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Serve one call."""
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
