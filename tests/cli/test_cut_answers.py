"""Requests of the command line whose answers end early or have an unsound head."""

import unittest
from collections.abc import Callable

from expression import Result

from chivetrack.cli.client import Client, Request
from chivetrack.cli.models import Failure, FailureKind
from chivetrack.cli.profile import Connection
from tests.components.upstream.cuts import list_taken, make_answers, make_cuts, make_unsound

BODY = b'{"kind":"endpoint"}'
ERROR = b'{"error":{"code":"conflict","message":"too late","ran":"no"}}'


def check_outcome(send: Callable[[Client], Result[object, Failure]]) -> Callable[[str], bool]:
    """Return a check of whether a request to an address has an outcome after one attempt."""

    def has_outcome(address: str) -> bool:
        result = send(Client(connection=Connection(server=address, timeout_s=0.0)))
        unsettled = (FailureKind.UNKNOWN, FailureKind.UNREACHABLE)
        return result.is_ok() or result.error.kind not in unsettled

    return has_outcome


is_written = check_outcome(
    lambda client: client.send(Request(method="PUT", path="endpoint/e1", document={}))
)
is_read = check_outcome(lambda client: client.read("endpoint/e1"))
is_saved = check_outcome(lambda client: client.read_bytes("backup"))


class CutCommandAnswerTest(unittest.TestCase):
    def test_write_with_a_cut_answer_is_unknown(self) -> None:
        """Guards against a change that is reported as made or refused by half an answer."""
        for status, body in (("200 OK", BODY), ("409 Conflict", ERROR)):
            answers = make_answers(status, body, "Server: r1")
            with self.subTest(status):
                self.assertEqual(list_taken(make_cuts(answers), is_written), [])
                self.assertEqual(list_taken(answers, is_written), list(answers))

    def test_cut_document_is_not_read(self) -> None:
        """Guards against an empty document in place of the one that was asked for."""
        cuts = make_cuts(make_answers("200 OK", BODY, "Server: r1"))
        self.assertEqual(list_taken(cuts, is_read), [])

    def test_cut_backup_is_not_saved(self) -> None:
        """Guards against a backup that lacks its end, or all of its bytes."""
        answers = make_answers("200 OK", b"saved bytes", "Server: r1")
        self.assertEqual(list_taken(make_cuts(answers), is_saved), [])
        self.assertEqual(list_taken(make_unsound(b"saved"), is_saved), [])
        self.assertEqual(list_taken(answers, is_saved), list(answers))

    def test_write_with_an_answer_without_an_end_is_unknown(self) -> None:
        """Guards against an answer whose missing rest can't be noticed."""
        unframed = {"no length": b"HTTP/1.1 200 OK\r\n\r\n"}
        self.assertEqual(list_taken(unframed, is_written), [])


if __name__ == "__main__":
    unittest.main()
