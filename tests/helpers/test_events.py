"""Event log: lines are written in order, and a stalled reader does not block the process."""

import json
import os
import threading
import time
import unittest
from typing import Any
from unittest.mock import patch

import gevent
import gevent.select

from chivetrack.helpers.events import (
    CLOSE_TIMEOUT_S,
    MAX_LINES_PER_S,
    MAX_QUEUED_LINES,
    EventLog,
    open_events,
)

READER_DELAY_S = 0.05


class EventsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.events = EventLog(instance="r1", descriptor=self.writer)

    def read_lines(self, size: int = 1 << 20) -> list[dict[str, Any]]:
        return [json.loads(line) for line in os.read(self.reader, size).splitlines()]

    def test_lines_are_written_in_order_and_without_a_thread(self) -> None:
        """Guards against a writer thread for each process.

        Hundreds of processes on one machine each log a few lines per second; their writer
        threads took more processor time than the lines.
        """
        threads = set(threading.enumerate())
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
        self.assertEqual(set(threading.enumerate()) - threads, set())

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

    @patch("chivetrack.helpers.events.CLOSE_TIMEOUT_S", 10.0)
    def test_last_lines_reach_a_reader_that_is_slow(self) -> None:
        """Guards against an exit whose own line is lost because the pipe is full at that moment."""
        source, descriptor = os.pipe()
        lines: list[bytes] = []

        def read() -> None:
            time.sleep(READER_DELAY_S)
            with os.fdopen(source, "rb") as stream:
                lines.extend(stream)

        reader = threading.Thread(target=read)
        with open_events(instance="r1", descriptor=descriptor) as events:
            self.fill_pipe(events)
            events.write("request_placed", request="q")
            events.write("stopped", cut=0)
            reader.start()
        os.close(descriptor)
        reader.join()
        written = [json.loads(line)["event"] for line in lines]
        self.assertEqual(written[-2:], ["request_placed", "stopped"])

    def test_reader_that_hangs_does_not_hold_the_exit(self) -> None:
        """Guards against an exit that waits for a log collector until SIGKILL."""
        started = time.monotonic()
        with open_events(instance="r1", descriptor=self.writer) as events:
            self.fill_pipe(events)
            events.write("stopped", cut=0)
        self.assertLess(time.monotonic() - started, CLOSE_TIMEOUT_S + 0.5)

    def test_line_of_another_greenlet_during_the_close_is_written(self) -> None:
        """Guards against losing what a request writes while its process exits."""
        with open_events(instance="r1", descriptor=self.writer) as events:
            gevent.sleep(0)
            events.write("stopped", cut=0)
            gevent.spawn(events.write, "request_placed", request="q")
        written = [line["event"] for line in self.read_lines()]
        self.assertEqual(written, ["stopped", "request_placed"])

    @patch("select.poll", gevent.select.poll)
    def test_two_greenlets_flush_at_once(self) -> None:
        """Guards against a flush that fails because another one emptied the queue meanwhile.

        The poll of a patched process lets other greenlets run before it returns.
        """
        events = EventLog(instance="r1", descriptor=self.writer)
        events.write("stopped", cut=0)
        flushes = [gevent.spawn(events.flush) for _ in range(2)]
        gevent.joinall(flushes, timeout=5.0, raise_error=True)
        self.assertEqual([line["event"] for line in self.read_lines()], ["stopped"])

    @staticmethod
    def fill_pipe(events: EventLog) -> None:
        number = 0
        while not events._lines:
            for _ in range(10):
                events.write(f"kind-{number}", detail="z" * 4000)
            events.flush()
            number += 1

    def test_line_longer_than_one_write_is_complete(self) -> None:
        self.events.write("configuration_unreadable", detail="y" * 9000)
        self.events.flush()
        (line,) = self.read_lines()
        self.assertEqual(len(line["detail"]), 9000)
