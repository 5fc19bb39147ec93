"""Endpoints that end some answers in their head, and callers that check what they get."""

import http.client
import random
import threading
import time
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from tests.system.deployment import (
    CALLER_PORT,
    Deployment,
    Endpoint,
    EndpointHandler,
    make_config,
    open_deployment,
)
from tests.system.streams import run_together

SEED = 66
CUT_SHARE = 0.2
ENDPOINTS = 3
CALLERS = 8
PLAY_S = 6.0
EVENTS = 12
EVENT_INTERVAL_S = 0.01
CALL_TIMEOUT_S = 8.0
PREFIXES = {"/plain/": "idempotent", "/once/": "non_idempotent", "/s/": "stream"}
FINAL_STATUSES = (200, 502, 503, 504)


def make_body(attempt: str) -> bytes:
    """Return the whole body of an answer that is no stream."""
    return b"answer to %b;" % attempt.encode() * 20


def make_events(attempt: str) -> list[bytes]:
    """Return the events of a stream."""
    return [b"id: %d\ndata: %b\n\n" % (one, attempt.encode()) for one in range(1, EVENTS + 1)]


def make_seal(attempt: str) -> str:
    """Return the seal of an answer, so that a part of it is no seal."""
    return f"{attempt}.{'0' * 16}.end"


class CutHeadHandler(EndpointHandler):
    """Ends some answers with a close at a random byte of their head."""

    server: "CuttingEndpoint"

    def _serve(self, body: bytes) -> None:
        attempt = self.headers.get("X-Chivetrack-Attempt-Id", "")
        is_stream = self.path.startswith("/s/")
        whole = make_body(attempt)
        lines = [
            f"X-Chivetrack-Server-Seal: {make_seal(attempt)}",
            f"X-Chivetrack-Attempt-Id: {attempt}",
            "Transfer-Encoding: chunked" if is_stream else f"Content-Length: {len(whole)}",
        ]
        self.server.random.shuffle(lines)
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines]).encode() + b"\r\n\r\n"
        if self.server.random.random() < self.server.cut_share:
            self.server.cut_count += 1
            self.wfile.write(head[: self.server.random.randrange(len(head))])
            self.close_connection = True
            return
        self.wfile.write(head if is_stream else head + whole)
        if is_stream:
            self._stream(make_events(attempt), int(self.headers.get("Last-Event-Id", "0")))

    def _stream(self, events: list[bytes], last_id: int) -> None:
        for event in events[last_id:]:
            self.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
            time.sleep(EVENT_INTERVAL_S)
        self.wfile.write(b"0\r\n\r\n")


class CuttingEndpoint(Endpoint):
    """An endpoint that ends ``cut_share`` of its answers in their head."""

    def __init__(self, *, host: str, name: str, seed: int) -> None:
        """Listen on ``host``."""
        self.random = random.Random(seed)
        self.cut_share = 0.0
        self.cut_count = 0
        super().__init__(host=host, name=name, service="portal", handler=CutHeadHandler)


@dataclass(slots=True)
class Received:
    """What a caller got of one answer."""

    path: str
    attempt: str
    status: int = 0
    seal: str = ""
    body: bytes = b""
    is_complete: bool = False

    @property
    def is_sound(self) -> bool:
        """Return whether this is the whole answer of a server, or no success."""
        if self.status != 200 or not self.is_complete:
            return True
        is_stream = self.path.startswith("/s/")
        whole = b"".join(make_events(self.attempt)) if is_stream else make_body(self.attempt)
        return self.seal == make_seal(self.attempt) and self.body == whole


