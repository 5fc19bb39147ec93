"""Tests of the reader of request bodies, over loopback."""

import random
import unittest
from io import BufferedReader, BytesIO
from typing import Any

import gevent
from gevent import socket

from chivetrack.components.memory.budget import MemoryBudget
from chivetrack.components.memory.const import CONNECTION_BYTES
from chivetrack.const import MEBIBYTE
from chivetrack.daemon.connection_memory import ConnectionMemory
from chivetrack.daemon.request_body import BLOCK_BYTES, RequestBody
from chivetrack.daemon.server import HttpServer
from chivetrack.exceptions import FaultError
from chivetrack.helpers.reading_turns import SLICE_BYTES, ReadingTurns
from chivetrack.helpers.sockets import wait_readable
from tests.components.upstream.test_chunks import frame

HEAD = b"POST / HTTP/1.1\r\nHost: x\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def echo(environ: dict[str, Any], start_response: Any) -> list[bytes]:
    """Answer with the body, or with the status of the fault."""
    try:
        body, status = environ["wsgi.input"].read(), "200 OK"
    except FaultError as error:
        body, status = error.fault.code.encode(), f"{error.fault.status} Refused"
    except OSError:
        body, status = b"cut", "400 Bad Request"
    start_response(status, [("Content-Length", str(len(body)))])
    return [body]


