"""System tests of a part of prompts that crashes the endpoints that answer requests with it."""

import itertools
import threading
import time
import unittest
from dataclasses import dataclass, field

from tests.system.crashing import CrashingEndpoint, open_crashing_endpoints
from tests.system.deployment import Deployment, make_config, open_deployment

CONTACT_S = 3.0
MAX_LATE_RUNS = 3
PLAY_S = 14.0
INTERVAL_S = 0.25
BAD_PART = "bad0bad0"
SOUND_PART = "50a1d50a"
FIRST_PART = "f125f125"


@dataclass(slots=True)
class _Traffic:
    """Sends requests, no two alike, to the routers in turn until stopped."""

    deployment: Deployment
    part: str
    statuses: list[int] = field(default_factory=list)
    stopped: threading.Event = field(default_factory=threading.Event)

    def run(self) -> None:
        routers = itertools.cycle(self.deployment.list_names("r"))
        for number in itertools.count():
            if self.stopped.wait(INTERVAL_S):
                return
            parts = f"{FIRST_PART}:100,{self.part}:40,{number + 1:x}:9"
            body = f"{self.part}-{number}".encode()
            self.statuses.append(self.send(next(routers), body, parts))

    def send(self, router: str, body: bytes, parts: str) -> int:
        try:
            return self.deployment.call(router, body=body, **{"X-Chivetrack-Prompt-Prefix": parts})[
                0
            ]
        except OSError:
            return 0


class CrashingPartTest(unittest.TestCase):
    def start(self) -> None:
        self.deployment = self.enterContext(open_deployment(replicas=3, routers=3))
        self.deployment.start_all()
        self.deployment.put(make_config(3))
        self.endpoints: list[CrashingEndpoint] = self.enterContext(
            open_crashing_endpoints(self.deployment, 6)
        )
        for router in self.deployment.list_names("r"):
            self.deployment.wait_served(router)
        for endpoint in self.endpoints:
            endpoint.crash_parts.add(BAD_PART)

    def count_crashes(self) -> int:
        return sum(len(endpoint.crashes) for endpoint in self.endpoints)

    def wait_for_crashes(self, count: int) -> None:
        ends_at = time.monotonic() + PLAY_S
        while self.count_crashes() < count and time.monotonic() < ends_at:
            time.sleep(0.05)

    def play(self, *killed_after: tuple[int, str]) -> None:
        """Send both kinds of requests; after a number of crashes, kill and start processes."""
        traffics = [_Traffic(self.deployment, part) for part in (BAD_PART, SOUND_PART)]
        threads = [threading.Thread(target=traffic.run) for traffic in traffics]
        began = time.monotonic()
        for thread in threads:
            thread.start()
        for count, kind in killed_after:
            self.wait_for_crashes(count)
            self.restart(kind)
        time.sleep(max(0.0, began + PLAY_S - time.monotonic()))
        for traffic in traffics:
            traffic.stopped.set()
        for thread in threads:
            thread.join()
        self.check(*traffics)

    def restart(self, kind: str) -> None:
        names = self.deployment.list_names(kind)
        for name in names:
            self.deployment.kill(name)
        self.deployment.is_first_start = False
        for name in names:
            self.deployment.start(name)

    def check(self, bad: _Traffic, sound: _Traffic) -> None:
        crashes = sorted(at for endpoint in self.endpoints for at in endpoint.crashes)
        self.assertGreaterEqual(len(crashes), 3)
        runs = [
            at
            for endpoint in self.endpoints
            for at, body in endpoint.runs
            if body.startswith(BAD_PART.encode())
        ]
        bound = crashes[4] + CONTACT_S if len(crashes) > 4 else float("inf")
        self.assertLessEqual(sum(at > bound for at in runs), MAX_LATE_RUNS)
        self.assertEqual(bad.statuses[-1], 500)
        self.assertEqual(sound.statuses[-5:], [200] * 5)

    def test_part_that_crashes_endpoints_is_rejected_fleet_wide(self) -> None:
        """Guards against different requests with one part that crash endpoint after endpoint."""
        self.start()
        self.play()

    def test_part_is_rejected_although_routers_restart_between_crashes(self) -> None:
        """Guards against crashes that are forgotten with the routers that have seen them."""
        self.start()
        self.play((1, "r"), (2, "r"))

    def test_part_is_rejected_although_replicas_restart_between_crashes(self) -> None:
        """Guards against crashes that are forgotten with the replicas that have counted them."""
        self.start()
        self.play((2, "p"))


if __name__ == "__main__":
    unittest.main()
