"""Compares drains under faults with an oracle that knows the state of the whole fleet."""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from chivetrack.components.drains.const import KIND
from chivetrack.components.resources.models import Drain, DrainTarget, DrainTargetKind
from chivetrack.components.store.commands import Command, Delete, UpdateStatus
from chivetrack.components.store.outcomes import Outcome, Written
from tests.components.controllers.simulation import Instance, Network
from tests.components.drains.fleet import Fleet, get_phase, make_endpoint, make_simulation
from tests.components.drains.fleet import make_spec as make_drain_spec
from tests.components.store.fuzzing import make_settings

ENDPOINTS = [f"e{number}" for number in range(6)]
ZONES = ["a", "b", "c"]
ENDPOINT = DrainTargetKind.ENDPOINT
ZONE = DrainTargetKind.AVAILABILITY_ZONE
IN_FORCE = ("active", "done")


class DrainMachine(RuleBasedStateMachine):
    """Three instances, an unreliable network, operators, and endpoints that leave and join.

    When a drain starts, the drains in force respect all floors for some set of endpoints
    that existed between the decision to write and its application. Once the faults end,
    every drain that the floors allow is in force.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet()
        for number, name in enumerate(ENDPOINTS):
            self.fleet.add(name, zone=ZONES[number % 3], capacity=1 + number % 2)
        self.simulation = make_simulation(self.fleet)
        self.simulation.on_apply = self.check_applied
        self.specs: dict[str, Drain] = {}
        self.phases: dict[str, str] = {}
        self.fleets: list[tuple[float, dict[str, tuple[str, int]]]] = []
        self.created = 0
        self.started = 0
        self.record_fleet()

    @initialize(seed=st.integers(0, 1000))
    def begin(self, seed: int) -> None:
        self.simulation.random.seed(seed)
        for _ in range(3):
            self.start_instance()
        self.simulation.run(1.0)

    def start_instance(self) -> Instance:
        self.started += 1
        rate = (0.995, 1.0, 1.005)[self.started % 3]
        return self.simulation.add(f"i{self.started}", rate=rate)

    def record_fleet(self) -> None:
        listed = {e.endpoint_id: (e.zone, e.capacity) for e in self.fleet.endpoints.values()}
        self.fleets.append((self.simulation.time, listed))

    @rule(
        selected_target=st.sampled_from(
            [*((ENDPOINT, e) for e in ENDPOINTS), *((ZONE, z) for z in ZONES)]
        ),
        floor=st.sampled_from([0.3, 0.5, 0.75]),
    )
    def create_drain(self, selected_target: tuple[DrainTargetKind, str], floor: float) -> None:
        name = f"d{self.created}"
        self.created += 1
        kind, target = selected_target
        self.specs[name] = Drain(target=DrainTarget(kind=kind, name=target), floor=floor)
        self.simulation.create(KIND, name, make_drain_spec(target, kind, floor=floor))

    @precondition(lambda self: self.specs)
    @rule(pick=st.integers(0, 100))
    def cancel_drain(self, pick: int) -> None:
        name = sorted(self.specs)[pick % len(self.specs)]
        self.simulation.delete(KIND, name)

    @rule(seconds=st.sampled_from([0.2, 1.0, 4.0, 12.0]))
    def wait(self, seconds: float) -> None:
        self.simulation.run(seconds)

    @rule(
        pick=st.integers(0, 2),
        delay=st.sampled_from([0.02, 1.0, 6.0, 20.0]),
        loss=st.sampled_from([0.0, 0.0, 0.4]),
        duplication=st.sampled_from([0.0, 0.5]),
        lag=st.sampled_from([0.0, 3.0, 20.0]),
    )
    def disturb(self, pick: int, delay: float, loss: float, duplication: float, lag: float) -> None:
        network = Network(delay=(0.0, delay), loss=loss, duplication=duplication, table_lag=lag)
        self.get_live()[pick].network = network

    @rule(pick=st.integers(0, 2))
    def freeze_or_wake(self, pick: int) -> None:
        instance = self.get_live()[pick]
        instance.is_frozen = not instance.is_frozen

    @rule(pick=st.integers(0, 2))
    def kill(self, pick: int) -> None:
        self.get_live()[pick].is_dead = True
        self.start_instance()

    @rule(name=st.sampled_from(ENDPOINTS))
    def leave_or_join(self, name: str) -> None:
        if self.fleet.endpoints.pop(name, None) is None:
            number = ENDPOINTS.index(name)
            fields = {"zone": ZONES[number % 3], "capacity": 1 + number % 2}
            self.fleet.endpoints[name] = make_endpoint(name, **fields)
        self.record_fleet()

    @invariant()
    def at_most_one_holder(self) -> None:
        holders = self.simulation.find_holders()
        assert len(holders) < 2, holders

    def get_live(self) -> list[Instance]:
        return [entry for entry in self.simulation.instances if not entry.is_dead]

    def check_applied(self, command: Command, outcome: Outcome) -> None:
        if not isinstance(outcome, Written):
            return
        if isinstance(command, Delete):
            self.specs.pop(command.name, None)
            self.phases.pop(command.name, None)
        if isinstance(command, UpdateStatus):
            before = self.phases.get(command.name, "pending")
            after = get_phase(self.simulation.store.table, command.name)
            self.phases[command.name] = after
            if before not in IN_FORCE and after in IN_FORCE:
                decided_at = self.simulation.proposed_at[command.stamp.request_id]
                assert self.respects_floors_since(decided_at), f"{command.name} breaks the floor"

    def respects_floors_since(self, since: float) -> bool:
        """Return whether the floors hold for some state of the fleet since ``since``."""
        starts = [at for at, _ in self.fleets if at <= since]
        return any(self.respects_floors(listed) for at, listed in self.fleets if at >= max(starts))

    def respects_floors(self, listed: dict[str, tuple[str, int]], extra: str = "") -> bool:
        drains = [s for n, s in self.specs.items() if self.phases.get(n) in IN_FORCE or n == extra]
        affecting = [s for s in drains if any(is_target(s, e, z) for e, (z, _) in listed.items())]
        whole = sum(capacity for _, capacity in listed.values())
        remaining = sum(
            capacity
            for endpoint, (zone, capacity) in listed.items()
            if not any(is_target(spec, endpoint, zone) for spec in drains)
        )
        return all(remaining >= spec.floor * whole - 1e-9 for spec in affecting)

    def teardown(self) -> None:
        for instance in self.get_live():
            instance.network = Network()
            instance.is_frozen = False
        self.simulation.run(60.0)
        self.at_most_one_holder()
        assert self.simulation.find_holders(), "nobody holds the lease"
        for name in self.specs:
            phase = get_phase(self.simulation.store.table, name)
            assert phase != "pending", f"{name} was never reconciled"
            has_left = len(self.fleet.endpoints) < len(ENDPOINTS)
            assert (
                phase in IN_FORCE or has_left or not self.is_allowed(name)
            ), f"{name} is allowed by all floors"

    def is_allowed(self, name: str) -> bool:
        return self.respects_floors(self.fleets[-1][1], extra=name)


def is_target(spec: Drain, endpoint: str, zone: str) -> bool:
    return spec.target.name == (endpoint if spec.target.kind is ENDPOINT else zone)


class DrainFuzzTest(DrainMachine.TestCase):  # type: ignore[misc,name-defined]
    settings = make_settings(25, steps=30)


if __name__ == "__main__":
    unittest.main()
