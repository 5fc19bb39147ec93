"""Orders to engines: steps, lost answers, changes of holder."""

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
WAIT_OUT_S = LEASE_DURATION_S * (1 + CLOCK_DRIFT) + const.MAX_DELIVERY_S
FAILOVER_S = 2 * LEASE_DURATION_S + 8.0


def make_goal(*artifacts: Artifact, role: str = "") -> EngineGoal:
    return EngineGoal(artifacts=frozenset(artifacts), role=role, managed=MANAGED)


class OrderTestCase(unittest.TestCase):
    def start(self, *engines: Engine, names: tuple[str, ...] = ("one",), **fields: Any) -> None:
        self.room = EngineSimulation(list(engines), **fields)
        for name in names:
            self.room.simulation.add(name)

    def find_holder(self) -> Instance:
        (name,) = self.room.simulation.find_holders()
        return next(one for one in self.room.simulation.instances if one.name == name)

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
        self.room.run(20.0)
        self.assertEqual({SECOND, TUNED}, engine.list_ready(self.room.simulation.time))
        expected = ["set-role decode", "unload old", "unload first", "load second", "load tuned"]
        self.assertEqual(expected, self.get_kinds(engine))

    def test_what_nobody_manages_is_left_alone(self) -> None:
        engine = Engine("e1", goal=make_goal(FIRST))
        engine.held = {make_model("by-hand"): 0.0}
        self.start(engine)
        self.room.run(10.0)
        self.assertEqual(["load first"], self.get_kinds(engine))

    def test_unwanted_load_is_broken_off(self) -> None:
        engine = Engine("e1", goal=make_goal(FIRST), load_s=600.0)
        self.start(engine)
        self.room.run(2.0)
        engine.goal = make_goal(SECOND)
        self.room.run(5.0)
        self.assertEqual(["load first", "unload first", "load second"], self.get_kinds(engine))

    def test_failing_load_is_tried_less_and_less(self) -> None:
        engine = Engine("e1", goal=make_goal(FIRST), load_s=0.0, broken={FIRST})
        self.start(engine)
        self.room.run(60.0)
        self.assertGreater(len(engine.taken), 2)
        self.assertLess(len(engine.taken), 12)

    def test_adapter_waits_for_its_model(self) -> None:
        engine = Engine("e1", goal=make_goal(SECOND, TUNED))
        self.start(engine, admission=AdapterAdmission())
        self.room.run(10.0)
        self.assertEqual([], engine.taken)

    def test_another_process_than_the_announced_one_gets_no_orders(self) -> None:
        """It restarted, or another one has its address: what is planned is not for it."""
        engine = Engine("e1", goal=make_goal(FIRST), announced=1, incarnation=2)
        self.start(engine)
        self.room.run(20.0)
        self.assertEqual([], engine.taken)

    def test_old_state_is_asked_for_anew(self) -> None:
        """Loaded twice: since the last question, half a minute ago, it was loaded by hand."""
        engine = Engine("e1", goal=make_goal())
        self.start(engine)
        self.room.run(30.0)
        engine.held[FIRST] = 0.0
        engine.goal = make_goal(FIRST)
        self.room.run(10.0)
        self.assertEqual([], engine.taken)

    def test_restarted_engine_is_filled_again(self) -> None:
        engine = Engine("e1", goal=make_goal(FIRST))
        self.start(engine)
        self.room.run(8.0)
        engine.restart()
        self.room.run(8.0)
        self.assertEqual({FIRST}, engine.list_ready(self.room.simulation.time))


class LostAnswerTest(OrderTestCase):
    def test_load_whose_answer_is_lost_is_not_sent_twice(self) -> None:
        """The engine loads, the answer is lost: sent again, it would load twice.

        The desk asks what the engine has, finds it loading, and waits.
        """
        engine = Engine("e1", goal=make_goal(FIRST), load_s=20.0)
        self.start(engine)
        self.room.simulation.on_effect = self.lose_answers_to_orders
        self.room.run(40.0)
        self.assertEqual(["load first"], self.get_kinds(engine))
        self.assertEqual({FIRST}, engine.list_ready(self.room.simulation.time))

    def lose_answers_to_orders(self, instance: Instance, effect: Any) -> None:
        if isinstance(effect, SendOrder):
            self.room.engines["e1"].take(effect.order, self.room.simulation.time)
        else:
            self.room.execute(instance, effect)

    def test_one_time_orders(self) -> None:
        """Their end is what the engine remembers under their id; unknown stays unknown."""
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
                self.room.run(1.0)
                self.fault = fault
                self.room.simulation.on_effect = self.play_fault
                self.request("r1", deadline_s=20.0)
                self.room.run(25.0)
                self.assertEqual([phase], [end.phase for end in self.room.ended])
                self.assertEqual(runs, len(engine.taken))

    def request(self, request_id: str, *, deadline_s: float) -> None:
        instance = self.find_holder()
        deadline = instance.read_clock(self.room.simulation.time) + deadline_s
        kind = OrderKind.EXPORT_CACHE
        request = OrderRequest(
            request_id=request_id, endpoint_id="e1", kind=kind, subject="chat", deadline=deadline
        )
        instance.waiting.append(request)

    def play_fault(self, instance: Instance, effect: Any) -> None:
        if not isinstance(effect, SendOrder) or not self.fault:
            self.room.execute(instance, effect)
        elif self.fault == "answer":
            self.room.engines["e1"].take(effect.order, self.room.simulation.time)
        elif self.fault == "order":
            self.fault = ""
        elif self.fault == "connect":
            not_sent = OrderEnded(
                endpoint_id="e1",
                order_id=effect.order.order_id,
                outcome=OrderOutcome.NOT_SENT,
            )
            self.room.answer(instance, not_sent)


