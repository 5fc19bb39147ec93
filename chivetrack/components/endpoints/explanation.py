"""Says why an endpoint is in or out."""

from chivetrack.components.endpoints.models import Availability, EndpointState, Explanation
from chivetrack.components.endpoints.record import Record

_OWN_ATTEMPTS = "this router's own attempts"


def explain_unknown(endpoint_id: str) -> Explanation:
    """Explain an endpoint that never announced itself, or long ago."""
    return Explanation(
        endpoint_id=endpoint_id,
        verdict="unknown",
        reason="no announcement of it is remembered here",
        since_s=0.0,
        word="nobody",
    )


def explain_record(record: Record, shown: EndpointState | None, *, now: float) -> Explanation:
    """Explain an endpoint; ``shown`` is what the list says of it, if it is listed."""
    if shown is None:
        reason = "it left" if record.is_leaving else "its lease ran out without an announcement"
        return _make(record, "gone", reason, "nobody: its leases are its own", record.since, now)
    verdict = shown.availability.value
    if shown.availability is Availability.LEAVING:
        return _explain_leaving(record, shown, now)
    if shown.availability is Availability.HELD_BACK:
        left = record.flaps.held_until - now
        reason = f"{shown.reason}, back in {left:.0f} s"
        return _make(record, verdict, reason, "its leases as seen here", record.since, now)
    if shown.reason:
        return _make(record, verdict, shown.reason, _OWN_ATTEMPTS, record.breaker.since, now)
    return _make(record, verdict, "it holds a lease", record.word, record.since, now)


def _explain_leaving(record: Record, shown: EndpointState, now: float) -> Explanation:
    word = record.leaving_source or "its own refusal, to this router"
    if record.drained_by and not record.is_leaving:
        word = f"configuration: {record.drained_by}"
    return _make(record, shown.availability.value, shown.reason, word, record.since, now)


def _make(
    record: Record, verdict: str, reason: str, word: str, since: float, now: float
) -> Explanation:
    return Explanation(
        endpoint_id=record.announcement.endpoint_id,
        verdict=verdict,
        reason=reason,
        since_s=now - since,
        word=word,
        incarnation=record.announcement.incarnation,
        lease_left_s=max(0.0, record.lease_until - now),
        carriers=tuple(sorted(record.carriers)),
        failures=record.breaker.failures_in_row,
        flaps=record.flaps.get_penalty(now),
    )
