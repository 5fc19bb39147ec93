"""Random failures, one method per action; deterministic for a seed."""

from collections.abc import Callable
from random import Random

from chivetrack.components.consensus.members import ChangeKind
from chivetrack.components.consensus.models import Outcome
from tests.components.consensus.network import Disk, Network, Node

PAUSES_S = (0.0005, 0.002, 0.005, 0.02, 0.1, 0.4, 1.3)
PAUSE_WEIGHTS = (20, 20, 15, 15, 12, 10, 8)


class Chaos:
    """Replicas that crash, freeze, are partitioned, lose disks and are replaced.

    ``lost`` is the voter whose disk was lost, ``spare`` the replica that replaces it.
    """

    def __init__(self, *, seed: int) -> None:
        self.random = Random(seed)
        voters = self.random.choice(["abc", "abc", "abcde"])
        self.network = Network(seed=seed, voters=tuple(voters))
        self.first_voters = voters
        self.lost = ""
        self.spare = ""
        self.learners = 0
        self.steps: dict[ChangeKind, int] = {}
        self.network.run(1.5)

    def act(self, name: str) -> None:
        action: Callable[[], None] = getattr(self, name)
        action()
        pause = self.random.choices(PAUSES_S, PAUSE_WEIGHTS)[0]
        self.network.run(pause * self.random.uniform(0.5, 1.5))

    def pick(self) -> Node:
        return self.random.choice(list(self.network.nodes.values()))

    def propose(self) -> None:
        """Propose to every replica that believes it is leader, and to a random one."""
        nodes = [one for one in self.network.nodes.values() if one.is_leader]
        for node in [*nodes, self.pick()]:
            for _ in range(self.random.randint(1, 4)):
                self.network.propose(node)

    def read(self) -> None:
        for node in list(self.network.nodes.values()):
            if node.consensus is not None:
                self.network.read(node)

    def crash(self) -> None:
        self.pick().crash()

    def crash_leader(self) -> None:
        if self.network.leader is not None:
            self.network.leader.crash()

    def crash_all(self) -> None:
        for node in self.network.nodes.values():
            node.crash()
        self.restart()

    def restart(self) -> None:
        for node in self.network.nodes.values():
            if node.consensus is None:
                node.start()

    def freeze(self) -> None:
        self.pick().freeze()

    def freeze_leader(self) -> None:
        if self.network.leader is not None:
            self.network.leader.freeze()

    def thaw(self) -> None:
        for node in self.network.nodes.values():
            node.thaw()

    def cut(self) -> None:
        """Partition a random minority; with probability 0.5 the leader is part of it."""
        self.network.cuts.clear()
        nodes = list(self.network.nodes)
        self.random.shuffle(nodes)
        part = nodes[: (len(nodes) - 1) // 2]
        leader = self.network.leader
        if leader is not None and self.random.random() < 0.5:
            part = [leader.replica_id, *part[1:]]
        self.network.cut(*part)

    def depose(self) -> None:
        """Partition the leader until another is elected and writes; then read from both."""
        old = self.network.leader
        if old is None:
            return
        self.network.cut(old.replica_id)
        self.network.run(self.random.uniform(0.6, 1.2))
        self.propose()
        self.network.run(0.05)
        self.read()

    def cut_one_way(self) -> None:
        self.network.cuts.add((self.pick().replica_id, self.pick().replica_id))

    def heal(self) -> None:
        self.network.heal()

    def calm(self) -> None:
        """End all failures and make progress: commit, repair and read."""
        self.heal()
        self.restart()
        self.thaw()
        self.network.run(1.4)
        self.propose()
        self.repair()
        self.network.run(0.05)
        self.read()

    def worsen(self) -> None:
        self.network.loss = self.random.choice([0.0, 0.1, 0.4])
        self.network.duplicates = 0.2
        self.network.delay = (0.001, self.random.choice([0.003, 0.1, 0.8]))

    def slow_disks(self) -> None:
        self.network.sync = (0.001, self.random.choice([0.002, 0.04, 0.3]))

    def transfer(self) -> None:
        if self.network.leader is not None:
            self.network.transfer(self.network.leader, self.pick().replica_id)

    def lose_disk(self) -> None:
        """Lose a disk; with probability 0.7 the old id wrongly restarts on an empty one."""
        node = self.pick()
        leader = self.network.leader
        if self.lost or leader is None or leader.consensus is None or node is leader:
            return
        if not leader.consensus.get_status(now=0.0).members.is_voter(node.replica_id):
            return
        node.crash()
        del self.network.nodes[node.replica_id]
        self.lost = node.replica_id
        self.learners += 1
        self.spare = f"new{self.learners}"
        self.network.add(self.spare, Disk())
        if self.lost in self.first_voters and self.random.random() < 0.7:
            self.network.add(self.lost, Disk())

    def repair(self) -> None:
        """Propose the first step of the replacement that is not committed yet."""
        leader = self.network.leader
        if leader is None or not self.lost:
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

    def finish(self) -> None:
        """End all failures; every member must have every acknowledged write."""
        self.network.nodes.pop(self.lost, None)
        self.network.settle()


WEIGHTS = {
    "propose": 30,
    "read": 15,
    "crash": 4,
    "crash_leader": 4,
    "crash_all": 2,
    "restart": 8,
    "freeze": 3,
    "freeze_leader": 2,
    "thaw": 5,
    "cut": 6,
    "cut_one_way": 3,
    "depose": 4,
    "heal": 7,
    "worsen": 4,
    "slow_disks": 3,
    "transfer": 3,
    "lose_disk": 5,
    "repair": 10,
    "calm": 12,
}
ACTIONS = tuple(WEIGHTS)
