"""Endpoints of several software versions that stream, and callers that take streams up again."""

import contextlib
import http.client
import random
import re
import socket
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from tests.system.deployment import CALLER_PORT, Deployment, Endpoint, EndpointHandler, make_config

STREAM_PREFIX = "/s/"
EVENTS = 40
EVENT_INTERVAL_S = 0.05
CALLER_TIMEOUT_S = 10.0
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


class StreamHandler(EndpointHandler):
    """Streams events that name the software version, from the event after ``Last-Event-Id`` on."""

    server: "StreamingEndpoint"

    def _serve(self, body: bytes) -> None:
        if not self.path.startswith(STREAM_PREFIX):
            super()._serve(body)
            return
        self.server.seen.append((self.path, dict(self.headers.items())))
        if self.headers.get("X-Chivetrack-Expect-Instance", self.server.name) != self.server.name:
            self._send_misdirected()
            return
        first = int(self.headers.get("Last-Event-Id", "0")) + 1
        self.send_response(200)
        self.send_header("X-Chivetrack-Server-Seal", "seal")
        self.send_header("X-Chivetrack-Attempt-Id", self.headers["X-Chivetrack-Attempt-Id"])
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for number in range(first, EVENTS + 1):
            if self.server.is_ended:
                self.close_connection = True
                return
            if first == 1 and number == self.server.breaks_after + 1:
                self.close_connection = True
                return
            self._write_chunk(b"id: %d\ndata: %b\n\n" % (number, self.server.version.encode()))
            time.sleep(self.server.interval_s)
        self._write_chunk(b"")

    def _send_misdirected(self) -> None:
        self.server.misdirected += 1
        self.send_response(421)
        self._echo_id()
        self.send_header("X-Chivetrack-Not-Executed", "1")
        self.send_header("Content-Length", "0")
        self.end_headers()

    def _write_chunk(self, data: bytes) -> None:
        self.wfile.write(b"%x\r\n%b\r\n" % (len(data), data))


class StreamingEndpoint(Endpoint):
    """An endpoint of a given software version.

    After the event ``breaks_after`` it breaks off the streams that it has begun. It does not run
    requests that are meant for another endpoint (``misdirected``).
    """

    def __init__(self, *, host: str, name: str, version: str) -> None:
        """Listen on ``host``."""
        self.breaks_after = -1
        self.interval_s = EVENT_INTERVAL_S
        self.misdirected = 0
        self.is_ended = False
        self._connections: set[socket.socket] = set()
        super().__init__(host=host, name=name, service="portal", handler=StreamHandler)
        self.version = version

    def process_request(self, request: Any, client_address: Any) -> None:
        """Keep the connection, so that ``end`` can close it."""
        self._connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        """Close a connection that has ended."""
        self._connections.discard(request)
        super().shutdown_request(request)

    def end(self) -> None:
        """End as a process does: all connections close, and the address is free."""
        self.is_ended = True
        self.shutdown()
        self.server_close()
        for connection in list(self._connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    @property
    def continued(self) -> int:
        """Return how many requests came that continue a stream."""
        return sum("Last-Event-Id" in headers for _, headers in self.seen)


@dataclass(slots=True, kw_only=True)
class CallerStream:
    """A caller's request for a stream, and what it got.

    ``events`` are the numbers and versions of the events, ``is_complete`` whether the answer ended
    as complete.
    """

    attempt: str = field(default_factory=lambda: f"{random.getrandbits(64):016x}")
    status: int = 0
    retry_after: str | None = None
    body: bytes = b""
    events: list[tuple[int, str]] = field(default_factory=list)
    is_complete: bool = False

    @property
    def versions(self) -> set[str]:
        """Return the versions that made the events."""
        return {version for _, version in self.events}

    def read(self, deployment: Deployment, router: str, **headers: str) -> "CallerStream":
        """Request the stream and read it until it ends or breaks off."""
        connection = http.client.HTTPConnection(
            deployment.get_host(router), CALLER_PORT, timeout=CALLER_TIMEOUT_S
        )
        lines = {
            "Host": "one.example",
            "X-Chivetrack-Attempt-Id": self.attempt,
            "X-Chivetrack-Deadline-Ms": "15000",
            "X-Chivetrack-Key": "key",
            **headers,
        }
        try:
            connection.request("POST", f"{STREAM_PREFIX}x", b"body", lines)
            response = connection.getresponse()
            self.status = response.status
            self.retry_after = response.headers["Retry-After"]
            self._read_events(response)
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        return self

    def _read_events(self, response: http.client.HTTPResponse) -> None:
        while chunk := response.read1():
            self.body += chunk
            found = _EVENT.findall(self.body)
            self.events = [(int(number), version.decode()) for number, version in found]
        self.is_complete = True

    def take_up(
        self,
        first: "CallerStream",
        deployment: Deployment,
        router: str,
        *,
        last: "CallerStream | None" = None,
    ) -> None:
        """Request the rest of a stream that ``first`` began, and read it.

        ``last`` brought the newest event if ``first`` did not.
        """
        last_id = str((last or first).events[-1][0])
        headers = {"Last-Event-Id": last_id, "Resumes": first.attempt}
        self.read(deployment, router, **headers)


def run_together(functions: Sequence[Any]) -> None:
    """Call functions in threads of their own and wait for them."""
    threads = [threading.Thread(target=function, daemon=True) for function in functions]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(timeout=2 * CALLER_TIMEOUT_S)


def make_stream_config(version: int = 3) -> dict[str, Any]:
    """Return a configuration with a resumable stream route beside the plain one."""
    document = make_config(version)
    plain = document["routes"][0]
    stream = {
        **plain,
        "name": "streams",
        "pathPrefix": STREAM_PREFIX,
        "kind": "stream",
        "timeoutMs": 15000,
        "targetLatencyMs": 400,
        "maxAttempts": 2,
        "resumable": True,
    }
    document["routes"].append(stream)
    return document
