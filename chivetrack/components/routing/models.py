"""What routing is asked and what it answers."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from chivetrack.components.endpoints.models import EndpointState

DEFAULT_LOAD_BOUND = 1.25


@dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """What a request needs of an endpoint.

    ``affinity`` names the chat (or the dossier that several chats share): equal
    values want the same endpoint. ``load_bound`` is the multiple of the mean load
    per unit of capacity that no endpoint may exceed. ``excluded`` are endpoints
    that were already tried for this request.
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
    """One endpoint that was looked at, for the explanation of a placement."""

    endpoint_id: str
    in_flight: float
    limit: float
    age_s: float
    verdict: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """The chosen endpoint, and why.

    ``endpoint`` is ``None`` when no endpoint fits; ``reason`` then says what was
    missing and ``retry_after_s`` when to come back.
    """

    endpoint: EndpointState | None
    reason: str
    candidates: tuple[Candidate, ...] = ()
    retry_after_s: float | None = None


class EndpointView(Protocol):
    """The list of endpoints as routing reads it.

    ``version`` changes whenever the list does, so that routing may keep what it
    computed from it.
    """

    @property
    def version(self) -> int:
        """Return a number that changes with the list."""
        ...

    def list_endpoints(self, service: str) -> Sequence[EndpointState]:
        """Return all known endpoints of a service, whatever their availability."""
        ...
