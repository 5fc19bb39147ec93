"""Endpoints that crash on given bodies or parts of prompts, and restart with a new id."""

import contextlib
import socket
import threading
import time
from collections.abc import Iterator
from collections.abc import Set as AbstractSet
from contextlib import contextmanager
from typing import Any

from tests.system.deployment import Deployment, Endpoint, EndpointHandler

RESTART_DELAY_S = 1.6
HEARTBEAT_S = 0.5


class _Incarnation(Endpoint):
    """One incarnation of the endpoint's process; a crash closes all its connections."""

    allow_reuse_address = True

    def __init__(self, *, host: str, name: str, service: str, owner: "CrashingEndpoint") -> None:
        self.owner = owner
        self.connections: set[socket.socket] = set()
        self.retained_listener: socket.socket | None = None
        super().__init__(host=host, name=name, service=service)
        self.RequestHandlerClass = _Handler

    def get_request(self) -> Any:
        connection, address = super().get_request()
        self.connections.add(connection)
        return connection, address

    def crash(self) -> None:
        """Stop listening, then shut down every connection.

        With ``keeps_port_open``, a duplicate of the listening socket stays open, as held by a
        supervisor: connections are established but never accepted.
        """
        if self.owner.keeps_port_open:
            self.retained_listener = self.socket.dup()
        else:
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
        for connection in self.connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


class _Handler(EndpointHandler):
    server: _Incarnation

    def _serve(self, body: bytes) -> None:
        if self.headers.get("X-Chivetrack-Expect-Instance") != self.server.name:
            self.send_response(421)
            self._echo_id()
            self.send_header("Content-Length", "0")
            self.end_headers()
            return
        parts = self._read_parts()
        self.server.owner.run(self.server, body, parts)
        if not self.server.owner.is_crashed_by(body, parts):
            self._answer()

    def _read_parts(self) -> frozenset[str]:
        listed = self.headers.get("X-Chivetrack-Prompt-Prefix", "")
        return frozenset(entry.partition(":")[0] for entry in listed.split(","))


class CrashingEndpoint:
    """One address whose process restarts with a new id after each crash."""

    def __init__(self, deployment: Deployment, number: int, *, keeps_port_open: bool) -> None:
        """Start the first incarnation and send its heartbeats."""
        self.keeps_port_open = keeps_port_open
        self.crash_bodies: set[bytes] = set()
        self.crash_parts: set[str] = set()
        self.runs: list[tuple[float, bytes]] = []
        self.crashes: list[float] = []
        self._deployment = deployment
        self._host = f"{deployment.network}.{200 + number}"
        self._number = number
        self._starts = 0
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._start()
        threading.Thread(target=self._announce, daemon=True).start()

    def _start(self) -> None:
        self._starts += 1
        self._incarnation: _Incarnation | None = _Incarnation(
            host=self._host, name=f"i-{self._number}-{self._starts}", service="portal", owner=self
        )

    def is_crashed_by(self, body: bytes, parts: AbstractSet[str]) -> bool:
        """Return whether a request with this body and these parts of its prompt crashes it."""
        return body in self.crash_bodies or not self.crash_parts.isdisjoint(parts)

    def run(
        self, incarnation: _Incarnation, body: bytes, parts: AbstractSet[str] = frozenset()
    ) -> None:
        """Record the run of a request; crash if the request does that."""
        with self._lock:
            self.runs.append((time.monotonic(), body))
            if not self.is_crashed_by(body, parts) or self._incarnation is not incarnation:
                return
            self._incarnation = None
            self.crashes.append(time.monotonic())
        threading.Thread(target=self._replace, args=(incarnation,), daemon=True).start()
        time.sleep(0.1)

    def _replace(self, incarnation: _Incarnation) -> None:
        incarnation.crash()
        incarnation.shutdown()
        is_stopped = self._stopped.wait(RESTART_DELAY_S)
        if incarnation.retained_listener is not None:
            incarnation.retained_listener.close()
        if not is_stopped:
            self._start()

    def _announce(self) -> None:
        while not self._stopped.wait(HEARTBEAT_S):
            incarnation = self._incarnation
            if incarnation is None:
                continue
            heartbeat = incarnation.make_heartbeat()
            for name in self._deployment.list_names("p"):
                path = f"/instances/{incarnation.name}"
                if self._deployment.control("PUT", name, path, heartbeat)[0] == 200:
                    break

    def stop(self) -> None:
        """Stop the current incarnation and its heartbeats."""
        self._stopped.set()
        if self._incarnation is not None:
            self._incarnation.shutdown()
            self._incarnation.server_close()


@contextmanager
def open_crashing_endpoints(
    deployment: Deployment, count: int, *, keeps_port_open: bool = False
) -> Iterator[list[CrashingEndpoint]]:
    """Open endpoints that crash on what their ``crash_bodies`` and ``crash_parts`` list."""
    endpoints = [
        CrashingEndpoint(deployment, number, keeps_port_open=keeps_port_open)
        for number in range(1, count + 1)
    ]
    try:
        yield endpoints
    finally:
        for endpoint in endpoints:
            endpoint.stop()
