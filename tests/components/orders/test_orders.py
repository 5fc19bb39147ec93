"""Orders to engines: planned steps, lost responses and changes of the lease holder."""

import unittest
from typing import Any

from chivetrack.components.controllers.const import CLOCK_DRIFT, LEASE_DURATION_S
from chivetrack.components.orders import const
from chivetrack.components.orders.models import (
    Artifact,
    ArtifactKind,
    EngineGoal,
    Order,
    OrderEnded,
    OrderKind,
    OrderOutcome,
    OrderPhase,
    OrderRequest,
    SendOrder,
)
from tests.components.controllers.simulation import Instance, Network
from tests.components.orders.engines import Engine, EngineSimulation, make_adapter, make_model

FIRST = make_model("first")
SECOND = make_model("second")
TUNED = make_adapter("tuned", "second")
MANAGED = frozenset(
    artifact.get_name() for artifact in (FIRST, SECOND, TUNED, make_adapter("old", "first"))
)
TAKEOVER_DELAY_S = LEASE_DURATION_S * (1 + CLOCK_DRIFT) + const.MAX_DELIVERY_S
FAILOVER_S = 2 * LEASE_DURATION_S + 8.0


def make_goal(*artifacts: Artifact, role: str = "") -> EngineGoal:
    return EngineGoal(artifacts=frozenset(artifacts), role=role, managed=MANAGED)


class OrderTestCase(unittest.TestCase):
    def start(self, *engines: Engine, names: tuple[str, ...] = ("one",), **fields: Any) -> None:
        self.world = EngineSimulation(list(engines), **fields)
        for name in names:
            self.world.simulation.add(name)

    def find_holder(self) -> Instance:
        (name,) = self.world.simulation.find_holders()
        return next(entry for entry in self.world.simulation.instances if entry.name == name)

    def get_kinds(self, engine: Engine) -> list[str]:
        return [
            f"{order.kind} {order.artifact.name if order.artifact else order.role}"
            for order in engine.taken
        ]


class AdapterAdmission:
    """Admits adapters and no model."""

    def admit(self, endpoint_id: str, artifact: Artifact, *, now: float) -> bool:
        return artifact.kind is ArtifactKind.ADAPTER


class StepTest(OrderTestCase):
    def test_from_any_state_to_the_goal(self) -> None:
        engine = Engine("e1", goal=make_goal(SECOND, TUNED, role="decode"))
        engine.held = {FIRST: 0.0, make_adapter("old", "first"): 0.0}
        self.start(engine)
        self.world.run(20.0)
        self.assertEqual({SECOND, TUNED}, engine.list_ready(self.world.simulation.time))
        expected = ["set-role decode", "unload old", "unload first", "load second", "load tuned"]
        self.assertEqual(expected, self.get_kinds(engine))

    def test_unmanaged_artifacts_are_kept(self) -> None:
        engine = Engine("e1", goal=make_goal(FIRST))
        engine.held = {make_model("by-hand"): 0.0}
        self.start(engine)
        self.world.run(10.0)
        self.assertEqual(["load first"], self.get_kinds(engine))

    def test_unwanted_load_is_cancelled(self) -> None:
        engine = Engine("e1", goal=make_goal(FIRST), load_s=600.0)
        self.start(engine)
        self.world.run(2.0)
        engine.goal = make_goal(SECOND)
        self.world.run(5.0)
        self.assertEqual(["load first", "unload first", "load second"], self.get_kinds(engine))

    def test_failing_load_backs_off(self) -> None:
        engine = Engine("e1", goal=make_goal(FIRST), load_s=0.0, broken={FIRST})
        self.start(engine)
        self.world.run(60.0)
        self.assertGreater(len(engine.taken), 2)
        self.assertLess(len(engine.taken), 12)

    def test_adapter_waits_for_its_model(self) -> None:
        engine = Engine("e1", goal=make_goal(SECOND, TUNED))
        self.start(engine, admission=AdapterAdmission())
        self.world.run(10.0)
        self.assertEqual([], engine.taken)

    def test_engine_with_unannounced_incarnation_gets_no_orders(self) -> None:
        """The engine restarted or another one has its address, so the plan does not apply to it."""
        engine = Engine("e1", goal=make_goal(FIRST), announced=1, incarnation=2)
        self.start(engine)
        self.world.run(20.0)
        self.assertEqual([], engine.taken)

    def test_outdated_state_is_queried_again(self) -> None:
        """Guards against loading twice when a model was loaded by hand since the last query."""
        engine = Engine("e1", goal=make_goal())
        self.start(engine)
        self.world.run(30.0)
        engine.held[FIRST] = 0.0
        engine.goal = make_goal(FIRST)
        self.world.run(10.0)
        self.assertEqual([], engine.taken)

    def test_restarted_engine_is_loaded_again(self) -> None:
        engine = Engine("e1", goal=make_goal(FIRST))
        self.start(engine)
        self.world.run(8.0)
        engine.restart()
        self.world.run(8.0)
        self.assertEqual({FIRST}, engine.list_ready(self.world.simulation.time))


