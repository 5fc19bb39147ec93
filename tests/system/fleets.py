"""Fleets for the system tests: instances, links that can be cut, and an operator client."""

import json
import shutil
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import urllib3

from standins.fleet import PEER_PORT, RESOURCE_PORT, Fleet, InstancePlan, Member
from standins.link import get_applied_path

LINK_PORT = 18092
WAIT_S = 30.0
POLL_S = 0.05


class NotReachedError(AssertionError):
    """A condition was not met within its time limit."""


def _has_content(path: Path, text: str) -> bool:
    return path.exists() and path.read_text() == text


def wait_for(condition: Callable[[], Any], what: str, *, within_s: float = WAIT_S) -> Any:
    """Wait until a condition returns a truthy value, and return that value."""
    deadline = time.monotonic() + within_s
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_S)
    raise NotReachedError(what)


@dataclass(slots=True, kw_only=True)
class LinkedFleet(Fleet):
    """A fleet whose instances reach each other through links that can be cut."""

    extra: dict[str, dict[str, Any]] = field(default_factory=dict)

    def make_settings(self, plan: InstancePlan) -> str:
        """Return the settings with the peer addresses replaced by those of the links."""
        text = Fleet.make_settings(self, plan)
        for other in self.plans:
            text = text.replace(f"{other.host}:{PEER_PORT}", f"{other.host}:{LINK_PORT}")
        own = f'peer = "{plan.host}:{LINK_PORT}"'
        real = f'peer = "{plan.host}:{PEER_PORT}"'
        advertised = f'peer_advertised = "{plan.host}:{LINK_PORT}"'
        return text.replace(own, f"{real}\n{advertised}", 1)

    def start_links(self) -> None:
        """Start a link process in front of the peer port of each planned instance."""
        for plan in self.plans:
            command = ["-m", "standins", "link", "--listen", f"{plan.host}:{LINK_PORT}"]
            command += ["--target", f"{plan.host}:{PEER_PORT}"]
            command += ["--cuts", str(self.get_cuts(plan.name))]
            self.start_and_wait_ready(f"link-{plan.name}", command)

    def get_cuts(self, name: str) -> Path:
        """Return the path of the file that controls the cuts of an instance's link."""
        return self.folder / f"{name}.cuts"

    def cut(self, name: str) -> None:
        """Drop all traffic between an instance and the others; connections stay open."""
        pid = self.members[name].process.pid
        self._set_cuts({plan.name: str(pid) for plan in self.plans} | {name: "*"})

    def heal(self) -> None:
        """Remove all cuts."""
        self._set_cuts({plan.name: "" for plan in self.plans})

    def _set_cuts(self, cuts: dict[str, str]) -> None:
        """Write the cuts and wait until every link has applied them.

        A link reads its file every 50 ms. A write that a test sends before that passes the
        uncut link and is accepted, which the test would take for a fault of the fleet.
        """
        for name, text in cuts.items():
            self._write_cuts(name, text)
        for name, text in cuts.items():
            applied = get_applied_path(self.get_cuts(name))
            wait_for(partial(_has_content, applied, text), "cut not applied")

    def _write_cuts(self, name: str, text: str) -> None:
        temporary = self.get_cuts(name).with_suffix(".new")
        temporary.write_text(text)
        temporary.replace(self.get_cuts(name))


@contextmanager
def open_linked_fleet(*, instances: int, replicas: int = 3) -> Iterator[LinkedFleet]:
    """Open a running fleet whose instances are connected through links."""
    with TemporaryDirectory(prefix="chivetrack-") as folder:
        fleet = LinkedFleet(folder=Path(folder))
        try:
            fleet.plan_instances(instances, replicas=replicas)
            fleet.start_links()
            fleet.start_instances()
            yield fleet
        finally:
            fleet.kill()


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """The answer to an operator's request; status 0 means no answer."""

    status: int
    document: dict[str, Any]

    @property
    def revision(self) -> int:
        """Return the revision of the resource in the answer."""
        return int(self.document["metadata"]["revision"])


class Operator:
    """Client that writes and reads resources through a chosen instance."""

    def __init__(self, *, fleet: Fleet, timeout_s: float = 20.0) -> None:
        """Initialize the client; each request times out after ``timeout_s`` seconds."""
        self._fleet = fleet
        self._http = urllib3.PoolManager(retries=False, timeout=timeout_s)

    def send(self, method: str, name: str, path: str, value: Any = None, **headers: str) -> Answer:
        """Send a request through an instance; underscores in header names become dashes."""
        given = {key.replace("_", "-"): text for key, text in headers.items()}
        given["Authorization"] = f"Bearer {self._fleet.operator_key}"
        member = self._fleet.members[name]
        url = f"http://{member.host}:{RESOURCE_PORT}/api/v1/{path}"
        body = None if value is None else json.dumps(value)
        try:
            response = self._http.request(method, url, body=body, headers=given)
        except urllib3.exceptions.HTTPError:
            return Answer(status=0, document={})
        document = json.loads(response.data) if response.data else {}
        return Answer(status=response.status, document=document)

    def read_bytes(self, name: str, path: str) -> bytes:
        """Return the body of an answer that is not JSON."""
        given = {"Authorization": f"Bearer {self._fleet.operator_key}"}
        url = f"http://{self._fleet.members[name].host}:{RESOURCE_PORT}/api/v1/{path}"
        return self._http.request("GET", url, headers=given).data

    def create(self, through: str, name: str, priority: int = 1, **headers: str) -> Answer:
        """Create a workspace."""
        return self.send("POST", through, "workspace", make_workspace(name, priority), **headers)

    def replace(self, through: str, name: str, priority: int, revision: int) -> Answer:
        """Replace a workspace if ``revision`` is still its current revision."""
        value = make_workspace(name, priority)
        value["metadata"]["revision"] = revision
        return self.send("PUT", through, f"workspace/{name}", value)

    def get(self, through: str, name: str) -> Answer:
        """Read a workspace."""
        return self.send("GET", through, f"workspace/{name}")

    def get_status(self, through: str) -> dict[str, Any]:
        """Return the status document of an instance."""
        return self.send("GET", through, "status").document

    def find_leader(self, *, among: list[str] | None = None) -> str:
        """Wait until an instance reports that it leads, and return its name."""
        names = among or [plan.name for plan in self._fleet.plans]

        def find() -> str:
            for name in names:
                log = self.get_status(name).get("log", {})
                if log.get("role") == "leader":
                    return str(log["leader"])
            return ""

        return str(wait_for(find, "no leader"))


def make_workspace(name: str, priority: int) -> dict[str, Any]:
    """Return a workspace document."""
    return {"kind": "workspace", "metadata": {"name": name}, "spec": {"priority": priority}}


def delete_folder(fleet: Fleet, member: Member) -> None:
    """Delete a replica's data folder to simulate a lost disk."""
    shutil.rmtree(fleet.folder / member.name)
