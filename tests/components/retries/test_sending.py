"""Tests for sending a request to another endpoint and for the final fault."""

import itertools
import unittest

from chivetrack.components.retries.sending import (
    SendAttempt,
    SendEnd,
    make_final_fault,
    may_send_again,
)
from chivetrack.components.traffic.models import RouteKind
from chivetrack.exceptions import Ran
from tests.components.traffic.documents import make_route

ONCE = make_route(kind=RouteKind.NON_IDEMPOTENT, max_attempts=3)
TWICE = make_route(kind=RouteKind.IDEMPOTENT, max_attempts=2)
STREAM = make_route(kind=RouteKind.STREAM, max_attempts=2)
RESUMABLE = make_route(kind=RouteKind.STREAM, max_attempts=2, is_resumable=True)


def make_attempts(*ends: SendEnd) -> list[SendAttempt]:
    return [SendAttempt(endpoint_id=f"e{number}", end=end) for number, end in enumerate(ends)]


class MaySendAgainTest(unittest.TestCase):
    def test_table(self) -> None:
        cases = [
            (ONCE, (SendEnd.NOT_SENT,), True),
            (ONCE, (SendEnd.REFUSED,), True),
            (ONCE, (SendEnd.MAYBE_RAN,), False),
            (ONCE, (SendEnd.FAILED,), False),
            (STREAM, (SendEnd.MAYBE_RAN,), False),
            (TWICE, (SendEnd.MAYBE_RAN,), True),
            (TWICE, (SendEnd.FAILED,), True),
            (TWICE, (SendEnd.FAILED, SendEnd.FAILED), False),
            (TWICE, (SendEnd.NOT_SENT, SendEnd.FAILED), True),
            (RESUMABLE, (SendEnd.MAYBE_RAN,), True),
            (TWICE, (SendEnd.REFUSED, SendEnd.REFUSED), False),
            (ONCE, (SendEnd.NOT_SENT,) * 3, False),
        ]
        for route, ends, expected in cases:
            with self.subTest(kind=route.kind, ends=ends):
                may = may_send_again(route, make_attempts(*ends), left_s=1.0)
                self.assertEqual(may, expected)

    def test_non_idempotent_request_never_runs_twice(self) -> None:
        """Guards against billing a customer twice.

        After an attempt that may have run, no further attempt is allowed, whatever other
        attempts there were.
        """
        for length in (1, 2, 3):
            for ends in itertools.product(SendEnd, repeat=length):
                if not {SendEnd.MAYBE_RAN, SendEnd.FAILED} & set(ends):
                    continue
                for route in (ONCE, STREAM):
                    attempts = make_attempts(*ends)
                    self.assertFalse(may_send_again(route, attempts, left_s=9.0), ends)

    def test_no_time_left(self) -> None:
        attempts = make_attempts(SendEnd.NOT_SENT)
        self.assertFalse(may_send_again(TWICE, attempts, left_s=0.01))


class FinalFaultTest(unittest.TestCase):
    def test_fault_reports_not_run_only_if_true(self) -> None:
        for length in (0, 1, 2):
            for ends in itertools.product(SendEnd, repeat=length):
                fault = make_final_fault(make_attempts(*ends), retry_after_s=0.5)
                is_safe = set(ends) <= {SendEnd.NOT_SENT, SendEnd.REFUSED}
                self.assertEqual(fault.status == 503, is_safe, ends)
                self.assertEqual(fault.ran is Ran.NO, is_safe, ends)

    def test_retry_after_of_an_endpoint_is_used(self) -> None:
        attempt = SendAttempt(endpoint_id="e", end=SendEnd.REFUSED, retry_after_s=2.0)
        self.assertEqual(make_final_fault([attempt], retry_after_s=0.5).retry_after_s, 2.0)


if __name__ == "__main__":
    unittest.main()
