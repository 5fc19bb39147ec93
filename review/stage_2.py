"""Processes, stand-ins and records for the cases of the second review; standard library only.

The programs are started with the commands and the settings template of the deploy file, each on a
loopback address of its own. Servers, clients and the operator are stand-ins in the test process;
they do what the pages of the platform say.
"""

import contextlib
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
ZONES = ("hall-a", "hall-b", "hall-c")
# The bounds of the sheets for the small installations.
BOUNDS = {
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxSkewMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retrySlack": 58,
    "recoverS": 12,
}
HEARTBEAT_S = 1.2
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """The case could not run, so that it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        with self._lock:
            line = f"{self.now():8.3f} s  {text}"
            self._file.write(line + "\n")
            self._file.flush()

    def close(self) -> None:
        self._file.close()


def wait_for(condition: Callable[[], Any], what: str, within_s: float = 20.0) -> Any:
    """Return the first truthy value of ``condition``; the case can't run without it."""
    ends_at = time.monotonic() + within_s
    while time.monotonic() < ends_at:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise NotRunError(what)


# Settings


def render(text: str, values: dict[str, Any]) -> str:
    """Fill in a settings template as the deploy page tells it."""
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)

    def find(name: str, scope: list[Any]) -> Any:
        for place in reversed(scope):
            value = place
            for part in name.split("."):
                if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                elif isinstance(value, dict) and part in value:
                    value = value[part]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def fill(part: str, scope: list[Any], key: str = "", is_last: bool = True) -> str:
        def open_section(match: re.Match[str]) -> str:
            kind, name, inner = match.groups()
            value = find(name, scope)
            if kind == "^":
                return "" if value else fill(inner, scope, key, is_last)
            if isinstance(value, dict | list):
                numbers = [str(n) for n in range(len(value))]
                keys = list(value) if isinstance(value, dict) else numbers
                entries = list(value.values()) if isinstance(value, dict) else value
                return "".join(
                    fill(inner, [*scope, entry], one, one == keys[-1])
                    for one, entry in zip(keys, entries, strict=True)
                )
            return fill(inner, scope, key, is_last) if value else ""

        part = section.sub(open_section, part)
        part = part.replace("{{@}}", key).replace("{{,}}", "" if is_last else ",")

        def put(match: re.Match[str]) -> str:
            value = find(match[1], scope)
            if match[2]:
                return json.dumps(value)
            return "" if value is None else str(value)

        return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", put, part)

    return fill(text, [values])


