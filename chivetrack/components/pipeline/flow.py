"""The state machine of requests: takes events and returns effects, without I/O."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, Protocol

from chivetrack.components.limits.stopping import make_cut_fault, make_stopping_fault
from chivetrack.components.pipeline import faults
from chivetrack.components.pipeline.chain import FilterChain, Proceed, Refused, Step
from chivetrack.components.pipeline.models import (
    AnswerEnded,
    Attempt,
    AttemptAnswered,
    AttemptEvent,
    AttemptFailed,
    CallerGone,
    ClaimAnswered,
    DeadlineReached,
    EndClaim,
    Exchange,
    ExitDecided,
    QueueLeft,
    Refuse,
    RelayAnswer,
    ReplayAnswer,
    RequestArrived,
    RequestEffect,
    RequestEvent,
    StoredAnswer,
)
from chivetrack.components.upstream.models import AttemptOutcome
from chivetrack.core import Effect
from chivetrack.exceptions import Fault, Ran

RETRYABLE_STATUSES = frozenset({502, 503, 504})


@dataclass(frozen=True, slots=True, kw_only=True)
class SendAgain:
    """Make another attempt, at an endpoint that is not excluded."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Abandon:
    """Make no other attempt; the caller gets ``fault``."""

    fault: Fault


class RetryDecision(Protocol):
    """Decides whether a failed attempt is followed by another; see ``retries``."""

    def decide(
        self, exchange: Exchange, failure: AttemptFailed, *, now: float
    ) -> SendAgain | Abandon:
        """Return whether to send the request again or to abandon it."""
        ...


OutcomeListener = Callable[[Attempt, AttemptOutcome, float], None]
EndListener = Callable[[Exchange, Fault | None, float], None]


