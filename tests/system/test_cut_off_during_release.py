"""A router that is cut off from all other instances while endpoints of a new version join."""

import time
import unittest
from functools import partial
from pathlib import Path

from tests.system.deployment import ENV_CUT_FILE, Deployment, open_deployment
from tests.system.fleets import wait_for
from tests.system.streams import CallerStream, StreamingEndpoint, make_stream_config, run_together

STREAMS = 8
SLOW_INTERVAL_S = 0.1
HEALED_TRIES = 12


class CutOffDuringReleaseTest(unittest.TestCase):
    """Router r1 is cut off; r2 isn't, serves the streams and is killed."""

    def setUp(self) -> None:
        self.deployment: Deployment = self.enterContext(open_deployment(replicas=3, routers=2))
        self.cut_file: Path = self.deployment.folder / "cut"
        self.deployment.environment[ENV_CUT_FILE] = str(self.cut_file)
        self.deployment.modules["r1"] = "tests.system.partitioned_process"
        self.deployment.start_all()
        self.endpoints: list[StreamingEndpoint] = []
        self.deployment.put(make_stream_config())
        for _ in range(2):
            self.deployment.announce(self.open_endpoint("v1"))
        for router in ("r1", "r2"):
            self.deployment.wait_served(router)
            wait_for(partial(self.knows, router, "i-2"), f"{router} does not know i-2")

    def open_endpoint(self, version: str) -> StreamingEndpoint:
        number = len(self.endpoints) + 1
        endpoint = StreamingEndpoint(
            host=f"{self.deployment.network}.{200 + number}", name=f"i-{number}", version=version
        )
        endpoint.interval_s = SLOW_INTERVAL_S
        self.addCleanup(endpoint.end)
        self.endpoints.append(endpoint)
        return endpoint

    def knows(self, router: str, name: str, state: str = "ready") -> bool:
        return any(
            event.get("event") == "endpoint_changed"
            and event["endpoint"] == name
            and event["state"] == state
            for event in self.deployment.read_events(router)
        )

    def is_registered(self) -> bool:
        """Return whether streams may begin at the new version through r2."""
        return any(
            event.get("event") == "versions_registered"
            and event["is_confirmed"]
            and "portal/v2" in event["versions"]
            for event in self.deployment.read_events("r2")
        )

    def begin_streams_at_new_version(self) -> list[CallerStream]:
        """Cut r1 off, let two endpoints of a new version join, and break streams begun there."""
        self.cut_file.touch()
        for _ in range(2):
            self.deployment.announce(self.open_endpoint("v2"))
        wait_for(partial(self.knows, "r2", "i-4"), "r2 does not know i-4")
        # The old version leaves r2's choice, so that all streams begin at the new one.
        for endpoint in self.endpoints[:2]:
            self.deployment.announce(endpoint, "draining")
            wait_for(partial(self.knows, "r2", endpoint.name, "draining"), "r2 does not know it")
        wait_for(self.is_registered, "the new version is not registered")
        streams = [CallerStream() for _ in range(STREAMS)]

        def kill_router() -> None:
            wait_for(lambda: all(len(one.events) > 3 for one in streams), "no stream has begun")
            time.sleep(0.2)
            self.deployment.kill("r2")

        run_together([*(partial(one.read, self.deployment, "r2") for one in streams), kill_router])
        return streams

    def take_up(self, streams: list[CallerStream]) -> list[CallerStream]:
        taken_up = [CallerStream() for _ in streams]
        run_together(
            [
                partial(second.take_up, first, self.deployment, "r1")
                for first, second in zip(streams, taken_up, strict=True)
            ]
        )
        return taken_up

    def find_joined(self, streams: list[CallerStream], taken_up: list[CallerStream]) -> list[str]:
        pairs = zip(streams, taken_up, strict=True)
        return [
            first.attempt for first, second in pairs if len(first.versions | second.versions) > 1
        ]

    def test_router_that_is_cut_off_joins_no_versions(self) -> None:
        """Guards against a take-up at the only version that a router without contact knows."""
        streams = self.begin_streams_at_new_version()
        self.assertIn("v2", {version for one in streams for version in one.versions})
        taken_up = self.take_up(streams)
        self.assertEqual(self.find_joined(streams, taken_up), [])

    def test_router_that_was_cut_off_joins_no_versions_when_the_cut_heals(self) -> None:
        """Guards against a take-up by an old view in the first second after a cut."""
        streams = self.begin_streams_at_new_version()
        self.cut_file.unlink()
        joined = []
        went_on = 0
        for _ in range(HEALED_TRIES):
            taken_up = self.take_up(streams)
            joined += self.find_joined(streams, taken_up)
            went_on += sum(one.status == 200 for one in taken_up)
            if went_on:
                break
            time.sleep(0.1)
        self.assertEqual(joined, [])
        self.assertGreater(went_on, 0)


if __name__ == "__main__":
    unittest.main()
