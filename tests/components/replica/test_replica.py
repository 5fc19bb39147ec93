"""Tests of the writer: results for its callers, and events that share a sync."""

import tempfile
import threading
import unittest
from collections.abc import Callable, Sequence
from pathlib import Path
from random import Random
from unittest import mock

from chivetrack.components.consensus import Consensus, models
from chivetrack.components.consensus.members import make_voters
from chivetrack.components.consensus.messages import Entry, EntryKind
from chivetrack.components.replica import Replica, ReplicaCore
from chivetrack.components.replica.models import NotLeaderFault, ProposalAnswered
from chivetrack.components.storage import Storage, create_folder, open_storage
from chivetrack.components.storage.backup import rescue_folder
from chivetrack.components.storage.exceptions import WriteFailedError
from chivetrack.components.storage.records import Identity
from chivetrack.const import MEBIBYTE
from chivetrack.core import Event, SendMessage, TimeReached
from chivetrack.exceptions import Fault, Ran
from chivetrack.helpers.codec import pack, unpack


class Journal:
    """A state machine that keeps all values and answers with their count."""

    def __init__(self) -> None:
        self.values: list[bytes] = []

    def apply(self, index: int, data: bytes) -> bytes:
        self.values.append(data)
        return b"%d" % len(self.values)

    def take_snapshot(self) -> bytes:
        return b",".join(self.values)

    def restore_snapshot(self, data: bytes) -> None:
        self.values = data.split(b",") if data else []


def make_core(
    name: str, recovered: models.Recovered, journal: Journal, *, seed: int = 1
) -> ReplicaCore:
    """Return a core that takes a snapshot every ten entries."""
    consensus = Consensus(
        replica_id=name, random=Random(seed), timing=models.Timing(), recovered=recovered
    )
    return ReplicaCore(
        consensus=consensus,
        state_machine=journal,
        snapshot=recovered.snapshot,
        snapshot_entries=10,
    )


class Disk:
    """In-memory storage that counts saves, and fails while ``full`` is set."""

    def __init__(self) -> None:
        self.saves: list[int] = []
        self.full = False
        self.snapshot = models.Snapshot()

    def save(self, persists: Sequence[models.Persist]) -> None:
        if self.full:
            raise WriteFailedError(Path("data"), "disk full")
        self.saves.append(len(persists))
        taken = [one.snapshot for one in persists if one.snapshot is not None]
        self.snapshot = taken[-1] if taken else self.snapshot

    def load_snapshot(self) -> models.Snapshot:
        return self.snapshot


class StepWaiter(threading.Event):
    """Runs all replicas instead of waiting, so that tests need no threads or real time."""

    work: Callable[[], None] | None = None

    def wait(self, timeout: float | None = None) -> bool:
        if self.work is not None:
            self.work()
        return self.is_set()


class Cluster:
    """Replicas with in-memory disks and a simulated clock."""

    def __init__(self, *names: str) -> None:
        self.now = 0.0
        self.replicas: dict[str, Replica] = {}
        self.journals: dict[str, Journal] = {}
        self.disks: dict[str, Disk] = {}
        self.cut: set[str] = set()
        first = models.Snapshot(index=1, term=1, members=make_voters(*names))
        for number, name in enumerate(names):
            self.journals[name] = Journal()
            self.disks[name] = Disk()
            recovered = models.Recovered(snapshot=first)
            core = make_core(name, recovered, self.journals[name], seed=number)
            self.replicas[name] = Replica(
                core=core,
                storage=self.disks[name],
                send=self.make_sender(name),
                clock=lambda: self.now,
                make_waiter=self.make_waiter,
            )

    def make_waiter(self) -> StepWaiter:
        waiter = StepWaiter()
        waiter.work = self.work
        return waiter

    def make_sender(self, source: str) -> Callable[[SendMessage], None]:
        def send(effect: SendMessage) -> None:
            if not {source, effect.target} & self.cut:
                message = unpack(pack(effect.message))
                self.replicas[effect.target].receive(source, message)

        return send

    def work(self, rounds: int = 30) -> None:
        for _ in range(rounds):
            self.now += 0.002
            for name, replica in self.replicas.items():
                if not self.disks[name].full:
                    replica.step()

    def elect(self) -> str:
        while True:
            self.work()
            for name, replica in self.replicas.items():
                if name not in self.cut and replica.get_status().consensus.role == "leader":
                    return name


class ReplicaTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = Cluster("a", "b", "c")
        self.name = self.cluster.elect()
        self.leader = self.cluster.replicas[self.name]
        self.others = [one for one in "abc" if one != self.name]

    def get_fault(self, data: bytes = b"x", *, name: str | None = None) -> Fault:
        return (
            self.cluster.replicas[name or self.name]
            .propose(data)
            .swap()
            .default_value(Fault(code="none", message="", status=0))
        )

    def test_accepted(self) -> None:
        self.assertEqual(self.leader.propose(b"x").default_value(b""), b"1")
        self.assertEqual(self.leader.propose(b"y").default_value(b""), b"2")
        self.assertGreaterEqual(self.leader.confirm_read().default_value(0), 4)
        self.cluster.work(200)
        for journal in self.cluster.journals.values():
            self.assertEqual(journal.values, [b"x", b"y"])

    def test_refused_with_the_leader(self) -> None:
        fault = self.get_fault(name=self.others[0])
        assert isinstance(fault, NotLeaderFault)
        self.assertEqual((fault.ran, fault.leader), (Ran.NO, self.name))

    def test_unknown_behind_a_cut(self) -> None:
        """The leader is partitioned after it accepted a write. The outcome must be
        unknown: the entry is in a log and may be committed later."""
        self.cluster.cut.add(self.name)
        fault = self.get_fault()
        self.assertEqual((fault.code, fault.ran), ("outcome_unknown", Ran.MAYBE))

    def test_failed_disk(self) -> None:
        """The leader's disk fails during a write. The outcome must be unknown, since the
        followers may hold the entry; later calls must be refused."""
        disk = self.cluster.disks[self.name]
        failed: list[Exception] = []

        def work() -> None:
            disk.full = True
            try:
                self.leader.step()
            except WriteFailedError as error:
                failed.append(error)

        waiters: list[StepWaiter] = []
        make = self.leader._calls._make_waiter

        def make_waiter() -> StepWaiter:
            waiter = make()
            assert isinstance(waiter, StepWaiter)
            waiter.work = work
            waiters.append(waiter)
            return waiter

        self.leader._calls._make_waiter = make_waiter
        fault = self.get_fault()
        self.assertEqual((fault.code, fault.ran), ("outcome_unknown", Ran.MAYBE))
        self.assertEqual(len(failed), 1)
        self.assertTrue(waiters[0].is_set(), "the caller still waits")
        fault = self.get_fault()
        self.assertEqual((fault.code, fault.ran), ("storage_failed", Ran.NO))
        self.assertIn("disk full", self.leader.get_status().failure)

    def test_broken_state_machine_ends_calls(self) -> None:
        """Applying an entry raises, which stops the writer. Pending calls must end instead
        of waiting, and later ones must be refused."""
        broken = ValueError("cannot apply")
        journal = self.cluster.journals[self.name]
        with mock.patch.object(journal, "apply", side_effect=broken):
            call_id = self.leader._calls.open(is_read=False)
            self.leader._submit(
                models.Propose(proposals=(models.Proposal(proposal_id=call_id, data=b"x"),))
            )
            self.leader.step()
            for name in self.others:
                self.cluster.replicas[name].step()
            with self.assertRaises(ValueError):
                self.leader.run()
        self.assertTrue(self.leader._calls._calls[call_id].waiter.wait(0))
        self.assertEqual(self.get_fault().ran, Ran.NO)

    def test_memory_is_bounded(self) -> None:
        """Large entries: one that exceeds a message is refused; a partitioned leader
        accepts 16 MiB and refuses the rest; a snapshot compacts the log before 8 MiB are more."""
        fault = self.get_fault(bytes(MEBIBYTE + 1))
        self.assertEqual((fault.code, fault.status, fault.ran), ("too_large", 413, Ran.NO))
        disk = self.cluster.disks[self.name]
        for _ in range(24):
            self.assertTrue(self.leader.propose(b"x" * MEBIBYTE).is_ok())
            last_index = self.leader.get_status().consensus.last_index
            self.assertLessEqual(last_index - disk.snapshot.index, 8)
        self.cluster.cut.add(self.name)
        self.leader._calls._make_waiter = StepWaiter
        for _ in range(17):
            self.leader.propose(b"x" * MEBIBYTE, timeout_s=0)
        self.leader.step()
        status = self.leader.get_status().consensus
        self.assertEqual(status.last_index - status.commit_index, 16)

    def test_many_writers_share_a_sync(self) -> None:
        """64 callers propose before the writer runs: the leader must save them at once,
        with one message to each follower."""
        self.cluster.work(100)
        disk = self.cluster.disks[self.name]
        disk.saves.clear()
        barrier = StepWaiter()
        self.leader._calls._make_waiter = lambda: barrier
        for number in range(64):
            self.leader.propose(b"%d" % number)
        self.assertEqual(disk.saves, [])
        self.cluster.work()
        self.assertEqual(disk.saves[0], 1)
        self.assertLessEqual(len(disk.saves), 1 + 64 // 10)
        self.assertEqual(len(self.cluster.journals[self.name].values), 64)

    def test_leadership_transfer(self) -> None:
        self.leader.transfer_leadership()
        self.cluster.work()
        self.assertNotEqual(self.cluster.elect(), self.name)


class CoreTest(unittest.TestCase):
    def test_driven_by_events_alone(self) -> None:
        """A caller such as a benchmark passes in events and times and executes the effects."""
        first = models.Snapshot(index=1, term=1, members=make_voters("a"))
        core = make_core("a", models.Recovered(snapshot=first), Journal())
        events: list[Event] = [
            TimeReached(),
            TimeReached(),
            models.Propose(proposals=(models.Proposal(proposal_id=5, data=b"x"),)),
        ]
        answered: list[ProposalAnswered] = []
        now = 0.0
        while events:
            for effect in core.handle(events.pop(0), now=now):
                now += 0.5
                if isinstance(effect, models.Persist):
                    last = (effect.last_index, effect.last_term)
                    events.append(models.Persisted(last_index=last[0], last_term=last[1]))
                if isinstance(effect, ProposalAnswered):
                    answered.append(effect)
            now += 2.0
        self.assertEqual([(one.proposal_id, one.data) for one in answered], [(5, b"1")])


class RestartTest(unittest.TestCase):
    def make_replica(self, storage: Storage, journal: Journal) -> Replica:
        core = make_core(storage.identity.replica_id, storage.pop_recovered(), journal)
        return Replica(
            core=core,
            storage=storage,
            send=lambda effect: None,
            clock=self.tick,
            make_waiter=self.make_waiter,
        )

    def setUp(self) -> None:
        self.now = 0.0
        self.replica: Replica | None = None

    def tick(self) -> float:
        self.now += 0.05
        return self.now

    def make_waiter(self) -> StepWaiter:
        waiter = StepWaiter()
        waiter.work = self.work
        return waiter

    def work(self) -> None:
        for _ in range(60):
            if self.replica is not None:
                self.replica.step()

    def test_values_survive_restarts(self) -> None:
        """A single replica is restarted five times, with snapshots in between; the state
        machine must hold each acknowledged value once, in order."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "data"
            first = models.Snapshot(index=1, term=1, members=make_voters("a"))
            identity = Identity(replica_id="a", instance_id="a")
            create_folder(path, identity=identity, snapshot=first)
            written: list[bytes] = []
            for incarnation in range(5):
                journal = Journal()
                with open_storage(path=path) as storage:
                    self.replica = self.make_replica(storage, journal)
                    self.work()
                    for number in range(7):
                        value = b"%d-%d" % (incarnation, number)
                        self.assertTrue(self.replica.propose(value).is_ok())
                        written.append(value)
                    self.assertEqual(journal.values, written)

    def test_rescue_after_a_lost_majority(self) -> None:
        """Two of three disks are permanently lost. The remaining folder is turned into a
        log with one new replica as its only member. It must have every value of the old
        folder and accept new ones."""
        with tempfile.TemporaryDirectory() as folder:
            old = Path(folder) / "old"
            new = Path(folder) / "new"
            first = models.Snapshot(index=1, term=1, members=make_voters("a", "b", "c"))
            create_folder(old, identity=Identity(replica_id="a", instance_id="a"), snapshot=first)
            entries = tuple(
                Entry(index=index, term=1, kind=EntryKind.DATA, data=b"%d" % index)
                for index in range(2, 30)
            )
            with open_storage(path=old) as storage:
                storage.save([models.Persist(entries=entries, last_index=29, last_term=1)])
            identity = Identity(replica_id="z", instance_id="z")
            self.assertEqual(rescue_folder(old, folder=new, identity=identity), 29)
            journal = Journal()
            with open_storage(path=new) as storage:
                self.replica = self.make_replica(storage, journal)
                self.work()
                self.assertTrue(self.replica.propose(b"next").is_ok())
                members = self.replica.get_status().consensus.members
            self.assertEqual(members.list_voters(), ["z"])
            self.assertEqual(journal.values, [*(one.data for one in entries), b"next"])


if __name__ == "__main__":
    unittest.main()
