"""The drain controller: phases, floors and what it does under faults."""

import unittest
from datetime import UTC, datetime
from typing import Any

import msgspec

from chivetrack.components.controllers.const import LEASE_DURATION_S
from chivetrack.components.controllers.models import Plan, WriteStatus
from chivetrack.components.drains.const import KIND, SETTLE_S
from chivetrack.components.drains.models import InstanceState
from chivetrack.components.endpoints.models import Availability
from chivetrack.components.resources.models import DrainPhase, DrainTargetKind
from chivetrack.components.store.commands import Replace, Stamp, UpdateStatus
from chivetrack.components.store.outcomes import RefusalCode, Refused
from tests.components.controllers.simulation import START_MS, Instance, Network
from tests.components.drains.fleet import Fleet, get_phase, make_simulation, make_spec, read_report

ENDPOINT = DrainTargetKind.ENDPOINT
ZONE = DrainTargetKind.AVAILABILITY_ZONE
INSTANCE = DrainTargetKind.INSTANCE
FAILOVER_S = 2 * LEASE_DURATION_S + 8.0


class DrainTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet()
        self.simulation = make_simulation(self.fleet)

    def add_fleet(self, count: int = 4, **fields: Any) -> None:
        self.fleet.add(*(f"e{number}" for number in range(1, count + 1)), **fields)

    def start(self, *names: str, **fields: Any) -> list[Instance]:
        started = [self.simulation.add(name, **fields) for name in names or ("one",)]
        self.simulation.run(1.0)
        return started

    def drain(self, name: str, target: str, kind: DrainTargetKind = ENDPOINT, **fields: Any) -> Any:
        return self.simulation.create(KIND, name, make_spec(target, kind, **fields))

    def get_phase(self, name: str) -> str:
        return get_phase(self.simulation.store.table, name)

    def get_reason(self, name: str) -> str:
        report = read_report(self.simulation.store.table, name)
        return "" if report is None else report.reason

    def list_active(self) -> list[str]:
        table = self.simulation.store.table
        names = sorted(record.name for record in table.iterate(KIND))
        return [name for name in names if self.get_phase(name) in ("active", "done")]

    def find_holder(self) -> Instance:
        (name,) = self.simulation.find_holders()
        return next(entry for entry in self.simulation.instances if entry.name == name)