@dataclass(slots=True)
class Callers:
    """Callers that send requests of all kinds one after the other."""

    deployment: Deployment
    received: list[Received] = field(default_factory=list)

    def call(self, number: int, ends_at: float) -> None:
        """Send requests until ``ends_at`` (s, monotonic)."""
        chooser = random.Random(SEED + number)
        while time.monotonic() < ends_at:
            router = f"r{1 + number % self.deployment.routers}"
            attempt = f"{chooser.getrandbits(64):016x}"
            self.received.append(self.send(router, chooser.choice(list(PREFIXES)) + "x", attempt))

    def send(self, router: str, path: str, attempt: str) -> Received:
        """Send one request and read what comes."""
        one = Received(path, attempt)
        connection = http.client.HTTPConnection(
            self.deployment.get_host(router), CALLER_PORT, timeout=CALL_TIMEOUT_S
        )
        headers = {
            "Host": "one.example",
            "X-Chivetrack-Attempt-Id": attempt,
            "X-Chivetrack-Deadline-Ms": "5000",
            "X-Chivetrack-Key": "key",
        }
        try:
            connection.request("POST", path, b"body", headers)
            response = connection.getresponse()
            one.status = response.status
            one.seal = response.headers.get("X-Chivetrack-Server-Seal", "")
            while chunk := response.read1():
                one.body += chunk
            one.is_complete = not response.length
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        return one


def make_document() -> dict[str, Any]:
    """Return a configuration with a route of each kind."""
    document = make_config(3, *PREFIXES)
    for route in document["routes"]:
        kind = PREFIXES[route["pathPrefix"]]
        route.update(kind=kind, timeoutMs=5000)
        if kind != "non_idempotent":
            route["maxAttempts"] = 2
        if kind == "stream":
            route["resumable"] = True
    return document


class CutHeadsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.deployment = self.enterContext(open_deployment(replicas=3, routers=2))
        self.deployment.start_all()
        self.endpoints = [self.open_endpoint(number) for number in range(1, ENDPOINTS + 1)]
        self.deployment.put(make_document())
        beats = threading.Event()
        self.addCleanup(beats.set)
        threading.Thread(target=self.send_beats, args=(beats,), daemon=True).start()
        for router in self.deployment.list_names("r"):
            self.deployment.wait_served(router, "/plain/x")

    def open_endpoint(self, number: int) -> CuttingEndpoint:
        host = f"{self.deployment.network}.{200 + number}"
        endpoint = CuttingEndpoint(host=host, name=f"i-{number}", seed=SEED + number)
        self.addCleanup(endpoint.server_close)
        self.addCleanup(endpoint.shutdown)
        return endpoint

    def send_beats(self, ended: threading.Event) -> None:
        while not ended.wait(1.0):
            for endpoint in self.endpoints:
                self.deployment.announce(endpoint)

    def is_read(self, one: Received) -> bool:
        """Return whether a router has read a request; one that is late closes some unread."""
        return any(
            event.get("request") == one.attempt
            for router in self.deployment.list_names("r")
            for event in self.deployment.read_events(router)
        )

    def play(self, cut_share: float) -> list[Received]:
        for endpoint in self.endpoints:
            endpoint.cut_share = cut_share
        callers = Callers(self.deployment)
        ends_at = time.monotonic() + PLAY_S
        calls: list[Callable[[], None]] = [
            partial(callers.call, number, ends_at) for number in range(CALLERS)
        ]
        run_together(calls)
        return callers.received

    def test_answer_that_ends_in_its_head_is_no_success(self) -> None:
        """Guards against an answer cut in its head that callers get as a whole one."""
        received = self.play(CUT_SHARE)
        self.assertGreater(sum(one.cut_count for one in self.endpoints), 50)
        self.assertGreater(sum(one.status == 200 for one in received), 200)
        wrong = [one for one in received if not one.is_sound]
        self.assertEqual(wrong[:3], [], f"{len(wrong)} of {len(received)} answers")
        unanswered = [one for one in received if one.status not in FINAL_STATUSES]
        self.assertEqual([one for one in unanswered if one.status or self.is_read(one)], [])


if __name__ == "__main__":
    unittest.main()
