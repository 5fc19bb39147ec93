"""Answers without a length to requests that the endpoint has not taken whole."""

import socket
import struct
import unittest
from collections.abc import Callable
from unittest import mock

import gevent
from gevent import socket as gevent_socket

from chivetrack.components.upstream.connection import (
    EndpointConnection,
    EndpointRequest,
    MaybeRanError,
)
from chivetrack.components.upstream.models import BrokenAnswerError
from tests.daemon.fleet.scripted import ECHO, SEAL

HEAD = f"HTTP/1.1 200 OK\r\n{SEAL}\r\n{ECHO}\r\n".encode()
BODY = b"x" * 60_000
UNFRAMED = HEAD + b"\r\n" + BODY
FRAMED = HEAD + f"Content-Length: {len(BODY)}\r\n\r\n".encode() + BODY
READ_BYTES = 600
HEAD_ALONE = 0
TIMEOUT_S = 5.0
TRIES = 4

End = Callable[[gevent_socket.socket], None]


def close(opened: gevent_socket.socket) -> None:
    """End the connection as a process does that leaves bytes unread."""
    opened.close()


def reset(opened: gevent_socket.socket) -> None:
    """End the connection with a reset."""
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    opened.close()


def shut_down(opened: gevent_socket.socket) -> None:
    """End the answer alone, and the connection later."""
    opened.shutdown(socket.SHUT_WR)
    gevent.sleep(0.05)
    opened.close()


# An orderly end is believed once the request has arrived: whether it was read can't be told then.
ENDS: dict[int, tuple[End, ...]] = {
    32_000: (close, reset),
    300_000: (close, reset),
    3_000_000: (close, reset, shut_down),
}


def read_upload(opened: gevent_socket.socket, size: int) -> None:
    """Read a request with a body of ``size`` bytes."""
    data = b""
    while b"\r\n\r\n" not in data or len(data.partition(b"\r\n\r\n")[2]) < size:
        more = opened.recv(max(READ_BYTES, size))
        if not more:
            return
        data += more


class EarlyAnswerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.listener = gevent_socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.addCleanup(self.listener.close)

    def exchange(self, upload: int, answer: bytes, end: End, *, taken: int) -> bytes:
        """Send an upload and return the body of an answer that looks whole, else nothing.

        The endpoint reads ``taken`` bytes of the upload, and maybe some more.
        """

        def serve() -> None:
            opened, _ = self.listener.accept()
            read_upload(opened, taken)
            opened.sendall(answer)
            end(opened)

        endpoint = gevent.spawn(serve)
        opened = gevent_socket.create_connection(self.listener.getsockname())
        connection = EndpointConnection(opened=opened)
        request = EndpointRequest(method="POST", target="/a", headers=(), body=b"u" * upload)
        try:
            connection.send(request, timeout_s=TIMEOUT_S)
            got = connection.read_answer("POST", timeout_s=TIMEOUT_S)
            return b"".join(got.read_chunks())
        except (MaybeRanError, BrokenAnswerError):
            return b""
        finally:
            connection.close()
            endpoint.kill()

    def test_answer_to_a_part_of_a_request_has_no_end(self) -> None:
        """Guards against a part of an answer that looks whole, as its reset hit the upload."""
        taken = [
            (upload, end.__name__)
            for upload, ends in ENDS.items()
            for end in ends
            for size in (HEAD_ALONE, READ_BYTES)
            for _ in range(TRIES)
            if self.exchange(upload, UNFRAMED, end, taken=size)
        ]
        self.assertEqual(taken, [])

    def test_answer_to_a_whole_request_ends_with_its_connection(self) -> None:
        """Guards against sound answers without a length that nobody gets any more."""
        for upload in (0, READ_BYTES, *ENDS):
            for end in (close, shut_down):
                with self.subTest(upload=upload, end=end.__name__):
                    body = self.exchange(upload, UNFRAMED, end, taken=upload)
                    self.assertEqual(body, BODY)

    def test_early_answer_with_a_length_is_whole(self) -> None:
        """Guards against an early answer that tells its end and is not believed."""
        for upload in ENDS:
            with self.subTest(upload=upload):
                body = self.exchange(upload, FRAMED, shut_down, taken=READ_BYTES)
                self.assertEqual(body, BODY)

    def test_end_is_seen_before_the_error_of_the_upload(self) -> None:
        """Guards against an end that is believed since the upload's error has not come yet."""
        near, far = gevent_socket.socketpair()
        self.addCleanup(far.close)
        connection = EndpointConnection(opened=near)
        self.addCleanup(connection.close)
        with mock.patch.object(connection, "_sender", mock.Mock(ready=lambda: False)):
            far.sendall(UNFRAMED)
            far.shutdown(socket.SHUT_WR)
            answer = connection.read_answer("POST", timeout_s=TIMEOUT_S)
            with self.assertRaises(BrokenAnswerError):
                list(answer.read_chunks())


if __name__ == "__main__":
    unittest.main()
