"""HTTP client of orders: valid, invalid and missing responses."""

import socket
import time
import unittest

import msgspec

from chivetrack.components.orders import const
from chivetrack.components.orders.client import OrderClient
from chivetrack.components.orders.models import (
    ArtifactPhase,
    EngineState,
    HeldArtifact,
    Order,
    OrderKind,
    OrderOutcome,
    QueryEngine,
    SendOrder,
)
from tests.components.orders.engines import make_model
from tests.components.upstream.server import Script, Stall, open_server

MODEL = make_model("m1")
STATE = EngineState(
    incarnation=3,
    fencing=7,
    artifacts=(HeldArtifact(artifact=MODEL, phase=ArtifactPhase.LOADING),),
)


def make_send(address: str, *, remaining_s: float = 0.5) -> SendOrder:
    now = time.monotonic()
    return SendOrder(
        endpoint_id="e1",
        address=address,
        order=Order(order_id="o1", fencing=7, kind=OrderKind.LOAD, artifact=MODEL),
        send_by=now + remaining_s,
        answer_by=now + 0.5,
    )


def make_answer(status: str, body: bytes = b"") -> bytes:
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class ClientTest(unittest.TestCase):
    def setUp(self) -> None:
        self.client = OrderClient(read_clock=time.monotonic)

    def test_orders(self) -> None:
        """An order counts as not sent only if that is certain; without a response it is lost."""
        table = [
            ("accepted", [make_answer("202")], OrderOutcome.ACCEPTED),
            ("stale fencing number", [make_answer("409")], OrderOutcome.STALE),
            ("invalid order", [make_answer("400")], OrderOutcome.REFUSED),
            ("failed during execution", [make_answer("500")], OrderOutcome.LOST),
            ("closed without an answer", [], OrderOutcome.LOST),
            ("no response", [Stall()], OrderOutcome.LOST),
        ]
        for title, parts, outcome in table:
            with self.subTest(title), open_server(Script([parts])) as server:
                ended = self.client.send(make_send(server.address))
                self.assertEqual((outcome, "o1"), (ended.outcome, ended.order_id))
                self.assertIn(b'"fencing":7', server.requests[0] if server.requests else b"")

    def test_late_order_is_not_sent(self) -> None:
        """The process was frozen before sending, and the lease may have expired meanwhile."""
        with open_server(Script([[make_answer("202")]])) as server:
            ended = self.client.send(make_send(server.address, remaining_s=-0.1))
            self.assertIs(OrderOutcome.NOT_SENT, ended.outcome)
            self.assertEqual(0, server.connections)

    def test_refused_connection_counts_as_not_sent(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as closed:
            address = f"http://127.0.0.1:{closed.getsockname()[1]}"
        self.assertIs(OrderOutcome.NOT_SENT, self.client.send(make_send(address)).outcome)

    def test_states(self) -> None:
        """An incomplete or invalid response gives no state."""
        body = msgspec.json.encode(STATE)
        table = [
            ("state", make_answer("200", body), STATE),
            ("not JSON", make_answer("200", b"hello"), None),
            ("another type", make_answer("200", b"[]"), None),
            ("error", make_answer("500", body), None),
            ("cut", make_answer("200", body)[:-5], None),
            ("too long", make_answer("200", body + b" " * const.MAX_STATE_BYTES), None),
        ]
        for title, answer, state in table:
            with self.subTest(title), open_server(Script([[answer]])) as server:
                answer_by = time.monotonic() + 0.5
                query = QueryEngine(
                    endpoint_id="e1",
                    address=server.address,
                    query_id="a1",
                    fencing=7,
                    answer_by=answer_by,
                )
                self.assertEqual(state, self.client.query_state(query).state)
                self.assertIn(b"?fencing=7 ", server.requests[0])
