"""Tests for slots granted by owners over a network with delays, duplicates and losses."""

import unittest
from collections import Counter
from random import Random

from chivetrack.components.load.tracker import LoadTracker
from chivetrack.components.routing.const import SLOT_REQUEST_TIMEOUT_S
from chivetrack.components.routing.messages import SlotRequest
from chivetrack.components.routing.placer import Placer
from chivetrack.components.routing.slots import Placed, SlotPlacer
from chivetrack.core import Effect, MessageReceived, SendMessage, TimeReached, WakeAt
from tests.components.routing.fakes import FakeView, make_demand, make_endpoints

STEP_S = 0.01
MAX_DELAY_S = 0.01


class FakeNetwork:
    """Simulates the slot placers of several routers and the messages between them."""

    def __init__(self, *, routers: int, endpoints: int, seed: int, loss: float = 0.0) -> None:
        self.random = Random(seed)
        self.loss = loss
        self.names = [f"r{number}" for number in range(routers)]
        view = FakeView(make_endpoints(endpoints))
        self.ids = [endpoint.endpoint_id for endpoint in make_endpoints(endpoints)]
        self.loads = {name: LoadTracker(router_id=name) for name in self.names}
        self.slots = {
            name: SlotPlacer(
                router_id=name,
                placer=Placer(view=view, load=load, random=Random(seed)),
                load=load,
                router_ids=self.names,
            )
            for name, load in self.loads.items()
        }
        for slots in self.slots.values():
            slots.set_view(router_ids=self.names, endpoint_ids=self.ids, now=0.0)
        self.now = 0.0
        self.wire: list[tuple[float, str, MessageReceived]] = []
        self.wakes: list[tuple[float, str]] = []
        self.running: list[tuple[str, str]] = []
        self.placed: dict[str, Placed] = {}
        self.cut: set[str] = set()
        self.unreserved: list[tuple[float, str]] = []
        self.step = 0

    def take(self, router: str, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Placed):
                assert effect.request_id not in self.placed
                self.placed[effect.request_id] = effect
                endpoint = effect.placement.endpoint
                assert endpoint is not None
                self.running.append((router, endpoint.endpoint_id))
                if "granted" not in effect.placement.reason:
                    self.unreserved.append((self.now, endpoint.endpoint_id))
            elif isinstance(effect, WakeAt):
                self.wakes.append((effect.at, router))
            elif isinstance(effect, SendMessage):
                self.send(router, effect)

    def send(self, router: str, effect: SendMessage) -> None:
        if self.random.random() < self.loss or {router, effect.target} & self.cut:
            return
        for _ in range(self.random.choice((1, 1, 1, 2))):
            at = self.now + self.random.uniform(0.0, MAX_DELAY_S)
            event = MessageReceived(source=router, message=effect.message)
            self.wire.append((at, effect.target, event))

    def advance(self) -> None:
        self.now += STEP_S
        self.step += 1
        if self.step % 10 == 0:
            self.summarise()
        due = sorted((e for e in self.wire if e[0] <= self.now), key=lambda e: e[0])
        self.wire = [e for e in self.wire if e[0] > self.now]
        for _, target, event in due:
            self.take(target, self.slots[target].handle(event, now=self.now))
        wakes = [wake for wake in self.wakes if wake[0] <= self.now]
        self.wakes = [wake for wake in self.wakes if wake[0] > self.now]
        for _, router in wakes:
            self.take(router, self.slots[router].handle(TimeReached(), now=self.now))

    def summarise(self) -> None:
        for name, slots in self.slots.items():
            summary = slots.collect_summary(self.now)
            for target in self.names:
                if target != name:
                    self.send(name, SendMessage(target=target, message=summary))

    def place(self, request_id: str, affinity: str) -> None:
        router = self.random.choice(self.names)
        demand = make_demand(affinity)
        self.take(router, self.slots[router].place(request_id, demand, now=self.now))

    def finish_random(self) -> None:
        router, endpoint_id = self.running.pop(self.random.randrange(len(self.running)))
        self.take(router, self.slots[router].finish(endpoint_id, now=self.now))

    def count_unreported(self) -> Counter[str]:
        oldest = self.now - MAX_DELAY_S - 2 * STEP_S
        self.unreserved = [each for each in self.unreserved if each[0] >= oldest]
        return Counter(endpoint_id for _, endpoint_id in self.unreserved)

    def count_by_owner(self, endpoint_id: str) -> float:
        owner = self.slots[self.names[0]]._owners.find_owner(endpoint_id)
        return self.loads[owner].get_estimate(endpoint_id, self.now).in_flight


def is_slot_request(effect: Effect) -> bool:
    return isinstance(effect, SendMessage) and isinstance(effect.message, SlotRequest)


