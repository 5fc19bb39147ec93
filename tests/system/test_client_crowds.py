"""System tests of crowds of clients that don't keep to the limits, at each listener.

The process must live, stay within the memory and the descriptors of its machine, and answer an
ordinary request, while the crowd stays connected and after it has gone. The bounds are those of
the users' machines; bytes that have arrived and were not read count.
"""

import os
import resource
import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Any, ClassVar

from standins.fleet import CALLER_PORT as DAEMON_CALLER_PORT
from standins.fleet import RESOURCE_PORT, TELEMETRY_PORT, Fleet
from tests.system import crowds
from tests.system.crowds import ClientKind, Target, ask, measure, open_crowd
from tests.system.deployment import (
    CALLER_PORT,
    CONTROL_PORT,
    METRICS_PORT,
    READY_PORT,
    Deployment,
    EndpointHandler,
    keep_announced,
    make_config,
    open_deployment,
    open_endpoint,
)
from tests.system.fleets import open_linked_fleet, wait_for

MACHINE_MEMORY_MB = {"r1": 300, "p1": 296}
ROUTER_MEMORY = MACHINE_MEMORY_MB["r1"] * 1000 * 1000
REPLICA_MEMORY = MACHINE_MEMORY_MB["p1"] * 1000 * 1000
MAX_DESCRIPTORS = 4096
# With fewer descriptors, a crowd of silent clients that a test can open uses all of them.
FEW_DESCRIPTORS = 600
MAX_BODY = 4 * crowds.MEBIBYTE
# As the template has it: slots are handed out while the endpoint is busy.
MIN_LOAD = 0.25
SMALL_WINDOW_BYTES = 4096
LONG_TIMEOUT_MS = 15_000
LARGE_ANSWER = b"a" * 1_000_000
# More by hand: CHIVETRACK_TEST_MIXTURES=50.
MIXTURES = int(os.environ.get("CHIVETRACK_TEST_MIXTURES", "1"))
PRESS_S = 3.0
ASK_TIMEOUT_S = 3.0
HEAD_WITH_KEY = (
    b"Host: one.example\r\nX-Chivetrack-Attempt-Id: 5\r\nX-Chivetrack-Deadline-Ms: 3000\r\n"
    b"X-Chivetrack-Key: key\r\n"
)


