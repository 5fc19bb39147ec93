"""Controller that takes planned drains through pending, waiting, active and done."""

from dataclasses import replace
from datetime import datetime

import msgspec

from chivetrack.components.controllers.controller import CONTROLLERS
from chivetrack.components.controllers.models import Plan, WriteStatus
from chivetrack.components.drains.capacity import CapacityTracker
from chivetrack.components.drains.const import (
    CONTROLLER,
    INSTANCES,
    KIND,
    MAX_EVENTS,
    RECONCILE_INTERVAL_S,
    SETTLE_S,
    STATUS_WRITE_INTERVAL_S,
)
from chivetrack.components.drains.models import (
    DesiredDrain,
    DrainEvent,
    DrainObservation,
    DrainReport,
    Member,
    Reservation,
    make_endpoint_member,
    make_instance_member,
)
from chivetrack.components.drains.observation import FleetObserver
from chivetrack.components.drains.progress import Progress, measure_progress
from chivetrack.components.resources.kinds import KINDS
from chivetrack.components.resources.models import DrainPhase, DrainStatus
from chivetrack.components.store.records import Record
from chivetrack.components.store.table import ResourceTable
from chivetrack.const import MILLISECONDS_PER_SECOND

_REPORTS = msgspec.msgpack.Decoder(DrainReport, strict=False)
_STATUSES = msgspec.msgpack.Decoder(DrainStatus, strict=False)


@CONTROLLERS.register(CONTROLLER)
class DrainController:
    """Starts drains when their start time and the floor allow it, and tracks their progress.

    The status is the only state of a drain: routers keep new requests away from the target
    according to its phase, and deleting the resource ends the drain at once. Nothing else
    has to be undone, so a crash of the controller leaves no partial drain behind, and no
    finalizer is needed.
    """

    def __init__(self, *, table: ResourceTable, observer: FleetObserver) -> None:
        """Read drains from ``table`` and the fleet from ``observer``."""
        self._table = table
        self._observer = observer
        self._first_seen_active: dict[str, tuple[int, float]] = {}
        self._last_write_at: dict[str, float] = {}

    def read_desired(self) -> tuple[DesiredDrain, ...]:
        """Return the drains that are not being deleted, the oldest first."""
        read = (_read_drain(record) for record in self._table.iterate(KIND))
        drains = [drain for drain in read if drain is not None]
        return tuple(sorted(drains, key=lambda drain: (drain.record.created_ms, drain.name)))

    def read_observed(self, *, now: float) -> DrainObservation:
        """Return the state of the fleet at ``now``."""
        return self._observer.observe(now=now)

    def reconcile(
        self, desired: tuple[DesiredDrain, ...], observed: DrainObservation, *, now: float
    ) -> Plan:
        """Return a plan with the status writes that are due."""
        members = _list_members(observed)
        self._prune_deleted(desired)
        unchecked = [drain for drain in desired if drain.is_in_force and not drain.is_floor_checked]
        if unchecked:
            # The specification was edited while routers apply the drain. No other drain may
            # start until the floor has been checked for the new target.
            writes = self._recheck_floors(unchecked, desired, members, observed)
        else:
            writes = self._advance_drains(desired, members, observed, now)
        changed = [write for write in writes if write is not None]
        for write in changed:
            self._last_write_at[write.name] = now
        return Plan(actions=tuple(changed), reconcile_again_at=now + RECONCILE_INTERVAL_S)

    def _advance_drains(
        self,
        desired: tuple[DesiredDrain, ...],
        members: tuple[Member, ...],
        observed: DrainObservation,
        now: float,
    ) -> list[WriteStatus | None]:
        in_force = [drain for drain in desired if drain.is_in_force]
        capacity = CapacityTracker(members=members, in_force=in_force)
        writes = [self._update_progress(drain, members, observed, now) for drain in in_force]
        for drain in desired:
            if not drain.is_in_force:
                writes.append(self._try_to_start(drain, capacity, observed, now))
        return writes

    def _recheck_floors(
        self,
        unchecked: list[DesiredDrain],
        desired: tuple[DesiredDrain, ...],
        members: tuple[Member, ...],
        observed: DrainObservation,
    ) -> list[WriteStatus | None]:
        others = [drain for drain in desired if drain.is_in_force and drain.is_floor_checked]
        capacity = CapacityTracker(members=members, in_force=others)
        writes: list[WriteStatus | None] = []
        for drain in unchecked:
            check = capacity.check(drain)
            if check.reason:
                writes.append(
                    _make_status_write(drain, _make_waiting(drain, check.reason, observed))
                )
                continue
            capacity.reserve(drain, check.reserved)
            writes.append(_make_status_write(drain, _make_active(drain, check.reserved, observed)))
        return writes

    def _try_to_start(
        self, drain: DesiredDrain, capacity: CapacityTracker, observed: DrainObservation, now: float
    ) -> WriteStatus | None:
        reason = _find_schedule_reason(drain, observed.wall_ms)
        if not reason:
            check = capacity.check(drain)
            reason = check.reason
            if not reason:
                capacity.reserve(drain, check.reserved)
                return _make_status_write(drain, _make_active(drain, check.reserved, observed))
        if drain.report is not None and drain.report.reason == reason:
            return None
        if drain.report is not None and not self._is_due(drain, now):
            return None
        return _make_status_write(drain, _make_waiting(drain, reason, observed))

    def _update_progress(
        self,
        drain: DesiredDrain,
        members: tuple[Member, ...],
        observed: DrainObservation,
        now: float,
    ) -> WriteStatus | None:
        report = drain.report
        assert report is not None
        progress = measure_progress(drain, members, observed)
        if report.phase is DrainPhase.ACTIVE:
            reason = self._find_done_reason(drain, progress, observed, now)
            if reason:
                return _make_status_write(drain, _make_done(report, reason, progress, observed))
        if (report.in_flight, report.left) == (progress.in_flight, progress.left):
            return None
        if not self._is_due(drain, now):
            return None
        return _make_status_write(
            drain, replace(report, in_flight=progress.in_flight, left=progress.left)
        )

    def _find_done_reason(
        self, drain: DesiredDrain, progress: Progress, observed: DrainObservation, now: float
    ) -> str:
        deadline = drain.spec.deadline
        if deadline is not None and observed.wall_ms >= _to_ms(deadline):
            return f"deadline reached with {progress.in_flight} requests in flight"
        # A count of zero that is older than the drain on the slowest router is not enough:
        # a router that had not received the drain yet may have sent another request since.
        counted_at = now - progress.age_s
        is_fresh = counted_at >= self._record_active(drain, now) + SETTLE_S
        if progress.is_known and progress.in_flight == 0 and is_fresh:
            return "nothing is in flight"
        return ""

    def _record_active(self, drain: DesiredDrain, now: float) -> float:
        """Return when this lease holder first saw the drain active, on its own clock."""
        assert drain.report is not None
        first_seen = self._first_seen_active.get(drain.name)
        if first_seen is None or first_seen[0] != drain.report.active_ms:
            first_seen = (drain.report.active_ms, now)
            self._first_seen_active[drain.name] = first_seen
        return first_seen[1]

    def _is_due(self, drain: DesiredDrain, now: float) -> bool:
        return now >= self._last_write_at.get(drain.name, float("-inf")) + STATUS_WRITE_INTERVAL_S

    def _prune_deleted(self, desired: tuple[DesiredDrain, ...]) -> None:
        names = {drain.name for drain in desired}
        for times in (self._first_seen_active, self._last_write_at):
            for name in [name for name in times if name not in names]:
                del times[name]


