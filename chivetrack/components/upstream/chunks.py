"""Incremental decoder for the chunked transfer coding of HTTP/1.1."""

import re
from enum import StrEnum

from chivetrack.components.upstream.answer_head import HEADER_LINE
from chivetrack.components.upstream.const import MAX_TRAILER_BYTES

MAX_SIZE_LINE_BYTES = 64
_LINE_END = b"\r\n"
# Extensions are not read, but they hold no control characters, so no line ends either.
_SIZE_LINE = re.compile(rb"([0-9a-fA-F]+)(?:[ \t]*;[\t\x20-\x7e\x80-\xff]*)?")


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
        line, end, rest = self._buffer.partition(_LINE_END)
        if len(line) > limit:
            raise ChunkError("a line of the chunked framing is too long")
        if not end:
            if b"\n" in line:
                raise ChunkError("a line of the chunked framing has no sound end")
            return None
        self._buffer = rest
        return line

    def _read_size(self) -> bool:
        line = self._read_line(MAX_SIZE_LINE_BYTES)
        if line is None:
            return False
        match = _SIZE_LINE.fullmatch(line)
        if match is None:
            raise ChunkError("the size of a chunk is not a hexadecimal number")
        self._bytes_left = int(match[1], 16)
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
        if not _LINE_END.startswith(self._buffer[: len(_LINE_END)]):
            raise ChunkError("a chunk is longer than its size")
        if len(self._buffer) < len(_LINE_END):
            return False
        self._buffer = self._buffer[len(_LINE_END) :]
        self._part = _Part.SIZE
        return True

    def _read_trailer_line(self) -> bool:
        line = self._read_line(self._trailer_bytes_left)
        if line is None:
            return False
        self._trailer_bytes_left -= len(line) + len(_LINE_END)
        if not line:
            self._part = _Part.ENDED
        elif HEADER_LINE.fullmatch(line) is None:
            raise ChunkError("a line of the trailer has no name and value")
        return True
