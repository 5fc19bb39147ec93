"""Incremental decoder for the chunked transfer coding of HTTP/1.1."""

from enum import StrEnum

from chivetrack.components.upstream.const import MAX_TRAILER_BYTES

MAX_SIZE_LINE_BYTES = 64


class ChunkError(Exception):
    """The chunked framing is invalid, so the end of the answer cannot be determined."""


class _Part(StrEnum):
    SIZE = "size"
    DATA = "data"
    DATA_END = "data end"
    TRAILER = "trailer"
    ENDED = "ended"


class ChunkDecoder:
    """Decodes raw bytes that are split at arbitrary positions.

    ``feed`` joins the payload of all chunks in its input, so that chunks which were
    received in one read are written to the caller in one write, without a delay.
    """

    def __init__(self) -> None:
        """Create a decoder that expects the first chunk."""
        self._buffer = b""
        self._part = _Part.SIZE
        self._bytes_left = 0
        self._trailer_bytes_left = MAX_TRAILER_BYTES

    @property
    def is_ended(self) -> bool:
        """Return whether the last chunk and the trailer have been read."""
        return self._part is _Part.ENDED

    @property
    def has_trailing_data(self) -> bool:
        """Return whether bytes were received after the end of the answer."""
        return self.is_ended and bool(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Return the body bytes in ``data``; raise ``ChunkError`` for invalid framing."""
        self._buffer += data
        payload: list[bytes] = []
        while self._decode_part(payload):
            pass
        return b"".join(payload)

    def _decode_part(self, payload: list[bytes]) -> bool:
        if self._part is _Part.SIZE:
            return self._read_size()
        if self._part is _Part.DATA:
            return self._read_data(payload)
        if self._part is _Part.DATA_END:
            return self._read_data_end()
        if self._part is _Part.TRAILER:
            return self._read_trailer_line()
        return False

    def _read_line(self, limit: int) -> bytes | None:
        line, end, rest = self._buffer.partition(b"\r\n")
        if len(line) > limit:
            raise ChunkError("a line of the chunked framing is too long")
        if not end:
            return None
        self._buffer = rest
        return line

    def _read_size(self) -> bool:
        line = self._read_line(MAX_SIZE_LINE_BYTES)
        if line is None:
            return False
        digits = line.partition(b";")[0].strip()
        if not digits or digits.strip(b"0123456789abcdefABCDEF"):
            raise ChunkError("the size of a chunk is not a hexadecimal number")
        self._bytes_left = int(digits, 16)
        self._part = _Part.DATA if self._bytes_left else _Part.TRAILER
        return True

    def _read_data(self, payload: list[bytes]) -> bool:
        if not self._buffer:
            return False
        data = self._buffer[: self._bytes_left]
        self._buffer = self._buffer[len(data) :]
        self._bytes_left -= len(data)
        payload.append(data)
        if not self._bytes_left:
            self._part = _Part.DATA_END
        return True

    def _read_data_end(self) -> bool:
        if len(self._buffer) < 2:
            return False
        if self._buffer[:2] != b"\r\n":
            raise ChunkError("a chunk is longer than its size")
        self._buffer = self._buffer[2:]
        self._part = _Part.SIZE
        return True

    def _read_trailer_line(self) -> bool:
        line = self._read_line(self._trailer_bytes_left)
        if line is None:
            return False
        self._trailer_bytes_left -= len(line) + 2
        if not line:
            self._part = _Part.ENDED
        return True
