"""Loops and files of a replica that meet a record which can't be encoded."""

import time
import unittest
from pathlib import Path
from random import randrange
from tempfile import TemporaryDirectory
from unittest import mock

import gevent
import msgspec

from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.components.announcements.table import EndpointTable
from chivetrack.components.distribution.messages import BroadcastRecords
from chivetrack.components.distribution.placements import Placements
from chivetrack.components.peers.links import LinkTransport
from chivetrack.daemon.fleet.control_handler import ControlHandler
from chivetrack.daemon.fleet.restart_file import RestartFile
from chivetrack.helpers.codec import Message, pack
from tests.components.announcements.test_table import make_record
from tests.daemon.fleet.test_open_requests import Events

PORT = 18573
WRITTEN_WITHIN_S = 2.0
WIDE = 2**100


class BroadcastTest(unittest.TestCase):
    def test_one_record_leaves_the_others(self) -> None:
        """Guards against sound endpoints lost since replicas stop telling each other of beats."""
        sent: list[Message] = []
        handler = ControlHandler(
            instance_id="p1:1",
            documents=mock.Mock(),
            zones=(),
            list_replicas=lambda: ("p1:1", "p2:1"),
            table=EndpointTable(),
            send=lambda target, message: sent.append(message),
            push=mock.Mock(),
            events=Events(),
        )
        records = [make_record(n, endpoint_id=f"e{n}") for n in (1, WIDE, 2)]
        for record in records:
            handler.announce(record)
        handler.broadcast()
        for message in sent:
            pack(message)
        (told,) = [one.records for one in sent if isinstance(one, BroadcastRecords)]
        self.assertEqual(told, (records[0], records[2]))

    def test_message_that_cannot_be_encoded_ends_no_loop(self) -> None:
        address = f"127.{randrange(20, 200)}.{randrange(1, 250)}.1:{PORT}"
        errors: list[str] = []
        transport = LinkTransport(address=address, on_message=mock.Mock(), on_error=errors.append)
        self.addCleanup(transport.stop)
        transport.send("127.0.0.1:9", BroadcastRecords(number=0, records=(make_record(WIDE),)))
        self.assertEqual(len(errors), 1)
        self.assertIn("127.0.0.1:9", errors[0])


class RestartFileTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(TemporaryDirectory(prefix="chivetrack-")))
        self.events = Events()
        self.table = EndpointTable()
        self.file = RestartFile(
            folder=self.folder, table=self.table, placements=Placements(), events=self.events
        )

    def load(self, records: list[object]) -> list[EndpointRecord]:
        content = msgspec.msgpack.encode([time.time(), records, []])
        (self.folder / "restart").write_bytes(content)
        self.file.load(now=0.0)
        return list(self.table.list_records())

    def test_records_of_an_earlier_release(self) -> None:
        """Guards against a fault that comes back with each start of a replica."""
        sound = make_record(endpoint_id="e9")
        unsound = [
            make_record(endpoint_id="e1", address="10.0.0.1:80, 10.0.0.2:80"),
            make_record(2**64 - 1, endpoint_id="e2"),
            ["e3"],
            "e4",
        ]
        self.assertEqual(self.load([*unsound, sound]), [sound])

    def test_file_is_written_again_after_a_failure(self) -> None:
        """Guards against a file that is never written again after one failed attempt."""
        with mock.patch.object(self.table, "list_records", lambda: [make_record(WIDE)]):
            self.table.merge(make_record(), now=0.0)
            self.file.schedule_write()
            gevent.sleep(WRITTEN_WITHIN_S / 4)
        names = [one["event"] for one in self.events.written]
        self.assertEqual(names, ["restart_file_not_written"])
        self.table.merge(make_record(endpoint_id="e2"), now=0.0)
        self.file.schedule_write()
        with gevent.Timeout(WRITTEN_WITHIN_S):
            while not (self.folder / "restart").exists():
                gevent.sleep(0.05)
        self.file.load(now=0.0)
        self.assertEqual(len(list(self.table.list_records())), 2)


if __name__ == "__main__":
    unittest.main()
