"""Tests for model placement: zones, rollouts, repair, load bursts and lease changes."""

import unittest
from dataclasses import replace
from typing import Any

from chivetrack.components.model_placement import const
from chivetrack.components.model_placement.const import ADAPTER_KIND, MODEL_KIND
from chivetrack.components.model_placement.desired import read_desired_items
from chivetrack.components.model_placement.models import PlacementPhase
from chivetrack.components.model_placement.rollout import Rollout
from chivetrack.components.orders.models import (
    ArtifactPhase,
    EngineState,
    HeldArtifact,
    OrderKind,
)
from tests.components.controllers.simulation import Instance, Network
from tests.components.model_placement.site import Site, WeightStore, make_engines
from tests.components.orders.engines import Engine, make_adapter, make_model

OLD = make_model("m", "1")
NEW = make_model("m", "2")
FAILOVER_S = 26.0


class PlacementTestCase(unittest.TestCase):
    def start(self, engines: list[Engine], *, names: tuple[str, ...] = ("one",)) -> None:
        self.site = Site(engines)
        for name in names:
            self.site.simulation.add(name)

    def place(self, **fields: Any) -> None:
        self.site.set_model(**fields)
        self.run_until(lambda: self.site.read_report().phase is PlacementPhase.STEADY)

    def run_until(self, is_reached: Any, *, limit_s: float = 400.0) -> None:
        self.site.run(1.0)
        until = self.site.simulation.time + limit_s
        while not is_reached():
            self.assertLess(self.site.simulation.time, until, "not reached in time")
            self.site.run(0.5)

    def run_and_count_fewest(self, seconds: float) -> int:
        """Run the simulation and return the lowest number of ready copies."""
        fewest = self.site.count_ready()
        for _ in range(round(seconds / 0.1)):
            self.site.run(0.1)
            fewest = min(fewest, self.site.count_ready())
        return fewest

    def count_orders(self, kind: OrderKind = OrderKind.LOAD) -> int:
        engines = self.site.engines.values()
        return sum(1 for engine in engines for order in engine.taken if order.kind is kind)

    def find_holder(self) -> Instance:
        (name,) = self.site.simulation.find_holders()
        return next(one for one in self.site.simulation.instances if one.name == name)


class PlaceTest(PlacementTestCase):
    def test_copies_are_distributed_over_zones(self) -> None:
        self.start(make_engines(9))
        self.place(copies=6)
        names = self.site.list_ready(OLD)
        zones = sorted(self.site.engines[name].zone for name in names)
        self.assertEqual(["z0", "z0", "z1", "z1", "z2", "z2"], zones)

    def test_a_large_zone_does_not_take_all_copies(self) -> None:
        engines = make_engines(12, zones=1)
        engines[4].zone = "z1"
        engines[8].zone = "z2"
        self.start(engines)
        self.place(copies=3)
        zones = {self.site.engines[name].zone for name in self.site.list_ready(OLD)}
        self.assertEqual({"z0", "z1", "z2"}, zones)

    def test_surplus_copies_are_removed(self) -> None:
        self.start(make_engines(6))
        self.place(copies=4)
        self.site.set_model(copies=2)
        self.run_until(lambda: self.site.count_ready() == 2)
        self.assertEqual(2, self.run_and_count_fewest(30.0))

    def test_memory(self) -> None:
        """Two models share an engine only if its memory is known and sufficient for both."""
        cases = [("unknown", 0, 1), ("too small", 15, 1), ("enough", 20, 2)]
        for title, memory, models in cases:
            with self.subTest(title):
                self.start(make_engines(1, memory_bytes=memory))
                self.site.set_model("m", memory_bytes=10)
                self.site.set_model("n", memory_bytes=10)
                self.site.run(40.0)
                held = self.site.engines["e0"].list_ready(self.site.simulation.time)
                self.assertEqual(models, len(held))

    def test_adapter_follows_its_model(self) -> None:
        self.start(make_engines(4))
        spec = {"model": "m", "version": "1", "weights": "a", "copies": 2}
        self.site.simulation.create(ADAPTER_KIND, "tuned", spec)
        self.place(copies=2)
        adapter = make_adapter("tuned", "m")
        self.run_until(lambda: len(self.site.list_ready(adapter)) == 2)
        self.assertEqual(self.site.list_ready(OLD), self.site.list_ready(adapter))

    def test_deleted_model_is_unloaded(self) -> None:
        """The lease holder dies before the unload; the finalizer keeps the resource."""
        self.start(make_engines(4), names=("one", "two"))
        self.place(copies=3)
        self.site.simulation.delete(MODEL_KIND, "m")
        self.site.run(0.5)
        self.find_holder().is_dead = True
        self.assertIsNotNone(self.site.simulation.store.table.get(MODEL_KIND, "m"))
        self.run_until(lambda: self.site.simulation.store.table.get(MODEL_KIND, "m") is None)
        self.assertEqual([], self.site.list_ready(OLD))


