"""A small deployment on loopback addresses, with stand-ins that follow the users' pages.

The processes under test are the two roles of ``deploy/system.toml``, started with its commands and
with settings rendered from its template. Consumers, servers, the operator and the platform are
threads of this program. Only the standard library is used.
"""

import contextlib
import http.client
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

BOUNDS = {
    "drainMs": 2000,
    "graceS": 8,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retrySlack": 58,
    "recoverS": 12,
    "contactMs": 3000,
    "configApplyMs": 2000,
}
HEARTBEAT_S = 1.2


class CannotRunError(Exception):
    """The case could not be set up."""


# Settings


def _look_up(fields, name):
    if name == ".":
        return fields[-1]
    for scope in reversed(fields):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def render(text, fields):
    """Fill in a settings template as the users' page on deployment tells."""

    def section(match):
        value = _look_up(fields, match[1])
        if not value:
            return ""
        if not isinstance(value, (list, dict)):
            return render(match[2], fields)
        pairs = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
        parts = []
        for number, (key, entry) in enumerate(pairs):
            part = match[2].replace("{{@}}", str(key))
            part = part.replace("{{,}}", "," if number + 1 < len(pairs) else "")
            parts.append(render(part, [*fields, entry]))
        return "".join(parts)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)

    def place(match):
        name, _, form = match[1].partition("|")
        value = _look_up(fields, name)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([^{}]+)\}\}", place, text)


def find_network(count=1):
    """Return a loopback network whose first addresses are free."""
    for _ in range(100):
        network = f"127.{random.randrange(30, 220)}.{random.randrange(1, 250)}"
        try:
            with socket.socket() as probe:
                probe.bind((f"{network}.1", 17340))
            return network
        except OSError:
            continue
    raise CannotRunError("no free loopback network")


class Record:
    """Lines of ``record.txt``, with the seconds since the start of traffic."""

    def __init__(self, path):
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        with self._lock:
            self._file.write(f"{self.now():9.3f} {what} {text}\n")
            self._file.flush()


