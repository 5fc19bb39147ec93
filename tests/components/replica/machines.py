"""Machines with replicas that repair their log, under random losses within the tolerance.

A machine counts as lost as operators count it: while it is down or frozen and ``CATCH_UP_S``
longer, a new one for ``CATCH_UP_S`` after its start. A removed one counts until its successor has
had that time, and where nothing told of the removal, for as long after it.
"""

from dataclasses import dataclass
from random import Random

from chivetrack.components.consensus import models
from chivetrack.components.consensus.members import ChangeKind, Member, Members
from chivetrack.components.replica.repair import JoinRequest, LeaveNotice, Repair
from chivetrack.core import MessageReceived, SendMessage
from tests.components.consensus.network import Disk, Network, Node

CATCH_UP_S = 4.0
RECOVER_S = 12.0
TOLERATED = 2
TICK_S = 0.1
LEAVE_WAIT_S = 0.5
FIRST_MACHINES = ("m1", "m2", "m3", "m4", "m5")


@dataclass(slots=True, kw_only=True)
class Machine:
    """A machine and the replica on its disk; ``lost_until`` as operators count, in seconds."""

    name: str
    replica_id: str
    lost_until: float = 0.0


class Machines(Network):
    """Replicas at the addresses of their machines, each with the repair of its process."""

    def __init__(self, *, seed: int) -> None:
        super().__init__(seed=seed, voters=())
        self.choice = Random(seed)
        self.machines: dict[str, Machine] = {}
        self.repairs: dict[str, Repair] = {}
        self.changes: dict[str, int] = {}
        self.committed_at = 0.0
        self._committed = 0
        self._names = len(FIRST_MACHINES)
        self._generation = 0
        ids = {one: self._make_id(one) for one in FIRST_MACHINES}
        members = Members(
            members=tuple(
                Member(replica_id=ids[one], instance_id=one, voter=True) for one in FIRST_MACHINES
            )
        )
        first = models.Snapshot(index=1, term=1, members=members)
        for name in FIRST_MACHINES:
            disk = Disk(hard_state=models.HardState(term=1), snapshot=first)
            self._install(name, ids[name], disk)
        self.call_later(TICK_S, self._tick)

    def _make_id(self, name: str) -> str:
        self._generation += 1
        return f"{name}.{self._generation}"

    def _install(self, name: str, replica_id: str, disk: Disk) -> None:
        self.machines[name] = Machine(name=name, replica_id=replica_id)
        self._renew_repair(replica_id)
        self.add(replica_id, disk)

    def _renew_repair(self, replica_id: str) -> None:
        self.repairs[replica_id] = Repair(target_voters=5, catch_up_s=CATCH_UP_S)
        self.changes.pop(replica_id, None)

    def _deliver(self, source: str, effect: SendMessage) -> None:
        machine = self.machines.get(effect.target)
        node = self.nodes.get(effect.target if machine is None else machine.replica_id)
        if node is not None:
            node.handle(MessageReceived(source=source, message=effect.message))

    # What each process does

    def _tick(self) -> None:
        for name in list(self.machines):
            node = self.find_node(name)
            if node.consensus is not None and node.frozen is None:
                self._work(name, node)
        top = max(self.oracle.committed, default=0)
        if top > self._committed:
            self._committed, self.committed_at = top, self.now
        assert self.now - self.committed_at < RECOVER_S, "no replica leads any more"
        self.call_later(TICK_S, self._tick)

    def _work(self, name: str, node: Node) -> None:
        status = self.get_status(node)
        if not status.members.is_voter(node.replica_id) or not status.leader_id:
            self._request_join(name, node)
        if node.is_leader:
            self.propose(node)
            self._repair(node, status)

    def get_status(self, node: Node) -> models.ConsensusStatus:
        assert node.consensus is not None
        return node.consensus.get_status(now=self.now)

    def _request_join(self, name: str, node: Node) -> None:
        request = JoinRequest(instance_id=name, replica_id=node.replica_id)
        for other in self.list_running():
            if node.replica_id in self.get_status(other).members.retired:
                self.replace_disk(name)
                return
            if other.is_leader:
                self.repairs[other.replica_id].record_join_request(request, now=self.now)

    def _repair(self, node: Node, status: models.ConsensusStatus) -> None:
        pending = self.changes.get(node.replica_id)
        if pending is not None and pending not in self.oracle.outcomes:
            return
        change = self.repairs[node.replica_id].choose_change(status, now=self.now)
        if change is not None:
            self.changes[node.replica_id] = self._change(node, change.kind, change.member)

    def _change(self, node: Node, kind: ChangeKind, member: Member) -> int:
        proposal_id = next(self._ids)
        node.handle(models.ChangeMembers(proposal_id=proposal_id, kind=kind, member=member))
        return proposal_id

    # What happens to machines

    def find_node(self, name: str) -> Node:
        return self.nodes[self.machines[name].replica_id]

    def list_running(self) -> list[Node]:
        nodes = [self.find_node(one) for one in self.machines]
        return [one for one in nodes if one.consensus is not None and one.frozen is None]

    def kill(self, name: str) -> None:
        self.find_node(name).crash()
        self.machines[name].lost_until = float("inf")

    def start(self, name: str) -> None:
        if name in self.machines:
            self._renew_repair(self.machines[name].replica_id)
            self.find_node(name).start()
            self.machines[name].lost_until = self.now + CATCH_UP_S

    def replace_disk(self, name: str) -> None:
        """Empty the disk of a machine, and start it under a new replica id."""
        lost_until = self.machines[name].lost_until
        del self.nodes[self.machines[name].replica_id]
        self._install(name, self._make_id(name), Disk())
        self.machines[name].lost_until = lost_until

    def lose_disk(self, name: str, dark_s: float) -> None:
        def come_back() -> None:
            self.replace_disk(name)
            self.machines[name].lost_until = self.now + CATCH_UP_S

        self.kill(name)
        self.call_later(dark_s, come_back)

    def restart(self, name: str, dark_s: float) -> None:
        self.kill(name)
        self.call_later(dark_s, lambda: self.start(name))

    def freeze(self, name: str, for_s: float) -> None:
        def wake() -> None:
            self.find_node(name).thaw()
            self.machines[name].lost_until = self.now + CATCH_UP_S

        self.find_node(name).freeze()
        self.machines[name].lost_until = float("inf")
        self.call_later(for_s, wake)

    def add_machine(self) -> str:
        self._names += 1
        name = f"m{self._names}"
        self._install(name, self._make_id(name), Disk())
        self.machines[name].lost_until = self.now + CATCH_UP_S
        return name

    def remove(self, name: str, *, announced: bool) -> None:
        """Take a machine away for good; an announced one tells the others that it stops."""
        node = self.find_node(name)
        if announced:
            notice = LeaveNotice(replica_id=node.replica_id)
            for other in self.list_running():
                self.repairs[other.replica_id].record_leave(notice, now=self.now)
            if node.is_leader:
                self.transfer(node)
            self.run(LEAVE_WAIT_S)
        node.crash()
        del self.machines[name]

    def list_sound(self) -> list[str]:
        return [one.name for one in self.machines.values() if one.lost_until <= self.now]

    def count_lost(self) -> int:
        return sum(1 for one in self.machines.values() if one.lost_until > self.now)
