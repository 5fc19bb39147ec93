"""Merging of announcements about an endpoint."""

import itertools
import unittest
from typing import Any

import msgspec

from chivetrack.components.announcements.models import (
    LAST_SEQUENCE,
    EndpointRecord,
    EndpointState,
)
from chivetrack.components.announcements.table import (
    FORGET_AFTER_S,
    LOST_AFTER_S,
    RESTORED_TTL_S,
    SILENT_AFTER_S,
    EndpointTable,
)


def make_record(sequence: int = 1, **changes: Any) -> EndpointRecord:
    record = EndpointRecord(
        endpoint_id="e1",
        born=1000,
        sequence=sequence,
        service="llm",
        address="127.0.0.1:80",
        zone="z",
        software="v1",
        slots=64,
        state=EndpointState.READY,
    )
    return msgspec.structs.replace(record, **changes)


class EndpointTableTest(unittest.TestCase):
    def test_heartbeat_delayed_by_partition(self) -> None:
        """A "ready" announcement delayed by a partition arrives after a newer "draining" one.

        If it took effect, routers would send new requests to a draining endpoint. The
        sequence determines which announcement is newer.
        """
        table = EndpointTable()
        table.merge(make_record(2, state=EndpointState.DRAINING), now=0.0)
        self.assertFalse(table.merge(make_record(1), now=1.0))
        record = table.find("e1")
        assert record is not None
        self.assertIs(record.state, EndpointState.DRAINING)

    def test_restart_under_the_same_id(self) -> None:
        """A crashed endpoint restarts with the same id, and its sequence starts at 1.

        By the sequence alone, its announcements would be older than those of its previous
        incarnation and be ignored, so the start time is compared first.
        """
        table = EndpointTable()
        table.merge(make_record(50), now=0.0)
        self.assertTrue(table.merge(make_record(1, born=2000), now=1.0))
        self.assertFalse(table.merge(make_record(51), now=2.0))

    def test_departure_of_an_earlier_incarnation(self) -> None:
        table = EndpointTable()
        table.merge(make_record(1, born=2000), now=0.0)
        kept = table.close("e1", born=1000, now=1.0)
        assert kept is not None
        self.assertIs(kept.state, EndpointState.READY)
        left = table.close("e1", born=None, now=2.0)
        assert left is not None
        self.assertIs(left.state, EndpointState.LEFT)
        self.assertFalse(table.merge(make_record(9, born=2000), now=3.0))
        self.assertTrue(table.merge(make_record(1, born=3000), now=4.0))

    def test_any_order_gives_one_state(self) -> None:
        records = [
            make_record(1),
            make_record(2),
            make_record(3, state=EndpointState.DRAINING),
            make_record(1, born=2000),
        ]
        for order in itertools.permutations(records):
            table = EndpointTable()
            for record in order:
                table.merge(record, now=0.0)
            self.assertEqual(table.find("e1"), records[-1])

    def test_only_changes_are_numbered(self) -> None:
        table = EndpointTable()
        table.merge(make_record(1), now=0.0)
        change = table.change
        self.assertFalse(table.merge(make_record(2), now=1.0))
        self.assertEqual(table.change, change)
        self.assertEqual(table.list_changes(change), [])
        table.merge(make_record(3, state=EndpointState.DRAINING), now=2.0)
        self.assertEqual([record.sequence for record in table.list_changes(change)], [3])

    def test_restored_endpoints_need_confirmation(self) -> None:
        """All replicas lose power and restart with the stored endpoints.

        Routers can serve requests at once instead of after the next heartbeats. An endpoint
        whose departure was not stored sends no heartbeat and is marked lost.
        """
        table = EndpointTable()
        table.restore([make_record(5), make_record(5, endpoint_id="e2")], now=0.0)
        self.assertEqual(len(table.list_changes(0)), 2)
        table.merge(make_record(6), now=1.0)
        self.assertFalse(table.mark_unconfirmed_lost(2.0))
        self.assertTrue(table.mark_unconfirmed_lost(3.0))
        self.assertFalse(table.mark_unconfirmed_lost(4.0))
        states = {record.endpoint_id: record.state for record in table.list_records()}
        self.assertEqual(states, {"e1": EndpointState.READY, "e2": EndpointState.LOST})
        self.assertTrue(table.merge(make_record(6, endpoint_id="e2"), now=5.0))

    def test_newer_record_is_not_marked_lost(self) -> None:
        table = EndpointTable()
        table.merge(make_record(6), now=0.0)
        self.assertFalse(table.merge(make_record(5, state=EndpointState.LOST), now=1.0))

    def test_successor_at_the_address_of_a_crashed_endpoint(self) -> None:
        """An endpoint crashes, and two seconds later another one announces its address.

        The crashed endpoint sends no departure. Requests for it were refused by its
        successor, and after a second refusal the caller got an error.
        """
        table = EndpointTable()
        table.merge(make_record(5), now=0.0)
        successor = make_record(1, endpoint_id="e2")
        table.merge(successor, now=1.0)
        self.assertEqual(table.mark_superseded_lost(successor, now=1.0), [])
        (lost,) = table.mark_superseded_lost(successor, now=2.0)
        self.assertEqual((lost.endpoint_id, lost.state), ("e1", EndpointState.LOST))
        self.assertEqual(table.find("e1"), lost)
        self.assertTrue(table.merge(make_record(6), now=3.0))

    def test_list_silent(self) -> None:
        table = EndpointTable()
        table.merge(make_record(1), now=0.0)
        self.assertEqual(table.list_silent(SILENT_AFTER_S), [])
        self.assertEqual(table.list_silent(SILENT_AFTER_S + 0.1), ["e1"])

    def test_silent_endpoint_is_marked_lost_and_then_removed(self) -> None:
        """Guards against keeping crashed endpoints forever, on replicas or on followers."""
        table, follower = EndpointTable(), EndpointTable()
        table.merge(make_record(1), now=0.0)
        follower.merge(make_record(1), now=0.0)
        self.assertEqual(table.mark_silent_lost(LOST_AFTER_S), [])
        before = table.change
        (lost,) = table.mark_silent_lost(LOST_AFTER_S + 1.0)
        self.assertEqual(table.list_changes(before), [lost])
        self.assertIs(lost.state, EndpointState.LOST)
        follower.merge(lost, now=LOST_AFTER_S + 1.0)
        for each in (table, follower):
            self.assertEqual(each.remove_expired(LOST_AFTER_S + FORGET_AFTER_S), [])
            self.assertEqual(each.remove_expired(LOST_AFTER_S + FORGET_AFTER_S + 2.0), [lost])
            self.assertIsNone(each.find("e1"))

    def test_replica_with_newer_record_refutes_lost_endpoint(self) -> None:
        """Guards against losing a live endpoint because one replica misses its heartbeats."""
        isolated, current, follower = EndpointTable(), EndpointTable(), EndpointTable()
        for each in (isolated, current, follower):
            each.merge(make_record(1), now=0.0)
        current.merge(make_record(50), now=LOST_AFTER_S)
        isolated.merge(make_record(20), now=0.5)
        (lost,) = isolated.mark_silent_lost(LOST_AFTER_S + 1.0)
        follower.merge(lost, now=LOST_AFTER_S + 1.0)
        before = current.change
        self.assertFalse(current.merge(lost, now=LOST_AFTER_S + 1.0))
        self.assertTrue(current.refute_lost(lost))
        (refutation,) = current.list_changes(before)
        for each in (follower, isolated):
            each.merge(refutation, now=LOST_AFTER_S + 1.0)
            record = each.find("e1")
            assert record is not None
            self.assertIs(record.state, EndpointState.READY)

    def test_older_record_does_not_refute_lost_endpoint(self) -> None:
        """Guards against returning a lost endpoint to use because of an outdated record."""
        table = EndpointTable()
        table.merge(make_record(1), now=0.0)
        lost = make_record(1, state=EndpointState.LOST)
        self.assertFalse(table.refute_lost(lost))
        self.assertFalse(table.refute_lost(make_record(0)))
        self.assertFalse(table.refute_lost(make_record(0, endpoint_id="e2")))
        unknown = make_record(0, endpoint_id="e2", state=EndpointState.LOST)
        self.assertFalse(table.refute_lost(unknown))
        table.merge(make_record(9, state=EndpointState.LEFT), now=1.0)
        self.assertFalse(table.refute_lost(lost))

    def test_restored_lost_endpoint_is_dropped_only_once(self) -> None:
        """Guards against pushing to all routers every second after a replica restarts."""
        table = EndpointTable()
        table.restore([make_record(1, state=EndpointState.LOST)], now=0.0)
        self.assertTrue(table.mark_unconfirmed_lost(RESTORED_TTL_S + 0.1))
        self.assertFalse(table.mark_unconfirmed_lost(RESTORED_TTL_S + 1.1))

    def test_lost_endpoint_is_ready_after_next_heartbeat(self) -> None:
        """Guards against endpoints staying unused after a long network partition."""
        table = EndpointTable()
        table.merge(make_record(1), now=0.0)
        table.mark_silent_lost(LOST_AFTER_S + 1.0)
        self.assertTrue(table.merge(make_record(2), now=LOST_AFTER_S + 2.0))
        record = table.find("e1")
        assert record is not None
        self.assertIs(record.state, EndpointState.READY)


class SoftwareTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = EndpointTable()
        self.table.merge(make_record(5, born=0), now=0.0)

    def get_software(self) -> str:
        record = self.table.find("e1")
        assert record is not None
        return record.software

    def test_endpoint_that_starts_again_with_another_version_has_an_unknown_one(self) -> None:
        """Guards against trusting the version of an endpoint that does not state when it started.

        Its announcements count from 1 again, and those of the process before may still arrive.
        """
        restarted = make_record(1, born=0, software="v2")
        self.assertTrue(self.table.merge(restarted, now=1.0))
        self.assertEqual(self.get_software(), "")
        for sequence, software in ((6, "v1"), (2, "v2"), (7, "v2")):
            record = make_record(sequence, born=0, software=software)
            self.assertFalse(self.table.merge(record, now=2.0))
            self.assertEqual(self.get_software(), "")
        self.assertTrue(self.table.merge(make_record(1, born=9, software="v2"), now=3.0))
        self.assertEqual(self.get_software(), "v2")

    def test_unknown_version_spreads_among_replicas(self) -> None:
        """Guards against replicas that correct each other's record of a version forever."""
        other = EndpointTable()
        other.merge(make_record(9, born=0, software="v2"), now=0.0)
        for _ in range(3):
            mine, theirs = self.table.find("e1"), other.find("e1")
            assert mine is not None and theirs is not None
            self.table.merge(theirs, now=1.0)
            other.merge(mine, now=1.0)
        change = self.table.change
        self.assertEqual(self.table.find("e1"), other.find("e1"))
        self.assertEqual(self.get_software(), "")
        self.assertEqual(self.table.find_checksum("e1"), other.find_checksum("e1"))
        self.table.merge(make_record(10, born=0, software=""), now=2.0)
        self.assertEqual(self.table.change, change)

    def test_departure_without_a_version_keeps_the_known_one(self) -> None:
        """Guards against a version that is forgotten as its endpoint leaves."""
        left = make_record(LAST_SEQUENCE, born=0, software="", state=EndpointState.LEFT)
        self.assertTrue(self.table.merge(left, now=1.0))
        self.assertEqual(self.get_software(), "v1")

    def test_new_lifetime_without_a_version_does_not_inherit_one(self) -> None:
        """Guards against the version of an earlier lifetime for a record without one."""
        self.table.merge(make_record(1, born=9, software=""), now=1.0)
        self.assertEqual(self.get_software(), "")


if __name__ == "__main__":
    unittest.main()
