"""Founding the log: once, with everybody, and never under an old id."""

import random
import unittest

from chivetrack.components.consensus.members import Members
from chivetrack.components.replica.formation import Formation, Founded, Hello, Stranger
from chivetrack.core import Effect, MessageReceived, SendMessage, TimeReached

NAMES = ("a", "b", "c")


class FormationNet:
    """Formations that say hello to each other; messages may be lost, late and doubled."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.now = 0.0
        self.starts = 0
        self.formations = {name: self.start(name) for name in NAMES}
        self.replica_ids = {}
        self.mail: list[SendMessage] = []
        self.founded: dict[str, Members] = {}
        self.strangers: dict[str, Members] = {}

    def start(self, name: str) -> Formation:
        self.starts += 1
        replica_id = f"{name}.{self.starts}"
        return Formation(instance_id=name, replica_id=replica_id, instances=NAMES)

    def take(self, name: str, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendMessage):
                self.mail.append(effect)
            elif isinstance(effect, Founded):
                self.founded[name] = effect.members
            elif isinstance(effect, Stranger):
                self.strangers[name] = effect.members

    def tick(self) -> None:
        self.now += 0.3
        for name in NAMES:
            effects = self.formations[name].handle(TimeReached(), now=self.now)
            self.take(name, effects)

    def deliver(self, sent: SendMessage) -> None:
        assert isinstance(sent.message, Hello)
        target = sent.target
        if target in self.founded:
            # A member of the log answers whoever still asks.
            source = sent.message.instance_id
            answer = Hello(target, "", (), self.founded[target])
            event = MessageReceived(source=target, message=answer)
            self.take(source, self.formations[source].handle(event, now=self.now))
            return
        event = MessageReceived(source=sent.message.instance_id, message=sent.message)
        self.take(target, self.formations[target].handle(event, now=self.now))

    def deliver_some(self) -> None:
        self.rng.shuffle(self.mail)
        for sent in [self.mail.pop() for _ in range(len(self.mail) // 2)]:
            if self.rng.random() < 0.3:
                continue
            self.deliver(sent)
            if self.rng.random() < 0.2:
                self.deliver(sent)


class FormationTest(unittest.TestCase):
    def test_nothing_is_founded_without_everybody(self) -> None:
        net = FormationNet(random.Random(1))
        for _ in range(20):
            net.tick()
            for sent in net.mail:
                if "c" not in (sent.target, sent.message.instance_id):
                    net.deliver(sent)
            net.mail.clear()
        self.assertEqual(net.founded, {})

    def test_all_found_the_same_log(self) -> None:
        """Hellos are lost, doubled and late; every instance must begin the same log."""
        for seed in range(200):
            with self.subTest(seed=seed):
                net = FormationNet(random.Random(seed))
                for _ in range(60):
                    net.tick()
                    net.deliver_some()
                self.assertEqual(set(net.founded), set(NAMES))
                self.assertEqual(len(set(map(str, net.founded.values()))), 1)

    def test_a_lost_folder_comes_back_as_a_stranger(self) -> None:
        """A replica's folder is deleted after the log was founded, and it starts again.

        Its new id is not a member's. Taken for the voter it was, it could vote a
        second time in a term, and two leaders could be elected.
        """
        net = FormationNet(random.Random(1))
        for _ in range(60):
            net.tick()
            net.deliver_some()
        del net.founded["b"]
        net.formations["b"] = net.start("b")
        for _ in range(20):
            net.tick()
            net.deliver_some()
        self.assertIn("b", net.strangers)
        self.assertNotIn("b", net.founded)

    def test_restart_before_the_log_exists(self) -> None:
        """An instance starts again with another id while the others wait for it.

        Whatever the order, no two instances may found logs that differ: those would
        share members, and each could elect a leader.
        """
        for seed in range(1000):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                net = FormationNet(rng)
                for step in range(40):
                    net.tick()
                    net.deliver_some()
                    if step < 10 and rng.random() < 0.4 and "b" not in net.founded:
                        net.formations["b"] = net.start("b")
                self.assertLessEqual(len(set(map(str, net.founded.values()))), 1)
