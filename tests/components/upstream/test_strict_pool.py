"""Pools that read answers strictly: what stays as urllib3 does it."""

import unittest

import urllib3

from chivetrack.components.upstream.strict_pool import (
    StrictResponse,
    open_pool,
    open_pool_manager,
    request_whole,
)
from tests.components.upstream.cuts import make_answers
from tests.components.upstream.server import Script, open_server

BODY = b"x" * 100_000
ANSWERS = make_answers("200 OK", BODY, "Set-Cookie: a", "Set-Cookie: b")


class StrictPoolTest(unittest.TestCase):
    def test_answers_follow_each_other_on_one_connection(self) -> None:
        """Guards against a parser of heads that reads a part of the body as well."""
        with open_server(Script([[answer] for answer in ANSWERS.values()])) as server:
            with open_pool_manager(retries=False) as pools:
                for name in ANSWERS:
                    with self.subTest(name):
                        answer = request_whole(pools, "GET", server.address)
                        self.assertEqual((answer.status, answer.body), (200, BODY))
                        self.assertEqual(answer.headers["Set-Cookie"], "a, b")
            self.assertEqual(server.connections, 1)

    def test_answer_to_a_head_request_has_no_body(self) -> None:
        head, end, _ = ANSWERS["length last"].partition(b"\r\n\r\n")
        with open_server(Script([[head + end]] * 2)) as server:
            with open_pool(server.address, retries=False) as pool:
                for _ in range(2):
                    self.assertEqual(request_whole(pool, "HEAD", "/").body, b"")
            self.assertEqual(server.connections, 1)

    def test_answer_with_closing_connection_is_the_last(self) -> None:
        closing = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        with open_server(Script([[closing]]), Script([[closing]])) as server:
            with open_pool(server.address, retries=False) as pool:
                for _ in range(2):
                    self.assertEqual(request_whole(pool, "GET", "/").status, 200)
            self.assertEqual(server.connections, 2)

    def test_answer_that_is_too_long_is_not_read_to_its_end(self) -> None:
        """Guards against the memory that an answer without end takes."""
        for name, answer in ANSWERS.items():
            with (
                self.subTest(name),
                open_server(Script([[answer]])) as server,
                open_pool(server.address, retries=False) as pool,
                self.assertRaises(urllib3.exceptions.ProtocolError),
            ):
                request_whole(pool, "GET", "/", max_body_bytes=len(BODY) - 1)

    def test_answer_of_the_limit_is_read(self) -> None:
        answers = Script([[ANSWERS["chunks"]]])
        with open_server(answers) as server, open_pool(server.address, retries=False) as pool:
            answer = request_whole(pool, "GET", "/", max_body_bytes=len(BODY))
        self.assertEqual(answer.body, BODY)

    def test_tls_connections_are_strict(self) -> None:
        with open_pool_manager() as pools:
            pool = pools.connection_from_url("https://localhost:1")
        for made in (pool, open_pool("https://localhost:1")):
            self.assertIs(made.ConnectionCls.response_class, StrictResponse)


if __name__ == "__main__":
    unittest.main()
