"""Streams while endpoints of two software versions serve beside each other."""

import time
import unittest
from functools import partial

from tests.system.deployment import Deployment, open_deployment
from tests.system.fleets import wait_for
from tests.system.streams import (
    EVENTS,
    CallerStream,
    StreamingEndpoint,
    make_stream_config,
    run_together,
)

STREAMS = 8
BREAKS_AFTER = 4


class StreamVersionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.deployment: Deployment = self.enterContext(open_deployment(routers=2))
        self.deployment.start_all()
        self.endpoints: list[StreamingEndpoint] = []

    def open_endpoints(self, *versions: str) -> None:
        for version in versions:
            number = len(self.endpoints) + 1
            endpoint = StreamingEndpoint(
                host=f"{self.deployment.network}.{200 + number}",
                name=f"i-{number}",
                version=version,
            )
            self.addCleanup(endpoint.server_close)
            self.addCleanup(endpoint.shutdown)
            self.endpoints.append(endpoint)

    def serve(self) -> None:
        self.deployment.put(make_stream_config())
        for endpoint in self.endpoints:
            self.deployment.announce(endpoint)
        for router in ("r1", "r2"):
            wait_for(partial(self.knows_all, router), f"{router} does not know all endpoints")
            self.deployment.wait_served(router)

    def knows_all(self, router: str) -> bool:
        known = {
            event["endpoint"]
            for event in self.deployment.read_events(router)
            if event.get("event") == "endpoint_changed" and event["state"] == "ready"
        }
        return len(known) == len(self.endpoints)

    def test_answer_does_not_go_on_at_another_version(self) -> None:
        """Guards against events of two software versions in one answer."""
        self.open_endpoints("v1", "v2")
        self.serve()
        for endpoint in self.endpoints:
            endpoint.breaks_after = BREAKS_AFTER
        stream = CallerStream().read(self.deployment, "r1")
        self.assertEqual(len(stream.versions), 1)
        self.assertEqual([one.continued for one in self.endpoints], [0, 0])
        self.assertEqual((len(stream.events), stream.is_complete), (BREAKS_AFTER, False))

    def test_answer_goes_on_at_the_version_that_began_it(self) -> None:
        """Guards against answers that break off although their version still serves."""
        self.open_endpoints("v1", "v2", "v2", "v1")
        self.serve()
        for endpoint in self.endpoints:
            endpoint.breaks_after = BREAKS_AFTER
        stream = CallerStream().read(self.deployment, "r1")
        self.assertEqual(len(stream.versions), 1)
        self.assertEqual((len(stream.events), stream.is_complete), (EVENTS, True))

    def test_caller_goes_on_at_its_version_after_its_router_was_killed(self) -> None:
        """Guards against a next try, at another router, that goes on at another version."""
        self.open_endpoints("v1", "v2", "v1", "v2")
        self.serve()
        streams = [CallerStream() for _ in range(STREAMS)]

        def kill_router() -> None:
            wait_for(lambda: all(len(one.events) > 3 for one in streams), "no stream has begun")
            time.sleep(0.2)
            self.deployment.kill("r1")

        reads = [partial(one.read, self.deployment, "r1") for one in streams]
        run_together([*reads, kill_router])
        self.assertEqual({version for one in streams for version in one.versions}, {"v1", "v2"})
        taken_up: list[tuple[CallerStream, CallerStream]] = []

        def take_up(first: CallerStream) -> None:
            taken_up.append((first, first.take_up(self.deployment, "r2")))

        run_together([partial(take_up, one) for one in streams])
        self.assertEqual(len(taken_up), STREAMS)
        joined = [(a.versions, b.versions) for a, b in taken_up if len(a.versions | b.versions) > 1]
        self.assertEqual(joined, [])
        went_on = [second for _, second in taken_up if second.is_complete and second.status == 200]
        self.assertGreater(len(went_on), STREAMS // 2)


if __name__ == "__main__":
    unittest.main()
