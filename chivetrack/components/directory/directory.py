"""Looks up workspaces, routing policies and models for the pipeline."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from chivetrack.components.configuration.view import ConfigView
from chivetrack.components.endpoints.models import EndpointState
from chivetrack.components.resources.const import ANY_NAME
from chivetrack.components.resources.keys import check_key
from chivetrack.components.resources.models import Locality, RoutingPolicy, Workspace


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkspaceHandle:
    """Named workspace, as the pipeline reads it."""

    name: str
    form: Workspace

    @property
    def priority(self) -> int:
        """Return the priority that is sent to engines with each request."""
        return self.form.priority

    @property
    def rate(self) -> float | None:
        """Return the rate limit in requests per second, ``None`` without one."""
        return self.form.rate

    @property
    def concurrency(self) -> int | None:
        """Return the maximum number of concurrent requests, ``None`` without one."""
        return self.form.concurrency

    def allows(self, service: str) -> bool:
        """Return whether the workspace may use a service; an empty list allows none."""
        return service in self.form.services or ANY_NAME in self.form.services


@dataclass(frozen=True, slots=True, kw_only=True)
class PolicyHandle:
    """Routing policy, as the pipeline reads it; times in seconds."""

    form: RoutingPolicy

    @property
    def load_bound(self) -> float:
        """Return the multiple of the mean load that no endpoint may exceed."""
        return self.form.load_bound

    @property
    def max_attempts(self) -> int:
        """Return the maximum number of attempts of a request."""
        return self.form.max_attempts

    @property
    def timeout_s(self) -> float:
        """Return the total time limit of a request."""
        return self.form.timeouts.total_s

    @property
    def stall_timeout_s(self) -> float:
        """Return the maximum time between two chunks of a stream."""
        return self.form.timeouts.idle_s

    @property
    def locality(self) -> Locality:
        """Return how close to its router a request should be served."""
        return self.form.locality

    @property
    def idempotent(self) -> bool | None:
        """Return whether requests may run twice; ``None`` leaves it to the method."""
        return self.form.idempotent


class AnnouncedEndpoints(Protocol):
    """Interface of the registry of announced endpoints."""

    @property
    def version(self) -> int:
        """Return a number that changes with each change of the lists."""
        ...

    def list_services(self) -> Sequence[str]:
        """Return the names of services that have endpoints."""
        ...

    def list_endpoints(self, service: str) -> Sequence[EndpointState]:
        """Return the endpoints of a service."""
        ...


class ConfigDirectory:
    """Looks up configuration in force for the pipeline.

    A model belongs to the service named by its ``model`` resource. Without such a resource,
    it belongs to the service whose endpoints announce it.
    """

    def __init__(self, *, view: ConfigView, endpoints: AnnouncedEndpoints) -> None:
        """Create a directory that reads ``view`` and the announced endpoints."""
        self._view = view
        self._endpoints = endpoints
        self._announced: dict[str, str] = {}
        self._announced_version = -1

    def find_workspace(self, name: str) -> WorkspaceHandle | None:
        """Return a workspace by name, ``None`` if it does not exist."""
        named = self._view.get_workspace(name)
        return None if named is None else WorkspaceHandle(name=named.name, form=named.form)

    def find_workspace_by_key(self, key: str) -> WorkspaceHandle | None:
        """Return the workspace to which a caller's key belongs, ``None`` if unknown."""
        named = self._view.find_workspace(key)
        return None if named is None else WorkspaceHandle(name=named.name, form=named.form)

    def check_key(self, workspace: WorkspaceHandle, key: str) -> bool:
        """Return whether a key belongs to the workspace, comparing it with all its keys."""
        # No early exit, so that the response time does not reveal which stored key nearly matched.
        matches = [check_key(key, stored) for stored in workspace.form.keys]
        return True in matches

    def get_policy(self, workspace: WorkspaceHandle) -> PolicyHandle:
        """Return the routing policy of a workspace."""
        return PolicyHandle(form=self._view.get_policy(workspace.form))

    def find_service(self, model: str) -> str | None:
        """Return the service that serves a model, ``None`` if unknown."""
        for named in self._view.list_named("model"):
            if named.name == model:
                return str(named.form.service)
        if self._announced_version != self._endpoints.version:
            self._announced = self._index_announced()
            self._announced_version = self._endpoints.version
        return self._announced.get(model)

    def _index_announced(self) -> dict[str, str]:
        return {
            model: service
            for service in self._endpoints.list_services()
            for endpoint in self._endpoints.list_endpoints(service)
            for model in endpoint.models
        }

    def is_confirmed(self, now: float) -> bool:
        """Return whether requests may be served with the current configuration."""
        return self._view.check_serving(now) is None