class RolloutTest(PlacementTestCase):
    def test_never_below_the_floor(self) -> None:
        """With and without free engines; no copy changes if the floor does not allow it."""
        cases = [
            ("free engines", 8, 4, 1.0, 4, 4),
            ("none free, half may go", 4, 4, 0.5, 2, 4),
            ("none free, one may go", 4, 4, 0.75, 3, 4),
            ("none free, none may go", 4, 4, 1.0, 4, 0),
            ("one free, none may go", 5, 4, 1.0, 4, 4),
        ]
        for title, engines, copies, floor, fewest, moved in cases:
            with self.subTest(title):
                self.start(make_engines(engines))
                self.place(copies=copies, floor=floor)
                self.site.set_model(copies=copies, floor=floor, version="2")
                self.assertGreaterEqual(self.run_and_count_fewest(200.0), fewest)
                self.assertEqual(moved, len(self.site.list_ready(NEW)))

    def test_only_one_copy_changes_first(self) -> None:
        self.start(make_engines(4))
        self.place(copies=4, floor=0.0)
        self.site.set_model(copies=4, floor=0.0, version="2")
        self.site.run(const.SOAK_S)
        self.assertEqual((3, 1), (len(self.site.list_ready(OLD)), len(self.site.list_ready(NEW))))

    def test_failed_rollout_halts_until_another_version_is_set(self) -> None:
        """The new version can't be loaded; no more than one copy may be lost meanwhile."""
        self.start(make_engines(4), names=("one", "two"))
        self.place(copies=4, floor=0.25)
        for engine in self.site.engines.values():
            engine.broken.add(NEW)
        self.site.set_model(copies=4, floor=0.25, version="2")
        self.assertEqual(3, self.run_and_count_fewest(60.0))
        report = self.site.read_report()
        self.assertEqual((PlacementPhase.HALTED, "1"), (report.phase, report.good_version))
        self.assertIn("version 2 failed on e", report.reason)
        self.assertEqual(4, len(self.site.list_ready(OLD)))
        self.find_holder().is_dead = True
        self.assertEqual(4, self.run_and_count_fewest(FAILOVER_S + 60.0))
        self.site.set_model(copies=4, floor=0.25, version="3")
        self.run_until(lambda: len(self.site.list_ready(make_model("m", "3"))) == 4)

    def test_return_to_the_old_version_during_a_rollout(self) -> None:
        self.start(make_engines(4))
        self.place(copies=4, floor=0.5)
        self.site.set_model(copies=4, floor=0.5, version="2")
        self.run_until(lambda: len(self.site.list_ready(NEW)) == 1)
        self.site.set_model(copies=4, floor=0.5, version="1")
        self.run_until(lambda: len(self.site.list_ready(OLD)) == 4)

    def test_holder_killed_during_a_rollout(self) -> None:
        """The next holder does not know of the unload in progress and must query the engines."""
        self.start(make_engines(4), names=("one", "two"))
        self.place(copies=4, floor=0.75)
        self.site.set_model(copies=4, floor=0.75, version="2")
        unloads = self.count_orders(OrderKind.UNLOAD)
        self.run_until(lambda: self.count_orders(OrderKind.UNLOAD) > unloads)
        self.find_holder().is_dead = True
        self.assertEqual(3, self.run_and_count_fewest(FAILOVER_S + 250.0))
        self.assertEqual(4, len(self.site.list_ready(NEW)))


