"""Tests for queued requests, driven through a complete router node."""

import random
import unittest

import chivetrack.components.pipeline.filters  # noqa: F401
from chivetrack.components.claims.coordinator import ClaimCoordinator
from chivetrack.components.controllers.host import ControllerHost
from chivetrack.components.limits.limiter import Limiter
from chivetrack.components.limits.models import WorkspaceLimit
from chivetrack.components.limits.shares import ShareTracker
from chivetrack.components.pipeline.admission import AdmissionControl
from chivetrack.components.pipeline.models import (
    AnswerEnded,
    AttemptAnswered,
    CallerGone,
    Refuse,
    RequestArrived,
    StartAttempt,
)
from chivetrack.components.proposals.client import ProposalClient
from chivetrack.core import Effect, Event, TimeReached
from chivetrack.exceptions import Ran
from chivetrack.node import RouterNode
from tests.components.pipeline.fakes import FlowBench, make_request


class OneRequestLimits:
    def find_limit(self, workspace: object) -> WorkspaceLimit:
        return WorkspaceLimit(concurrency=1)


class AdmissionTest(unittest.TestCase):
    def setUp(self) -> None:
        rng = random.Random(1)
        limiter = Limiter(shares=ShareTracker(router_id="r"), random=rng, capacity=10)
        self.admission = AdmissionControl(limiter=limiter, limits=OneRequestLimits())
        self.bench = FlowBench(limiter=self.admission)
        proposals = ProposalClient(instance_id="r", replicas=["a"], random=rng)
        self.node = RouterNode(
            flow=self.bench.flow,
            proposals=proposals,
            claims=ClaimCoordinator(make_holder=str, to_wall_ms=int),
            admission=self.admission,
            controllers=ControllerHost(runners=(), proposals=proposals),
            components=(),
        )

    def send(self, event: Event, now: float = 1.0) -> list[Effect]:
        effects = self.node.handle(event, now=now)
        return [each for each in effects if isinstance(each, StartAttempt | Refuse)]

    def arrive(self, request_id: str, **headers: str) -> list[Effect]:
        return self.send(RequestArrived(request_id=request_id, request=make_request(**headers)))

    def finish(self, request_id: str, now: float) -> list[Effect]:
        self.send(AttemptAnswered(request_id=request_id, attempt=1, status=200), now)
        return self.send(AnswerEnded(request_id=request_id, attempt=1, whole=True), now)

    def test_queued_request_starts_when_the_running_one_ends(self) -> None:
        (first,) = self.arrive("one")
        self.assertIsInstance(first, StartAttempt)
        self.assertEqual(self.arrive("two"), [])
        (second,) = self.finish("one", 2.0)
        assert isinstance(second, StartAttempt)
        self.assertEqual(second.request_id, "two")

    def test_infeasible_request_is_refused_at_once(self) -> None:
        """Guards against queueing a request that can't be admitted before its deadline.

        It is refused now, with a time to retry. Queued until the deadline, its caller would
        get the same refusal with no time left.
        """
        self.arrive("one")
        (refused,) = self.arrive("two", x_request_timeout_ms="100")
        assert isinstance(refused, Refuse)
        self.assertIs(refused.fault.ran, Ran.NO)
        self.assertIsNotNone(refused.fault.retry_after_s)

    def test_queued_request_that_becomes_infeasible_is_refused(self) -> None:
        self.arrive("one")
        self.assertEqual(self.arrive("two", x_request_timeout_ms="5000"), [])
        (refused,) = self.send(TimeReached(), now=5.5)
        assert isinstance(refused, Refuse)
        self.assertEqual(refused.request_id, "two")

    def test_caller_that_leaves_the_queue_is_skipped(self) -> None:
        """A caller disconnects while queued; the request behind it must be admitted."""
        self.arrive("one")
        self.arrive("two")
        self.arrive("three")
        self.send(CallerGone(request_id="two"))
        (third,) = self.finish("one", 2.0)
        self.assertEqual(third.request_id, "three")  # type: ignore[attr-defined]
        self.assertEqual(self.finish("three", 3.0), [])
        self.assertEqual(self.bench.flow.open_count, 0)
