"""Random fleets against the bounds on a part of prompts that crashes endpoints."""

import unittest
from collections.abc import Iterable

from tests.components.quarantine.fleet import BAD_PART, CrashingFleet

SEEDS = range(25)
SEEDS_WITH_CRASHES_OF_KILLED_PROCESSES = (901, 2339)
SEEDS_WITH_A_RARE_PART_BESIDE = (1116, 1832, 2211)
MAX_LATE_SENDS = 3


class RandomFleetTest(unittest.TestCase):
    def check(self, seeds: Iterable[int], *, has_kills: bool) -> None:
        for seed in seeds:
            with self.subTest(seed=seed):
                fleet = CrashingFleet(seed, has_kills=has_kills).play()
                self.assertLessEqual(fleet.count_late_sends(), MAX_LATE_SENDS)
                self.assertEqual(fleet.list_sound_held(), [])
                self.assertEqual(fleet.held_requests, 0)
                self.assertIn(BAD_PART, fleet.held)
                self.assertGreater(fleet.answered, 100)

    def test_bad_part_is_held_and_nothing_else(self) -> None:
        """Guards against endpoints that end one after the other, and sound requests refused."""
        self.check(SEEDS, has_kills=False)

    def test_bad_part_is_held_while_routers_and_replicas_are_killed(self) -> None:
        """Guards against evidence that ends with the processes that hold it."""
        self.check(SEEDS, has_kills=True)

    def test_bad_part_is_held_although_all_that_saw_its_crashes_are_killed(self) -> None:
        """Guards against crashes counted anew once routers and replicas are killed together."""
        self.check(SEEDS_WITH_CRASHES_OF_KILLED_PROCESSES, has_kills=True)

    def test_rare_part_that_was_never_answered_is_not_held_beside_the_bad_one(self) -> None:
        """Guards against a sound part held since it ran in one crash more than the cause."""
        self.check(SEEDS_WITH_A_RARE_PART_BESIDE, has_kills=True)


if __name__ == "__main__":
    unittest.main()
