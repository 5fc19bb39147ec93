"""Carries out what the request flow decides, for one caller after another."""

from collections.abc import Callable, Iterator, Mapping
from contextlib import ExitStack
from dataclasses import dataclass, field, replace

from gevent.queue import Empty, SimpleQueue
from opentelemetry.trace import SpanKind

from chivetrack.components.caller_api.const import (
    DEFAULT_MAX_OPEN,
    FULL_RETRY_AFTER_S,
    HEADER_ENDPOINT,
    HEADER_REQUEST_ID,
    STORED_ANSWER_LIMIT,
    STREAM_TYPE,
    WHOLE_ANSWER_LIMIT,
)
from chivetrack.components.caller_api.relay import RelayBody
from chivetrack.components.pipeline import faults
from chivetrack.components.pipeline.models import (
    AnswerEnded,
    AttemptAnswered,
    AttemptFailed,
    CallerGone,
    CallerRequest,
    DeadlineReached,
    Refuse,
    RelayAnswer,
    ReplayAnswer,
    RequestArrived,
    RequestEffect,
    RequestEvent,
    StartAttempt,
)
from chivetrack.components.upstream.client import UpstreamAnswer, UpstreamClient
from chivetrack.components.upstream.const import (
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    HOP_BY_HOP,
    PRIORITY_HEADER,
)
from chivetrack.components.upstream.models import (
    AttemptOutcome,
    BrokenAnswerError,
    UpstreamRequest,
)
from chivetrack.const import MILLISECONDS_PER_SECOND
from chivetrack.exceptions import Fault
from chivetrack.helpers.telemetry import Hop, Telemetry, extract_context

# A request waits longer than this only for what has a deadline of its own.
WAIT_LIMIT_S = 3600.0
_ANSWER_HEADERS = ("content-type", "content-length", "retry-after", "cache-control", "etag")


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayAnswer:
    """What goes to the caller: an answer, or the fault that stands for one."""

    request_id: str
    status: int = 0
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes | RelayBody = b""
    fault: Fault | None = None


@dataclass(slots=True, kw_only=True)
class _Conversation:
    """One caller's wait for its answer."""

    request_id: str
    mailbox: SimpleQueue
    begun_at: float
    deadline: float
    hops: ExitStack
    hop: Hop
    answer: UpstreamAnswer | None = None
    started: StartAttempt | None = None

    @property
    def attempt_number(self) -> int:
        """Return the number of the newest attempt, 0 before the first."""
        return 0 if self.started is None else self.started.attempt.number


