"""The silence of replicas as leaders know it, across elections and demotions."""

import unittest

from chivetrack.components.consensus.members import ChangeKind
from chivetrack.components.consensus.models import Outcome, Refusal, ReplicaStatus
from tests.components.consensus.network import Network, Node

QUIET_S = 1.0


class SilenceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.network = Network(seed=5, voters=("a", "b", "c", "d", "e"))
        self.leader = self.network.elect()
        self.network.commit(self.leader)
        self.others = [one for one in self.network.nodes.values() if one is not self.leader]

    def get_status(self, leader: Node, replica: Node) -> ReplicaStatus:
        assert leader.consensus is not None
        replicas = leader.consensus.get_status(now=self.network.now).replicas
        return next(one for one in replicas if one.replica_id == replica.replica_id)

    def test_silence_outlives_elections(self) -> None:
        """Guards against a dead voter that each new leader begins to wait for anew."""
        dead = self.others[0]
        dead.crash()
        self.network.run(QUIET_S)
        began = self.network.now - QUIET_S
        self.leader.crash()
        second = self.network.elect()
        self.network.commit(second)
        self.network.transfer(second)
        self.network.run_until(lambda: self.network.leader is not second)
        third = self.network.elect()
        for replica in (dead, self.leader):
            self.assertLess(self.get_status(third, replica).last_contact_age_s, QUIET_S)
        silence_s = self.get_status(third, dead).silence_s
        self.assertAlmostEqual(silence_s, self.network.now - began, delta=0.2)

    def test_silence_of_a_dead_leader_counts_from_its_last_heartbeat(self) -> None:
        """Guards against a dead leader that counts as heard from until the next one leads."""
        self.network.run(QUIET_S)
        died_at = self.network.now
        self.leader.crash()
        second = self.network.elect()
        silence_s = self.get_status(second, self.leader).silence_s
        self.assertAlmostEqual(silence_s, self.network.now - died_at, delta=0.2)

    def test_silence_ends_with_an_answer(self) -> None:
        """Guards against a replica that answers and is still taken as silent."""
        frozen = self.others[0]
        frozen.freeze()
        self.network.run(2 * QUIET_S)
        self.network.transfer(self.leader)
        self.network.run_until(lambda: self.network.leader is not self.leader)
        second = self.network.elect()
        frozen.thaw()
        self.network.run(QUIET_S)
        self.assertLess(self.get_status(second, frozen).silence_s, QUIET_S)

    def test_demoted_voter_returns_and_votes_again(self) -> None:
        """Guards against a wrong verdict on a frozen voter that costs it its id or its disk."""
        frozen = self.others[0]
        frozen.freeze()
        ended = self.network.change_and_wait(self.leader, ChangeKind.DEMOTE, frozen.replica_id)
        self.assertIs(ended.outcome, Outcome.COMMITTED)
        self.assertFalse(self.get_status(self.leader, frozen).voter)
        frozen.thaw()
        self.network.run_until(lambda: frozen.applied >= self.leader.applied)
        ended = self.network.change_and_wait(self.leader, ChangeKind.PROMOTE, frozen.replica_id)
        self.assertIs(ended.outcome, Outcome.COMMITTED)
        self.network.settle()

    def test_only_other_voters_are_demoted(self) -> None:
        """Guards against a leader that demotes itself, or a replica that doesn't vote."""
        frozen = self.others[0]
        self.network.change_and_wait(self.leader, ChangeKind.DEMOTE, frozen.replica_id)
        for replica, refusal in ((self.leader, Refusal.IS_LEADER), (frozen, Refusal.NOT_A_VOTER)):
            ended = self.network.change_and_wait(self.leader, ChangeKind.DEMOTE, replica.replica_id)
            self.assertIs(ended.refusal, refusal)


if __name__ == "__main__":
    unittest.main()
