"""Candidates for a request, and the endpoint that is chosen among them."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import NotRequired, TypedDict

from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.components.observation.speeds import ServiceSpeeds
from chivetrack.components.traffic.models import Service
from chivetrack.components.traffic.requests import RequestFacts


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """An endpoint that may be chosen.

    ``failure_share``: the share of its latest attempts that failed, 0 to 1. ``is_slow``: it
    has just started, and no slow start limits its requests while it is cold.
    """

    record: EndpointRecord
    is_silent: bool = False
    is_slow: bool = False
    failure_share: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Source:
    """An engine that may have parts cached; a new engine has received few prompts so far."""

    record: EndpointRecord
    is_new: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """The endpoint chosen for a request.

    ``missing_tokens``: prompt tokens that the endpoint has to read. ``running``: requests in
    flight there, from all routers. ``cost_ms``: the cost by which endpoints are compared.
    ``fetch_from``: the address of an engine that probably has more of the prompt cached.
    ``is_home``: the endpoint is the prompt's first home, where other routers expect the
    prompt without a report. ``expected_ms``: the expected time to the first event, or to a
    plain answer; ``certain_ms``: its part that is taken by known work. ``location_ms``: the part
    of the cost that does not depend on the load.
    """

    record: EndpointRecord
    missing_tokens: int
    running: int
    cost_ms: float
    fetch_from: str = ""
    is_home: bool = False
    expected_ms: float = 0.0
    certain_ms: float = 0.0
    location_ms: float = 0.0


class ChoiceContext(TypedDict):
    """What a choice depends on besides its candidates.

    ``now`` is a monotonic time in seconds. ``sources``: engines from which cached parts may be
    fetched, including leaving ones. ``routers``: number of routers that choose at the same time.
    ``speeds``: speed statistics of the service's endpoints. ``resting``: ids of healthy endpoints
    that get no requests now; they count towards the mean load of the service.
    """

    service: Service | None
    facts: RequestFacts
    now: float
    sources: NotRequired[Sequence[Source]]
    routers: NotRequired[int]
    speeds: NotRequired[ServiceSpeeds | None]
    resting: NotRequired[Collection[str]]


class Exclusion(StrEnum):
    """Why a candidate may not be chosen."""

    OVER_BOUND = "over_bound"
    NOT_HOME = "not_home"


@dataclass(frozen=True, slots=True, kw_only=True)
class ComparedChoice:
    """A candidate with its cost; ``exclusion`` is set if it may not be chosen."""

    choice: Choice
    exclusion: Exclusion | None = None
