"""Tests of endpoints' calls at a replica."""

import unittest
from unittest import mock

from chivetrack.components.announcements.models import EndpointRecord, EndpointState
from chivetrack.components.announcements.table import EndpointTable
from chivetrack.daemon.fleet.control_handler import ControlHandler
from chivetrack.helpers.events import EventLog


def make_record() -> EndpointRecord:
    return EndpointRecord(
        endpoint_id="i-1",
        born=1,
        sequence=1,
        service="portal",
        address="10.0.0.1:80",
        zone="z1",
        software="v1",
        slots=8,
        state=EndpointState.READY,
    )


class StopTest(unittest.TestCase):
    def test_announcement_that_arrives_during_the_stop_is_refused(self) -> None:
        """Guards against an acknowledged record that is lost with the replica that has it."""
        table = EndpointTable()
        handler = ControlHandler(
            instance_id="p1:1",
            documents=mock.Mock(),
            zones=(),
            list_replicas=lambda: ("p1:1", "p2:1"),
            table=table,
            send=mock.Mock(),
            push=mock.Mock(),
            events=EventLog(instance="p1"),
        )
        handler.begin_stop()
        for outcome in (handler.announce(make_record()), handler.leave("i-1", 1)):
            self.assertEqual(outcome.error.code, "stopping")
        self.assertIsNone(table.find("i-1"))


if __name__ == "__main__":
    unittest.main()
