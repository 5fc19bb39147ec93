"""Orders under faults: fencing numbers never decrease, and finally the goals are reached."""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from chivetrack.components.orders.models import EngineGoal
from tests.components.controllers.simulation import Instance, Network
from tests.components.orders.engines import Engine, EngineSimulation, make_adapter, make_model
from tests.components.store.fuzzing import make_settings

MODELS = [make_model("m1", "1"), make_model("m1", "2"), make_model("m2")]
ADAPTERS = [make_adapter("a1", "m1"), make_adapter("a2", "m2")]
MANAGED = frozenset(artifact.get_name() for artifact in [*MODELS, *ADAPTERS])


class OrderMachine(RuleBasedStateMachine):
    """Three instances send orders to two engines, one of which does not check fencing.

    Instances are frozen and killed, messages delayed and lost, and engines restarted. The
    fencing numbers of the orders that an engine accepts never decrease. Once the faults
    end, each engine holds the artifacts of its goal.
    """

    def __init__(self) -> None:
        super().__init__()
        self.engines = [Engine("checking"), Engine("trusting", checks=False)]
        for engine in self.engines:
            engine.goal = EngineGoal(artifacts=frozenset(), managed=MANAGED)
        self.world = EngineSimulation(self.engines)
        self.started = 0

    @initialize(seed=st.integers(0, 1000))
    def begin(self, seed: int) -> None:
        self.world.simulation.random.seed(seed)
        for _ in range(3):
            self.start_instance()
        self.world.run(1.0)

    def start_instance(self) -> None:
        self.started += 1
        rate = (0.995, 1.0, 1.005)[self.started % 3]
        self.world.simulation.add(f"i{self.started}", rate=rate)

    def get_live(self) -> list[Instance]:
        return [entry for entry in self.world.simulation.instances if not entry.is_dead]

    @rule(
        pick=st.integers(0, 1),
        artifacts=st.frozensets(st.sampled_from([*MODELS, *ADAPTERS]), max_size=3),
        role=st.sampled_from(["", "decode", "prefill"]),
    )
    def set_goal(self, pick: int, artifacts: frozenset, role: str) -> None:
        models = {artifact.name for artifact in artifacts if not artifact.model}
        fitting = frozenset(a for a in artifacts if not a.model or a.model in models)
        self.engines[pick].goal = EngineGoal(artifacts=fitting, role=role, managed=MANAGED)

    @rule(seconds=st.sampled_from([0.3, 1.0, 5.0, 15.0]))
    def wait(self, seconds: float) -> None:
        self.world.run(seconds)

    @rule(delay=st.sampled_from([0.02, 1.0, 4.0]), loss=st.sampled_from([0.0, 0.3]))
    def disturb_orders(self, delay: float, loss: float) -> None:
        self.world.network = Network(delay=(0.0, delay), loss=loss)

    @rule(
        pick=st.integers(0, 2),
        delay=st.sampled_from([0.02, 2.0, 8.0]),
        loss=st.sampled_from([0.0, 0.4]),
    )
    def disturb_log(self, pick: int, delay: float, loss: float) -> None:
        network = Network(delay=(0.0, delay), loss=loss, duplication=0.3)
        self.get_live()[pick].network = network

    @rule(pick=st.integers(0, 2))
    def freeze_or_wake(self, pick: int) -> None:
        instance = self.get_live()[pick]
        instance.is_frozen = not instance.is_frozen

    @rule(pick=st.integers(0, 2))
    def kill(self, pick: int) -> None:
        self.get_live()[pick].is_dead = True
        self.start_instance()

    @rule(pick=st.integers(0, 1))
    def restart_engine(self, pick: int) -> None:
        self.engines[pick].restart()

    @invariant()
    def fencing_numbers_never_decrease(self) -> None:
        for name, numbers in self.world.arrived.items():
            assert numbers == sorted(numbers), f"{name} accepted {numbers}"

    def teardown(self) -> None:
        self.world.network = Network()
        for instance in self.get_live():
            instance.network = Network()
            instance.is_frozen = False
        self.world.run(150.0)
        self.fencing_numbers_never_decrease()
        for engine in self.engines:
            assert engine.goal is not None
            held = engine.list_ready(self.world.simulation.time)
            assert held == engine.goal.artifacts, f"{engine.name} holds {held}"
            assert engine.goal.role in ("", engine.role)


class OrderFuzzTest(OrderMachine.TestCase):  # type: ignore[misc,name-defined]
    settings = make_settings(25, steps=30)


if __name__ == "__main__":
    unittest.main()