def find_ports(count: int) -> list[int]:
    """Return ports that are free on all loopback addresses."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind(("0.0.0.0", 0))  # noqa: S104 - only bound, to learn a free number
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


class Fleet:
    """Routers (``r1`` ..) and replicas (``c1`` ..) as processes; each has its own address."""

    def __init__(self, record: Record, *, replicas: int = 5, routers: int = 2) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        ports = find_ports(7)
        self.peer_port, self.metrics_port, self.control_port = ports[:3]
        self.caller_port, self.ready_port, self.server_port, self.spare_port = ports[3:]
        self.names = [f"c{n}" for n in range(1, replicas + 1)]
        self.names += [f"r{n}" for n in range(1, routers + 1)]
        self.seeds = [f"c{n}" for n in range(1, min(3, replicas) + 1)]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.is_first_start = True
        self.losses = (replicas - 1) // 2
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        if not (ROOT / "target/deps/chivetrack").is_dir():
            raise NotRunError("target/deps is missing: run the build of the deploy file")

    # Addresses

    def host(self, name: str) -> str:
        base = {"c": 0, "r": 100, "s": 200}[name[0]]
        return f"{self.network}.{base + int(name[1:])}"

    def control(self, name: str) -> str:
        return f"{self.host(name)}:{self.control_port}"

    @property
    def replicas(self) -> list[str]:
        return [one for one in self.names if one[0] == "c"]

    @property
    def routers(self) -> list[str]:
        return [one for one in self.names if one[0] == "r"]

    # Processes

    def write_settings(self, name: str) -> tuple[Path, list[str]]:
        is_replica = name[0] == "c"
        role = next(
            key
            for key, one in self.deploy["roles"].items()
            if one["on"] == ("core" if is_replica else "front")
        )
        host = self.host(name)
        listen = (
            {"control": self.control(name)}
            if is_replica
            else {"front": f"{host}:{self.caller_port}", "readyAddr": f"{host}:{self.ready_port}"}
        )
        values: dict[str, Any] = {
            "nodeName": name,
            "role": role,
            "zone": ZONES[int(name[1:]) % len(ZONES)],
            "zones": {zone: "region" for zone in ZONES},
            "ip": host,
            "listen": listen,
            "internalPorts": [self.peer_port, self.metrics_port],
            "seeds": [self.control(one) for one in self.seeds],
            "bootstrap": self.is_first_start,
            "faultTolerance": {"machines": self.losses, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "limits": {"memoryMb": 300, "maxFds": 4100},
            "dataDir": str(self.folder / f"{name}-data") if is_replica else None,
        }
        entry = self.deploy["roles"][role]
        path = self.folder / f"{name}.toml"
        path.write_text(render((ROOT / entry["template"]).read_text(), values))
        if is_replica:
            (self.folder / f"{name}-data").mkdir(exist_ok=True)
        return path, entry["run"].split()

    def start(self, name: str) -> None:
        if name not in self.names:
            self.names.append(name)
        path, command = self.write_settings(name)
        kept = ("PATH", "HOME", "LANG")
        environment = {key: os.environ[key] for key in kept if key in os.environ}
        environment["CHIVETRACK_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log, start_new_session=True
            )
        self.record.write(f"{name} started at {self.host(name)}")

    def start_all(self) -> None:
        for name in self.names:
            self.start(name)
        # Settings that are written later are those of a restart.
        self.is_first_start = False

    def signal(self, name: str, number: int) -> None:
        self.processes[name].send_signal(number)
        self.record.write(f"{name} gets {signal.Signals(number).name}")

    def kill(self, name: str) -> None:
        process = self.processes.pop(name)
        process.kill()
        process.wait()
        self.record.write(f"{name} killed")

    def stop(self, name: str, grace_s: float = 8.0) -> float:
        """Send SIGTERM, and SIGKILL after the grace time; return how long the exit took (s)."""
        began = time.monotonic()
        self.signal(name, signal.SIGTERM)
        process = self.processes.pop(name)
        try:
            process.wait(timeout=grace_s)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        took = time.monotonic() - began
        self.record.write(f"{name} ended {took:.2f} s after SIGTERM, status {process.returncode}")
        return took

    def wipe(self, name: str) -> None:
        shutil.rmtree(self.folder / f"{name}-data")
        self.record.write(f"{name} has lost its disk")

    def close(self) -> None:
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            self.record.write(f"logs kept in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def events(self, name: str) -> list[dict[str, Any]]:
        """Return what a process has logged; for the record only, rules are not judged by it."""
        found = []
        path = self.folder / f"{name}.log"
        if not path.exists():
            return []
        for line in path.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                one = json.loads(line)
                if isinstance(one, dict):
                    found.append(one)
        return found

    # Calls

    def call(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 1.0,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send one call; status 0 means no answer."""
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
        try:
            connection.request(method, path, body, headers or {})
            answer = connection.getresponse()
            data = answer.read()
            lines = {key.lower(): value for key, value in answer.getheaders()}
            return answer.status, lines, data
        except (OSError, http.client.HTTPException):
            return 0, {}, b""
        finally:
            connection.close()

    def operate(
        self, method: str, name: str, path: str, document: Any = None, timeout_s: float = 1.0
    ) -> tuple[int, bytes]:
        """Send an operator's call to a replica; follow a 307 twice, as the platform does."""
        body = None if document is None else json.dumps(document).encode()
        headers = {} if body is None else {"Content-Type": "application/json"}
        address, target = self.control(name), path
        for _ in range(3):
            status, lines, data = self.call(method, address, target, body, headers, timeout_s)
            if status != 307:
                break
            address, _, rest = lines["location"].removeprefix("http://").partition("/")
            target = f"/{rest}"
        return status, data

    def put_config(self, document: dict[str, Any], within_s: float = 25.0) -> str:
        """Send a desired state until it is acknowledged; return the replica that did."""
        ends_at = time.monotonic() + within_s
        version = document["version"]
        while time.monotonic() < ends_at:
            name = random.choice([one for one in self.replicas if one in self.processes])
            status, _ = self.operate("PUT", name, "/config", document)
            self.record.write(f"operator: PUT /config version {version} to {name}: {status or '-'}")
            if status == 200:
                return name
            if status in (400, 409, 412, 413, 422):
                raise NotRunError(f"the desired state was refused with {status}")
            time.sleep(0.2)
        raise NotRunError("the desired state was not acknowledged")

    def read_config(self, names: list[str] | None = None) -> int:
        """Read the desired state at each of the replicas once; return the version, 0 without."""
        for name in names or [one for one in self.replicas if one in self.processes]:
            status, data = self.operate("GET", name, "/config")
            text = "no answer" if not status else str(status)
            if status == 200:
                version = int(json.loads(data)["version"])
                self.record.write(f"operator: GET /config at {name}: 200, version {version}")
                return version
            self.record.write(f"operator: GET /config at {name}: {text} {data[:80]!r}")
        return 0


