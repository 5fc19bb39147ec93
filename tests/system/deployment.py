"""Runs replicas and routers as processes, with endpoints inside the test process."""

import contextlib
import http.server
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import urllib3

from tests.system.fleets import NotReachedError, wait_for

ROOT = Path(__file__).resolve().parents[2]
PEER_PORT, CONTROL_PORT, CALLER_PORT, READY_PORT, METRICS_PORT = 18540, 18541, 18542, 18543, 18544
ENDPOINT_PORT = 18545
HEARTBEAT_S = 1.0
JOIN_TIMEOUT_S = 5.0

# Names the file of tests.system.cut_process.
ENV_CUT_FILE = "CHIVETRACK_TEST_CUT_FILE"


class Endpoint(http.server.ThreadingHTTPServer):
    """A plain service that adds the server seal to its answers and records its requests."""

    daemon_threads = True
    # With the default of five, some of thirty connections at a time are reset.
    request_queue_size = 64

    def __init__(
        self,
        *,
        host: str,
        name: str,
        service: str,
        handler: "type[EndpointHandler] | None" = None,
    ) -> None:
        """Listen on ``host``; ``handler`` answers in place of ``EndpointHandler``."""
        self.name = name
        self.version = "v1"
        self.service = service
        self.address = f"{host}:{ENDPOINT_PORT}"
        self.seen: list[tuple[str, dict[str, str]]] = []
        self.work_s = 0.0
        self.zone = "z1"
        self.cold_ms = 0
        self.extra_headers: dict[str, str] = {}
        self.retry_after_s = 0.0
        self.sequence = 0
        self.born = int(time.time() * 1000)
        super().__init__((host, ENDPOINT_PORT), handler or EndpointHandler)
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Suppress tracebacks: tests break connections on purpose."""

    def make_heartbeat(self, state: str = "ready") -> dict[str, Any]:
        """Return the next heartbeat of this endpoint, with an incremented sequence number."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 8,
            "state": state,
            "coldRemainingMs": self.cold_ms,
            "sequence": self.sequence,
            "born": self.born,
        }


class EndpointHandler(http.server.BaseHTTPRequestHandler):
    """Answers every request with the name of the endpoint."""

    protocol_version = "HTTP/1.1"
    server: Endpoint

    def do_GET(self) -> None:
        self._answer()

    def do_POST(self) -> None:
        self._serve(self._read_body())

    def _read_body(self) -> bytes:
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def _serve(self, body: bytes) -> None:
        self._answer()

    def _answer(self) -> None:
        self.server.seen.append((self.path, dict(self.headers.items())))
        if self.server.retry_after_s:
            self._refuse()
            return
        time.sleep(self.server.work_s)
        body = self.server.name.encode()
        self.send_response(200)
        self.send_header("X-Chivetrack-Server-Seal", "seal")
        self._echo_id()
        for name, value in self.server.extra_headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _echo_id(self) -> None:
        attempt = self.headers.get("X-Chivetrack-Attempt-Id", "")
        self.send_header("X-Chivetrack-Attempt-Id", attempt)

    def _refuse(self) -> None:
        self.send_response(503)
        self._echo_id()
        self.send_header("X-Chivetrack-Not-Executed", "1")
        self.send_header("Retry-After", f"{self.server.retry_after_s:g}")
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, format: str, *args: Any) -> None:
        """Suppress the access log."""


