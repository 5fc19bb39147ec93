"""Tests of requests at a listener while its process stops."""

import unittest
from collections.abc import Iterable
from typing import Any

from chivetrack.daemon.call_gate import CallGate
from chivetrack.platform.control_api import refuse_during_stop


class CallGateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.counts: list[int] = []
        self.statuses: list[str] = []
        self.gate = CallGate(application=self.serve, refuse=refuse_during_stop)

    def serve(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        self.counts.append(self.gate.open_count)
        start_response("200 OK", [])
        return [b"done"]

    def call(self) -> bytes:
        return b"".join(self.gate({}, lambda status, headers: self.statuses.append(status)))

    def test_calls_in_progress_are_counted(self) -> None:
        self.assertEqual(self.call(), b"done")
        self.assertEqual((self.counts, self.gate.open_count), ([1], 0))

    def test_call_during_a_stop_is_refused_at_once(self) -> None:
        """Guards against heartbeats and changes that are cut when the replica exits."""
        self.gate.is_closed = True
        self.assertIn(b"stopping", self.call())
        self.assertEqual((self.counts, self.statuses), ([], ["503 Service Unavailable"]))


if __name__ == "__main__":
    unittest.main()
