"""Tests of requests that reach a router while it decides to exit, over loopback."""

import contextlib
import json
import os
import re
import socket
import subprocess
import sys
import threading
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from tests.daemon.fleet.scripted import SEAL, ScriptedEndpoint
from tests.system.deployment import CALLER_PORT, PEER_PORT, READY_PORT
from tests.system.fleets import wait_for

LIMIT_S = 20.0
EVENT = b"id: 1\ndata: token\n\n"
LAST_CHUNK = b"0\r\n\r\n"


def make_settings(host: str, stop_within_s: float) -> str:
    return f"""
[process]
name = "r1"
role = "router"
availability_zone = "z1"
[listeners]
peer = "{host}:{PEER_PORT}"
callers = "{host}:{CALLER_PORT}"
ready = "{host}:{READY_PORT}"
[fleet]
seeds = ["{host}:1"]
[bounds]
stop_within_s = {stop_within_s}
"""


def make_configuration() -> dict[str, Any]:
    kinds = {"/a/": "non_idempotent", "/s/": "stream"}
    return {
        "version": 1,
        "routes": [
            {
                "name": kind,
                "hostname": "one.example",
                "pathPrefix": prefix,
                "kind": kind,
                "timeoutMs": 15_000,
                "service": "portal",
                "public": True,
            }
            for prefix, kind in kinds.items()
        ],
        "services": [{"name": "portal"}],
    }


def make_stream_begin(request_id: str) -> bytes:
    """Return the head and the first event of an endpoint's answer."""
    lines = ["HTTP/1.1 200 OK", SEAL, f"X-Chivetrack-Attempt-Id: {request_id}"]
    head = "\r\n".join([*lines, "Transfer-Encoding: chunked"]).encode()
    return head + b"\r\n\r\n%x\r\n%b\r\n" % (len(EVENT), EVENT)


