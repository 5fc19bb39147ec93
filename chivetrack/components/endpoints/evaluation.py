"""Decides which endpoints may be given new work, and keeps a service from running empty."""

from collections.abc import Iterable
from dataclasses import dataclass

from chivetrack.components.endpoints.const import MAX_UNAVAILABLE_SHARE
from chivetrack.components.endpoints.models import Availability
from chivetrack.components.endpoints.record import Record


@dataclass(frozen=True, slots=True, kw_only=True)
class HealthDecision:
    """Whether one endpoint may be given new work, and why not."""

    availability: Availability
    reason: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceEvaluation:
    """The judgements on all endpoints of a service.

    ``is_degraded``: more endpoints look bad than may be taken out, so the least bad
    of them are left in.
    """

    decisions: dict[str, HealthDecision]
    is_degraded: bool


def evaluate_service(records: Iterable[Record], now: float) -> ServiceEvaluation:
    """Judge the endpoints that are present in one service."""
    listed = list(records)
    decisions = {record.announcement.endpoint_id: _evaluate(record, now) for record in listed}
    doubtful = [record for record in listed if _is_suspect(decisions, record)]
    staying = sum(1 for record in listed if not _is_leaving(decisions, record))
    # Bad requests, a bad link of this router or a wrong probe make all endpoints look
    # bad; with all of them out every caller would be refused. Beyond the cap the least
    # bad stay in.
    allowed = int(MAX_UNAVAILABLE_SHARE * staying)
    doubtful.sort(key=lambda record: _get_severity(record, now), reverse=True)
    for record in doubtful[allowed:]:
        endpoint_id = record.announcement.endpoint_id
        reason = f"kept in, too many look bad: {decisions[endpoint_id].reason}"
        decisions[endpoint_id] = HealthDecision(availability=Availability.READY, reason=reason)
    return ServiceEvaluation(decisions=decisions, is_degraded=len(doubtful) > allowed)


def _evaluate(record: Record, now: float) -> HealthDecision:
    if record.is_leaving:
        reason = f"leaving, on the word of {record.leaving_source}"
        return HealthDecision(availability=Availability.LEAVING, reason=reason)
    if record.drained_by:
        reason = f"drained: {record.drained_by}"
        return HealthDecision(availability=Availability.LEAVING, reason=reason)
    if now < record.refused_until:
        reason = "leaving, it refused work from this router"
        return HealthDecision(availability=Availability.LEAVING, reason=reason)
    if now < record.flaps.held_until:
        reason = "came and went too often"
        return HealthDecision(availability=Availability.HELD_BACK, reason=reason)
    if not record.breaker.lets_through:
        return HealthDecision(availability=Availability.BROKEN, reason=record.breaker.reason)
    return HealthDecision(availability=Availability.READY, reason=record.breaker.reason)


def _is_suspect(decisions: dict[str, HealthDecision], record: Record) -> bool:
    availability = decisions[record.announcement.endpoint_id].availability
    return availability in (Availability.HELD_BACK, Availability.BROKEN)


def _is_leaving(decisions: dict[str, HealthDecision], record: Record) -> bool:
    return decisions[record.announcement.endpoint_id].availability is Availability.LEAVING


def _get_severity(record: Record, now: float) -> tuple[bool, int, float, str]:
    """Return a sort key; broken is worse than held back, and ties go by name."""
    return (
        not record.breaker.lets_through,
        record.breaker.failures_in_row,
        record.flaps.get_penalty(now),
        record.announcement.endpoint_id,
    )
