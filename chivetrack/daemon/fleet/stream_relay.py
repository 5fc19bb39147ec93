"""Relays the events of one endpoint's answer to the caller."""

import time
from collections.abc import Callable

from chivetrack.components.placement.choice import Choice
from chivetrack.components.upstream.connection import EndpointConnection
from chivetrack.components.upstream.endpoint_answer import EndpointAnswer
from chivetrack.components.upstream.events import EventSplitter
from chivetrack.components.upstream.models import BrokenAnswerError, Framing
from chivetrack.daemon.fleet.calls import Call
from chivetrack.daemon.fleet.stream_silence import SilentStreamWatch, StreamSilence
from chivetrack.platform.headers import list_answer_headers


class StreamRelay:
    """Pass on whole events only, and keep the id of the last one in the call."""

    def __init__(
        self,
        *,
        handle_bytes: Callable[[Call], None],
        handle_first_event: Callable[[Call, Choice], None],
        handle_begin: Callable[[Call], None],
        silence: StreamSilence | None,
    ) -> None:
        """Store the callbacks for bytes of an answer, its first event, and a stream's begin.

        Without ``silence``, silent endpoints are waited for until the request times out.
        """
        self._silence = silence
        self._handle_bytes = handle_bytes
        self._handle_first_event = handle_first_event
        self._handle_begin = handle_begin

    def relay(
        self,
        connection: EndpointConnection,
        call: Call,
        choice: Choice,
        answer: EndpointAnswer,
        *,
        may_move: bool,
    ) -> None:
        """Relay a stream to its end; raise ``BrokenAnswerError`` if it has none.

        If ``may_move``, it is given up with ``MaybeRanError`` where it had better go on elsewhere.
        """
        if call.reply.is_started and answer.framing is Framing.NO_BODY:
            raise BrokenAnswerError(f"status {answer.status} in the middle of a stream")
        splitter = EventSplitter(last_id=call.last_event_id)
        is_first = True
        watch: SilentStreamWatch | None = None
        for chunk in answer.read_chunks():
            self._handle_bytes(call)
            if is_first:
                is_first = False
                self._record_first(call, choice)
                if may_move and call.route.is_resumable and self._silence is not None:
                    watch = self._silence.watch(connection, call, choice)
            data = splitter.feed(chunk)
            if data:
                if call.begin_stream(choice.record):
                    self._handle_begin(call)
                _start_reply(call, answer)
                call.reply.write(data)
                call.last_event_id = splitter.last_id
            if watch is not None:
                watch.handle_bytes()
        if splitter.has_partial_event:
            raise BrokenAnswerError("the stream ended in the middle of an event")
        _start_reply(call, answer)

    def _record_first(self, call: Call, choice: Choice) -> None:
        self._handle_first_event(call, choice)
        if call.first_event_at is None:
            call.first_event_at = time.monotonic()


def _start_reply(call: Call, answer: EndpointAnswer) -> None:
    if not call.reply.is_started:
        call.reply.start(answer.status, list_answer_headers(answer.headers.items()))