class BodyCase(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = MemoryBudget(limit=4 * MEBIBYTE, max_connections=100)
        self.server = HttpServer(
            address=("127.0.0.1", 0),
            application=echo,
            is_closing=lambda: False,
            memory=self.budget,
        )
        self.server.start()
        self.addCleanup(self.server.stop, timeout=0)

    def connect(self) -> Any:
        address = ("127.0.0.1", self.server.server_port)
        connection = socket.create_connection(address, timeout=10)
        self.addCleanup(connection.close)
        return connection

    def read_answer(self, connection: Any) -> tuple[int, bytes]:
        data = b""
        while b"\r\n\r\n" not in data:
            more = connection.recv(65536)
            if not more:
                return 0, b""
            data += more
        head, _, body = data.partition(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        while len(body) < length:
            body += connection.recv(65536)
        return int(head.split()[1]), body


class FramingTest(BodyCase):
    def test_any_body_in_any_pieces_and_the_request_behind_it(self) -> None:
        """Guards against bytes of the next request that are taken for a body, or the reverse."""
        for seed in range(60):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                parts = [rng.randbytes(rng.randrange(1, 9000)) for _ in range(rng.randrange(1, 9))]
                body = b"".join(parts)
                data = CHUNKED + frame(rng, parts)
                data += HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
                connection = self.connect()
                while data:
                    size = rng.randrange(1, 20_000)
                    connection.sendall(data[:size])
                    data = data[size:]
                    gevent.sleep(0)
                self.assertEqual(self.read_answer(connection), (200, body))
                self.assertEqual(self.read_answer(connection), (200, body))

    def test_expectation_is_answered_before_the_body(self) -> None:
        """Guards against a caller that waits for the go-ahead for its body."""
        connection = self.connect()
        connection.sendall(HEAD + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
        self.assertEqual(connection.recv(100), b"HTTP/1.1 100 Continue\r\n\r\n")
        connection.sendall(b"ab")
        self.assertEqual(self.read_answer(connection), (200, b"ab"))


class RoomTest(BodyCase):
    def stall(self, size: int) -> Any:
        """Send a body of ``size`` bytes but for the last one."""
        connection = self.connect()
        connection.sendall(HEAD + b"Content-Length: %d\r\n\r\n" % size + b"x" * (size - 1))
        gevent.sleep(0.05)
        return connection

    def ask(self, size: int) -> tuple[int, bytes]:
        connection = self.connect()
        connection.sendall(HEAD + b"Content-Length: %d\r\n\r\n" % size + b"y" * size)
        return self.read_answer(connection)

    def test_body_that_stops_short_gives_way_with_a_promise(self) -> None:
        """Guards against a stalled body that keeps sound callers out until it times out."""
        stalled = [self.stall(MEBIBYTE) for _ in range(3)]
        status, body = self.ask(MEBIBYTE)
        self.assertEqual((status, len(body)), (200, MEBIBYTE))
        answers = [self.read_answer(one) for one in stalled if wait_readable([one], 0.5)]
        self.assertEqual(answers, [(503, b"memory_full")])

    def test_nothing_is_held_after_the_last_request(self) -> None:
        """Guards against bytes that stay in the account."""
        connection = self.connect()
        for _ in range(3):
            connection.sendall(HEAD + b"Content-Length: 9\r\n\r\n" + b"z" * 9)
            self.assertEqual(self.read_answer(connection), (200, b"z" * 9))
        gevent.sleep(0.05)
        self.assertEqual(self.budget.held, CONNECTION_BYTES)
        connection.close()
        gevent.sleep(0.05)
        self.assertEqual(self.budget.held, 0)


class LastBlockTest(unittest.TestCase):
    def test_body_that_gave_way_while_its_last_block_came(self) -> None:
        """Guards against a request that is passed on without the bytes that were given up."""
        budget = MemoryBudget(limit=4 * MEBIBYTE, max_connections=10)
        memory, other = (
            ConnectionMemory(budget=budget, end_waiting=lambda: None) for _ in range(2)
        )
        self.assertTrue(self.enterContext(memory.open()))
        self.assertTrue(self.enterContext(other.open()))
        blocks = [b"a" * BLOCK_BYTES] * 150

        class Source:
            def read1(self, size: int) -> bytes:
                if len(blocks) == 1:
                    other.reserve(2 * MEBIBYTE)
                return blocks.pop()

        body = RequestBody(
            source=Source(),  # type: ignore[arg-type]
            length=len(blocks) * BLOCK_BYTES,
            is_chunked=False,
            memory=memory,
            turns=ReadingTurns(),
            send_continue=lambda: None,
        )
        with self.assertRaises(FaultError) as caught:
            body.read()
        self.assertEqual(caught.exception.fault.code, "memory_full")

    def test_body_that_gave_way_during_its_last_pause(self) -> None:
        """Guards against the rest of a body over the limit that is taken for a sound one."""
        budget = MemoryBudget(limit=600_000, max_connections=10)
        memory, other = (
            ConnectionMemory(budget=budget, end_waiting=lambda: None) for _ in range(2)
        )
        self.assertTrue(self.enterContext(memory.open()))
        self.assertTrue(self.enterContext(other.open()))

        class Turns(ReadingTurns):
            def wait(self, spent_s: float) -> None:
                other.reserve(200_000)

        body = RequestBody(
            source=BufferedReader(BytesIO(b"90000\r\n" + b"a" * 0x90000)),  # type: ignore[arg-type]
            length=0,
            is_chunked=True,
            memory=memory,
            turns=Turns(),
            send_continue=lambda: None,
        )
        with self.assertRaises(FaultError):
            body.read(SLICE_BYTES - BLOCK_BYTES // 4)

    def test_connection_serves_again_after_it_gave_way(self) -> None:
        """Guards against a kept connection that gets no room for any later request."""
        budget = MemoryBudget(limit=4 * MEBIBYTE, max_connections=10)
        memory, other = (
            ConnectionMemory(budget=budget, end_waiting=lambda: None) for _ in range(2)
        )
        self.assertTrue(self.enterContext(memory.open()))
        self.assertTrue(self.enterContext(other.open()))
        with memory.receiving(lambda: None):
            memory.reserve(3 * MEBIBYTE)
            other.reserve(MEBIBYTE)
        memory.release()
        with memory.receiving(lambda: None):
            memory.reserve(1)
            gevent.sleep(0)


class TurnTest(BodyCase):
    def test_tiny_chunks_let_others_run(self) -> None:
        """Guards against a body that keeps the loop as long as its bytes lie ready."""
        steps = 0

        def count() -> None:
            nonlocal steps
            while True:
                steps += 1
                gevent.sleep(0)

        counter = gevent.spawn(count)
        self.addCleanup(counter.kill)
        connection = self.connect()
        gevent.spawn(connection.sendall, CHUNKED + b"1\r\nx\r\n" * 200_000 + b"0\r\n\r\n")
        status, body = self.read_answer(connection)
        self.assertEqual((status, len(body)), (200, 200_000))
        self.assertGreater(steps, 100)

    def test_requests_that_do_not_wait_for_their_answers_let_others_run(self) -> None:
        """Guards against callers that keep the loop by requests sent before the answers."""
        for _ in range(20):
            self.connect().sendall((HEAD + b"Content-Length: 1\r\n\r\nx") * 1000)
        gevent.sleep(0.2)
        connection = self.connect()
        connection.sendall(HEAD + b"Content-Length: 1\r\n\r\ny")
        self.assertEqual(self.read_answer(connection), (200, b"y"))


if __name__ == "__main__":
    unittest.main()
