"""Drain controller: phases, floors and behaviour under faults."""

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

    def test_zero_count_older_than_settle_time_does_not_end_drain(self) -> None:
        """The drain must not be done while counts may predate the drain on some router.

        The last router to receive the drain may just have sent a request whose count has not
        arrived yet. If the old count of zero ended the drain, the operator would stop the
        endpoint while it serves the request.
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

    def test_reason_at_deadline_counts_requests_in_flight(self) -> None:
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
        """Instances form a group of their own; an unknown count is not treated as zero."""
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
        (instance,) = self.start()
        self.drain("d", "e1")
        self.drain("e", "e2", floor=1.0)
        self.simulation.run(10.0)
        revision = self.simulation.store.revision
        reconcile_count = instance.controller.reconcile_count
        self.simulation.run(20.0)
        self.assertEqual(revision, self.simulation.store.revision)
        self.assertGreater(instance.controller.reconcile_count, reconcile_count)


class FloorTest(DrainTestCase):
    def test_table(self) -> None:
        """The floor applies to ready, undrained capacity, relative to the whole service."""
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

    def test_floor_applies_to_each_service(self) -> None:
        self.fleet.add("e1", "e2", zone="a")
        self.fleet.add("p1", zone="a", service="plain")
        self.fleet.add("e3", "e4", zone="b")
        self.start()
        self.drain("d", "a", ZONE)
        self.simulation.run(2.0)
        self.assertEqual("waiting", self.get_phase("d"))
        self.assertIn("plain would keep 0 of 1", self.get_reason("d"))

    def test_second_drain_waits_for_first_with_reason(self) -> None:
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

    def test_drained_endpoint_that_left_counts_in_total(self) -> None:
        """Endpoints are drained and leave one after another.

        If only the remaining endpoints counted as the total, half of them could be drained
        each time, until one of four is left although each drain requires that half remain.
        """
        self.add_fleet(4)
        self.start()
        for number in (1, 2, 3):
            self.drain(f"d{number}", f"e{number}")
            self.simulation.run(2.0)
            if self.get_phase(f"d{number}") != "waiting":
                del self.fleet.endpoints[f"e{number}"]
        self.assertEqual(["d1", "d2"], self.list_active())

    def test_drain_of_unknown_target_waits(self) -> None:
        """A zone is drained while none of its endpoints is listed, and then returns.

        If that drain started at once, a drain of the other half would see its capacity as
        available, and both halves would be drained when the zone returns.
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
        """Routers apply the new target at once; if the floor forbids it, the drain waits again."""
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

    def test_no_drain_starts_right_after_process_start(self) -> None:
        """After a start only some endpoints are known, so a floor cannot be checked yet."""
        self.fleet.add("e1")
        self.fleet.add("other", service="other")
        self.start(warm=False)
        self.drain("d", "other", floor=0.0)
        self.simulation.run(10.0)
        self.assertEqual("pending", self.get_phase("d"))
        self.simulation.run(6.0)
        self.assertEqual("active", self.get_phase("d"))


class FaultTest(DrainTestCase):
    def test_deleted_drain_leaves_no_state(self) -> None:
        """The status is the only state of a drain and is deleted with the resource."""
        self.add_fleet()
        (instance,) = self.start()
        self.drain("d", "e1")
        self.simulation.run(1.0)
        instance.is_dead = True
        self.simulation.delete(KIND, "d")
        self.assertIsNone(self.simulation.store.table.get(KIND, "d"))

    def test_next_lease_holder_continues_drain(self) -> None:
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
        first, second = self.start("one", "two")
        holder = self.find_holder()
        holder.network = Network(delay=(0.3, 0.3))
        self.drain("first", "e1")
        self.simulation.run(0.3)
        holder.is_dead = True
        self.drain("second", "e2")
        self.simulation.run(FAILOVER_S)
        self.assertEqual(["first"], self.list_active())
        self.assertIn("waits for drain first", self.get_reason("second"))

    def test_next_lease_holder_with_outdated_table(self) -> None:
        """The next lease holder's table lags by 30 s and lacks its predecessor's writes.

        It gets the lease at once. If it decided before its table has caught up with a
        revision confirmed after the grant, both halves would be drained.
        """
        self.add_fleet(2)
        first, second = self.start("one", "two")
        holder = self.find_holder()
        other = second if holder is first else first
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

    def test_holder_frozen_past_its_lease(self) -> None:
        """A frozen lease holder resumes with outdated state after another one took over.

        By its own clock it sees that the lease has expired. A write that it had sent before
        is refused by the store because of its fencing number.
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

    def test_delayed_write_without_answer(self) -> None:
        """A write with unknown outcome is applied after a later write.

        The first drain starts while there are three endpoints, and its write is delayed by
        5 s. Meanwhile the third endpoint leaves. According to the table the first drain still
        waits, so the second would be allowed to start, and both halves would be drained.
        """
        self.add_fleet(2)
        (instance,) = self.start()
        self.drain("first", "e1", floor=0.6)
        self.simulation.run(3.0)
        instance.network = Network(delay=(5.0, 5.0))
        self.fleet.add("e3")
        self.simulation.run(0.6)
        instance.network = Network()
        del self.fleet.endpoints["e3"]
        self.drain("second", "e2")
        for _ in range(100):
            self.simulation.run(0.1)
            self.assertLess(len(self.list_active()), 2)
        self.assertEqual(["first"], self.list_active())

    def test_status_writes_for_changing_counts_are_rate_limited(self) -> None:
        self.add_fleet()
        self.start()
        self.drain("d", "e1")
        self.simulation.run(1.0)
        before = self.simulation.store.revision
        for count in range(100):
            self.fleet.loads["e1"] = 1 + count
            self.simulation.run(0.1)
        self.assertLess(self.simulation.store.revision - before, 7)

    def test_refused_writes_back_off(self) -> None:
        """A status write that the store refuses each time is retried with backoff."""
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
