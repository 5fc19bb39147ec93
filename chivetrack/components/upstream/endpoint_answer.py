"""Answers of endpoints, read from a connection."""

import socket
from collections.abc import Callable, Iterator

from chivetrack.components.upstream.answer_head import AnswerHead, AnswerHeadParser
from chivetrack.components.upstream.carried import CarriedSocket
from chivetrack.components.upstream.chunks import ChunkDecoder, ChunkError
from chivetrack.components.upstream.const import (
    CHUNKED_READ_SIZE,
    MAX_FRAMING_EXCESS_BYTES,
    READ_SIZE,
)
from chivetrack.components.upstream.models import BrokenAnswerError, Framing
from chivetrack.helpers.reading_turns import ReadingTurns, Slices


class _UntakenRequestError(Exception):
    """The connection ended, but not as after a whole exchange."""


class AnswerReader:
    """The bytes that were read on a connection and belong to no answer's head.

    They may hold the beginning of a body, or of an answer that nobody has asked for.
    """

    def __init__(self, *, opened: socket.socket | CarriedSocket, turns: ReadingTurns) -> None:
        """Read from ``opened``; large answers wait for their ``turns``."""
        self._socket = opened
        self._slices = Slices(turns=turns)
        self._buffer = b""
        self.handle_silence: Callable[[], None] | None = None

    @property
    def has_buffered_data(self) -> bool:
        """Return whether bytes were read that no answer has taken yet."""
        return bool(self._buffer)

    def read(self, size: int) -> bytes:
        """Return up to ``size`` bytes, empty at the end of the connection."""
        if not self._buffer:
            return self._receive(size)
        data, self._buffer = self._buffer[:size], self._buffer[size:]
        return data

    def _receive(self, size: int) -> bytes:
        """Return the next bytes, after a turn for others if many lay ready before."""
        self._slices.begin_read()
        data = self._wait_for_bytes(size)
        self._slices.end_read(len(data))
        return data

    def _wait_for_bytes(self, size: int) -> bytes:
        """Wait for bytes; each timeout ends the wait unless somebody handles the silence."""
        while True:
            try:
                return self._socket.recv(size)
            except TimeoutError as error:
                # With a number, it is the kernel that has given the connection up.
                if self.handle_silence is None or error.errno is not None:
                    raise
                self.handle_silence()

    def read_head(self, method: str) -> AnswerHead:
        """Read the head of a final answer; raise ``AnswerHeadError`` or ``OSError``."""
        self._slices.end_message()
        parser = AnswerHeadParser(method=method)
        head = parser.feed(self._buffer) if self._buffer else None
        while head is None:
            data = self._socket.recv(READ_SIZE)
            if not data:
                raise parser.make_cut_error()
            head = parser.feed(data)
        self._buffer = parser.rest
        return head


class EndpointAnswer:
    """An answer whose status and headers were received; ``read_chunks`` reads its body.

    ``is_complete`` is set once the body was read to its end, which ``framing`` marks.
    """

    def __init__(
        self, *, head: AnswerHead, reader: AnswerReader, is_request_taken: Callable[[], bool]
    ) -> None:
        """Expect the body that ``head`` announces in ``reader``.

        ``is_request_taken`` returns whether the whole request has reached the endpoint.
        """
        self._reader = reader
        self._is_request_taken = is_request_taken
        self._length = head.length
        self._closes = head.closes
        self.status = head.status
        self.headers = head.headers
        self.framing = head.framing
        self.is_complete = False

    @property
    def is_framed(self) -> bool:
        """Return whether the answer itself tells where it ends."""
        return self.framing is not Framing.CONNECTION

    def read_chunks(self) -> Iterator[bytes]:
        """Yield the body as it arrives; raise ``BrokenAnswerError`` if it is incomplete."""
        try:
            yield from self._read()
        except (OSError, ChunkError, _UntakenRequestError) as error:
            raise BrokenAnswerError(f"{type(error).__name__}: {error}") from error
        self.is_complete = True

    def _read(self) -> Iterator[bytes]:
        if self.framing is Framing.CHUNKED:
            return self._read_chunked()
        if self.framing is Framing.CONNECTION:
            return self._read_to_end()
        return self._read_length(self._length)

    def _read_chunked(self) -> Iterator[bytes]:
        decoder = ChunkDecoder(max_framing_excess=MAX_FRAMING_EXCESS_BYTES)
        while not decoder.is_ended:
            data = self._reader.read(CHUNKED_READ_SIZE)
            if not data:
                raise ChunkError("the answer ended before its last chunk")
            if payload := decoder.feed(data):
                yield payload
        if decoder.has_trailing_data:
            self._closes = True

    def _read_length(self, left: int) -> Iterator[bytes]:
        while left > 0:
            data = self._reader.read(min(left, READ_SIZE))
            if not data:
                raise ChunkError(f"the answer ended {left} bytes before its Content-Length")
            left -= len(data)
            yield data

    def _read_to_end(self) -> Iterator[bytes]:
        while data := self._reader.read(READ_SIZE):
            yield data
        # An endpoint that closes with a part of the request unread resets the connection. A socket
        # tells its error once: where the upload gets it, the reader sees a mere end.
        if not self._is_request_taken():
            raise _UntakenRequestError("the answer ended before the whole request was taken")

    @property
    def keeps_connection(self) -> bool:
        """Return whether the connection may serve another request after this answer."""
        return self.is_complete and self.is_framed and not self._closes
