"""Tests of when a replica begins to lend retries."""

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

import gevent

from chivetrack.components.consensus.models import LeadershipChanged, Role
from chivetrack.components.document.store import DocumentStore
from chivetrack.components.retries.lender import SlackLender
from chivetrack.components.retries.messages import LeaseAnswer, LeaseRequest
from chivetrack.daemon.fleet.lending import LenderHost
from chivetrack.daemon.fleet.log_host import ConfirmedLeadership, LogHost
from chivetrack.helpers.codec import Message
from chivetrack.helpers.events import EventLog


class ElectedTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = Path(self.enterContext(TemporaryDirectory(prefix="chivetrack-")))
        self.enterContext(
            mock.patch("chivetrack.daemon.fleet.lending.CONFIRMATION_INTERVAL_S", 60.0)
        )
        self.answers: list[Message] = []
        events = EventLog(instance="p1")
        self.log = LogHost(
            instance_id="p1",
            folder=folder,
            seeds=["p1"],
            is_first_start=True,
            tolerated_losses=0,
            catch_up_s=4.0,
            store=DocumentStore(),
            send=lambda target, message: None,
            events=events,
        )
        self.host = LenderHost(
            lender=SlackLender(slack=1, window_s=10.0),
            confirm_leadership=self.confirm,
            wait_elected=self.log.wait_elected,
            answer=lambda target, message: self.answers.append(message),
            events=events,
        )
        running = gevent.spawn(self.host.run)
        self.addCleanup(running.kill)
        gevent.sleep(0)

    def confirm(self, _timeout_s: float) -> ConfirmedLeadership | None:
        return ConfirmedLeadership(term=1, is_first=True) if self.log.is_leader else None

    def test_first_leader_lends_as_soon_as_it_is_elected(self) -> None:
        """Guards against routers that get no retry for a second since they asked too early."""
        request = LeaseRequest(number=1, service="portal")
        self.host.handle_request("r1", request)
        self.log._handle_notification(
            LeadershipChanged(term=1, role=Role.LEADER, leader_id="p1", leader_instance="p1")
        )
        gevent.sleep(0)
        self.host.handle_request("r1", request)
        waits = [answer.wait_s for answer in self.answers if isinstance(answer, LeaseAnswer)]
        self.assertEqual(waits, [1.0, 0.0])


if __name__ == "__main__":
    unittest.main()
