"""The registry of operations, from which routes and the OpenAPI document are generated."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from chivetrack.components.resource_api.models import ApiRequest, OperationResult, Ports
from chivetrack.helpers.registry import Registry

Handler = Callable[[Ports, ApiRequest], OperationResult]
HandlerT = TypeVar("HandlerT", bound=Handler)


@dataclass(frozen=True, slots=True, kw_only=True)
class Parameter:
    """A query parameter."""

    name: str
    type: str
    summary: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Operation:
    """One operation on the resources of a kind.

    ``statuses`` are the HTTP statuses specific to the operation; the OpenAPI document adds
    those that are common to all operations.
    """

    name: str
    method: str
    has_name: bool
    handler: Handler
    summary: str
    statuses: tuple[int, ...]
    parameters: tuple[Parameter, ...]
    takes_body: bool

    @property
    def is_write(self) -> bool:
        """Return whether the operation changes resources."""
        return self.method != "GET"


OPERATIONS: Registry[Operation] = Registry(name="operation")


def operation(
    name: str,
    method: str,
    *,
    has_name: bool,
    statuses: tuple[int, ...],
    parameters: tuple[Parameter, ...] = (),
) -> Callable[[HandlerT], HandlerT]:
    """Register a function as the handler of an operation."""

    def register(handler: HandlerT) -> HandlerT:
        entry = Operation(
            name=name,
            method=method,
            has_name=has_name,
            handler=handler,
            summary=(handler.__doc__ or "").strip().splitlines()[0],
            statuses=statuses,
            parameters=parameters,
            takes_body=method in ("POST", "PUT", "PATCH"),
        )
        OPERATIONS.register(name)(entry)
        return handler

    return register
