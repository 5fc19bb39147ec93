"""Models that the drain controller reads and writes."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from chivetrack.components.endpoints.models import Availability, EndpointState
from chivetrack.components.resources.models import Drain, DrainPhase, DrainTargetKind
from chivetrack.components.store.records import Record

Reservation = dict[str, dict[str, int]]
"""Capacity by group (a service, or the group of instances) and member name."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainEvent:
    """Phase change of a drain with its reason; ``at_ms`` is Unix time in milliseconds."""

    at_ms: int
    phase: DrainPhase
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainReport:
    """Full status of a drain; routers read only its phase.

    ``target`` and ``floor`` are copied from the specification for which the floor was
    checked. ``reserved`` is the capacity that the drain takes out of service; it is kept
    when its endpoints are gone. ``left`` names up to ``MAX_NAMED_TARGETS`` targets that still
    have requests in flight.
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
    """Drain resource that is not being deleted, with its current status."""

    record: Record
    spec: Drain
    report: DrainReport | None

    @property
    def name(self) -> str:
        """Return the name of the resource."""
        return self.record.name

    @property
    def target(self) -> str:
        """Return the target in the form used in the status, ``kind/name``."""
        return f"{self.spec.target.kind.value}/{self.spec.target.name}"

    @property
    def is_in_force(self) -> bool:
        """Return whether routers keep new requests away from its target."""
        return self.report is not None and self.report.phase is not DrainPhase.WAITING

    @property
    def is_floor_checked(self) -> bool:
        """Return whether the floor was checked for the current specification."""
        report = self.report
        return report is not None and (report.target, report.floor) == (
            self.target,
            self.spec.floor,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceState:
    """State of a chivetrack instance; ``in_flight`` is ``None`` if the count is unknown."""

    instance_id: str
    is_ready: bool
    in_flight: int | None = None
    age_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ObservedLoad:
    """Requests in flight at all routers together; the oldest count is ``age_s`` old."""

    in_flight: int
    age_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainObservation:
    """State of the fleet as known to the controller; ``loads`` omits endpoints without load."""

    endpoints: tuple[EndpointState, ...]
    instances: tuple[InstanceState, ...]
    loads: Mapping[str, ObservedLoad]
    age_s: float
    wall_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """Part of a group's capacity: an endpoint of a service, or an instance."""

    name: str
    kind: DrainTargetKind
    group: str
    zone: str
    capacity: int
    is_ready: bool
    is_leaving: bool

    def is_target_of(self, spec: Drain) -> bool:
        """Return whether a drain with this specification takes this member out of service."""
        if spec.target.kind is DrainTargetKind.AVAILABILITY_ZONE:
            return self.kind is DrainTargetKind.ENDPOINT and self.zone == spec.target.name
        return self.kind is spec.target.kind and self.name == spec.target.name


def make_endpoint_member(endpoint: EndpointState) -> Member:
    """Return the member for an endpoint; its group is its service."""
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
    """Return the member for an instance."""
    return Member(
        name=instance.instance_id,
        kind=DrainTargetKind.INSTANCE,
        group=group,
        zone="",
        capacity=1,
        is_ready=instance.is_ready,
        is_leaving=not instance.is_ready,
    )
