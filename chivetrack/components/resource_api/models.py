"""Requests, results and dependencies of the operations, independent of the HTTP library."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, TypeAlias

from expression import Result

from chivetrack.components.configuration.view import ConfigView
from chivetrack.components.resources.kinds import Kind
from chivetrack.components.store.commands import Command
from chivetrack.components.store.outcomes import Outcome
from chivetrack.components.store.queries import Answer, Query
from chivetrack.exceptions import Fault
from chivetrack.helpers.finding import Finding

Json: TypeAlias = dict[str, Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class ObservedResource:
    """A resource of a kind that is observed and not stored."""

    name: str
    spec: Mapping[str, Any]
    status: Mapping[str, Any] = field(default_factory=dict)


Submit: TypeAlias = Callable[[Command], Result[Outcome, Fault]]
Read: TypeAlias = Callable[[Query], Result[Answer, Fault]]
Observe: TypeAlias = Callable[[], Sequence[ObservedResource]]


@dataclass(frozen=True, slots=True, kw_only=True)
class Ports:
    """The functions of the instance that the API depends on.

    ``submit`` commits a command through the leader. ``read`` is linearizable: its answer
    includes everything that was committed when it was called. Both may block the calling
    greenlet. A fault with ``Ran.NO`` guarantees that the command will not be committed
    later. ``observed`` lists the resources of each kind that is not stored.
    ``check_operator`` returns whether a bearer token belongs to an operator.
    """

    submit: Submit
    read: Read
    view: ConfigView
    check_operator: Callable[[str], bool]
    observed: Mapping[str, Observe] = field(default_factory=dict)
    bookmark_interval_s: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ApiRequest:
    """One request to an operation.

    ``fingerprint`` distinguishes a resend from another request with the same id.
    """

    kind: Kind
    name: str = ""
    body: bytes = b""
    query: Mapping[str, str] = field(default_factory=dict)
    precondition: int | None = None
    request_id: str = ""
    fingerprint: bytes = b""


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """A complete answer with a JSON body."""

    status: int
    body: Json


@dataclass(frozen=True, slots=True, kw_only=True)
class Stream:
    """An answer of JSON objects, one per line, that lasts until the caller disconnects."""

    lines: Iterator[bytes]


@dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """An error answer; ``current`` is the stored resource that conflicts with the request."""

    fault: Fault
    findings: Sequence[Finding] = ()
    current: Json | None = None


OperationResult: TypeAlias = Result[Reply | Stream, Problem]
