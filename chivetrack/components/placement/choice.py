"""Chooses among the endpoints of a service."""

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.components.placement.loads import LoadTable
from chivetrack.components.placement.parts import PartBook
from chivetrack.components.traffic.models import Service
from chivetrack.components.traffic.requests import RequestFacts

# Prompt tokens that an engine reads in a millisecond; the engines of both users read 57.
PREFILL_TOKENS_PER_MS = 57.0
# What one more running request costs the others: each step takes 0.1 ms longer, and a
# stream takes some 300 steps.
RUNNING_COST_MS = 6.0
# A request to another zone: two ways of 1.4 ms, and its bytes are paid for.
OTHER_ZONE_COST_MS = 25.0
# Requests of plain services take about a slot's turn each.
PLAIN_RUNNING_COST_MS = 30.0
# Whatever a prompt would save: no endpoint gets more than this over the mean of its
# service. Twice the mean and 3 is the limit that the users set; lagging counts need room.
BOUND_FACTOR = 1.5
BOUND_SLACK = 2.0
# The first choice for a prompt that is cached nowhere; all routers agree on it, so that
# two requests at the same moment are read at one engine and not at two.
HOME_BONUS_MS = 60.0
# An endpoint that stays slow after its start, or that no replica hears any more.
COLD_COST_MS = 200.0
SILENT_COST_MS = 400.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """An endpoint that may be chosen."""

    record: EndpointRecord
    is_silent: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """Where a request goes; ``missing_tokens`` have to be read there."""

    record: EndpointRecord
    missing_tokens: int
    running: int
    cost_ms: float


class Chooser:
    """Weighs cached prompts, load and distance; free of I/O.

    It answers prompts of 10,000 shared tokens that return to many routers at once: each
    is read at one engine, and goes to a second one only when the first would hold more
    than its share.
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
    ) -> Choice | None:
        """Return the cheapest endpoint, ``None`` without candidates."""
        if not candidates:
            return None
        running = {
            one.record.endpoint_id: self._loads.count_running(one.record.endpoint_id, now)
            for one in candidates
        }
        bound = BOUND_FACTOR * sum(running.values()) / len(running) + BOUND_SLACK
        within = [one for one in candidates if running[one.record.endpoint_id] + 1 <= bound]
        is_engine = service is not None and service.engine is not None
        choices = [
            self._weigh(one, facts, running[one.record.endpoint_id], is_engine, now)
            for one in within or candidates
        ]
        if is_engine and facts.parts:
            choices = self._favour_home(choices, facts)
        return min(choices, key=lambda one: one.cost_ms)

    def _weigh(
        self, candidate: Candidate, facts: RequestFacts, running: int, is_engine: bool, now: float
    ) -> Choice:
        record = candidate.record
        cost = 0.0
        missing = 0
        if is_engine:
            cached = self._parts.count_cached(record.endpoint_id, facts.parts)
            missing = max(0, facts.prompt_tokens - cached)
            waiting = self._loads.count_tokens(record.endpoint_id, now)
            cost += (missing + waiting) / PREFILL_TOKENS_PER_MS + running * RUNNING_COST_MS
        else:
            cost += running * PLAIN_RUNNING_COST_MS / max(1, record.slots) * 6
        if record.zone != self._zone:
            cost += OTHER_ZONE_COST_MS
        if record.cold_s > 0:
            cost += COLD_COST_MS
        if candidate.is_silent:
            cost += SILENT_COST_MS
        return Choice(record=record, missing_tokens=missing, running=running, cost_ms=cost)

    def _favour_home(self, choices: list[Choice], facts: RequestFacts) -> list[Choice]:
        key = (facts.shared_parts or facts.parts)[-1].part_id
        home = max(choices, key=lambda one: _score(one.record.endpoint_id, key))
        return [
            (
                Choice(
                    record=one.record,
                    missing_tokens=one.missing_tokens,
                    running=one.running,
                    cost_ms=one.cost_ms - HOME_BONUS_MS,
                )
                if one is home
                else one
            )
            for one in choices
        ]


def _score(endpoint_id: str, key: str) -> int:
    return xxhash.xxh64_intdigest(f"{endpoint_id}/{key}".encode())