class LostAnswerTest(OrderTestCase):
    def test_load_whose_answer_is_lost_is_not_sent_twice(self) -> None:
        """The engine starts to load but the response is lost; a resend would load twice.

        The handler queries the engine's state, finds the load in progress and waits.
        """
        engine = Engine("e1", goal=make_goal(FIRST), load_s=20.0)
        self.start(engine)
        self.world.simulation.on_effect = self.lose_answers_to_orders
        self.world.run(40.0)
        self.assertEqual(["load first"], self.get_kinds(engine))
        self.assertEqual({FIRST}, engine.list_ready(self.world.simulation.time))

    def lose_answers_to_orders(self, instance: Instance, effect: Any) -> None:
        if isinstance(effect, SendOrder):
            self.world.engines["e1"].handle_order(effect.order, self.world.simulation.time)
        else:
            self.world.execute(instance, effect)

    def test_one_time_orders(self) -> None:
        """The end of an order is what the engine reports under its id, otherwise it is unknown."""
        cases = [
            ("answered", "", OrderPhase.DONE, 1),
            ("answer lost", "answer", OrderPhase.DONE, 1),
            ("order lost, then resent", "order", OrderPhase.DONE, 1),
            ("all lost", "all", None, 0),
            ("never left", "connect", OrderPhase.FAILED, 0),
        ]
        for title, fault, phase, runs in cases:
            with self.subTest(title):
                engine = Engine("e1")
                self.start(engine)
                self.world.run(1.0)
                self.fault = fault
                self.world.simulation.on_effect = self.inject_fault
                self.request("r1", deadline_s=20.0)
                self.world.run(25.0)
                self.assertEqual([phase], [end.phase for end in self.world.ended])
                self.assertEqual(runs, len(engine.taken))

    def request(self, request_id: str, *, deadline_s: float) -> None:
        instance = self.find_holder()
        deadline = instance.read_clock(self.world.simulation.time) + deadline_s
        kind = OrderKind.EXPORT_CACHE
        request = OrderRequest(
            request_id=request_id, endpoint_id="e1", kind=kind, subject="chat", deadline=deadline
        )
        instance.waiting.append(request)

    def inject_fault(self, instance: Instance, effect: Any) -> None:
        if not isinstance(effect, SendOrder) or not self.fault:
            self.world.execute(instance, effect)
        elif self.fault == "answer":
            self.world.engines["e1"].handle_order(effect.order, self.world.simulation.time)
        elif self.fault == "order":
            self.fault = ""
        elif self.fault == "connect":
            not_sent = OrderEnded(
                endpoint_id="e1",
                order_id=effect.order.order_id,
                outcome=OrderOutcome.NOT_SENT,
            )
            self.world.answer(instance, not_sent)


