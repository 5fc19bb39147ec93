"""Requests to the routing component and its results."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from chivetrack.components.endpoints.models import EndpointState

DEFAULT_LOAD_BOUND = 1.25


@dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Requirements of a request on its endpoint.

    ``affinity`` identifies the chat (or the dossier that several chats share); requests of
    equal affinity prefer the same endpoint. ``load_bound`` is the multiple of the mean load
    per unit of capacity that no endpoint may exceed. ``excluded`` holds the endpoints that
    were already attempted for this request.
    """

    affinity: str
    workspace: str
    service: str
    model: str = ""
    adapter: str = ""
    version: str = ""
    role: str = ""
    region: str = ""
    zone: str = ""
    load_bound: float = DEFAULT_LOAD_BOUND
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """An endpoint that was considered, for the explanation of a placement.

    ``age_s`` is the age of the load in ``in_flight``.
    """

    endpoint_id: str
    in_flight: float
    limit: float
    age_s: float
    verdict: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """The chosen endpoint and the reason for the choice.

    ``endpoint`` is ``None`` when no endpoint fits; ``reason`` then names what was missing,
    and ``retry_after_s`` is the time after which the caller should retry.
    """

    endpoint: EndpointState | None
    reason: str
    candidates: tuple[Candidate, ...] = ()
    retry_after_s: float | None = None


class EndpointView(Protocol):
    """The list of endpoints, as routing reads it.

    ``version`` changes whenever the list does, so that routing can cache results computed
    from the list.
    """

    @property
    def version(self) -> int:
        """Return the version of the list."""
        ...

    def list_endpoints(self, service: str) -> Sequence[EndpointState]:
        """Return all known endpoints of a service, whatever their availability."""
        ...
