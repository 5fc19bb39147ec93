"""System tests of the exit of a replica: what its callers were promised, they get."""

import contextlib
import json
import random
import signal
import socket
import time
import unittest
from typing import Any

from chivetrack.components.distribution.messages import DocumentSent, FetchDocument
from chivetrack.components.peers.frames import FrameReader, Hello, encode_frame
from chivetrack.components.slow_start.messages import PermitRequest
from chivetrack.helpers.codec import get_kind, pack
from tests.system.deployment import (
    CONTROL_PORT,
    METRICS_PORT,
    PEER_PORT,
    Deployment,
    make_config,
    open_deployment,
)
from tests.system.fleets import wait_for

LARGE_ROUTES = 20_000
SMALL_BUFFER_BYTES = 4096
EXIT_TIMEOUT_S = 20.0
LAST_METRIC = b"chivetrack_replica_link_congested"


class ExitCase(unittest.TestCase):
    """Starts replicas with a configuration, and sends calls over sockets of its own."""

    def open(self, *, config: dict[str, Any] | None = None) -> tuple[Deployment, str]:
        """Return replicas that have committed a configuration, and the name of a follower."""
        deployment = self.enterContext(open_deployment(replicas=3, routers=0))
        deployment.start_all()
        deployment.put(config or make_config(3))
        leader = deployment.find_leader()
        return deployment, next(one for one in deployment.list_names("p") if one != leader)

    def connect(
        self, deployment: Deployment, name: str, *, port: int = CONTROL_PORT
    ) -> socket.socket:
        """Return a connection to a listener of a replica, with a small receive buffer."""
        opened = socket.socket()
        self.addCleanup(opened.close)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        opened.settimeout(EXIT_TIMEOUT_S)
        opened.connect((deployment.get_host(name), port))
        return opened

    @staticmethod
    def read_answer(opened: socket.socket) -> tuple[int, bytes]:
        """Return status and body of the answer up to the end of the stream; status 0 is none."""
        received = b""
        while data := opened.recv(65536):
            received += data
        head, _, body = received.partition(b"\r\n\r\n")
        return (int(head.split()[1]) if head else 0, body)

    @staticmethod
    def find_events(deployment: Deployment, name: str, event: str) -> list[dict[str, Any]]:
        """Return the events of a replica that have the name ``event``."""
        return [one for one in deployment.read_events(name) if one.get("event") == event]


class AnswerTest(ExitCase):
    def test_document_is_sent_whole_to_a_slow_reader(self) -> None:
        """Guards against an answer that is cut since its call is over before it is sent."""
        prefixes = [f"/a{number}/" for number in range(LARGE_ROUTES)]
        deployment, name = self.open(config=make_config(3, *prefixes))
        reader = self.connect(deployment, name)
        reader.sendall(b"GET /config HTTP/1.1\r\nHost: replica\r\n\r\n")
        time.sleep(0.5)
        process = deployment.begin_stop(name)
        time.sleep(0.7)
        status, body = self.read_answer(reader)
        self.assertEqual(process.wait(EXIT_TIMEOUT_S), 0)
        self.assertEqual(status, 200)
        self.assertEqual(len(json.loads(body)["routes"]), LARGE_ROUTES)

    def test_call_that_is_half_sent_is_refused(self) -> None:
        """Guards against a call that gets no answer since the exit comes while it is sent."""
        deployment, name = self.open()
        caller = self.connect(deployment, name)
        caller.sendall(b"GET /config HTTP/1.1\r\nHost: ")
        time.sleep(0.2)
        process = deployment.begin_stop(name)
        time.sleep(0.5)
        caller.sendall(b"replica\r\n\r\n")
        status, body = self.read_answer(caller)
        self.assertEqual(process.wait(EXIT_TIMEOUT_S), 0)
        self.assertEqual((status, json.loads(body)["error"]), (503, "stopping"))
        (refused,) = self.find_events(deployment, name, "call_refused")
        self.assertEqual((refused["method"], refused["path"]), ("GET", "/config"))
        (stopped,) = self.find_events(deployment, name, "stopped")
        counts = (stopped["cut"], stopped["refused"], stopped["connections_left"])
        self.assertEqual(counts, (0, 1, 0))

    def test_further_signals_do_not_cut_the_stop(self) -> None:
        """Guards against a second SIGTERM, or a reload, that ends a stop early."""
        deployment, name = self.open()
        caller = self.connect(deployment, name)
        caller.sendall(b"GET /config HTTP/1.1\r\nHost: ")
        time.sleep(0.2)
        process = deployment.begin_stop(name)
        for number in (signal.SIGHUP, signal.SIGTERM):
            time.sleep(0.2)
            process.send_signal(number)
        caller.sendall(b"replica\r\n\r\n")
        self.assertEqual(self.read_answer(caller)[0], 503)
        self.assertEqual(process.wait(EXIT_TIMEOUT_S), 0)

    def test_metrics_are_sent_whole(self) -> None:
        """Guards against a reading of the metrics that the exit cuts."""
        deployment, name = self.open()
        reader = self.connect(deployment, name, port=METRICS_PORT)
        reader.sendall(b"GET /metrics HTTP/1.1\r\nHost: ")
        time.sleep(0.2)
        process = deployment.begin_stop(name)
        time.sleep(0.5)
        with contextlib.suppress(OSError):
            reader.sendall(b"replica\r\n\r\n")
        status, body = self.read_answer(reader)
        applied = self.find_events(deployment, name, "configuration_applied")
        self.assertEqual(process.wait(EXIT_TIMEOUT_S), 0)
        self.assertEqual(status, 200)
        self.assertIn(LAST_METRIC, body.splitlines()[-1], "the answer is cut")
        self.assertEqual(len(applied), 1, "the follower has not applied the configuration")
        self.assertIn(b"configuration_applied", body)


