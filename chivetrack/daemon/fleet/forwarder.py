"""Sends a request to one endpoint and relays the answer to the caller."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace

from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.components.paths.const import UNACKNOWLEDGED_S
from chivetrack.components.placement.choice import Choice
from chivetrack.components.retries.sending import SendAttempt, SendEnd
from chivetrack.components.traffic.models import RouteKind
from chivetrack.components.traffic.requests import AnswerFacts
from chivetrack.components.upstream.answer_head import AnswerHeadError, HeadFault
from chivetrack.components.upstream.connection import (
    EndpointConnection,
    EndpointRequest,
    ForeignAnswerError,
    MaybeRanError,
    NotSentError,
    UnsoundHeadError,
)
from chivetrack.components.upstream.endpoint_answer import EndpointAnswer
from chivetrack.components.upstream.idle_connections import IdleConnections
from chivetrack.components.upstream.models import BrokenAnswerError
from chivetrack.components.upstream.own_answers import check_own
from chivetrack.daemon.fleet.calls import Call, ReadyAnswer
from chivetrack.daemon.fleet.const import (
    MAX_BUFFERED_ANSWER_BYTES,
    MIN_TIME_FOR_RETRY_S,
)
from chivetrack.daemon.fleet.dialer import Dialer, PathBrokenError
from chivetrack.daemon.fleet.hedging import Hedge, Hedger
from chivetrack.daemon.fleet.stream_relay import StreamRelay
from chivetrack.daemon.fleet.stream_silence import StreamSilence
from chivetrack.daemon.request_handler import AbortConnectionError
from chivetrack.platform.headers import (
    list_answer_headers,
    make_endpoint_headers,
    read_answer_facts,
)

_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_MAX_STRAY_ANSWERS = 2


class AnswerCutError(AbortConnectionError):
    """The answer to the caller is incomplete; the caller's connection must be closed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SendResult:
    """Result of one attempt; ``end`` is ``None`` if the caller has its answer.

    ``failure`` is the endpoint's answer with an error that the caller did not get. If the request
    was hedged, ``winner`` is the endpoint that answered and ``loser`` the one that was given up.
    """

    end: SendEnd | None = None
    detail: str = ""
    retry_after_s: float | None = None
    status: int = 0
    failure: ReadyAnswer | None = None
    is_other_instance: bool = False
    winner: Choice | None = None
    loser: Choice | None = None
    is_path_suspected: bool = False
    """Whether the failure may be one of this router's path, of which the endpoint knows nothing."""

    @property
    def is_answered(self) -> bool:
        """Return whether the caller has its answer."""
        return self.end is None


@dataclass(slots=True)
class _HeldConnection:
    """A connection in use; ``is_kept``: it is open for further requests."""

    connection: EndpointConnection
    is_kept: bool = False


@contextmanager
def _hold(connection: EndpointConnection) -> Iterator[_HeldConnection]:
    """Use a connection; close it at the end unless it is kept.

    It is closed also if the caller disconnected or the request timed out, so that the endpoint
    stops processing it.
    """
    held = _HeldConnection(connection)
    try:
        yield held
    finally:
        if not held.is_kept:
            connection.close()


@dataclass(slots=True, kw_only=True)
class _Contender:
    """One of two endpoints in the race for an answer; either ``answer`` or ``error`` is set."""

    held: _HeldConnection
    choice: Choice
    answer: EndpointAnswer | None = None
    facts: AnswerFacts | None = None
    error: MaybeRanError | None = None

    @property
    def is_success(self) -> bool:
        """Return whether the endpoint answers with a success."""
        return self.answer is not None and 200 <= self.answer.status < 300