def _read_drain(record: Record) -> DesiredDrain | None:
    if record.deleting_ms:
        return None
    spec = KINDS[KIND].compact.decode(record.spec)
    if spec is None:
        return None
    return DesiredDrain(record=record, spec=spec, report=_read_report(record.status))


def _read_report(status: bytes) -> DrainReport | None:
    if not status:
        return None
    try:
        return _REPORTS.decode(status)
    except msgspec.MsgspecError:
        # The rest of the status is invalid, but the phase must be the one that routers read.
        read = _STATUSES.decode(status)
        return DrainReport(phase=read.phase, reason=read.reason)


def _list_members(observed: DrainObservation) -> tuple[Member, ...]:
    endpoints = [make_endpoint_member(endpoint) for endpoint in observed.endpoints]
    instances = [make_instance_member(instance, INSTANCES) for instance in observed.instances]
    return (*endpoints, *instances)


def _find_schedule_reason(drain: DesiredDrain, wall_ms: int) -> str:
    start, deadline = drain.spec.start, drain.spec.deadline
    if start is not None and wall_ms < _to_ms(start):
        return f"starts at {start.isoformat()}"
    if deadline is not None and wall_ms >= _to_ms(deadline):
        return f"the deadline {deadline.isoformat()} passed before it could start"
    return ""


def _make_active(
    drain: DesiredDrain, reserved: Reservation, observed: DrainObservation
) -> DrainReport:
    reason = "started"
    return DrainReport(
        phase=DrainPhase.ACTIVE,
        reason=reason,
        target=drain.target,
        floor=drain.spec.floor,
        active_ms=observed.wall_ms,
        reserved=reserved,
        events=_add_event(drain.report, DrainPhase.ACTIVE, reason, observed.wall_ms),
    )


def _make_waiting(drain: DesiredDrain, reason: str, observed: DrainObservation) -> DrainReport:
    return DrainReport(
        phase=DrainPhase.WAITING,
        reason=reason,
        target=drain.target,
        floor=drain.spec.floor,
        events=_add_event(drain.report, DrainPhase.WAITING, reason, observed.wall_ms),
    )


def _make_done(
    report: DrainReport, reason: str, progress: Progress, observed: DrainObservation
) -> DrainReport:
    return replace(
        report,
        phase=DrainPhase.DONE,
        reason=reason,
        done_ms=observed.wall_ms,
        in_flight=progress.in_flight,
        left=progress.left,
        events=_add_event(report, DrainPhase.DONE, reason, observed.wall_ms),
    )


def _add_event(
    report: DrainReport | None, phase: DrainPhase, reason: str, wall_ms: int
) -> tuple[DrainEvent, ...]:
    events = () if report is None else report.events
    return (*events, DrainEvent(at_ms=wall_ms, phase=phase, reason=reason))[-MAX_EVENTS:]


def _make_status_write(drain: DesiredDrain, report: DrainReport) -> WriteStatus:
    return WriteStatus(
        kind=KIND,
        name=drain.name,
        status=msgspec.msgpack.encode(report),
        precondition=drain.record.status_revision,
    )


def _to_ms(moment: datetime) -> int:
    return round(moment.timestamp() * MILLISECONDS_PER_SECOND)
