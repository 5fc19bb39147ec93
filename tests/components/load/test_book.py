"""The load book under lost, late, doubled and reordered counts."""

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
        self.book = LoadTracker(router_id="me")

    def merge(self, counts: LoadCounts, *, now: float, source: str = "r2") -> MergeVerdict:
        return self.book.merge_counts(source, counts, age_s=0.1, now=now)

    def estimate(self, endpoint_id: str, now: float) -> float:
        return self.book.get_estimate(endpoint_id, now).in_flight

    def test_own_requests_are_counted_at_once(self) -> None:
        self.book.start("a", 0.0)
        self.book.start("a", 0.0)
        self.book.finish("a", 1.0)
        self.assertEqual(self.estimate("a", 1.0), 1)
        self.book.finish("a", 1.0)
        with self.assertRaises(ValueError):
            self.book.finish("a", 1.0)

    def test_fault_table_of_counts(self) -> None:
        """Gossip loses, doubles, delays and reorders; routers restart and die.

        An old count brings back requests that are over, a dead router's count keeps
        its endpoints looking full: callers are sent away from engines that are free.
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

    def test_dead_router_is_dropped_at_once_and_its_late_counts_are_refused(self) -> None:
        self.merge(make_counts(1, a=5), now=0.0)
        self.book.drop_router("r2", 1)
        self.assertEqual(self.estimate("a", 0.0), 0)
        self.assertIs(self.merge(make_counts(2, a=5), now=0.1), MergeVerdict.DEAD)
        self.assertIs(self.merge(make_counts(1, 2, a=2), now=0.2), MergeVerdict.TAKEN)
        self.book.drop_router("r2", 1)
        self.assertEqual(self.estimate("a", 0.2), 2)

    def test_silent_router_ages_out_and_its_old_counts_stay_refused(self) -> None:
        self.merge(make_counts(5, a=5), now=0.0)
        self.assertEqual(self.estimate("a", PEER_SILENCE_S - 0.2), 5)
        self.assertEqual(self.estimate("a", PEER_SILENCE_S), 0)
        self.assertIs(self.merge(make_counts(4, a=4), now=PEER_SILENCE_S), MergeVerdict.STALE)
        self.merge(make_counts(6, a=2), now=PEER_SILENCE_S)
        self.assertEqual(self.estimate("a", PEER_SILENCE_S), 2)

    def test_old_and_own_counts_are_refused(self) -> None:
        verdict = self.book.merge_counts("r2", make_counts(1, a=5), age_s=PEER_SILENCE_S, now=9.0)
        self.assertIs(verdict, MergeVerdict.TOO_OLD)
        self.assertIs(self.merge(make_counts(1, a=5), now=0.0, source="me"), MergeVerdict.OWN)
        self.assertEqual(self.estimate("a", 9.0), 0)

    def test_report_and_own_requests_are_not_counted_twice(self) -> None:
        """An engine's report of 2 s ago includes own requests of that time.

        Adding them again makes the endpoint look full; leaving out those since makes
        it look empty, and every router sends its next requests there.
        """
        for at in (0.0, 1.0, 4.0):
            self.book.start("a", at)
        self.book.finish("a", 4.5)
        self.book.report_load("a", 7, incarnation=1, age_s=3.0, now=5.0)
        self.assertEqual(self.estimate("a", 5.0), 7 - 2 + 2)
        self.assertEqual(self.estimate("a", 2.0 + REPORT_MAX_AGE_S), 2)

    def test_reports_are_used_only_while_a_router_is_not_heard(self) -> None:
        self.merge(make_counts(1, a=2), now=0.0)
        self.book.report_load("a", 9, incarnation=1, age_s=1.0, now=0.0)
        self.book.report_load("b", 4, incarnation=1, age_s=1.0, now=0.0)
        self.assertEqual(self.estimate("a", 0.0), 2)
        self.assertEqual(self.estimate("b", 0.0), 0)
        self.assertEqual(self.estimate("a", PEER_SILENCE_S), 9)
        self.assertEqual(self.estimate("b", PEER_SILENCE_S), 4)
        self.merge(make_counts(2, a=3), now=PEER_SILENCE_S)
        self.assertEqual(self.estimate("a", PEER_SILENCE_S), 3)

    def test_report_and_counts_of_routers_still_heard_are_not_added(self) -> None:
        """One of two routers falls silent; the engine's report covers both."""
        self.merge(make_counts(1, a=4), now=0.0, source="r3")
        self.merge(make_counts(1, a=2), now=PEER_SILENCE_S, source="r2")
        self.book.report_load("a", 7, incarnation=1, age_s=1.0, now=PEER_SILENCE_S)
        self.assertEqual(self.estimate("a", PEER_SILENCE_S), 7)

    def test_reports_of_an_engine_are_taken_in_order(self) -> None:
        self.book.report_load("a", 4, incarnation=2, age_s=1.0, now=5.0)
        for incarnation, age_s in ((2, 2.0), (1, 0.5), (2, REPORT_MAX_AGE_S)):
            self.book.report_load("a", 9, incarnation=incarnation, age_s=age_s, now=5.0)
            self.assertEqual(self.estimate("a", 5.0), 4)

    def test_reservation_stands_until_the_counts_show_it(self) -> None:
        """A slot was granted to another router, whose counts are under way.

        Dropped early, the slot is granted twice; kept as well, it is counted twice;
        kept for ever when the router never uses it, the endpoint loses a place.
        """
        for settled, expected in ((2, 2), (3, 1)):
            with self.subTest(settled=settled):
                self.setUp()
                self.book.reserve("r2", "a", 3, 0.0)
                self.assertEqual(self.estimate("a", 0.0), 1)
                counts = LoadCounts(1, 1, {"a": 1}, scope=["a"], settled=settled)
                self.merge(counts, now=0.1)
                self.assertEqual(self.estimate("a", 0.1), expected)
                self.assertEqual(self.estimate("a", RESERVATION_MAX_S), 1)
        self.book.reserve("r2", "a", 4, 1.0)
        self.book.drop_router("r2", 1)
        self.assertEqual(self.estimate("a", 1.0), 0)

    def test_counts_for_an_owner_replace_only_what_they_concern(self) -> None:
        self.merge(make_counts(1, a=1, b=2), now=0.0)
        self.merge(LoadCounts(1, 2, {}, scope=["a"]), now=0.5)
        self.assertEqual((self.estimate("a", 0.5), self.estimate("b", 0.5)), (0, 2))
        self.assertEqual(self.estimate("b", PEER_SILENCE_S), 0)

    def test_new_owner_believes_reports_until_the_counts_are_whole(self) -> None:
        self.merge(LoadCounts(1, 1, {"a": 1}, scope=["a"]), now=0.0)
        self.book.set_owned(["a"], 0.0)
        self.book.report_total("a", 9, age_s=0.0, now=0.5)
        self.assertEqual(self.estimate("a", 0.5), 9)
        self.book.report_total("a", 9, age_s=0.0, now=SUMMARY_WARM_UP_S)
        self.assertEqual(self.estimate("a", SUMMARY_WARM_UP_S), 1)

    def test_counts_travel(self) -> None:
        self.book.start("a", 0.0)
        sent = self.book.collect_counts(0.0)
        self.assertEqual(unpack(pack(sent)), sent)
        other = LoadTracker(router_id="other")
        other.merge_counts("me", sent, age_s=0.1, now=0.1)
        self.assertEqual(other.get_estimate("a", 0.1).in_flight, 1)


