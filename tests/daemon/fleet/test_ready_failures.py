"""Tests of an endpoint's answer with an error that is held back for a retry."""

import unittest

from chivetrack.components.placement.choice import Choice
from chivetrack.components.retries.sending import SendEnd
from chivetrack.daemon.fleet.calls import Call, ReadyAnswer
from chivetrack.daemon.fleet.forwarder import SendResult
from tests.daemon.fleet.test_open_requests import OpenRequestCase

READY = ReadyAnswer(status=500, headers=[("X-Reason", "ready")], body=b"ready")
FAILED = SendResult(end=SendEnd.FAILED, status=500, failure=READY)


class ReadyFailureTest(OpenRequestCase):
    """Guards against a router's own fault in place of an answer that an endpoint has made."""

    def setUp(self) -> None:
        super().setUp()
        self.configure()
        self.results = [FAILED]
        self.forwarder.send.side_effect = self.send_next

    def send_next(self, call: Call, choice: Choice, *, may_retry: bool) -> SendResult:
        """Return the next result; after the last one, wait without an answer."""
        self.sent.append(choice.record.endpoint_id)
        if not self.results:
            self.go_on.wait()
        result = self.results.pop(0)
        if result.is_answered:
            call.reply.send(200, [], b"done")
        return result

    def check_delivered(self, *, sent: int) -> None:
        self.assertEqual(len(self.sent), sent)
        self.assertEqual((self.caller.status, self.caller.body), (500, b"ready"))
        self.assertEqual(self.caller.headers["X-Reason"], "ready")

    def test_budget_is_used_up_while_the_endpoint_works(self) -> None:
        self.slack = 0
        self.start().join()
        self.check_delivered(sent=1)
        (given_up,) = [one for one in self.events.written if one["event"] == "request_given_up"]
        self.assertEqual((given_up["why"], given_up["status"]), ("no_budget", 500))

    def test_no_other_endpoint_answers(self) -> None:
        self.slack = 9
        for end in (SendEnd.NOT_SENT, SendEnd.REFUSED, SendEnd.MAYBE_RAN):
            with self.subTest(end=end):
                self.sent.clear()
                self.caller.body = b""
                self.results = [FAILED, SendResult(end=end)]
                self.start().join()
                self.check_delivered(sent=2)

    def test_time_ends_during_the_retry(self) -> None:
        self.start().join()
        self.check_delivered(sent=2)

    def test_router_exits_during_the_retry(self) -> None:
        self.decide_exit(self.start(), goes_on=False)
        self.check_delivered(sent=2)

    def test_retry_that_succeeds_replaces_the_failure(self) -> None:
        self.results.append(SendResult(status=200))
        self.start().join()
        self.assertEqual((self.caller.status, self.caller.body), (200, b"done"))


if __name__ == "__main__":
    unittest.main()
