"""Decides which endpoints may get requests, by the outcomes seen by all routers."""

import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from random import Random

import msgspec

from chivetrack.components.distribution.messages import EndpointLoad
from chivetrack.components.endpoints.breaker import Breaker, BreakerState
from chivetrack.components.endpoints.models import OutcomeKind
from chivetrack.components.endpoints.outcomes import HoldChange, OutcomeTable
from chivetrack.components.observation.silence import exclude_silent
from chivetrack.components.placement.choice import Candidate
from chivetrack.components.retries.sending import SendEnd
from chivetrack.helpers.events import EventLog

# Time (s) for which an endpoint gets no requests after another one answered at its address.
# The replicas mark the endpoint lost once its successor is known, after two heartbeats; this
# is twice that time.
MISDIRECTED_FOR_S = 5.0

_OUTCOME_KINDS = {
    SendEnd.NOT_SENT: OutcomeKind.CONNECT,
    SendEnd.MAYBE_RAN: OutcomeKind.CUT,
    SendEnd.FAILED: OutcomeKind.ANSWER,
}


class EndpointHealth:
    """Combine this router's circuit breakers with the outcomes seen by the whole fleet."""

    def __init__(
        self, *, events: EventLog, is_silent: Callable[[str, float], bool] | None = None
    ) -> None:
        """Start without recorded failures.

        ``is_silent`` (endpoint id, now) returns whether an endpoint is overdue with answers
        to this router.
        """
        self._events = events
        self._is_silent = is_silent or (lambda endpoint_id, now: False)
        self._breakers: dict[str, Breaker] = {}
        self._outcomes = OutcomeTable(random=Random(), on_hold_change=self._log_hold_change)
        self._misdirected: dict[str, float] = {}

    def forget(self, endpoint_id: str) -> None:
        """Drop the records of an endpoint that has restarted or left."""
        self._breakers.pop(endpoint_id, None)
        self._outcomes.forget(endpoint_id)
        self._misdirected.pop(endpoint_id, None)

    # Outcomes of this router

    def record_attempt_start(self, endpoint_id: str, *, now: float) -> None:
        """Record the start of an attempt; a half-open breaker waits for its result."""
        breaker = self._breakers.get(endpoint_id)
        if breaker is not None:
            breaker.record_attempt(now)

    def record_outcome(self, endpoint_id: str, end: SendEnd | None) -> None:
        """Record the result of an attempt; ``None`` is a success, a refusal is no failure."""
        if end is SendEnd.REFUSED:
            return
        now = time.monotonic()
        self._outcomes.record_outcome(endpoint_id, ok=end is None, now=now)
        breaker = self._breakers.get(endpoint_id)
        if breaker is None:
            breaker = self._breakers[endpoint_id] = Breaker(now=now)
        before = breaker.state
        kind = OutcomeKind.ANSWER if end is None else _OUTCOME_KINDS[end]
        breaker.record(ok=end is None, kind=kind, now=now)
        if breaker.state is not before and BreakerState.OPEN in (before, breaker.state):
            self._events.write(
                "breaker_changed",
                endpoint=endpoint_id,
                state=breaker.state.value,
                reason=breaker.reason,
            )

    def record_overdue(self, endpoint_id: str) -> None:
        """Record a failure at a silent endpoint before the attempt has ended.

        Waiting for the caller's deadline would report the failure too late to keep other
        requests away from the endpoint.
        """
        self._outcomes.record_outcome(endpoint_id, ok=False, now=time.monotonic())
        self._events.write("endpoint_silent", endpoint=endpoint_id)

    def record_misdirected(self, endpoint_id: str) -> None:
        """Exclude an endpoint for a time, since another one answered at its address."""
        self._misdirected[endpoint_id] = time.monotonic()
        self._events.write("endpoint_misdirected", endpoint=endpoint_id)

    def _log_hold_change(self, change: HoldChange) -> None:
        self._events.write(
            "endpoint_held" if change.is_held else "endpoint_let_in",
            endpoint=change.endpoint_id,
            answered=change.answered,
            failed=change.failed,
        )

    # Outcomes exchanged between routers

    def handle_peer_loads(self, loads: Iterable[EndpointLoad], *, now: float) -> None:
        """Apply the outcomes of the attempts of other routers."""
        self._outcomes.handle_peer_counts(loads, now=now)

    def add_outcomes(
        self, loads: Iterable[EndpointLoad], *, now: float
    ) -> tuple[EndpointLoad, ...]:
        """Return the loads of this router, extended by the outcomes of its attempts."""
        joined = {one.endpoint_id: one for one in loads}
        for endpoint_id in self._outcomes.list_endpoints():
            answered, failed = self._outcomes.count_own(endpoint_id, now)
            if answered or failed:
                load = joined.get(endpoint_id, EndpointLoad(endpoint_id=endpoint_id, running=0))
                joined[endpoint_id] = msgspec.structs.replace(
                    load, answered=answered, failed=failed
                )
        return tuple(joined.values())

    def do_others_reach(self, endpoint_id: str, *, now: float) -> bool | None:
        """Return whether other routers had answers lately, ``None`` if they did not try."""
        return self._outcomes.do_peers_reach(endpoint_id, now)

    # Choice of candidates

    def filter_candidates(self, candidates: Sequence[Candidate], *, now: float) -> list[Candidate]:
        """Return the candidates that may get requests.

        If every circuit breaker of a service is open, the fault lies in the service and
        not in one endpoint. Refusing all requests would turn partial failure into complete
        failure, so all candidates are allowed then. Likewise, the outcomes of the fleet
        exclude at most half of the candidates: the others would be overloaded.
        """
        reachable = [one for one in candidates if not self._is_misdirected(one, now)]
        closed = [one for one in reachable if self._is_closed(one, now)]
        let_in = [one for one in closed if self._outcomes.lets_through(one.record.endpoint_id, now)]
        allowed = (let_in if 2 * len(let_in) >= len(reachable) else closed) or reachable
        not_silent = self._exclude_silent(allowed, now)
        return [self._add_failure_share(one, now) for one in not_silent]

    def _exclude_silent(self, candidates: list[Candidate], now: float) -> list[Candidate]:
        ids = [one.record.endpoint_id for one in candidates]
        silent = {endpoint_id for endpoint_id in ids if self._is_silent(endpoint_id, now)}
        allowed = set(exclude_silent(ids, silent)) if silent else set(ids)
        return [one for one in candidates if one.record.endpoint_id in allowed] or candidates

    def _add_failure_share(self, candidate: Candidate, now: float) -> Candidate:
        share = self._outcomes.find_failure_share(candidate.record.endpoint_id, now)
        return replace(candidate, failure_share=share) if share else candidate

    def _is_misdirected(self, candidate: Candidate, now: float) -> bool:
        at = self._misdirected.get(candidate.record.endpoint_id, float("-inf"))
        return now - at < MISDIRECTED_FOR_S

    def _is_closed(self, candidate: Candidate, now: float) -> bool:
        breaker = self._breakers.get(candidate.record.endpoint_id)
        if breaker is None:
            return True
        breaker.tick(now)
        return breaker.lets_through
