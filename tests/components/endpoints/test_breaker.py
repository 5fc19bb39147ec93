"""Circuit breakers, the limit of unavailable endpoints, flapping, drains and explanations."""

import random
import unittest

from chivetrack.components.endpoints.const import MAX_UNAVAILABLE_SHARE
from chivetrack.components.endpoints.models import Availability, Drain, OutcomeKind
from chivetrack.components.endpoints.registry import EndpointRegistry
from chivetrack.components.gossip.gossip import Gossip
from chivetrack.core import TimeReached
from tests.components.endpoints.fleet import (
    LEAVING,
    SERVICE,
    EndpointFleet,
    make_announcement,
)

READY, BROKEN, HELD = Availability.READY, Availability.BROKEN, Availability.HELD_BACK
NAMES = tuple(f"e-{index}" for index in range(6))


class RegistryCase(unittest.TestCase):
    """One registry; its endpoints announce themselves once per second while ``run_for`` runs."""

    def setUp(self) -> None:
        self.gossip = Gossip(instance_id="r", incarnation=1, random=random.Random(1))
        self.registry = EndpointRegistry(gossip=self.gossip, instance_id="r")
        self.now = 0.0
        self.run_for(1)

    def run_for(self, seconds: float, names: tuple[str, ...] = NAMES, **changes: object) -> None:
        for step in range(int(seconds * 4)):
            if step % 4 == 0:
                for name in names:
                    self.registry.announce(make_announcement(name, **changes), now=self.now)
            self.now += 0.25
            self.registry.handle(TimeReached(), now=self.now)

    def fail_attempts(
        self, name: str, times: int = 3, kind: OutcomeKind = OutcomeKind.CONNECT
    ) -> None:
        for _ in range(times):
            self.registry.record_attempt(name, now=self.now)
            self.registry.record_outcome(name, False, kind, self.now)

    def succeed(self, name: str) -> None:
        self.registry.record_attempt(name, now=self.now)
        self.registry.record_outcome(name, True, OutcomeKind.ANSWER, self.now)

    def list_unavailable(self) -> dict[str, Availability]:
        listed = self.registry.list_endpoints(SERVICE)
        return {s.endpoint_id: s.availability for s in listed if s.availability is not READY}


