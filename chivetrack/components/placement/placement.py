"""Where requests go, and what is learned from how they end; free of I/O."""

from collections.abc import Collection, Iterable, Iterator, Sequence
from dataclasses import dataclass

from chivetrack.components.distribution.const import LARGE_FLEET_ROUTERS
from chivetrack.components.distribution.messages import EndpointLoad, PlacedPart
from chivetrack.components.observation.silence import SilenceTable, find_patience
from chivetrack.components.observation.speeds import ServiceSpeeds
from chivetrack.components.placement.choice import Candidate, Choice, Chooser, Source
from chivetrack.components.placement.loads import LoadTable
from chivetrack.components.placement.parts import (
    MIN_EXPECTED_TOKENS,
    MIN_TOLD_TOKENS,
    PartBook,
)
from chivetrack.components.placement.weights import DEFAULT_WEIGHTS, PlacementWeights
from chivetrack.components.traffic.models import Service
from chivetrack.components.traffic.requests import PromptPart, RequestFacts


@dataclass(slots=True, kw_only=True)
class Placed:
    """A try that is under way at an endpoint; times are of the steady clock in seconds."""

    endpoint_id: str
    service: str
    missing_tokens: int
    ahead_tokens: float
    has_prompt: bool
    started_at: float
    patience_s: float
    number: int = 0
    new_parts: tuple[PromptPart, ...] = ()
    output_tokens: int = 0
    first_at: float | None = None
    is_whole: bool = False


class Placement:
    """Chooses endpoints, counts what is in use there and learns from what comes back."""

    def __init__(self, *, zone: str, weights: PlacementWeights = DEFAULT_WEIGHTS) -> None:
        """Start with nothing in use and nothing learned."""
        self.loads = LoadTable()
        self.parts = PartBook()
        self._speeds: dict[str, ServiceSpeeds] = {}
        self._silence = SilenceTable()
        self._chooser = Chooser(zone=zone, loads=self.loads, parts=self.parts, weights=weights)

    def get_speeds(self, service: str) -> ServiceSpeeds:
        """Return what has been learned of a service's endpoints."""
        speeds = self._speeds.get(service)
        if speeds is None:
            speeds = self._speeds[service] = ServiceSpeeds()
        return speeds

    def choose(
        self,
        candidates: Sequence[Candidate],
        *,
        service: Service | None,
        facts: RequestFacts,
        now: float,
        sources: Sequence[Source] = (),
        routers: int = 1,
        resting: Collection[str] = (),
    ) -> Choice | None:
        """Return the best endpoint, ``None`` without candidates; see ``Chooser``."""
        if not candidates:
            return None
        return self._chooser.choose(
            candidates,
            service=service,
            facts=facts,
            now=now,
            sources=sources,
            routers=routers,
            speeds=self.get_speeds(candidates[0].record.service),
            resting=resting,
        )

    def expect_whole_s(self, choice: Choice, facts: RequestFacts) -> float:
        """Return within which time (s) most answers like this one are whole."""
        speeds = self.get_speeds(choice.record.service)
        if not facts.parts:
            return choice.expected_ms * speeds.spread / 1000
        answer_ms = speeds.expect_answer_ms(facts.likely_output_tokens)
        return (choice.expected_ms + answer_ms) / 1000

    def start(
        self, choice: Choice, facts: RequestFacts, *, now: float, capacity: int, routers: int = 1
    ) -> Placed:
        """Count a request at the endpoint that was chosen; ``capacity`` of a cache in tokens."""
        endpoint_id = choice.record.endpoint_id
        new_parts: tuple[PromptPart, ...] = ()
        if facts.parts:
            is_expected = choice.is_home and routers > LARGE_FLEET_ROUTERS
            new_parts = self.parts.note(
                endpoint_id,
                facts.shared_parts,
                now=now,
                capacity=capacity,
                min_told=MIN_EXPECTED_TOKENS if is_expected else MIN_TOLD_TOKENS,
            )
            self.parts.note_own(endpoint_id, facts.parts[-1], now=now, capacity=capacity)
        speeds = self.get_speeds(choice.record.service)
        waiting = self.loads.count_tokens(endpoint_id, now, rate=speeds.read_tokens_per_ms)
        self.loads.start(endpoint_id, choice.missing_tokens)
        patience_s = find_patience(choice.expected_ms, speeds.spread)
        return Placed(
            endpoint_id=endpoint_id,
            service=choice.record.service,
            missing_tokens=choice.missing_tokens,
            ahead_tokens=waiting,
            has_prompt=bool(facts.parts),
            new_parts=new_parts,
            started_at=now,
            patience_s=patience_s,
            number=self._silence.start(endpoint_id, now=now, patience_s=patience_s),
            output_tokens=facts.likely_output_tokens,
        )

    def hear(self, placed: Placed, *, now: float) -> None:
        """Note bytes of an endpoint."""
        self._silence.hear(placed.endpoint_id, placed.number, now=now)

    def is_silent(self, endpoint_id: str, now: float) -> bool:
        """Return whether an endpoint owes an answer and has said nothing since."""
        return self._silence.is_silent(endpoint_id, now)

    def note_first(self, placed: Placed, *, now: float) -> None:
        """Take a prompt as read: its first event has come."""
        if placed.first_at is not None:
            return
        placed.first_at = now
        self.loads.begin(placed.endpoint_id, placed.missing_tokens)
        if placed.has_prompt:
            self.get_speeds(placed.service).note_first(
                placed.endpoint_id,
                tokens=placed.missing_tokens + placed.ahead_tokens,
                took_ms=(now - placed.started_at) * 1000,
                now=now,
            )

    def finish(self, placed: Placed, *, now: float) -> None:
        """Count a request as ended; only whole answers tell of an endpoint's speed."""
        if placed.first_at is None:
            self.loads.begin(placed.endpoint_id, placed.missing_tokens)
            self.parts.withdraw(placed.endpoint_id, placed.new_parts)
        self.loads.finish(placed.endpoint_id)
        self._silence.finish(placed.endpoint_id, placed.number)
        if not placed.is_whole:
            return
        speeds = self.get_speeds(placed.service)
        if placed.first_at is not None:
            took_ms = (now - placed.first_at) * 1000
            speeds.note_answer(took_ms, tokens=placed.output_tokens)
        elif not placed.has_prompt:
            took_ms = (now - placed.started_at) * 1000
            speeds.note_plain(placed.endpoint_id, took_ms=took_ms, now=now)

    # What routers tell each other

    def take_others(self, loads: Iterable[EndpointLoad], *, now: float) -> None:
        """Take what the other routers have in use."""
        self.loads.take_others(loads, now=now)

    def take_news(self, placed: Iterable[PlacedPart], *, now: float, capacity: int) -> None:
        """Take what the other routers have sent where; ``capacity`` of a cache in tokens."""
        self.parts.take_news(placed, now=now, capacity=capacity)

    def list_own(self) -> Iterator[EndpointLoad]:
        """Yield what this router uses."""
        return self.loads.list_own()

    def list_news(self, now: float) -> Iterator[PlacedPart]:
        """Yield the placements that the other routers have not been told."""
        return self.parts.list_news(now)

    def forget(self, endpoint_id: str, *, emptied_at: float | None = None) -> None:
        """Begin anew with an endpoint; ``emptied_at`` is when it was seen to have restarted."""
        self.parts.forget(endpoint_id, emptied_at=emptied_at)
        self._silence.forget(endpoint_id)
        for speeds in self._speeds.values():
            speeds.forget(endpoint_id)
