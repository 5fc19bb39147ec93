"""Log lines about requests: placement, results of attempts, refusals and the end."""

import time
from collections.abc import Callable, Mapping
from typing import Any

from chivetrack.components.origins.models import Continuation, OriginVerdict
from chivetrack.components.placement.choice import Choice
from chivetrack.components.traffic.requests import RequestFacts
from chivetrack.daemon.fleet.calls import Call
from chivetrack.daemon.fleet.fleet_view import FleetView
from chivetrack.exceptions import Fault
from chivetrack.helpers.events import EventLog

_MAX_DETAIL = 200
_MAX_ID = 64


class RequestLog:
    """Write the router's decisions on requests; each line has the request id."""

    def __init__(
        self,
        *,
        view: FleetView,
        events: EventLog,
        record_rejection: Callable[[Fault], None],
        record_continuation: Callable[[Continuation], None] = lambda continuation: None,
        record_budget: Callable[[bool], None] = lambda has_budget: None,
        describe_budget: Callable[[str], Mapping[str, float]] = lambda service: {},
    ) -> None:
        """Store the view, which provides the configuration version and endpoint counts.

        ``record_rejection`` receives the fault of each request that is refused, and
        ``record_continuation`` each placement that continues a stream, ``record_budget`` whether
        the retry budget allowed a retry. ``describe_budget`` returns what the budget of a service
        holds.
        """
        self._view = view
        self._events = events
        self._record_rejection = record_rejection
        self._record_continuation = record_continuation
        self._record_budget = record_budget
        self._describe_budget = describe_budget
        self._started_at = time.monotonic()
        self.stopping_since: float | None = None

    def write_rejected(
        self, facts: RequestFacts, fault: Fault, *, path: str, **evidence: Any
    ) -> None:
        """Write why the router refuses a request instead of sending it to an endpoint."""
        self._record_rejection(fault)
        self._events.write(
            "request_rejected",
            request=facts.request_id,
            code=fault.code,
            status=fault.status,
            version=self._view.version,
            path=path,
            **evidence,
        )

    def write_outdated(self, call: Call, choice: Choice) -> None:
        """Write that an endpoint is not used, since it has left while the request waited."""
        self._events.write(
            "choice_outdated",
            request=call.facts.request_id,
            endpoint=choice.record.endpoint_id,
            sequence=choice.record.sequence,
        )

    def write_stopping(
        self, call: Call, choice: Choice, fault: Fault, *, expected_s: float | None, left_s: float
    ) -> None:
        """Write that a request is refused because the instance stops before it could end."""
        self.write_rejected(
            call.facts,
            fault,
            path=call.target,
            endpoint=choice.record.endpoint_id,
            expected_ms=None if expected_s is None else round(expected_s * 1000),
            left_ms=round(left_s * 1000),
            **self._describe_stop(came_at=call.came_at, connected_at=call.connected_at),
        )

    def write_late(
        self, facts: RequestFacts, fault: Fault, *, path: str, came_at: float, connected_at: float
    ) -> None:
        """Write that a request is refused because it was read after the decision to exit."""
        times = self._describe_stop(came_at=came_at, connected_at=connected_at)
        self.write_rejected(facts, fault, path=path, **times)

    def write_placed(self, call: Call, choice: Choice) -> None:
        """Write the chosen endpoint and the values that its score is based on."""
        if call.last_event_id and call.origin_basis is not None:
            self._record_continuation(
                Continuation(is_by_caller=call.first_event_at is None, basis=call.origin_basis)
            )
        self._events.write(
            "request_placed",
            request=call.facts.request_id,
            service=call.service,
            endpoint=choice.record.endpoint_id,
            software=choice.record.software,
            **_describe_origin(call),
            last_event=call.last_event_id[:_MAX_ID],
            resumes=call.facts.resumes[:_MAX_ID],
            part=call.facts.shared_parts[-1].part_id if call.facts.shared_parts else "",
            prompt=call.facts.prompt_tokens,
            missing=choice.missing_tokens,
            fetch_from=choice.fetch_from,
            running=choice.running,
            cost_ms=round(choice.cost_ms),
            tries=len(call.attempts),
            max_output=call.facts.max_output_tokens,
            expected_output=call.facts.expected_tokens,
            **self._describe_stop(came_at=call.came_at, connected_at=call.connected_at),
        )

    def _describe_stop(self, *, came_at: float, connected_at: float) -> dict[str, int]:
        """Return the times (ms) from the stop signal to the request and to its connection."""
        since = self.stopping_since
        if since is None:
            return {}
        return {
            "came_after_stop_ms": round((came_at - since) * 1000),
            "connected_after_stop_ms": round((connected_at - since) * 1000),
        }

    def write_attempt(self, call: Call, choice: Choice, outcome: str, detail: str) -> None:
        """Write how an attempt ended; an answered first attempt is not logged separately."""
        if outcome == "answered" and not call.attempts:
            return
        self._events.write(
            "try_ended",
            request=call.facts.request_id,
            service=call.service,
            endpoint=choice.record.endpoint_id,
            address=choice.record.address,
            software=choice.record.software,
            **_describe_origin(call),
            outcome=outcome,
            detail=detail[:_MAX_DETAIL],
            fingerprint=call.fingerprint.hex(),
            running=choice.running,
            last_event=call.last_event_id[:_MAX_ID],
        )

    def write_budget(self, call: Call) -> None:
        """Write whether the retry budget had room for a retry, and what it holds."""
        has_budget = call.reservation is not None
        self._record_budget(has_budget)
        self._events.write(
            "retry_budget",
            request=call.facts.request_id,
            service=call.service,
            has_budget=has_budget,
            is_leased=call.reservation is not None and call.reservation.expires_at is not None,
            life_s=round(time.monotonic() - self._started_at, 1),
            **self._describe_budget(call.service),
        )

    def write_unknown_origin(self, call: Call, verdict: OriginVerdict, fault: Fault) -> None:
        """Write why a stream that the caller takes up is refused."""
        self._record_rejection(fault)
        self._events.write(
            "stream_refused",
            request=call.facts.request_id,
            route=call.route.name,
            why=verdict.basis.value,
            status=fault.status,
            last_event=call.last_event_id[:_MAX_ID],
            resumes=call.facts.resumes[:_MAX_ID],
            asked_ms=round((time.monotonic() - call.came_at) * 1000),
        )

    def write_given_up(self, call: Call, status: int, *, why: str, pause_s: float) -> None:
        """Write why a request is abandoned; ``status`` answers it unless its answer has begun."""
        self._events.write(
            "request_given_up",
            request=call.facts.request_id,
            why=why,
            status=call.reply.status if call.reply.is_started else status,
            tries=len(call.attempts),
            **_describe_origin(call),
            candidates=self._view.count_candidates(call.service),
            evacuated=self._view.directory.evacuations.list_evacuated(),
            pause_s=round(pause_s, 2),
        )

    def write_ended(self, call: Call, outcome: str, *, now: float) -> None:
        """Write how a request ended at ``now`` (seconds)."""
        first = call.first_event_at
        self._events.write(
            "request_ended",
            request=call.facts.request_id,
            route=call.route.name,
            service=call.service,
            outcome=outcome,
            status=call.reply.status,
            fingerprint=call.fingerprint.hex(),
            tries=len(call.attempts),
            framing=call.framing,
            sent=call.reply.bytes_sent,
            ms=round((now - call.came_at) * 1000),
            first_ms=None if first is None else round((first - call.came_at) * 1000),
            **_describe_origin(call),
            version=self._view.version,
            **self._describe_stop(came_at=call.came_at, connected_at=call.connected_at),
        )


def _describe_origin(call: Call) -> dict[str, Any]:
    """Return the version that began a stream, how it is known, and for how long (s)."""
    origin, basis = call.origin, call.origin_basis
    return {
        "began_at": None if origin is None else origin.software,
        "known_by": None if basis is None else basis.value,
        "known_s": round(call.origin_age_s, 2),
    }
