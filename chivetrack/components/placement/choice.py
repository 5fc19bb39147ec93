"""Chooses among the endpoints of a service."""

import heapq
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

import xxhash

from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.components.observation.speeds import ServiceSpeeds
from chivetrack.components.placement.loads import LoadTable
from chivetrack.components.placement.parts import PartTracker
from chivetrack.components.placement.weights import (
    DEFAULT_WEIGHTS,
    FEW_ROUTERS,
    PlacementWeights,
)
from chivetrack.components.traffic.models import Service
from chivetrack.components.traffic.requests import RequestFacts


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """An endpoint that may be chosen.

    ``failure_share``: of its latest tries, 0 to 1. ``is_slow``: just started, and
    nothing limits what it gets while it is cold.
    """

    record: EndpointRecord
    is_silent: bool = False
    is_slow: bool = False
    failure_share: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Source:
    """An engine that may have parts cached; a new one has got few prompts yet."""

    record: EndpointRecord
    is_new: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """Where a request goes.

    ``missing_tokens`` have to be read there; ``fetch_from`` is the address of an engine
    that is believed to have more of the prompt cached. ``is_home``: other routers expect
    the prompt there without being told. ``expected_ms`` is the expected time to the first
    event, or to a plain answer; ``certain_ms`` is the part of it that known work takes.
    """

    record: EndpointRecord
    missing_tokens: int
    running: int
    cost_ms: float
    fetch_from: str = ""
    is_home: bool = False
    expected_ms: float = 0.0
    certain_ms: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class _Prompt:
    """What is known of a prompt at all engines."""

    tokens: int
    shared: int
    best: int
    best_at: EndpointRecord
    homes: tuple[EndpointRecord, ...]
    old_home: EndpointRecord
    can_fetch: bool


