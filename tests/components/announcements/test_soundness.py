"""Records that no instance may keep, whoever has written them."""

import unittest

from chivetrack.components.announcements.models import LAST_SEQUENCE, EndpointState
from chivetrack.components.announcements.soundness import (
    MAX_MODELS,
    MAX_TEXT_LENGTH,
    UnsoundRecord,
    find_fault,
)
from chivetrack.components.announcements.table import RESTART_FILE, EndpointTable
from tests.components.announcements.test_table import make_record

LIST = "127.0.0.9:8080, 127.0.0.10:8080"


class FindFaultTest(unittest.TestCase):
    def check(self, field: str, **changes: object) -> None:
        fault = find_fault(make_record(**changes))  # type: ignore[arg-type]
        assert fault is not None, changes
        self.assertEqual(fault.field, field)

    def test_sound_record(self) -> None:
        self.assertIsNone(find_fault(make_record()))

    def test_address(self) -> None:
        for address in ("", LIST, "nowhere:80", "10.0.0.1:0"):
            for state in (EndpointState.READY, EndpointState.DRAINING):
                self.check("address", address=address, state=state)
        self.check("address", address=LIST, state=EndpointState.LEFT)

    def test_numbers(self) -> None:
        for sequence in (-1, LAST_SEQUENCE, 2**63, 2**64, 2**100):
            self.check("sequence", sequence=sequence)
        self.check("sequence", sequence=LAST_SEQUENCE + 1, state=EndpointState.LEFT)
        for number in (-1, 2**64):
            self.check("born", born=number)
            self.check("slots", slots=number)
        for cold_s in (-0.001, float("inf"), float("nan")):
            self.check("cold_s", cold_s=cold_s)
        self.assertIsNone(find_fault(make_record(LAST_SEQUENCE - 1)))
        for state in (EndpointState.LEFT, EndpointState.LOST):
            self.assertIsNone(find_fault(make_record(LAST_SEQUENCE, state=state)))

    def test_record_that_lacks_what_an_endpoint_says(self) -> None:
        """Guards against requests placed on an entry that an earlier release has let in."""
        for state in (EndpointState.READY, EndpointState.DRAINING):
            self.check("slots", slots=0, state=state)
            for field in ("service", "zone"):
                self.check(field, **{field: "", "state": state})

    def test_texts(self) -> None:
        self.check("endpoint_id", endpoint_id="e1\r\n")
        for field in ("service", "zone", "software"):
            self.check(field, **{field: "x" * (MAX_TEXT_LENGTH + 1)})
        self.check("models", models=("m",) * (MAX_MODELS + 1))
        self.check("models", models=("",))

    def test_departure_alone_names_no_address(self) -> None:
        for state in (EndpointState.LEFT, EndpointState.LOST):
            departed = make_record(address="", service="", zone="", slots=0, state=state)
            self.assertIsNone(find_fault(departed))


class LeftOutTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = EndpointTable()
        self.unsound: list[UnsoundRecord] = []
        self.table.listen_to_unsound(self.unsound.append)

    def test_record_of_another_instance(self) -> None:
        """Guards against an unsound record that one instance passes on to all others."""
        self.table.merge(make_record(), now=0.0)
        self.assertFalse(self.table.merge(make_record(2, address=LIST), now=0.0, writer="r1:1"))
        self.assertEqual(list(self.table.list_records()), [make_record()])
        (unsound,) = self.unsound
        self.assertEqual(
            (unsound.writer, unsound.endpoint_id, unsound.fault.field), ("r1:1", "e1", "address")
        )

    def test_record_of_an_earlier_release_on_the_disk(self) -> None:
        """Guards against an unsound record that comes back with each start of a replica."""
        sound = make_record(endpoint_id="e2")
        self.table.restore([make_record(address=LIST), sound], now=0.0)
        self.assertEqual(list(self.table.list_records()), [sound])
        self.assertEqual([one.writer for one in self.unsound], [RESTART_FILE])

    def test_sequences_that_jump_and_wrap(self) -> None:
        """Guards against an endpoint kept or lost by the sequence of an earlier lifetime."""
        highest = make_record(LAST_SEQUENCE - 1)
        for record in (make_record(), highest, make_record(0), make_record(-(2**62))):
            self.table.merge(record, now=0.0)
        self.assertEqual(self.table.find("e1"), highest)
        self.assertEqual([one.fault.field for one in self.unsound], ["sequence"])
        restarted = make_record(0, born=1001)
        self.assertTrue(self.table.merge(restarted, now=1.0))
        left = self.table.close("e1", born=None, now=2.0)
        assert left is not None
        self.assertIs(left.state, EndpointState.LEFT)

    def test_relayed_heartbeat(self) -> None:
        """Guards against an endpoint whose heartbeats count for nothing after one unsound one."""
        self.table.merge(make_record(), now=0.0)
        checksum = self.table.find_checksum("e1")
        for sequence in (LAST_SEQUENCE, 2**64 - 1, 5):
            known = self.table.handle_relayed_heartbeat(
                "e1", sequence, checksum, now=1.0, writer="r1:1"
            )
            self.assertTrue(known)
        self.assertEqual(self.table.find("e1"), make_record(5))
        self.assertEqual([one.writer for one in self.unsound], ["r1:1"] * 2)

    def test_line_is_bounded(self) -> None:
        record = make_record(endpoint_id="e" * 5000, address="a" * 5000)
        self.table.merge(record, now=0.0, writer="r" * 5000)
        line = self.unsound[0].describe()
        self.assertLess(sum(len(one) for one in line.values()), 500)


if __name__ == "__main__":
    unittest.main()