class PhaseTest(DrainTestCase):
    def test_active_until_nothing_is_in_flight(self) -> None:
        self.add_fleet()
        self.fleet.loads["e1"] = 2
        self.start()
        self.drain("d", "e1")
        self.simulation.run(1.0)
        self.assertEqual("active", self.get_phase("d"))
        self.simulation.run(SETTLE_S + 5.0)
        report = read_report(self.simulation.store.table, "d")
        assert report is not None
        self.assertEqual((DrainPhase.ACTIVE, 2, ("e1",)), (report.phase, report.in_flight, ("e1",)))
        self.fleet.loads.clear()
        self.simulation.run(1.0)
        self.assertEqual("done", self.get_phase("d"))
        report = read_report(self.simulation.store.table, "d")
        assert report is not None
        self.assertEqual(["started", "nothing is in flight"], [e.reason for e in report.events])

    def test_zero_counts_from_before_it_was_in_force_prove_nothing(self) -> None:
        """Done too early: a router that hears of the drain last has just sent a request.

        Its count is under way while the old one says zero. The operator reads "done" and
        takes the endpoint away under the request.
        """
        self.add_fleet()
        self.start()
        self.drain("d", "e1")
        self.simulation.run(SETTLE_S - 1.0)
        self.assertEqual("active", self.get_phase("d"))
        self.fleet.age_s = SETTLE_S
        self.simulation.run(SETTLE_S - 1.0)
        self.assertEqual("active", self.get_phase("d"))
        self.simulation.run(SETTLE_S)
        self.assertEqual("done", self.get_phase("d"))

    def test_deadline_tells_what_is_left(self) -> None:
        self.add_fleet()
        self.fleet.loads["e1"] = 3
        self.start()
        deadline = datetime.fromtimestamp(START_MS / 1000 + 10.0, UTC)
        self.drain("d", "e1", deadline=deadline.isoformat())
        self.simulation.run(8.0)
        self.assertEqual("active", self.get_phase("d"))
        self.simulation.run(2.0)
        self.assertEqual("done", self.get_phase("d"))
        self.assertEqual("deadline reached with 3 requests in flight", self.get_reason("d"))

    def test_waits_for_its_start(self) -> None:
        self.add_fleet()
        self.start()
        start = datetime.fromtimestamp(START_MS / 1000 + 10.0, UTC)
        self.drain("d", "e1", start=start.isoformat())
        self.simulation.run(8.0)
        self.assertEqual("waiting", self.get_phase("d"))
        self.assertIn("starts at", self.get_reason("d"))
        self.simulation.run(2.0)
        self.assertEqual("active", self.get_phase("d"))

    def test_passed_deadline_never_starts(self) -> None:
        self.add_fleet()
        self.start()
        self.drain("d", "e1", deadline=datetime.fromtimestamp(1.0, UTC).isoformat())
        self.simulation.run(1.0)
        self.assertEqual("waiting", self.get_phase("d"))
        self.assertIn("passed before it could start", self.get_reason("d"))

    def test_instance(self) -> None:
        """An instance counts among the instances; unknown counts are not taken for none."""
        for name in ("i1", "i2"):
            self.fleet.instances[name] = InstanceState(instance_id=name, is_ready=True)
        self.start()
        self.drain("d1", "i1", INSTANCE)
        self.drain("d2", "i2", INSTANCE)
        self.simulation.run(SETTLE_S + 3.0)
        self.assertEqual(("active", "waiting"), (self.get_phase("d1"), self.get_phase("d2")))
        self.fleet.instances["i1"] = InstanceState(instance_id="i1", is_ready=False, in_flight=0)
        self.simulation.run(1.0)
        self.assertEqual("done", self.get_phase("d1"))

    def test_unchanged_state_is_not_written_again(self) -> None:
        self.add_fleet()
        self.fleet.loads["e1"] = 1
        (one,) = self.start()
        self.drain("d", "e1")
        self.drain("e", "e2", floor=1.0)
        self.simulation.run(10.0)
        revision = self.simulation.store.revision
        looks = one.controller.looks
        self.simulation.run(20.0)
        self.assertEqual(revision, self.simulation.store.revision)
        self.assertGreater(one.controller.looks, looks)


