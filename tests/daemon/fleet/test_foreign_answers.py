"""Tests of answers that are not the endpoint's own: another program answers at its address."""

import unittest

from chivetrack.components.retries.sending import SendEnd
from chivetrack.components.traffic.models import RouteKind
from chivetrack.components.traffic.requests import AnswerFacts, RequestFacts
from chivetrack.components.upstream.answer_head import HeadFault
from chivetrack.daemon.fleet.forwarder import Forwarder
from tests.components.traffic.documents import make_route
from tests.daemon.fleet.scripted import ECHO, SEAL, make_answer, make_dialer
from tests.daemon.fleet.test_forwarder import ForwarderCase

NOT_RUN = "X-Chivetrack-Not-Executed: 1"
STATUSES = ("200 OK", "302 Found", "400 Bad", "404 Not Found", "500 Error", "503 Unavailable")


class ForeignAnswerTest(ForwarderCase):
    def setUp(self) -> None:
        super().setUp()
        self.faults: list[HeadFault] = []
        self.recorded: list[AnswerFacts] = []
        self.forwarder = Forwarder(
            idle_connections=self.idle_connections,
            dialer=make_dialer(self.idle_connections),
            record_answer=lambda record, facts: self.recorded.append(facts),
            handle_first_event=lambda call, choice: None,
            record_unsound_head=self.faults.append,
        )

    def check_no_answer(self, *lines: str, fault: HeadFault) -> None:
        """Check that the attempt may have run, the caller has no answer, and nothing is learned."""
        for status in STATUSES:
            for kind in RouteKind:
                with self.subTest(status=status, kind=kind):
                    endpoint = self.open(make_answer(b"Not found\n", status, *lines))
                    result = self.send(endpoint, route=make_route(kind=kind))
                    self.assertIs(result.end, SendEnd.MAYBE_RAN)
                    self.assertFalse(result.is_path_suspected)
                    self.assertEqual((self.caller.status, result.failure), (0, None))
                    self.assertIsNone(self.idle_connections.pop_idle(f"e-{endpoint.address}"))
        self.assertEqual(set(self.faults), {fault})
        self.assertEqual(self.recorded, [])

    def test_answer_without_a_seal_is_not_relayed(self) -> None:
        """Guards against a caller that gets the 404 of a program that is no endpoint."""
        self.check_no_answer(ECHO, fault=HeadFault.NO_SEAL)

    def test_answer_without_the_id_of_the_request_is_not_relayed(self) -> None:
        """Guards against the answer to a request that nobody knows."""
        self.check_no_answer(SEAL, fault=HeadFault.NO_REQUEST_ID)

    def test_answer_with_neither_is_not_relayed(self) -> None:
        self.check_no_answer("Server: other", fault=HeadFault.NO_REQUEST_ID)

    def test_refusal_without_the_id_is_not_believed(self) -> None:
        """Guards against a second run of a request that another answer declares as not run."""
        self.check_no_answer(NOT_RUN, "Retry-After: 1", fault=HeadFault.NO_REQUEST_ID)

    def test_misdirection_without_the_id_is_not_believed(self) -> None:
        endpoint = self.open(make_answer(b"", "421 Misdirected", "Server: other"))
        result = self.send(endpoint)
        self.assertEqual((result.end, result.is_other_instance), (SendEnd.MAYBE_RAN, False))

    def test_refusal_of_a_request_without_an_id_is_believed(self) -> None:
        """Guards against a request that fails since there is no id that could be echoed."""
        endpoint = self.open(make_answer(b"", "400 Bad Request", NOT_RUN))
        result = self.send(endpoint, facts=RequestFacts(request_id=""))
        self.assertIs(result.end, SendEnd.REFUSED)

    def test_error_of_the_endpoint_itself_is_relayed(self) -> None:
        """Guards against a border that takes an endpoint's own errors from callers."""
        for status in ("400 Bad", "404 Not Found", "413 Too Large", "500 Error", "504 Timeout"):
            with self.subTest(status=status):
                result = self.send(self.open(make_answer(b"why", status, SEAL, ECHO)))
                self.assertTrue(result.is_answered)
                self.assertEqual((self.caller.status, self.caller.body), (int(status[:3]), b"why"))


if __name__ == "__main__":
    unittest.main()
