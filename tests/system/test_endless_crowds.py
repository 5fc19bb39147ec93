"""An ordinary caller beside many whose endpoints answer without end, over processes."""

import subprocess
import sys
import threading
import time
import unittest

from tests.system.deployment import (
    ENDPOINT_PORT,
    ROOT,
    Deployment,
    make_config,
    open_deployment,
)
from tests.system.endless_endpoints import KINDS, ORDINARY
from tests.system.fleets import NotReachedError, wait_for

ENDPOINTS = 3
CALLERS = 120
PLAY_S = 4.0
ORDINARY_INTERVAL_S = 0.2
ORDINARY_LIMIT_S = 3.0
RETRY_S = 1.0
MIN_SERVED = 0.9
SLOTS = 64


class EndlessCrowdsTest(unittest.TestCase):
    """Guards against answers without end that keep the loop of a router to themselves."""

    def setUp(self) -> None:
        self.deployment: Deployment = self.enterContext(open_deployment(replicas=1, routers=1))
        self.addresses = [
            f"{self.deployment.network}.{200 + number}:{ENDPOINT_PORT}"
            for number in range(1, ENDPOINTS + 1)
        ]
        endpoints = subprocess.Popen(
            [sys.executable, "-m", "tests.system.endless_endpoints", *self.addresses], cwd=ROOT
        )
        self.addCleanup(endpoints.wait)
        self.addCleanup(endpoints.kill)
        self.deployment.start_all()
        document = make_config(1)
        document["services"][0]["maxConnections"] = 2 * CALLERS
        self.deployment.put(document)
        self.is_over = threading.Event()
        self.sequence = 0
        self.beat()
        beats = threading.Thread(target=self.send_beats, daemon=True)
        beats.start()
        self.addCleanup(beats.join)
        self.addCleanup(self.is_over.set)
        self.deployment.wait_served("r1", f"/a/{ORDINARY}")

    def beat(self) -> None:
        """Announce the endpoints."""
        self.sequence += 1
        for number, address in enumerate(self.addresses):
            heartbeat = {
                "service": "portal",
                "address": address,
                "zone": "z1",
                "version": "v1",
                "slots": SLOTS,
                "state": "ready",
                "coldRemainingMs": 0,
                "sequence": self.sequence,
            }
            path = f"/instances/i-{number}"
            wait_for(
                lambda path=path, heartbeat=heartbeat: self.deployment.control(
                    "PUT", "p1", path, heartbeat
                )[0]
                == 200,
                "no replica acknowledged the heartbeat",
            )

    def send_beats(self) -> None:
        while not self.is_over.wait(1.0):
            try:
                self.beat()
            except NotReachedError:
                return

    def send_ordinary(self) -> bool:
        """Return whether an ordinary request is served in time."""
        began = time.monotonic()
        status, body = self.deployment.call("r1", f"/a/{ORDINARY}")
        is_served = status == 200 and body == b"whole"
        return is_served and time.monotonic() - began < ORDINARY_LIMIT_S

    def play(self, kind: str) -> list[bool]:
        """Return whether each ordinary request was served beside the others."""
        ends_at = time.monotonic() + RETRY_S + PLAY_S

        def call() -> None:
            while time.monotonic() < ends_at:
                self.deployment.call("r1", f"/a/{kind}")
                time.sleep(RETRY_S)

        callers = [threading.Thread(target=call, daemon=True) for _ in range(CALLERS)]
        for caller in callers:
            caller.start()
            time.sleep(RETRY_S / CALLERS)
        served = []
        while time.monotonic() < ends_at:
            served.append(self.send_ordinary())
            time.sleep(ORDINARY_INTERVAL_S)
        for caller in callers:
            caller.join()
        return served

    def check(self, kind: str) -> None:
        served = self.play(kind)
        self.assertGreaterEqual(sum(served), MIN_SERVED * len(served), served)
        self.assertGreater(len(served), 1)

    def test_lines_of_a_head(self) -> None:
        self.check("head-lines")

    def test_lines_of_a_trailer(self) -> None:
        self.check("trailer-lines")

    def test_interim_answers(self) -> None:
        self.check("interim")

    def test_chunks_of_a_byte(self) -> None:
        self.check("tiny-chunks")

    def test_uneven_chunks(self) -> None:
        self.check("uneven-chunks")

    def test_large_chunks(self) -> None:
        self.check("large-chunks")

    def test_bytes_without_a_length(self) -> None:
        self.check("raw")

    def test_each_kind_has_a_test(self) -> None:
        self.assertEqual(len(KINDS), 7)


if __name__ == "__main__":
    unittest.main()