def make_request(request_id: str, path: str = "/a/x", wait_ms: int = 2000) -> bytes:
    """Return a request that a stopping router accepts late, since it times out before the exit."""
    lines = [f"POST {path} HTTP/1.1", "Host: one.example", "Content-Length: 4"]
    lines += [f"X-Chivetrack-Attempt-Id: {request_id}", f"X-Chivetrack-Deadline-Ms: {wait_ms}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\nbody"


class RouterExitCase(unittest.TestCase):
    """Runs a router in a process that blocks its thread at the decision to exit."""

    def start(self, *scripts: Any, stop_within_s: float) -> None:
        self.endpoint = ScriptedEndpoint(*scripts)
        self.addCleanup(self.endpoint.stop)
        folder = Path(self.enterContext(TemporaryDirectory(prefix="chivetrack-")))
        pid = os.getpid()
        self.host = f"127.{210 + (pid >> 8) % 40}.{pid % 256}.2"
        settings, configuration, self.log = (folder / name for name in ("s.toml", "c.json", "log"))
        settings.write_text(make_settings(self.host, stop_within_s))
        configuration.write_text(json.dumps(make_configuration()))
        command = [sys.executable, "-m", "tests.daemon.fleet.held_router", str(settings)]
        command += [str(configuration), self.endpoint.address, str(self.log)]
        self.process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self.addCleanup(self.end_process)
        wait_for(self.has_started, "the router does not start")

    def end_process(self) -> None:
        self.process.kill()
        self.process.communicate()

    def has_started(self) -> bool:
        return bool(self.find_events("started"))

    def read_events(self) -> list[dict[str, Any]]:
        if not self.log.exists():
            return []
        return [json.loads(line) for line in self.log.read_text().splitlines(keepends=True)]

    def find_events(self, name: str) -> list[dict[str, Any]]:
        return [event for event in self.read_events() if event["event"] == name]

    def connect(self, data: bytes = b"") -> socket.socket:
        connection = socket.create_connection((self.host, CALLER_PORT), timeout=LIMIT_S)
        self.addCleanup(connection.close)
        connection.sendall(data)
        return connection

    def await_decision(self) -> None:
        """Wait until the router has decided to exit; it holds still from then on."""
        assert self.process.stdout is not None
        self.assertEqual(self.process.stdout.readline(), b"held\n")

    def go_on(self) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(b"\n")
        self.process.stdin.flush()

    def list_passed_on(self) -> list[str]:
        """Return the ids of the requests that the endpoint has received, in order of the id."""
        pattern = re.compile(rb"(?i)x-chivetrack-attempt-id: (\S+)")
        found = (pattern.search(request) for request in self.endpoint.requests)
        return sorted(match[1].decode() for match in found if match)

    @staticmethod
    def receive_until(connection: socket.socket, end: bytes) -> bytes:
        data = b""
        while not data.endswith(end) and (more := connection.recv(65536)):
            data += more
        return data

    @staticmethod
    def receive(connection: socket.socket) -> bytes:
        """Return what a caller receives until the end or a reset of its connection."""
        data = b""
        with connection, contextlib.suppress(ConnectionError):
            while more := connection.recv(65536):
                data += more
        return data

    def describe(self, connection: socket.socket) -> tuple[int, str, str]:
        """Return status, code and statement on whether it ran of the answer to a request."""
        head, _, body = self.receive(connection).partition(b"\r\n\r\n")
        if not head:
            return (0, "", "")
        error = json.loads(body)["error"]
        return (int(head.split()[1]), error["code"], error["ran"])


class LateRequestTest(RouterExitCase):
    def test_request_after_the_decision_to_exit_is_refused(self) -> None:
        """Guards against a request that is passed on by an exiting router and gets no answer."""
        ends_stream = threading.Event()

        def stream(connection: socket.socket) -> None:
            connection.sendall(make_stream_begin("stream"))
            ends_stream.wait(LIMIT_S)
            connection.sendall(LAST_CHUNK)

        late = [lambda connection: ends_stream.wait(LIMIT_S)] * 4
        self.start(stream, *late, stop_within_s=8.0)
        callers = {"kept": self.connect(make_request("stream", "/s/x", 15_000))}
        self.receive_until(callers["kept"], EVENT + b"\r\n")
        witness = self.connect()
        self.process.terminate()
        self.assertEqual(witness.recv(1), b"")
        ends_stream.set()
        self.receive_until(callers["kept"], LAST_CHUNK)
        ends_stream.clear()
        callers["idle"] = self.connect()
        half = len(make_request("partial")) // 2
        callers["partial"] = self.connect(make_request("partial")[:half])
        callers["incomplete"] = self.connect(make_request("incomplete")[:half])
        self.await_decision()
        callers["queued"] = self.connect(make_request("queued"))
        callers["idle"].sendall(make_request("idle"))
        callers["kept"].sendall(make_request("kept"))
        callers["partial"].sendall(make_request("partial")[half:])
        self.go_on()
        answers = {name: self.describe(caller) for name, caller in callers.items()}
        self.assertEqual(self.list_passed_on(), ["stream"])
        self.assertEqual(answers, dict.fromkeys(callers, (503, "instance_stopping", "no")))
        self.assertEqual(self.process.wait(LIMIT_S), 0)
        refused = ["idle", "kept", "partial", "queued"]
        rejected = self.find_events("request_rejected")
        self.assertEqual(sorted(event["request"] for event in rejected), refused)
        self.assertGreater(min(event["came_after_stop_ms"] for event in rejected), 0)
        (decided,), (stopped,) = self.find_events("exit_decided"), self.find_events("stopped")
        self.assertEqual((decided["open"], stopped["cut"], stopped["refused"]), (0, 0, 4))
        self.assertEqual(stopped["connections_left"], 0)


class OpenRequestTest(RouterExitCase):
    def test_request_open_at_the_end_of_the_stop_is_answered(self) -> None:
        """Guards against the close of connections whose requests are open at the exit."""
        ends = threading.Event()
        self.addCleanup(ends.set)

        def stream(connection: socket.socket) -> None:
            connection.sendall(make_stream_begin("begun"))
            ends.wait(LIMIT_S)

        self.start(stream, lambda connection: ends.wait(LIMIT_S), stop_within_s=2.0)
        begun = self.connect(make_request("begun", "/s/x", 15_000))
        self.receive_until(begun, EVENT + b"\r\n")
        sent = self.connect(make_request("sent", "/a/x", 15_000))
        reading = self.connect(make_request("reading", "/a/x", 15_000)[:-2])
        wait_for(lambda: len(self.endpoint.requests) == 2, "the endpoint has not both requests")
        self.process.terminate()
        self.await_decision()
        self.go_on()
        self.assertEqual(self.describe(sent), (502, "instance_stopping", "maybe"))
        self.assertEqual(self.describe(reading), (503, "instance_stopping", "no"))
        self.assertEqual(self.receive(begun), b"")
        self.assertEqual(self.process.wait(LIMIT_S), 2)
        ended = {event["request"]: event for event in self.find_events("request_ended")}
        ends_logged = {name: (one["outcome"], one["status"]) for name, one in ended.items()}
        self.assertEqual(ends_logged, {"sent": ("cut_by_stop", 502), "begun": ("cut_by_stop", 200)})
        (rejected,) = self.find_events("request_rejected")
        self.assertEqual((rejected["request"], rejected["code"]), ("reading", "instance_stopping"))
        (decided,), (stopped,) = self.find_events("exit_decided"), self.find_events("stopped")
        self.assertEqual((decided["open"], stopped["cut"], stopped["refused"]), (3, 2, 1))


if __name__ == "__main__":
    unittest.main()
