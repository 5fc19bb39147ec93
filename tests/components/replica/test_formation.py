"""Bootstrap of the log: once, with all bootstrap instances, never under an old replica id."""

import random
import unittest
from dataclasses import dataclass

from chivetrack.components.consensus.members import Member, Members
from chivetrack.components.replica.bootstrap import (
    HELLO_INTERVAL_S,
    Hello,
    LogBootstrap,
    LogBootstrapped,
    NotAMember,
)
from chivetrack.core import Effect, MessageReceived, SendMessage, TimeReached

NAMES = ("a", "b", "c")


class BootstrapNetwork:
    """Instances that bootstrap a log; hellos may be lost, delayed and duplicated."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.now = 0.0
        self.starts = 0
        self.bootstraps = {name: self.start(name) for name in NAMES}
        self.replica_ids = {}
        self.in_transit: list[SendMessage] = []
        self.bootstrapped: dict[str, Members] = {}
        self.non_members: dict[str, Members] = {}

    def start(self, name: str) -> LogBootstrap:
        self.starts += 1
        replica_id = f"{name}.{self.starts}"
        return LogBootstrap(instance_id=name, replica_id=replica_id, instances=NAMES)

    def handle_effects(self, name: str, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendMessage):
                self.in_transit.append(effect)
            elif isinstance(effect, LogBootstrapped):
                self.bootstrapped[name] = effect.members
            elif isinstance(effect, NotAMember):
                self.non_members[name] = effect.members

    def tick(self) -> None:
        self.now += 0.3
        for name in NAMES:
            effects = self.bootstraps[name].handle(TimeReached(), now=self.now)
            self.handle_effects(name, effects)

    def deliver(self, sent: SendMessage) -> None:
        assert isinstance(sent.message, Hello)
        target = sent.target
        if target in self.bootstrapped:
            # A member of the log answers hellos with the members.
            source = sent.message.instance_id
            answer = Hello(target, "", (), self.bootstrapped[target])
            event = MessageReceived(source=target, message=answer)
            self.handle_effects(source, self.bootstraps[source].handle(event, now=self.now))
            return
        event = MessageReceived(source=sent.message.instance_id, message=sent.message)
        self.handle_effects(target, self.bootstraps[target].handle(event, now=self.now))

    def deliver_some(self) -> None:
        self.rng.shuffle(self.in_transit)
        for sent in [self.in_transit.pop() for _ in range(len(self.in_transit) // 2)]:
            if self.rng.random() < 0.3:
                continue
            self.deliver(sent)
            if self.rng.random() < 0.2:
                self.deliver(sent)


class FormationTest(unittest.TestCase):
    def test_no_log_is_created_without_all_instances(self) -> None:
        net = BootstrapNetwork(random.Random(1))
        for _ in range(20):
            net.tick()
            for sent in net.in_transit:
                if "c" not in (sent.target, sent.message.instance_id):
                    net.deliver(sent)
            net.in_transit.clear()
        self.assertEqual(net.bootstrapped, {})

    def test_all_create_the_same_log(self) -> None:
        """Hellos are lost, duplicated and delayed; all instances must create the same log."""
        for seed in range(200):
            with self.subTest(seed=seed):
                net = BootstrapNetwork(random.Random(seed))
                for _ in range(60):
                    net.tick()
                    net.deliver_some()
                self.assertEqual(set(net.bootstrapped), set(NAMES))
                self.assertEqual(len(set(map(str, net.bootstrapped.values()))), 1)

    def test_a_replica_with_a_lost_folder_is_not_a_member(self) -> None:
        """A replica's folder is deleted after the bootstrap, and the replica restarts.

        Its new id must not be a member. As the voter that it was, it could vote twice in
        one term, and two leaders could be elected.
        """
        net = BootstrapNetwork(random.Random(1))
        for _ in range(60):
            net.tick()
            net.deliver_some()
        del net.bootstrapped["b"]
        net.bootstraps["b"] = net.start("b")
        for _ in range(20):
            net.tick()
            net.deliver_some()
        self.assertIn("b", net.non_members)
        self.assertNotIn("b", net.bootstrapped)

    def test_restart_before_the_log_exists(self) -> None:
        """An instance restarts with another replica id while the others wait for it.

        In any order of messages, no two instances may create different logs: these would
        share members, and each could elect a leader.
        """
        for seed in range(1000):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                net = BootstrapNetwork(rng)
                for step in range(40):
                    net.tick()
                    net.deliver_some()
                    if step < 10 and rng.random() < 0.4 and "b" not in net.bootstrapped:
                        net.bootstraps["b"] = net.start("b")
                self.assertLessEqual(len(set(map(str, net.bootstrapped.values()))), 1)


@dataclass
class Disk:
    """State on disk: the replica id, whether it dates from the first start, the members."""

    replica_id: str
    has_first_disk: bool
    members: Members | None = None


class Process:
    """One process of an instance, from its start to its kill."""

    def __init__(self, disk: Disk, bootstrap: LogBootstrap) -> None:
        self.disk = disk
        self.bootstrap = bootstrap


class KilledFleet:
    """Bootstrap instances that are killed and whose disks are lost at any step.

    A message is delivered only if the receiving process still runs. Only at the first start
    do the settings mark the start of the deployment.
    """

    def __init__(self, rng: random.Random, *, tolerated_losses: int = 2) -> None:
        self.rng = rng
        self.tolerated_losses = tolerated_losses
        self.now = 0.0
        self.ids = 0
        self.disks: dict[str, Disk] = {}
        self.processes: dict[str, Process] = {}
        self.booting: dict[str, bool] = {}
        self.in_transit: list[tuple[Process, Process, Hello]] = []
        self.created_logs: set[Members] = set()

    def boot(self, name: str, *, is_first_start: bool) -> None:
        """Start an instance; nothing is written before ``open_disk``."""
        self.booting[name] = is_first_start

    def open_disk(self, name: str) -> None:
        """Read or create the data folder, and start the bootstrap."""
        is_first_start = self.booting.pop(name)
        disk = self.disks.get(name)
        if disk is None:
            self.ids += 1
            disk = self.disks[name] = Disk(f"{name}.{self.ids}", is_first_start)
        bootstrap = LogBootstrap(
            instance_id=name,
            replica_id=disk.replica_id,
            instances=NAMES,
            has_first_disk=disk.has_first_disk,
            tolerated_losses=self.tolerated_losses,
        )
        self.processes[name] = Process(disk, bootstrap)

    def kill(self, name: str, *, loses_disk: bool = False) -> None:
        self.processes.pop(name, None)
        self.booting.pop(name, None)
        if loses_disk:
            self.disks.pop(name, None)
        self.boot(name, is_first_start=False)

    def handle_effects(self, process: Process, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendMessage) and effect.target in self.processes:
                assert isinstance(effect.message, Hello)
                self.in_transit.append((process, self.processes[effect.target], effect.message))
            elif isinstance(effect, LogBootstrapped):
                process.disk.members = effect.members
                self.created_logs.add(effect.members)

    def tick(self) -> None:
        self.now += HELLO_INTERVAL_S
        for process in list(self.processes.values()):
            if process.disk.members is None:
                self.handle_effects(process, process.bootstrap.handle(TimeReached(), now=self.now))

    def deliver(self, loss: float) -> None:
        """Deliver half of the messages in transit, in random order."""
        self.rng.shuffle(self.in_transit)
        for source, target, hello in [
            self.in_transit.pop() for _ in range((len(self.in_transit) + 1) // 2)
        ]:
            if self.rng.random() < loss or target not in self.processes.values():
                continue
            self.deliver_hello(source, target, hello)

    def deliver_hello(self, source: Process, target: Process, hello: Hello) -> None:
        if target.disk.members is None:
            event = MessageReceived(source=hello.instance_id, message=hello)
            self.handle_effects(target, target.bootstrap.handle(event, now=self.now))
        elif hello.members is None and source in self.processes.values():
            own = target.disk.replica_id
            answer = Hello(own.partition(".")[0], own, (), target.disk.members)
            self.in_transit.append((target, source, answer))

    def run(self, steps: int, *, kills: float = 0.0, wipes: int = 0, loss: float = 0.0) -> None:
        """Run steps; in each, an instance is killed with probability ``kills``."""
        for _ in range(steps):
            for name in list(self.booting):
                if self.rng.random() < 0.6:
                    self.open_disk(name)
            self.tick()
            # In some steps nothing is delivered, so that old messages arrive later.
            for _ in range(self.rng.choice((0, 0, 1, 3)) if kills else 3):
                self.deliver(loss)
            if self.rng.random() < kills:
                name = self.rng.choice(NAMES)
                is_wiped = wipes > 0 and self.rng.random() < 0.3
                wipes -= is_wiped
                self.kill(name, loses_disk=is_wiped)

    def list_logs(self) -> list[Members]:
        """Return the logs that can elect a leader: those held by a majority of their members."""
        held = {one.replica_id: one.members for one in self.disks.values()}
        return [
            members
            for members in self.created_logs
            if members.has_quorum([one for one, of in held.items() if of == members])
        ]


def start_fleet(seed: int, *, tolerated_losses: int = 2) -> KilledFleet:
    fleet = KilledFleet(random.Random(seed), tolerated_losses=tolerated_losses)
    for name in NAMES:
        fleet.boot(name, is_first_start=True)
    return fleet


class KilledFoundersTest(unittest.TestCase):
    def test_instances_killed_before_they_wrote_anything(self) -> None:
        """Bootstrap instances are killed in their first second, before the start completes.

        They return with empty disks, and the settings no longer mark the start of the
        deployment. Treated as replicas that lost their disk, they would wait for a log that
        does not exist, and the others for them: every caller would get 503 for ever.
        """
        for killed in (("a",), ("a", "b"), NAMES):
            with self.subTest(killed=killed):
                fleet = start_fleet(1)
                for name in killed:
                    fleet.kill(name)
                fleet.run(20)
                self.assertEqual(len(fleet.list_logs()), 1)

    def test_kills_at_any_step(self) -> None:
        """Instances are killed before the folder exists, before the log, or after some have it.

        No disk is lost. In the end there must be exactly one log.
        """
        for seed in range(600):
            with self.subTest(seed=seed):
                fleet = start_fleet(seed)
                fleet.run(12, kills=0.7, loss=0.3)
                fleet.run(30)
                self.assertEqual(len(fleet.created_logs), 1)
                self.assertEqual({one.members for one in fleet.disks.values()}, fleet.created_logs)

    def test_kills_and_a_lost_disk_at_any_step(self) -> None:
        """One of three instances also loses its disk, and its delayed hellos arrive later.

        Members that hold different logs could each elect a leader.
        """
        for seed in range(1500):
            with self.subTest(seed=seed):
                fleet = start_fleet(seed)
                fleet.run(20, kills=0.3, wipes=1, loss=0.2)
                self.assertLessEqual(len(fleet.list_logs()), 1)
                fleet.run(40)
                self.assertEqual(len(fleet.list_logs()), 1)

    def test_all_instances_may_have_lost_their_disks(self) -> None:
        """Three disks may be lost at once, and three blank bootstrap instances return.

        The log may still exist on four other replicas, which are slow to answer. A second
        log would lose the entries that the first one has acknowledged.
        """
        fleet = start_fleet(1, tolerated_losses=3)
        fleet.run(20)
        (log,) = fleet.created_logs
        for name in NAMES:
            fleet.kill(name, loses_disk=True)
        fleet.run(40)
        self.assertEqual(fleet.created_logs, {log})
        self.assertTrue(all(one.bootstrap.may_have_lost_log for one in fleet.processes.values()))

    def test_delayed_hello_of_an_earlier_round(self) -> None:
        """An instance lost its disk; another one's old hello arrives in the new round.

        The sender may know other blank replicas by now, so only hellos of the current
        round count.
        """
        bootstrap = LogBootstrap(instance_id="a", replica_id="a.1", instances=NAMES)
        known_blank = tuple(Member(f"{name}.{1 + (name == 'b')}", name, True) for name in NAMES)

        def receive(name: str, replica_id: str, round_number: int) -> list[Effect]:
            hello = Hello(
                name, replica_id, known_blank, bootstrap_instances=NAMES, round=round_number
            )
            return bootstrap.handle(MessageReceived(source=name, message=hello), now=0.0)

        hellos = (("b", "b.1", 0), ("b", "b.2", 0), ("b", "b.2", 1), ("c", "c.1", 0))
        for hello in hellos:
            self.assertEqual(receive(*hello), [])
        self.assertEqual(
            receive("c", "c.1", 1), [LogBootstrapped(members=Members(members=known_blank))]
        )

    def test_instance_whose_settings_changed(self) -> None:
        """A killed bootstrap instance returns, and its settings name other seeds.

        It must adopt the bootstrap instances of the first start from the others' hellos.
        """
        first = LogBootstrap(instance_id="a", replica_id="a.1", instances=("a", "b"))
        restarted = LogBootstrap(
            instance_id="b",
            replica_id="b.1",
            instances=("d", "e"),
            contacts=("a",),
            has_first_disk=False,
        )
        pair = {"a": first, "b": restarted}
        bootstrapped: set[Members] = set()
        in_transit: list[SendMessage] = []
        for step in range(8):
            for one in pair.values():
                in_transit += self.list_sent(
                    one.handle(TimeReached(), now=step * 0.3), bootstrapped
                )
            for sent in [one for one in in_transit if one.target in pair]:
                event = MessageReceived(source="", message=sent.message)
                in_transit += self.list_sent(
                    pair[sent.target].handle(event, now=step * 0.3), bootstrapped
                )
            in_transit.clear()
        self.assertEqual(len(bootstrapped), 1)

    def list_sent(self, effects: list[Effect], bootstrapped: set[Members]) -> list[SendMessage]:
        bootstrapped |= {one.members for one in effects if isinstance(one, LogBootstrapped)}
        return [one for one in effects if isinstance(one, SendMessage)]