class Chooser:
    """Weighs cached prompts, load and distance; free of I/O.

    It answers prompts of 10,000 shared tokens that return to many routers at once: each
    is read at one engine, and one that would hold more than its share hands its cached
    parts to another.
    """

    def __init__(
        self,
        *,
        zone: str,
        loads: LoadTable,
        parts: PartTracker,
        weights: PlacementWeights = DEFAULT_WEIGHTS,
    ) -> None:
        """Take the own zone, what is known of the endpoints and what costs how much."""
        self._zone = zone
        self._loads = loads
        self._parts = parts
        self._weights = weights

    def choose(
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
    ) -> Choice | None:
        """Return the cheapest endpoint, ``None`` without candidates.

        ``sources`` are engines that cached parts may be taken from, also leaving ones;
        ``routers`` is how many choose at the same time; ``speeds`` is what has been learned
        of the service's endpoints. ``resting`` are the ids of sound endpoints that get
        nothing now; they count towards the mean load of the service.
        """
        if not candidates:
            return None
        speeds = speeds or ServiceSpeeds()
        running = {
            one.record.endpoint_id: self._loads.count_running(one.record.endpoint_id, now)
            for one in candidates
        }
        within = self._keep_within_bound(candidates, running, resting, routers, now)
        engine = None if service is None else service.engine
        prompt = None
        if engine is not None and facts.parts:
            known = sources or [Source(record=one.record) for one in candidates]
            prompt = self._look_up(facts, candidates, known, engine.can_fetch)
            if routers > 1:
                within = self._narrow(within, prompt, facts)
        choices = [
            self._weigh(one, facts, running[one.record.endpoint_id], prompt, speeds, now)
            for one in within
        ]
        return min(choices, key=lambda one: one.cost_ms)

    def _keep_within_bound(
        self,
        candidates: Sequence[Candidate],
        running: Mapping[str, int],
        resting: Collection[str],
        routers: int,
        now: float,
    ) -> list[Candidate]:
        """Keep the endpoints that hold no more than the bound; the least loaded always do."""
        total = sum(running.values())
        mean = total / len(running)
        rest = sum(self._loads.count_running(one, now) for one in resting)
        service_mean = (total + rest) / (len(running) + len(resting))
        bound = find_bound(mean, routers, self._weights, service_mean=service_mean)
        within = [one for one in candidates if running[one.record.endpoint_id] + 1 <= bound]
        if within:
            return within
        least = min(running.values()) + self._weights.bound_slack
        return [one for one in candidates if running[one.record.endpoint_id] <= least]

    def _narrow(
        self, within: list[Candidate], prompt: _Prompt, facts: RequestFacts
    ) -> list[Candidate]:
        """Keep the prompt's homes and the engines that are known to have it cached."""
        left = [
            one
            for one in within
            if one.record in prompt.homes or self._has_all_shared(one.record, prompt, facts)
        ]
        return left or within

    def _has_all_shared(self, record: EndpointRecord, prompt: _Prompt, facts: RequestFacts) -> bool:
        cached = self._parts.count_cached(record.endpoint_id, facts.shared_parts)
        return prompt.shared > 0 and cached >= prompt.shared

    def _look_up(
        self,
        facts: RequestFacts,
        candidates: Sequence[Candidate],
        sources: Sequence[Source],
        can_fetch: bool,
    ) -> _Prompt:
        records = [one.record for one in sources]
        cached = {
            one.endpoint_id: self._parts.count_cached(one.endpoint_id, facts.shared_parts)
            for one in records
        }
        best_at = max(records, key=lambda one: cached[one.endpoint_id])
        old = [one.record for one in sources if not one.is_new]
        key = (facts.shared_parts or facts.parts)[-1].part_id
        return _Prompt(
            tokens=facts.prompt_tokens,
            shared=sum(part.tokens for part in facts.shared_parts),
            best=cached[best_at.endpoint_id],
            best_at=best_at,
            homes=_find_homes([one.record for one in candidates], key, self._weights.homes),
            old_home=_find_homes(old or records, key, 1)[0],
            can_fetch=can_fetch,
        )

    def _weigh(
        self,
        candidate: Candidate,
        facts: RequestFacts,
        running: int,
        prompt: _Prompt | None,
        speeds: ServiceSpeeds,
        now: float,
    ) -> Choice:
        if prompt is None:
            return self._weigh_plain(candidate, running, speeds, now)
        record = candidate.record
        weights = self._weights
        rate = speeds.read_tokens_per_ms
        slowness = speeds.find_slowness(record.endpoint_id, now)
        cached = self._parts.count_cached(record.endpoint_id, facts.parts)
        missing = max(0, prompt.tokens - cached)
        fetched, source = self._find_source(record, cached, prompt)
        read = missing - fetched
        waiting = self._loads.count_tokens(record.endpoint_id, now, rate=rate)
        queued_ms = _count_queued_turns(record, running) * speeds.answer_ms
        again = max(0.0, prompt.best - cached - fetched)
        work = (read + waiting + again * weights.read_again_factor) / rate + queued_ms
        work += running * weights.running_share * speeds.answer_ms
        cost = self._weigh_place(candidate)
        cost += work * slowness + fetched * weights.fetch_share / rate
        is_home = record is prompt.homes[0]
        if not cached and is_home:
            cost -= weights.home_chance * min(prompt.shared, missing) / rate
        first_ms = speeds.expect_first_ms(record.endpoint_id, read + waiting, now)
        return Choice(
            record=record,
            missing_tokens=max(0, round(read)),
            running=running,
            cost_ms=cost,
            fetch_from=source,
            is_home=is_home,
            expected_ms=first_ms + queued_ms * slowness,
            certain_ms=(read + waiting) / rate + queued_ms,
        )

    def _weigh_plain(
        self, candidate: Candidate, running: int, speeds: ServiceSpeeds, now: float
    ) -> Choice:
        record = candidate.record
        usual_ms = speeds.expect_plain_ms(record.endpoint_id, now)
        turns = 1 + running * self._weights.plain_turns / max(1, record.slots)
        queued = _count_queued_turns(record, running)
        return Choice(
            record=record,
            missing_tokens=0,
            running=running,
            cost_ms=self._weigh_place(candidate) + turns * usual_ms,
            expected_ms=(1 + queued) * usual_ms,
            certain_ms=queued * speeds.plain_ms,
        )

    def _weigh_place(self, candidate: Candidate) -> float:
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
        self, record: EndpointRecord, cached: int, prompt: _Prompt
    ) -> tuple[float, str]:
        """Return how many tokens are likely taken over, and from which address."""
        gain = prompt.best - cached
        if prompt.can_fetch and gain >= self._weights.min_fetch_tokens:
            return gain, prompt.best_at.address
        unknown = prompt.shared - max(cached, prompt.best)
        if (
            not prompt.can_fetch
            or record is prompt.old_home
            or unknown < self._weights.min_fetch_tokens
        ):
            return 0.0, ""
        return self._weights.home_chance * unknown, prompt.old_home.address


def find_bound(
    mean: float,
    routers: int,
    weights: PlacementWeights = DEFAULT_WEIGHTS,
    *,
    service_mean: float | None = None,
) -> float:
    """Return how many requests an endpoint may hold, given the mean of those to choose from.

    Each router sees its own requests at once and those of all others half a second late.
    Among many routers nearly all is late, so that the same bound is overshot by more.
    ``service_mean`` is that of the whole service. Where one of three zones is empty or comes
    back cold it is lower by a third, and so is what operators allow.
    """
    share = min(1.0, FEW_ROUTERS / max(1, routers))
    factor = weights.bound_many + (weights.bound_few - weights.bound_many) * share
    bound = factor * mean
    if service_mean is not None:
        bound = min(bound, weights.bound_service * service_mean)
    return bound + weights.bound_slack


def _count_queued_turns(record: EndpointRecord, running: int) -> float:
    """Return for how many turns of all slots a further request would wait for one."""
    return max(0, running + 1 - record.slots) / max(1, record.slots)


def _find_homes(
    records: Sequence[EndpointRecord], key: str, count: int
) -> tuple[EndpointRecord, ...]:
    """Return the first engines in the prompt's rendezvous order."""
    return tuple(heapq.nlargest(count, records, key=lambda one: _score(one.endpoint_id, key)))


def _score(endpoint_id: str, key: str) -> int:
    return xxhash.xxh64_intdigest(f"{endpoint_id}/{key}".encode())
