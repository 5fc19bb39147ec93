"""Choice of an endpoint of a service by estimated cost."""

from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import Unpack

from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.components.observation.speeds import ServiceSpeeds
from chivetrack.components.placement.choice import (
    Candidate,
    Choice,
    ChoiceContext,
    ComparedChoice,
    Exclusion,
    Source,
)
from chivetrack.components.placement.loads import LoadTable
from chivetrack.components.placement.parts import PartTracker
from chivetrack.components.placement.prompts import PromptState, find_homes, group_sources
from chivetrack.components.placement.weights import (
    DEFAULT_WEIGHTS,
    FEW_ROUTERS,
    PlacementWeights,
)
from chivetrack.components.traffic.models import Service
from chivetrack.components.traffic.requests import RequestFacts


@dataclass(frozen=True, slots=True, kw_only=True)
class _Ranking:
    """The candidates within the bound on requests, those of them that are allowed, their cost."""

    within: Sequence[Candidate]
    allowed: Sequence[Candidate]
    score: Callable[[Candidate], Choice]

    def list_choices(self, candidates: Sequence[Candidate]) -> list[Choice]:
        return [self.score(candidate) for candidate in candidates]

    def find_exclusion(self, candidate: Candidate) -> Exclusion | None:
        if candidate in self.allowed:
            return None
        return Exclusion.NOT_HOME if candidate in self.within else Exclusion.OVER_BOUND


