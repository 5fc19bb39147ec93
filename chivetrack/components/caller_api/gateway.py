"""Executes the effects of the request flow on behalf of callers."""

from collections.abc import Callable, Mapping
from contextlib import ExitStack
from dataclasses import dataclass, field, replace

from gevent.queue import Empty, SimpleQueue
from opentelemetry.trace import SpanKind

from chivetrack.components.caller_api.const import (
    DEFAULT_MAX_OPEN_REQUESTS,
    HEADER_ENDPOINT,
    HEADER_REQUEST_ID,
    MAX_BUFFERED_ANSWER_BYTES,
    MAX_STORED_ANSWER_BYTES,
    OVERLOAD_RETRY_AFTER_S,
    STREAM_TYPE,
)
from chivetrack.components.caller_api.open_requests import ExitDecidedError, OpenRequests
from chivetrack.components.caller_api.relay import RelayBody
from chivetrack.components.caller_api.upstream_request import make_upstream_request
from chivetrack.components.limits.stopping import make_stopping_fault
from chivetrack.components.pipeline import faults
from chivetrack.components.pipeline.models import (
    AnswerEnded,
    AttemptAnswered,
    AttemptFailed,
    CallerGone,
    CallerRequest,
    DeadlineReached,
    ExitDecided,
    Refuse,
    RelayAnswer,
    ReplayAnswer,
    RequestArrived,
    RequestEffect,
    RequestEvent,
    StartAttempt,
)
from chivetrack.components.upstream.client import UpstreamAnswer, UpstreamClient
from chivetrack.components.upstream.models import (
    AttemptOutcome,
    BrokenAnswerError,
)
from chivetrack.exceptions import Fault
from chivetrack.helpers.numbers import read_count
from chivetrack.helpers.telemetry import Hop, Telemetry, extract_context

# Longest wait for the first attempt; afterwards the deadline of the attempt applies.
WAIT_LIMIT_S = 3600.0
_ANSWER_HEADERS = ("content-type", "content-length", "retry-after", "cache-control", "etag")


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayAnswer:
    """The answer to a caller, or the fault that replaces it."""

    request_id: str
    status: int = 0
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes | RelayBody = b""
    fault: Fault | None = None


@dataclass(slots=True, kw_only=True)
class _PendingRequest:
    """State of a request whose answer is not complete.

    ``mailbox`` receives the effects of the request, ``hops`` holds the open trace spans,
    and ``last_start`` is the newest attempt.
    """

    request_id: str
    mailbox: SimpleQueue
    started_at: float
    deadline: float
    hops: ExitStack
    hop: Hop
    answer: UpstreamAnswer | None = None
    last_start: StartAttempt | None = None

    @property
    def attempt_number(self) -> int:
        """Return the number of the newest attempt, or 0 before the first one."""
        return 0 if self.last_start is None else self.last_start.attempt.number


