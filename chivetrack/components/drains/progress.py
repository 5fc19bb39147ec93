"""Measures which requests a drain in force still waits for."""

from dataclasses import dataclass

from chivetrack.components.drains.const import MAX_NAMED_TARGETS
from chivetrack.components.drains.models import DesiredDrain, DrainObservation, Member
from chivetrack.components.resources.models import DrainTargetKind


@dataclass(frozen=True, slots=True, kw_only=True)
class Progress:
    """Requests in flight on the target of a drain.

    ``left`` names targets that have requests in flight, ``age_s`` is the age of the oldest
    count. ``is_known`` is false if the count of an instance is missing.
    """

    in_flight: int
    left: tuple[str, ...]
    age_s: float
    is_known: bool = True


def measure_progress(
    drain: DesiredDrain, members: tuple[Member, ...], observation: DrainObservation
) -> Progress:
    """Return the requests in flight on the target of a drain at all routers together."""
    if drain.spec.target.kind is DrainTargetKind.INSTANCE:
        return _measure_instance(drain, observation)
    names = {member.name for member in members if member.is_target_of(drain.spec)}
    # An endpoint whose lease expired is no longer listed but may have requests in flight.
    if drain.report is not None:
        names.update(drain.report.left)
    if drain.spec.target.kind is DrainTargetKind.ENDPOINT:
        names.add(drain.spec.target.name)
    loads = {name: observation.loads[name] for name in sorted(names) if name in observation.loads}
    ages = [load.age_s for load in loads.values()]
    return Progress(
        in_flight=sum(load.in_flight for load in loads.values()),
        left=tuple(name for name, load in loads.items() if load.in_flight)[:MAX_NAMED_TARGETS],
        age_s=max([observation.age_s, *ages]),
    )


def _measure_instance(drain: DesiredDrain, observation: DrainObservation) -> Progress:
    name = drain.spec.target.name
    found = [entry for entry in observation.instances if entry.instance_id == name]
    if not found:
        # The instance has stopped: its connections are closed, so nothing is in flight.
        return Progress(in_flight=0, left=(), age_s=0.0)
    instance = found[0]
    if instance.in_flight is None:
        return Progress(in_flight=0, left=(name,), age_s=instance.age_s, is_known=False)
    left = (name,) if instance.in_flight else ()
    return Progress(in_flight=instance.in_flight, left=left, age_s=instance.age_s)
