"""Runs a local fleet as separate processes for the demonstration, tests and benchmarks."""

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import IO, Any

import urllib3

ZONES = ("fukuoka-hall", "kumamoto-hall", "kitakyushu-hall")
REGION = "kyushu"
CALLER_PORT = 18080
RESOURCE_PORT = 18081
PEER_PORT = 18082
TELEMETRY_PORT = 18083
START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 30.0
POLL_S = 0.05
HOSTS_PER_FLEET = 64


class FleetError(Exception):
    """A process of the fleet did not reach the requested state in time."""


@dataclass(slots=True, kw_only=True)
class Member:
    """One process of the fleet."""

    name: str
    address: str
    process: subprocess.Popen[bytes]
    log: Path
    host: str = ""
    frozen: bool = False

    def read_log(self) -> str:
        """Return everything that the process has logged so far."""
        return self.log.read_text(errors="replace")

    def send(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """Send SIGKILL to the process and wait until it has exited."""
        self.process.kill()
        self.process.wait()

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP to simulate a machine that hangs."""
        self.send(signal.SIGSTOP)
        self.frozen = True

    def thaw(self) -> None:
        """Resume a frozen process."""
        self.send(signal.SIGCONT)
        self.frozen = False

    def stop(self) -> int:
        """Stop the process gracefully and return its exit code."""
        self.send(signal.SIGTERM)
        return self.process.wait(STOP_TIMEOUT_S)


@dataclass(frozen=True, slots=True, kw_only=True)
class InstancePlan:
    """Name, availability zone, address and role of an instance to start."""

    name: str
    zone: str
    host: str
    replica: bool


@dataclass(slots=True, kw_only=True)
class Fleet:
    """Starts instances and endpoints; each fleet uses its own loopback addresses."""

    folder: Path
    settings: dict[str, dict[str, Any]] = field(default_factory=dict)
    operator_key: str = "ck_operator-key-of-the-local-fleet-not-for-rea"
    members: dict[str, Member] = field(default_factory=dict)
    plans: list[InstancePlan] = field(default_factory=list)
    _http: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(retries=False, timeout=30.0)
    )
    _next_host: int = 1

    def _make_host(self) -> str:
        # The network under 127.0.0.0/8 is derived from the process id, so that fleets that run
        # at the same time use different addresses.
        number = os.getpid()
        host = f"127.{10 + (number >> 8) % 200}.{number % 256}.{self._next_host}"
        self._next_host += 1
        return host

    def plan_instances(self, count: int, *, replicas: int = 3) -> None:
        """Assign names, zones and addresses to ``count`` instances."""
        for number in range(count):
            plan = InstancePlan(
                name=f"entry-{number + 1}",
                zone=ZONES[number % len(ZONES)],
                host=self._make_host(),
                replica=number < replicas,
            )
            self.plans.append(plan)

    def start_instances(self) -> None:
        """Start all planned instances and wait until they are ready."""
        for plan in self.plans:
            self.start_instance(plan)
        for plan in self.plans:
            self.wait_ready(plan.name)

    def start_instance(self, plan: InstancePlan) -> Member:
        """Start one instance."""
        path = self.folder / f"{plan.name}.toml"
        path.write_text(self.make_settings(plan))
        command = ["-m", "chivetrack.daemon", "--config", str(path)]
        return self._start(plan.name, command, address=f"{plan.host}:{CALLER_PORT}", host=plan.host)

    def make_settings(self, plan: InstancePlan) -> str:
        """Return the settings file of an instance."""
        from chivetrack.helpers.keys import hash_key

        seeds = [f"{other.host}:{PEER_PORT}" for other in self.plans if other is not plan]
        sections: dict[str, dict[str, Any]] = {
            "instance": {
                "id": plan.name,
                "region": REGION,
                "availability_zone": plan.zone,
                "roles": ["router", "replica"] if plan.replica else ["router"],
            },
            "listeners": {
                "caller": f"{plan.host}:{CALLER_PORT}",
                "resources": f"{plan.host}:{RESOURCE_PORT}",
                "peer": f"{plan.host}:{PEER_PORT}",
                "telemetry": f"{plan.host}:{TELEMETRY_PORT}",
            },
            "peers": {"seeds": seeds[:3]},
            "tls": {"enabled": False, "plain_text_accepted": True},
            "stop": {"settle_s": 0.5, "deadline_s": 20.0},
        }
        if plan.replica:
            sections["instance"]["data_folder"] = str(self.folder / plan.name)
        for name, values in self.settings.items():
            sections.setdefault(name, {}).update(values)
        text = "\n".join(_write_section(name, values) for name, values in sections.items())
        members = [
            f'{{ id = "{other.name}", address = "{other.host}:{PEER_PORT}" }}'
            for other in self.plans
            if other.replica
        ]
        text += f"\n[replicas]\ninitial = [{', '.join(members)}]\n"
        key_hash = hash_key(self.operator_key)
        return f'{text}\n[[operators.keys]]\nname = "local"\nhash = "{key_hash}"\n'

    def start_endpoint(self, name: str, *options: str, zone: str = ZONES[0]) -> Member:
        """Start a stand-in endpoint that announces itself to every instance in turn."""
        targets = [f"http://{plan.host}:{CALLER_PORT}" for plan in self.plans]
        command = ["-m", "standins", "endpoint", "--id", name, "--zone", zone, "--region", REGION]
        command += ["--listen", f"{self._make_host()}:0", *options]
        for target in targets:
            command += ["--announce-to", target]
        return self.start_and_wait_ready(name, command)

    def start_balancer(self) -> Member:
        """Start the stand-in for the platform's load balancer."""
        command = ["-m", "standins", "balancer", "--listen", f"{self._make_host()}:0"]
        for plan in self.plans:
            command += ["--target", f"{plan.host}:{CALLER_PORT}"]
        return self.start_and_wait_ready("balancer", command)

    def start_and_wait_ready(self, name: str, command: list[str]) -> Member:
        """Start a stand-in and wait until it prints its ``ready`` line."""
        member = self._start(name, command, address="")
        member.address = self._wait_line(member, "ready ")
        return member

    def _wait_line(self, member: Member, prefix: str) -> str:
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            for line in member.read_log().splitlines():
                if line.startswith(prefix):
                    return line.removeprefix(prefix).strip()
            if member.process.poll() is not None:
                break
            time.sleep(POLL_S)
        raise FleetError(f"{member.name} did not start:\n{member.read_log()}")

    def _start(self, name: str, command: list[str], *, address: str, host: str = "") -> Member:
        log = self.folder / f"{name}.log"
        output: IO[bytes]
        with log.open("ab") as output:
            process = subprocess.Popen(
                [sys.executable, *command], stdout=output, stderr=output, stdin=subprocess.DEVNULL
            )
        member = Member(name=name, address=address, process=process, log=log, host=host)
        self.members[name] = member
        return member

    def wait_ready(self, name: str) -> None:
        """Wait until the readiness check of an instance succeeds."""
        member = self.members[name]
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            if member.process.poll() is not None:
                break
            try:
                if self.request("GET", member, "/readyz").status == 200:
                    return
            except urllib3.exceptions.HTTPError:
                pass
            time.sleep(POLL_S)
        raise FleetError(f"{name} is not ready:\n{member.read_log()}")

    def request(
        self, method: str, member: Member, path: str, **options: Any
    ) -> urllib3.BaseHTTPResponse:
        """Send an HTTP request to a member's caller listener."""
        return self._http.request(method, f"http://{member.address}{path}", **options)

    def manage(
        self, method: str, member: Member, path: str, value: Any = None
    ) -> urllib3.BaseHTTPResponse:
        """Send a request to an instance's resource API as the operator."""
        headers = {"Authorization": f"Bearer {self.operator_key}"}
        body = None
        if value is not None:
            headers["Content-Type"] = "application/json"
            body = json.dumps(value)
        url = f"http://{member.host}:{RESOURCE_PORT}{path}"
        return self._http.request(method, url, headers=headers, body=body)

    def inject_fault(self, member: Member, mode: str, *, count: int = 1, **details: float) -> None:
        """Inject a fault into the next ``count`` requests of a stand-in; see ``Faults``."""
        body = json.dumps({"mode": mode, "count": count, **details})
        self.request("POST", member, "/standin/faults", body=body)

    def read_seen(self, member: Member) -> list[dict[str, Any]]:
        """Return the requests that a stand-in has received."""
        seen: list[dict[str, Any]] = self.request("GET", member, "/standin/seen").json()["seen"]
        return seen

    def stop(self) -> dict[str, int]:
        """Stop every process gracefully; return the exit codes by name."""
        codes: dict[str, int] = {}
        running = [m for m in self.members.values() if m.process.poll() is None]
        for member in running:
            if member.frozen:
                member.thaw()
            member.send(signal.SIGTERM)
        for member in running:
            try:
                codes[member.name] = member.process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                member.kill()
                codes[member.name] = -signal.SIGKILL
        return codes

    def kill(self) -> None:
        """Kill all processes that still run."""
        for member in self.members.values():
            if member.process.poll() is None:
                member.kill()


def _write_section(name: str, values: dict[str, Any]) -> str:
    lines = [f"[{name}]"]
    lines += [f"{key} = {json.dumps(value)}" for key, value in values.items()]
    return "\n".join(lines) + "\n"


@contextmanager
def open_fleet() -> Iterator[Fleet]:
    """Open a fleet in a temporary folder; kill its remaining processes at the end."""
    with TemporaryDirectory(prefix="chivetrack-") as folder:
        fleet = Fleet(folder=Path(folder))
        try:
            yield fleet
        finally:
            fleet.kill()
