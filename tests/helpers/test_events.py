"""Event log: lines are written in order, and a stalled reader does not block the process."""

import json
import os
import threading
import time
import unittest
from typing import Any

import gevent

from chivetrack.helpers.events import MAX_LINES_PER_S, MAX_QUEUED_LINES, EventLog


class EventsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.events = EventLog(instance="r1", descriptor=writer)

    def read_lines(self, size: int = 1 << 20) -> list[dict[str, Any]]:
        return [json.loads(line) for line in os.read(self.reader, size).splitlines()]

    def test_lines_are_written_in_order_and_without_a_thread(self) -> None:
        """Guards against a writer thread for each process.

        Hundreds of processes on one machine each log a few lines per second; their writer
        threads took more processor time than the lines.
        """
        threads = threading.active_count()
        writer = gevent.spawn(self.events.run)
        self.addCleanup(writer.kill)
        for number in range(100):
            self.events.write("request_ended", number=number, detail="x" * 200)
        gevent.sleep(0.4)
        numbers = [line["number"] for line in self.read_lines()]
        self.events.write("started")
        gevent.sleep(0.4)
        self.assertEqual(numbers, list(range(100)))
        self.assertEqual([line["event"] for line in self.read_lines()], ["started"])
        self.assertEqual(threading.active_count(), threads)

    def test_stalled_reader_does_not_block_the_process(self) -> None:
        """Guards against writes that block when the log collector hangs and the pipe fills up.

        Lines are queued, lines over the limit are counted, and the count is logged once the
        collector reads again.
        """
        started = time.monotonic()
        for number in range(2 * MAX_QUEUED_LINES):
            self.events.write(f"kind-{number // int(MAX_LINES_PER_S)}", number=number)
        dropped = self.events.dropped
        self.assertGreater(dropped, 0)
        self.events.flush()
        self.assertLess(time.monotonic() - started, 5.0)
        lines: list[bytes] = []
        while self.events._lines or self.events.dropped:
            self.events.flush()
            lines.append(os.read(self.reader, 1 << 20))
        written = [json.loads(line) for line in b"".join(lines).splitlines()]
        numbers = [line["number"] for line in written if "number" in line]
        self.assertEqual(numbers, list(range(2 * MAX_QUEUED_LINES - dropped)))
        self.assertEqual(
            [line["count"] for line in written if line["event"] == "lines_dropped"], [dropped]
        )

    def test_line_longer_than_one_write_is_complete(self) -> None:
        self.events.write("configuration_unreadable", detail="y" * 9000)
        self.events.flush()
        (line,) = self.read_lines()
        self.assertEqual(len(line["detail"]), 9000)
