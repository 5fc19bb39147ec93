"""Requests permits to send requests to cold endpoints from the router's assigned replica."""

import time
from collections.abc import Callable

from chivetrack.components.slow_start.const import NO_ANSWER_BACKOFF_S, PERMIT_TIMEOUT_S
from chivetrack.components.slow_start.messages import PermitAnswer, PermitRequest
from chivetrack.daemon.fleet.fleet_view import FleetView
from chivetrack.daemon.fleet.pending_requests import PendingRequests
from chivetrack.helpers.codec import Message
from chivetrack.helpers.events import EventLog


class PermitClient:
    """Request a permit for each request to a cold endpoint; record refusals until they expire."""

    def __init__(
        self,
        *,
        view: FleetView,
        find_replica: Callable[[], str],
        send: Callable[[str, Message], None],
        events: EventLog,
    ) -> None:
        """Store the view, the lookup of the assigned replica and the transport's ``send``."""
        self._view = view
        self._find_replica = find_replica
        self._send = send
        self._events = events
        self._pending = PendingRequests[PermitAnswer]()

    def allows(self, service: str, endpoint_id: str) -> bool:
        """Return whether a request may be sent to an endpoint now.

        For a cold endpoint, wait for the replica's answer.
        """
        if not self._view.is_cold(service, endpoint_id, time.monotonic()):
            return True
        wait_s = self._request_permit(endpoint_id, self._view.find_cold_rate(service))
        if wait_s == 0:
            return True
        self._view.directory.cold.record_refusal(endpoint_id, until=time.monotonic() + wait_s)
        self._events.write(
            "permit_refused",
            endpoint=endpoint_id,
            replica=self._find_replica(),
            wait_s=round(wait_s, 3),
        )
        return False

    def _request_permit(self, endpoint_id: str, per_s: float) -> float:
        replica = self._find_replica()
        if not replica:
            return NO_ANSWER_BACKOFF_S
        answer = self._pending.request(
            lambda number: self._send(
                replica, PermitRequest(number=number, endpoint_id=endpoint_id, per_s=per_s)
            ),
            timeout_s=PERMIT_TIMEOUT_S,
        )
        return NO_ANSWER_BACKOFF_S if answer is None else answer.wait_s

    def handle_answer(self, answer: PermitAnswer) -> None:
        """Handle a replica's answer; a permit that arrives after the timeout is lost."""
        self._pending.handle_answer(answer.number, answer)
