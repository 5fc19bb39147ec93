"""Sends a request to endpoints and the answer back, one endpoint after the other."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.components.placement.choice import Choice
from chivetrack.components.retries.sending import SendEnd, Tried
from chivetrack.components.traffic.models import RouteKind
from chivetrack.components.traffic.requests import AnswerFacts
from chivetrack.components.upstream.connection import (
    EndpointAnswer,
    EndpointConnection,
    EndpointRequest,
    MaybeRanError,
    NotSentError,
)
from chivetrack.components.upstream.events import EventSplitter
from chivetrack.components.upstream.kept import KeptConnections
from chivetrack.components.upstream.models import BrokenAnswerError
from chivetrack.daemon.fleet.calls import Call
from chivetrack.daemon.fleet.const import (
    ANSWER_STALL_S,
    CONNECT_TIMEOUT_S,
    LATE_ANSWER_S,
    LEAST_TIME_ELSEWHERE_S,
    WHOLE_ANSWER_BYTES,
)
from chivetrack.daemon.server import AbortConnectionError
from chivetrack.platform.headers import (
    list_answer_headers,
    make_endpoint_headers,
    read_answer_facts,
)

_PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
_MAX_STRAY_ANSWERS = 2


class AnswerCutError(AbortConnectionError):
    """The answer to the caller ended before it was whole; its connection has to be closed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SendResult:
    """How one try ended; without ``end`` the caller has its answer."""

    end: SendEnd | None = None
    detail: str = ""
    retry_after_s: float | None = None
    status: int = 0
    is_other_instance: bool = False

    @property
    def is_answered(self) -> bool:
        """Return whether the caller has its answer."""
        return self.end is None


