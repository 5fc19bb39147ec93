"""Orders whose answers end early or have an unsound head."""

import dataclasses
import time
import unittest

import msgspec

from chivetrack.components.orders.client import OrderClient
from chivetrack.components.orders.models import OrderOutcome, QueryEngine
from tests.components.orders.test_client import STATE, make_send
from tests.components.upstream.cuts import list_taken, make_answers, make_cuts, make_unsound

TIMEOUT_S = 30.0
BODY = b'{"sequence":7}'


class CutOrderAnswerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.client = OrderClient(read_clock=time.monotonic)

    def is_answered(self, address: str) -> bool:
        limit = time.monotonic() + TIMEOUT_S
        order = dataclasses.replace(make_send(address), send_by=limit, answer_by=limit)
        return self.client.send(order).outcome is not OrderOutcome.LOST

    def has_state(self, address: str) -> bool:
        query = QueryEngine(
            endpoint_id="e1",
            address=address,
            query_id="q1",
            fencing=7,
            answer_by=time.monotonic() + TIMEOUT_S,
        )
        return self.client.query_state(query).state is not None

    def test_order_with_a_cut_answer_is_lost(self) -> None:
        """Guards against an order that counts as accepted, stale or refused by half an answer."""
        for status in ("202 Accepted", "409 Conflict", "400 Bad Request"):
            answers = make_answers(status, BODY, "Server: e1")
            with self.subTest(status):
                self.assertEqual(list_taken(make_cuts(answers), self.is_answered), [])
                self.assertEqual(list_taken(answers, self.is_answered), list(answers))

    def test_order_with_an_unsound_answer_is_lost(self) -> None:
        self.assertEqual(list_taken(make_unsound(BODY), self.is_answered), [])

    def test_order_with_an_answer_without_an_end_is_lost(self) -> None:
        """Guards against an answer whose missing rest can't be noticed."""
        unframed = {"no length": b"HTTP/1.1 202 Accepted\r\n\r\n" + BODY}
        self.assertEqual(list_taken(unframed, self.is_answered), [])

    def test_cut_state_is_none(self) -> None:
        answers = make_answers("200 OK", msgspec.json.encode(STATE), "Server: e1")
        self.assertEqual(list_taken(make_cuts(answers), self.has_state), [])
        self.assertEqual(list_taken(answers, self.has_state), list(answers))

    def test_unsound_state_is_none(self) -> None:
        unsound = make_unsound(msgspec.json.encode(STATE))
        self.assertEqual(list_taken(unsound, self.has_state), [])


if __name__ == "__main__":
    unittest.main()