class SlotsTest(unittest.TestCase):
    def test_owner_never_counts_fewer_than_are_running(self) -> None:
        """Twelve routers place at the same time; messages are duplicated and reordered.

        If an owner dropped a slot between its grant and the next counts of the requesting
        router, it would grant the slot twice and overfill the engine. A request that all
        owners refused is placed without a slot; its owner must count it after one message.
        """
        for seed in range(6):
            network = FakeNetwork(routers=12, endpoints=8, seed=seed)
            for step in range(500):
                for _ in range(network.random.randrange(4)):
                    number = len(network.placed) + 1000 * step
                    network.place(f"{number}-{network.random.random()}", f"c{number % 40}")
                while len(network.running) > 80:
                    network.finish_random()
                network.advance()
                running = Counter(endpoint_id for _, endpoint_id in network.running)
                unreported = network.count_unreported()
                for endpoint_id in network.ids:
                    counted = network.count_by_owner(endpoint_id)
                    self.assertGreaterEqual(counted + unreported[endpoint_id], running[endpoint_id])

    def test_counts_converge_to_the_running_requests(self) -> None:
        """Long requests go on while a router places nothing new, and other requests end.

        An owner that dropped the running requests would overfill the engine; an owner that
        kept the finished ones would refuse slots on an idle engine.
        """
        network = FakeNetwork(routers=5, endpoints=6, seed=2)
        for number in range(120):
            network.place(f"q{number}", f"c{number}")
            network.advance()
        while len(network.running) > 20:
            network.finish_random()
        for seconds in (0.3, 4.0, 10.0):
            with self.subTest(seconds=seconds):
                for _ in range(int(seconds / STEP_S)):
                    network.advance()
                running = Counter(endpoint_id for _, endpoint_id in network.running)
                counted = {name: network.count_by_owner(name) for name in network.ids}
                self.assertEqual(counted, {name: running[name] for name in network.ids})

    def test_shared_dossier_is_distributed_when_its_first_choices_are_full(self) -> None:
        """Requests for the same dossier arrive at all routers at the same time.

        The first choices of the dossier fill up. If further endpoints were chosen by
        estimates, every router would fill the same next endpoint at the same time.
        """
        network = FakeNetwork(routers=8, endpoints=16, seed=7)
        for number in range(160):
            network.place(f"q{number}", "same dossier")
            for _ in range(10):
                network.advance()
        unreserved = [p for p in network.placed.values() if "granted" not in p.placement.reason]
        self.assertLess(len(unreserved), 160 / 4)
        counts = Counter(endpoint_id for _, endpoint_id in network.running)
        self.assertLessEqual(max(counts.values()), 1.25 * 10 + 1)

    def test_every_request_is_placed_once_when_messages_are_lost(self) -> None:
        network = FakeNetwork(routers=5, endpoints=6, seed=3, loss=0.3)
        for number in range(200):
            network.place(f"q{number}", f"c{number}")
            network.advance()
        for _ in range(50):
            network.advance()
        self.assertEqual(len(network.placed), 200)

    def test_unreachable_owner_is_avoided(self) -> None:
        """The routers that own the engines are unreachable and never answer.

        Requests must be placed by estimates, and only a few of them may wait for the timeout.
        """
        network = FakeNetwork(routers=5, endpoints=6, seed=4)
        owners = {network.slots["r0"]._owners.find_owner(name) for name in network.ids}
        network.cut = owners - {"r0"}
        slots = network.slots["r0"]
        requested = 0
        for number in range(40):
            effects = slots.place(f"q{number}", make_demand(f"c{number}"), now=network.now)
            requested += any(is_slot_request(effect) for effect in effects)
            network.take("r0", effects)
            for _ in range(int(SLOT_REQUEST_TIMEOUT_S / STEP_S) + 1):
                network.advance()
            self.assertIn(f"q{number}", network.placed)
        self.assertLess(requested, 10)

    def test_slot_is_requested_from_the_next_endpoint_after_a_refusal(self) -> None:
        network = FakeNetwork(routers=5, endpoints=6, seed=5)
        for number in range(30):
            network.place(f"q{number}", "same dossier")
            for _ in range(20):
                network.advance()
        running = Counter(endpoint_id for _, endpoint_id in network.running)
        self.assertGreater(len(running), 4)
        self.assertLessEqual(max(running.values()), 7)
        reasons = {placed.placement.reason for placed in network.placed.values()}
        self.assertIn("slot granted, choice 2", reasons)

    def test_duplicate_slot_request_reserves_once(self) -> None:
        network = FakeNetwork(routers=2, endpoints=1, seed=6)
        owner = network.slots["r0"]._owners.find_owner("engine-0")
        requester = "r1" if owner == "r0" else "r0"
        slot_request = SlotRequest(
            ticket=7,
            endpoint_ids=["engine-0"],
            limits=[5.0],
            counts=network.loads[requester].collect_counts(0.0, scope=[], settled=6),
        )
        event = MessageReceived(source=requester, message=slot_request)
        answers = [network.slots[owner].handle(event, now=0.0) for _ in range(3)]
        self.assertEqual(answers[0], answers[1])
        self.assertEqual(answers[0], answers[2])
        self.assertEqual(network.count_by_owner("engine-0"), 1.0)
