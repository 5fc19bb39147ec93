"""Incremental decoder for the chunked transfer coding of HTTP/1.1."""

import functools
import re
from enum import StrEnum

from chivetrack.components.upstream.answer_head import HEADER_LINE
from chivetrack.components.upstream.const import MAX_TRAILER_BYTES, MAX_TRAILER_LINES

MAX_SIZE_LINE_BYTES = 64
MAX_TINY_BYTES = 16
_LINE_END = b"\r\n"
# Extensions are not read, but they hold no control characters, so no line ends either.
_PLAIN_SIZE_LINE = re.compile(rb"([0-9a-fA-F]{1,8})\r\n")
_SIZE_LINE = re.compile(rb"([0-9a-fA-F]+)(?:[ \t]*;[\t\x20-\x7e\x80-\xff]*)?")


class ChunkError(Exception):
    """The chunked framing is invalid, so the end of the answer cannot be determined."""


class _Part(StrEnum):
    SIZE = "size"
    DATA = "data"
    DATA_END = "data end"
    TRAILER = "trailer"
    ENDED = "ended"


@functools.lru_cache(maxsize=64)
def _compile_equal_chunks(size_line: bytes, size: int) -> re.Pattern[bytes]:
    return re.compile(rb"(?:%b[\s\S]{%d}\r\n)*+" % (size_line, size))


