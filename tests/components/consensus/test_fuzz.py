"""Random failures against the oracle of ``network.py``.

A longer run, with other seeds each time:
``CHIVETRACK_FUZZ_EXAMPLES=5000 script/test tests.components.consensus.test_fuzz``.
"""

import os
import unittest
from random import Random, SystemRandom

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from tests.components.consensus.chaos import ACTIONS, WEIGHTS, Chaos

EXAMPLES = int(os.environ.get("CHIVETRACK_FUZZ_EXAMPLES", "0"))
SEEDS = 40
STEPS = 250


class LogMachine(RuleBasedStateMachine):
    """Short histories that hypothesis picks and makes smaller when one fails."""

    @initialize(seed=st.integers(0, 2**32))
    def start(self, seed: int) -> None:
        self.chaos = Chaos(seed=seed)

    @rule(name=st.sampled_from(ACTIONS))
    def act(self, name: str) -> None:
        self.chaos.act(name)

    def teardown(self) -> None:
        if hasattr(self, "chaos"):
            self.chaos.finish()


LogMachine.TestCase.settings = settings(
    max_examples=EXAMPLES or 25,
    stateful_step_count=50,
    derandomize=not EXAMPLES,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class LogFuzzTest(LogMachine.TestCase, unittest.TestCase):  # type: ignore[misc,name-defined]
    """The machine as a test."""


class LongHistoryTest(unittest.TestCase):
    """Long histories, in which several failures meet."""

    def test_histories(self) -> None:
        first = SystemRandom().randrange(2**32) if EXAMPLES else 0
        for seed in range(first, first + (EXAMPLES or SEEDS)):
            with self.subTest(seed=seed):
                self.run_history(seed)

    def run_history(self, seed: int) -> None:
        random = Random(seed)
        chaos = Chaos(seed=seed)
        for name in random.choices(ACTIONS, list(WEIGHTS.values()), k=STEPS):
            chaos.act(name)
        chaos.finish()


if __name__ == "__main__":
    unittest.main()
