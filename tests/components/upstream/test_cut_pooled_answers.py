"""Answers that end early or have an unsound head, read through the pooled client."""

import unittest

from chivetrack.components.upstream.client import UpstreamClient
from chivetrack.components.upstream.models import AttemptOutcome, BrokenAnswerError
from tests.components.upstream.cuts import list_taken, make_answers, make_cuts, make_unsound
from tests.components.upstream.test_client import make_request

BODY = b"hello, world"
ECHO = "X-Request-Id: r1"
REFUSAL = ("X-Did-Not-Run: true", "Retry-After: 17")


def is_taken(address: str) -> bool:
    """Return whether a request gets an answer, or is believed not to have run."""
    sent = UpstreamClient().send(make_request(address))
    if sent.is_error():
        return sent.error.outcome is not AttemptOutcome.MAYBE_RAN
    try:
        for _ in sent.ok.read_chunks():
            pass
    except BrokenAnswerError:
        return False
    return True


class CutPooledAnswerTest(unittest.TestCase):
    def test_cut_answer_is_not_whole(self) -> None:
        """Guards against a head that ends with its connection and passes for a shorter one."""
        answers = make_answers("200 OK", BODY, ECHO)
        self.assertEqual(list_taken(make_cuts(answers), is_taken), [])
        self.assertEqual(list_taken(answers, is_taken), list(answers))

    def test_cut_refusal_may_have_run(self) -> None:
        """Guards against a request that is repeated because of half a refusal."""
        answers = make_answers("503 Unavailable", b"", ECHO, *REFUSAL)
        # The statement is whole with its head, whose chunks are not read.
        del answers["chunks"]
        self.assertEqual(list_taken(make_cuts(answers), is_taken), [])
        self.assertEqual(list_taken(answers, is_taken), list(answers))

    def test_cut_answer_without_a_body_is_not_whole(self) -> None:
        answers = {"no body": b"HTTP/1.1 204 No Content\r\nX-Request-Id: r1\r\n\r\n"}
        self.assertEqual(list_taken(make_cuts(answers), is_taken), [])
        self.assertEqual(list_taken(answers, is_taken), list(answers))

    def test_unsound_answer_is_none(self) -> None:
        self.assertEqual(list_taken(make_unsound(BODY[:6]), is_taken), [])


if __name__ == "__main__":
    unittest.main()