class Forwarder:
    """Perform one attempt per call of ``send``; the caller of ``send`` decides on retries."""

    def __init__(
        self,
        *,
        idle_connections: IdleConnections,
        dialer: Dialer,
        record_answer: Callable[[EndpointRecord, AnswerFacts], None],
        handle_first_event: Callable[[Call, Choice], None],
        handle_bytes: Callable[[Call], None] | None = None,
        record_overdue: Callable[[Call], bool] | None = None,
        may_send: Callable[[], bool] | None = None,
        handle_begin: Callable[[Call], None] | None = None,
        hedger: Hedger | None = None,
        stream_silence: StreamSilence | None = None,
        record_unsound_head: Callable[[HeadFault], None] = lambda fault: None,
    ) -> None:
        """Store the idle connections, the dialer of new ones, and the callbacks.

        ``hedger`` sends slow requests to a second endpoint; without it there is none.
        ``stream_silence`` moves streams at silent endpoints to others; without it they wait.
        ``handle_begin`` is called when the origin of a stream is known, before the caller gets its
        first event.
        ``handle_bytes`` is called when bytes of an answer arrive. ``record_overdue`` is
        called when none arrived within the wait limit; it returns whether the endpoint is
        silent to all of this router's requests. ``may_send`` returns whether the router still
        passes requests on; it is asked right before the first byte. ``record_unsound_head`` counts
        bytes that are not the head of an answer.
        """
        self._idle_connections = idle_connections
        self._dialer = dialer
        self._record_answer = record_answer
        self._handle_bytes = handle_bytes or (lambda call: None)
        self._record_overdue = record_overdue or (lambda call: False)
        self._may_send = may_send or (lambda: True)
        self._stream_relay = StreamRelay(
            handle_bytes=self._handle_bytes,
            handle_first_event=handle_first_event,
            handle_begin=handle_begin or (lambda call: None),
            silence=stream_silence,
        )
        self._hedger = hedger
        self._record_unsound_head = record_unsound_head

    def send(self, call: Call, choice: Choice, *, may_retry: bool) -> SendResult:
        """Send a request to one endpoint and relay the answer.

        A failure answered by the endpoint is relayed to the caller unless ``may_retry``; then
        it is part of the result, so that the caller gets it if no other endpoint answers.
        """
        record = choice.record
        try:
            connection = self._dialer.connect(
                record,
                request_id=call.facts.request_id or "",
                timeout_s=max(0.01, call.ends_at - time.monotonic()),
            )
        except NotSentError as error:
            is_path_suspected = isinstance(error, PathBrokenError)
            return SendResult(
                end=SendEnd.NOT_SENT, detail=str(error), is_path_suspected=is_path_suspected
            )
        except BaseException:
            # The exit or the end of the caller's wait, which ends the request here.
            call.mark_not_sent()
            raise
        hedge = None if self._hedger is None else self._hedger.prepare(call, choice)
        if hedge is not None:
            return self._send_hedged(hedge, connection, call, choice, may_retry)
        return self._send_on(connection, call, choice, may_retry)

    def _send_on(
        self, connection: EndpointConnection, call: Call, choice: Choice, may_retry: bool
    ) -> SendResult:
        with _hold(connection) as held:
            try:
                answer, facts = self._exchange(connection, call, choice, may_retry)
                return self._relay(held, call, choice, answer, facts, may_retry)
            except NotSentError as error:
                return self._make_broken(SendEnd.NOT_SENT, error, choice.record, connection)
            except (MaybeRanError, BrokenAnswerError) as error:
                return self._make_broken(SendEnd.MAYBE_RAN, error, choice.record, connection)

    def _relay(
        self,
        held: _HeldConnection,
        call: Call,
        choice: Choice,
        answer: EndpointAnswer,
        facts: AnswerFacts,
        may_retry: bool,
    ) -> SendResult:
        """Handle an answer, and keep its connection if it may serve another request."""
        connection = held.connection
        call.framing = answer.framing
        self._record_answer(choice.record, facts)
        self._dialer.record_answer(choice.record, connection.carrier)
        result = self._handle_answer(connection, call, choice, answer, facts, may_retry)
        ends = facts.closes or facts.is_leaving
        held.is_kept = answer.keeps_connection and not ends and connection.end_request()
        if held.is_kept:
            self._idle_connections.put(choice.record.endpoint_id, connection, facts.keep_alive_s)
        return result

    # Hedged requests

    def _send_hedged(
        self,
        hedge: Hedge,
        connection: EndpointConnection,
        call: Call,
        choice: Choice,
        may_retry: bool,
    ) -> SendResult:
        """Perform an attempt that is sent to a second endpoint if its first byte is late."""
        assert self._hedger is not None
        with self._hedger.hold(hedge), _hold(connection) as held:
            contender = first = _Contender(held=held, choice=choice)
            try:
                self._send_request(connection, call, choice)
                self._await_answer(connection, call, choice, may_retry, hedge)
                contender = self._find_winner(first, call, hedge)
                self._handle_bytes(call)
                may_retry = may_retry and not hedge.is_sent
                result = self._relay_contender(contender, call, may_retry)
            except NotSentError as error:
                result = self._make_broken(SendEnd.NOT_SENT, error, choice.record, connection)
            except (MaybeRanError, BrokenAnswerError) as error:
                result = self._make_broken(
                    SendEnd.MAYBE_RAN, error, contender.choice.record, contender.held.connection
                )
            hedge.record_result(is_complete=result.is_answered and result.status < 500)
            if hedge.choice is None:
                return result
            winner, loser = (hedge.choice, choice) if hedge.has_won else (choice, hedge.choice)
            return replace(result, winner=winner, loser=loser)

    def _relay_contender(self, contender: _Contender, call: Call, may_retry: bool) -> SendResult:
        assert contender.answer is not None and contender.facts is not None
        return self._relay(
            contender.held, call, contender.choice, contender.answer, contender.facts, may_retry
        )

    def _find_winner(self, first: _Contender, call: Call, hedge: Hedge) -> _Contender:
        """Return the endpoint whose answer the caller gets.

        That is the first one to answer with a success. If there is none, the first endpoint's
        answer counts, as without a hedge.
        """
        if hedge.connection is None or hedge.choice is None:
            first.answer, first.facts = self._read_head(first.held.connection, call)
            return first
        second = _Contender(held=_HeldConnection(hedge.connection), choice=hedge.choice)
        is_first_ready = first.held.connection.wait_readable(0.0)
        order = (first, second) if is_first_ready else (second, first)
        for contender in order:
            self._read_contender(contender, call)
            if contender.is_success:
                break
        else:
            contender = first
        assert self._hedger is not None
        # The loser is cancelled now and not after the whole answer, which may be a long stream.
        if contender is second:
            first.held.connection.close()
            self._hedger.take_over(hedge)
            return contender
        self._hedger.cancel(hedge)
        if contender.error is not None:
            raise contender.error
        return contender

    def _read_contender(self, contender: _Contender, call: Call) -> None:
        try:
            contender.answer, contender.facts = self._read_head(contender.held.connection, call)
        except MaybeRanError as error:
            contender.error = error

    def _make_broken(
        self,
        end: SendEnd,
        error: Exception,
        record: EndpointRecord,
        connection: EndpointConnection,
    ) -> SendResult:
        """Return the result of a connection that broke off, or on which somebody else answers."""
        if isinstance(error, ForeignAnswerError):
            return SendResult(end=end, detail=str(error))
        is_path_suspected = self._may_send() and self._dialer.handle_broken_connection(
            record, connection.carrier
        )
        return SendResult(end=end, detail=str(error), is_path_suspected=is_path_suspected)

    def _exchange(
        self, connection: EndpointConnection, call: Call, choice: Choice, may_retry: bool
    ) -> tuple[EndpointAnswer, AnswerFacts]:
        self._send_request(connection, call, choice)
        self._await_answer(connection, call, choice, may_retry)
        return self._read_head(connection, call)

    def _send_request(self, connection: EndpointConnection, call: Call, choice: Choice) -> None:
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
        if not self._may_send():
            raise NotSentError("the router has decided to exit")
        connection.send(request, timeout_s=remaining_s)

    def _read_head(
        self, connection: EndpointConnection, call: Call
    ) -> tuple[EndpointAnswer, AnswerFacts]:
        remaining_s = max(0.01, call.ends_at - time.monotonic())
        for _ in range(_MAX_STRAY_ANSWERS + 1):
            try:
                answer = connection.read_answer(call.method, timeout_s=remaining_s)
                facts = _read_facts(answer)
                if facts.request_id is None or facts.request_id == call.facts.request_id:
                    _check_own(facts, call)
                    return answer, facts
            except UnsoundHeadError as error:
                self._record_unsound_head(error.fault)
                raise
            # A late duplicate answer to the previous request on this connection.
            self._discard(answer)
        raise MaybeRanError("the connection returned answers to other requests")

    def _await_answer(
        self,
        connection: EndpointConnection,
        call: Call,
        choice: Choice,
        may_retry: bool,
        hedge: Hedge | None = None,
    ) -> None:
        """Wait for the first byte; abandon an endpoint that is silent to all requests.

        A retryable request that waited for such an endpoint until its deadline would be
        lost, although another endpoint could answer it at once. A hedge is sent when it is due,
        and its first byte ends the wait as well.
        """
        sent_at = time.monotonic()
        wait_limit_s = float("inf") if call.placed is None else call.placed.wait_limit_s
        overdue_at = sent_at + wait_limit_s
        check_at = sent_at + UNACKNOWLEDGED_S
        hedge_at = float("inf") if hedge is None else hedge.due_at
        while not connection.wait_readable(
            min(overdue_at, check_at, hedge_at, call.ends_at) - time.monotonic(),
            other=None if hedge is None else hedge.connection,
        ):
            now = time.monotonic()
            if hedge is not None and self._hedger is not None and now >= hedge_at:
                hedge_at = float("inf")
                self._hedger.send(hedge, lambda *sent: self._send_request(sent[0], call, sent[1]))
                # The second endpoint may answer if the first one is given up.
                may_retry = may_retry and not hedge.is_sent
            if now >= check_at:
                check_at = float("inf")
                self._check_acknowledged(connection, choice, may_retry)
            if now >= call.ends_at:
                return
            if now < overdue_at:
                continue
            overdue_at = now + wait_limit_s if may_retry else float("inf")
            is_silent = self._record_overdue(call)
            if may_retry and is_silent and call.ends_at - now > MIN_TIME_FOR_RETRY_S:
                raise MaybeRanError(f"silent for {wait_limit_s:.2f} s")
        self._handle_bytes(call)

    def _check_acknowledged(
        self, connection: EndpointConnection, choice: Choice, may_retry: bool
    ) -> None:
        """Detect a host that can't be reached any more through a connection that is still open."""
        if not connection.count_unacknowledged():
            return
        self._dialer.record_unacknowledged(choice.record, connection.carrier)
        if may_retry:
            raise MaybeRanError(f"not acknowledged for {UNACKNOWLEDGED_S} s")
        self._dialer.handle_broken_connection(choice.record, connection.carrier)

    @classmethod
    def _discard(cls, answer: EndpointAnswer) -> None:
        if not answer.is_framed:
            raise MaybeRanError("the answer belongs to another request")
        try:
            cls._read_whole(answer)
        except BrokenAnswerError as error:
            raise MaybeRanError(f"an answer to another request broke off: {error}") from error

    def _handle_answer(
        self,
        connection: EndpointConnection,
        call: Call,
        choice: Choice,
        answer: EndpointAnswer,
        facts: AnswerFacts,
        may_retry: bool,
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
        if status in _NOT_RUN_STATUSES:
            raise MaybeRanError(f"status {status} without a statement that the request did not run")
        if 200 <= status < 300 and call.route.kind is RouteKind.STREAM:
            self._stream_relay.relay(connection, call, choice, answer, may_move=may_retry)
            return SendResult(status=status)
        return self._relay_buffered(call, answer, facts, may_retry and status >= 500)

    def _relay_buffered(
        self, call: Call, answer: EndpointAnswer, facts: AnswerFacts, is_retried: bool
    ) -> SendResult:
        """Read the complete answer, then send it or, if ``is_retried``, return it."""
        body = self._read_whole(answer)
        status = answer.status
        headers = list_answer_headers(answer.headers.items())
        if is_retried:
            failure = ReadyAnswer(status=status, headers=headers, body=body)
            detail = f"status {status}"
            return SendResult(end=SendEnd.FAILED, detail=detail, status=status, failure=failure)
        if call.reply.is_started:
            raise AnswerCutError(f"status {status} in the middle of a stream")
        call.reply.send(status, headers, body)
        return SendResult(status=status)

    @staticmethod
    def _read_whole(answer: EndpointAnswer) -> bytes:
        # Not one object for each length: an answer may come byte by byte.
        body = bytearray()
        for chunk in answer.read_chunks():
            body += chunk
            if len(body) > MAX_BUFFERED_ANSWER_BYTES:
                raise BrokenAnswerError("the answer is too large")
        return bytes(body)


def _read_facts(answer: EndpointAnswer) -> AnswerFacts:
    """Decode the head of an answer; raise ``UnsoundHeadError`` if it contradicts itself."""
    try:
        return read_answer_facts(answer.status, answer.headers)
    except AnswerHeadError as error:
        raise UnsoundHeadError(f"no answer: {error}", fault=error.fault) from error


def _check_own(facts: AnswerFacts, call: Call) -> None:
    """Raise ``ForeignAnswerError`` unless the endpoint itself answers the call."""
    try:
        check_own(facts, request_id=call.facts.request_id)
    except AnswerHeadError as error:
        raise ForeignAnswerError(f"no answer: {error}", fault=error.fault) from error


def make_tried(choice: Choice, result: SendResult) -> SendAttempt:
    """Return the attempt as the decision about a retry needs it."""
    assert result.end is not None
    return SendAttempt(
        endpoint_id=choice.record.endpoint_id,
        end=result.end,
        retry_after_s=result.retry_after_s,
    )
