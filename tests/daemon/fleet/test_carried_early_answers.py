"""Early answers without a length on connections that another router carries."""

import contextlib
import socket
import time
import unittest

from gevent import socket as gevent_socket

from chivetrack.components.upstream.carried import END_BLOCK, encode_block
from chivetrack.components.upstream.connection import EndpointRequest, MaybeRanError
from chivetrack.components.upstream.models import BrokenAnswerError
from chivetrack.daemon.fleet import stream_carrier
from tests.daemon.fleet.scripted import ScriptedEndpoint
from tests.daemon.fleet.test_dialer import DialerCase

BODY = b"x" * 60_000
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n" + BODY
UPLOADS = (32_000, 300_000, 3_000_000)
TIMEOUT_S = 5.0
TRIES = 10


class UploadEndpoint(ScriptedEndpoint):
    """Answers without a length, at once or when the upload has come, and closes."""

    def __init__(self, *, upload: int, takes_all: bool) -> None:
        """Expect one request with a body of ``upload`` bytes."""
        self._left = upload if takes_all else 0
        super().__init__(self._answer)

    @staticmethod
    def _read(connection: socket.socket) -> bytes:
        """Read the head alone."""
        data = b""
        while not data.endswith(b"\r\n\r\n") and (more := connection.recv(1)):
            data += more
        return data

    def _answer(self, connection: socket.socket) -> None:
        while self._left > 0 and (data := connection.recv(self._left)):
            self._left -= len(data)
        with contextlib.suppress(OSError):
            connection.sendall(UNFRAMED)


class CarriedEarlyAnswerTest(DialerCase):
    def exchange_upload(self, upload: int, *, takes_all: bool) -> bytes:
        endpoint = UploadEndpoint(upload=upload, takes_all=takes_all)
        self.addCleanup(endpoint.stop)
        record = self.make_known(1, endpoint.address)
        connection = self.dial(record)
        self.addCleanup(connection.close)
        request = EndpointRequest(method="POST", target="/a", headers=(), body=b"u" * upload)
        try:
            connection.send(request, timeout_s=TIMEOUT_S)
            answer = connection.read_answer("POST", timeout_s=TIMEOUT_S)
            return b"".join(answer.read_chunks())
        except (MaybeRanError, BrokenAnswerError):
            return b""

    def test_carrier_marks_no_end_of_an_early_answer(self) -> None:
        """Guards against a carrier whose upload got the reset that its reader takes for an end."""
        self.make_troubled()
        taken = [
            upload
            for upload in UPLOADS
            for _ in range(TRIES)
            if self.exchange_upload(upload, takes_all=False)
        ]
        self.assertEqual(taken, [])

    def test_carrier_marks_the_end_of_a_late_answer(self) -> None:
        """Guards against carried answers without a length that nobody gets any more."""
        self.make_troubled()
        for upload in UPLOADS:
            with self.subTest(upload=upload):
                self.assertEqual(self.exchange_upload(upload, takes_all=True), BODY)

    def relay_end(self, *, is_upload_broken: bool) -> bytes:
        """Return what a carrier relays of an answer whose connection the endpoint ends."""
        router, near = gevent_socket.socketpair()
        far, endpoint = gevent_socket.socketpair()
        for one in (router, near, far):
            self.addCleanup(one.close)
        stream = stream_carrier._Stream(near, far, time.monotonic())
        stream.relayed = len(BODY)
        stream.taken = 0 if is_upload_broken else len(BODY)
        endpoint.sendall(b"answer")
        endpoint.close()
        self.carrier._relay_answers(stream)
        near.shutdown(socket.SHUT_WR)
        return b"".join(iter(lambda: router.recv(1024), b""))

    def test_end_after_a_broken_upload_has_no_mark(self) -> None:
        """Guards against an end mark where the greenlet of the upload was told of the reset."""
        block = encode_block(b"answer")
        self.assertEqual(self.relay_end(is_upload_broken=True), block)
        self.assertEqual(self.relay_end(is_upload_broken=False), block + END_BLOCK)


if __name__ == "__main__":
    unittest.main()
