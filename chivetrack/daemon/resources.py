"""Connection of the resource API to the log, the configuration and the endpoints."""

import msgspec
from bottle import Bottle
from expression import Error, Ok, Result

from chivetrack.components.configuration.view import ConfigView
from chivetrack.components.endpoints.models import EndpointState
from chivetrack.components.endpoints.registry import EndpointRegistry
from chivetrack.components.resource_api.app import build_app
from chivetrack.components.resource_api.models import ObservedResource, Ports
from chivetrack.components.settings.models import HashedKey
from chivetrack.components.store.commands import Command
from chivetrack.components.store.outcomes import Outcome
from chivetrack.components.store.queries import Answer, Query
from chivetrack.daemon.submissions import Submissions
from chivetrack.exceptions import Fault
from chivetrack.helpers.codec import pack, unpack
from chivetrack.helpers.keys import KeyHolder, KeyRing

WRITE_TIMEOUT_S = 10.0
READ_TIMEOUT_S = 5.0
GENERATED_REQUEST_ID_PREFIX = "auto:"


class ResourceHandler:
    """Submits commands and queries of the resource API to the leader."""

    def __init__(self, *, submissions: Submissions, registry: EndpointRegistry) -> None:
        """Create a handler; ``registry`` provides the observed endpoints."""
        self._submissions = submissions
        self._registry = registry

    def submit(self, command: Command) -> Result[Outcome, Fault]:
        """Submit a command and return its outcome after it was committed.

        A command without a request id gets a generated one. A command is resent when an
        answer is lost, and the request id prevents that it is applied twice.
        """
        if not command.stamp.request_id:
            request_id = GENERATED_REQUEST_ID_PREFIX + self._submissions.make_id()
            stamp = msgspec.structs.replace(command.stamp, request_id=request_id)
            command = msgspec.structs.replace(command, stamp=stamp)
        result = self._submissions.submit(pack(command), timeout_s=WRITE_TIMEOUT_S)
        if result.is_error():
            return Error(result.error)
        outcome = unpack(result.ok)
        assert isinstance(outcome, Outcome)
        return Ok(outcome)

    def read(self, query: Query) -> Result[Answer, Fault]:
        """Answer a query from a state that includes all commands committed before it."""
        result = self._submissions.read(pack(query), timeout_s=READ_TIMEOUT_S)
        if result.is_error():
            return Error(result.error)
        answer = unpack(result.ok.result)
        assert isinstance(answer, Answer)
        return Ok(answer)

    def list_endpoints(self) -> list[ObservedResource]:
        """Return the endpoints as this router sees them."""
        return [
            _observe(endpoint)
            for service in self._registry.list_services()
            for endpoint in self._registry.list_endpoints(service)
        ]


def _observe(endpoint: EndpointState) -> ObservedResource:
    spec = {
        "address": endpoint.address,
        "service": endpoint.service,
        "region": endpoint.region,
        "zone": endpoint.zone,
        "kind": endpoint.kind.value,
        "capacity": endpoint.capacity,
        "models": list(endpoint.models),
        "adapters": list(endpoint.adapters),
        "version": endpoint.version,
        "role": endpoint.role,
        "checks_fencing": endpoint.checks_fencing,
    }
    status = {
        "availability": endpoint.availability.value,
        "reason": endpoint.reason,
        "incarnation": endpoint.incarnation,
    }
    return ObservedResource(name=endpoint.endpoint_id, spec=spec, status=status)


def build_resources_app(
    *, handler: ResourceHandler, view: ConfigView, operators: KeyRing
) -> Bottle:
    """Return the application of the resource API."""
    ports = Ports(
        submit=handler.submit,
        read=handler.read,
        view=view,
        check_operator=lambda token: operators.find_holder(token) is not None,
        observed={"endpoint": handler.list_endpoints},
    )
    return build_app(ports)


def make_key_ring(keys: tuple[HashedKey, ...]) -> KeyRing:
    """Return a key ring with the keys that a listener accepts."""
    return KeyRing(holders=[KeyHolder(name=key.name, hash=key.hash) for key in keys])
