"""Whether endpoints are listed, and what the list says of them."""

from collections.abc import Iterable

from chivetrack.components.endpoints.evaluation import HealthDecision, ServiceEvaluation
from chivetrack.components.endpoints.models import Announcement, Drain, EndpointState
from chivetrack.components.endpoints.record import Record


def find_drain(drains: Iterable[Drain], announcement: Announcement) -> str:
    """Return the name of the drain that takes an endpoint out, or an empty string."""
    for drain in drains:
        if announcement.endpoint_id in drain.endpoint_ids or announcement.zone in drain.zones:
            return drain.name
    return ""


def toggle_listing(record: Record, others: Iterable[Record], *, now: float) -> None:
    """List an endpoint whose lease was renewed, or drop one whose lease ran out."""
    record.is_listed = not record.is_listed
    record.since = now
    if not record.is_listed:
        record.gone_at = now
        record.left_gracefully = record.is_leaving
        return
    was_lost = record.gone_at != float("-inf") and not record.left_gracefully
    if was_lost and not _is_mass_loss(record, others):
        record.flaps.record(now)


def _is_mass_loss(record: Record, others: Iterable[Record]) -> bool:
    """Return whether most endpoints were lost at about the same time as this one.

    A router that was cut off or frozen loses all leases at once. That is no flapping
    of the endpoints, and holding them back would prolong the outage.
    """
    lease_s = record.announcement.lease_s
    went = 0
    stayed = 0
    for other in others:
        if abs(other.gone_at - record.gone_at) <= lease_s:
            went += 1
        elif other.is_listed:
            stayed += 1
    return went > stayed


def make_states(records: Iterable[Record], judged: ServiceEvaluation) -> tuple[EndpointState, ...]:
    """Return what the list shows of endpoints, in the order of their ids."""
    listed = sorted(records, key=lambda record: record.announcement.endpoint_id)
    return tuple(
        _get_listed_state(record, judged.decisions[record.announcement.endpoint_id])
        for record in listed
    )


def _get_listed_state(record: Record, judgement: HealthDecision) -> EndpointState:
    """Return the state that was shown before if it would not differ."""
    shown = record.shown
    if shown is not None and record.listed_announcement is record.announcement:
        same = shown.availability is judgement.availability and shown.reason == judgement.reason
        if same and shown.joined_at == record.joined_at:
            return shown
    record.shown = _make_state(record, judgement)
    record.listed_announcement = record.announcement
    return record.shown


def _make_state(record: Record, judgement: HealthDecision) -> EndpointState:
    announcement = record.announcement
    return EndpointState(
        endpoint_id=announcement.endpoint_id,
        incarnation=announcement.incarnation,
        address=announcement.address,
        kind=announcement.kind,
        service=announcement.service,
        region=announcement.region,
        zone=announcement.zone,
        capacity=announcement.capacity,
        models=announcement.models,
        adapters=announcement.adapters,
        version=announcement.version,
        role=announcement.role,
        checks_fencing=announcement.checks_fencing,
        joined_at=record.joined_at,
        availability=judgement.availability,
        reason=judgement.reason,
    )