class Forwarder:
    """Carries out one try at a time; what follows after it is decided elsewhere."""

    def __init__(
        self,
        *,
        kept: KeptConnections,
        note_answer: Callable[[EndpointRecord, AnswerFacts], None],
        note_first_event: Callable[[Call, Choice], None],
        hear: Callable[[Call], None] | None = None,
        note_overdue: Callable[[Call], bool] | None = None,
    ) -> None:
        """Take the idle connections and listeners for what endpoints say.

        ``hear`` is told of bytes that came, ``note_overdue`` that none came in time; it
        returns whether the endpoint is silent to all requests.
        """
        self._kept = kept
        self._note_answer = note_answer
        self._note_first_event = note_first_event
        self._hear = hear or (lambda call: None)
        self._note_overdue = note_overdue or (lambda call: False)

    def send(self, call: Call, choice: Choice, *, may_repeat: bool) -> SendResult:
        """Send a request to one endpoint; ``may_repeat`` says that another may follow.

        An endpoint's own failure goes to the caller unless another try may follow.
        """
        record = choice.record
        try:
            connection = self._open(call, choice)
        except NotSentError as error:
            return SendResult(end=SendEnd.NOT_SENT, detail=str(error))
        is_kept = False
        try:
            answer, facts = self._ask(connection, call, choice, may_repeat)
            self._note_answer(record, facts)
            result = self._take_answer(connection, call, choice, answer, facts, may_repeat)
            ends = facts.closes or facts.is_leaving
            is_kept = answer.keeps_connection and not ends and connection.end_request()
            if is_kept:
                self._kept.put(record.endpoint_id, connection, facts.keep_alive_s)
            return result
        except NotSentError as error:
            return SendResult(end=SendEnd.NOT_SENT, detail=str(error))
        except (MaybeRanError, BrokenAnswerError) as error:
            return SendResult(end=SendEnd.MAYBE_RAN, detail=str(error))
        finally:
            # Also when the caller has left or the time is up: the endpoint must stop.
            if not is_kept:
                connection.close()

    def _open(self, call: Call, choice: Choice) -> EndpointConnection:
        record = choice.record
        kept = self._kept.take(record.endpoint_id)
        if kept is not None:
            return kept
        remaining_s = max(0.01, call.ends_at - time.monotonic())
        return EndpointConnection(
            address=record.address, connect_timeout_s=min(CONNECT_TIMEOUT_S, remaining_s)
        )

    def _ask(
        self, connection: EndpointConnection, call: Call, choice: Choice, may_repeat: bool
    ) -> tuple[EndpointAnswer, AnswerFacts]:
        remaining_s = max(0.01, call.ends_at - time.monotonic())
        headers = make_endpoint_headers(
            call.headers,
            endpoint_id=choice.record.endpoint_id,
            workspace="" if call.workspace is None else call.workspace.name,
            remaining_s=remaining_s,
            last_event_id=call.last_event_id,
            priority=call.priority if call.facts.parts else None,
            fetch_from=choice.fetch_from,
        )
        request = EndpointRequest(
            method=call.method, target=call.target, headers=headers, body=call.body
        )
        connection.send(request, timeout_s=remaining_s)
        self._await_answer(connection, call, may_repeat)
        remaining_s = max(0.01, call.ends_at - time.monotonic())
        for _ in range(_MAX_STRAY_ANSWERS + 1):
            answer = connection.read_answer(call.method, timeout_s=remaining_s)
            facts = read_answer_facts(answer.status, answer.headers)
            if facts.request_id is None or facts.request_id == call.facts.request_id:
                return answer, facts
            # A late second answer to the request before; its bytes belong to nobody.
            self._skip(answer)
        raise MaybeRanError("the connection gives answers to other requests")

    def _await_answer(self, connection: EndpointConnection, call: Call, may_repeat: bool) -> None:
        """Wait for the first byte; give up an endpoint that is silent to all its requests.

        Held to the deadline there, a request that may run again would be lost, although
        another endpoint could answer it at once.
        """
        if call.placed is None:
            return
        wait_limit_s = call.placed.wait_limit_s
        while not connection.wait_readable(min(wait_limit_s, call.ends_at - time.monotonic())):
            remaining_s = call.ends_at - time.monotonic()
            is_silent = self._note_overdue(call)
            if may_repeat and is_silent and remaining_s > LEAST_TIME_ELSEWHERE_S:
                raise MaybeRanError(f"silent for {wait_limit_s:.2f} s")
            if remaining_s <= 0 or not may_repeat:
                return
        self._hear(call)

    @staticmethod
    def _skip(answer: EndpointAnswer) -> None:
        if not answer.is_framed:
            raise MaybeRanError("the answer belongs to another request")
        for _ in answer.read_chunks():
            continue

    def _take_answer(
        self,
        connection: EndpointConnection,
        call: Call,
        choice: Choice,
        answer: EndpointAnswer,
        facts: AnswerFacts,
        may_repeat: bool,
    ) -> SendResult:
        status = answer.status
        if facts.did_not_run:
            self._read_whole(answer)
            return SendResult(
                end=SendEnd.REFUSED,
                detail=f"status {status}",
                retry_after_s=facts.retry_after_s,
                status=status,
                is_other_instance=facts.is_other_instance,
            )
        is_success = 200 <= status < 300
        if is_success and (not facts.is_sealed or facts.is_encoded):
            raise MaybeRanError("the answer does not come from the endpoint itself")
        if status in _PROMISES_NOT_RUN:
            raise MaybeRanError(f"status {status} without word that the request did not run")
        if is_success and call.route.kind is RouteKind.STREAM:
            self._relay_stream(connection, call, choice, answer)
            return SendResult(status=status)
        return self._pass_on(call, answer, facts, may_repeat and status >= 500)

    def _pass_on(
        self, call: Call, answer: EndpointAnswer, facts: AnswerFacts, holds_back: bool
    ) -> SendResult:
        """Read an answer whole and send it, or give it up for another try."""
        body = self._read_whole(answer)
        status = answer.status
        if holds_back:
            return SendResult(end=SendEnd.FAILED, detail=f"status {status}", status=status)
        if call.reply.is_started:
            raise AnswerCutError(f"status {status} in the midst of a stream")
        headers = list_answer_headers(answer.headers.items())
        call.reply.send(status, headers, body)
        return SendResult(status=status)

    @staticmethod
    def _read_whole(answer: EndpointAnswer) -> bytes:
        body = b""
        for chunk in answer.read_chunks():
            body += chunk
            if len(body) > WHOLE_ANSWER_BYTES:
                raise BrokenAnswerError("the answer is too large")
        return body

    def _relay_stream(
        self, connection: EndpointConnection, call: Call, choice: Choice, answer: EndpointAnswer
    ) -> None:
        splitter = EventSplitter(last_id=call.last_event_id)
        is_first = True
        for chunk in answer.read_chunks():
            self._hear(call)
            if is_first:
                is_first = False
                self._note_first_event(call, choice)
                if call.first_event_at is None:
                    call.first_event_at = time.monotonic()
                if call.route.is_resumable:
                    connection.set_timeout(self._get_stall(call))
            data = splitter.feed(chunk)
            if data:
                self._begin(call, answer)
                call.reply.write(data)
                call.last_event_id = splitter.last_id
        if splitter.has_rest:
            raise BrokenAnswerError("the stream ended in the middle of an event")
        self._begin(call, answer)

    @staticmethod
    def _get_stall(call: Call) -> float:
        remaining_s = call.ends_at - time.monotonic()
        return max(0.05, min(remaining_s + LATE_ANSWER_S, ANSWER_STALL_S))

    @staticmethod
    def _begin(call: Call, answer: EndpointAnswer) -> None:
        if not call.reply.is_started:
            call.reply.start(answer.status, list_answer_headers(answer.headers.items()))


def make_tried(choice: Choice, result: SendResult) -> Tried:
    """Return what the decision about another try has to know."""
    assert result.end is not None
    return Tried(
        endpoint_id=choice.record.endpoint_id,
        end=result.end,
        retry_after_s=result.retry_after_s,
    )