class LoadBookMachine(RuleBasedStateMachine):
    """Two other routers work and send; the network and death do as they like.

    Oracle: own requests plus, per router that lives and was heard within the silence
    limit, the counts of the newest message delivered.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.book = LoadTracker(router_id="me")
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
        self.book.start(endpoint, self.now)
        self.own[endpoint] += 1

    @rule(endpoint=st.sampled_from(ENDPOINTS))
    def finish(self, endpoint: str) -> None:
        if self.own[endpoint]:
            self.book.finish(endpoint, self.now)
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
        self.book.merge_counts(name, counts, age_s=self.now - sent_at, now=self.now)
        if counts.incarnation <= self.dropped[name] or self.now - sent_at >= PEER_SILENCE_S:
            return
        old = self.newest.get(name)
        order = (counts.incarnation, counts.sequence)
        if old is None or order > (old[1].incarnation, old[1].sequence):
            self.newest[name] = (sent_at, counts)

    @rule(name=st.sampled_from(["r2", "r3"]), noticed=st.booleans())
    def restart(self, name: str, noticed: bool) -> None:
        if noticed:
            self.book.drop_router(name, self.incarnations[name])
            self.dropped[name] = self.incarnations[name]
            self.newest.pop(name, None)
        self.incarnations[name] += 1
        self.others[name] = LoadTracker(router_id=name, incarnation=self.incarnations[name])

    @invariant()
    def agrees_with_the_oracle(self) -> None:
        heard = [c for at, c in self.newest.values() if self.now < at + PEER_SILENCE_S]
        for endpoint in ENDPOINTS:
            expected = self.own[endpoint] + sum(c.counts.get(endpoint, 0) for c in heard)
            assert self.book.get_estimate(endpoint, self.now).in_flight == expected


LoadBookMachine.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)
LoadBookFuzzTest = LoadBookMachine.TestCase
