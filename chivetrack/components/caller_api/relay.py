"""Passes an endpoint's answer on to the caller as it comes."""

from collections.abc import Callable, Iterator

from chivetrack.components.caller_api.errors import make_stream_error
from chivetrack.components.pipeline import faults
from chivetrack.components.upstream.client import UpstreamAnswer
from chivetrack.components.upstream.models import BrokenAnswerError

EndCallback = Callable[[bool, int], None]


class AnswerCutError(Exception):
    """Ends a caller's answer without the mark of a whole one."""


class RelayBody:
    """The body of a streamed answer.

    ``on_end`` is called once, with whether it is whole and how many chunks went on.

    An object rather than a generator: closing a generator that was never started
    runs none of its code, and the engine would go on for a caller that has left.
    """

    def __init__(
        self,
        *,
        answer: UpstreamAnswer,
        first: bytes,
        rest: Iterator[bytes],
        request_id: str,
        is_event_stream: bool,
        on_end: EndCallback,
    ) -> None:
        """Take over an answer whose first chunk was read."""
        self._answer = answer
        self._first: bytes | None = first
        self._rest = rest
        self._request_id = request_id
        self._is_event_stream = is_event_stream
        self._on_end: EndCallback | None = on_end
        self._cut = False
        self._chunks = 0

    def __iter__(self) -> "RelayBody":
        return self

    def __next__(self) -> bytes:
        if self._first is not None:
            first, self._first = self._first, None
            self._chunks = 1
            return first
        if self._cut:
            # The server closes the connection without the last chunk on an error:
            # the caller's library then reports a broken answer. Ending here would
            # show the caller half a report as if it were whole.
            raise AnswerCutError(self._request_id)
        try:
            chunk = next(self._rest)
            self._chunks += 1
            return chunk
        except StopIteration:
            self._end(whole=True)
            raise
        except BrokenAnswerError as error:
            self._end(whole=False)
            if not self._is_event_stream:
                raise AnswerCutError(self._request_id) from error
            self._cut = True
            return make_stream_error(faults.answer_cut(), self._request_id)

    def close(self) -> None:
        """Stop the engine's stream if it is not at its end."""
        if self._on_end is None:
            return
        self._answer.cancel()
        self._end(whole=False)

    def _end(self, *, whole: bool) -> None:
        if self._on_end is not None:
            on_end, self._on_end = self._on_end, None
            on_end(whole, self._chunks)
