"""Tests of the bootstrap instances that a replica's folder stores at the first start."""

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
            catch_up_s=4.0,
            store=DocumentStore(),
            send=lambda target, message: None,
            events=EventLog(instance="i1"),
        )

    def read_bootstrap_instances(self, host: LogHost) -> tuple[str, ...]:
        with host._open_folder() as storage:
            return storage.identity.bootstrap_instances

    def test_folder_of_the_first_start_stores_the_bootstrap_instances(self) -> None:
        self.assertEqual(
            self.read_bootstrap_instances(self.make_host(is_first_start=True)), tuple(SEEDS)
        )
        self.assertEqual(
            self.read_bootstrap_instances(self.make_host(is_first_start=False)), tuple(SEEDS)
        )

    def test_incomplete_folder_of_the_first_start(self) -> None:
        """A replica was killed in its first start before it wrote its folder's identity."""
        (self.folder / "log").mkdir()
        self.assertEqual(self.read_bootstrap_instances(self.make_host(is_first_start=False)), ())

    def test_folder_of_a_retired_replica_names_no_bootstrap_instances(self) -> None:
        """Guards against a second bootstrap caused by a replica that the log has removed.

        The removed replica empties its folder and rejoins within the process that had
        bootstrapped the log. If it passed for a bootstrap instance that never lost its disk,
        instances that lost theirs would conclude that no log was ever bootstrapped.
        """
        host = self.make_host(is_first_start=True)
        results: list[tuple[str, ...]] = []

        def run_once() -> None:
            results.append(self.read_bootstrap_instances(host))
            raise RetiredError if len(results) == 1 else StopTestError

        with mock.patch.object(host, "_run_once", run_once), self.assertRaises(StopTestError):
            host.run()
        self.assertEqual(results, [tuple(SEEDS), ()])


if __name__ == "__main__":
    unittest.main()