class BreakerTest(RegistryCase):
    def test_opens_by_kind_of_failure(self) -> None:
        cases = [
            (OutcomeKind.CONNECT, 2, False),
            (OutcomeKind.CONNECT, 3, True),
            (OutcomeKind.ERROR, 4, False),
            (OutcomeKind.ERROR, 5, True),
            (OutcomeKind.TIMEOUT, 5, True),
            (OutcomeKind.CUT, 5, True),
        ]
        for kind, times, is_open in cases:
            with self.subTest(kind=kind, times=times):
                self.setUp()
                self.fail_attempts("e-1", times, kind)
                self.assertEqual(self.list_unavailable(), {"e-1": BROKEN} if is_open else {})

    def test_opens_on_high_failure_share(self) -> None:
        """An endpoint that fails every second request never has two failures in a row.

        A breaker that counts only consecutive failures would stay closed, and half of the
        callers would get errors forever.
        """
        for _ in range(10):
            self.succeed("e-1")
            self.fail_attempts("e-1", 1, OutcomeKind.ERROR)
        self.assertEqual(self.list_unavailable(), {"e-1": BROKEN})

    def test_half_open_admits_one_probe(self) -> None:
        """After the delay, only one request is admitted as a probe.

        The endpoint may still be down, and without the limit all waiting requests would fail.
        """
        self.fail_attempts("e-1")
        self.run_for(1.25)
        self.assertEqual(self.list_unavailable(), {})
        self.registry.record_attempt("e-1", now=self.now)
        self.assertEqual(self.list_unavailable(), {"e-1": BROKEN})
        self.registry.record_outcome("e-1", True, OutcomeKind.ANSWER, self.now)
        self.assertEqual(self.list_unavailable(), {})

    def test_a_failed_probe_doubles_the_delay(self) -> None:
        self.fail_attempts("e-1")
        for delay in (1.0, 2.0, 4.0):
            self.run_for(delay - 0.25)
            self.assertEqual(self.list_unavailable(), {"e-1": BROKEN}, delay)
            self.run_for(0.5)
            self.assertEqual(self.list_unavailable(), {}, delay)
            self.fail_attempts("e-1", 1)

    def test_a_probe_without_outcome_does_not_block(self) -> None:
        self.fail_attempts("e-1")
        self.run_for(1.25)
        self.registry.record_attempt("e-1", now=self.now)
        self.run_for(31)
        self.assertEqual(self.list_unavailable(), {})

    def test_failures_of_all_endpoints_keep_half_available(self) -> None:
        """A faulty link of this router, or a request that crashes engines, fails all endpoints.

        With all six endpoints out of service, every caller would be refused. The half with
        the fewest failures stays available, and the service is reported as degraded.
        """
        for count, name in enumerate(NAMES):
            self.fail_attempts(name, 3 + count)
        self.assertEqual(self.list_unavailable(), dict.fromkeys(NAMES[3:], BROKEN))
        self.assertTrue(self.registry.is_degraded(SERVICE))
        reasons = [s.reason for s in self.registry.list_endpoints(SERVICE)]
        self.assertTrue(
            reasons[0].startswith("kept available, too many endpoints are suspect"), reasons
        )

    def test_unavailable_share_never_exceeds_limit(self) -> None:
        """Apply random outcomes and lost leases, and check the limit after each step.

        Of the endpoints that are not leaving, at most ``MAX_UNAVAILABLE_SHARE`` may be
        unavailable.
        """
        for seed in range(20):
            source = random.Random(seed)
            self.setUp()
            for _ in range(150):
                name = source.choice(NAMES)
                if source.random() < 0.7:
                    self.fail_attempts(
                        name, source.randrange(1, 6), source.choice(list(OutcomeKind)[1:5])
                    )
                else:
                    self.succeed(name)
                alive = tuple(n for n in NAMES if source.random() < 0.8)
                self.run_for(source.choice((0.25, 1, 7)), alive)
                listed = self.registry.list_endpoints(SERVICE)
                staying = [s for s in listed if s.availability is not Availability.LEAVING]
                out = [s for s in staying if s.availability is not READY]
                self.assertLessEqual(len(out), MAX_UNAVAILABLE_SHARE * len(staying))

    def test_failures_of_one_router_do_not_affect_others(self) -> None:
        """One router fails every attempt at an endpoint because its link is faulty.

        If the router published this as a removal, one faulty link would make the endpoint
        unavailable on all routers.
        """
        fleet = EndpointFleet(5)
        for _ in range(4):
            for name in ("e-1", "e-2", "e-3"):
                fleet.announce("router-1", make_announcement(name))
            for _ in range(5):
                fleet.registries["router-0"].record_outcome(
                    "e-1", False, OutcomeKind.CONNECT, fleet.network.now
                )
            fleet.network.run_for(2)
            fleet.registries["router-0"].record_outcome(
                "e-2", False, OutcomeKind.LEAVING, fleet.network.now
            )
        self.assertEqual(fleet.list_availability("router-0")["e-2"], Availability.LEAVING)
        for name in fleet.names[1:]:
            self.assertEqual(set(fleet.list_availability(name).values()), {READY}, name)