def make_config(version: int, routes: list[dict[str, Any]], services: list[str]) -> dict[str, Any]:
    """Return a desired state with plain services and one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConnections": 110,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "tenant-1", "apiKeys": ["key-1"], "priority": 1}],
    }


def make_route(name: str, prefix: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route as the platform sends it."""
    return {
        "name": name,
        "hostname": "one.example",
        "pathPrefix": prefix,
        "kind": "non_idempotent",
        "timeoutMs": 1500,
        "targetLatencyMs": 125,
        "priority": 0,
        "service": service,
        "maxAttempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
        **fields,
    }


# Servers


class Server(socketserver.ThreadingTCPServer):
    """A server of a plain service: slots, a queue, heartbeats, and leaving in an orderly way."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def __init__(
        self, fleet: Fleet, name: str, service: str, *, slots: int = 6, queue: int = 24
    ) -> None:
        self.fleet, self.name, self.service = fleet, name, service
        self.id = f"i-{name}-{random.getrandbits(32):08x}"
        self.slots, self.queue = slots, queue
        self.work_s: Callable[[], float] = lambda: 0.02
        self.state = "ready"
        self.sequence = 0
        self.free = threading.Semaphore(slots)
        self.lock = threading.Lock()
        self.waiting = self.running = 0
        self.arrivals: list[tuple[float, str]] = []
        self.runs: dict[str, int] = {}
        self.ended_runs: dict[str, int] = {}
        self.acknowledged: dict[str, float] = {}
        self.is_ended = threading.Event()
        self.connections: set[socket.socket] = set()
        super().__init__((fleet.host(name), fleet.server_port), _Handler)
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Connections end on purpose."""

    @property
    def address(self) -> str:
        return f"{self.server_address[0]}:{self.server_address[1]}"

    def say(self, method: str = "PUT") -> bool:
        """Send a heartbeat or the departure to the nodes in turn until one acknowledges it."""
        self.sequence += 1
        state = self.state
        body = {
            "service": self.service,
            "address": self.address,
            "zone": ZONES[int(self.name[1:]) % len(ZONES)],
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
        }
        data = json.dumps(body).encode() if method == "PUT" else None
        order = random.sample(self.fleet.replicas, len(self.fleet.replicas))
        for name in order:
            address = self.fleet.control(name)
            status, _, _ = self.fleet.call(method, address, f"/instances/{self.id}", data)
            what = state if method == "PUT" else "gone"
            if 200 <= status < 300:
                if what != "ready" and what not in self.acknowledged:
                    self.acknowledged[what] = self.fleet.record.now()
                    self.fleet.record.write(f"{name} acknowledges that {self.name} is {what}")
                return True
        return False

    def _beat(self) -> None:
        while not self.is_ended.wait(HEARTBEAT_S if self.sequence else 0.0):
            self.say()

    def leave(self, *, drain_s: float, linger_s: float) -> None:
        """Say that it drains, go on serving, then depart and end."""
        self.state = "draining"
        self.fleet.record.write(f"{self.name} begins to drain")
        while not self.say():
            time.sleep(0.1)
        time.sleep(drain_s + linger_s)
        self.is_ended.set()
        self.say("DELETE")
        self.end()

    def end(self) -> None:
        """End as a process does: the listener and all connections are closed."""
        self.is_ended.set()
        self.shutdown()
        self.server_close()
        for one in list(self.connections):
            with contextlib.suppress(OSError):
                one.shutdown(socket.SHUT_RDWR)
        self.fleet.record.write(f"{self.name} has ended")