class HolderTest(OrderTestCase):
    def test_new_holder_waits_where_fencing_is_not_checked(self) -> None:
        """The former holder, frozen or cut off, may believe for the rest of its lease.

        An engine that checks refuses it. One that doesn't would obey both, so the new
        one gives it no order until the old lease, drift and delivery are over.
        """
        checking = Engine("e1", checks=True, goal=make_goal(FIRST))
        trusting = Engine("e2", checks=False, goal=make_goal(FIRST))
        self.start(checking, trusting)
        self.room.run(5.0)
        self.assertEqual((1, 0), (len(checking.taken), len(trusting.taken)))
        self.room.run(WAIT_OUT_S - 5.5)
        self.assertEqual(0, len(trusting.taken))
        self.room.run(5.0)
        self.assertEqual(1, len(trusting.taken))

    def test_frozen_holder_wakes_and_sends_nothing(self) -> None:
        engine = Engine("e1", goal=make_goal(FIRST))
        self.start(engine, names=("one", "two"))
        self.room.run(5.0)
        frozen = self.find_holder()
        frozen.is_frozen = True
        engine.goal = make_goal(SECOND)
        self.room.run(FAILOVER_S)
        number = engine.fencing
        frozen.is_frozen = False
        engine.goal = make_goal(FIRST)
        self.room.run(10.0)
        self.assertEqual([], engine.refused)
        self.assertGreaterEqual(min(order.fencing for order in engine.taken[-2:]), number)

    def test_stale_number_is_refused(self) -> None:
        """An order that left before the freeze arrives after the next holder's."""
        engine = Engine("e1", goal=make_goal(FIRST))
        self.start(engine, names=("one", "two"))
        self.room.run(5.0)
        number = self.find_holder().loop.lease.fencing
        self.find_holder().is_frozen = True
        engine.goal = make_goal(SECOND)
        self.room.run(FAILOVER_S)
        late = Order(order_id="late", fencing=number, kind=OrderKind.UNLOAD, artifact=SECOND)
        self.assertIs(OrderOutcome.STALE, engine.take(late, self.room.simulation.time))
        self.assertEqual({SECOND}, engine.list_ready(self.room.simulation.time))

    def test_question_of_the_next_holder_shuts_out_the_former(self) -> None:
        """The next holder asked, saw no load, and decides; the former one's load comes then."""
        engine = Engine("e1", goal=make_goal())
        self.start(engine)
        self.room.run(5.0)
        late = Order(order_id="late", fencing=0, kind=OrderKind.LOAD, artifact=FIRST)
        self.assertIs(OrderOutcome.STALE, engine.take(late, self.room.simulation.time))

    def test_outranked_holder_gives_way(self) -> None:
        """Its own clock says that it holds the lease, an engine has seen a higher number."""
        engine = Engine("e1", goal=make_goal(FIRST), fencing=99)
        self.start(engine)
        self.room.run(30.0)
        self.assertEqual([], engine.refused)
        self.assertEqual([], engine.taken)

    def test_killed_between_order_and_answer(self) -> None:
        engine = Engine("e1", goal=make_goal(FIRST), load_s=60.0)
        self.start(engine, names=("one", "two"))
        self.room.network = Network(delay=(0.5, 0.5))
        while not engine.taken:
            self.room.run(0.1)
        self.find_holder().is_dead = True
        self.room.run(FAILOVER_S + 60.0)
        self.assertEqual(["load first"], self.get_kinds(engine))
        self.assertEqual({FIRST}, engine.list_ready(self.room.simulation.time))

    def test_order_leaves_within_the_lease(self) -> None:
        """What is sent late, after a freeze in the edge, must be seen as late by it."""
        engine = Engine("e1", goal=make_goal(FIRST))
        self.start(engine)
        sent: list[tuple[SendOrder, float]] = []
        self.room.simulation.on_effect = lambda instance, effect: (
            sent.append((effect, instance.loop.lease.valid_until))
            if isinstance(effect, SendOrder)
            else self.room.execute(instance, effect)
        )
        self.room.run(3.0)
        self.find_holder().network = Network(loss=1.0)
        for _ in range(8):
            engine.incarnation += 1
            self.room.run(0.7)
        self.assertTrue(any(effect.send_by == valid_until for effect, valid_until in sent))
        for effect, valid_until in sent:
            self.assertLessEqual(effect.send_by, valid_until)
