"""Explanations of requests and endpoints as documents."""

from collections.abc import Callable
from typing import Any

from chivetrack.components.endpoints.registry import EndpointRegistry
from chivetrack.components.routing.models import Candidate, Placement
from chivetrack.daemon.recorder import RequestRecord, RequestRecorder

Document = dict[str, Any]


class Explanations:
    """Tells why a request went where it went, and why an endpoint is in or out."""

    def __init__(
        self,
        *,
        instance_id: str,
        recorder: RequestRecorder,
        registry: EndpointRegistry,
        read_clock: Callable[[], float],
    ) -> None:
        """Take what is remembered here."""
        self._instance_id = instance_id
        self._recorder = recorder
        self._registry = registry
        self._read_clock = read_clock

    def explain_request(self, request_id: str) -> Document | None:
        """Return what this instance remembers of a request."""
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
        """Return why an endpoint is in or out, since when and on whose word."""
        found = self._registry.explain(endpoint_id, now=self._read_clock())
        return {
            "endpoint": found.endpoint_id,
            "router": self._instance_id,
            "verdict": found.verdict,
            "reason": found.reason,
            "since_s": round(found.since_s, 3),
            "word": found.word,
            "incarnation": found.incarnation,
            "lease_left_s": found.lease_left_s,
            "carriers": list(found.carriers),
            "failures": found.failures,
            "flaps": found.flaps,
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
