"""Tests of the retry budget on the way of requests through a router."""

import unittest

import gevent
from gevent.event import Event

from chivetrack.components.deployment.settings import BoundSettings
from chivetrack.components.placement.choice import Choice
from chivetrack.components.retries.sending import SendEnd
from chivetrack.daemon.fleet.calls import Call
from chivetrack.daemon.fleet.fleet_view import INITIAL_ROUTER_COUNT
from chivetrack.daemon.fleet.forwarder import SendResult
from tests.daemon.fleet.test_open_requests import LIMIT_S, OpenRequestCase

CALLS = 40
PERMIT_WAIT_S = 0.05


class WaitingRetryTest(OpenRequestCase):
    def setUp(self) -> None:
        super().setUp()
        self.configure()
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
        bounds = BoundSettings()
        allowed = bounds.retry_ratio * CALLS + bounds.retry_slack / INITIAL_ROUTER_COUNT
        self.assertLessEqual(len(self.sent) - CALLS, allowed)


if __name__ == "__main__":
    unittest.main()
