"""Tests of endpoints' calls at a replica."""

import unittest
from collections.abc import Callable
from unittest import mock

import gevent

from chivetrack.components.announcements.models import EndpointRecord, EndpointState
from chivetrack.components.announcements.table import EndpointTable
from chivetrack.components.distribution.messages import BroadcastRecords, RecordsAck
from chivetrack.daemon.fleet.control_handler import ControlHandler
from chivetrack.helpers.codec import Message
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


def make_handler(table: EndpointTable, send: Callable[[str, Message], None]) -> ControlHandler:
    documents = mock.Mock()
    documents.handle_message.return_value = False
    return ControlHandler(
        instance_id="p1:1",
        documents=documents,
        zones=(),
        list_replicas=lambda: ("p1:1", "p2:1"),
        table=table,
        send=send,
        push=mock.Mock(),
        events=EventLog(instance="p1"),
    )


class RestartTest(unittest.TestCase):
    @mock.patch("chivetrack.daemon.fleet.control_handler.BROADCAST_WAIT_S", 0.1)
    def test_acknowledgement_to_an_earlier_process_is_ignored(self) -> None:
        """Guards against a departure acknowledged although no other replica has it."""
        sent: list[BroadcastRecords] = []
        earlier = make_handler(EndpointTable(), lambda target, message: sent.append(message))
        earlier.leave("i-1", 1)
        handler = make_handler(EndpointTable(), mock.Mock())
        leaving = gevent.spawn(handler.leave, "i-2", 1)
        gevent.sleep(0.01)
        handler.handle_message("p2:1", RecordsAck(number=sent[0].number))
        self.assertTrue(leaving.get().is_error())


class StopTest(unittest.TestCase):
    def test_announcement_that_arrives_during_the_stop_is_refused(self) -> None:
        """Guards against an acknowledged record that is lost with the replica that has it."""
        table = EndpointTable()
        handler = make_handler(table, mock.Mock())
        handler.begin_stop()
        for outcome in (handler.announce(make_record()), handler.leave("i-1", 1)):
            self.assertEqual(outcome.error.code, "stopping")
        self.assertIsNone(table.find("i-1"))


if __name__ == "__main__":
    unittest.main()