@contextmanager
def lower_descriptors() -> Iterator[None]:
    """Start processes within the context with few descriptors."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (FEW_DESCRIPTORS, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, 4 * FEW_DESCRIPTORS), hard))


class CrowdTests:
    """The kinds of clients; a subclass opens the process and names its listener."""

    max_memory: ClassVar[int] = ROUTER_MEMORY
    expected: ClassVar[bytes] = b"HTTP/1.1 200"

    def check(self, count: int, make_pieces: Any, receive_buffer: int = 0) -> None:
        """Let a crowd press, and check the bounds and the ordinary requests."""
        target = self.find_target()

        def check_bounds() -> None:
            self.assertIsNone(self.get_process().poll(), "the process has ended")
            held = measure(self.get_process().pid, self.list_ports(), target.address[0])
            self.assertLess(held.memory, self.max_memory)
            self.assertLess(held.descriptors, MAX_DESCRIPTORS)

        kind = ClientKind(count=count, make_pieces=make_pieces, receive_buffer=receive_buffer)
        with open_crowd(kind, target) as crowd:
            crowd.press(for_s=PRESS_S, check=check_bounds)
            self.check_answered("while the crowd stays")
            check_bounds()
        self.check_answered("after the crowd")
        check_bounds()
        type(self).is_sound = True

    def check_answered(self, when: str) -> None:
        target = self.find_ordinary()
        wait_for(
            lambda: ask(target, timeout_s=ASK_TIMEOUT_S).startswith(self.expected),
            f"no ordinary request is answered {when}",
        )

    def test_bodies_that_stop_a_byte_short(self) -> None:
        """Guards against bodies of legal size that exceed the memory together."""
        self.check(120, crowds.send_all_but_a_byte)

    def test_bodies_piece_by_piece(self) -> None:
        """Guards against small pieces whose sum exceeds the memory."""
        self.check(120, crowds.send_in_small_pieces)

    def test_whole_bodies(self) -> None:
        """Guards against legal requests that together exceed the memory."""
        self.check(120, crowds.send_whole)

    def test_large_chunks(self) -> None:
        """Guards against chunked bodies without an end that are held until they time out."""
        self.check(120, crowds.send_large_chunks)

    def test_tiny_chunks(self) -> None:
        """Guards against a reader of chunks that never lets another request run."""
        self.check(60, crowds.send_tiny_chunks)

    def test_mixed_tiny_chunks(self) -> None:
        """Guards against a reader of chunks that never lets another request run."""
        self.check(60, crowds.send_mixed_tiny_chunks)

    def test_announced_far_over(self) -> None:
        """Guards against reading a body that is known to be too large."""
        self.check(60, crowds.announce_far_over)

    def test_sent_far_over(self) -> None:
        """Guards against reading on behind the limit."""
        self.check(120, crowds.send_far_over)

    def test_one_huge_chunk(self) -> None:
        """Guards against a buffer of the announced size of a chunk."""
        self.check(120, crowds.send_one_huge_chunk)

    def test_endless_trailers(self) -> None:
        """Guards against trailers without a limit."""
        self.check(60, crowds.send_trailers)

    def test_extensions(self) -> None:
        """Guards against extensions of chunks that take the whole processor."""
        self.check(60, crowds.send_extensions)

    def test_endless_extension(self) -> None:
        """Guards against an extension without a limit."""
        self.check(60, crowds.send_long_extension)

    def test_heads_without_end(self) -> None:
        """Guards against heads that are held until they time out."""
        self.check(400, crowds.send_head_without_end)

    def test_endless_heads(self) -> None:
        """Guards against header lines without a limit."""
        self.check(60, crowds.send_endless_head)

    def test_answers_unread(self) -> None:
        """Guards against answers that pile up for clients that read none."""
        self.check(200, crowds.send_pipelined)

    def test_all_kinds_at_once(self) -> None:
        """Guards against kinds that are harmless alone and exhaust a process together."""
        for seed in range(MIXTURES):
            with self.subTest(seed=seed):
                self.check(200, crowds.make_mixture(seed))

    def test_connections_without_a_byte(self) -> None:
        """Guards against silent connections that use up the descriptors."""
        self.check(FEW_DESCRIPTORS, crowds.send_nothing)


class LargeAnswers(EndpointHandler):
    """Reads the body in any framing and answers with a large one."""

    def _serve(self, body: bytes) -> None:
        self.send_response(200)
        self.send_header("X-Chivetrack-Server-Seal", "seal")
        self._echo_id()
        self.send_header("Content-Length", str(len(LARGE_ANSWER)))
        self.end_headers()
        self.wfile.write(LARGE_ANSWER)


class DeploymentCase(unittest.TestCase):
    """Shares a replica, a router and an endpoint; they start anew after a failed test."""

    process: ClassVar[str]
    deployment: ClassVar[Deployment | None] = None
    is_sound: ClassVar[bool] = False

    def setUp(self) -> None:
        if not type(self).is_sound:
            type(self).doClassCleanups()
            self.open_deployment()
        type(self).is_sound = False

    @classmethod
    def open_deployment(cls) -> None:
        cls.deployment = cls.enterClassContext(open_deployment(replicas=1, routers=1))
        cls.deployment.min_load = MIN_LOAD
        cls.deployment.memory_mb = MACHINE_MEMORY_MB[cls.process]
        with lower_descriptors():
            cls.deployment.start_all()
        endpoint = cls.enterClassContext(open_endpoint(cls.deployment, 1))
        endpoint.RequestHandlerClass = LargeAnswers
        config = make_config(3)
        config["routes"][0]["timeoutMs"] = LONG_TIMEOUT_MS
        cls.deployment.put(config)
        cls.enterClassContext(keep_announced(cls.deployment, endpoint))
        cls.deployment.wait_served("r1")

    def get_process(self) -> Any:
        return self.deployment.processes[self.process]

    def list_ports(self) -> frozenset[int]:
        return frozenset({CALLER_PORT, CONTROL_PORT, READY_PORT, METRICS_PORT})

    def make_target(self, port: int, line: bytes) -> Target:
        return Target(
            address=(self.deployment.get_host(self.process), port),
            head=line + b" HTTP/1.1\r\n" + HEAD_WITH_KEY,
            max_body=MAX_BODY,
        )

    def find_ordinary(self) -> Target:
        return self.find_target()


class CallersCrowdTest(CrowdTests, DeploymentCase):
    process = "r1"

    def find_target(self) -> Target:
        return self.make_target(CALLER_PORT, b"POST /a/x")

    def test_bodies_that_stop_a_byte_short(self) -> None:
        """Guards as above, and against requests that give way without a line or a count."""
        super().test_bodies_that_stop_a_byte_short()
        lines = self.deployment.read_events(self.process)
        told = [one for one in lines if one.get("event") == "connections_gave_way"]
        self.assertGreater(sum(one["gave_way"] for one in told), 0)
        metrics = f"http://{self.deployment.get_host(self.process)}:{METRICS_PORT}/metrics"
        _, text = self.deployment.send_request("GET", metrics)
        self.assertIn(b"chivetrack_instance_connections_gave_way", text)

    def test_single_legal_requests_in_calm(self) -> None:
        """Guards against the refusal of a body inside the limits, in any framing."""
        patient = HEAD_WITH_KEY.replace(b"3000", b"%d" % LONG_TIMEOUT_MS)
        target = replace(self.find_target(), head=b"POST /a/x HTTP/1.1\r\n" + patient)
        for send in (
            crowds.send_whole,
            crowds.send_all_but_a_byte,
            crowds.send_in_small_pieces,
            crowds.send_large_chunks,
            crowds.send_tiny_chunks,
            crowds.send_mixed_tiny_chunks,
        ):
            with self.subTest(send.__name__):
                self.assertTrue(crowds.send_to_its_end(target, send).startswith(self.expected))
        type(self).is_sound = True

    def test_crowds_one_after_the_other(self) -> None:
        """Guards against bodies that stay in memory after their requests."""
        self.check(120, crowds.send_whole)
        self.check(120, crowds.send_far_over)

    def test_answers_unread_through_small_windows(self) -> None:
        """Guards against callers that read no answer and so hold the slots of an endpoint."""
        self.check(200, crowds.send_one_request, SMALL_WINDOW_BYTES)


class ReadinessCrowdTest(CrowdTests, DeploymentCase):
    process = "r1"

    def find_target(self) -> Target:
        return self.make_target(READY_PORT, b"GET /ready")


class RouterMetricsCrowdTest(CrowdTests, DeploymentCase):
    process = "r1"

    def find_target(self) -> Target:
        return self.make_target(METRICS_PORT, b"GET /metrics")


class ControlCrowdTest(CrowdTests, DeploymentCase):
    process = "p1"
    max_memory = REPLICA_MEMORY

    def find_target(self) -> Target:
        return self.make_target(CONTROL_PORT, b"PUT /config")

    def find_ordinary(self) -> Target:
        return self.make_target(CONTROL_PORT, b"GET /config")

    def test_whole_configurations(self) -> None:
        """Guards against configurations that take many times their size while they are decoded."""
        self.check(60, crowds.send_whole_configurations)


class HeartbeatCrowdTest(CrowdTests, DeploymentCase):
    process = "p1"
    max_memory = REPLICA_MEMORY

    def find_target(self) -> Target:
        return self.make_target(CONTROL_PORT, b"PUT /instances/i-9")

    def find_ordinary(self) -> Target:
        return self.make_target(CONTROL_PORT, b"GET /config")


class DaemonCase(unittest.TestCase):
    """Shares one chivetrackd; it starts anew after a failed test."""

    fleet: ClassVar[Fleet | None] = None
    is_sound: ClassVar[bool] = False
    port: ClassVar[int]
    line: ClassVar[bytes]

    def setUp(self) -> None:
        if not type(self).is_sound:
            type(self).doClassCleanups()
            with lower_descriptors():
                fleet = type(self).enterClassContext(open_linked_fleet(instances=1, replicas=1))
            type(self).fleet = fleet
        type(self).is_sound = False

    def _get_member(self) -> Any:
        (plan,) = self.fleet.plans
        return self.fleet.members[plan.name]

    def get_process(self) -> Any:
        return self._get_member().process

    def list_ports(self) -> frozenset[int]:
        return frozenset({DAEMON_CALLER_PORT, RESOURCE_PORT, TELEMETRY_PORT})

    def find_target(self) -> Target:
        keys = b"Host: x\r\nAuthorization: Bearer %b\r\n" % self.fleet.operator_key.encode()
        return Target(
            address=(self._get_member().host, self.port),
            head=self.line + b" HTTP/1.1\r\n" + keys,
            max_body=MAX_BODY,
        )

    def find_ordinary(self) -> Target:
        member = self._get_member()
        return Target(
            address=(member.host, DAEMON_CALLER_PORT),
            head=b"GET /healthz HTTP/1.1\r\nHost: x\r\n",
            max_body=MAX_BODY,
        )


class DaemonCallersCrowdTest(CrowdTests, DaemonCase):
    port = DAEMON_CALLER_PORT
    line = b"POST /v1/chat/completions"


class DaemonResourcesCrowdTest(CrowdTests, DaemonCase):
    port = RESOURCE_PORT
    line = b"POST /api/v1/workspace"


class DaemonManagementCrowdTest(CrowdTests, DaemonCase):
    port = RESOURCE_PORT
    line = b"POST /api/v1/replicas"


class DaemonTelemetryCrowdTest(CrowdTests, DaemonCase):
    port = TELEMETRY_PORT
    line = b"GET /metrics"


if __name__ == "__main__":
    unittest.main()
