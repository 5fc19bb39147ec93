"""Refusal of the requests that a listener reads late in a stop."""

import math
from collections.abc import Callable, Iterable
from typing import Any

from chivetrack.components.caller_api.const import ENVIRON_CONNECTED_AT
from chivetrack.components.caller_api.errors import make_error_response
from chivetrack.components.limits.stopping import make_stopping_fault
from chivetrack.daemon.call_gate import Application
from chivetrack.helpers.log import get_logger

_LOGGER = get_logger("stop")


class StopRefusal:
    """WSGI application that answers that a request has not run because the instance stops.

    ``answered_paths`` are still answered by ``application``: they pass nothing on.
    """

    def __init__(
        self,
        *,
        application: Application,
        make_id: Callable[[], str],
        answered_paths: Iterable[str] = (),
    ) -> None:
        """Store the application; ``make_id`` returns a new request id."""
        self._application = application
        self._make_id = make_id
        self._answered_paths = frozenset(answered_paths)

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Refuse one request with a typed error."""
        if environ["PATH_INFO"] in self._answered_paths:
            return self._application(environ, start_response)
        request_id = self._make_id()
        fault = make_stopping_fault(do_others_accept=True, left_s=0.0)
        response = make_error_response(fault, request_id)
        _LOGGER.info("Refused request {}: {}.", request_id, fault.code)
        start_response(response.status_line, response.headerlist)
        return [response.body]


class ConnectionGate:
    """WSGI wrapper that refuses requests on connections that were opened late in a stop.

    Connections close after their request during a stop, so only so many requests come over
    the older ones. With new connections a stop would never be quiet while callers keep coming.
    """

    def __init__(self, *, application: Application, refuse: Application) -> None:
        """Wrap ``application``; requests on all connections are served at first."""
        self._application = application
        self._refuse = refuse
        self.opened_until = math.inf

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Serve one request, or refuse it if its connection was opened too late."""
        if environ[ENVIRON_CONNECTED_AT] > self.opened_until:
            return self._refuse(environ, start_response)
        return self._application(environ, start_response)
