"""Chooses among the endpoints of a service."""

import heapq
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.components.placement.loads import PREFILL_TOKENS_PER_MS, LoadTable
from chivetrack.components.placement.parts import PartBook
from chivetrack.components.traffic.models import Service
from chivetrack.components.traffic.requests import RequestFacts

# What one more running request costs the others: each step takes 0.1 ms longer, and a
# stream takes some 300 steps.
RUNNING_COST_MS = 6.0
# A request to another zone: two ways of 1.4 ms, and its bytes are paid for.
OTHER_ZONE_COST_MS = 25.0
# Requests of plain services take about a slot's turn each.
PLAIN_RUNNING_COST_MS = 30.0
# Whatever a prompt would save: no endpoint gets more than this over the mean of its
# service. Twice the mean and 3 is the limit that the users set; lagging counts need room.
BOUND_FACTOR = 1.7
BOUND_FACTOR_MANY = 1.3
FEW_ROUTERS = 9
BOUND_SLACK = 2.0
# Taking a cached part over from another engine: 10,000 tokens are 184 MB, which take 17 ms
# on the engines' links, and the links are paid for by the byte. Reading them takes 175 ms.
FETCH_MS_PER_TOKEN = 0.02
# A prompt that is not known to be cached anywhere has most likely been sent to its first
# choice by another router, whose word is not here yet.
HOME_CHANCE = 0.6
# Reading what another engine has cached also delays every stream that runs beside it.
READ_AGAIN_FACTOR = 2.0
# What one router knows of the others comes late. A prompt goes to one of a few engines on
# which all agree without a word, and elsewhere only when those are full. Shared tokens read
# again fell from 4.3 M to 2.3 M in 16 s of 688 requests a second, 87 routers and 51 engines,
# since two fetches of three had asked an engine that never had the prompt; with 9 routers
# and 14 engines by a third to a half over a day.
HOMES = 3
# Less than this is not worth the transfer's own delay.
MIN_FETCH_TOKENS = 200
# An endpoint that stays slow after its start, or that no replica hears any more.
COLD_COST_MS = 200.0
SILENT_COST_MS = 400.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """An endpoint that may be chosen."""

    record: EndpointRecord
    is_silent: bool = False


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
    the prompt there without being told.
    """

    record: EndpointRecord
    missing_tokens: int
    running: int
    cost_ms: float
    fetch_from: str = ""
    is_home: bool = False


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

    def __init__(self, *, zone: str, loads: LoadTable, parts: PartBook) -> None:
        """Take the own zone and what is known of the endpoints."""
        self._zone = zone
        self._loads = loads
        self._parts = parts

    def choose(
        self,
        candidates: Sequence[Candidate],
        *,
        service: Service | None,
        facts: RequestFacts,
        now: float,
        sources: Sequence[Source] = (),
        routers: int = 1,
    ) -> Choice | None:
        """Return the cheapest endpoint, ``None`` without candidates.

        ``sources`` are engines that cached parts may be taken from, also leaving ones;
        ``routers`` is how many choose at the same time.
        """
        if not candidates:
            return None
        running = {
            one.record.endpoint_id: self._loads.count_running(one.record.endpoint_id, now)
            for one in candidates
        }
        bound = find_bound(sum(running.values()) / len(running), routers)
        within = [one for one in candidates if running[one.record.endpoint_id] + 1 <= bound]
        engine = None if service is None else service.engine
        prompt = None
        if engine is not None and facts.parts:
            known = sources or [Source(record=one.record) for one in candidates]
            prompt = self._look_up(facts, candidates, known, engine.can_fetch)
            if routers > 1:
                within = self._narrow(within, prompt, facts)
        choices = [
            self._weigh(one, facts, running[one.record.endpoint_id], prompt, now)
            for one in within or candidates
        ]
        return min(choices, key=lambda one: one.cost_ms)

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
            homes=_find_homes([one.record for one in candidates], key, HOMES),
            old_home=_find_homes(old or records, key, 1)[0],
            can_fetch=can_fetch,
        )

    def _weigh(
        self,
        candidate: Candidate,
        facts: RequestFacts,
        running: int,
        prompt: _Prompt | None,
        now: float,
    ) -> Choice:
        record = candidate.record
        cost = _weigh_place(candidate, self._zone)
        if prompt is None:
            cost += running * PLAIN_RUNNING_COST_MS / max(1, record.slots) * 6
            return Choice(record=record, missing_tokens=0, running=running, cost_ms=cost)
        cached = self._parts.count_cached(record.endpoint_id, facts.parts)
        missing = max(0, prompt.tokens - cached)
        fetched, source = self._find_source(record, cached, prompt)
        read = missing - fetched
        waiting = self._loads.count_tokens(record.endpoint_id, now)
        cost += (read + waiting) / PREFILL_TOKENS_PER_MS + fetched * FETCH_MS_PER_TOKEN
        cost += running * RUNNING_COST_MS
        again = max(0.0, prompt.best - cached - fetched)
        cost += again / PREFILL_TOKENS_PER_MS * READ_AGAIN_FACTOR
        is_home = record is prompt.homes[0]
        if not cached and is_home:
            cost -= HOME_CHANCE * min(prompt.shared, missing) / PREFILL_TOKENS_PER_MS
        return Choice(
            record=record,
            missing_tokens=max(0, round(read)),
            running=running,
            cost_ms=cost,
            fetch_from=source,
            is_home=is_home,
        )

    @staticmethod
    def _find_source(record: EndpointRecord, cached: int, prompt: _Prompt) -> tuple[float, str]:
        """Return how many tokens are likely taken over, and from which address."""
        gain = prompt.best - cached
        if prompt.can_fetch and gain >= MIN_FETCH_TOKENS:
            return gain, prompt.best_at.address
        unknown = prompt.shared - max(cached, prompt.best)
        if not prompt.can_fetch or record is prompt.old_home or unknown < MIN_FETCH_TOKENS:
            return 0.0, ""
        return HOME_CHANCE * unknown, prompt.old_home.address


def _weigh_place(candidate: Candidate, zone: str) -> float:
    cost = 0.0
    if candidate.record.zone != zone:
        cost += OTHER_ZONE_COST_MS
    if candidate.record.cold_s > 0:
        cost += COLD_COST_MS
    if candidate.is_silent:
        cost += SILENT_COST_MS
    return cost


def find_bound(mean: float, routers: int) -> float:
    """Return how many requests an endpoint may hold, given the mean of its service.

    Each router sees its own requests at once and those of all others half a second late.
    Among many routers nearly all is late, so that the same bound is overshot by more.
    """
    share = min(1.0, FEW_ROUTERS / max(1, routers))
    factor = BOUND_FACTOR_MANY + (BOUND_FACTOR - BOUND_FACTOR_MANY) * share
    return factor * mean + BOUND_SLACK


def _find_homes(
    records: Sequence[EndpointRecord], key: str, count: int
) -> tuple[EndpointRecord, ...]:
    """Return the first engines in the prompt's rendezvous order."""
    return tuple(heapq.nlargest(count, records, key=lambda one: _score(one.endpoint_id, key)))


def _score(endpoint_id: str, key: str) -> int:
    return xxhash.xxh64_intdigest(f"{endpoint_id}/{key}".encode())
