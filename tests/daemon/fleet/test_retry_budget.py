"""Tests of the retry budget on the way of requests through a router."""

import unittest

import gevent
from gevent.event import Event

from chivetrack.components.deployment.settings import BoundSettings
from chivetrack.components.placement.choice import Choice
from chivetrack.components.retries.sending import SendEnd
from chivetrack.daemon.fleet.calls import Call
from chivetrack.daemon.fleet.forwarder import SendResult
from tests.daemon.fleet.test_open_requests import LIMIT_S, OpenRequestCase

CALLS = 40
SLACK = 1
PERMIT_WAIT_S = 0.05


class WaitingRetryTest(OpenRequestCase):
    def setUp(self) -> None:
        super().setUp()
        self.configure()
        self.slack = SLACK
        self.all_sent = Event()
        self.permits_come = Event()
        self.forwarder.send.side_effect = self.fail_first
        self.permits.allows.side_effect = self.allow_late

    def fail_first(self, call: Call, choice: Choice, *, may_retry: bool) -> SendResult:
        self.sent.append(choice.record.endpoint_id)
        if len(call.attempts) == 1:
            if len(self.sent) == CALLS:
                self.all_sent.set()
            self.all_sent.wait(LIMIT_S)
            return SendResult(end=SendEnd.FAILED, status=500)
        call.reply.send(200, [], b"done")
        return SendResult(status=200)

    def allow_late(self, service: str, endpoint_id: str) -> bool:
        if self.all_sent.is_set():
            self.permits_come.wait(LIMIT_S)
        return True

    def test_retries_that_wait_for_a_permit_stay_within_the_budget(self) -> None:
        """Guards against retries that all pass the same check, wait, and are counted later."""
        serving = [self.start() for _ in range(CALLS)]
        gevent.sleep(PERMIT_WAIT_S)
        self.permits_come.set()
        gevent.joinall(serving, timeout=LIMIT_S)
        allowed = BoundSettings().retry_ratio * CALLS + SLACK
        self.assertLessEqual(len(self.sent) - CALLS, allowed)


class NoBudgetTest(OpenRequestCase):
    def test_without_budget_only_unsent_requests_are_sent_again(self) -> None:
        """Guards against retries without budget, and against refusing what reached no endpoint."""
        self.configure()
        self.slack = 0
        for end, sent in ((SendEnd.NOT_SENT, 2), (SendEnd.REFUSED, 1)):
            with self.subTest(end=end):
                self.sent.clear()
                self.go_on.set()
                self.result = SendResult(end=end)
                self.start().join()
                self.assertEqual(len(self.sent), sent)

    def test_silent_endpoint_is_not_given_up_for_a_retry_that_nobody_lends(self) -> None:
        """Guards against requests lost while the replicas elect a leader.

        An endpoint that is silent is given up early only if the request may be sent again.
        """
        self.configure()
        self.go_on.set()
        for lender, may_retry in (("p1", True), ("", False)):
            with self.subTest(lender=lender):
                self.lender = lender
                self.start().join()
                self.assertIs(self.forwarder.send.call_args.kwargs["may_retry"], may_retry)

    def test_reservation_is_given_back_when_no_endpoint_is_left(self) -> None:
        """Guards against retries that were reserved, never sent, and count until the restart."""
        self.configure()
        self.go_on.set()
        self.result = SendResult(end=SendEnd.REFUSED)
        self.permits.allows.side_effect = lambda service, endpoint_id: not self.sent
        for _ in range(CALLS):
            self.sent.clear()
            self.slack = 1
            self.start().join()
        held = self.retry_budget.describe("portal")
        self.assertEqual((held["window_requests"], held["window_retries"]), (CALLS, 0))


if __name__ == "__main__":
    unittest.main()
