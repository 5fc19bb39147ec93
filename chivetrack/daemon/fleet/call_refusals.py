"""Refuses the calls that reach a replica during its stop."""

from collections.abc import Iterable
from typing import Any

from chivetrack.helpers.events import EventLog
from chivetrack.platform.control_api import refuse_during_stop

_MAX_PATH_CHARS = 200


class CallRefuser:
    """WSGI application that answers that a call has not run, and logs and counts it."""

    def __init__(self, *, events: EventLog) -> None:
        """Set the log of the refused calls."""
        self._events = events
        self.count = 0

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Refuse one call."""
        self.count += 1
        self._events.write(
            "call_refused",
            method=environ["REQUEST_METHOD"],
            path=environ["PATH_INFO"][:_MAX_PATH_CHARS],
        )
        return refuse_during_stop(environ, start_response)
