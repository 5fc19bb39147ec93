"""Tests for the load tracker with lost, late, duplicated and reordered counts."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chivetrack.components.load.const import (
    PEER_SILENCE_S,
    REPORT_MAX_AGE_S,
    RESERVATION_MAX_S,
    SUMMARY_WARM_UP_S,
)
from chivetrack.components.load.models import LoadCounts, MergeVerdict
from chivetrack.components.load.tracker import LoadTracker
from chivetrack.helpers.codec import pack, unpack

ENDPOINTS = ["a", "b", "c"]


def make_counts(sequence: int, incarnation: int = 1, **counts: int) -> LoadCounts:
    return LoadCounts(incarnation=incarnation, sequence=sequence, counts=counts)


class LoadBookTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tracker = LoadTracker(router_id="me")

    def merge(self, counts: LoadCounts, *, now: float, source: str = "r2") -> MergeVerdict:
        return self.tracker.merge_counts(source, counts, age_s=0.1, now=now)

    def estimate(self, endpoint_id: str, now: float) -> float:
        return self.tracker.get_estimate(endpoint_id, now).in_flight

    def test_own_requests_are_counted_at_once(self) -> None:
        self.tracker.start("a", 0.0)
        self.tracker.start("a", 0.0)
        self.tracker.finish("a", 1.0)
        self.assertEqual(self.estimate("a", 1.0), 1)
        self.tracker.finish("a", 1.0)
        with self.assertRaises(ValueError):
            self.tracker.finish("a", 1.0)

    def test_faulty_sequences_of_counts(self) -> None:
        """Gossip loses, duplicates, delays and reorders messages; routers restart and die.

        An old count would restore finished requests, and the count of a dead router would
        make its endpoints appear full, so that idle engines get no requests.
        """
        cases = {
            "in order": ([make_counts(1, a=1), make_counts(2, a=3)], 3),
            "reordered": ([make_counts(2, a=3), make_counts(1, a=9)], 3),
            "doubled": ([make_counts(1, a=3), make_counts(1, a=3)], 3),
            "endpoint left out means none": ([make_counts(1, a=3), make_counts(2, b=1)], 0),
            "restarted": ([make_counts(90, a=9), make_counts(1, 2, a=1)], 1),
            "late one from before the restart": ([make_counts(1, 2, a=1), make_counts(90, a=9)], 1),
        }
        for name, (messages, expected) in cases.items():
            with self.subTest(name):
                self.setUp()
                for counts in messages:
                    self.merge(counts, now=1.0)
                self.assertEqual(self.estimate("a", 1.0), expected)

    def test_dead_router_is_dropped_at_once_and_its_late_counts_are_rejected(self) -> None:
        self.merge(make_counts(1, a=5), now=0.0)
        self.tracker.drop_router("r2", 1)
        self.assertEqual(self.estimate("a", 0.0), 0)
        self.assertIs(self.merge(make_counts(2, a=5), now=0.1), MergeVerdict.DEAD)
        self.assertIs(self.merge(make_counts(1, 2, a=2), now=0.2), MergeVerdict.TAKEN)
        self.tracker.drop_router("r2", 1)
        self.assertEqual(self.estimate("a", 0.2), 2)

    def test_silent_router_expires_and_its_old_counts_stay_rejected(self) -> None:
        self.merge(make_counts(5, a=5), now=0.0)
        self.assertEqual(self.estimate("a", PEER_SILENCE_S - 0.2), 5)
        self.assertEqual(self.estimate("a", PEER_SILENCE_S), 0)
        self.assertIs(self.merge(make_counts(4, a=4), now=PEER_SILENCE_S), MergeVerdict.STALE)
        self.merge(make_counts(6, a=2), now=PEER_SILENCE_S)
        self.assertEqual(self.estimate("a", PEER_SILENCE_S), 2)

    def test_old_and_own_counts_are_rejected(self) -> None:
        verdict = self.tracker.merge_counts(
            "r2", make_counts(1, a=5), age_s=PEER_SILENCE_S, now=9.0
        )
        self.assertIs(verdict, MergeVerdict.TOO_OLD)
        self.assertIs(self.merge(make_counts(1, a=5), now=0.0, source="me"), MergeVerdict.OWN)
        self.assertEqual(self.estimate("a", 9.0), 0)

    def test_report_and_own_requests_are_not_counted_twice(self) -> None:
        """An engine's report from seconds ago includes the own requests of that time.

        If these were added again, the endpoint would appear full. If the own requests since
        then were left out, it would appear idle, and every router would send requests there.
        """
        for at in (0.0, 1.0, 4.0):
            self.tracker.start("a", at)
        self.tracker.finish("a", 4.5)
        self.tracker.report_load("a", 7, incarnation=1, age_s=3.0, now=5.0)
        self.assertEqual(self.estimate("a", 5.0), 7 - 2 + 2)
        self.assertEqual(self.estimate("a", 2.0 + REPORT_MAX_AGE_S), 2)

    def test_reports_are_used_only_while_a_router_is_silent(self) -> None:
        self.merge(make_counts(1, a=2), now=0.0)
        self.tracker.report_load("a", 9, incarnation=1, age_s=1.0, now=0.0)
        self.tracker.report_load("b", 4, incarnation=1, age_s=1.0, now=0.0)
        self.assertEqual(self.estimate("a", 0.0), 2)
        self.assertEqual(self.estimate("b", 0.0), 0)
        self.assertEqual(self.estimate("a", PEER_SILENCE_S), 9)
        self.assertEqual(self.estimate("b", PEER_SILENCE_S), 4)
        self.merge(make_counts(2, a=3), now=PEER_SILENCE_S)
        self.assertEqual(self.estimate("a", PEER_SILENCE_S), 3)

    def test_report_and_counts_of_active_routers_are_not_added(self) -> None:
        """One of two routers falls silent; the engine's report covers both."""
        self.merge(make_counts(1, a=4), now=0.0, source="r3")
        self.merge(make_counts(1, a=2), now=PEER_SILENCE_S, source="r2")
        self.tracker.report_load("a", 7, incarnation=1, age_s=1.0, now=PEER_SILENCE_S)
        self.assertEqual(self.estimate("a", PEER_SILENCE_S), 7)

    def test_reports_of_an_engine_are_used_in_order(self) -> None:
        self.tracker.report_load("a", 4, incarnation=2, age_s=1.0, now=5.0)
        for incarnation, age_s in ((2, 2.0), (1, 0.5), (2, REPORT_MAX_AGE_S)):
            self.tracker.report_load("a", 9, incarnation=incarnation, age_s=age_s, now=5.0)
            self.assertEqual(self.estimate("a", 5.0), 4)

    def test_reservation_holds_until_the_counts_include_it(self) -> None:
        """A slot was granted to another router, whose counts are in transit.

        If the reservation ended early, the slot would be granted twice. If it stayed beside
        the counts, the request would be counted twice. If it never expired, a slot that the
        router does not use would be lost.
        """
        for settled, expected in ((2, 2), (3, 1)):
            with self.subTest(settled=settled):
                self.setUp()
                self.tracker.reserve("r2", "a", 3, 0.0)
                self.assertEqual(self.estimate("a", 0.0), 1)
                counts = LoadCounts(1, 1, {"a": 1}, scope=["a"], settled=settled)
                self.merge(counts, now=0.1)
                self.assertEqual(self.estimate("a", 0.1), expected)
                self.assertEqual(self.estimate("a", RESERVATION_MAX_S), 1)
        self.tracker.reserve("r2", "a", 4, 1.0)
        self.tracker.drop_router("r2", 1)
        self.assertEqual(self.estimate("a", 1.0), 0)

    def test_counts_for_an_owner_replace_only_their_scope(self) -> None:
        self.merge(make_counts(1, a=1, b=2), now=0.0)
        self.merge(LoadCounts(1, 2, {}, scope=["a"]), now=0.5)
        self.assertEqual((self.estimate("a", 0.5), self.estimate("b", 0.5)), (0, 2))
        self.assertEqual(self.estimate("b", PEER_SILENCE_S), 0)

    def test_new_owner_uses_reports_until_the_counts_are_complete(self) -> None:
        self.merge(LoadCounts(1, 1, {"a": 1}, scope=["a"]), now=0.0)
        self.tracker.set_owned(["a"], 0.0)
        self.tracker.report_total("a", 9, age_s=0.0, now=0.5)
        self.assertEqual(self.estimate("a", 0.5), 9)
        self.tracker.report_total("a", 9, age_s=0.0, now=SUMMARY_WARM_UP_S)
        self.assertEqual(self.estimate("a", SUMMARY_WARM_UP_S), 1)

    def test_counts_are_encoded_and_merged(self) -> None:
        self.tracker.start("a", 0.0)
        sent = self.tracker.collect_counts(0.0)
        self.assertEqual(unpack(pack(sent)), sent)
        other = LoadTracker(router_id="other")
        other.merge_counts("me", sent, age_s=0.1, now=0.1)
        self.assertEqual(other.get_estimate("a", 0.1).in_flight, 1)


