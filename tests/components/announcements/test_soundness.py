"""Records that no instance may keep, whoever has written them."""

import unittest

from chivetrack.components.announcements.models import EndpointState
from chivetrack.components.announcements.soundness import UnsoundRecord, find_fault
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

    def test_departure_alone_names_no_address(self) -> None:
        for state in (EndpointState.LEFT, EndpointState.LOST):
            self.assertIsNone(find_fault(make_record(address="", state=state)))


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

    def test_line_is_bounded(self) -> None:
        record = make_record(endpoint_id="e" * 5000, address="a" * 5000)
        self.table.merge(record, now=0.0, writer="r" * 5000)
        line = self.unsound[0].describe()
        self.assertLess(sum(len(one) for one in line.values()), 500)


if __name__ == "__main__":
    unittest.main()
