"""Stateful test of version changes under faults."""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from chivetrack.components.model_placement.models import PlacementPhase
from chivetrack.components.orders.models import Artifact
from tests.components.controllers.simulation import Instance, Network
from tests.components.model_placement.site import Site, make_engines
from tests.components.orders.engines import make_model
from tests.components.store.fuzzing import make_settings

COPIES = 4
FLOOR = 0.5


class PlacementMachine(RuleBasedStateMachine):
    """Four copies on five engines; instances freeze, die and lose messages.

    No engine fails here, so every missing copy was removed by a controller. The ready copies
    must never fall below the floor, whichever instance holds the lease. The rollout of a
    version that fails must halt. After the faults, all copies must serve a working version.
    """

    def __init__(self) -> None:
        super().__init__()
        self.site = Site(make_engines(5))
        self.started = 0
        self.version = 1

    @initialize(seed=st.integers(0, 1000))
    def begin(self, seed: int) -> None:
        self.site.simulation.random.seed(seed)
        for _ in range(3):
            self.start_instance()
        self.site.set_model(copies=COPIES, floor=FLOOR)
        self.site.run(40.0)
        assert self.site.read_report().phase is PlacementPhase.STEADY

    def start_instance(self) -> None:
        self.started += 1
        rate = (0.995, 1.0, 1.005)[self.started % 3]
        self.site.simulation.add(f"i{self.started}", rate=rate)

    def get_live(self) -> list[Instance]:
        return [instance for instance in self.site.simulation.instances if not instance.is_dead]

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.1)):
            self.site.run(0.1)
            ready = self.site.count_ready()
            assert ready >= COPIES * FLOOR, f"{ready} copies are ready"

    @rule(is_bad=st.booleans())
    def change_version(self, is_bad: bool) -> None:
        self.version += 1
        if is_bad:
            for engine in self.site.engines.values():
                engine.broken.add(self.get_artifact())
        self.site.set_model(copies=COPIES, floor=FLOOR, version=str(self.version))

    def get_artifact(self) -> Artifact:
        return make_model("m", str(self.version))

    @rule()
    def change_back(self) -> None:
        version = self.site.read_report().good_version
        self.site.set_model(copies=COPIES, floor=FLOOR, version=version)

    @rule(seconds=st.sampled_from([0.3, 2.0, 10.0, 40.0]))
    def wait(self, seconds: float) -> None:
        self.run(seconds)

    @rule(delay=st.sampled_from([0.02, 1.0, 3.0]), loss=st.sampled_from([0.0, 0.3]))
    def disturb_orders(self, delay: float, loss: float) -> None:
        self.site.network = Network(delay=(0.0, delay), loss=loss)

    @rule(
        pick=st.integers(0, 2),
        delay=st.sampled_from([0.02, 2.0, 8.0]),
        lag=st.sampled_from([0.0, 10.0]),
    )
    def disturb_log(self, pick: int, delay: float, lag: float) -> None:
        network = Network(delay=(0.0, delay), loss=0.1, duplication=0.3, table_lag=lag)
        self.get_live()[pick].network = network

    @rule(pick=st.integers(0, 2))
    def freeze_or_wake(self, pick: int) -> None:
        instance = self.get_live()[pick]
        instance.is_frozen = not instance.is_frozen

    @rule(pick=st.integers(0, 2))
    def kill(self, pick: int) -> None:
        self.get_live()[pick].is_dead = True
        self.start_instance()

    @invariant()
    def keeps_the_floor(self) -> None:
        assert self.site.count_ready() >= COPIES * FLOOR

    def teardown(self) -> None:
        self.site.network = Network()
        for instance in self.get_live():
            instance.network = Network()
            instance.is_frozen = False
        self.run(300.0)
        report = self.site.read_report()
        assert report.phase in (PlacementPhase.STEADY, PlacementPhase.HALTED), report
        assert self.site.count_ready() == COPIES, report


class PlacementFuzzTest(PlacementMachine.TestCase):  # type: ignore[misc,name-defined]
    settings = make_settings(10, steps=15)


if __name__ == "__main__":
    unittest.main()
