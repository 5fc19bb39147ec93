"""Tests of requests to other processes whose answers come late or never."""

import unittest

import gevent

from chivetrack.daemon.fleet.pending_requests import PendingRequests


class QuestionsTest(unittest.TestCase):
    def test_answers_reach_the_waiting_greenlets(self) -> None:
        requests = PendingRequests[str]()
        numbers: list[int] = []
        greenlets = [
            gevent.spawn(requests.request, numbers.append, timeout_s=1.0)
            for _ in ("first", "second")
        ]
        gevent.sleep(0)
        requests.handle_answer(numbers[1], "second")
        requests.handle_answer(numbers[0], "first")
        self.assertEqual([one.get() for one in greenlets], ["first", "second"])

    def test_answer_without_a_pending_request(self) -> None:
        requests = PendingRequests[str]()
        numbers: list[int] = []
        self.assertIsNone(requests.request(numbers.append, timeout_s=0.01))
        requests.handle_answer(numbers[0], "late")
        self.assertEqual(len(requests), 0)

    def test_killed_greenlet_leaves_no_pending_request(self) -> None:
        """Guards against requests that stay pending after their greenlet was killed."""
        requests = PendingRequests[str]()
        greenlet = gevent.spawn(requests.request, lambda number: None, timeout_s=9.0)
        gevent.sleep(0)
        self.assertEqual(len(requests), 1)
        greenlet.kill()
        self.assertEqual(len(requests), 0)


if __name__ == "__main__":
    unittest.main()