class Fleet:
    """The processes of the project, and the platform's entry in front of the routers."""

    def __init__(self, record, *, routers=2, replicas=3, tolerated=1):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = find_network()
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        if not (ROOT / "target/deps/chivetrack").is_dir():
            raise CannotRunError("target/deps is missing: run the build of the deploy file first")
        self.tolerated = tolerated
        self.replicas = [f"core-{number}" for number in range(1, replicas + 1)]
        self.routers = [f"front-{number}" for number in range(1, routers + 1)]
        self.is_first_start = True
        self.processes = {}
        self._waits = []
        self._in_rotation = {name: True for name in self.routers}
        self._misses = dict.fromkeys(self.routers, 0)
        self._ends = threading.Event()
        self._supervised = set()

    def ip(self, name):
        kind, _, number = name.partition("-")
        return f"{self.network}.{int(number) + (0 if kind == 'core' else 100)}"

    def control(self, name):
        return f"{self.ip(name)}:17341"

    def front(self, name):
        return f"{self.ip(name)}:17342"

    def start(self, name):
        """Start a process with the command and the template of its role."""
        is_core = name.startswith("core")
        role_name = "replica" if is_core else "router"
        role = self.deploy["roles"][role_name]
        data = self.folder / f"{name}-data"
        if is_core:
            data.mkdir(exist_ok=True)
        ip = self.ip(name)
        fields = {
            "nodeName": name,
            "role": role_name,
            "ip": ip,
            "zone": "z1",
            "zones": {"z1": "r1"},
            "listen": {"control": f"{ip}:17341"}
            if is_core
            else {"front": f"{ip}:17342", "readyAddr": f"{ip}:17343"},
            "internalPorts": [17350, 17360],
            "seeds": [self.control(one) for one in self.replicas[:3]],
            "bootstrap": self.is_first_start,
            "faultTolerance": {"machines": self.tolerated, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "dataDir": str(data) if is_core else None,
        }
        settings = self.folder / f"{name}.toml"
        settings.write_text(render((ROOT / role["template"]).read_text(), [fields]))
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["CHIVETRACK_SETTINGS"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                shlex.split(role["run"]), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def start_all(self):
        for name in [*self.replicas, *self.routers]:
            self.start(name)
        threading.Thread(target=self._probe_ready, daemon=True).start()

    def signal(self, name, number):
        self.record.write("signal", process=name, number=number.name)
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def close(self):
        self._ends.set()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        keep = os.environ.get("REVIEW_KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    # The platform

    def is_ready(self, name):
        try:
            connection = http.client.HTTPConnection(f"{self.ip(name)}:17343", timeout=0.9)
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False

    def _probe_ready(self):
        while not self._ends.wait(1.0):
            for name in self.routers:
                if self.is_ready(name):
                    self._misses[name] = 0
                    self._in_rotation[name] = True
                else:
                    self._misses[name] += 1
                    if self._misses[name] >= 2:
                        self._in_rotation[name] = False

    def choose_router(self, seed):
        """Return the router for a new connection: by a hash among those in rotation."""
        rotating = [name for name in self.routers if self._in_rotation[name]]
        if 2 * len(rotating) < len(self.routers):
            rotating = self.routers
        return rotating[seed % len(rotating)]

    def wait_ready(self, timeout_s=30.0):
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            if all(self.is_ready(name) for name in self.routers):
                return
            time.sleep(0.1)
        raise CannotRunError("the routers did not get ready")

    # Calls of control

    def call_control(self, method, path, document, *, first=0, timeout_s=1.0):
        """Call the replicas in turn until one answers 2xx; return its status, 0 without any."""
        body = None if document is None else json.dumps(document).encode()
        status = 0
        for number in range(len(self.replicas)):
            name = self.replicas[(first + number) % len(self.replicas)]
            status, _ = self.call_replica(method, path, body, self.control(name), timeout_s)
            if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                return status, name
        return status, ""

    def call_replica(self, method, path, body, address, timeout_s=1.0):
        for _ in range(3):
            try:
                connection = http.client.HTTPConnection(address, timeout=timeout_s)
                headers = {"Content-Type": "application/json"} if body is not None else {}
                connection.request(method, path, body=body, headers=headers)
                answer = connection.getresponse()
                data = answer.read()
                location = answer.getheader("Location", "")
                connection.close()
            except (OSError, http.client.HTTPException):
                return 0, b""
            if answer.status != 307:
                return answer.status, data
            address, _, path = location.removeprefix("http://").partition("/")
            path = f"/{path}"
        return 0, b""

    def put_config(self, document, timeout_s=20.0):
        """Send a desired state until it is acknowledged, as the operator does."""
        ends_at = time.monotonic() + timeout_s
        number = 0
        while time.monotonic() < ends_at:
            status, name = self.call_control("PUT", "/config", document, first=number)
            if status == 200:
                self.record.write("acknowledged", version=document["version"], by=name)
                return True
            number += 1
            time.sleep(0.2)
        return False


class Server:
    """A server of a service: answers with a seal, beats, and records what it runs."""

    def __init__(self, fleet, number, *, service, work_s=0.02, slots=8, answer=None, node=None):
        self.fleet = fleet
        self.record = fleet.record
        self.number = number
        self.service = service
        self.work_s = work_s
        self.slots = slots
        self.answer = answer or self.answer_plain
        self.born = int(time.time() * 1000)
        self.id = f"i-{random.getrandbits(32):08x}"
        self.sequence = 0
        self.state = "ready"
        self.is_closed = False
        self._open = set()
        self._node = number if node is None else node
        self.ran = []
        self._busy = threading.Semaphore(slots)
        self._listener = socket.create_server((f"{fleet.network}.{200 + number}", 17380), backlog=256)
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def make_beat(self):
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def beat(self):
        """Send a beat to the node that took the last one, else to the next ones."""
        status, name = self.fleet.call_control(
            "PUT", f"/instances/{self.id}", self.make_beat(), first=self._node
        )
        if name:
            self._node = self.fleet.replicas.index(name)
        return status

    def _beat(self):
        while not self.is_closed:
            self.beat()
            time.sleep(HEARTBEAT_S)

    def _accept(self):
        while not self.is_closed:
            try:
                opened, _ = self._listener.accept()
            except OSError:
                return
            opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(opened,), daemon=True).start()

    def _serve(self, opened):
        source = opened.makefile("rb")
        self._open.add(opened)
        try:
            while self._serve_one(opened, source):
                pass
        except OSError:
            pass
        finally:
            self._open.discard(opened)
            source.close()
            opened.close()

    def _serve_one(self, opened, source):
        line = source.readline()
        if not line.strip():
            return False
        method, target, _ = line.decode("latin-1").split()
        headers = {}
        while (line := source.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        body = source.read(int(headers.get("content-length", 0)))
        attempt = headers.get("x-chivetrack-attempt-id", "")
        if headers.get("x-chivetrack-expect-instance", self.id) != self.id:
            self._send(opened, 421, attempt, b"", {"X-Chivetrack-Not-Executed": "1"})
            return True
        if not self._busy.acquire(timeout=int(headers.get("x-chivetrack-deadline-ms", 1000)) / 1000):
            self._send(opened, 503, attempt, b"", {"X-Chivetrack-Not-Executed": "1"})
            return True
        try:
            self.ran.append((time.monotonic(), attempt))
            self.record.write("runs", server=self.id, attempt=attempt, target=target)
            self.answer(self, opened, method, target, headers, body)
            self.record.write("ran", server=self.id, attempt=attempt)
        finally:
            self._busy.release()
        return True

    @staticmethod
    def answer_plain(server, opened, method, target, headers, body):
        time.sleep(server.work_s)
        server._send(opened, 200, headers.get("x-chivetrack-attempt-id", ""), b"x" * 800, {})

    def _send(self, opened, status, attempt, body, headers):
        lines = [f"HTTP/1.1 {status} Status", f"X-Chivetrack-Attempt-Id: {attempt}"]
        if status != 421 and "X-Chivetrack-Not-Executed" not in headers:
            lines.append(f"X-Chivetrack-Server-Seal: {self.id}.{attempt}")
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += ["Keep-Alive: timeout=15", f"Content-Length: {len(body)}"]
        opened.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def crash(self):
        """End as a process that crashes: reset all connections and listen no more."""
        self.record.write("crashes", server=self.id)
        self.close()
        for opened in list(self._open):
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            opened.shutdown(socket.SHUT_RDWR)

    def close(self):
        self.is_closed = True
        # A thread that waits in ``accept`` would keep the listener open.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()


class Consumer:
    """A consumer with one kept connection; each attempt has an id of its own."""

    def __init__(self, fleet, number, *, host="one.example", key="key"):
        self.fleet = fleet
        self.number = number
        self.host = host
        self.key = key
        self.connection = None
        self.router = ""
        self.last_seal = ""

    def _connect(self, seed, timeout_s):
        self.close()
        self.router = self.fleet.choose_router(seed)
        self.connection = http.client.HTTPConnection(
            self.fleet.front(self.router), timeout=min(1.0, timeout_s)
        )
        self.connection.connect()
        self.connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def close(self):
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def send(self, method, path, *, kind, limit_s, body=b"", retries=1):
        """Send a request with the consumer's retries; return the status of the last attempt."""
        ends_at = time.monotonic() + limit_s
        status = 0
        for number in range(retries + 1):
            left_s = ends_at - time.monotonic()
            if left_s <= 0.05:
                break
            status, is_read, pause_s = self._attempt(method, path, body, left_s, number)
            if 200 <= status < 300 or status in (400, 401, 404, 413, 431):
                break
            may_retry = kind == "idempotent" or status in (408, 421, 429, 503) or not is_read
            if not may_retry:
                break
            time.sleep(min(pause_s, max(0.0, ends_at - time.monotonic()) / 3))
        return status

    def _attempt(self, method, path, body, left_s, number):
        attempt = f"{random.getrandbits(64):016x}"
        write = self.fleet.record.write
        is_sent = False
        self.last_seal = ""
        try:
            if number or self.connection is None or self.connection.sock is None:
                self._connect(self.number + number, left_s)
            self.connection.sock.settimeout(left_s)
            write("sends", attempt=attempt, consumer=self.number, router=self.router, path=path)
            headers = {
                "Host": self.host,
                "X-Chivetrack-Attempt-Id": attempt,
                "X-Chivetrack-Deadline-Ms": str(int(left_s * 1000)),
                "X-Chivetrack-Key": self.key,
            }
            is_sent = True
            self.connection.request(method, path, body=body or None, headers=headers)
            answer = self.connection.getresponse()
            data = answer.read()
        except (OSError, http.client.HTTPException) as error:
            self.close()
            write("fails", attempt=attempt, how=type(error).__name__)
            return 0, is_sent, 0.0
        if answer.getheader("Connection", "").lower() == "close":
            self.close()
        self.last_seal = answer.getheader("X-Chivetrack-Server-Seal", "")
        write("gets", attempt=attempt, status=answer.status, bytes=len(data))
        return answer.status, True, float(answer.getheader("Retry-After") or 0.0)


def make_config(version, routes, services, tenants=True):
    """Return a desired state; ``routes`` are its route entries without names and hosts."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{number}",
                "hostname": "one.example",
                "priority": 1,
                "public": False,
                "sticky": False,
                "resumable": False,
                **route,
            }
            for number, route in enumerate(routes)
        ],
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "tenant-a", "apiKeys": ["key"], "priority": 1}] if tenants else [],
    }


PLAIN_ROUTES = [
    {
        "pathPrefix": "/post/",
        "kind": "non_idempotent",
        "timeoutMs": 1500,
        "targetLatencyMs": 125,
        "service": "portal",
        "maxAttempts": 1,
    },
    {
        "pathPrefix": "/get/",
        "kind": "idempotent",
        "timeoutMs": 1500,
        "targetLatencyMs": 125,
        "service": "portal",
        "maxAttempts": 2,
    },
]
PLAIN_SERVICES = [
    {"name": "portal", "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": False}
]


def run_case(record_path, play, **options):
    """Play a case with a fleet of these ``options``, and write ``record.txt``.

    Exit with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
    """
    record = Record(Path(record_path))
    fleet = None
    code = 2
    # Also a script that is ended from outside ends its processes.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    try:
        fleet = Fleet(record, **options)
        is_broken, text = play(fleet, record)
        record.write("verdict", broken=is_broken, why=text)
        print(("BROKEN: " if is_broken else "held: ") + text)
        code = 1 if is_broken else 0
    except CannotRunError as error:
        record.write("cannot_run", why=error)
        print(f"cannot run: {error}")
    except Exception as error:  # A fault of the case itself is no verdict.
        record.write("cannot_run", why=repr(error))
        print(f"cannot run: {error!r}")
    finally:
        if fleet is not None:
            fleet.close()
        sys.stdout.flush()
        # Without waiting for the threads of stand-ins.
        os._exit(code)