class FloorTest(DrainTestCase):
    def test_table(self) -> None:
        """Floors over what is ready and not drained, with all of the service as the whole."""
        cases = [
            ("half may go", [("e1", ENDPOINT, 0.5), ("e2", ENDPOINT, 0.5)], {}, 2),
            ("no third", [(f"e{n}", ENDPOINT, 0.5) for n in (1, 2, 3)], {}, 2),
            ("floor of zero", [(f"e{n}", ENDPOINT, 0.0) for n in (1, 2, 3, 4)], {}, 4),
            ("the strictest floor binds", [("e1", ENDPOINT, 0.7), ("e2", ENDPOINT, 0.0)], {}, 1),
            ("zone", [("a", ZONE, 0.5)], {}, 1),
            ("zone and its endpoint", [("a", ZONE, 0.5), ("e1", ENDPOINT, 0.5)], {}, 2),
            ("covered, yet its floor binds", [("a", ZONE, 0.5), ("e1", ENDPOINT, 0.9)], {}, 1),
            ("zone after an endpoint elsewhere", [("e4", ENDPOINT, 0.5), ("a", ZONE, 0.5)], {}, 1),
            ("two zones", [("a", ZONE, 0.5), ("b", ZONE, 0.5)], {}, 1),
            ("a broken one does not remain", [("e1", ENDPOINT, 0.6)], {"e4": "broken"}, 0),
            ("draining a broken one takes nothing", [("e4", ENDPOINT, 1.0)], {"e4": "broken"}, 1),
        ]
        for title, drains, states, expected in cases:
            with self.subTest(title):
                self.setUp()
                self.fleet.add("e1", "e2", zone="a")
                self.fleet.add("e3", "e4", zone="b")
                for name, state in states.items():
                    self.fleet.set_availability(name, Availability(state))
                self.start()
                for number, (target, kind, floor) in enumerate(drains):
                    self.drain(f"d{number}", target, kind, floor=floor)
                self.simulation.run(2.0)
                self.assertEqual(expected, len(self.list_active()))

    def test_services_are_counted_each(self) -> None:
        self.fleet.add("e1", "e2", zone="a")
        self.fleet.add("p1", zone="a", service="plain")
        self.fleet.add("e3", "e4", zone="b")
        self.start()
        self.drain("d", "a", ZONE)
        self.simulation.run(2.0)
        self.assertEqual("waiting", self.get_phase("d"))
        self.assertIn("plain would keep 0 of 1", self.get_reason("d"))

    def test_second_waits_says_why_and_follows(self) -> None:
        self.add_fleet(2)
        self.start()
        self.drain("first", "e1")
        self.drain("second", "e2")
        self.simulation.run(2.0)
        self.assertEqual(["first"], self.list_active())
        self.assertIn("waits for drain first: chat would keep 0 of 2", self.get_reason("second"))
        self.simulation.delete(KIND, "first")
        self.simulation.run(2.0)
        self.assertEqual(["second"], self.list_active())

    def test_floor_alone(self) -> None:
        self.add_fleet(2)
        self.start()
        self.drain("d", "e1", floor=0.9)
        self.simulation.run(2.0)
        self.assertEqual("floor: chat would keep 1 of 2, 90% must remain", self.get_reason("d"))

    def test_what_was_drained_and_left_stays_in_the_whole(self) -> None:
        """A service worn away: drain one, it leaves, drain the next, and so on.

        Each time the rest is the new whole and half of it may go, until one is left of
        four, although every drain asked that half remain.
        """
        self.add_fleet(4)
        self.start()
        for number in (1, 2, 3):
            self.drain(f"d{number}", f"e{number}")
            self.simulation.run(2.0)
            if self.get_phase(f"d{number}") != "waiting":
                del self.fleet.endpoints[f"e{number}"]
        self.assertEqual(["d1", "d2"], self.list_active())

    def test_target_that_is_not_there_waits(self) -> None:
        """Both halves out: a zone is lost, drained while nothing of it counts, and back.

        Meanwhile the drain of the other half saw no other one that takes capacity.
        """
        self.fleet.add("e1", "e2", zone="a")
        self.start()
        self.drain("b", "b", ZONE)
        self.simulation.run(1.0)
        self.assertEqual("no availability_zone b is known", self.get_reason("b"))
        self.drain("e1", "e1")
        self.simulation.run(1.0)
        self.fleet.add("e3", "e4", zone="b")
        self.simulation.run(1.0)
        self.assertEqual(["e1"], self.list_active())

    def test_target_edited_while_active(self) -> None:
        """Routers follow the new target at once; if the floor forbids it, it waits again."""
        self.add_fleet(3)
        self.fleet.add("e4", capacity=3)
        self.start()
        self.drain("d", "e1")
        self.simulation.run(2.0)
        self.assertEqual("active", self.get_phase("d"))
        spec = msgspec.msgpack.encode(make_spec("e4", floor=0.6))
        self.simulation.apply(Replace(Stamp(0), KIND, "d", spec))
        self.simulation.run(1.0)
        self.assertEqual("waiting", self.get_phase("d"))

    def test_process_that_just_started_knows_too_little(self) -> None:
        """It has heard of one endpoint of four, and half of that one is none: it waits."""
        self.fleet.add("e1")
        self.fleet.add("other", service="other")
        self.start(warm=False)
        self.drain("d", "other", floor=0.0)
        self.simulation.run(10.0)
        self.assertEqual("pending", self.get_phase("d"))
        self.simulation.run(6.0)
        self.assertEqual("active", self.get_phase("d"))