class Gateway:
    """Processes each request in the greenlet of its caller.

    ``post`` sends an event to the decision logic. The effects on requests that result
    from it arrive through ``handle_effect``.
    """

    def __init__(
        self,
        *,
        post: Callable[[RequestEvent], None],
        client: UpstreamClient,
        telemetry: Telemetry,
        read_clock: Callable[[], float],
        make_id: Callable[[], str],
        max_open: int = DEFAULT_MAX_OPEN_REQUESTS,
    ) -> None:
        """Create a gateway that has at most ``max_open`` requests open at a time.

        ``read_clock`` returns seconds of a monotonic clock; ``make_id`` returns a new
        request id.
        """
        self._max_open = max_open
        self._tracer = telemetry.tracer
        self._instruments = telemetry.instruments
        self._post = post
        self._client = client
        self._read_clock = read_clock
        self._make_id = make_id
        self._mailboxes: dict[str, SimpleQueue] = {}
        self._streaming_ids: set[str] = set()
        self.open_requests = OpenRequests()

    @property
    def open_count(self) -> int:
        """Return the number of requests that wait for an answer or are receiving one."""
        return len(self._mailboxes)

    @property
    def streaming_count(self) -> int:
        """Return the number of requests whose streamed answer has begun."""
        return len(self._streaming_ids)

    def handle_effect(self, effect: RequestEffect) -> None:
        """Forward an effect to the greenlet of its request; ignore a finished request."""
        mailbox = self._mailboxes.get(effect.request_id)
        if mailbox is not None:
            mailbox.put(effect)

    def serve(self, request: CallerRequest) -> GatewayAnswer:
        """Process a request up to its answer, or the first chunk of a streamed answer."""
        # Without this limit, a surge of requests would exhaust the memory that open
        # streams need.
        if self.open_count >= self._max_open:
            fault = faults.too_many_requests(self._max_open, OVERLOAD_RETRY_AFTER_S)
            return GatewayAnswer(request_id=self._make_id(), fault=fault)
        if self.open_requests.is_ended:
            fault = make_stopping_fault(do_others_accept=True, left_s=0.0)
            return GatewayAnswer(request_id=self._make_id(), fault=fault)
        pending = self._open(request)
        headers = {**request.headers, **pending.hop.write_headers()}
        request = replace(request, headers=headers)
        request_id = pending.request_id
        stays_open = False
        try:
            answer = self._get_answer(pending, request)
            stays_open = isinstance(answer.body, RelayBody)
            if answer.fault is not None:
                pending.hop.mark_failed(answer.fault.code)
            return answer
        except BaseException:
            self._post(CallerGone(request_id=request_id))
            if pending.answer is not None:
                pending.answer.cancel()
            raise
        finally:
            if not stays_open:
                self._close(pending)

    def _get_answer(self, pending: _PendingRequest, request: CallerRequest) -> GatewayAnswer:
        """Return the answer, or the fault of a request that the exit of the instance ends."""
        request_id = pending.request_id
        self._post(RequestArrived(request_id=request_id, request=request))
        try:
            with self.open_requests.track():
                answer = self._execute_effects(pending)
            if isinstance(answer.body, RelayBody):
                self.open_requests.add(request_id)
                self._streaming_ids.add(request_id)
            return answer
        except ExitDecidedError:
            if pending.answer is not None:
                pending.answer.cancel()
            return self._end_by_exit(pending)

    def _end_by_exit(self, pending: _PendingRequest) -> GatewayAnswer:
        self._post(ExitDecided(request_id=pending.request_id, sent_attempt=pending.attempt_number))
        while True:
            effect = pending.mailbox.get_nowait()
            if isinstance(effect, Refuse):
                return GatewayAnswer(request_id=pending.request_id, fault=effect.fault)
            if isinstance(effect, ReplayAnswer):
                return self._replay(effect)

    def _open(self, request: CallerRequest) -> _PendingRequest:
        hops = ExitStack()
        parent = extract_context(request.headers)
        hop = hops.enter_context(
            self._tracer.open_hop("request", parent=parent, kind=SpanKind.SERVER)
        )
        now = self._read_clock()
        pending = _PendingRequest(
            request_id=self._make_id(),
            mailbox=SimpleQueue(),
            started_at=now,
            deadline=now + WAIT_LIMIT_S,
            hops=hops,
            hop=hop,
        )
        hop.set_attribute("request.id", pending.request_id)
        self._mailboxes[pending.request_id] = pending.mailbox
        self._instruments.change_in_flight(1)
        return pending

    def _close(self, pending: _PendingRequest) -> None:
        if self._mailboxes.pop(pending.request_id, None) is None:
            return
        self._streaming_ids.discard(pending.request_id)
        self.open_requests.discard(pending.request_id)
        self._instruments.change_in_flight(-1)
        pending.hops.close()

    def _execute_effects(self, pending: _PendingRequest) -> GatewayAnswer:
        while True:
            effect = self._wait_for_effect(pending)
            if isinstance(effect, Refuse):
                return GatewayAnswer(request_id=pending.request_id, fault=effect.fault)
            if isinstance(effect, ReplayAnswer):
                return self._replay(effect)
            if isinstance(effect, StartAttempt):
                self._start_attempt(pending, effect)
            elif isinstance(effect, RelayAnswer):
                answer = self._relay_answer(pending)
                if answer is not None:
                    return answer

    def _wait_for_effect(self, pending: _PendingRequest) -> RequestEffect:
        try:
            remaining = max(0.0, pending.deadline - self._read_clock())
            return pending.mailbox.get(timeout=remaining)
        except Empty:
            self._post(DeadlineReached(request_id=pending.request_id))
            return pending.mailbox.get()

    def _replay(self, effect: ReplayAnswer) -> GatewayAnswer:
        headers = {
            "Content-Type": effect.answer.content_type,
            HEADER_REQUEST_ID: effect.request_id,
            "Idempotent-Replayed": "true",
        }
        return GatewayAnswer(
            request_id=effect.request_id,
            status=effect.answer.status,
            headers=headers,
            body=effect.answer.body,
        )

    def _start_attempt(self, pending: _PendingRequest, effect: StartAttempt) -> None:
        self.open_requests.raise_if_ended()
        if pending.answer is not None:
            pending.answer.cancel()
            pending.answer = None
        pending.last_start = effect
        pending.deadline = effect.exchange.deadline
        hop = pending.hops.enter_context(
            self._tracer.open_hop(
                "attempt",
                parent=pending.hop.context,
                kind=SpanKind.CLIENT,
                attributes={"endpoint.id": effect.attempt.endpoint_id},
            )
        )
        result = self._client.send(make_upstream_request(effect, hop))
        if result.is_error():
            failure = result.error
            hop.mark_failed(failure.outcome.value)
            self._post(
                AttemptFailed(
                    request_id=effect.request_id,
                    attempt=effect.attempt.number,
                    outcome=failure.outcome,
                    message=failure.message,
                    retry_after_s=failure.retry_after_s,
                )
            )
            return
        pending.answer = result.ok
        self._post(
            AttemptAnswered(
                request_id=effect.request_id,
                attempt=effect.attempt.number,
                status=result.ok.status,
            )
        )

    def _relay_answer(self, pending: _PendingRequest) -> GatewayAnswer | None:
        answer = pending.answer
        assert answer is not None
        try:
            if self._is_small(answer):
                return self._relay_buffered(pending, answer)
            return self._relay_stream(pending, answer)
        except BrokenAnswerError as error:
            pending.answer = None
            self._post(
                AttemptFailed(
                    request_id=pending.request_id,
                    attempt=pending.attempt_number,
                    outcome=AttemptOutcome.MAYBE_RAN,
                    message=str(error),
                )
            )
            return None

    @staticmethod
    def _is_small(answer: UpstreamAnswer) -> bool:
        if answer.status in (204, 304):
            return True
        length = read_count(answer.headers.get("Content-Length", ""))
        return length is not None and length <= MAX_BUFFERED_ANSWER_BYTES

    def _relay_buffered(self, pending: _PendingRequest, answer: UpstreamAnswer) -> GatewayAnswer:
        body = b"".join(answer.read_chunks())
        stored = body if len(body) <= MAX_STORED_ANSWER_BYTES else None
        self._post_answer_ended(pending, answer, whole=True, body=stored)
        return GatewayAnswer(
            request_id=pending.request_id,
            status=answer.status,
            headers=self._make_headers(pending, answer),
            body=body,
        )

    def _relay_stream(self, pending: _PendingRequest, answer: UpstreamAnswer) -> GatewayAnswer:
        chunks = answer.read_chunks()
        first = next(chunks, b"")
        service = self._get_service(pending)
        waited_s = self._read_clock() - pending.started_at
        self._instruments.record_first_chunk(service=service, duration_s=waited_s)

        def finish_stream(whole: bool, count: int) -> None:
            self._instruments.record_chunks(service=service, count=count)
            self._post_answer_ended(pending, answer, whole=whole, body=None)
            self._close(pending)

        content_type = answer.headers.get("Content-Type", "")
        body = RelayBody(
            answer=answer,
            first=first,
            remaining_chunks=chunks,
            request_id=pending.request_id,
            is_event_stream=content_type.startswith(STREAM_TYPE),
            on_end=finish_stream,
        )
        return GatewayAnswer(
            request_id=pending.request_id,
            status=answer.status,
            headers=self._make_headers(pending, answer),
            body=body,
        )

    @staticmethod
    def _get_service(pending: _PendingRequest) -> str:
        last_start = pending.last_start
        return "" if last_start is None else last_start.exchange.service

    def _post_answer_ended(
        self,
        pending: _PendingRequest,
        answer: UpstreamAnswer,
        *,
        whole: bool,
        body: bytes | None,
    ) -> None:
        self._post(
            AnswerEnded(
                request_id=pending.request_id,
                attempt=pending.attempt_number,
                whole=whole,
                status=answer.status,
                content_type=answer.headers.get("Content-Type", ""),
                body=body,
            )
        )

    @staticmethod
    def _make_headers(pending: _PendingRequest, answer: UpstreamAnswer) -> dict[str, str]:
        headers = {
            name.title(): answer.headers[name] for name in _ANSWER_HEADERS if name in answer.headers
        }
        headers[HEADER_REQUEST_ID] = pending.request_id
        if pending.last_start is not None:
            headers[HEADER_ENDPOINT] = pending.last_start.attempt.endpoint_id
        return headers
