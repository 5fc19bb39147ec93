"""Which endpoints may be tried, by what this router and the others have seen of them."""

import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from random import Random

import msgspec

from chivetrack.components.distribution.messages import EndpointLoad
from chivetrack.components.endpoints.breaker import Breaker, BreakerState
from chivetrack.components.endpoints.models import OutcomeKind
from chivetrack.components.endpoints.outcomes import HeldChange, OutcomeTable
from chivetrack.components.observation.silence import exclude_silent
from chivetrack.components.placement.choice import Candidate
from chivetrack.components.retries.sending import SendEnd
from chivetrack.helpers.events import EventLog

# Until its replicas give up an endpoint whose address another one holds: two heartbeats
# after which the successor is known, and as much again.
MISDIRECTED_FOR_S = 5.0

_OUTCOME_KINDS = {
    SendEnd.NOT_SENT: OutcomeKind.CONNECT,
    SendEnd.MAYBE_RAN: OutcomeKind.CUT,
    SendEnd.FAILED: OutcomeKind.ANSWER,
}


class EndpointHealth:
    """Joins the circuit breakers of this router with the outcomes of the whole fleet."""

    def __init__(
        self, *, events: EventLog, is_silent: Callable[[str, float], bool] | None = None
    ) -> None:
        """Start with a clean record of every endpoint.

        ``is_silent`` tells whether an endpoint (id, now) owes this router an answer.
        """
        self._events = events
        self._is_silent = is_silent or (lambda endpoint_id, now: False)
        self._breakers: dict[str, Breaker] = {}
        self._outcomes = OutcomeTable(random=Random(), note_change=self._log_hold_change)
        self._misdirected: dict[str, float] = {}

    def forget(self, endpoint_id: str) -> None:
        """Begin anew with an endpoint that has started again, or has left."""
        self._breakers.pop(endpoint_id, None)
        self._outcomes.forget(endpoint_id)
        self._misdirected.pop(endpoint_id, None)

    # What is seen

    def record_attempt_start(self, endpoint_id: str, *, now: float) -> None:
        """Note that a try goes out; a breaker that is half open waits for its end."""
        breaker = self._breakers.get(endpoint_id)
        if breaker is not None:
            breaker.record_attempt(now)

    def record_outcome(self, endpoint_id: str, end: SendEnd | None) -> None:
        """Note how a try ended; a refusal is no failure."""
        if end is SendEnd.REFUSED:
            return
        now = time.monotonic()
        self._outcomes.note(endpoint_id, ok=end is None, now=now)
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
        """Note a try at an endpoint that has gone silent; its end is not known.

        Known at the caller's deadline only, most of the trouble would be over by then.
        """
        self._outcomes.note(endpoint_id, ok=False, now=time.monotonic())
        self._events.write("endpoint_silent", endpoint=endpoint_id)

    def record_misdirected(self, endpoint_id: str) -> None:
        """Leave out an endpoint at whose address another one has answered."""
        self._misdirected[endpoint_id] = time.monotonic()
        self._events.write("endpoint_misdirected", endpoint=endpoint_id)

    def _log_hold_change(self, change: HeldChange) -> None:
        self._events.write(
            "endpoint_held" if change.is_held else "endpoint_let_in",
            endpoint=change.endpoint_id,
            answered=change.answered,
            failed=change.failed,
        )

    # What the routers tell each other

    def take_others(self, loads: Iterable[EndpointLoad], *, now: float) -> None:
        """Take how the tries of the other routers ended."""
        self._outcomes.take_others(loads, now=now)

    def add_outcomes(
        self, loads: Iterable[EndpointLoad], *, now: float
    ) -> tuple[EndpointLoad, ...]:
        """Return the loads of this router with how its tries ended."""
        joined = {one.endpoint_id: one for one in loads}
        for endpoint_id in self._outcomes.list_endpoints():
            answered, failed = self._outcomes.count_own(endpoint_id, now)
            if answered or failed:
                load = joined.get(endpoint_id, EndpointLoad(endpoint_id=endpoint_id, running=0))
                joined[endpoint_id] = msgspec.structs.replace(
                    load, answered=answered, failed=failed
                )
        return tuple(joined.values())

    # Who may be tried

    def filter_candidates(self, candidates: Sequence[Candidate], *, now: float) -> list[Candidate]:
        """Return the candidates that may be tried.

        Where every circuit breaker of a service is open, the service as a whole is in
        trouble and not one endpoint of it. Refusing all would turn a share of failures
        into failures throughout, so all are tried again then. Likewise no more than half
        are held back by what the fleet has seen: the rest would drown.
        """
        left = [one for one in candidates if not self._is_misdirected(one, now)]
        closed = [one for one in left if self._is_closed(one, now)]
        let_in = [one for one in closed if self._outcomes.lets_through(one.record.endpoint_id, now)]
        sound = (let_in if 2 * len(let_in) >= len(left) else closed) or left
        heard = self._exclude_silent(sound, now)
        return [self._add_record(one, now) for one in heard]

    def _exclude_silent(self, candidates: list[Candidate], now: float) -> list[Candidate]:
        names = [one.record.endpoint_id for one in candidates]
        silent = {name for name in names if self._is_silent(name, now)}
        heard = set(exclude_silent(names, silent)) if silent else set(names)
        return [one for one in candidates if one.record.endpoint_id in heard] or candidates

    def _add_record(self, candidate: Candidate, now: float) -> Candidate:
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
