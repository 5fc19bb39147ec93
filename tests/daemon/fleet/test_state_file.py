"""Tests of when a replica's copy of state is written."""

import time
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

import gevent
from gevent.event import Event

from chivetrack.daemon.fleet.state_file import StateContent, StateFile
from chivetrack.helpers.events import EventLog

WRITE_DELAY_S = 0.01
LIMIT_S = 5.0


class _Content(StateContent, array_like=True):
    change: int


class StateFileTest(unittest.TestCase):
    """A file whose state changes during each write, which ends when ``released`` is set."""

    def setUp(self) -> None:
        folder = Path(self.enterContext(TemporaryDirectory(prefix="chivetrack-")))
        self.change = 0
        self.written: list[int] = []
        self.begun = Event()
        self.released = Event()
        self.file = StateFile(
            folder=folder,
            name="state",
            content_type=_Content,
            write_delay_s=WRITE_DELAY_S,
            get_change=lambda: (self.change,),
            make_content=lambda: _Content(written_at=time.time(), change=self.change),
            events=EventLog(instance="p1"),
        )
        pool = mock.Mock()
        pool.apply.side_effect = self.write
        self.enterContext(mock.patch.object(self.file, "_pool", pool))

    def write(self, *_args: object) -> None:
        self.written.append(self.change)
        self.change += 1
        self.begun.set()
        self.released.wait(LIMIT_S)

    def test_state_that_changes_all_the_time_is_written_once_for_each_request(self) -> None:
        """Guards against a replica that writes its file without a pause while it is busy."""
        self.released.set()
        self.change += 1
        self.file.schedule_write()
        gevent.sleep(20 * WRITE_DELAY_S)
        self.assertEqual(self.written, [1])

    def test_change_that_comes_during_a_write_is_written_after_it(self) -> None:
        """Guards against a crash that is not stored since another one was being written."""
        self.change += 1
        self.file.schedule_write()
        self.begun.wait(LIMIT_S)
        self.file.schedule_write()
        self.file.schedule_write()
        self.released.set()
        gevent.sleep(20 * WRITE_DELAY_S)
        self.assertEqual(self.written, [1, 2])


if __name__ == "__main__":
    unittest.main()