class RequestFlow:
    """Owns the open exchanges; one object per router.

    The driver passes events to ``handle`` and executes the effects. Each request begins with
    ``RequestArrived`` and ends with ``Refuse``, ``ReplayAnswer`` or, after ``RelayAnswer``,
    with the driver's ``AnswerEnded``. Late events of a request that has ended are ignored,
    except that a claim granted late is released.
    """

    def __init__(
        self,
        *,
        chain: FilterChain,
        retries: RetryDecision,
        route_position: int,
        on_outcome: OutcomeListener,
        on_end: EndListener,
    ) -> None:
        """Initialize with the chain; a retry enters it again at ``route_position``."""
        self._chain = chain
        self._retries = retries
        self._route_position = route_position
        self._on_outcome = on_outcome
        self._on_end = on_end
        self._exchanges: dict[str, Exchange] = {}
        self._handlers: dict[type[RequestEvent], Callable[[Exchange, Any, float], list[Effect]]] = {
            QueueLeft: self._handle_queue_left,
            ClaimAnswered: self._handle_claim,
            AttemptFailed: self._handle_failure,
            AttemptAnswered: self._handle_answer,
            AnswerEnded: self._handle_answer_end,
            CallerGone: self._handle_caller_gone,
            DeadlineReached: self._handle_deadline,
            ExitDecided: self._handle_exit,
        }

    @property
    def open_count(self) -> int:
        """Return how many requests are open."""
        return len(self._exchanges)

    def find_exchange(self, request_id: str) -> Exchange | None:
        """Return an open exchange, or ``None`` if the request has ended."""
        return self._exchanges.get(request_id)

    def handle(self, event: RequestEvent, *, now: float) -> list[Effect]:
        """Process an event of a request and return the effects to execute."""
        if isinstance(event, RequestArrived):
            return self._open(event, now)
        exchange = self._exchanges.get(event.request_id)
        if exchange is None:
            return self._handle_late(event)
        if isinstance(event, AttemptEvent) and not self._is_current(exchange, event):
            return []
        handler = self._handlers[type(event)]
        return handler(exchange, event, now)

    @staticmethod
    def _is_current(exchange: Exchange, event: AttemptEvent) -> bool:
        # An abandoned attempt may still report its end. If that counted as the end of the
        # next attempt, the request would be sent again while it is running.
        is_open = len(exchange.attempts) > len(exchange.outcomes)
        return is_open and event.attempt == exchange.attempt.number

    @staticmethod
    def _handle_late(event: RequestEvent) -> list[Effect]:
        # The caller disconnected while the claim was pending. No attempt was made, so the
        # claim is released. Otherwise a resend would be refused as in progress until the
        # claim expires.
        if not isinstance(event, ClaimAnswered) or event.fault or event.stored:
            return []
        return [
            EndClaim(
                request_id=event.request_id,
                workspace=event.workspace,
                key=event.key,
                did_not_run=True,
            )
        ]

    def _open(self, event: RequestArrived, now: float) -> list[Effect]:
        exchange = Exchange(request_id=event.request_id, request=event.request, arrived_at=now)
        self._exchanges[event.request_id] = exchange
        return self._advance(exchange, now)

    def _advance(self, exchange: Exchange, now: float) -> list[Effect]:
        step = self._chain.advance(exchange, now=now)
        return self._execute_step(exchange, step, now)

    def _execute_step(self, exchange: Exchange, step: Step, now: float) -> list[Effect]:
        if isinstance(step, Refused):
            return self._refuse(exchange, step.fault, now)
        if isinstance(step, Proceed):
            raise RuntimeError("the last filter must not proceed")
        return list(step.effects)

    def _handle_queue_left(self, exchange: Exchange, event: QueueLeft, now: float) -> list[Effect]:
        if event.fault is not None:
            return self._refuse(exchange, event.fault, now)
        return self._continue(exchange, now)

    def _handle_claim(self, exchange: Exchange, event: ClaimAnswered, now: float) -> list[Effect]:
        if event.stored is not None:
            self._close(exchange, None, now)
            return [ReplayAnswer(request_id=exchange.request_id, answer=event.stored)]
        if event.fault is not None:
            return self._refuse(exchange, event.fault, now)
        exchange.claimed = True
        return self._continue(exchange, now)

    def _continue(self, exchange: Exchange, now: float) -> list[Effect]:
        if now >= exchange.deadline:
            return self._handle_deadline(exchange, None, now)
        return self._advance(exchange, now)

    def _handle_deadline(
        self, exchange: Exchange, event: DeadlineReached | None, now: float
    ) -> list[Effect]:
        return self._refuse(exchange, faults.deadline_exceeded(ran=exchange.ran), now)

    def _handle_exit(self, exchange: Exchange, event: ExitDecided, now: float) -> list[Effect]:
        is_open = len(exchange.attempts) > len(exchange.outcomes)
        if is_open and event.sent_attempt < exchange.attempt.number:
            exchange.outcomes.append(AttemptOutcome.NOT_SENT)
        if exchange.ran is Ran.NO:
            fault = make_stopping_fault(do_others_accept=True, left_s=0.0)
        else:
            fault = make_cut_fault()
        return self._refuse(exchange, fault, now)

    def _handle_failure(self, exchange: Exchange, event: AttemptFailed, now: float) -> list[Effect]:
        # If the head of an answer has arrived, the endpoint has started the request, whatever
        # outcome the failure reports.
        if exchange.answered:
            event = replace(event, outcome=AttemptOutcome.MAYBE_RAN)
        exchange.answered = False
        self._on_outcome(exchange.attempt, event.outcome, now)
        exchange.outcomes.append(event.outcome)
        exchange.excluded.add(exchange.attempt.endpoint_id)
        self._chain.unwind(exchange, now=now, to=self._route_position)
        decision = self._retries.decide(exchange, event, now=now)
        if isinstance(decision, Abandon):
            return self._refuse(exchange, decision.fault, now)
        return self._advance(exchange, now)

    def _handle_answer(
        self, exchange: Exchange, event: AttemptAnswered, now: float
    ) -> list[Effect]:
        if event.status in RETRYABLE_STATUSES and exchange.idempotent:
            return self._retry_status(exchange, event, now)
        exchange.answered = True
        return [RelayAnswer(request_id=exchange.request_id)]

    def _retry_status(self, exchange: Exchange, event: AttemptAnswered, now: float) -> list[Effect]:
        failure = AttemptFailed(
            request_id=exchange.request_id,
            attempt=event.attempt,
            outcome=AttemptOutcome.MAYBE_RAN,
            message=f"the endpoint answered with status {event.status}",
        )
        return self._handle_failure(exchange, failure, now)

    def _handle_answer_end(
        self, exchange: Exchange, event: AnswerEnded, now: float
    ) -> list[Effect]:
        outcome = AttemptOutcome.RAN if event.whole else AttemptOutcome.MAYBE_RAN
        self._on_outcome(exchange.attempt, outcome, now)
        exchange.outcomes.append(outcome)
        fault = None if event.whole else faults.answer_cut()
        effects = self._end_claim(exchange, event)
        self._close(exchange, fault, now)
        return effects

    def _end_claim(self, exchange: Exchange, event: AnswerEnded | None) -> list[Effect]:
        if not exchange.claimed:
            return []
        assert exchange.workspace is not None
        answer = None
        if event is not None and event.whole and event.body is not None:
            answer = StoredAnswer(
                status=event.status, content_type=event.content_type, body=event.body
            )
        return [
            EndClaim(
                request_id=exchange.request_id,
                workspace=exchange.workspace.name,
                key=exchange.idempotency_key,
                answer=answer,
                did_not_run=exchange.ran is Ran.NO,
            )
        ]

    def _refuse(self, exchange: Exchange, fault: Fault, now: float) -> list[Effect]:
        # The fault of a filter that is entered again for a retry covers that retry only;
        # an earlier attempt may have run.
        if fault.ran is Ran.NO:
            fault = replace(fault, ran=exchange.ran)
        claims = self._end_claim(exchange, None)
        self._close(exchange, fault, now)
        refuse: RequestEffect = Refuse(request_id=exchange.request_id, fault=fault)
        return [refuse, *claims]

    def _handle_caller_gone(
        self, exchange: Exchange, event: CallerGone, now: float
    ) -> list[Effect]:
        effects = self._end_claim(exchange, None)
        self._close(exchange, faults.caller_gone(exchange.ran), now)
        return effects

    def _close(self, exchange: Exchange, fault: Fault | None, now: float) -> None:
        self._chain.unwind(exchange, now=now)
        del self._exchanges[exchange.request_id]
        self._on_end(exchange, fault, now)
