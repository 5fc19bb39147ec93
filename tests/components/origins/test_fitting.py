"""Which endpoints may begin or continue a stream."""

import unittest

from chivetrack.components.origins.fitting import list_beginning, list_continuing
from chivetrack.components.origins.models import Origin
from tests.components.announcements.test_table import make_record

RECORDS = [
    make_record(endpoint_id="e1", software="v1"),
    make_record(endpoint_id="e2", software="v2"),
    make_record(endpoint_id="e3", software=""),
    make_record(endpoint_id="e4", software="v1"),
]


class FittingTest(unittest.TestCase):
    def list_ids(
        self, origin: Origin, *, silent: tuple[str, ...] = (), is_current: bool = True
    ) -> list[str]:
        listed = list_continuing(RECORDS, origin=origin, silent=silent, is_current=is_current)
        return [record.endpoint_id for record in listed]

    def test_only_endpoints_of_the_version_continue_a_stream(self) -> None:
        self.assertEqual(self.list_ids(Origin("llm", "v1")), ["e1", "e4"])
        self.assertEqual(self.list_ids(Origin("llm", "v3")), [])
        self.assertEqual(self.list_ids(Origin("portal", "v1")), [])

    def test_unknown_versions_do_not_match_each_other(self) -> None:
        """Guards against a stream that goes on between two endpoints without a stated version."""
        self.assertEqual(self.list_ids(Origin("llm", "")), [])

    def test_versions_that_may_be_outdated_continue_nothing(self) -> None:
        """Guards against an endpoint that has started again with another version meanwhile."""
        self.assertEqual(self.list_ids(Origin("llm", "v1"), silent=("e1",)), ["e4"])
        self.assertEqual(self.list_ids(Origin("llm", "v1"), is_current=False), [])

    def test_streams_begin_at_any_version_that_is_allowed(self) -> None:
        listed = list_beginning(RECORDS, may_begin=lambda origin: origin.software != "v2")
        self.assertEqual([record.endpoint_id for record in listed], ["e1", "e3", "e4"])


if __name__ == "__main__":
    unittest.main()
