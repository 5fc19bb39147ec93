"""Random failures against the oracle of ``network.py``.

A longer run: ``CHIVETRACK_FUZZ_EXAMPLES=5000 script/test
tests.components.consensus.test_fuzz``, with other seeds on each run.
"""

import os
import unittest

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from chivetrack.components.consensus.members import ChangeKind
from chivetrack.components.consensus.models import Outcome
from tests.components.consensus.network import Disk, Network, Node

EXAMPLES = int(os.environ.get("CHIVETRACK_FUZZ_EXAMPLES", "0"))
PICK = st.integers(0, 8)


class LogMachine(RuleBasedStateMachine):
    """Replicas that crash, freeze, are cut off, lose disks and are replaced."""

    @initialize(seed=st.integers(0, 2**32), voters=st.sampled_from(["abc", "abcde"]))
    def start(self, seed: int, voters: str) -> None:
        self.network = Network(seed=seed, voters=tuple(voters))
        self.lost: str = ""
        self.spare: str = ""
        self.learners = 0
        self.steps: dict[ChangeKind, int] = {}
        self.network.run(1.5)

    def pick(self, number: int) -> Node:
        nodes = sorted(self.network.nodes.values(), key=lambda one: one.replica_id)
        return nodes[number % len(nodes)]

    @rule(milliseconds=st.sampled_from([1, 3, 10, 50, 200, 700, 1500]))
    def run(self, milliseconds: int) -> None:
        self.network.run(milliseconds / 1000)

    @rule(count=st.integers(1, 12))
    def propose_to_leaders(self, count: int) -> None:
        for node in list(self.network.nodes.values()):
            if node.is_leader:
                for _ in range(count):
                    self.network.propose(node)

    @rule(number=PICK)
    def propose_anywhere(self, number: int) -> None:
        self.network.propose(self.pick(number))

    @rule()
    def read_everywhere(self) -> None:
        for node in list(self.network.nodes.values()):
            if node.consensus is not None:
                self.network.read(node)

    @rule(number=PICK)
    def crash(self, number: int) -> None:
        self.pick(number).crash()

    @rule()
    def crash_leader(self) -> None:
        if self.network.leader is not None:
            self.network.leader.crash()

    @rule()
    def restart_all(self) -> None:
        for node in self.network.nodes.values():
            if node.consensus is None:
                node.start()

    @rule(number=PICK)
    def freeze(self, number: int) -> None:
        self.pick(number).freeze()

    @rule()
    def thaw_all(self) -> None:
        for node in self.network.nodes.values():
            node.thaw()

    @rule(first=PICK, second=PICK)
    def cut(self, first: int, second: int) -> None:
        self.network.cut(self.pick(first).replica_id, self.pick(second).replica_id)

    @rule(first=PICK, second=PICK)
    def cut_one_way(self, first: int, second: int) -> None:
        pair = (self.pick(first).replica_id, self.pick(second).replica_id)
        self.network.cuts.add(pair)

    @rule()
    def heal(self) -> None:
        self.network.heal()

    @rule(loss=st.sampled_from([0.0, 0.1, 0.4]), delay=st.sampled_from([0.003, 0.1, 0.8]))
    def worsen(self, loss: float, delay: float) -> None:
        self.network.loss = loss
        self.network.duplicates = 0.2
        self.network.delay = (0.001, delay)

    @rule(milliseconds=st.sampled_from([2, 40, 300]))
    def slow_disks(self, milliseconds: int) -> None:
        self.network.sync = (0.001, milliseconds / 1000)

    @rule(number=PICK)
    def transfer(self, number: int) -> None:
        if self.network.leader is not None:
            self.network.transfer(self.network.leader, self.pick(number).replica_id)

    @precondition(lambda self: not self.lost)
    @rule(number=PICK, empty=st.booleans())
    def lose_disk(self, number: int, empty: bool) -> None:
        """Lose a disk; sometimes the old id starts on an empty one, as it must not."""
        node = self.pick(number)
        leader = self.network.leader
        if leader is None or leader.consensus is None or node is leader:
            return
        if not leader.consensus.get_status(now=0.0).members.is_voter(node.replica_id):
            return
        node.crash()
        del self.network.nodes[node.replica_id]
        self.lost = node.replica_id
        self.learners += 1
        self.spare = f"new{self.learners}"
        self.network.add(self.spare, Disk())
        if empty and self.lost in "abcde":
            self.network.add(self.lost, Disk())

    @precondition(lambda self: self.lost)
    @rule()
    def repair(self) -> None:
        """Take the next step of the repair, if the one before is committed."""
        leader = self.network.leader
        if leader is None:
            return
        steps = {
            ChangeKind.ADD_LEARNER: self.spare,
            ChangeKind.REMOVE: self.lost,
            ChangeKind.PROMOTE: self.spare,
        }
        for kind, replica_id in steps.items():
            ended = self.network.oracle.outcomes.get(self.steps.get(kind, 0))
            if ended is not None and ended.outcome is Outcome.COMMITTED:
                continue
            self.steps[kind] = self.network.change(leader, kind, replica_id)
            return
        self.network.nodes.pop(self.lost, None)
        self.lost = ""
        self.steps = {}

    def teardown(self) -> None:
        if hasattr(self, "network"):
            self.network.nodes.pop(self.lost, None)
            self.network.settle()


LogMachine.TestCase.settings = settings(
    max_examples=EXAMPLES or 30,
    stateful_step_count=40,
    derandomize=not EXAMPLES,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class LogFuzzTest(LogMachine.TestCase, unittest.TestCase):  # type: ignore[misc,name-defined]
    pass


if __name__ == "__main__":
    unittest.main()
