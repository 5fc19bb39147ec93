"""Reader of request bodies that reserves memory before it reads, and lets others run meanwhile."""

import time
from collections.abc import Callable
from io import BufferedReader, BytesIO
from typing import Final

from chivetrack.components.upstream.chunks import ChunkDecoder, ChunkError
from chivetrack.const import KIBIBYTE
from chivetrack.daemon.connection_memory import ConnectionMemory
from chivetrack.helpers.reading_turns import SLICE_BYTES, SLICE_S, ReadingTurns

BLOCK_BYTES: Final = 16 * KIBIBYTE
"""Read at once; a block waits for its bytes in memory that is set aside for it."""


class RequestBodyError(OSError):
    """The body ended early, or its framing is invalid."""


class RequestBody:
    """The body of a request, as ``wsgi.input``."""

    def __init__(
        self,
        *,
        source: BufferedReader,
        length: int,
        is_chunked: bool,
        memory: ConnectionMemory,
        turns: ReadingTurns,
        send_continue: Callable[[], None],
    ) -> None:
        """Read from ``source``: ``length`` bytes, or chunks up to the last one.

        ``send_continue`` is called before the first byte is read.
        """
        self._source = source
        self._left = length
        self._decoder = ChunkDecoder() if is_chunked else None
        self._memory = memory
        self._turns = turns
        self._send_continue = send_continue
        self._collected: BytesIO | None = None
        self._reserved = 0
        self._slice_s = 0.0
        self._slice_bytes = 0

    @property
    def is_whole(self) -> bool:
        """Return whether the body has been read to its end."""
        return self._left == 0 if self._decoder is None else self._decoder.is_ended

    def read(self, size: int | None = None) -> bytes:
        """Return up to ``size`` bytes, or all; fewer only at the end of the body.

        Of a chunked body it may be up to a block more. Raises ``RequestBodyError`` if the body is
        not whole, and ``FaultError`` if there is no memory for it.
        """
        if self.is_whole or size == 0:
            return b""
        try:
            with self._memory.receiving(self._drop):
                return self._receive(size)
        finally:
            # Also after a refusal, whose connection may linger.
            self._drop()

    def _receive(self, size: int | None) -> bytes:
        self._send_continue()
        self._send_continue = send_nothing
        block = self._read_block(size)
        if self.is_whole or (size is not None and len(block) >= size):
            return block
        collected = self._collected = BytesIO()
        collected.write(block)
        while not self.is_whole and (size is None or collected.tell() < size):
            collected.write(self._read_block(None if size is None else size - collected.tell()))
        return collected.getvalue()

    def _read_block(self, size: int | None) -> bytes:
        if self._decoder is not None:
            return self._read_chunks(self._decoder)
        wanted = min(BLOCK_BYTES, self._left)
        return self._read_plain(wanted if size is None else min(size, wanted))

    def _drop(self) -> None:
        if self._collected is not None:
            # Its reader still refers to it.
            self._collected.truncate(0)
            self._collected = None

    def _read_plain(self, size: int) -> bytes:
        self._reserve(size)
        data = self._source.read1(size)
        self._memory.check()
        if not data:
            raise RequestBodyError(f"the connection ended {self._left} bytes before the body")
        self._reserved -= len(data)
        self._left -= len(data)
        self._end_block(len(data))
        return data

    def _read_chunks(self, decoder: ChunkDecoder) -> bytes:
        # Peeked at, since what follows the last chunk belongs to the next request.
        data = self._source.peek()
        self._memory.check()
        if not data:
            raise RequestBodyError("the connection ended before the last chunk")
        self._reserve(len(data))
        began = time.monotonic()
        try:
            payload = decoder.feed(data)
        except ChunkError as error:
            raise RequestBodyError(str(error)) from error
        behind = len(decoder.rest) if decoder.is_ended else 0
        self._source.read(len(data) - behind)
        self._reserved -= len(payload)
        self._slice_s += time.monotonic() - began
        self._end_block(len(data))
        return payload

    def _end_block(self, size: int) -> None:
        """Wait for the next turn after a slice."""
        self._slice_bytes += size
        is_slice = self._slice_bytes >= SLICE_BYTES or self._slice_s >= SLICE_S
        if is_slice and not self.is_whole:
            spent_s, self._slice_s, self._slice_bytes = self._slice_s, 0.0, 0
            self._turns.wait(spent_s)
            self._memory.check()

    def _reserve(self, size: int) -> None:
        if self._reserved < size:
            self._memory.reserve(size - self._reserved)
            self._reserved = size

    def _discard(self) -> None:
        """Read nothing more; the server closes a connection with an unread body."""


def send_nothing() -> None:
    """Send no interim answer, for a caller that does not wait for one."""