class TakeoverTest(PlacementTestCase):
    def test_goals_of_a_previous_term_are_not_applied(self) -> None:
        """A lease holder is disconnected, misses a change of version and holds the lease again.

        One engine does not answer yet, so the holder has not reconciled again. The goals in
        its memory are those of its previous term and would undo the change.
        """
        self.start(make_engines(3), names=("one", "two"))
        self.place(copies=3, floor=0.0)
        former = self.find_holder()
        former.network = Network(loss=1.0)
        self.site.set_model(copies=3, floor=0.0, version="2")
        self.run_until(lambda: len(self.site.list_ready(NEW)) == 3)
        self.find_holder().is_dead = True
        former.network = Network()
        send = self.site.query
        self.site.query = lambda instance, effect: (  # type: ignore[method-assign]
            None if effect.endpoint_id == "e0" else send(instance, effect)
        )
        self.site.run(FAILOVER_S)
        self.assertEqual([former.name], self.site.simulation.find_holders())
        self.assertEqual(3, len(self.site.list_ready(NEW)))

    def test_goals_are_not_for_another_incarnation(self) -> None:
        self.start(make_engines(2))
        self.place(copies=2)
        self.site.engines["e0"].incarnation += 1
        targets = self.find_holder().loop.controller.list_targets()
        goals = {target.endpoint_id: target.goal for target in targets}
        self.assertIsNone(goals["e0"])
        self.assertIsNotNone(goals["e1"])

    def test_state_of_an_engine_without_fencing_counts_after_a_delay(self) -> None:
        """An unload of the previous holder may still arrive after the engine reported ready."""
        self.start([Engine("e0", checks=False), Engine("e1")])
        self.site.set_model(copies=1)
        self.site.run(9.0)
        self.assertEqual(0, self.count_orders())
        self.site.run(10.0)
        self.assertEqual(1, self.count_orders())

    def test_copy_that_is_being_unloaded_does_not_count(self) -> None:
        """An unload is in progress, but the last state of its engine is "ready".

        No second copy may be unloaded meanwhile.
        """
        engines = make_engines(5)
        self.start(engines)
        self.place(copies=5)
        self.site.set_model(copies=4, version="2")
        controller = self.find_holder().loop.controller
        views = {view.endpoint_id: view for view in controller.read_observed(now=0.0).engines}
        held = HeldArtifact(artifact=NEW, phase=ArtifactPhase.READY)
        for name in ("e1", "e2", "e3", "e4"):
            state = EngineState(incarnation=1, artifacts=(held,))
            views[name] = replace(views[name], state=state)
        (item,) = read_desired_items(self.site.simulation.store.table)
        rollout = Rollout(
            item=item,
            engines=list(views.values()),
            leaving={"e4"},
            absent=0,
            is_soaked=True,
            has_room=lambda engine: False,
        )
        self.assertIn("e0", rollout.plan().goals)