@dataclass(slots=True, kw_only=True)
class Deployment:
    """Processes that each have their own loopback address and use the same ports."""

    folder: Path
    network: str
    replicas: int
    routers: int
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    is_first_start: bool = True
    stop_within_s: float | None = None
    min_load: float | None = None
    memory_mb: int | None = None
    modules: dict[str, str] = field(default_factory=dict)
    """Programs of single processes in place of the usual one."""
    environment: dict[str, str] = field(default_factory=dict)
    http: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(retries=False, timeout=5.0)
    )

    def get_host(self, name: str) -> str:
        """Return the address of a process: ``p1`` is a replica, ``r1`` a router."""
        number = int(name[1:])
        return f"{self.network}.{number if name[0] == 'p' else 100 + number}"

    def list_names(self, kind: str) -> list[str]:
        """Return the names of the replicas (``p``) or routers (``r``)."""
        count = self.replicas if kind == "p" else self.routers
        return [f"{kind}{number}" for number in range(1, count + 1)]

    def start(self, name: str) -> None:
        """Write the settings file of a process and start the process."""
        settings = self.folder / f"{name}.toml"
        settings.write_text(self._make_settings(name))
        log = (self.folder / f"{name}.log").open("ab")
        environment = {**os.environ, **self.environment, "CHIVETRACK_SETTINGS": str(settings)}
        command = [sys.executable, "-m", self.modules.get(name, "chivetrack.daemon.fleet")]
        self.processes[name] = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()

    def _make_settings(self, name: str) -> str:
        host = self.get_host(name)
        seeds = [f"{self.get_host(seed)}:{CONTROL_PORT}" for seed in self.list_names("p")[:3]]
        is_replica = name[0] == "p"
        role = "replica" if is_replica else "router"
        lines = ["[process]", f'name = "{name}"', f'role = "{role}"']
        lines.append('availability_zone = "z1"')
        if is_replica:
            lines.append(f'data_folder = "{self.folder / (name + "-data")}"')
        lines += ["[listeners]", f'peer = "{host}:{PEER_PORT}"']
        lines.append(f'metrics = "{host}:{METRICS_PORT}"')
        if is_replica:
            lines.append(f'control = "{host}:{CONTROL_PORT}"')
        else:
            lines.append(f'callers = "{host}:{CALLER_PORT}"')
            lines.append(f'ready = "{host}:{READY_PORT}"')
        lines += ["[fleet]", f"seeds = {json.dumps(seeds)}"]
        lines.append(f"is_first_start = {json.dumps(self.is_first_start)}")
        lines.append(f"tolerated_losses = {(self.replicas - 1) // 2}")
        lines.append('zones = ["z1", "z2"]')
        if self.stop_within_s is not None:
            lines += ["[bounds]", f"stop_within_s = {self.stop_within_s}"]
        if self.memory_mb is not None:
            lines += ["[limits]", f"memory_mb = {self.memory_mb}"]
        if self.min_load is not None:
            lines += ["[admission]", "schedules_slots = true", f"min_load = {self.min_load}"]
        return "\n".join(lines) + "\n"

    def start_all(self) -> None:
        """Start all processes without waiting until they are ready."""
        for name in [*self.list_names("p"), *self.list_names("r")]:
            self.start(name)

    def kill(self, name: str) -> None:
        """Send SIGKILL to a process and wait until it has exited."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def wipe(self, name: str) -> None:
        """Delete the data folder of a stopped replica."""
        shutil.rmtree(self.folder / f"{name}-data")

    def stop(self, name: str) -> int:
        """Stop a process with SIGTERM and return its exit code."""
        return self.begin_stop(name).wait(timeout=20)

    def begin_stop(self, name: str) -> subprocess.Popen[bytes]:
        """Send SIGTERM to a process and return the process without waiting for its exit."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process

    def stop_all(self) -> None:
        """Kill all processes that still run."""
        for name in list(self.processes):
            self.kill(name)

    def read_events(self, name: str) -> list[dict[str, Any]]:
        """Return the events that a process has logged; lines that are not JSON are skipped."""
        events = []
        for line in (self.folder / f"{name}.log").read_text().splitlines():
            with contextlib.suppress(ValueError):
                events.append(json.loads(line))
        return events

    def find_leader(self) -> str:
        """Return the replica with the latest ``leader_changed`` event as leader."""

        def find() -> str:
            led_at = {
                event["at"]: name
                for name in self.list_names("p")
                for event in self.read_events(name)
                if event.get("event") == "leader_changed" and event["role"] == "leader"
            }
            return led_at[max(led_at)] if led_at else ""

        return str(wait_for(find, "no replica has logged that it leads"))

    def send_request(self, method: str, url: str, **options: Any) -> tuple[int, bytes]:
        """Send an HTTP request and return status and body; status 0 means no answer."""
        try:
            response = self.http.request(method, url, redirect=False, **options)
        except urllib3.exceptions.HTTPError:
            return (0, b"")
        return (response.status, response.data)

    def control(self, method: str, name: str, path: str, document: Any = None) -> tuple[int, bytes]:
        """Send a request to a replica's control listener and follow at most one redirect."""
        body = None if document is None else json.dumps(document)
        url = f"http://{self.get_host(name)}:{CONTROL_PORT}{path}"
        try:
            response = self.http.request(method, url, body=body, redirect=False)
            if response.status == 307:
                response = self.http.request(
                    method, response.headers["Location"], body=body, redirect=False
                )
        except urllib3.exceptions.HTTPError:
            return (0, b"")
        return (response.status, response.data)

    def put(self, document: dict[str, Any]) -> str:
        """Send a configuration to the replicas in turn; return which one accepted it."""

        def attempt() -> str:
            for name in self.list_names("p"):
                if self.control("PUT", name, "/config", document)[0] == 200:
                    return name
            return ""

        return str(wait_for(attempt, "no replica accepted the configuration"))

    def read(self) -> int:
        """Return the committed configuration version, as read through a replica."""

        def attempt() -> int:
            for name in self.list_names("p"):
                status, data = self.control("GET", name, "/config")
                if status == 200:
                    return int(json.loads(data)["version"])
            return 0

        return int(wait_for(attempt, "no replica returned the configuration"))

    def announce(self, endpoint: Endpoint, state: str = "ready") -> None:
        """Send heartbeats of an endpoint until a replica acknowledges one."""
        path = f"/instances/{endpoint.name}"

        def attempt() -> bool:
            heartbeat = endpoint.make_heartbeat(state)
            return any(
                self.control("PUT", name, path, heartbeat)[0] == 200
                for name in self.list_names("p")
            )

        wait_for(attempt, "no replica acknowledged the heartbeat")

    def call(
        self, router: str, path: str = "/a/x", *, body: bytes = b"body", **headers: str
    ) -> tuple[int, bytes]:
        """Send a caller's request to a router; underscores in header names become dashes."""
        given = {key.replace("_", "-"): value for key, value in headers.items()}
        lines = {
            "Host": "one.example",
            "X-Chivetrack-Attempt-Id": f"{random.getrandbits(64):x}",
            "X-Chivetrack-Deadline-Ms": "3000",
            "X-Chivetrack-Key": "key",
            **given,
        }
        url = f"http://{self.get_host(router)}:{CALLER_PORT}{path}"
        return self.send_request("POST", url, body=body, headers=lines)

    def wait_served(self, router: str, path: str = "/a/x") -> None:
        """Wait until a router answers a path with status 200."""
        wait_for(lambda: self.call(router, path)[0] == 200, f"{router} does not serve {path}")


