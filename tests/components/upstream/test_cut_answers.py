"""Tests of answers that end early, read through a connection to an endpoint."""

import contextlib
import socket
import unittest

from chivetrack.components.upstream.connection import EndpointConnection, MaybeRanError
from chivetrack.components.upstream.models import BrokenAnswerError
from tests.daemon.fleet.scripted import ECHO, SEAL

BODY = b"id: 1\ndata: whole\n\n"
LENGTH = f"Content-Length: {len(BODY)}"
CHUNKED = "Transfer-Encoding: chunked"
CHUNKS = b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY)
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
TIMEOUT_S = 5.0


def make_head(*lines: str, status: str = "200 OK") -> bytes:
    return "\r\n".join([f"HTTP/1.1 {status}", *lines]).encode() + b"\r\n\r\n"


WHOLE_ANSWERS = {
    "length first": make_head(LENGTH, SEAL, ECHO) + BODY,
    "length last": make_head(SEAL, ECHO, LENGTH) + BODY,
    "chunks first": make_head(CHUNKED, SEAL, ECHO) + CHUNKS,
    "chunks last": make_head(SEAL, ECHO, CHUNKED) + CHUNKS,
    "after an interim answer": INTERIM + make_head(SEAL, ECHO, LENGTH) + BODY,
    "an error": make_head(SEAL, ECHO, LENGTH, status="500 Internal Server Error") + BODY,
    "a refusal": make_head(
        "X-Chivetrack-Not-Executed: 1", ECHO, "Content-Length: 0", status="503 Unavailable"
    ),
}
UNSOUND_HEADS = {
    "line without a colon": make_head(SEAL, "broken", LENGTH),
    "blank before the colon": make_head(SEAL, LENGTH.replace(":", " :")),
    "folded line": make_head(SEAL, " folded", LENGTH),
    "length with a letter": make_head(SEAL, "Content-Length: 1x"),
    "length below zero": make_head(SEAL, "Content-Length: -1"),
    "length with a sign": make_head(SEAL, f"Content-Length: +{len(BODY)}"),
    "length with an underscore": make_head(SEAL, "Content-Length: 1_0"),
    "length without digits": make_head(SEAL, "Content-Length:"),
    "two lengths": make_head(SEAL, "Content-Length: 3", LENGTH),
    "length beside chunks": make_head(SEAL, LENGTH, CHUNKED),
    "unknown coding": make_head(SEAL, "Transfer-Encoding: gzip"),
    "coding after chunks": make_head(SEAL, "Transfer-Encoding: chunked, gzip"),
    "two codings": make_head(SEAL, CHUNKED, CHUNKED),
    "204 without a blank line": b"HTTP/1.1 204 No Content\r\n",
    "404 without a blank line": b"HTTP/1.1 404 Not Found\r\n",
    "status without a blank line": b"HTTP/1.1 200 OK\r\n",
    "other protocol": b"HTTP/2.0 200 OK\r\n\r\n",
    "status of two digits": b"HTTP/1.1 20 OK\r\n\r\n",
    "status of zeros": make_head(SEAL, LENGTH, status="000 OK"),
    "status of zeros alone": b"HTTP/1.1 000\r\n\r\n",
    "status of four digits": make_head(SEAL, LENGTH, status="2000 OK"),
    "status above 599": make_head(SEAL, LENGTH, status="600 OK"),
    "blank in a name": make_head(SEAL, "X Name: value", LENGTH),
    "tab in a name": make_head(SEAL, "X\tName: value", LENGTH),
    "zero byte in a name": make_head(SEAL, "X\0Name: value", LENGTH),
    "control byte in a name": make_head(SEAL, "X\x01Name: value", LENGTH),
    "delete in a name": make_head(SEAL, "X\x7fName: value", LENGTH),
    "control byte in a value": make_head(SEAL, "X-Name: val\x01ue", LENGTH),
    "control byte in the name of the length": make_head(SEAL, LENGTH.replace(":", "\x01:")),
    "protocol change": make_head(SEAL, status="101 Switching Protocols"),
}


def read_whole(sent: bytes) -> tuple[int, bytes]:
    """Return status and body of an answer of which an endpoint sends ``sent`` and closes."""
    near, far = socket.socketpair()
    with contextlib.closing(far):
        far.sendall(sent)
    connection = EndpointConnection(opened=near)
    with contextlib.closing(connection):
        answer = connection.read_answer("POST", timeout_s=TIMEOUT_S)
        return answer.status, b"".join(answer.read_chunks())


def is_taken(sent: bytes) -> bool:
    """Return whether an answer of which only ``sent`` arrives looks like a whole one."""
    try:
        read_whole(sent)
    except (MaybeRanError, BrokenAnswerError):
        return False
    return True


class CutAnswerTest(unittest.TestCase):
    def test_answer_that_ends_early_is_not_whole(self) -> None:
        """Guards against a head that ends with its connection and passes for a shorter one."""
        taken = [
            (name, length)
            for name, answer in WHOLE_ANSWERS.items()
            for length in range(len(answer))
            if is_taken(answer[:length])
        ]
        self.assertEqual(taken, [])

    def test_whole_answer_is_read(self) -> None:
        refused = [name for name, answer in WHOLE_ANSWERS.items() if not is_taken(answer)]
        self.assertEqual(refused, [])

    def test_head_that_is_none_is_no_answer(self) -> None:
        """Guards against unsound lines whose length is lost, so that half of a body looks whole."""
        half = BODY[: len(BODY) // 2]
        taken = [name for name, head in UNSOUND_HEADS.items() if is_taken(head + half)]
        self.assertEqual(taken, [])

    def test_unsound_head_after_an_interim_answer_is_no_answer(self) -> None:
        """Guards against a final head that is read less strictly than the first one."""
        taken = [name for name, head in UNSOUND_HEADS.items() if is_taken(INTERIM + head + BODY)]
        self.assertEqual(taken, [])

    def test_sound_head_without_a_length_ends_with_its_connection(self) -> None:
        self.assertEqual(read_whole(make_head(SEAL, ECHO) + BODY), (200, BODY))


if __name__ == "__main__":
    unittest.main()
