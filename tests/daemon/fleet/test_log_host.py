"""What a replica remembers of the first start in its folder."""

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

from chivetrack.components.document.store import DocumentStore
from chivetrack.daemon.fleet.log_host import LogHost, RetiredError
from chivetrack.helpers.events import EventLog

SEEDS = ["i1:1", "i2:1", "i3:1"]


class StopTestError(Exception):
    """Ends the loop of the host."""


class FirstStartTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(TemporaryDirectory()))

    def make_host(self, *, is_first_start: bool) -> LogHost:
        return LogHost(
            instance_id="i1:1",
            folder=self.folder,
            seeds=SEEDS,
            is_first_start=is_first_start,
            tolerated_losses=2,
            store=DocumentStore(),
            send=lambda target, message: None,
            events=EventLog(instance="i1"),
        )

    def read_founders(self, host: LogHost) -> tuple[str, ...]:
        with host._open_folder() as storage:
            return storage.identity.bootstrap_instances

    def test_founders_are_remembered_by_a_folder_of_the_first_start(self) -> None:
        self.assertEqual(self.read_founders(self.make_host(is_first_start=True)), tuple(SEEDS))
        self.assertEqual(self.read_founders(self.make_host(is_first_start=False)), tuple(SEEDS))

    def test_half_made_folder_of_the_first_start(self) -> None:
        """A replica was killed in its first start, between the folder and its identity."""
        (self.folder / "log").mkdir()
        self.assertEqual(self.read_founders(self.make_host(is_first_start=False)), ())

    def test_retired_replica_makes_a_folder_that_is_not_of_the_first_start(self) -> None:
        """The log has removed a replica in the process that had founded it.

        It empties its folder and joins anew. Taken for a founder that never lost its disk, it
        would prove to others, who did lose theirs, that no log was ever founded.
        """
        host = self.make_host(is_first_start=True)
        seen: list[tuple[str, ...]] = []

        def run_once() -> None:
            seen.append(self.read_founders(host))
            raise RetiredError if len(seen) == 1 else StopTestError

        with mock.patch.object(host, "_run_once", run_once), self.assertRaises(StopTestError):
            host.run()
        self.assertEqual(seen, [tuple(SEEDS), ()])


if __name__ == "__main__":
    unittest.main()