class RepairTest(PlacementTestCase):
    def test_short_absence_causes_no_load(self) -> None:
        self.start(make_engines(6))
        self.place(copies=3)
        loads = self.count_orders()
        lost = self.site.engines[self.site.list_ready(OLD)[0]]
        lost.is_listed = False
        self.site.run(const.REPAIR_DELAY_S - 5.0)
        lost.is_listed = True
        self.site.run(30.0)
        self.assertEqual(loads, self.count_orders())

    def test_loss_is_repaired_once(self) -> None:
        self.start(make_engines(6))
        self.place(copies=3)
        loads = self.count_orders()
        self.site.engines[self.site.list_ready(OLD)[0]].is_listed = False
        self.site.run(const.REPAIR_DELAY_S + 30.0)
        self.assertEqual(loads + 1, self.count_orders())
        self.assertEqual(3, self.site.count_ready())

    def test_restarted_engine_gets_its_copies_at_once(self) -> None:
        self.start(make_engines(3))
        self.place(copies=3)
        self.site.engines["e0"].restart()
        self.site.run(10.0)
        self.assertEqual(3, len(self.site.list_ready(OLD)))

    def test_next_holder_loads_nothing_twice(self) -> None:
        """A new lease holder has queried no engine, so all copies appear to be lost.

        One engine answers late; its copy must not be loaded on another engine meanwhile.
        """
        self.start(make_engines(6), names=("one", "two"))
        self.place(copies=3)
        loads = self.count_orders()
        self.find_holder().is_dead = True
        silent = self.site.engines[self.site.list_ready(OLD)[0]]
        send = self.site.query
        self.site.query = lambda instance, effect: (  # type: ignore[method-assign]
            None if effect.endpoint_id == silent.name else send(instance, effect)
        )
        self.site.run(FAILOVER_S + 10.0)
        self.site.query = send  # type: ignore[method-assign]
        self.site.run(60.0)
        self.assertEqual(loads, self.count_orders())

    def test_next_holder_during_the_first_placement(self) -> None:
        """An engine that loads a copy for the previous holder answers late.

        The next holder must wait for it and not load the copy elsewhere.
        """
        self.start(make_engines(6, load_s=60.0), names=("one", "two"))
        self.site.set_model(copies=3)
        self.run_until(lambda: self.count_orders() == 3)
        self.find_holder().is_dead = True
        send = self.site.query
        silent = next(e.name for e in self.site.engines.values() if e.held)
        self.site.query = lambda instance, effect: (  # type: ignore[method-assign]
            None if effect.endpoint_id == silent else send(instance, effect)
        )
        self.site.run(FAILOVER_S)
        self.site.query = send  # type: ignore[method-assign]
        self.site.run(100.0)
        self.assertEqual(3, self.count_orders())

    def test_loss_while_no_instance_held_the_lease(self) -> None:
        """The next holder does not know when the copy was lost.

        The repair delay must count from the start of its term.
        """
        self.start(make_engines(6), names=("one", "two"))
        self.place(copies=3)
        loads = self.count_orders()
        self.find_holder().is_dead = True
        lost = self.site.engines[self.site.list_ready(OLD)[0]]
        self.site.run(FAILOVER_S - 10.0)
        lost.is_listed = False
        self.site.run(const.REPAIR_DELAY_S - 10.0)
        self.assertEqual(loads, self.count_orders())
        self.site.run(60.0)
        self.assertEqual(loads + 1, self.count_orders())

    def test_drained_engine_keeps_its_copy(self) -> None:
        self.start(make_engines(6))
        self.place(copies=3)
        drained = self.site.engines[self.site.list_ready(OLD)[0]]
        drained.is_leaving = True
        self.site.run(const.REPAIR_DELAY_S + 30.0)
        self.assertIn(drained.name, self.site.list_ready(OLD))
        self.assertEqual(4, len(self.site.list_ready(OLD)))
        drained.is_leaving = False
        self.run_until(lambda: len(self.site.list_ready(OLD)) == 3)


class WeightStoreTest(PlacementTestCase):
    def test_hundred_engines_return_at_once(self) -> None:
        """All engines of a rack restart and request their weights; the store serves a few."""
        self.start(make_engines(100))
        for engine in self.site.engines.values():
            engine.held = {OLD: 0.0}
        self.site.store.limit = const.MAX_LOADS
        self.place(copies=100)
        for engine in self.site.engines.values():
            engine.restart()
        self.site.run(20.0)
        loads = len(self.site.store.taken)
        self.assertLess(loads, 20.0 * const.LOADS_PER_S + 2)
        self.run_until(lambda: len(self.site.list_ready(OLD)) == 100)
        self.assertEqual(0, self.site.store.refused)
        self.assertLessEqual(self.site.store.max_loading, const.MAX_LOADS)

    def test_refusing_store(self) -> None:
        """The store serves one load at a time, slowly.

        No rollout may halt because of it, and few requests may be refused.
        """
        self.start(make_engines(4, load_s=10.0))
        self.site.store = WeightStore(limit=1, load_s=10.0)
        for engine in self.site.engines.values():
            engine.store = self.site.store
        self.place(copies=4)
        self.assertLess(self.site.store.refused, 6)
        self.site.set_model(copies=4, version="2")
        self.run_until(lambda: len(self.site.list_ready(NEW)) == 4, limit_s=900.0)
        self.assertNotIn(
            PlacementPhase.HALTED, [event.phase for event in self.site.read_report().events]
        )