def _read_equal_chunks(
    buffer: bytes, start: int, size_line: bytes, size: int, payload: bytearray
) -> int:
    """Decode chunks with equal size lines from ``start`` on; return where they end.

    A body of chunks of a byte or two would take seconds chunk by chunk. Here all first bytes of
    the chunks are copied at once, then all second ones, and so on.
    """
    match = _compile_equal_chunks(size_line, size).match(buffer, start)
    assert match is not None
    chunks = match[0]
    stride = len(size_line) + size + len(_LINE_END)
    joined = bytearray(len(chunks) // stride * size)
    for number in range(size):
        joined[number::size] = chunks[len(size_line) + number :: stride]
    payload += joined
    return match.end()


def _read_whole_chunks(buffer: bytes, start: int, payload: bytearray) -> int:
    """Decode the chunks from ``start`` on that are whole and plain; return where they end.

    Tiny chunks can be as many as bytes, so this loop leaves all other cases to the decoder.
    """
    size_line_before = b""
    while match := _PLAIN_SIZE_LINE.match(buffer, start):
        data = match.end()
        size = int(match[1], 16)
        end = data + size
        if match[0] == size_line_before and 0 < size <= MAX_TINY_BYTES:
            start = _read_equal_chunks(buffer, start, match[0], size, payload)
            size_line_before = b""
            continue
        size_line_before = match[0]
        if end == data or buffer[end : end + len(_LINE_END)] != _LINE_END:
            break
        payload += buffer[data:end]
        start = end + len(_LINE_END)
    return start


class ChunkDecoder:
    """Decodes raw bytes that are split at arbitrary positions.

    ``feed`` joins the payload of all chunks in its input, so that chunks which were
    received in one read are written to the caller in one write, without a delay.
    """

    def __init__(self, *, max_framing_excess: int | None = None) -> None:
        """Create a decoder that expects the first chunk.

        ``max_framing_excess``: by how many bytes the framing may exceed the payload.
        """
        self._max_framing_excess = max_framing_excess
        self._framing_excess = 0
        self._part = _Part.SIZE
        self._bytes_left = 0
        self._trailer_bytes_left = MAX_TRAILER_BYTES
        self._trailer_lines_left = MAX_TRAILER_LINES
        self.rest = b""

    @property
    def is_ended(self) -> bool:
        """Return whether the last chunk and the trailer have been read."""
        return self._part is _Part.ENDED

    @property
    def has_trailing_data(self) -> bool:
        """Return whether bytes were received after the end of the body, which ``rest`` holds."""
        return self.is_ended and bool(self.rest)

    def feed(self, data: bytes) -> bytes:
        """Return the body bytes in ``data``; raise ``ChunkError`` for invalid framing."""
        buffer = self.rest + data
        # One buffer for all chunks: an object for each would be many times the size of a tiny one.
        payload = bytearray()
        position, is_stuck = 0, False
        while not is_stuck:
            if self._part is _Part.SIZE:
                position = _read_whole_chunks(buffer, position, payload)
            end = self._decode_part(buffer, position, payload)
            position, is_stuck = (position, True) if end is None else (end, False)
        self.rest = buffer[position:]
        self._check_framing(position, len(payload))
        return bytes(payload)

    def _check_framing(self, read: int, payload: int) -> None:
        """Raise if more and more bytes say less and less, which costs the time of a long answer."""
        self._framing_excess += read - 2 * payload
        limit = self._max_framing_excess
        if limit is not None and self._framing_excess > limit:
            raise ChunkError("the framing of the chunks is larger than their payload")

    def _decode_part(self, buffer: bytes, start: int, payload: bytearray) -> int | None:
        """Decode one part from ``start`` on; return its end, ``None`` if more bytes are needed."""
        if self._part is _Part.SIZE:
            return self._read_size(buffer, start)
        if self._part is _Part.DATA:
            return self._read_data(buffer, start, payload)
        if self._part is _Part.DATA_END:
            return self._read_data_end(buffer, start)
        if self._part is _Part.TRAILER:
            return self._read_trailer_line(buffer, start)
        return None

    @staticmethod
    def _find_line_end(buffer: bytes, start: int, limit: int) -> int | None:
        """Return where the line ends that begins at ``start``, ``None`` if its end is to come."""
        end = buffer.find(_LINE_END, start, start + limit + len(_LINE_END))
        if end >= 0:
            return end
        line = buffer[start : start + limit + len(_LINE_END)]
        if len(line.removesuffix(_LINE_END[:1])) > limit:
            raise ChunkError("a line of the chunked framing is too long")
        if b"\n" in line:
            raise ChunkError("a line of the chunked framing has no sound end")
        return None

    def _read_size(self, buffer: bytes, start: int) -> int | None:
        end = self._find_line_end(buffer, start, MAX_SIZE_LINE_BYTES)
        if end is None:
            return None
        match = _SIZE_LINE.fullmatch(buffer, start, end)
        if match is None:
            raise ChunkError("the size of a chunk is not a hexadecimal number")
        self._bytes_left = int(match[1], 16)
        self._part = _Part.DATA if self._bytes_left else _Part.TRAILER
        return end + len(_LINE_END)

    def _read_data(self, buffer: bytes, start: int, payload: bytearray) -> int | None:
        end = min(start + self._bytes_left, len(buffer))
        if end == start:
            return None
        payload += buffer[start:end]
        self._bytes_left -= end - start
        if not self._bytes_left:
            self._part = _Part.DATA_END
        return end

    def _read_data_end(self, buffer: bytes, start: int) -> int | None:
        if not _LINE_END.startswith(buffer[start : start + len(_LINE_END)]):
            raise ChunkError("a chunk is longer than its size")
        if len(buffer) < start + len(_LINE_END):
            return None
        self._part = _Part.SIZE
        return start + len(_LINE_END)

    def _read_trailer_line(self, buffer: bytes, start: int) -> int | None:
        end = self._find_line_end(buffer, start, self._trailer_bytes_left)
        if end is None:
            return None
        self._trailer_bytes_left -= end - start + len(_LINE_END)
        self._trailer_lines_left -= 1
        if end == start:
            self._part = _Part.ENDED
        elif self._trailer_lines_left < 0:
            raise ChunkError("the trailer has too many lines")
        elif HEADER_LINE.fullmatch(buffer, start, end) is None:
            raise ChunkError("a line of the trailer has no name and value")
        return end + len(_LINE_END)