class FaultTest(DrainTestCase):
    def test_cancelled_leaves_nothing(self) -> None:
        """The status is the only switch; it goes with the resource, whoever holds what."""
        self.add_fleet()
        (one,) = self.start()
        self.drain("d", "e1")
        self.simulation.run(1.0)
        one.is_dead = True
        self.simulation.delete(KIND, "d")
        self.assertIsNone(self.simulation.store.table.get(KIND, "d"))

    def test_next_holder_goes_on(self) -> None:
        self.add_fleet()
        self.fleet.loads["e1"] = 1
        self.start("one", "two")
        self.drain("d", "e1")
        self.simulation.run(1.0)
        self.assertEqual("active", self.get_phase("d"))
        self.find_holder().is_dead = True
        self.fleet.loads.clear()
        self.simulation.run(FAILOVER_S + SETTLE_S)
        self.assertEqual("done", self.get_phase("d"))

    def test_killed_between_write_and_answer(self) -> None:
        self.add_fleet(2)
        one, two = self.start("one", "two")
        holder = self.find_holder()
        holder.network = Network(delay=(0.3, 0.3))
        self.drain("first", "e1")
        self.simulation.run(0.3)
        holder.is_dead = True
        self.drain("second", "e2")
        self.simulation.run(FAILOVER_S)
        self.assertEqual(["first"], self.list_active())
        self.assertIn("waits for drain first", self.get_reason("second"))

    def test_next_holder_with_an_old_table(self) -> None:
        """Both halves out: the successor's table does not show what the former one did.

        It is given the lease at once and its table lags by 30 s. It must not decide
        before the table has caught up with a revision confirmed after the grant.
        """
        self.add_fleet(2)
        one, two = self.start("one", "two")
        holder = self.find_holder()
        other = two if holder is one else one
        self.drain("second", "e2", start=datetime.fromtimestamp(START_MS / 1000 + 9, UTC))
        self.simulation.run(0.5)
        other.network = Network(table_lag=30.0)
        other.table_at = self.simulation.time
        self.drain("first", "e1")
        self.simulation.run(1.0)
        holder.is_dead = True
        self.simulation.run(FAILOVER_S + 30.0)
        self.assertEqual([other.name], self.simulation.find_holders())
        self.assertEqual(["first"], self.list_active())

    def test_frozen_past_its_lease_and_woken(self) -> None:
        """It wakes with the old state in hand while the next one has moved on.

        Its own clock tells it first; the write that had left before is refused by the
        store for its number.
        """
        self.add_fleet(2)
        self.start("one", "two")
        frozen = self.find_holder()
        frozen.is_frozen = True
        stale = frozen.loop.lease.make_stamp()
        self.drain("d", "e1")
        self.simulation.run(FAILOVER_S)
        self.assertNotEqual(frozen, self.find_holder())
        status = msgspec.msgpack.encode({"phase": "waiting"})
        outcome = self.simulation.apply(UpdateStatus(stale, KIND, "d", status))
        self.assertIsInstance(outcome, Refused)
        self.assertEqual(RefusalCode.FENCED, outcome.code)
        before = len(self.simulation.applied)
        frozen.is_frozen = False
        self.simulation.run(5.0)
        late = [command for command, _ in self.simulation.applied[before:]]
        numbers = {c.stamp.fencing for c in late if isinstance(c, UpdateStatus)}
        self.assertNotIn(stale.fencing, numbers)

    def test_write_whose_answer_is_lost_and_that_comes_late(self) -> None:
        """Both halves out: a write that counts as unknown is applied after the next one.

        The first drain begins while there are three endpoints, and that write is under
        way for 5 s. Meanwhile the third endpoint leaves: by the table the first drain
        still waits, and the second would fit alone.
        """
        self.add_fleet(2)
        (one,) = self.start()
        self.drain("first", "e1", floor=0.6)
        self.simulation.run(3.0)
        one.network = Network(delay=(5.0, 5.0))
        self.fleet.add("e3")
        self.simulation.run(0.6)
        one.network = Network()
        del self.fleet.endpoints["e3"]
        self.drain("second", "e2")
        for _ in range(100):
            self.simulation.run(0.1)
            self.assertLess(len(self.list_active()), 2)
        self.assertEqual(["first"], self.list_active())

    def test_counts_that_change_all_the_time_are_written_now_and_then(self) -> None:
        self.add_fleet()
        self.start()
        self.drain("d", "e1")
        self.simulation.run(1.0)
        before = self.simulation.store.revision
        for count in range(100):
            self.fleet.loads["e1"] = 1 + count
            self.simulation.run(0.1)
        self.assertLess(self.simulation.store.revision - before, 7)

    def test_refused_writes_are_spaced_out(self) -> None:
        """A status that the store refuses each time is not written ten times a second."""
        self.add_fleet()
        self.start()
        instance = self.find_holder()
        instance.controller.reconcile = _make_refused_plan
        before = len(self.simulation.applied)
        self.simulation.run(8.0)
        writes = [c for c, _ in self.simulation.applied[before:] if isinstance(c, UpdateStatus)]
        self.assertLess(len(writes), 8)
        self.assertGreater(len(writes), 1)


def _make_refused_plan(*args: Any, **kwargs: Any) -> Plan:
    write = WriteStatus(kind=KIND, name="none", status=b"\x80", precondition=0)
    return Plan(actions=(write,), reconcile_again_at=0.0)
