"""Tests for the retry decision over every history of attempts, and for the budgets."""

import itertools
import unittest

from chivetrack.components.retries.budget import RetryBudgets
from chivetrack.components.retries.const import BUDGET_RATIO, BUDGET_START, MAX_ATTEMPTS
from chivetrack.components.retries.decision import decide_retry
from chivetrack.components.retries.models import (
    Abandon,
    Attempt,
    Outcome,
    RequestTraits,
    Resume,
    Retry,
)
from chivetrack.exceptions import Ran

DID_NOT_RUN = {Outcome.NOT_SENT, Outcome.REFUSED_NOT_RUN}


def make_traits(**changes: object) -> RequestTraits:
    fields = {"workspace": "gallery", "deadline": 10.0, "idempotent": True}
    return RequestTraits(**(fields | changes))


def make_attempts(outcomes: tuple[Outcome, ...]) -> list[Attempt]:
    return [
        Attempt(endpoint_id=f"e{n}", outcome=outcome, software="v1")
        for n, outcome in enumerate(outcomes)
    ]


class DecisionTest(unittest.TestCase):
    def test_every_history_and_trait(self) -> None:
        """Guards against a second run of a request and against mixing two answers.

        A request that may have run would be billed twice if it were sent again, and the
        bytes of a second answer must not be appended to those of the first. Every history
        of up to four attempts is combined with every trait, and each rule is checked
        separately.
        """
        histories = itertools.chain.from_iterable(
            itertools.product(Outcome, repeat=count) for count in range(1, 5)
        )
        choices = itertools.product((True, False), (True, False), (0, 7), (10.0, 5.0))
        for outcomes, choice in itertools.product(list(histories), list(choices)):
            idempotent, resumable, caller_bytes, deadline = choice
            with self.subTest(outcomes=outcomes, choice=choice):
                traits = make_traits(
                    idempotent=idempotent,
                    resumable=resumable,
                    caller_bytes=caller_bytes,
                    deadline=deadline,
                )
                attempts = make_attempts(outcomes)
                decision = decide_retry(attempts, traits, budgets=RetryBudgets(), now=5.0)
                did_not_run = set(outcomes) <= DID_NOT_RUN
                is_retried = (
                    Outcome.RAN not in outcomes
                    and (idempotent or did_not_run)
                    and (not caller_bytes or (idempotent and resumable and not did_not_run))
                    and deadline > 5.0
                    and len(outcomes) < MAX_ATTEMPTS
                )
                self.assertEqual(not isinstance(decision, Abandon), is_retried)
                if isinstance(decision, Abandon):
                    ran = Ran.YES if Outcome.RAN in outcomes else Ran.MAYBE
                    ran = Ran.NO if did_not_run and not caller_bytes else ran
                    self.assertEqual(decision.fault.ran, ran)
                    may_resend = decision.fault.retry_after_s is not None
                    self.assertEqual(may_resend, ran is Ran.NO or (ran is Ran.MAYBE and idempotent))
                    continue
                excluded = frozenset(attempt.endpoint_id for attempt in attempts)
                expected = Retry(excluded=excluded)
                if caller_bytes:
                    expected = Resume(offset=caller_bytes, excluded=excluded, software="v1")
                self.assertEqual(decision, expected)

    def test_answer_goes_on_only_at_the_version_that_began_it(self) -> None:
        """Guards against an answer that goes on at an endpoint that may have another version."""
        traits = make_traits(resumable=True, caller_bytes=7)
        for versions, software in (
            (("v1",), "v1"),
            (("v1", "v1"), "v1"),
            (("",), None),
            (("v1", "v2"), None),
            (("v1", ""), None),
        ):
            with self.subTest(versions):
                attempts = [
                    Attempt(endpoint_id=f"e{n}", outcome=Outcome.MAYBE_RAN, software=one)
                    for n, one in enumerate(versions)
                ]
                if len(attempts) == 1:
                    not_sent = Attempt(endpoint_id="e9", outcome=Outcome.NOT_SENT, software="v7")
                    attempts.append(not_sent)
                decision = decide_retry(attempts, traits, budgets=RetryBudgets(), now=0.0)
                if software is None:
                    assert isinstance(decision, Abandon)
                    self.assertEqual(decision.fault.code, "answer_cut")
                    continue
                assert isinstance(decision, Resume)
                self.assertEqual(decision.software, software)

    def test_codes(self) -> None:
        maybe, not_sent = (Outcome.MAYBE_RAN,), (Outcome.NOT_SENT,)
        cases = [
            ((Outcome.RAN,), {}, 5.0, "already_ran", 502),
            (maybe, {"idempotent": False}, 5.0, "outcome_unknown", 502),
            (maybe, {"caller_bytes": 3}, 5.0, "answer_cut", 502),
            (not_sent, {}, 9.99, "deadline_exceeded", 504),
            (not_sent * MAX_ATTEMPTS, {}, 5.0, "attempts_exhausted", 503),
        ]
        for outcomes, changes, now, code, status in cases:
            with self.subTest(code):
                decision = decide_retry(
                    make_attempts(outcomes), make_traits(**changes), budgets=RetryBudgets(), now=now
                )
                assert isinstance(decision, Abandon)
                self.assertEqual((decision.fault.code, decision.fault.status), (code, status))

    def decide(self, budgets: RetryBudgets, workspace: str) -> bool:
        attempts = make_attempts((Outcome.NOT_SENT,))
        decision = decide_retry(
            attempts, make_traits(workspace=workspace), budgets=budgets, now=0.0
        )
        if isinstance(decision, Abandon):
            self.assertEqual(decision.fault.code, "retry_budget_exhausted")
        return isinstance(decision, Retry)

    def test_budget_bounds_the_extra_load(self) -> None:
        """An availability zone fails, and with it the first attempt of every request.

        Retries of all requests would double the load on the remaining engines.
        """
        budgets = RetryBudgets()
        retries = 0
        for number in range(1000):
            budgets.earn(f"workspace-{number % 10}")
            retries += self.decide(budgets, f"workspace-{number % 10}")
        self.assertLessEqual(retries, BUDGET_START + 1000 * BUDGET_RATIO)
        self.assertGreater(retries, 90)

    def test_one_workspace_does_not_use_up_the_budget_of_the_router(self) -> None:
        """All requests of one workspace fail while those of the others succeed."""
        budgets = RetryBudgets()
        for number in range(210):
            budgets.earn(f"workspace-{number % 10}")
        self.assertEqual(sum(self.decide(budgets, "workspace-1") for _ in range(50)), 5)
        self.assertTrue(self.decide(budgets, "workspace-2"))
