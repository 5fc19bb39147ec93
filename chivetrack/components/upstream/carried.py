"""The bytes of a connection that another router carries.

Towards the endpoint they go as they are. On the way back they are in blocks with a length, and an
empty block marks the end that the endpoint itself has made: if the carrier is killed, its kernel
ends the connection in the same way, and an answer without a length would look complete.
"""

import contextlib
import socket
import struct

from chivetrack.components.upstream.const import READ_SIZE

_LENGTH = struct.Struct(">H")
MAX_BLOCK_BYTES = 0xFFFF
END_BLOCK = _LENGTH.pack(0)


def encode_block(data: bytes) -> bytes:
    """Return a block of 1 to ``MAX_BLOCK_BYTES`` bytes of an answer."""
    return _LENGTH.pack(len(data)) + data


class BlockReader:
    """Decodes a byte stream into the contents of its blocks."""

    def __init__(self) -> None:
        """Start at the beginning of a connection."""
        self._buffer = bytearray()
        self._left = 0
        self.is_ended = False

    def feed(self, data: bytes) -> bytes:
        """Return the contents that have arrived; set ``is_ended`` at the end mark."""
        self._buffer += data
        contents = bytearray()
        while not self.is_ended:
            if self._left:
                part = self._buffer[: self._left]
                del self._buffer[: len(part)]
                contents += part
                self._left -= len(part)
            if self._left or len(self._buffer) < _LENGTH.size:
                break
            (self._left,) = _LENGTH.unpack_from(self._buffer)
            del self._buffer[: _LENGTH.size]
            self.is_ended = self._left == 0
        return bytes(contents)


class CarriedSocket:
    """A socket to a carrier that reads like one to the endpoint.

    An end without the end mark is a reset: the carrier or its connection to the endpoint broke.
    """

    def __init__(self, opened: socket.socket, *, carrier: str) -> None:
        """Use ``opened``, on which the carrier has confirmed its connection to the endpoint."""
        self._socket = opened
        self._reader = BlockReader()
        self._unread = b""
        self.carrier = carrier

    @property
    def has_buffered_data(self) -> bool:
        """Return whether ``recv`` has bytes, or the end of the connection, that it can return."""
        return bool(self._unread) or self._reader.is_ended

    def recv(self, size: int) -> bytes:
        """Return up to ``size`` bytes, empty at the end; raise ``OSError`` if the stream broke."""
        while not self._unread and not self._reader.is_ended:
            data = self._socket.recv(READ_SIZE)
            if not data:
                raise ConnectionResetError("the carrier ended the connection")
            self._unread = self._reader.feed(data)
        data, self._unread = self._unread[:size], self._unread[size:]
        return data

    def send(self, data: bytes) -> int:
        """Send bytes to the endpoint and return how many were taken."""
        return self._socket.send(data)

    def sendall(self, data: bytes) -> None:
        """Send all bytes to the endpoint."""
        self._socket.sendall(data)

    def settimeout(self, timeout_s: float | None) -> None:
        """Set the limit of each call, in seconds."""
        self._socket.settimeout(timeout_s)

    def getsockopt(self, level: int, option: int) -> int:
        """Return an option of the connection to the carrier."""
        return self._socket.getsockopt(level, option)

    def fileno(self) -> int:
        """Return the descriptor, for waiting until bytes can be read."""
        return self._socket.fileno()

    def close(self) -> None:
        """Close the connection; the carrier closes the one to the endpoint."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()
