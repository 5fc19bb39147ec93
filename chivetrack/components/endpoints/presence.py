"""Adds endpoints to the list and removes them, and builds their list entries."""

from collections.abc import Iterable

from chivetrack.components.endpoints.evaluation import HealthDecision, ServiceEvaluation
from chivetrack.components.endpoints.models import Announcement, Drain, EndpointState
from chivetrack.components.endpoints.record import Record


def find_drain(drains: Iterable[Drain], announcement: Announcement) -> str:
    """Return the name of the drain that covers an endpoint, or an empty string."""
    for drain in drains:
        if announcement.endpoint_id in drain.endpoint_ids or announcement.zone in drain.zones:
            return drain.name
    return ""


def toggle_listing(record: Record, others: Iterable[Record], *, now: float) -> None:
    """Add an endpoint whose lease was renewed, or remove one whose lease expired.

    A return after an unannounced loss counts as a flap.
    """
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

    On a router that was partitioned or frozen, all leases expire at once. The endpoints did
    not flap then, and holding them back would prolong the outage.
    """
    lease_s = record.announcement.lease_s
    lost_count = 0
    listed_count = 0
    for other in others:
        if abs(other.gone_at - record.gone_at) <= lease_s:
            lost_count += 1
        elif other.is_listed:
            listed_count += 1
    return lost_count > listed_count


def make_states(
    records: Iterable[Record], evaluation: ServiceEvaluation
) -> tuple[EndpointState, ...]:
    """Return the list entries of endpoints, ordered by endpoint id."""
    listed = sorted(records, key=lambda record: record.announcement.endpoint_id)
    return tuple(
        _get_listed_state(record, evaluation.decisions[record.announcement.endpoint_id])
        for record in listed
    )


def _get_listed_state(record: Record, decision: HealthDecision) -> EndpointState:
    """Return the list entry, reusing the previous object if nothing changed."""
    listed_state = record.listed_state
    if listed_state is not None and record.listed_announcement is record.announcement:
        same = (
            listed_state.availability is decision.availability
            and listed_state.reason == decision.reason
        )
        if same and listed_state.joined_at == record.joined_at:
            return listed_state
    record.listed_state = _make_state(record, decision)
    record.listed_announcement = record.announcement
    return record.listed_state


def _make_state(record: Record, decision: HealthDecision) -> EndpointState:
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
        availability=decision.availability,
        reason=decision.reason,
    )
