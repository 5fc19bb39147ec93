"""Tests of the leader's answers to forwarded commands and queries."""

import unittest
from typing import cast

from expression import Ok, Result

from chivetrack.components.proposals.models import (
    ForwardProposal,
    ForwardRead,
    ProposalAnswer,
    SubmissionEnded,
    Submit,
    SubmitRead,
    Verdict,
)
from chivetrack.components.replica import Replica
from chivetrack.components.store.queries import Answer, GetResource
from chivetrack.components.store.store import Store
from chivetrack.core import Event
from chivetrack.daemon.leader_requests import LeaderRequestHandler
from chivetrack.daemon.submissions import Submissions
from chivetrack.exceptions import Fault, Ran
from chivetrack.helpers.codec import Message, pack, unpack

MALFORMED = {
    "junk": b"junk",
    "unknown kind": b"\x92\xa4none\x90",
    "missing fields": b"\x92\xa9store/get\x90",
    "invalid text": b"\x92\xa9store/get\x92\xa1\xff\xa1a",
    "another message": pack(Answer(1)),
}
NUMBER = 7


class ConfirmedReplica:
    """A leader that confirms every read."""

    def confirm_read(self, *, timeout_s: float) -> Result[int, Fault]:
        return Ok(1)


class LeaderRequestHandlerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.answers: list[Message] = []
        self.handler = LeaderRequestHandler(
            store=Store(), send=lambda target, message: self.answers.append(message)
        )
        self.handler.replica = cast(Replica, ConfirmedReplica())
        self.submissions = Submissions(
            post=self.forward, read_clock=lambda: 0.0, make_id=lambda: "id"
        )

    def forward(self, event: Event) -> None:
        """Answer a submission as an instance does that reaches the leader at once."""
        assert isinstance(event, Submit | SubmitRead)
        kind = ForwardRead if isinstance(event, SubmitRead) else ForwardProposal
        answer = self.answer(kind(NUMBER, event.data))
        self.submissions.handle_end(
            SubmissionEnded(
                submission_id=event.submission_id, result=answer.result, revision=answer.revision
            )
        )

    def answer(self, message: ForwardProposal | ForwardRead) -> ProposalAnswer:
        self.handler.answer("sender", message)
        answer = self.answers.pop()
        assert isinstance(answer, ProposalAnswer)
        return answer

    def check_fault(self, fault: Fault, code: str) -> None:
        self.assertEqual((fault.code, fault.status, fault.ran), (code, 400, Ran.NO))
        self.assertIsNone(fault.retry_after_s)

    def test_query_is_answered(self) -> None:
        answer = self.answer(ForwardRead(NUMBER, pack(GetResource("k", "n"))))
        self.assertEqual((answer.number, answer.verdict), (NUMBER, Verdict.ACCEPTED))
        self.assertEqual(unpack(answer.result), Answer(0))

    def test_read_without_a_query_is_answered(self) -> None:
        answer = self.answer(ForwardRead(NUMBER))
        self.assertEqual((answer.verdict, answer.result), (Verdict.ACCEPTED, b""))

    def test_sender_learns_that_its_command_is_malformed(self) -> None:
        """Guards against a refusal by the leader that its sender takes for the outcome."""
        for name, data in MALFORMED.items():
            with self.subTest(name):
                result = self.submissions.submit(data, timeout_s=1.0)
                self.assertTrue(result.is_error())
                self.check_fault(result.error, "malformed_command")


if __name__ == "__main__":
    unittest.main()
