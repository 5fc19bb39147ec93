"""Refuses the requests that a router has not yet admitted when it decides to exit."""

import time
from collections.abc import Iterable
from typing import Any

from chivetrack.components.caller_api.const import ENVIRON_CONNECTED_AT, ENVIRON_HEADERS
from chivetrack.components.limits.stopping import make_stopping_fault
from chivetrack.daemon.fleet.calls import Reply
from chivetrack.daemon.fleet.fleet_view import FleetView
from chivetrack.daemon.fleet.request_log import RequestLog
from chivetrack.platform.headers import read_request_facts


class LateRequests:
    """WSGI application that answers each request that it has not run; counts and logs them."""

    def __init__(self, *, view: FleetView, log: RequestLog) -> None:
        """Store the view of the fleet and the request log."""
        self._view = view
        self._log = log
        self.refused_count = 0

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Refuse one request."""
        reply = Reply(start_response=start_response)
        self.refuse(environ, reply, came_at=time.monotonic())
        return ()

    def refuse(self, environ: dict[str, Any], reply: Reply, *, came_at: float) -> None:
        """Refuse a request that came at ``came_at`` (s, monotonic) and has not been passed on."""
        headers = environ[ENVIRON_HEADERS]
        facts = read_request_facts({name.lower(): value for name, value in headers})
        fault = make_stopping_fault(do_others_accept=self._view.do_others_accept, left_s=0.0)
        self.refused_count += 1
        self._log.write_late(
            facts,
            fault,
            path=environ["PATH_INFO"],
            came_at=came_at,
            connected_at=environ.get(ENVIRON_CONNECTED_AT, came_at),
        )
        reply.refuse(fault)
