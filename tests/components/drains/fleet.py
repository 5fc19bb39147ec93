"""Fleet of endpoints that a test changes, and observers of it for drain controllers."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import msgspec

from chivetrack.components.controllers.models import Plan
from chivetrack.components.drains.const import CONTROLLER, KIND
from chivetrack.components.drains.controller import DrainController
from chivetrack.components.drains.models import (
    DrainObservation,
    DrainReport,
    InstanceState,
    ObservedLoad,
)
from chivetrack.components.endpoints.models import Availability, EndpointKind, EndpointState
from chivetrack.components.resources.models import DrainTargetKind
from chivetrack.components.store.table import ResourceTable
from tests.components.controllers.simulation import Simulation


def make_endpoint(name: str, *, zone: str = "a", capacity: int = 1, **fields: Any) -> EndpointState:
    return EndpointState(
        endpoint_id=name,
        incarnation=1,
        address="127.0.0.1:1",
        kind=EndpointKind.ENGINE,
        region="r",
        zone=zone,
        capacity=capacity,
        **({"service": "chat"} | fields),
    )


@dataclass(slots=True)
class Fleet:
    endpoints: dict[str, EndpointState] = field(default_factory=dict)
    instances: dict[str, InstanceState] = field(default_factory=dict)
    loads: dict[str, int] = field(default_factory=dict)
    age_s: float = 0.0
    to_wall_ms: Callable[[float], int] = lambda now: round(now * 1000)

    def add(self, *names: str, **fields: Any) -> None:
        for name in names:
            self.endpoints[name] = make_endpoint(name, **fields)

    def set_availability(self, name: str, availability: Availability) -> None:
        self.endpoints[name] = replace(self.endpoints[name], availability=availability)

    def observe(self, *, now: float) -> DrainObservation:
        loads = {
            name: ObservedLoad(in_flight=count, age_s=self.age_s)
            for name, count in self.loads.items()
        }
        return DrainObservation(
            endpoints=tuple(self.endpoints.values()),
            instances=tuple(self.instances.values()),
            loads=loads,
            age_s=self.age_s,
            wall_ms=self.to_wall_ms(now),
        )


class Observer:
    """Fake of an instance's fleet observer, with the instance's own clock."""

    def __init__(self, fleet: Fleet, to_wall_ms: Callable[[float], int]) -> None:
        self._fleet = fleet
        self._to_wall_ms = to_wall_ms

    def observe(self, *, now: float) -> DrainObservation:
        return replace(self._fleet.observe(now=now), wall_ms=self._to_wall_ms(now))


class CountingController(DrainController):
    """Drain controller that counts its reconciliations."""

    reconcile_count = 0

    def reconcile(self, *args: Any, **kwargs: Any) -> Plan:
        self.reconcile_count += 1
        return super().reconcile(*args, **kwargs)


def make_simulation(fleet: Fleet, *, seed: int = 1) -> Simulation:
    def make(table: ResourceTable, to_wall_ms: Callable[[float], int]) -> DrainController:
        observer: Any = Observer(fleet, to_wall_ms)
        return CountingController(table=table, observer=observer)

    return Simulation(make_controller=make, lease=CONTROLLER, seed=seed)


def make_spec(name: str, kind: DrainTargetKind = DrainTargetKind.ENDPOINT, **fields: Any) -> dict:
    return {"target": {"kind": kind.value, "name": name}, **fields}


def read_report(table: ResourceTable, name: str) -> DrainReport | None:
    record = table.get(KIND, name)
    if record is None or not record.status:
        return None
    return msgspec.msgpack.decode(record.status, type=DrainReport, strict=False)


def get_phase(table: ResourceTable, name: str) -> str:
    report = read_report(table, name)
    return "pending" if report is None else report.phase.value