class LoadBookMachine(RuleBasedStateMachine):
    """Two other routers place requests and send counts; messages are reordered or lost.

    Expected estimate: own requests plus, for each router that is neither dead nor silent, the
    counts of its newest delivered message.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.tracker = LoadTracker(router_id="me")
        self.own = dict.fromkeys(ENDPOINTS, 0)
        self.others = {name: LoadTracker(router_id=name, incarnation=1) for name in ("r2", "r3")}
        self.incarnations = {"r2": 1, "r3": 1}
        self.sent: list[tuple[str, float, LoadCounts]] = []
        self.newest: dict[str, tuple[float, LoadCounts]] = {}
        self.dropped = {"r2": 0, "r3": 0}

    @rule(step=st.floats(0.0, 1.5))
    def pass_time(self, step: float) -> None:
        self.now += step

    @rule(endpoint=st.sampled_from(ENDPOINTS))
    def start(self, endpoint: str) -> None:
        self.tracker.start(endpoint, self.now)
        self.own[endpoint] += 1

    @rule(endpoint=st.sampled_from(ENDPOINTS))
    def finish(self, endpoint: str) -> None:
        if self.own[endpoint]:
            self.tracker.finish(endpoint, self.now)
            self.own[endpoint] -= 1

    @rule(name=st.sampled_from(["r2", "r3"]), endpoint=st.sampled_from(ENDPOINTS))
    def work_elsewhere(self, name: str, endpoint: str) -> None:
        self.others[name].start(endpoint, self.now)
        self.sent.append((name, self.now, self.others[name].collect_counts(self.now)))

    @rule(pick=st.integers(0, 30))
    def deliver(self, pick: int) -> None:
        if not self.sent:
            return
        name, sent_at, counts = self.sent[-1 - pick % len(self.sent)]
        self.tracker.merge_counts(name, counts, age_s=self.now - sent_at, now=self.now)
        if counts.incarnation <= self.dropped[name] or self.now - sent_at >= PEER_SILENCE_S:
            return
        previous = self.newest.get(name)
        order = (counts.incarnation, counts.sequence)
        if previous is None or order > (previous[1].incarnation, previous[1].sequence):
            self.newest[name] = (sent_at, counts)

    @rule(name=st.sampled_from(["r2", "r3"]), noticed=st.booleans())
    def restart(self, name: str, noticed: bool) -> None:
        if noticed:
            self.tracker.drop_router(name, self.incarnations[name])
            self.dropped[name] = self.incarnations[name]
            self.newest.pop(name, None)
        self.incarnations[name] += 1
        self.others[name] = LoadTracker(router_id=name, incarnation=self.incarnations[name])

    @invariant()
    def agrees_with_the_oracle(self) -> None:
        recent = [c for at, c in self.newest.values() if self.now < at + PEER_SILENCE_S]
        for endpoint in ENDPOINTS:
            expected = self.own[endpoint] + sum(c.counts.get(endpoint, 0) for c in recent)
            assert self.tracker.get_estimate(endpoint, self.now).in_flight == expected


LoadBookMachine.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)
LoadBookFuzzTest = LoadBookMachine.TestCase