class LateBodyTest(ExitCase):
    def begin_change(self, deployment: Deployment, name: str) -> tuple[socket.socket, bytes]:
        """Send a change without its last byte; return the connection and that byte."""
        body = json.dumps(make_config(4)).encode()
        caller = self.connect(deployment, name)
        head = f"PUT /config HTTP/1.1\r\nHost: replica\r\nContent-Length: {len(body)}\r\n\r\n"
        caller.sendall(head.encode() + body[:-1])
        time.sleep(0.2)
        return caller, body[-1:]

    def send_late(self, after_s: float) -> tuple[int, str | None, int]:
        """Send a change's last byte after SIGTERM; return status, error, version in force.

        The other replicas are frozen then, so that a change waits for longer than the exit.
        """
        deployment, name = self.open()
        caller, last_byte = self.begin_change(deployment, name)
        others = [deployment.processes[one] for one in deployment.list_names("p") if one != name]
        process = deployment.begin_stop(name)
        time.sleep(after_s)
        for other in others:
            other.send_signal(signal.SIGSTOP)
        with contextlib.suppress(OSError):
            caller.sendall(last_byte)
        status, body = self.read_answer(caller)
        process.wait(EXIT_TIMEOUT_S)
        for other in others:
            other.send_signal(signal.SIGCONT)
        time.sleep(2.0)
        return (status, json.loads(body or b"{}").get("error"), deployment.read())

    def test_change_that_arrives_during_the_stop_is_not_made(self) -> None:
        """Guards against a change that is committed and whose operator is cut by the exit."""
        self.assertEqual(self.send_late(0.6), (503, "stopping", 3))

    def test_change_that_arrives_before_the_exit_is_not_made(self) -> None:
        """Guards against a change that is committed and whose operator is cut by the exit."""
        self.assertEqual(self.send_late(1.6), (503, "incomplete_body", 3))

    def test_call_whose_body_does_not_end_is_refused(self) -> None:
        """Guards against a call that gets no answer since its body is on its way."""
        deployment, name = self.open()
        caller, _ = self.begin_change(deployment, name)
        process = deployment.begin_stop(name)
        status, body = self.read_answer(caller)
        error = json.loads(body or b"{}").get("error")
        self.assertEqual((status, error), (503, "incomplete_body"))
        self.assertEqual(process.wait(EXIT_TIMEOUT_S), 0)


class SentMessageTest(ExitCase):
    def test_message_reaches_an_instance_on_a_slow_link(self) -> None:
        """Guards against a message that is lost since its link is slower than the exit."""
        prefixes = [f"/{random.getrandbits(256):x}/" for _ in range(LARGE_ROUTES)]
        deployment, name = self.open(config=make_config(3, *prefixes))
        # The configuration is acknowledged once a majority has it, maybe without this follower.
        wait_for(
            lambda: self.find_events(deployment, name, "configuration_applied"),
            "the follower has the document",
        )
        peer = self.connect(deployment, name, port=PEER_PORT)
        hello = Hello(f"{deployment.network}.250:{PEER_PORT}")
        peer.sendall(encode_frame([pack(hello)]) + encode_frame([pack(FetchDocument(0))]))
        time.sleep(1.0)
        process = deployment.begin_stop(name)
        time.sleep(0.7)
        peer.sendall(encode_frame([pack(PermitRequest(1, "i-1", 1.0))]))
        reader = FrameReader()
        kinds: list[str] = []
        with contextlib.suppress(ConnectionError):
            while data := peer.recv(65536):
                kinds += [kind for kind, _ in reader.feed(data)]
        self.assertIn(get_kind(DocumentSent(0, b"")), kinds)
        self.assertEqual(process.wait(EXIT_TIMEOUT_S), 0)


if __name__ == "__main__":
    unittest.main()
