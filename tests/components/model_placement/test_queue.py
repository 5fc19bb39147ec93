"""Tests for the queue of loads from the weight store."""

import unittest

from chivetrack.components.model_placement import const
from chivetrack.components.model_placement.queue import LoadQueue
from chivetrack.components.orders.models import ArtifactPhase, EngineState, HeldArtifact
from tests.components.orders.engines import make_model

COMMON = make_model("common")
RARE = make_model("rare")
TURN_S = 1.0 / const.LOADS_PER_S


def make_state(phase: ArtifactPhase, error: str = "") -> EngineState:
    held = HeldArtifact(artifact=COMMON, phase=phase, error=error)
    return EngineState(incarnation=1, artifacts=(held,))


class QueueTest(unittest.TestCase):
    def setUp(self) -> None:
        self.states: dict[str, EngineState] = {}
        self.queue = LoadQueue(read_states=lambda: self.states)

    def test_rate_and_round_robin_order(self) -> None:
        """The only copy of a model does not wait for a hundred copies of another model."""
        granted = self.request_all(0.0, seconds=5 * TURN_S)
        self.assertIn("r0", granted[:3])
        self.assertEqual(const.MAX_LOADS, len(granted))

    def request_all(self, start: float, *, seconds: float) -> list[str]:
        granted: list[str] = []
        for step in range(round(seconds * 2)):
            now = start + step / 2
            for name in [*(f"c{number}" for number in range(100)), "r0"]:
                artifact = RARE if name == "r0" else COMMON
                if name not in granted and self.queue.admit(name, artifact, now=now):
                    granted.append(name)
        return granted

    def test_loads_of_the_previous_holder_count(self) -> None:
        busy = make_state(ArtifactPhase.LOADING)
        self.states = {f"e{number}": busy for number in range(const.MAX_LOADS)}
        self.assertFalse(self.queue.admit("x", COMMON, now=0.0))
        del self.states["e0"]
        self.assertTrue(self.queue.admit("x", COMMON, now=1.0))

    def test_admitted_load_counts_until_the_state_shows_it(self) -> None:
        times = [step * TURN_S for step in range(const.MAX_LOADS)]
        for number, now in enumerate(times):
            self.assertTrue(self.queue.admit(f"e{number}", COMMON, now=now))
        now = times[-1] + TURN_S
        self.assertLess(now, const.GRANT_EXPIRY_S)
        self.assertFalse(self.queue.admit("x", COMMON, now=now))
        self.assertTrue(self.queue.admit("x", COMMON, now=const.GRANT_EXPIRY_S))

    def test_load_that_is_no_longer_requested_expires(self) -> None:
        self.assertTrue(self.queue.admit("a", COMMON, now=0.0))
        self.assertFalse(self.queue.admit("gone", COMMON, now=0.0))
        later = const.WAIT_EXPIRY_S + 1.0
        self.assertTrue(self.queue.admit("b", COMMON, now=later))

    def test_pause_doubles_with_each_refusal(self) -> None:
        refused = make_state(ArtifactPhase.FAILED, const.STORE_BUSY)
        self.states = {"e0": refused}
        self.assertFalse(self.queue.admit("x", COMMON, now=0.0))
        self.assertFalse(self.queue.admit("x", COMMON, now=const.STORE_DELAY_S - 0.1))
        self.assertTrue(self.queue.admit("x", COMMON, now=const.STORE_DELAY_S))
        self.states = {"e0": refused, "e1": refused}
        self.assertFalse(self.queue.admit("y", COMMON, now=20.0))
        self.assertFalse(self.queue.admit("y", COMMON, now=20.0 + const.STORE_DELAY_S))
        self.assertTrue(self.queue.admit("y", COMMON, now=20.0 + 2 * const.STORE_DELAY_S))

    def test_number_of_waiting_loads_is_bounded(self) -> None:
        for number in range(const.MAX_WAITING + 10):
            self.queue.admit(f"e{number}", COMMON, now=0.0)
        self.assertLessEqual(self.queue.count_waiting(), const.MAX_WAITING)
