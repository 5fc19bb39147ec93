"""Placement of requests on endpoints, and the statistics of their answers; without I/O."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Unpack

from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.components.distribution.const import LARGE_FLEET_ROUTERS
from chivetrack.components.distribution.messages import EndpointLoad, PlacedPart
from chivetrack.components.observation.silence import SilenceTable, find_wait_limit
from chivetrack.components.observation.speeds import ServiceSpeeds
from chivetrack.components.placement.choice import Candidate, Choice, ChoiceContext, ComparedChoice
from chivetrack.components.placement.chooser import Chooser
from chivetrack.components.placement.loads import LoadTable
from chivetrack.components.placement.parts import (
    MIN_REPORTED_HOME_TOKENS,
    MIN_REPORTED_TOKENS,
    PartTracker,
)
from chivetrack.components.placement.weights import DEFAULT_WEIGHTS, PlacementWeights
from chivetrack.components.traffic.requests import EndpointLoadFacts, PromptPart, RequestFacts

MAX_REPORTED_TURNS = 8
"""Largest number of requests that an endpoint is believed to hold, as a multiple of its slots."""


@dataclass(slots=True, kw_only=True)
class Placed:
    """An attempt in progress at an endpoint.

    Times are monotonic, in seconds. ``missing_tokens``: prompt tokens that the engine has to
    read for this request. ``ahead_tokens``: prompt tokens that it has to read before those.
    ``number``: the number of the attempt in ``SilenceTable``. ``new_parts``: shared parts
    that were first recorded at the endpoint with this attempt. ``is_finished``: it is not counted
    any more, as one that another endpoint has overtaken.
    """

    endpoint_id: str
    service: str
    missing_tokens: int
    ahead_tokens: float
    has_prompt: bool
    started_at: float
    wait_limit_s: float
    number: int = 0
    new_parts: tuple[PromptPart, ...] = ()
    output_tokens: int = 0
    first_at: float | None = None
    is_complete: bool = False
    is_finished: bool = False


class Placement:
    """Chooses endpoints, counts their load and learns their speed from the answers."""

    def __init__(self, *, zone: str, weights: PlacementWeights = DEFAULT_WEIGHTS) -> None:
        """Initialize the placement for a router in ``zone``, without load or statistics."""
        self.loads = LoadTable()
        self.parts = PartTracker()
        self._speeds: dict[str, ServiceSpeeds] = {}
        self._silence = SilenceTable()
        self._chooser = Chooser(zone=zone, loads=self.loads, parts=self.parts, weights=weights)

    def get_speeds(self, service: str) -> ServiceSpeeds:
        """Return the speed statistics of a service's endpoints."""
        speeds = self._speeds.get(service)
        if speeds is None:
            speeds = self._speeds[service] = ServiceSpeeds()
        return speeds

    def choose(
        self, candidates: Sequence[Candidate], **context: Unpack[ChoiceContext]
    ) -> Choice | None:
        """Return the endpoint of the lowest cost, or ``None`` without candidates."""
        if not candidates:
            return None
        context["speeds"] = self.get_speeds(candidates[0].record.service)
        return self._chooser.choose(candidates, **context)

    def compare(
        self, candidates: Sequence[Candidate], **context: Unpack[ChoiceContext]
    ) -> list[ComparedChoice]:
        """Return all candidates with their cost, and why some may not be chosen."""
        if not candidates:
            return []
        context["speeds"] = self.get_speeds(candidates[0].record.service)
        return self._chooser.compare(candidates, **context)

    def expect_complete_s(self, choice: Choice, facts: RequestFacts) -> float | None:
        """Return the time in seconds within which most such answers are complete.

        Return ``None`` for a stream as long as none of the service has ended here.
        """
        speeds = self.get_speeds(choice.record.service)
        if not facts.parts:
            return choice.expected_ms * speeds.tail_factor / 1000
        if not speeds.has_streams:
            return None
        answer_ms = speeds.expect_answer_ms(facts.likely_output_tokens)
        return (choice.expected_ms + answer_ms) / 1000

    def start(
        self, choice: Choice, facts: RequestFacts, *, now: float, capacity: int, routers: int = 1
    ) -> Placed:
        """Count a request at the chosen endpoint.

        ``capacity`` is the cache size of an engine in tokens; ``routers`` is the number of
        routers in the fleet.
        """
        endpoint_id = choice.record.endpoint_id
        new_parts: tuple[PromptPart, ...] = ()
        if facts.parts:
            is_expected = choice.is_home and routers > LARGE_FLEET_ROUTERS
            new_parts = self.parts.record_sent(
                endpoint_id,
                facts.shared_parts,
                now=now,
                capacity=capacity,
                min_reported_tokens=(
                    MIN_REPORTED_HOME_TOKENS if is_expected else MIN_REPORTED_TOKENS
                ),
            )
            self.parts.record_unshared(endpoint_id, facts.parts[-1], now=now, capacity=capacity)
        speeds = self.get_speeds(choice.record.service)
        waiting = self.loads.count_tokens(endpoint_id, now, rate=speeds.read_tokens_per_ms)
        self.loads.start(endpoint_id, choice.missing_tokens)
        wait_limit_s = find_wait_limit(choice.expected_ms, speeds.tail_factor)
        return Placed(
            endpoint_id=endpoint_id,
            service=choice.record.service,
            missing_tokens=choice.missing_tokens,
            ahead_tokens=waiting,
            has_prompt=bool(facts.parts),
            new_parts=new_parts,
            started_at=now,
            wait_limit_s=wait_limit_s,
            number=self._silence.start(endpoint_id, now=now, wait_limit_s=wait_limit_s),
            output_tokens=facts.likely_output_tokens,
        )

    def record_bytes(self, placed: Placed, *, now: float) -> None:
        """Record that bytes of an answer have arrived from its endpoint."""
        self._silence.record_bytes(placed.endpoint_id, placed.number, now=now)

    def is_silent(self, endpoint_id: str, now: float) -> bool:
        """Return whether answers of an endpoint are overdue and it has sent no bytes since."""
        return self._silence.is_silent(endpoint_id, now)

    def record_first_event(self, placed: Placed, *, now: float) -> None:
        """Record the first event of an answer, which shows that the prompt has been read."""
        if placed.first_at is not None:
            return
        placed.first_at = now
        self.loads.finish_reading(placed.endpoint_id, placed.missing_tokens)
        if placed.has_prompt:
            self.get_speeds(placed.service).record_first_event(
                placed.endpoint_id,
                tokens=placed.missing_tokens + placed.ahead_tokens,
                took_ms=(now - placed.started_at) * 1000,
                now=now,
            )

    def record_overtaken(self, placed: Placed, *, now: float) -> None:
        """Record that the endpoint of a second attempt answered first."""
        tokens = placed.missing_tokens + placed.ahead_tokens if placed.has_prompt else None
        self.get_speeds(placed.service).record_overtaken(
            placed.endpoint_id, tokens=tokens, took_ms=(now - placed.started_at) * 1000, now=now
        )

    def finish(self, placed: Placed, *, now: float) -> None:
        """Count a request as ended.

        Only complete answers update the speed statistics.
        """
        if placed.is_finished:
            return
        placed.is_finished = True
        if placed.first_at is None:
            self.loads.finish_reading(placed.endpoint_id, placed.missing_tokens)
            self.parts.withdraw(placed.endpoint_id, placed.new_parts)
        self.loads.finish(placed.endpoint_id)
        self._silence.finish(placed.endpoint_id, placed.number)
        if not placed.is_complete:
            return
        speeds = self.get_speeds(placed.service)
        if placed.first_at is not None:
            took_ms = (now - placed.first_at) * 1000
            speeds.record_stream(took_ms, tokens=placed.output_tokens)
        elif not placed.has_prompt:
            took_ms = (now - placed.started_at) * 1000
            speeds.record_plain_answer(placed.endpoint_id, took_ms=took_ms, now=now)

    def record_report(self, record: EndpointRecord, load: EndpointLoadFacts, *, now: float) -> None:
        """Record the load and speed that an endpoint reports with an answer.

        Only endpoints that also report their speed are counted by their own reports; the others
        are placed on by the counts of the routers alone.
        """
        if load.work_factor is None:
            return
        # A wrong figure must not raise the mean load of the service, and with it every bound.
        requests = min(load.running + load.waiting, MAX_REPORTED_TURNS * record.slots)
        self.loads.record_report(record.endpoint_id, requests, now=now)
        speeds = self.get_speeds(record.service)
        speeds.record_report(record.endpoint_id, load.work_factor, now=now)

    # Reports between routers

    def handle_other_loads(self, loads: Iterable[EndpointLoad], *, now: float) -> None:
        """Handle the loads that the other routers have reported."""
        self.loads.handle_other_loads(loads, now=now)

    def handle_placements(self, placed: Iterable[PlacedPart], *, now: float, capacity: int) -> None:
        """Handle the placements that the other routers have reported.

        ``capacity`` is the cache size of an engine in tokens.
        """
        self.parts.handle_placements(placed, now=now, capacity=capacity)

    def list_own(self) -> Iterator[EndpointLoad]:
        """Yield the load of this router, by endpoint."""
        return self.loads.list_own()

    def pop_placements(self, now: float) -> Iterator[PlacedPart]:
        """Yield placements to be reported to the other routers, and clear them."""
        return self.parts.pop_placements(now)

    def forget(self, endpoint_id: str, *, emptied_at: float | None = None) -> None:
        """Reset the statistics of an endpoint that has restarted or left.

        ``emptied_at`` is the time at which a restart was noticed.
        """
        self.parts.forget(endpoint_id, emptied_at=emptied_at)
        self._silence.forget(endpoint_id)
        self.loads.forget_report(endpoint_id)
        for speeds in self._speeds.values():
            speeds.forget(endpoint_id)
