"""Submissions whose answers are accepted, refused, lost, late or duplicated."""

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

    def test_answer_to_an_earlier_process_is_ignored(self) -> None:
        """Guards against a command acknowledged by the answer to a call before a restart."""
        earlier = self.submit()
        self.client = ProposalClient(
            instance_id="r", replicas=["a", "b", "c"], random=random.Random(2)
        )
        self.submit()
        self.assertEqual(self.answer(earlier, Verdict.ACCEPTED), [])

    def test_follows_the_hint_at_once(self) -> None:
        sent = self.submit()
        other = "b" if sent.target != "b" else "c"
        again = self.get_sent(self.answer(sent, Verdict.REFUSED, leader=other))
        self.assertEqual(again.target, other)

    def test_refused_by_all_did_not_happen(self) -> None:
        """Every replica answers until the deadline that it is not the leader.

        Each refusal guarantees that the command is in no log, so the fault may say that it
        did not run.
        """
        self.answer(self.submit(), Verdict.REFUSED)
        ended = self.get_end(self.client.handle(TimeReached(), now=5.0))
        assert ended.fault is not None
        self.assertEqual((ended.fault.code, ended.fault.ran), ("no_leader", Ran.NO))

    def test_lost_answer_ends_as_unknown_even_after_a_refusal(self) -> None:
        """The leader accepts a command, its answer is lost, and another leader is elected.

        The second attempt is refused, which does not cover the first. If the fault said that
        the command did not run, the operator would apply it again.
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

    def test_unanswered_attempt_goes_to_another_replica(self) -> None:
        self.client.record_leader_hint("a")
        first = self.submit()
        self.assertEqual(first.target, "a")
        again = self.get_sent(self.client.handle(TimeReached(), now=1.0))
        self.assertNotEqual(again.target, "a")
        self.assertIsInstance(again.message, ForwardProposal)

    def test_late_and_duplicate_answers_have_no_effect(self) -> None:
        sent = self.submit()
        self.answer(sent, Verdict.ACCEPTED)
        self.assertEqual(self.answer(sent, Verdict.ACCEPTED), [])
        self.assertEqual(self.client.handle(TimeReached(), now=9.0), [])

    def test_read_without_a_leader_is_refused(self) -> None:
        self.client.handle(SubmitRead(submission_id="s", deadline=5.0), now=0.0)
        ended = self.get_end(self.client.handle(TimeReached(), now=5.0))
        assert ended.fault is not None
        self.assertIs(ended.fault.ran, Ran.NO)
