"""Frames of messages on a connection between two instances; free of I/O.

A frame consists of a header of five bytes, with the length of the body and whether it is
compressed, and the body, an array of messages with their kinds.
"""

import struct
import zlib
from collections.abc import Sequence

import msgspec

from chivetrack.components.peers.const import (
    COMPRESSION_LEVEL,
    MAX_FRAME_BYTES,
    MIN_COMPRESS_BYTES,
)
from chivetrack.helpers.codec import Message, message

_HEADER = struct.Struct(">IB")
_PLAIN = 0
_COMPRESSED = 1
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(list[tuple[str, msgspec.Raw]])


class FrameError(Exception):
    """The bytes are not a valid frame; nothing after them on the connection can be read."""


@message("peers.hello")
class Hello(Message, frozen=True, array_like=True):
    """The first message on a link that an instance opens: the address at which it listens."""

    source: str


def encode_frame(messages: Sequence[bytes]) -> bytes:
    """Return a frame of messages encoded by ``codec.pack``."""
    body = _ENCODER.encode([msgspec.Raw(message) for message in messages])
    if len(body) < MIN_COMPRESS_BYTES:
        return _HEADER.pack(len(body), _PLAIN) + body
    packed = zlib.compress(body, COMPRESSION_LEVEL)
    return _HEADER.pack(len(packed), _COMPRESSED) + packed


class FrameReader:
    """Decodes a byte stream into the messages of complete frames."""

    def __init__(self) -> None:
        """Start at the beginning of a connection."""
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[tuple[str, bytes]]:
        """Return the messages that are complete now, as kind and payload.

        Raises ``FrameError`` for bytes that can't be a frame.
        """
        self._buffer += data
        messages: list[tuple[str, bytes]] = []
        while (body := self._pop_body()) is not None:
            messages += _decode_body(body)
        return messages

    def _pop_body(self) -> bytes | None:
        if len(self._buffer) < _HEADER.size:
            return None
        length, coding = _HEADER.unpack_from(self._buffer)
        if length > MAX_FRAME_BYTES:
            raise FrameError(f"a frame of {length} bytes exceeds the limit")
        end = _HEADER.size + length
        if len(self._buffer) < end:
            return None
        body = bytes(self._buffer[_HEADER.size : end])
        del self._buffer[:end]
        return _decompress(body) if coding == _COMPRESSED else body


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
