"""Replaced machines, lost disks, elections and freezes in random order."""

import unittest

from tests.components.replica.machines import CATCH_UP_S, TOLERATED, Machines

LENGTH_S = 150.0
SEEDS = (0, 1, 4, 6, 7, 14, 16, 20, 30, 32)


class RandomDay:
    """Plays random losses one after the other, at most ``TOLERATED`` at a time."""

    def __init__(self, seed: int) -> None:
        self.network = Machines(seed=seed)
        self.random = self.network.choice
        self.removed_until = 0.0

    def play(self) -> None:
        self.network.run(3.0)
        while self.network.now < LENGTH_S:
            left = TOLERATED - self.network.count_lost() - (self.removed_until > self.network.now)
            actions = [self.elect, self.pause]
            if left > 0:
                actions += [self.lose_one, self.lose_one, self.replace_planned, self.replace_lost]
            if left > 1:
                actions += [self.lose_two_disks] * 6
            self.random.choice(actions)()
            self.network.run(self.random.choice((0.01, 0.1, 0.5, 1.5)))
        self.network.run(2 * CATCH_UP_S)

    def pick(self) -> str:
        """Return a sound machine, often the one that leads."""
        sound = self.network.list_sound()
        leading = [one for one in sound if self.network.find_node(one).is_leader]
        return self.random.choice(leading * 3 + sound)

    def pause(self) -> None:
        self.network.run(self.random.uniform(0.5, 3.0))

    def elect(self) -> None:
        leader = self.network.leader
        if leader is not None:
            self.network.transfer(leader)

    def lose_one(self) -> None:
        lose = self.random.choice(
            (self.network.freeze, self.network.restart, self.network.lose_disk)
        )
        lose(self.pick(), self.random.uniform(0.3, 4.0))

    def lose_two_disks(self) -> None:
        for name in self.random.sample(self.network.list_sound(), 2):
            self.network.lose_disk(name, 1.0)

    def replace_planned(self) -> None:
        """The successor starts, has its time, and the other machine leaves."""
        self.network.add_machine()
        self.network.run(CATCH_UP_S + self.random.uniform(0.0, 1.0))
        self._remove(announced=self.random.random() < 0.5)

    def replace_lost(self) -> None:
        self._remove(announced=False)
        self.network.run(self.random.uniform(0.3, 2.0))
        self.network.add_machine()

    def _remove(self, *, announced: bool) -> None:
        self.network.remove(self.pick(), announced=announced)
        self.removed_until = self.network.now + (0.0 if announced else CATCH_UP_S)


class ReplacementTest(unittest.TestCase):
    def test_log_survives_random_replacements_and_lost_disks(self) -> None:
        """Guards against a removed machine that still votes when two disks are lost."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                RandomDay(seed).play()


if __name__ == "__main__":
    unittest.main()