class FlapTest(RegistryCase):
    def test_delays_grow_with_each_return_and_decay(self) -> None:
        """An endpoint's lease expires every few seconds and the endpoint returns each time.

        Each loss causes failed requests. The delay before the endpoint gets requests again
        grows with each return, and the penalty has decayed after a stable hour.
        """
        delays: list[float] = []
        for _ in range(4):
            self.run_for(8, NAMES[1:])
            self.run_for(1)
            held_from = self.now
            while self.list_unavailable() and self.now < held_from + 200:
                self.run_for(1)
            delays.append(self.now - held_from)
        self.assertEqual(delays[0], 0.0)
        self.assertGreater(delays[1], 3.0)
        self.assertEqual(delays, sorted(set(delays)))
        self.run_for(3600)
        self.run_for(8, NAMES[1:])
        self.run_for(1)
        self.assertEqual(self.list_unavailable(), {})

    def test_only_unannounced_restarts_count_as_flaps(self) -> None:
        for planned in (False, True):
            with self.subTest(planned=planned):
                self.setUp()
                for incarnation in range(2, 5):
                    if planned:
                        leaving = make_announcement(
                            "e-0", incarnation=incarnation - 1, state=LEAVING
                        )
                        self.registry.announce(leaving, now=self.now)
                        self.run_for(7, NAMES[1:])
                    self.run_for(1, ("e-0",), incarnation=incarnation)
                    self.run_for(1, NAMES[1:])
                self.assertEqual(self.list_unavailable(), {} if planned else {"e-0": HELD})

    def test_partitioned_router_holds_no_endpoint_back(self) -> None:
        """Three times the router receives nothing for ten seconds, and all leases expire at once.

        If this counted as flapping, all endpoints would be held back after the reconnection.
        """
        for _ in range(3):
            self.run_for(10, ())
            self.assertEqual(self.registry.list_endpoints(SERVICE), ())
            self.run_for(2)
            self.assertEqual(self.list_unavailable(), {})


class DrainTest(RegistryCase):
    def test_drains_mark_as_leaving_and_end(self) -> None:
        zone = Drain(name="drain/zone", zones=frozenset({"fukuoka-hall"}))
        single = Drain(name="drain/one", endpoint_ids=frozenset({"e-2"}))
        cases = [
            ([single], {"e-2"}),
            ([zone], set(NAMES)),
            ([zone, single], set(NAMES)),
            ([], set()),
        ]
        for drains, expected in cases:
            with self.subTest(drains=[drain.name for drain in drains]):
                version, before = self.registry.version, self.list_unavailable()
                self.registry.set_drained(drains, now=self.now)
                self.assertEqual(
                    self.list_unavailable(), dict.fromkeys(expected, Availability.LEAVING)
                )
                self.assertEqual(self.registry.version > version, self.list_unavailable() != before)


class ExplainTest(RegistryCase):
    def test_explains_reason_time_and_source(self) -> None:
        self.fail_attempts("e-1")
        self.registry.announce(make_announcement("e-2", state=LEAVING), now=self.now)
        drain = Drain(name="drain/rack-4", endpoint_ids=frozenset({"e-3"}))
        self.registry.set_drained([drain], now=self.now)
        self.registry.record_outcome("e-4", False, OutcomeKind.LEAVING, self.now)
        cases = {
            "e-0": ("ready", "it holds a lease", "the endpoint, to this router"),
            "e-1": ("broken", "3 failures in a row (connect)", "this router's own attempts"),
            "e-2": (
                "leaving",
                "leaving, reported by the endpoint, to this router",
                "the endpoint, to this router",
            ),
            "e-3": ("leaving", "drained: drain/rack-4", "configuration: drain/rack-4"),
            "e-4": (
                "leaving",
                "leaving, it refused a request from this router",
                "a request that it refused to this router",
            ),
            "e-9": ("unknown", "no announcement of it is recorded on this router", "nobody"),
        }
        for name, expected in cases.items():
            with self.subTest(name):
                explanation = self.registry.explain(name, now=self.now)
                self.assertEqual(
                    (explanation.verdict, explanation.reason, explanation.word), expected
                )
        self.run_for(10, NAMES[1:])
        explanation = self.registry.explain("e-0", now=self.now)
        self.assertEqual(explanation.verdict, "gone")
        self.assertAlmostEqual(explanation.since_s, 5.0, delta=1.0)
