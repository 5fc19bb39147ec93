"""Questions to other processes, whose answers come late, never or for nobody."""

import unittest

import gevent

from chivetrack.daemon.fleet.pending_requests import PendingRequests


class QuestionsTest(unittest.TestCase):
    def test_answers_reach_those_who_asked(self) -> None:
        questions = PendingRequests[str]()
        numbers: list[int] = []
        asked = [
            gevent.spawn(questions.ask, numbers.append, timeout_s=1.0) for _ in ("first", "second")
        ]
        gevent.sleep(0)
        questions.take(numbers[1], "second")
        questions.take(numbers[0], "first")
        self.assertEqual([one.get() for one in asked], ["first", "second"])

    def test_answer_that_nobody_waits_for(self) -> None:
        questions = PendingRequests[str]()
        numbers: list[int] = []
        self.assertIsNone(questions.ask(numbers.append, timeout_s=0.01))
        questions.take(numbers[0], "late")
        self.assertEqual(len(questions), 0)

    def test_caller_that_leaves_while_its_question_waits(self) -> None:
        """The greenlet of a request is killed; its question must not stay for ever."""
        questions = PendingRequests[str]()
        asking = gevent.spawn(questions.ask, lambda number: None, timeout_s=9.0)
        gevent.sleep(0)
        self.assertEqual(len(questions), 1)
        asking.kill()
        self.assertEqual(len(questions), 0)


if __name__ == "__main__":
    unittest.main()
