"""Documents that explain the routing of a request or the state of an endpoint."""

from collections.abc import Callable
from typing import Any

from chivetrack.components.endpoints.registry import EndpointRegistry
from chivetrack.components.routing.models import Candidate, Placement
from chivetrack.daemon.recorder import RequestRecord, RequestRecorder

Document = dict[str, Any]


class Explanations:
    """Explains why a request was sent to an endpoint, and why an endpoint is available or not."""

    def __init__(
        self,
        *,
        instance_id: str,
        recorder: RequestRecorder,
        registry: EndpointRegistry,
        read_clock: Callable[[], float],
    ) -> None:
        """Create explanations from the recorded requests and the registry of this instance."""
        self._instance_id = instance_id
        self._recorder = recorder
        self._registry = registry
        self._read_clock = read_clock

    def explain_request(self, request_id: str) -> Document | None:
        """Return the record of a request on this instance, or ``None`` if there is none."""
        record = self._recorder.find(request_id)
        if record is None:
            return None
        return self._describe_record(record)

    def _describe_record(self, record: RequestRecord) -> Document:
        document: Document = {
            "request_id": record.request_id,
            "router": self._instance_id,
            "workspace": record.workspace,
            "service": record.service,
            "model": record.model,
            "ended_s_ago": round(self._read_clock() - record.ended_at, 3),
            "duration_s": round(record.duration_s, 4),
            "attempts": [
                {"number": attempt.number, "endpoint": attempt.endpoint_id, "outcome": outcome}
                for attempt, outcome in zip(record.attempts, record.outcomes, strict=False)
            ],
            "traceparent": record.traceparent,
        }
        if record.placement is not None:
            document["placement"] = _describe_placement(record.placement)
        if record.fault is not None:
            document["error"] = {"code": record.fault.code, "ran": record.fault.ran.value}
        return document

    def explain_endpoint(self, endpoint_id: str) -> Document | None:
        """Return why an endpoint is available or not, since when, and from which source."""
        explanation = self._registry.explain(endpoint_id, now=self._read_clock())
        return {
            "endpoint": explanation.endpoint_id,
            "router": self._instance_id,
            "verdict": explanation.verdict,
            "reason": explanation.reason,
            "since_s": round(explanation.since_s, 3),
            "word": explanation.word,
            "incarnation": explanation.incarnation,
            "lease_left_s": explanation.lease_left_s,
            "carriers": list(explanation.carriers),
            "failures": explanation.failures,
            "flaps": explanation.flaps,
        }


def _describe_placement(placement: Placement) -> Document:
    endpoint = placement.endpoint
    return {
        "endpoint": None if endpoint is None else endpoint.endpoint_id,
        "reason": placement.reason,
        "candidates": [_describe_candidate(each) for each in placement.candidates],
    }


def _describe_candidate(candidate: Candidate) -> Document:
    return {
        "endpoint": candidate.endpoint_id,
        "in_flight": round(candidate.in_flight, 2),
        "limit": round(candidate.limit, 2),
        "age_s": round(candidate.age_s, 3),
        "verdict": candidate.verdict,
    }