class _Handler(socketserver.StreamRequestHandler):
    """Serves one request at a time on a connection."""

    server: Server
    timeout = 30.0

    def setup(self) -> None:
        super().setup()
        self.request.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.server.connections.add(self.request)

    def finish(self) -> None:
        self.server.connections.discard(self.request)
        with contextlib.suppress(OSError):
            super().finish()

    def handle(self) -> None:
        with contextlib.suppress(OSError, ValueError):
            while self._serve():
                pass

    def _serve(self) -> bool:
        line = self.rfile.readline().decode("latin-1").split()
        if len(line) != 3:
            return False
        headers: dict[str, str] = {}
        while text := self.rfile.readline().decode("latin-1").strip():
            key, _, value = text.partition(":")
            headers[key.lower()] = value.strip()
        body = self.rfile.read(int(headers.get("content-length", "0")))
        server = self.server
        if line[1] == "/health":
            self._answer(200 if server.state == "ready" else 503, headers, b"", sealed=False)
            return True
        attempt = headers.get("x-chivetrack-attempt-id", "")
        expected = headers.get("x-chivetrack-expect-instance", server.id)
        if expected != server.id:
            self._refuse(421, headers)
            return True
        with server.lock:
            server.arrivals.append((server.fleet.record.now(), attempt))
            is_full = server.waiting >= server.queue
            server.waiting += not is_full
        if is_full:
            server.fleet.record.write(f"{server.name} rejects {attempt}: its queue is full")
            self._refuse(503, headers)
            return True
        deadline = int(headers.get("x-chivetrack-deadline-ms", "15000")) / 1000
        has_slot = server.free.acquire(timeout=deadline)
        with server.lock:
            server.waiting -= 1
        if not has_slot:
            self._refuse(503, headers)
            return True
        try:
            self._run(attempt, headers, body)
        finally:
            with server.lock:
                server.running -= 1
            server.free.release()
        return True

    def _run(self, attempt: str, headers: dict[str, str], body: bytes) -> None:
        server = self.server
        with server.lock:
            server.running += 1
            server.runs[attempt] = server.runs.get(attempt, 0) + 1
        server.fleet.record.write(f"{server.name} runs {attempt}")
        time.sleep(server.work_s())
        with server.lock:
            server.ended_runs[attempt] = server.ended_runs.get(attempt, 0) + 1
        self._answer(200, headers, f"{server.name} {attempt} {len(body)}".encode())

    def _refuse(self, status: int, headers: dict[str, str]) -> None:
        self._answer(status, headers, b"", sealed=False, extra=("X-Chivetrack-Not-Executed: 1",))

    def _answer(
        self,
        status: int,
        headers: dict[str, str],
        body: bytes,
        *,
        sealed: bool = True,
        extra: tuple[str, ...] = (),
    ) -> None:
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *extra]
        if "x-chivetrack-attempt-id" in headers:
            lines.append(f"X-Chivetrack-Attempt-Id: {headers['x-chivetrack-attempt-id']}")
        if sealed:
            lines.append("X-Chivetrack-Server-Seal: seal")
        lines.append(f"X-Chivetrack-Instance-Id: {self.server.id}")
        self.wfile.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        self.wfile.flush()


def run_case(
    record_path: Path, play: Callable[[Record, bool], bool], limit_s: float = 110.0
) -> int:
    """Play a case and return the exit code; ``play`` returns whether the rule held."""
    record = Record(record_path)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"the case begins, {'with' if has_trouble else 'without'} its disruption")

    def give_up(_number: int, _frame: Any) -> None:
        raise NotRunError(f"not over after {limit_s:.0f} s")

    def end(_number: int, _frame: Any) -> None:
        raise NotRunError("ended from outside")

    signal.signal(signal.SIGALRM, give_up)
    signal.signal(signal.SIGTERM, end)
    signal.alarm(int(limit_s))
    try:
        held = play(record, has_trouble)
    except NotRunError as error:
        record.write(f"the case could not run: {error}")
        return EXIT_NOT_RUN
    else:
        record.write("the rule held" if held else "the rule was broken")
        return EXIT_HELD if held else EXIT_BROKEN
    finally:
        signal.alarm(0)
        record.close()


@contextlib.contextmanager
def open_fleet(record: Record, **sizes: int) -> Iterator[Fleet]:
    """Open a fleet, and end all of its processes at the end."""
    fleet = Fleet(record, **sizes)
    try:
        yield fleet
    finally:
        fleet.close()


if __name__ == "__main__":
    sys.exit("this module is used by the cases")
