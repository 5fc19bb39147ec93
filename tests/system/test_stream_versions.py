"""Streams while endpoints of two software versions serve beside each other."""

import threading
import time
import unittest
from collections.abc import Callable
from functools import partial

from tests.system.deployment import Deployment, open_deployment
from tests.system.fleets import wait_for
from tests.system.streams import (
    CALLER_TIMEOUT_S,
    EVENTS,
    CallerStream,
    StreamingEndpoint,
    make_stream_config,
    run_together,
)

STREAMS = 8
BREAKS_AFTER = 4
# Streams that last longer than a router takes to restart.
SLOW_INTERVAL_S = 0.2
HEARTBEAT_S = 1.0


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

    def send_heartbeats(self) -> None:
        """Announce the endpoints that have not ended until the test ends.

        Streams don't go on at one that has been silent for 5 s, which a busy machine takes.
        """
        is_over = threading.Event()

        def run() -> None:
            while not is_over.wait(HEARTBEAT_S):
                for endpoint in [one for one in self.endpoints if not one.is_ended]:
                    self.deployment.announce(endpoint)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, timeout=CALLER_TIMEOUT_S)
        self.addCleanup(is_over.set)

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

    def open_streams_and_kill(self, router: str, *then: Callable[[], object]) -> list[CallerStream]:
        """Open streams at a router, call ``then`` once all have begun, and kill the router."""
        streams = [CallerStream() for _ in range(STREAMS)]

        def kill_router() -> None:
            wait_for(lambda: all(len(one.events) > 3 for one in streams), "no stream has begun")
            for function in then:
                function()
            time.sleep(0.2)
            self.deployment.kill(router)

        reads = [partial(one.read, self.deployment, router) for one in streams]
        run_together([*reads, kill_router])
        return streams

    def take_up(self, streams: list[CallerStream], router: str) -> list[CallerStream]:
        """Let callers take their streams up at a router; return what they get, in order."""
        taken_up = [CallerStream() for _ in streams]

        def read(first: CallerStream, second: CallerStream) -> None:
            second.take_up(first, self.deployment, router)

        run_together([partial(read, *pair) for pair in zip(streams, taken_up, strict=True)])
        return taken_up

    def test_caller_goes_on_at_its_version_after_its_router_was_killed(self) -> None:
        """Guards against a next try, at another router, that goes on at another version."""
        self.open_endpoints("v1", "v2", "v1", "v2")
        self.serve()
        streams = self.open_streams_and_kill("r1")
        self.assertEqual({version for one in streams for version in one.versions}, {"v1", "v2"})
        taken_up = self.take_up(streams, "r2")
        pairs = [(a.versions, b.versions) for a, b in zip(streams, taken_up, strict=True)]
        self.assertEqual([pair for pair in pairs if len(pair[0] | pair[1]) > 1], [])
        went_on = [one for one in taken_up if one.is_complete and one.status == 200]
        self.assertGreater(len(went_on), STREAMS // 2)

    def test_streams_go_on_when_a_release_begins_while_they_are_open(self) -> None:
        """Guards against streams that nobody knows since they began before the second version.

        The router that the callers come to has just started, and their first one is gone.
        """
        self.open_endpoints("v1", "v1")
        self.serve()
        for endpoint in self.endpoints:
            endpoint.interval_s = SLOW_INTERVAL_S

        def release() -> None:
            self.open_endpoints("v2", "v2")
            for endpoint in self.endpoints:
                self.deployment.announce(endpoint)
            self.deployment.kill("r2")
            self.deployment.start("r2")
            self.deployment.wait_served("r2")

        streams = self.open_streams_and_kill("r1", release)
        taken_up = self.take_up(streams, "r2")
        self.assertEqual({version for one in taken_up for version in one.versions}, {"v1"})
        went_on = [one for one in taken_up if one.is_complete and one.status == 200]
        self.assertGreater(len(went_on), STREAMS // 2)

    def test_streams_that_were_taken_up_go_on_when_a_release_begins_and_all_are_killed(
        self,
    ) -> None:
        """Guards against a second take-up that is refused since a release began after the first."""
        self.open_endpoints("v1", "v1")
        self.serve()
        for endpoint in self.endpoints:
            endpoint.interval_s = SLOW_INTERVAL_S
        self.send_heartbeats()
        first = self.open_streams_and_kill("r1")
        self.deployment.start("r1")
        second = [CallerStream() for _ in first]

        def release_and_kill() -> None:
            wait_for(lambda: all(one.events for one in second), "no stream goes on")
            self.open_endpoints("v2", "v2")
            for endpoint in self.endpoints[2:]:
                self.deployment.announce(endpoint)
            wait_for(partial(self.knows_several, "r2"), "r2 does not know the release")
            self.deployment.kill("r2")
            self.deployment.kill("r1")
            self.deployment.start("r1")
            self.deployment.wait_served("r1")

        take_ups = [
            partial(one.take_up, begun, self.deployment, "r2")
            for begun, one in zip(first, second, strict=True)
        ]
        run_together([*take_ups, release_and_kill])
        third = [CallerStream() for _ in first]
        run_together(
            [
                partial(one.take_up, begun, self.deployment, "r1", last=last)
                for begun, last, one in zip(first, second, third, strict=True)
            ]
        )
        self.assertEqual([one.versions for one in third], [{"v1"}] * STREAMS)
        self.assertTrue(all(one.is_complete and one.status == 200 for one in third))

    def knows_several(self, router: str) -> bool:
        registered = [
            event
            for event in self.deployment.read_events(router)
            if event["event"] == "versions_registered"
        ]
        return len(registered[-1]["versions"]) > 1

    def test_streams_do_not_go_on_at_an_address_that_another_version_has_now(self) -> None:
        """Guards against a restarted router that still knows the endpoint that had an address.

        The endpoints end without a departure, others of a newer version have their addresses at
        once, and nothing is announced.
        """
        self.open_endpoints("v1", "v1")
        self.serve()
        self.send_heartbeats()
        successors: list[StreamingEndpoint] = []

        def replace() -> None:
            self.deployment.kill("r2")
            self.deployment.start("r2")
            self.deployment.wait_served("r2")
            for number, endpoint in enumerate(list(self.endpoints), start=1):
                endpoint.end()
                successor = StreamingEndpoint(
                    host=f"{self.deployment.network}.{200 + number}", name="i-new", version="v2"
                )
                self.addCleanup(successor.end)
                successors.append(successor)

        streams = self.open_streams_and_kill("r1", replace)
        taken_up = self.take_up(streams, "r2")
        # A request on a kept connection that the endpoint closes at this moment may have run.
        self.assertLessEqual({one.status for one in taken_up}, {502, 503})
        self.assertIn(503, [one.status for one in taken_up])
        self.assertEqual([one.events for one in taken_up], [[]] * STREAMS)
        self.assertEqual({version for one in streams for version in one.versions}, {"v1"})
        self.assertGreater(sum(one.misdirected for one in successors), 0)

    def test_streams_of_a_version_that_has_left_are_refused_as_not_run(self) -> None:
        """Guards against streams that go on at the version which has replaced their own."""
        self.open_endpoints("v1", "v1")
        self.serve()

        def replace() -> None:
            self.open_endpoints("v2")
            self.deployment.announce(self.endpoints[2])
            for endpoint in self.endpoints[:2]:
                self.deployment.announce(endpoint, "draining")

        streams = self.open_streams_and_kill("r1", replace)
        taken_up = self.take_up(streams, "r2")
        self.assertEqual({one.status for one in taken_up}, {503})
        self.assertTrue(all(b'"ran":"no"' in one.body for one in taken_up))
        self.assertEqual([one.continued for one in self.endpoints], [0, 0, 0])


if __name__ == "__main__":
    unittest.main()
