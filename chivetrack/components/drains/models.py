"""What the drain controller reads and writes."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from chivetrack.components.endpoints.models import Availability, EndpointState
from chivetrack.components.resources.models import Drain, DrainPhase, DrainTargetKind
from chivetrack.components.store.records import Record

Reservation = dict[str, dict[str, int]]
"""Capacity by group (a service, or the instances) and name."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainEvent:
    """One step of a drain: what the controller did and why; ``at_ms`` since 1970."""

    at_ms: int
    phase: DrainPhase
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainReport:
    """The whole status of a drain; routers read its phase.

    ``target`` and ``floor`` are those of the specification that the floor was checked
    for. ``reserved`` is the capacity that it keeps out; it stays when its endpoints are
    gone. ``left`` names some of what still has requests in flight.
    """

    phase: DrainPhase = DrainPhase.WAITING
    reason: str = ""
    target: str = ""
    floor: float = 0.0
    active_ms: int = 0
    done_ms: int = 0
    in_flight: int = 0
    left: tuple[str, ...] = ()
    reserved: Reservation = field(default_factory=dict)
    events: tuple[DrainEvent, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class DesiredDrain:
    """A drain resource that is not being deleted, with its status so far."""

    record: Record
    spec: Drain
    report: DrainReport | None

    @property
    def name(self) -> str:
        """Return the name of the resource."""
        return self.record.name

    @property
    def target(self) -> str:
        """Return the target as the status names it."""
        return f"{self.spec.target.kind.value}/{self.spec.target.name}"

    @property
    def is_in_force(self) -> bool:
        """Tell whether routers keep its target from new work."""
        return self.report is not None and self.report.phase is not DrainPhase.WAITING

    @property
    def is_floor_checked(self) -> bool:
        """Tell whether the floor was checked for the specification as it stands."""
        report = self.report
        return report is not None and (report.target, report.floor) == (
            self.target,
            self.spec.floor,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceState:
    """A chivetrack instance; ``in_flight`` is ``None`` if nobody knows it."""

    instance_id: str
    is_ready: bool
    in_flight: int | None = None
    age_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ObservedLoad:
    """Requests in flight at all routers together, the oldest count ``age_s`` old."""

    in_flight: int
    age_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainObservation:
    """What the controller knows of the fleet; ``loads`` leaves out what has none."""

    endpoints: tuple[EndpointState, ...]
    instances: tuple[InstanceState, ...]
    loads: Mapping[str, ObservedLoad]
    age_s: float
    wall_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """What has capacity: an endpoint in its service, an instance among the instances."""

    name: str
    kind: DrainTargetKind
    group: str
    zone: str
    capacity: int
    is_ready: bool
    is_leaving: bool

    def is_target_of(self, spec: Drain) -> bool:
        """Tell whether a drain takes this member out."""
        if spec.target.kind is DrainTargetKind.AVAILABILITY_ZONE:
            return self.kind is DrainTargetKind.ENDPOINT and self.zone == spec.target.name
        return self.kind is spec.target.kind and self.name == spec.target.name


def make_endpoint_member(endpoint: EndpointState) -> Member:
    """Return an endpoint as a member of its service."""
    return Member(
        name=endpoint.endpoint_id,
        kind=DrainTargetKind.ENDPOINT,
        group=endpoint.service,
        zone=endpoint.zone,
        capacity=endpoint.capacity,
        is_ready=endpoint.availability is Availability.READY,
        is_leaving=endpoint.availability is Availability.LEAVING,
    )


def make_instance_member(instance: InstanceState, group: str) -> Member:
    """Return an instance as a member of the instances."""
    return Member(
        name=instance.instance_id,
        kind=DrainTargetKind.INSTANCE,
        group=group,
        zone="",
        capacity=1,
        is_ready=instance.is_ready,
        is_leaving=not instance.is_ready,
    )
