"""Tests of what callers get when an endpoint's answer ends in its head."""

import time
import unittest

from chivetrack.components.retries.sending import SendEnd
from chivetrack.components.upstream.answer_head import HeadFault
from chivetrack.daemon.fleet.forwarder import Forwarder
from tests.components.traffic.documents import make_route
from tests.daemon.fleet.scripted import (
    ECHO,
    SEAL,
    close_after,
    make_answer,
    make_call,
    make_choice,
    make_chunks,
    make_dialer,
)
from tests.daemon.fleet.test_forwarder import STREAM, ForwarderCase, make_event

REFUSAL = make_answer(b"", "503 Service Unavailable", "X-Chivetrack-Not-Executed: 1", ECHO)


class CutHeadTest(ForwarderCase):
    def setUp(self) -> None:
        super().setUp()
        self.faults: list[HeadFault] = []
        self.forwarder = Forwarder(
            idle_connections=self.idle_connections,
            dialer=make_dialer(self.idle_connections),
            record_answer=lambda record, facts: None,
            handle_first_event=lambda call, choice: None,
            record_unsound_head=self.faults.append,
        )

    def test_attempt_has_failed_and_may_have_run(self) -> None:
        """Guards against a success with a part of a seal and an empty body."""
        endpoint = self.open(close_after(f"HTTP/1.1 200 OK\r\n{ECHO}\r\n{SEAL}".encode()))
        result = self.send(endpoint, route=make_route())
        self.assertIs(result.end, SendEnd.MAYBE_RAN)
        self.assertEqual((self.caller.status, self.faults), (0, [HeadFault.CUT]))

    def test_refusal_counts_only_with_its_whole_head(self) -> None:
        """Guards against a request that is sent again, or refused as not run, on a cut head."""
        endpoint = self.open(close_after(REFUSAL[:-2]), REFUSAL)
        self.assertIs(self.send(endpoint, route=make_route()).end, SendEnd.MAYBE_RAN)
        self.assertIs(self.send(endpoint, route=make_route()).end, SendEnd.REFUSED)

    def test_stream_does_not_end_where_its_continuation_is_cut(self) -> None:
        """Guards against a stream that ends as complete at an endpoint that sends no event."""
        broken = self.open(close_after(make_chunks(make_event(1), ends=False)))
        cut = self.open(close_after(make_chunks(make_event(2))[:40]))
        other = self.open(make_chunks(make_event(2)))
        call = make_call(self.caller, route=STREAM, ends_at=time.monotonic() + 5.0)
        ends = [
            self.forwarder.send(call, make_choice(one.address), may_retry=True).end
            for one in (broken, cut, other)
        ]
        self.assertEqual(ends, [SendEnd.MAYBE_RAN, SendEnd.MAYBE_RAN, None])
        self.assertEqual(self.caller.body, make_event(1) + make_event(2))

    def test_answer_without_a_body_continues_no_stream(self) -> None:
        """Guards against a stream that ends as complete since its continuation has no body."""
        broken = self.open(close_after(make_chunks(make_event(1), ends=False)))
        empty = self.open(f"HTTP/1.1 204 No Content\r\n{SEAL}\r\n{ECHO}\r\n\r\n".encode())
        call = make_call(self.caller, route=STREAM)
        ends = [
            self.forwarder.send(call, make_choice(one.address), may_retry=True).end
            for one in (broken, empty)
        ]
        self.assertEqual(ends, [SendEnd.MAYBE_RAN, SendEnd.MAYBE_RAN])

    def test_late_cut_head_joins_no_answer(self) -> None:
        """Guards against an answer that gets the status of a late one that ends in its head."""
        failed = make_answer(b"failed", "500 Failed")
        for late, own in (
            (b"HTTP/1.1 200 OK", failed),
            (b"HTTP/1.1 200 OK\r\nDate: Sat, 05", failed),
            (b"HTTP/1.1 421 Mis", make_answer()),
            (b"HTTP/1.1 503 Full\r\nX-Chivetrack-Not-Executed: 1", make_answer()),
        ):
            with self.subTest(late=late):
                endpoint = self.open(make_answer(), late + own)
                self.send(endpoint, route=make_route())
                self.assertIs(self.send(endpoint, route=make_route()).end, SendEnd.MAYBE_RAN)
                self.assertEqual((self.caller.status, endpoint.connections), (0, 1))

    def test_answer_with_two_ids_or_seals_is_none(self) -> None:
        """Guards against an answer that is believed although it names several requests."""
        for line in ("X-Chivetrack-Attempt-Id: q2", SEAL):
            with self.subTest(line=line):
                endpoint = self.open(make_answer(b"hello", "200 OK", SEAL, ECHO, line))
                self.assertIs(self.send(endpoint, route=make_route()).end, SendEnd.MAYBE_RAN)
                self.assertEqual(self.caller.status, 0)
        self.assertEqual(self.faults, [HeadFault.REPEATED_FIELD] * 2)

    def test_empty_seal_is_none(self) -> None:
        endpoint = self.open(make_answer(b"hello", "200 OK", "X-Chivetrack-Server-Seal:", ECHO))
        self.assertIs(self.send(endpoint, route=make_route()).end, SendEnd.MAYBE_RAN)


if __name__ == "__main__":
    unittest.main()
