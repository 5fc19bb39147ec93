"""Explains why an endpoint is available or unavailable."""

from chivetrack.components.endpoints.models import Availability, EndpointState, Explanation
from chivetrack.components.endpoints.record import Record

_OWN_ATTEMPTS = "this router's own attempts"


def explain_unknown(endpoint_id: str) -> Explanation:
    """Return the explanation for an endpoint that has no record on this router."""
    return Explanation(
        endpoint_id=endpoint_id,
        verdict="unknown",
        reason="no announcement of it is recorded on this router",
        since_s=0.0,
        word="nobody",
    )


def explain_record(
    record: Record, listed_state: EndpointState | None, *, now: float
) -> Explanation:
    """Return the explanation for a recorded endpoint.

    ``listed_state`` is its entry in the list of endpoints, ``None`` if it is not listed.
    """
    if listed_state is None:
        reason = "it left" if record.is_leaving else "its lease expired without a new announcement"
        return _make_explanation(
            record, "gone", reason, "nobody: the lease was not renewed", record.since, now
        )
    verdict = listed_state.availability.value
    if listed_state.availability is Availability.LEAVING:
        return _explain_leaving(record, listed_state, now)
    if listed_state.availability is Availability.HELD_BACK:
        remaining_s = record.flaps.held_until - now
        reason = f"{listed_state.reason}, released in {remaining_s:.0f} s"
        return _make_explanation(
            record, verdict, reason, "leases as recorded on this router", record.since, now
        )
    if listed_state.reason:
        return _make_explanation(
            record, verdict, listed_state.reason, _OWN_ATTEMPTS, record.breaker.since, now
        )
    return _make_explanation(record, verdict, "it holds a lease", record.source, record.since, now)


def _explain_leaving(record: Record, listed_state: EndpointState, now: float) -> Explanation:
    source = record.leaving_source or "a request that it refused to this router"
    if record.drained_by and not record.is_leaving:
        source = f"configuration: {record.drained_by}"
    return _make_explanation(
        record, listed_state.availability.value, listed_state.reason, source, record.since, now
    )


def _make_explanation(
    record: Record, verdict: str, reason: str, source: str, since: float, now: float
) -> Explanation:
    return Explanation(
        endpoint_id=record.announcement.endpoint_id,
        verdict=verdict,
        reason=reason,
        since_s=now - since,
        word=source,
        incarnation=record.announcement.incarnation,
        lease_left_s=max(0.0, record.lease_until - now),
        carriers=tuple(sorted(record.carriers)),
        failures=record.breaker.failures_in_row,
        flaps=record.flaps.get_penalty(now),
    )