class HolderTest(OrderTestCase):
    def test_new_holder_waits_where_fencing_is_not_checked(self) -> None:
        """A frozen or partitioned previous holder may consider its lease valid until it expires.

        An engine that checks fencing refuses its orders. One that does not would execute the
        orders of both holders, so the new holder sends it none until the previous lease, the
        clock drift and the delivery time have passed.
        """
        checking = Engine("e1", checks=True, goal=make_goal(FIRST))
        trusting = Engine("e2", checks=False, goal=make_goal(FIRST))
        self.start(checking, trusting)
        self.world.run(5.0)
        self.assertEqual((1, 0), (len(checking.taken), len(trusting.taken)))
        self.world.run(TAKEOVER_DELAY_S - 5.5)
        self.assertEqual(0, len(trusting.taken))
        self.world.run(5.0)
        self.assertEqual(1, len(trusting.taken))

    def test_frozen_holder_wakes_and_sends_nothing(self) -> None:
        engine = Engine("e1", goal=make_goal(FIRST))
        self.start(engine, names=("one", "two"))
        self.world.run(5.0)
        frozen = self.find_holder()
        frozen.is_frozen = True
        engine.goal = make_goal(SECOND)
        self.world.run(FAILOVER_S)
        number = engine.fencing
        frozen.is_frozen = False
        engine.goal = make_goal(FIRST)
        self.world.run(10.0)
        self.assertEqual([], engine.refused)
        self.assertGreaterEqual(min(order.fencing for order in engine.taken[-2:]), number)

    def test_stale_fencing_number_is_refused(self) -> None:
        """An order sent before the freeze arrives after the orders of the next holder."""
        engine = Engine("e1", goal=make_goal(FIRST))
        self.start(engine, names=("one", "two"))
        self.world.run(5.0)
        number = self.find_holder().loop.lease.fencing
        self.find_holder().is_frozen = True
        engine.goal = make_goal(SECOND)
        self.world.run(FAILOVER_S)
        late = Order(order_id="late", fencing=number, kind=OrderKind.UNLOAD, artifact=SECOND)
        self.assertIs(OrderOutcome.STALE, engine.handle_order(late, self.world.simulation.time))
        self.assertEqual({SECOND}, engine.list_ready(self.world.simulation.time))

    def test_query_of_next_holder_fences_out_previous_one(self) -> None:
        """A load order of the previous holder arrives after the next holder queried the state."""
        engine = Engine("e1", goal=make_goal())
        self.start(engine)
        self.world.run(5.0)
        late = Order(order_id="late", fencing=0, kind=OrderKind.LOAD, artifact=FIRST)
        self.assertIs(OrderOutcome.STALE, engine.handle_order(late, self.world.simulation.time))

    def test_fenced_out_holder_sends_no_orders(self) -> None:
        """The lease is valid on the holder's clock, but the engine has seen a higher number."""
        engine = Engine("e1", goal=make_goal(FIRST), fencing=99)
        self.start(engine)
        self.world.run(30.0)
        self.assertEqual([], engine.refused)
        self.assertEqual([], engine.taken)

    def test_killed_between_order_and_answer(self) -> None:
        engine = Engine("e1", goal=make_goal(FIRST), load_s=60.0)
        self.start(engine, names=("one", "two"))
        self.world.network = Network(delay=(0.5, 0.5))
        while not engine.taken:
            self.world.run(0.1)
        self.find_holder().is_dead = True
        self.world.run(FAILOVER_S + 60.0)
        self.assertEqual(["load first"], self.get_kinds(engine))
        self.assertEqual({FIRST}, engine.list_ready(self.world.simulation.time))

    def test_order_is_sent_within_the_lease(self) -> None:
        """After a freeze, the HTTP client must be able to detect that an order is too late."""
        engine = Engine("e1", goal=make_goal(FIRST))
        self.start(engine)
        sent: list[tuple[SendOrder, float]] = []
        self.world.simulation.on_effect = lambda instance, effect: (
            sent.append((effect, instance.loop.lease.valid_until))
            if isinstance(effect, SendOrder)
            else self.world.execute(instance, effect)
        )
        self.world.run(3.0)
        self.find_holder().network = Network(loss=1.0)
        for _ in range(8):
            engine.incarnation += 1
            self.world.run(0.7)
        self.assertTrue(any(effect.send_by == valid_until for effect, valid_until in sent))
        for effect, valid_until in sent:
            self.assertLessEqual(effect.send_by, valid_until)
