"""Calls of operators whose answers end early or have an unsound head."""

import unittest

import msgspec

from chivetrack.platform.operator_calls import OperatorClient
from tests.components.upstream.cuts import list_taken, make_answers, make_cuts, make_unsound

ORDERED = b'{"revision":12}'
ZONES = b'{"zones":[{"zone":"z1","evacuated":true,"since":1.0,"revision":12}]}'
INVALID = b'{"error":"invalid","message":"no such zone"}'


def make_client(address: str) -> OperatorClient:
    return OperatorClient(replicas=[address.removeprefix("http://")], timeout_s=0.0)


def is_ordered(address: str) -> bool:
    """Return whether an order has an outcome."""
    try:
        ordered = make_client(address).order_evacuation("z1", is_evacuated=True)
    except msgspec.MsgspecError:
        return True
    return ordered.is_ok() or ordered.error.code != "unreachable"


def is_read(address: str) -> bool:
    """Return whether the orders for zones were read."""
    try:
        return make_client(address).read_zones().is_ok()
    except msgspec.MsgspecError:
        return True


class CutOperatorAnswerTest(unittest.TestCase):
    def test_cut_answer_is_no_outcome(self) -> None:
        """Guards against a command that ends with half an answer as its outcome."""
        for status, body in (("200 OK", ORDERED), ("404 Not Found", INVALID)):
            answers = make_answers(status, body, "Server: r1")
            with self.subTest(status):
                self.assertEqual(list_taken(make_cuts(answers), is_ordered), [])
                self.assertEqual(list_taken(answers, is_ordered), list(answers))

    def test_cut_list_is_not_read(self) -> None:
        answers = make_answers("200 OK", ZONES, "Server: r1")
        self.assertEqual(list_taken(make_cuts(answers), is_read), [])
        self.assertEqual(list_taken(answers, is_read), list(answers))

    def test_unsound_answer_is_no_outcome(self) -> None:
        self.assertEqual(list_taken(make_unsound(ORDERED), is_ordered), [])

    def test_answer_without_an_end_is_no_outcome(self) -> None:
        """Guards against an answer whose missing rest can't be noticed."""
        unframed = {"no length": b"HTTP/1.1 200 OK\r\n\r\n" + ORDERED}
        self.assertEqual(list_taken(unframed, is_ordered), [])


if __name__ == "__main__":
    unittest.main()
