"""Takes the framing off a chunked answer, whatever pieces it arrives in."""

from enum import StrEnum

MAX_SIZE_LINE_BYTES = 64
MAX_TRAILER_LINE_BYTES = 8192


class ChunkError(Exception):
    """The framing can't be understood, so the end of the answer can't be told."""


class _Part(StrEnum):
    SIZE = "size"
    DATA = "data"
    DATA_END = "data end"
    TRAILER = "trailer"
    ENDED = "ended"


class ChunkDecoder:
    """Feeds on raw bytes and gives back all body bytes in them, joined.

    What arrived together goes on together: one write for many chunks, without a wait.
    """

    def __init__(self) -> None:
        """Start before the first chunk."""
        self._buffer = b""
        self._part = _Part.SIZE
        self._left = 0

    @property
    def is_ended(self) -> bool:
        """Return whether the last chunk and the trailer were read."""
        return self._part is _Part.ENDED

    @property
    def has_trailing_data(self) -> bool:
        """Return whether bytes came after the end, which belong to no answer."""
        return self.is_ended and bool(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Return the body bytes in ``data``; raise ``ChunkError`` for a bad frame."""
        self._buffer += data
        payload: list[bytes] = []
        while self._take(payload):
            pass
        return b"".join(payload)

    def _take(self, payload: list[bytes]) -> bool:
        if self._part is _Part.SIZE:
            return self._take_size()
        if self._part is _Part.DATA:
            return self._take_data(payload)
        if self._part is _Part.DATA_END:
            return self._take_data_end()
        if self._part is _Part.TRAILER:
            return self._take_trailer()
        return False

    def _take_line(self, limit: int) -> bytes | None:
        line, end, rest = self._buffer.partition(b"\r\n")
        if len(line) > limit:
            raise ChunkError("a line of the framing is too long")
        if not end:
            return None
        self._buffer = rest
        return line

    def _take_size(self) -> bool:
        line = self._take_line(MAX_SIZE_LINE_BYTES)
        if line is None:
            return False
        digits = line.partition(b";")[0].strip()
        if not digits or digits.strip(b"0123456789abcdefABCDEF"):
            raise ChunkError("a chunk's size is not a number")
        self._left = int(digits, 16)
        self._part = _Part.DATA if self._left else _Part.TRAILER
        return True

    def _take_data(self, payload: list[bytes]) -> bool:
        if not self._buffer:
            return False
        taken = self._buffer[: self._left]
        self._buffer = self._buffer[len(taken) :]
        self._left -= len(taken)
        payload.append(taken)
        if not self._left:
            self._part = _Part.DATA_END
        return True

    def _take_data_end(self) -> bool:
        if len(self._buffer) < 2:
            return False
        if self._buffer[:2] != b"\r\n":
            raise ChunkError("a chunk is longer than its size")
        self._buffer = self._buffer[2:]
        self._part = _Part.SIZE
        return True

    def _take_trailer(self) -> bool:
        line = self._take_line(MAX_TRAILER_LINE_BYTES)
        if line is None:
            return False
        if not line:
            self._part = _Part.ENDED
        return True
