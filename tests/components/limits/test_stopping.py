"""Tests for the requests that a stopping instance still accepts."""

import unittest

from chivetrack.components.limits.stopping import StopWindow, make_stopping_fault
from chivetrack.exceptions import Ran

WINDOW = StopWindow(accepts_until=102.5, exits_at=107.5)


def accepts(
    *, ends_at: float, expected_s: float | None, now: float, do_others_accept: bool = True
) -> bool:
    return WINDOW.accepts(
        ends_at=ends_at, expected_s=expected_s, do_others_accept=do_others_accept, now=now
    )


class StopWindowTest(unittest.TestCase):
    def test_long_answer_that_would_be_cut_is_refused(self) -> None:
        """Guards against an answer that is aborted at the exit although this was predictable."""
        self.assertFalse(accepts(ends_at=116.0, expected_s=6.0, now=102.0))

    def test_answer_that_fits_is_accepted_while_the_balancer_sends(self) -> None:
        self.assertTrue(accepts(ends_at=116.0, expected_s=5.0, now=102.0))

    def test_request_of_an_unknown_kind_is_left_to_others(self) -> None:
        """Guards against an order that is taken as short as long as none of its kind has ended."""
        self.assertFalse(accepts(ends_at=116.0, expected_s=None, now=100.1))
        self.assertTrue(accepts(ends_at=116.0, expected_s=None, now=100.1, do_others_accept=False))
        self.assertTrue(accepts(ends_at=107.5, expected_s=None, now=106.0))

    def test_request_that_may_outlast_the_exit_is_refused_after_the_window(self) -> None:
        """Guards against a late request that takes longer than expected."""
        self.assertFalse(accepts(ends_at=116.0, expected_s=0.1, now=102.5))

    def test_request_whose_timeout_is_before_the_exit_is_always_accepted(self) -> None:
        self.assertTrue(accepts(ends_at=107.5, expected_s=60.0, now=106.0))

    def test_refusal_reports_not_run_and_a_short_retry_after(self) -> None:
        fault = make_stopping_fault(do_others_accept=True, left_s=5.0)
        self.assertEqual((fault.status, fault.ran), (503, Ran.NO))
        assert fault.retry_after_s is not None
        self.assertLess(fault.retry_after_s, 0.5)

    def test_request_is_accepted_when_all_others_stop_too(self) -> None:
        """Guards against a caller that is refused by one stopping instance after another."""
        self.assertTrue(accepts(ends_at=116.0, expected_s=6.0, now=102.0, do_others_accept=False))

    def test_late_caller_retries_when_an_instance_may_be_back(self) -> None:
        """Guards against a last attempt that reaches only stopping instances."""
        self.assertFalse(accepts(ends_at=116.0, expected_s=1.0, now=103.0, do_others_accept=False))
        for left_s in (4.5, 0.0):
            fault = make_stopping_fault(do_others_accept=False, left_s=left_s)
            assert fault.retry_after_s is not None
            self.assertGreaterEqual(fault.retry_after_s, left_s + 1.0)