class Gateway:
    """Runs each request in the greenlet of its caller.

    ``post`` hands an event to the decisions, whose effects on requests come back
    by ``take_effect``.
    """

    def __init__(
        self,
        *,
        post: Callable[[RequestEvent], None],
        client: UpstreamClient,
        telemetry: Telemetry,
        read_clock: Callable[[], float],
        make_id: Callable[[], str],
        max_open: int = DEFAULT_MAX_OPEN,
    ) -> None:
        """Take the decisions' entry, the client, telemetry, the clock and a source of ids."""
        self._max_open = max_open
        self._tracer = telemetry.tracer
        self._instruments = telemetry.instruments
        self._post = post
        self._client = client
        self._read_clock = read_clock
        self._make_id = make_id
        self._mailboxes: dict[str, SimpleQueue] = {}

    @property
    def open_count(self) -> int:
        """Return how many callers wait for an answer or are receiving one."""
        return len(self._mailboxes)

    def take_effect(self, effect: RequestEffect) -> None:
        """Hand an effect to the greenlet of its request."""
        mailbox = self._mailboxes.get(effect.request_id)
        if mailbox is not None:
            mailbox.put(effect)

    def serve(self, request: CallerRequest) -> GatewayAnswer:
        """Bring a request to its end, or to the first chunk of a streamed answer."""
        # Without a bound a surge would take the memory that open streams need.
        if self.open_count >= self._max_open:
            fault = faults.too_many_requests(self._max_open, FULL_RETRY_AFTER_S)
            return GatewayAnswer(request_id=self._make_id(), fault=fault)
        conversation = self._open(request)
        headers = {**request.headers, **conversation.hop.write_headers()}
        request = replace(request, headers=headers)
        request_id = conversation.request_id
        keep = False
        try:
            self._post(RequestArrived(request_id=request_id, request=request))
            answer = self._follow(conversation)
            keep = isinstance(answer.body, RelayBody)
            if answer.fault is not None:
                conversation.hop.mark_failed(answer.fault.code)
            return answer
        except BaseException:
            self._post(CallerGone(request_id=request_id))
            if conversation.answer is not None:
                conversation.answer.cancel()
            raise
        finally:
            if not keep:
                self._close(conversation)

    def _open(self, request: CallerRequest) -> _Conversation:
        hops = ExitStack()
        parent = extract_context(request.headers)
        hop = hops.enter_context(
            self._tracer.open_hop("request", parent=parent, kind=SpanKind.SERVER)
        )
        now = self._read_clock()
        conversation = _Conversation(
            request_id=self._make_id(),
            mailbox=SimpleQueue(),
            begun_at=now,
            deadline=now + WAIT_LIMIT_S,
            hops=hops,
            hop=hop,
        )
        hop.set_attribute("request.id", conversation.request_id)
        self._mailboxes[conversation.request_id] = conversation.mailbox
        self._instruments.change_in_flight(1)
        return conversation

    def _close(self, conversation: _Conversation) -> None:
        if self._mailboxes.pop(conversation.request_id, None) is None:
            return
        self._instruments.change_in_flight(-1)
        conversation.hops.close()

    def _follow(self, conversation: _Conversation) -> GatewayAnswer:
        while True:
            effect = self._wait(conversation)
            if isinstance(effect, Refuse):
                return GatewayAnswer(request_id=conversation.request_id, fault=effect.fault)
            if isinstance(effect, ReplayAnswer):
                return self._replay(effect)
            if isinstance(effect, StartAttempt):
                self._start(conversation, effect)
            elif isinstance(effect, RelayAnswer):
                answer = self._relay(conversation)
                if answer is not None:
                    return answer

    def _wait(self, conversation: _Conversation) -> RequestEffect:
        try:
            remaining = max(0.0, conversation.deadline - self._read_clock())
            return conversation.mailbox.get(timeout=remaining)
        except Empty:
            self._post(DeadlineReached(request_id=conversation.request_id))
            return conversation.mailbox.get()

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

    def _start(self, conversation: _Conversation, effect: StartAttempt) -> None:
        if conversation.answer is not None:
            conversation.answer.cancel()
            conversation.answer = None
        conversation.started = effect
        conversation.deadline = effect.exchange.deadline
        hop = conversation.hops.enter_context(
            self._tracer.open_hop(
                "attempt",
                parent=conversation.hop.context,
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
        conversation.answer = result.ok
        self._post(
            AttemptAnswered(
                request_id=effect.request_id,
                attempt=effect.attempt.number,
                status=result.ok.status,
            )
        )

    def _relay(self, conversation: _Conversation) -> GatewayAnswer | None:
        answer = conversation.answer
        assert answer is not None
        try:
            if self._is_small(answer):
                return self._relay_whole(conversation, answer)
            return self._relay_stream(conversation, answer)
        except BrokenAnswerError as error:
            conversation.answer = None
            self._post(
                AttemptFailed(
                    request_id=conversation.request_id,
                    attempt=conversation.attempt_number,
                    outcome=AttemptOutcome.MAYBE_RAN,
                    message=str(error),
                )
            )
            return None

    @staticmethod
    def _is_small(answer: UpstreamAnswer) -> bool:
        if answer.status in (204, 304):
            return True
        length = answer.headers.get("Content-Length", "")
        return length.isdigit() and int(length) <= WHOLE_ANSWER_LIMIT

    def _relay_whole(self, conversation: _Conversation, answer: UpstreamAnswer) -> GatewayAnswer:
        body = b"".join(answer.read_chunks())
        stored = body if len(body) <= STORED_ANSWER_LIMIT else None
        self._end(conversation, answer, whole=True, body=stored)
        return GatewayAnswer(
            request_id=conversation.request_id,
            status=answer.status,
            headers=self._make_headers(conversation, answer),
            body=body,
        )

    def _relay_stream(self, conversation: _Conversation, answer: UpstreamAnswer) -> GatewayAnswer:
        chunks = answer.read_chunks()
        first = next(chunks, b"")
        service = self._get_service(conversation)
        waited_s = self._read_clock() - conversation.begun_at
        self._instruments.record_first_chunk(service=service, duration_s=waited_s)

        def end(whole: bool, count: int) -> None:
            self._instruments.record_chunks(service=service, count=count)
            self._end(conversation, answer, whole=whole, body=None)
            self._close(conversation)

        content_type = answer.headers.get("Content-Type", "")
        body = RelayBody(
            answer=answer,
            first=first,
            rest=chunks,
            request_id=conversation.request_id,
            is_event_stream=content_type.startswith(STREAM_TYPE),
            on_end=end,
        )
        return GatewayAnswer(
            request_id=conversation.request_id,
            status=answer.status,
            headers=self._make_headers(conversation, answer),
            body=body,
        )

    @staticmethod
    def _get_service(conversation: _Conversation) -> str:
        started = conversation.started
        return "" if started is None else started.exchange.service

    def _end(
        self,
        conversation: _Conversation,
        answer: UpstreamAnswer,
        *,
        whole: bool,
        body: bytes | None,
    ) -> None:
        self._post(
            AnswerEnded(
                request_id=conversation.request_id,
                attempt=conversation.attempt_number,
                whole=whole,
                status=answer.status,
                content_type=answer.headers.get("Content-Type", ""),
                body=body,
            )
        )

    @staticmethod
    def _make_headers(conversation: _Conversation, answer: UpstreamAnswer) -> dict[str, str]:
        headers = {
            name.title(): answer.headers[name] for name in _ANSWER_HEADERS if name in answer.headers
        }
        headers[HEADER_REQUEST_ID] = conversation.request_id
        if conversation.started is not None:
            headers[HEADER_ENDPOINT] = conversation.started.attempt.endpoint_id
        return headers


def make_upstream_request(effect: StartAttempt, hop: Hop) -> UpstreamRequest:
    """Return the request as it goes to the endpoint of an attempt."""
    exchange = effect.exchange
    assert exchange.policy is not None
    assert exchange.workspace is not None
    headers = dict(_keep_end_to_end(exchange.request.headers))
    headers[ATTEMPT_HEADER] = exchange.request_id
    headers[DEADLINE_HEADER] = str(int(effect.timeout_s * MILLISECONDS_PER_SECOND))
    headers[PRIORITY_HEADER] = str(exchange.priority)
    headers.update(hop.write_headers())
    headers["X-Chat-Id"] = exchange.affinity
    headers["X-Workspace"] = exchange.workspace.name
    return UpstreamRequest(
        request_id=exchange.request_id,
        address=effect.attempt.address,
        method=exchange.request.method,
        path=exchange.request.path,
        headers=headers,
        body=exchange.request.body,
        timeout_s=effect.timeout_s,
        stall_timeout_s=min(exchange.policy.stall_timeout_s, effect.timeout_s),
        idempotent=exchange.idempotent,
        expects_stream_end=exchange.stream,
    )


def _keep_end_to_end(headers: Mapping[str, str]) -> Iterator[tuple[str, str]]:
    for name, value in headers.items():
        if name not in HOP_BY_HOP and not name.startswith("x-request-"):
            yield name.title(), value