class Chooser:
    """Selects endpoints by cached prompts, load and distance; without I/O.

    Prompts of 10,000 shared tokens may arrive at many routers at once. Each prompt is read at
    one engine; when that engine would exceed its bound on requests, another engine fetches the
    cached parts from it.
    """

    def __init__(
        self,
        *,
        zone: str,
        loads: LoadTable,
        parts: PartTracker,
        weights: PlacementWeights = DEFAULT_WEIGHTS,
    ) -> None:
        """Initialize the chooser for a router in ``zone``."""
        self._zone = zone
        self._loads = loads
        self._parts = parts
        self._weights = weights

    def choose(
        self, candidates: Sequence[Candidate], **context: Unpack[ChoiceContext]
    ) -> Choice | None:
        """Return the endpoint of the lowest cost, or ``None`` without candidates."""
        if not candidates:
            return None
        ranking = self._rank(candidates, **context)
        return min(ranking.list_choices(ranking.allowed), key=lambda choice: choice.cost_ms)

    def compare(
        self, candidates: Sequence[Candidate], **context: Unpack[ChoiceContext]
    ) -> list[ComparedChoice]:
        """Return all candidates with their cost, and why some may not be chosen."""
        if not candidates:
            return []
        ranking = self._rank(candidates, **context)
        return [
            ComparedChoice(choice=choice, exclusion=ranking.find_exclusion(candidate))
            for candidate, choice in zip(candidates, ranking.list_choices(candidates), strict=True)
        ]

    def _rank(
        self,
        candidates: Sequence[Candidate],
        *,
        service: Service | None,
        facts: RequestFacts,
        now: float,
        sources: Sequence[Source] = (),
        routers: int = 1,
        speeds: ServiceSpeeds | None = None,
        resting: Collection[str] = (),
    ) -> _Ranking:
        used_speeds = speeds or ServiceSpeeds()
        running = {
            candidate.record.endpoint_id: self._loads.count_running(
                candidate.record.endpoint_id, now
            )
            for candidate in candidates
        }
        within = self._keep_within_bound(candidates, running, resting, routers, now)
        allowed = within
        engine = None if service is None else service.engine
        prompt: PromptState | None = None
        if engine is not None and facts.parts:
            prompt_sources = sources or [
                Source(record=candidate.record) for candidate in candidates
            ]
            prompt = self._describe_prompt(facts, candidates, prompt_sources, engine.can_fetch)
            if routers > 1:
                allowed = self._keep_homes(within, prompt, facts)

        def score(candidate: Candidate) -> Choice:
            count = running[candidate.record.endpoint_id]
            return self._score_engine(candidate, facts, count, prompt, used_speeds, now)

        return _Ranking(within=within, allowed=allowed, score=score)

    def _keep_within_bound(
        self,
        candidates: Sequence[Candidate],
        running: Mapping[str, int],
        resting: Collection[str],
        routers: int,
        now: float,
    ) -> list[Candidate]:
        """Return the candidates that stay within the bound with one more request.

        If all would exceed it, the least loaded candidates are returned.
        """
        total = sum(running.values())
        mean = total / len(running)
        resting_running = sum(
            self._loads.count_running(endpoint_id, now) for endpoint_id in resting
        )
        service_mean = (total + resting_running) / (len(running) + len(resting))
        bound = find_bound(mean, routers, self._weights, service_mean=service_mean)
        within = [
            candidate
            for candidate in candidates
            if running[candidate.record.endpoint_id] + 1 <= bound
        ]
        if within:
            return within
        least_loaded_bound = min(running.values()) + self._weights.bound_slack
        return [
            candidate
            for candidate in candidates
            if running[candidate.record.endpoint_id] <= least_loaded_bound
        ]

    def _keep_homes(
        self, within: list[Candidate], prompt: PromptState, facts: RequestFacts
    ) -> list[Candidate]:
        """Return the prompt's homes and the engines known to have all its shared parts.

        If none of these is within the bound, all candidates within it are returned.
        """
        homes = [
            candidate
            for candidate in within
            if candidate.record in prompt.homes
            or self._has_all_shared(candidate.record, prompt, facts)
        ]
        return homes or within

    def _has_all_shared(
        self, record: EndpointRecord, prompt: PromptState, facts: RequestFacts
    ) -> bool:
        cached = self._parts.count_cached(record.endpoint_id, facts.shared_parts)
        return prompt.shared > 0 and cached >= prompt.shared

    def _describe_prompt(
        self,
        facts: RequestFacts,
        candidates: Sequence[Candidate],
        sources: Sequence[Source],
        can_fetch: bool,
    ) -> PromptState:
        key = (facts.shared_parts or facts.parts)[-1].part_id
        cached = {
            source.record.endpoint_id: self._parts.count_cached(
                source.record.endpoint_id, facts.shared_parts
            )
            for source in sources
        }
        return PromptState(
            tokens=facts.prompt_tokens,
            shared=sum(part.tokens for part in facts.shared_parts),
            best=max(cached.values()),
            homes=find_homes(
                [candidate.record for candidate in candidates], key, self._weights.homes
            ),
            sources=group_sources(sources, cached, key) if can_fetch else {},
        )

    def _score_engine(
        self,
        candidate: Candidate,
        facts: RequestFacts,
        running: int,
        prompt: PromptState | None,
        speeds: ServiceSpeeds,
        now: float,
    ) -> Choice:
        if prompt is None:
            return self._score_plain(candidate, running, speeds, now)
        record = candidate.record
        weights = self._weights
        read_rate = speeds.read_tokens_per_ms
        slowness = speeds.find_slowness(record.endpoint_id, now)
        cached = self._parts.count_cached(record.endpoint_id, facts.parts)
        missing = max(0, prompt.tokens - cached)
        fetched, fetch_from = self._find_source(record, cached, prompt)
        tokens_to_read = missing - fetched
        waiting_tokens = self._loads.count_tokens(record.endpoint_id, now, rate=read_rate)
        queued_ms = _count_queued_turns(record, running) * speeds.answer_ms
        reread = max(0.0, prompt.best - cached - fetched)
        work = (
            tokens_to_read + waiting_tokens + reread * weights.read_again_factor
        ) / read_rate + queued_ms
        work += running * weights.running_share * speeds.answer_ms
        location_ms = self._score_location(candidate)
        cost = location_ms + (work * slowness + fetched * weights.fetch_share / read_rate)
        is_home = record is prompt.homes[0]
        if not cached and is_home:
            cost -= weights.home_chance * min(prompt.shared, missing) / read_rate
        first_ms = speeds.expect_first_ms(record.endpoint_id, tokens_to_read + waiting_tokens, now)
        return Choice(
            record=record,
            missing_tokens=max(0, round(tokens_to_read)),
            running=running,
            cost_ms=cost,
            fetch_from=fetch_from,
            is_home=is_home,
            expected_ms=first_ms + queued_ms * slowness,
            certain_ms=(tokens_to_read + waiting_tokens) / read_rate + queued_ms,
            location_ms=location_ms,
        )

    def _score_plain(
        self, candidate: Candidate, running: int, speeds: ServiceSpeeds, now: float
    ) -> Choice:
        record = candidate.record
        plain_ms = speeds.expect_plain_ms(record.endpoint_id, now)
        turns = 1 + running * self._weights.plain_turns / max(1, record.slots)
        queued = _count_queued_turns(record, running)
        location_ms = self._score_location(candidate)
        return Choice(
            record=record,
            missing_tokens=0,
            running=running,
            cost_ms=location_ms + turns * plain_ms,
            expected_ms=(1 + queued) * plain_ms,
            certain_ms=queued * speeds.plain_ms,
            location_ms=location_ms,
        )

    def _score_location(self, candidate: Candidate) -> float:
        cost = 0.0
        if candidate.record.zone != self._zone:
            cost += self._weights.other_zone_ms
        if candidate.is_slow:
            cost += self._weights.cold_ms
        if candidate.is_silent:
            cost += self._weights.silent_ms
        cost += candidate.failure_share * self._weights.failure_ms
        return cost

    def _find_source(
        self, record: EndpointRecord, cached: int, prompt: PromptState
    ) -> tuple[float, str]:
        """Return the expected number of fetched tokens, and the address to fetch them from.

        Cached parts are fetched only from engines of the same software version.
        """
        sources = prompt.sources.get(record.software)
        if sources is None:
            return 0.0, ""
        cached_elsewhere = sources.best - cached
        if cached_elsewhere >= self._weights.min_fetch_tokens:
            return cached_elsewhere, sources.best_at.address
        # Shared tokens without a known cached copy; the old home probably has them.
        unlocated = prompt.shared - max(cached, sources.best)
        if record is sources.old_home or unlocated < self._weights.min_fetch_tokens:
            return 0.0, ""
        return self._weights.home_chance * unlocated, sources.old_home.address


def find_bound(
    mean: float,
    routers: int,
    weights: PlacementWeights = DEFAULT_WEIGHTS,
    *,
    service_mean: float | None = None,
) -> float:
    """Return the largest number of requests that an endpoint may hold.

    ``mean``: mean number of requests of the candidates. ``service_mean``: that of the whole
    service. While one of three zones is empty or restarts cold, the service's mean is a third
    lower than that of the candidates, and so is the number that operators allow.

    A router counts its own requests immediately and those of other routers half a second
    late. With many routers most of the count is late, and the load overshoots the bound by
    more; the factor is lower then.
    """
    share = min(1.0, FEW_ROUTERS / max(1, routers))
    factor = weights.bound_many + (weights.bound_few - weights.bound_many) * share
    bound = factor * mean
    if service_mean is not None:
        bound = min(bound, weights.bound_service * service_mean)
    return bound + weights.bound_slack


def _count_queued_turns(record: EndpointRecord, running: int) -> float:
    """Return the number of service times that a further request would wait for a free slot."""
    return max(0, running + 1 - record.slots) / max(1, record.slots)
