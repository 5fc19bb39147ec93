"""What a replica on an empty disk is sent until it may vote."""

import unittest
from collections import deque
from random import Random

from chivetrack.components.consensus import Consensus, models
from chivetrack.components.consensus.members import ChangeKind, Member, make_voters
from chivetrack.components.replica import ReplicaCore
from chivetrack.core import Event, MessageReceived, SendMessage, TimeReached
from chivetrack.helpers.codec import pack

DOCUMENT_BYTES = 30_000
CHANGES = 150
CATCH_UP_S = 4.0
LINK_BYTES_PER_S = 750_000
LOST_DISKS = 2
# Half of the time is for the return of the machine and its join, and for other traffic.
MAX_SENT_BYTES = CATCH_UP_S / 2 * LINK_BYTES_PER_S / LOST_DISKS


class Document:
    """A state machine whose state is the newest entry."""

    def __init__(self) -> None:
        self.data = b""

    def apply(self, index: int, data: bytes) -> bytes:
        self.data = data
        return b""

    def take_snapshot(self) -> bytes:
        return self.data

    def restore_snapshot(self, data: bytes) -> None:
        self.data = data


class Replica:
    """A replica whose syncs are done at once; ``sent`` are its messages to others."""

    def __init__(self, name: str, snapshot: models.Snapshot) -> None:
        self.sent: deque[SendMessage] = deque()
        self.document = Document()
        self.snapshot = snapshot
        self.now = 0.0
        self.consensus = Consensus(
            replica_id=name,
            random=Random(1),
            timing=models.Timing(),
            recovered=models.Recovered(snapshot=snapshot),
        )
        self.core = ReplicaCore(
            consensus=self.consensus, state_machine=self.document, snapshot=snapshot
        )
        self.handle(TimeReached())

    def handle(self, event: Event) -> None:
        for effect in self.core.handle(event, now=self.now):
            match effect:
                case SendMessage():
                    self.sent.append(effect)
                case models.Persist():
                    self.snapshot = effect.snapshot or self.snapshot
                    self.handle(
                        models.Persisted(last_index=effect.last_index, last_term=effect.last_term)
                    )
                case models.LoadSnapshot():
                    self.handle(models.SnapshotLoaded(snapshot=self.snapshot))

    def wake(self, seconds: float) -> None:
        self.now += seconds
        self.handle(TimeReached())


class CatchUpTest(unittest.TestCase):
    def test_replica_on_an_empty_disk_is_sent_little_more_than_the_state(self) -> None:
        """Guards against a successor that is sent each document of the day and votes too late."""
        first = models.Snapshot(index=1, term=1, members=make_voters("a"))
        leader = Replica("a", first)
        leader.wake(2.0)
        leader.wake(2.0)
        self.assertTrue(leader.consensus.is_leader)
        for number in range(CHANGES):
            data = number.to_bytes(2, "big") * (DOCUMENT_BYTES // 2)
            leader.handle(
                models.Propose(proposals=(models.Proposal(proposal_id=number, data=data),))
            )
        learner = Replica("b", models.Snapshot())
        member = Member(replica_id="b", instance_id="b", voter=False)
        leader.handle(
            models.ChangeMembers(proposal_id=CHANGES, kind=ChangeKind.ADD_LEARNER, member=member)
        )
        sent = 0
        for _ in range(100):
            for source, target in ((leader, learner), (learner, leader)):
                while source.sent:
                    effect = source.sent.popleft()
                    sent += len(pack(effect.message)) if source is leader else 0
                    name = source.consensus.replica_id
                    target.handle(MessageReceived(source=name, message=effect.message))
            leader.wake(0.2)
        self.assertEqual(learner.document.data, leader.document.data)
        self.assertLess(sent, MAX_SENT_BYTES)


if __name__ == "__main__":
    unittest.main()
