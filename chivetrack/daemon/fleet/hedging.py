"""Sends slow requests that may be repeated to a second endpoint."""

import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from enum import StrEnum

from chivetrack.components.placement.choice import Choice
from chivetrack.components.placement.placement import Placed
from chivetrack.components.retries.hedging import (
    HedgingPolicy,
    allows_hedge,
    find_hedge_delay,
)
from chivetrack.components.upstream.connection import (
    EndpointConnection,
    MaybeRanError,
    NotSentError,
)
from chivetrack.daemon.fleet.calls import Call
from chivetrack.daemon.fleet.dialer import Dialer
from chivetrack.daemon.fleet.fleet_view import FleetView
from chivetrack.daemon.fleet.retry_budget import RetryBudgetClient
from chivetrack.helpers.events import EventLog

HEDGE_CONNECT_TIMEOUT_S = 0.05
"""An answer of the first endpoint is not read meanwhile."""


class HedgeOutcome(StrEnum):
    """What became of a hedge that was due."""

    NOT_ALLOWED = "not_allowed"
    NO_ENDPOINT = "no_endpoint"
    NO_BUDGET = "no_budget"
    NOT_SENT = "not_sent"
    WON = "won"
    LOST = "lost"


@dataclass(slots=True, kw_only=True)
class Hedge:
    """A second attempt of a request; its resources are released by ``stack``.

    ``due_at`` is when it is sent (s, monotonic) unless the first endpoint answers before.
    ``choice`` is the second endpoint once the request may have reached it, and ``connection``
    where its answer is expected.
    """

    call: Call
    first: Choice
    due_at: float
    choice: Choice | None = None
    connection: EndpointConnection | None = None
    placed: Placed | None = None
    outcome: HedgeOutcome | None = None
    stack: ExitStack = field(default_factory=ExitStack)

    @property
    def is_sent(self) -> bool:
        """Return whether the request was sent to the second endpoint."""
        return self.choice is not None

    def record_result(self, *, is_complete: bool) -> None:
        """Record whether the caller has got a complete answer, from whichever endpoint."""
        if self.placed is not None:
            self.placed.is_complete = is_complete and self.has_won

    @property
    def has_won(self) -> bool:
        """Return whether the second endpoint answers the caller."""
        return self.outcome is HedgeOutcome.WON


class Hedger:
    """Prepare, send and account for second attempts."""

    def __init__(
        self,
        *,
        policy: HedgingPolicy,
        view: FleetView,
        retry_budget: RetryBudgetClient,
        dialer: Dialer,
        is_scheduled: Callable[[str], bool],
        events: EventLog,
        record_hedge: Callable[[str], None],
    ) -> None:
        """Store the components.

        ``is_scheduled`` returns whether a service runs short of slots, so that it is not hedged.
        ``record_hedge`` counts a hedge by its outcome.
        """
        self._policy = policy
        self._view = view
        self._retry_budget = retry_budget
        self._dialer = dialer
        self._is_scheduled = is_scheduled
        self._events = events
        self._record_hedge = record_hedge

    def prepare(self, call: Call, choice: Choice) -> Hedge | None:
        """Return the hedge of a first attempt that may be repeated, ``None`` if there is none."""
        if not self._policy.is_enabled:
            return None
        is_first = len(call.attempts) <= 1 and not call.last_event_id
        if is_first:
            self._policy.record_request(call.service)
        if not is_first or not allows_hedge(call.route) or self._is_scheduled(call.service):
            return None
        speeds = self._view.placement.get_speeds(call.service)
        delay_s = find_hedge_delay(choice.expected_ms, speeds.tail_factor)
        return Hedge(call=call, first=choice, due_at=time.monotonic() + delay_s)

    def send(self, hedge: Hedge, send: Callable[[EndpointConnection, Choice], None]) -> None:
        """Send a hedge that is due with ``send``; its outcome tells why if it is not sent."""
        hedge.outcome = self._try_send(hedge, send)

    def _try_send(
        self, hedge: Hedge, send: Callable[[EndpointConnection, Choice], None]
    ) -> HedgeOutcome:
        call = hedge.call
        if self._is_scheduled(call.service) or not self._has_room(call):
            return HedgeOutcome.NOT_ALLOWED
        choice = self._choose(call)
        if choice is None:
            return HedgeOutcome.NO_ENDPOINT
        if not self._retry_budget.commit_spare(call.service):
            return HedgeOutcome.NO_BUDGET
        self._policy.record_hedge(call.service)
        hedge.choice = choice
        first_placed = call.placed
        try:
            connection = self._dialer.connect(
                choice.record,
                request_id=call.facts.request_id,
                timeout_s=HEDGE_CONNECT_TIMEOUT_S,
            )
            hedge.stack.callback(connection.close)
            hedge.placed = hedge.stack.enter_context(self._view.track_request(call, choice))
            send(connection, choice)
            hedge.connection = connection
        except NotSentError:
            hedge.choice = None
            return HedgeOutcome.NOT_SENT
        except MaybeRanError:
            # The endpoint may run what it has received, but can't answer.
            return HedgeOutcome.LOST
        finally:
            call.placed = first_placed
        return HedgeOutcome.LOST

    def _has_room(self, call: Call) -> bool:
        if self._view.quarantine.is_suspected(call):
            return False
        choices = [one.choice for one in self._view.compare(call)]
        return self._policy.may_hedge(
            call.service,
            running=sum(one.running for one in choices),
            slots=sum(one.record.slots for one in choices),
        )

    def _choose(self, call: Call) -> Choice | None:
        """Return another endpoint that is likely to answer; a cold one would need a permit."""
        choice = self._view.choose(call)
        if choice is None:
            return None
        now = time.monotonic()
        is_cold = self._view.is_cold(call.service, choice.record.endpoint_id, now)
        return None if is_cold else choice

    def take_over(self, hedge: Hedge) -> None:
        """Let the second endpoint answer the caller."""
        hedge.outcome = HedgeOutcome.WON
        first_placed = hedge.call.placed
        if first_placed is not None:
            now = time.monotonic()
            self._view.placement.record_overtaken(first_placed, now=now)
            self._view.placement.finish(first_placed, now=now)
        hedge.call.placed = hedge.placed

    def cancel(self, hedge: Hedge) -> None:
        """End the attempt at the second endpoint, since the first one answers."""
        placed = hedge.call.placed
        hedge.stack.close()
        hedge.call.placed = placed

    @contextmanager
    def hold(self, hedge: Hedge) -> Iterator[None]:
        """Release what the hedge holds at the end, and write its outcome if it was due."""
        try:
            yield
        finally:
            self._finish(hedge)

    def _finish(self, hedge: Hedge) -> None:
        self.cancel(hedge)
        if hedge.outcome is None:
            return
        self._record_hedge(hedge.outcome.value)
        self._events.write(
            "request_hedged",
            request=hedge.call.facts.request_id,
            service=hedge.call.service,
            outcome=hedge.outcome.value,
            first=hedge.first.record.endpoint_id,
            second=None if hedge.choice is None else hedge.choice.record.endpoint_id,
            expected_ms=round(hedge.first.expected_ms),
        )
