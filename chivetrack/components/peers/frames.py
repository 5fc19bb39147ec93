"""Frames of messages on a connection between two instances; free of I/O.

A frame consists of a header of five bytes, with the length of the body and its coding, and the
body, an array of messages with their kinds. A large frame is sent in pieces, each with a header of
its own; between them, frames and pieces of other priorities may follow on the same connection.
"""

import struct
import zlib
from collections.abc import Iterator, Sequence

import msgspec

from chivetrack.components.peers.const import (
    COMPRESSION_LEVEL,
    MAX_FRAME_BYTES,
    MIN_COMPRESS_BYTES,
    PIECE_BYTES,
)
from chivetrack.helpers.codec import Message, Priority, message

_HEADER = struct.Struct(">IB")
_PLAIN = 0
_COMPRESSED = 1
# Codings of pieces; the priority of the frame is added to them.
_PIECE = 0x10
_LAST_PIECE = 0x20
_PRIORITY_MASK = 0x0F
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(list[tuple[str, msgspec.Raw]])


class FrameError(Exception):
    """The bytes are not a valid frame; nothing after them on the connection can be read."""


@message("peers.hello", priority=Priority.URGENT)
class Hello(Message, frozen=True, array_like=True):
    """The first message on a link: the address at which the sender listens.

    ``reads_pieces``: the sender can read frames that are sent in pieces. An instance that accepts
    a link answers such a message with its own.
    """

    source: str
    reads_pieces: bool = False


def encode_frame(messages: Sequence[bytes]) -> bytes:
    """Return a frame of messages encoded by ``codec.pack``."""
    body = _ENCODER.encode([msgspec.Raw(message) for message in messages])
    if len(body) < MIN_COMPRESS_BYTES:
        return _HEADER.pack(len(body), _PLAIN) + body
    packed = zlib.compress(body, COMPRESSION_LEVEL)
    return _HEADER.pack(len(packed), _COMPRESSED) + packed


def split_frame(frame: bytes, priority: Priority) -> Iterator[bytes]:
    """Yield a frame as it is if it is small, otherwise its pieces."""
    if len(frame) <= PIECE_BYTES:
        yield frame
        return
    for start in range(0, len(frame), PIECE_BYTES):
        piece = frame[start : start + PIECE_BYTES]
        is_last = start + PIECE_BYTES >= len(frame)
        yield _HEADER.pack(len(piece), (_LAST_PIECE if is_last else _PIECE) + priority) + piece


class FrameReader:
    """Decodes a byte stream into the messages of complete frames."""

    def __init__(self) -> None:
        """Start at the beginning of a connection."""
        self._buffer = bytearray()
        self._partial: dict[int, bytearray] = {}

    def feed(self, data: bytes) -> list[tuple[str, bytes]]:
        """Return the messages that are complete now, as kind and payload.

        Raises ``FrameError`` for bytes that can't be a frame.
        """
        self._buffer += data
        messages: list[tuple[str, bytes]] = []
        while (popped := _pop_body(self._buffer)) is not None:
            coding, body = popped
            frame = body if coding <= _COMPRESSED else self._join(coding, body)
            if coding > _COMPRESSED and frame is not None:
                coding, frame = _unwrap(frame)
            if frame is not None:
                messages += _decode_body(_decompress(frame) if coding == _COMPRESSED else frame)
        return messages

    def _join(self, coding: int, piece: bytes) -> bytes | None:
        """Add a piece to its frame; return the frame if this is its last piece."""
        priority = coding & _PRIORITY_MASK
        if priority >= len(Priority) or coding - priority not in (_PIECE, _LAST_PIECE):
            raise FrameError(f"a frame has the unknown coding {coding}")
        partial = self._partial.setdefault(priority, bytearray())
        partial += piece
        if len(partial) > MAX_FRAME_BYTES + _HEADER.size:
            raise FrameError(f"the pieces of a frame exceed the limit with {len(partial)} bytes")
        return bytes(self._partial.pop(priority)) if coding - priority == _LAST_PIECE else None


def _unwrap(frame: bytes) -> tuple[int, bytes]:
    """Return the coding and the body of a frame that came in pieces."""
    buffer = bytearray(frame)
    popped = _pop_body(buffer)
    if popped is None or buffer or popped[0] > _COMPRESSED:
        raise FrameError("the pieces of a frame are no whole frame")
    return popped


def _pop_body(buffer: bytearray) -> tuple[int, bytes] | None:
    """Remove the first frame or piece from the buffer; return its coding and its body."""
    if len(buffer) < _HEADER.size:
        return None
    length, coding = _HEADER.unpack_from(buffer)
    if length > MAX_FRAME_BYTES:
        raise FrameError(f"a frame of {length} bytes exceeds the limit")
    end = _HEADER.size + length
    if len(buffer) < end:
        return None
    body = bytes(buffer[_HEADER.size : end])
    del buffer[:end]
    return coding, body


def _decompress(body: bytes) -> bytes:
    # Limit the output, because a few bytes of a faulty sender may decompress to gigabytes.
    decoder = zlib.decompressobj()
    try:
        decompressed = decoder.decompress(body, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise FrameError(f"a frame can't be decompressed: {error}") from error
    if not decoder.eof:
        raise FrameError("a compressed frame is incomplete or over the limit")
    return decompressed


def _decode_body(body: bytes) -> list[tuple[str, bytes]]:
    try:
        return [(kind, bytes(payload)) for kind, payload in _DECODER.decode(body)]
    except msgspec.MsgspecError as error:
        raise FrameError(f"the body of a frame can't be read: {error}") from error
