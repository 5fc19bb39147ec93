"""Builds the status of a model or an adapter from its plan."""

from dataclasses import replace

import msgspec

from chivetrack.components.controllers.models import WriteStatus
from chivetrack.components.model_placement.const import MAX_EVENTS
from chivetrack.components.model_placement.models import (
    DesiredItem,
    ItemPlan,
    PlacementEvent,
    PlacementPhase,
    PlacementReport,
)


def write_report(item: DesiredItem, plan: ItemPlan, *, wall_ms: int) -> WriteStatus | None:
    """Return the write of the new status, or ``None`` if the status is unchanged."""
    before = item.report or PlacementReport()
    after = _make_report(item, plan, before)
    if after == item.report:
        return None
    if (after.phase, after.reason) != (before.phase, before.reason) or item.report is None:
        event = PlacementEvent(at_ms=wall_ms, phase=after.phase, reason=after.reason)
        after = replace(after, events=(*before.events, event)[-MAX_EVENTS:])
    return WriteStatus(
        kind=item.kind,
        name=item.record.name,
        status=msgspec.msgpack.encode(after),
        precondition=item.record.status_revision,
    )


def _make_report(item: DesiredItem, plan: ItemPlan, before: PlacementReport) -> PlacementReport:
    version = item.artifact.version
    counts = replace(before, ready=plan.ready, wanted=item.copies)
    if plan.failed_on:
        return replace(
            counts,
            phase=PlacementPhase.HALTED,
            reason=f"version {version} failed on {plan.failed_on}; nothing more moves to it",
            halted_version=version,
        )
    if item.is_halted:
        return replace(counts, phase=PlacementPhase.HALTED)
    if plan.is_complete:
        return replace(
            counts,
            phase=PlacementPhase.STEADY,
            reason=f"version {version} is in place",
            good_version=version,
            good_weights=item.artifact.weights,
            halted_version="",
        )
    if item.is_rolling:
        reason = f"version {version} replaces {before.good_version}"
        return replace(counts, phase=PlacementPhase.ROLLING, reason=reason, halted_version="")
    reason = f"version {version} is being loaded where it is missing"
    return replace(counts, phase=PlacementPhase.PLACING, reason=reason, halted_version="")
