"""Decides which endpoints of a service may be given new requests.

At most ``MAX_UNAVAILABLE_SHARE`` of them are held back or broken at the same time.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from chivetrack.components.endpoints.const import MAX_UNAVAILABLE_SHARE
from chivetrack.components.endpoints.models import Availability
from chivetrack.components.endpoints.record import Record


@dataclass(frozen=True, slots=True, kw_only=True)
class HealthDecision:
    """Availability of one endpoint and the reason for it."""

    availability: Availability
    reason: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceEvaluation:
    """Health decisions for all endpoints of a service.

    ``is_degraded`` means that more endpoints are suspect than may be unavailable, so the
    ones with the fewest failures are kept available.
    """

    decisions: dict[str, HealthDecision]
    is_degraded: bool


def evaluate_service(records: Iterable[Record], now: float) -> ServiceEvaluation:
    """Decide on the availability of all listed endpoints of one service."""
    listed = list(records)
    decisions = {record.announcement.endpoint_id: _evaluate(record, now) for record in listed}
    suspects = [record for record in listed if _is_suspect(decisions, record)]
    staying_count = sum(1 for record in listed if not _is_leaving(decisions, record))
    # Invalid requests, a faulty network link of this router or a wrong probe make all
    # endpoints fail. If all of them were unavailable, every caller would be refused, so
    # those with the fewest failures stay available beyond the limit.
    max_unavailable = int(MAX_UNAVAILABLE_SHARE * staying_count)
    suspects.sort(key=lambda record: _get_severity(record, now), reverse=True)
    for record in suspects[max_unavailable:]:
        endpoint_id = record.announcement.endpoint_id
        reason = f"kept available, too many endpoints are suspect: {decisions[endpoint_id].reason}"
        decisions[endpoint_id] = HealthDecision(availability=Availability.READY, reason=reason)
    return ServiceEvaluation(decisions=decisions, is_degraded=len(suspects) > max_unavailable)


def _evaluate(record: Record, now: float) -> HealthDecision:
    if record.is_leaving:
        reason = f"leaving, reported by {record.leaving_source}"
        return HealthDecision(availability=Availability.LEAVING, reason=reason)
    if record.drained_by:
        reason = f"drained: {record.drained_by}"
        return HealthDecision(availability=Availability.LEAVING, reason=reason)
    if now < record.refused_until:
        reason = "leaving, it refused a request from this router"
        return HealthDecision(availability=Availability.LEAVING, reason=reason)
    if now < record.flaps.held_until:
        reason = "lost and returned too often (flapping)"
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
    """Return a sort key; broken ranks above held back, and ties are broken by endpoint id."""
    return (
        not record.breaker.lets_through,
        record.breaker.failures_in_row,
        record.flaps.get_penalty(now),
        record.announcement.endpoint_id,
    )
