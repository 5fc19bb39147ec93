"""Tests of what a router reports of requests and parts that crash endpoints."""

import time
import unittest

from chivetrack.components.quarantine.const import ANSWER_PROOF_S, MAX_PARTS
from chivetrack.components.quarantine.fingerprint import make_part_fingerprint
from chivetrack.components.quarantine.models import Quarantine, QuarantineOrder
from chivetrack.components.traffic.requests import PromptPart, RequestFacts
from chivetrack.daemon.fleet.calls import Call
from chivetrack.daemon.fleet.quarantine_view import QuarantineView
from chivetrack.helpers.events import EventLog
from tests.components.announcements.test_table import make_record
from tests.daemon.fleet.scripted import Caller, make_call

BAD = make_part_fingerprint(service="portal", part="bad")


def make_prompt(*parts: str, number: int = 0) -> Call:
    listed = tuple(PromptPart(part, 100) for part in (*parts, f"last{number}"))
    facts = RequestFacts(request_id=f"q{number}", parts=listed)
    return make_call(Caller(), facts=facts, fingerprint=b"%d" % number)


class QuarantineViewTest(unittest.TestCase):
    def setUp(self) -> None:
        self.view = QuarantineView(events=EventLog(instance="r1"))

    def hold(self, fingerprint: bytes, part: str) -> None:
        order = QuarantineOrder(
            fingerprint=fingerprint,
            crashes=("i-1",),
            service="portal",
            path="/",
            workspace="w",
            seen_revision=0,
            at=0.0,
            part=part,
        )
        self.view.apply(Quarantine().apply(order, 1)[0])

    def test_requests_with_a_held_part_are_found_and_no_others(self) -> None:
        """Guards against refusing requests that share only other parts or the last one's id."""
        self.hold(BAD, "bad")
        self.assertIsNotNone(self.view.find(make_prompt("first", "bad")))
        self.assertIsNone(self.view.find(make_prompt("first", "other")))
        last = RequestFacts(request_id="q", parts=(PromptPart("bad", 9),))
        self.assertIsNone(self.view.find(make_call(Caller(), facts=last)))

    def test_crash_is_reported_for_the_request_and_each_shared_part(self) -> None:
        reports = make_prompt("first", "bad").make_crash_reports(make_record())
        self.view.record_crash(reports)
        sent = self.view.list_crash_reports(now=time.monotonic())
        self.assertEqual([report.part for report in sent], ["", "first", "bad"])
        self.assertEqual({report.request for report in sent}, {b"0"})

    def test_answer_that_goes_on_shows_that_its_parts_are_sound(self) -> None:
        """Guards against taking the first bytes of an endpoint that crashes for an answer."""
        call = make_prompt("bad")
        self.view.update_suspects([BAD])
        call.answer_began_at = time.monotonic()
        self.view.handle_bytes(call)
        self.assertEqual(self.view.list_answered(now=time.monotonic()), ())
        call.answer_began_at -= ANSWER_PROOF_S
        self.view.handle_bytes(call)
        (answered,) = self.view.list_answered(now=time.monotonic())
        self.assertEqual(answered.fingerprint, BAD)
        self.view.record_crash(make_prompt("bad", number=1).make_crash_reports(make_record()))
        sent = self.view.list_crash_reports(now=time.monotonic())
        self.assertEqual([report.part for report in sent], [""])

    def test_prompt_of_very_many_parts_stays_bounded(self) -> None:
        """Guards against one caller's request that drives out what is known of all others."""
        call = make_prompt(*(f"p{number}" for number in range(10 * MAX_PARTS)))
        self.assertEqual(len(call.list_fingerprints()), 1 + MAX_PARTS)
        self.assertEqual(len(call.make_crash_reports(make_record())), 1 + MAX_PARTS)

    def test_suspected_parts_are_known(self) -> None:
        self.assertFalse(self.view.is_suspected(make_prompt("bad")))
        self.view.update_suspects([BAD])
        self.assertTrue(self.view.is_suspected(make_prompt("bad")))
        self.assertFalse(self.view.is_suspected(make_prompt("first")))


if __name__ == "__main__":
    unittest.main()