def make_config(version: int, *prefixes: str) -> dict[str, Any]:
    """Return a configuration with a route for each prefix."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r{number}",
                "hostname": "one.example",
                "pathPrefix": prefix,
                "kind": "non_idempotent",
                "timeoutMs": 3000,
                "targetLatencyMs": 100,
                "priority": 1,
                "service": "portal",
                "maxAttempts": 1,
            }
            for number, prefix in enumerate(prefixes or ("/a/",))
        ],
        "services": [{"name": "portal", "healthPath": "/health", "maxConnections": 50}],
        "tenants": [{"name": "w", "apiKeys": ["key"], "priority": 1}],
    }


@contextmanager
def open_deployment(*, replicas: int = 3, routers: int = 2) -> Iterator[Deployment]:
    """Open a deployment with its own loopback addresses; kill its processes at the end."""
    network = f"127.{random.randrange(20, 200)}.{random.randrange(1, 250)}"
    with TemporaryDirectory(prefix="chivetrack-") as folder:
        deployment = Deployment(
            folder=Path(folder), network=network, replicas=replicas, routers=routers
        )
        try:
            yield deployment
        finally:
            deployment.stop_all()


@contextmanager
def open_endpoint(
    deployment: Deployment, number: int, service: str = "portal"
) -> Iterator[Endpoint]:
    """Open an endpoint inside the test process and close it at the end."""
    host = f"{deployment.network}.{200 + number}"
    endpoint = Endpoint(host=host, name=f"i-{number}", service=service)
    try:
        yield endpoint
    finally:
        endpoint.shutdown()
        endpoint.server_close()


@contextmanager
def keep_announced(deployment: Deployment, endpoint: Endpoint) -> Iterator[None]:
    """Announce an endpoint, and again each second within the context.

    One that is silent for a while counts as lost, and nothing is sent there any more.
    """
    deployment.announce(endpoint)
    is_over = threading.Event()

    def run() -> None:
        while not is_over.wait(HEARTBEAT_S):
            with contextlib.suppress(NotReachedError):
                deployment.announce(endpoint)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    try:
        yield
    finally:
        is_over.set()
        thread.join(timeout=JOIN_TIMEOUT_S)
