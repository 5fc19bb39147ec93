"""Relay of a streamed answer from an endpoint to a caller."""

from collections.abc import Callable, Iterator

from chivetrack.components.caller_api.errors import make_stream_error
from chivetrack.components.caller_api.open_requests import ExitDecidedError
from chivetrack.components.pipeline import faults
from chivetrack.components.upstream.client import UpstreamAnswer
from chivetrack.components.upstream.models import BrokenAnswerError

EndCallback = Callable[[bool, int], None]


class AnswerCutError(Exception):
    """Raised to end a caller's answer so that it is recognizable as incomplete."""


class RelayBody:
    """Body of a streamed answer.

    ``on_end`` is called once, with whether the answer is complete and the number of
    relayed chunks.

    This is an iterator object rather than a generator: closing a generator that was never
    started runs none of its code, and the engine would continue for a caller that left.
    """

    def __init__(
        self,
        *,
        answer: UpstreamAnswer,
        first: bytes,
        remaining_chunks: Iterator[bytes],
        request_id: str,
        is_event_stream: bool,
        on_end: EndCallback,
    ) -> None:
        """Wrap an answer whose first chunk was read."""
        self._answer = answer
        self._first: bytes | None = first
        self._remaining_chunks = remaining_chunks
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
            # On an error the server closes the connection without the last chunk, and
            # the caller's HTTP library reports a broken answer. A normal end would make
            # an incomplete answer look complete.
            raise AnswerCutError(self._request_id)
        try:
            chunk = next(self._remaining_chunks)
            self._chunks += 1
            return chunk
        except StopIteration:
            self._finish(whole=True)
            raise
        except (BrokenAnswerError, ExitDecidedError) as error:
            self._finish(whole=False)
            if not self._is_event_stream:
                raise AnswerCutError(self._request_id) from error
            self._cut = True
            return make_stream_error(faults.answer_cut(), self._request_id)

    def close(self) -> None:
        """Cancel the stream of the engine if it has not ended."""
        if self._on_end is None:
            return
        self._answer.cancel()
        self._finish(whole=False)

    def _finish(self, *, whole: bool) -> None:
        if self._on_end is not None:
            on_end, self._on_end = self._on_end, None
            on_end(whole, self._chunks)
