"""Submissions to a log whose answers are lost, late and refused."""

import random
import unittest

from chivetrack.components.proposals.client import ProposalClient
from chivetrack.components.proposals.models import (
    ForwardProposal,
    ProposalAnswer,
    SubmissionEnded,
    Submit,
    SubmitRead,
    Verdict,
)
from chivetrack.core import Effect, MessageReceived, SendMessage, TimeReached
from chivetrack.exceptions import Ran


class ProposalClientTest(unittest.TestCase):
    def setUp(self) -> None:
        self.client = ProposalClient(
            instance_id="r", replicas=["a", "b", "c"], random=random.Random(1)
        )

    def submit(self) -> SendMessage:
        event = Submit(submission_id="s", data=b"d", deadline=5.0)
        effects = self.client.handle(event, now=0.0)
        return self.get_sent(effects)

    def get_sent(self, effects: list[Effect]) -> SendMessage:
        (sent,) = [effect for effect in effects if isinstance(effect, SendMessage)]
        return sent

    def get_end(self, effects: list[Effect]) -> SubmissionEnded:
        (ended,) = [effect for effect in effects if isinstance(effect, SubmissionEnded)]
        return ended

    def answer(self, sent: SendMessage, verdict: Verdict, leader: str = "") -> list[Effect]:
        number = sent.message.number  # type: ignore[attr-defined]
        message = ProposalAnswer(number, verdict, b"result", 7, leader)
        event = MessageReceived(source=sent.target, message=message)
        return self.client.handle(event, now=0.1)

    def test_accepted(self) -> None:
        ended = self.get_end(self.answer(self.submit(), Verdict.ACCEPTED))
        self.assertEqual((ended.result, ended.revision, ended.fault), (b"result", 7, None))

    def test_follows_the_hint_at_once(self) -> None:
        sent = self.submit()
        other = "b" if sent.target != "b" else "c"
        again = self.get_sent(self.answer(sent, Verdict.REFUSED, leader=other))
        self.assertEqual(again.target, other)

    def test_refused_by_all_did_not_happen(self) -> None:
        """Every replica says that it does not lead, until the deadline.

        Each refusal is a promise that the command is in no log, so the caller may be
        told that it did not happen.
        """
        self.answer(self.submit(), Verdict.REFUSED)
        ended = self.get_end(self.client.handle(TimeReached(), now=5.0))
        assert ended.fault is not None
        self.assertEqual((ended.fault.code, ended.fault.ran), ("no_leader", Ran.NO))

    def test_lost_answer_ends_as_unknown_even_after_a_refusal(self) -> None:
        """The leader takes a command and its answer is lost; then it loses the lead.

        The second try is refused, which says nothing of the first. Told "did not
        happen", the operator would apply it again.
        """
        table = [("lost", None), ("unknown", Verdict.UNKNOWN)]
        for name, verdict in table:
            with self.subTest(name):
                self.setUp()
                sent = self.submit()
                if verdict is not None:
                    self.answer(sent, verdict)
                again = self.get_sent(self.client.handle(TimeReached(), now=1.0))
                self.answer(again, Verdict.REFUSED)
                ended = self.get_end(self.client.handle(TimeReached(), now=5.0))
                assert ended.fault is not None
                self.assertEqual(ended.fault.code, "outcome_unknown")
                self.assertIs(ended.fault.ran, Ran.MAYBE)

    def test_silent_leader_is_asked_no_longer(self) -> None:
        self.client.record_leader_hint("a")
        first = self.submit()
        self.assertEqual(first.target, "a")
        again = self.get_sent(self.client.handle(TimeReached(), now=1.0))
        self.assertNotEqual(again.target, "a")
        self.assertIsInstance(again.message, ForwardProposal)

    def test_late_and_doubled_answers_do_nothing(self) -> None:
        sent = self.submit()
        self.answer(sent, Verdict.ACCEPTED)
        self.assertEqual(self.answer(sent, Verdict.ACCEPTED), [])
        self.assertEqual(self.client.handle(TimeReached(), now=9.0), [])

    def test_read_without_a_leader_is_refused(self) -> None:
        self.client.handle(SubmitRead(submission_id="s", deadline=5.0), now=0.0)
        ended = self.get_end(self.client.handle(TimeReached(), now=5.0))
        assert ended.fault is not None
        self.assertIs(ended.fault.ran, Ran.NO)
