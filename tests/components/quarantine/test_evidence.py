"""Tests of crash counting and quarantine orders."""

import itertools
import random
import unittest

import msgspec

from chivetrack.components.quarantine.const import (
    ANSWERED_RETENTION_S,
    ASK_DURATION_S,
    CRASHES_TO_QUARANTINE,
    CRASHES_TO_QUARANTINE_PART,
    EVIDENCE_RETENTION_S,
    MAX_ASKED,
    MAX_STORED,
    MAX_SUSPECTS,
    PART_EVIDENCE_RETENTION_S,
    REPORT_DURATION_S,
    RESEND_WINDOW_S,
)
from chivetrack.components.quarantine.evidence import CrashEvidence
from chivetrack.components.quarantine.fingerprint import (
    make_part_fingerprint,
    make_service_fingerprint,
)
from chivetrack.components.quarantine.models import (
    AnsweredReport,
    CrashReport,
    Quarantine,
    QuarantineOrder,
    ReleaseOrder,
)

POISON = b"p" * 16
PART = make_part_fingerprint(service="llm", part="5eed")
SERVICE = make_service_fingerprint("llm")
LOSS_RATE = 0.3


def make_crash_report(fingerprint: bytes, endpoint_id: str, born: int = 0) -> CrashReport:
    return CrashReport(
        fingerprint=fingerprint,
        endpoint_id=endpoint_id,
        born=born,
        service="llm",
        path="/a/x",
        workspace="w",
    )


def make_part_report(endpoint_id: str, request: bytes) -> CrashReport:
    report = make_crash_report(PART, endpoint_id)
    return msgspec.structs.replace(report, part="5eed", request=request)


class EvidenceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.evidence = CrashEvidence()
        self.now = 0.0

    def record(self, fingerprint: bytes, *incarnations: tuple[str, int], now: float = 0.0) -> bool:
        self.now = now
        return self.evidence.record(
            (make_crash_report(fingerprint, *each) for each in incarnations), now=now
        )

    def list_due(self, quarantine: Quarantine | None = None) -> list[QuarantineOrder]:
        """Return the orders at the latest time at which those for the last crash are due."""
        now = self.now + ASK_DURATION_S
        return self.evidence.list_due(quarantine or Quarantine(), at=5.0, now=now)

    def test_repeated_reports_of_one_crash_count_once(self) -> None:
        """Guards against counting retransmitted reports as separate crashes."""
        self.assertTrue(self.record(POISON, ("i-1", 0)))
        for _ in range(5):
            self.assertFalse(self.record(POISON, ("i-1", 0)))
        self.assertEqual(self.list_due(), [])

    def test_third_crash_makes_a_request_due(self) -> None:
        self.record(POISON, ("i-1", 0), ("i-2", 0))
        self.assertEqual(self.list_due(), [])
        self.record(POISON, ("i-3", 0))
        (order,) = self.list_due()
        self.assertEqual((order.fingerprint, order.crashes), (POISON, ("i-1", "i-2", "i-3")))

    def test_incarnations_with_the_same_id_count_separately(self) -> None:
        """Guards against missing crashes of an endpoint that restarts under the same id."""
        self.record(POISON, ("i-1", 1), ("i-1", 2), ("i-1", 3))
        self.assertEqual(len(self.list_due()), 1)

    def test_requests_running_concurrently_are_not_quarantined(self) -> None:
        """Guards against quarantining all requests that ran at a crashed endpoint."""
        for number in range(20):
            others = [bytes([number, other]) * 8 for other in range(30)]
            for fingerprint in (POISON, *others):
                self.record(fingerprint, (f"i-{number}", 0), now=float(number))
        self.assertEqual([order.fingerprint for order in self.list_due()], [POISON])

    def test_crashes_outside_the_retention_period_do_not_count(self) -> None:
        """Guards against quarantining a daily request because of unrelated crashes."""
        for day in range(10):
            self.record(POISON, (f"i-{day}", 0), now=day * 86_400.0)
        self.assertEqual(self.list_due(), [])
        self.assertGreater(86_400.0, EVIDENCE_RETENTION_S)

    def test_release_resets_the_count(self) -> None:
        """Guards against a delayed report that reverts an operator's release."""
        self.record(POISON, ("i-1", 0), ("i-2", 0), ("i-3", 0))
        (order,) = self.list_due()
        quarantine, _ = Quarantine().apply(order, 7)
        (released,) = quarantine.requests
        self.assertEqual(self.list_due(quarantine), [])
        quarantine, _ = quarantine.apply(ReleaseOrder(fingerprint=POISON), 8)
        self.evidence.reset_count(released, now=0.0)
        self.record(POISON, ("i-1", 0), ("i-2", 0), ("i-3", 0))
        self.assertEqual(self.list_due(quarantine), [])
        self.record(POISON, ("i-4", 0), ("i-5", 0))
        self.assertEqual(self.list_due(quarantine), [])
        self.record(POISON, ("i-6", 0))
        self.assertEqual(len(self.list_due(quarantine)), 1)

    def test_flood_of_distinct_requests_stays_bounded(self) -> None:
        """Guards against evicting a request with several crashes in favor of those with one."""
        self.record(POISON, ("i-1", 0), ("i-2", 0))
        for number in range(2 * MAX_SUSPECTS):
            self.record(number.to_bytes(16, "big"), (f"c-{number // 64}", 0))
        self.record(POISON, ("i-3", 0))
        self.assertEqual([order.fingerprint for order in self.list_due()], [POISON])
        self.assertLessEqual(len(self.evidence), MAX_SUSPECTS)

    def test_recent_reports_are_forwarded_for_a_limited_time(self) -> None:
        self.record(POISON, ("i-1", 0), now=1.0)
        self.assertEqual(len(self.evidence.list_recent(now=1.0 + REPORT_DURATION_S)), 1)
        self.assertEqual(self.evidence.list_recent(now=1.1 + REPORT_DURATION_S), ())


class AnsweredTest(unittest.TestCase):
    """Crashes of the part ``PART`` under requests that are all different."""

    def setUp(self) -> None:
        self.evidence = CrashEvidence()
        self.crashes = 0

    def crash(self, now: float, *, request: bytes = b"") -> None:
        self.crashes += 1
        report = make_part_report(f"i-{self.crashes}", request or b"%d" % self.crashes)
        self.evidence.record([report], now=now)

    def answer(self, now: float, fingerprint: bytes = PART, *, age_s: float = 0.0) -> None:
        self.evidence.record_answered([AnsweredReport(fingerprint, age_s)], now=now)

    def is_due(self, now: float) -> bool:
        return bool(self.evidence.list_due(Quarantine(), at=0.0, now=now))

    def crash_often(self, count: int = CRASHES_TO_QUARANTINE_PART) -> None:
        """Crash an endpoint each second until 0 s."""
        for number in range(count):
            self.crash(float(number + 1 - count))

    def test_fourth_crash_makes_a_part_due_if_its_service_answers_others(self) -> None:
        self.crash_often(CRASHES_TO_QUARANTINE_PART - 1)
        self.answer(0.0, SERVICE)
        self.assertFalse(self.is_due(1.0))
        self.crash(2.0)
        self.assertTrue(self.is_due(2.0))
        (order,) = self.evidence.list_due(Quarantine(), at=0.0, now=2.0)
        self.assertEqual((order.fingerprint, order.part), (PART, "5eed"))

    def test_part_of_a_service_that_answers_nobody_is_not_due(self) -> None:
        """Guards against holding the part that all requests share when every endpoint fails."""
        self.answer(0.0, SERVICE, age_s=2 * ANSWERED_RETENTION_S)
        self.crash_often(20)
        self.assertFalse(self.is_due(30.0))
        self.answer(31.0, SERVICE)
        self.assertTrue(self.is_due(31.0))

    def test_part_is_due_although_it_ended_all_endpoints_at_once(self) -> None:
        """Guards against a part that goes on since its service answered only before."""
        self.crash_often()
        self.answer(0.0, SERVICE, age_s=10.0)
        self.assertTrue(self.is_due(ASK_DURATION_S))

    def test_part_beside_the_cause_is_not_held(self) -> None:
        """Guards against holding a sound part that ran during the crashes of another one."""
        other = make_part_fingerprint(service="llm", part="50a1")
        for number in range(CRASHES_TO_QUARANTINE_PART + 1):
            self.crash(float(number))
            if number:
                report = make_part_report(f"i-{number + 1}", b"%d" % number)
                beside = msgspec.structs.replace(report, fingerprint=other, part="50a1")
                self.evidence.record([beside], now=float(number))
        self.answer(6.0, SERVICE)
        orders = self.evidence.list_due(Quarantine(), at=0.0, now=6.0)
        self.assertEqual([order.part for order in orders], ["5eed"])
        quarantine, _ = Quarantine().apply(orders[0], 7)
        self.assertEqual(self.evidence.list_due(quarantine, at=0.0, now=9.0), [])
        self.evidence.reset_count(quarantine.requests[0], now=9.0)
        self.assertFalse(self.is_due(9.0))

    def test_part_that_leads_by_one_crash_waits_for_another(self) -> None:
        """Guards against holding a sound part in one crash more than the cause it ran beside."""
        other = make_part_fingerprint(service="llm", part="50a1")
        held = []
        for number in range(CRASHES_TO_QUARANTINE_PART + 2):
            if number:
                self.crash(float(number))
            if number < CRASHES_TO_QUARANTINE_PART:
                report = make_part_report(f"i-{number}", b"%d" % number)
                beside = msgspec.structs.replace(report, fingerprint=other, part="50a1")
                self.evidence.record([beside], now=float(number))
            self.answer(number + 0.5, SERVICE)
            orders = self.evidence.list_due(Quarantine(), at=0.0, now=number + 0.9)
            held.append([order.part for order in orders])
        self.assertEqual(held, [[]] * (CRASHES_TO_QUARANTINE_PART + 1) + [["5eed"]])

    def crash_both(self, *, is_same_request: bool) -> list[int]:
        """Crash endpoints under two parts; return how many parts are due after each crash."""
        other = make_part_fingerprint(service="llm", part="50a1")
        due = []
        for number in range(CRASHES_TO_QUARANTINE_PART + 2):
            self.crash(float(number), request=b"%d" % number)
            request = b"%d" % number if is_same_request else b"b%d" % number
            report = make_part_report(f"i-{number + 1}", request)
            beside = msgspec.structs.replace(report, fingerprint=other, part="50a1")
            self.evidence.record([beside], now=float(number))
            self.answer(number + 0.5, SERVICE)
            now = number + 0.9
            due.append(len(self.evidence.list_due(Quarantine(), at=0.0, now=now)))
        return due

    def test_two_parts_of_all_crashing_requests_are_held_after_one_more_crash(self) -> None:
        """Guards against a part that is never held since another one is always beside it."""
        due = self.crash_both(is_same_request=True)
        self.assertEqual(due, [0] * CRASHES_TO_QUARANTINE_PART + [2, 2])

    def test_parts_of_requests_that_run_beside_each_other_wait_for_two_more_crashes(self) -> None:
        """Guards against a sound part held since it was running in each crash of a bad one."""
        due = self.crash_both(is_same_request=False)
        self.assertEqual(due, [0] * (CRASHES_TO_QUARANTINE_PART + 1) + [2])

    def test_answer_since_or_shortly_before_shows_that_a_part_is_sound(self) -> None:
        """Guards against holding a part that only ran beside the one that crashes endpoints."""
        for began in (-ANSWERED_RETENTION_S + 1.0, -1.5, 5.0):
            with self.subTest(began=began):
                self.setUp()
                self.crash_often()
                self.answer(5.0, SERVICE)
                self.answer(5.0, age_s=5.0 - began)
                self.assertFalse(self.is_due(60.0))

    def test_answers_long_ago_do_not_excuse_a_part(self) -> None:
        self.crash_often()
        self.answer(5.0, SERVICE)
        self.answer(5.0, age_s=5.0 + ANSWERED_RETENTION_S + 4.0)
        self.assertTrue(self.is_due(5.0))

    def test_routers_are_asked_before_simultaneous_crashes_make_a_part_due(self) -> None:
        """Guards against holding a frequent part when several endpoints crash at one moment."""
        for _ in range(CRASHES_TO_QUARANTINE_PART):
            self.crash(0.0)
        self.answer(0.1, SERVICE)
        self.assertFalse(self.is_due(ASK_DURATION_S - 0.1))
        self.assertEqual(self.evidence.list_asked(), (PART, SERVICE))
        self.answer(ASK_DURATION_S - 0.1)
        self.assertFalse(self.is_due(ASK_DURATION_S))
        self.assertEqual(self.evidence.list_asked(), ())

    def test_one_repeated_request_does_not_hold_its_parts(self) -> None:
        """Guards against refusing sound requests that share a part with a crashing one."""
        for now in range(CRASHES_TO_QUARANTINE_PART):
            self.crash(float(now), request=b"same")
        self.answer(5.0, SERVICE)
        self.assertFalse(self.is_due(10.0))

    def test_crashes_of_a_part_long_ago_do_not_count(self) -> None:
        for number in range(9):
            self.crash(number * PART_EVIDENCE_RETENTION_S / 2 + number)
            self.answer(self.crashes * PART_EVIDENCE_RETENTION_S, SERVICE)
            self.assertFalse(self.is_due(self.crashes * PART_EVIDENCE_RETENTION_S))

    def test_delayed_report_is_dated_by_its_age(self) -> None:
        """Guards against counting a crash again that an answer has excused."""
        self.crash(0.0)
        self.crash(2.0)
        self.answer(3.0)
        late = msgspec.structs.replace(make_part_report("i-9", b"r"), age_s=10.0)
        for _ in range(3):
            self.evidence.record([late], now=12.0)
        self.assertEqual(self.evidence.list_asked(), ())

    def test_asked_suspects_stay_bounded(self) -> None:
        for number in range(3 * MAX_ASKED):
            for crash in range(2):
                report = make_crash_report(number.to_bytes(16, "big"), f"i-{crash}")
                self.evidence.record([report], now=0.0)
        self.assertEqual(len(self.evidence.list_asked()), MAX_ASKED + 1)

    def test_answers_are_passed_on_to_other_replicas_for_a_limited_time(self) -> None:
        """Guards against a leader that does not hear of an answer which another replica has."""
        self.crash(0.0)
        self.crash(2.0)
        self.answer(3.0)
        self.assertEqual(self.evidence.list_answered(now=4.0), (AnsweredReport(PART, 1.0),))
        self.assertEqual(self.evidence.list_answered(now=3.1 + REPORT_DURATION_S), ())


class SpreadTest(unittest.TestCase):
    def test_replicas_agree_despite_message_loss(self) -> None:
        """Guards against losing evidence when messages are lost or a replica restarts.

        Three routers see one crash each, 30 % of the messages are lost, and one replica
        loses its state.
        """
        for seed in range(50):
            random_source = random.Random(seed)
            replicas = [CrashEvidence() for _ in range(3)]
            reports = [[make_crash_report(POISON, f"i-{number}")] for number in range(3)]
            for step in range(int(2 * REPORT_DURATION_S / 0.3)):
                now = step * 0.3
                if step == 2:
                    replicas[0] = CrashEvidence()
                if now <= REPORT_DURATION_S:
                    for replica, report in zip(replicas, reports, strict=True):
                        if random_source.random() > LOSS_RATE:
                            replica.record(report, now=now)
                for source, target in itertools.permutations(replicas, 2):
                    if random_source.random() > LOSS_RATE:
                        target.record(source.list_recent(now=now), now=now)
            for replica in replicas:
                due = replica.list_due(Quarantine(), at=0.0, now=now)
                self.assertEqual(len(due), 1, f"seed {seed}")
                self.assertEqual(len(due[0].crashes), CRASHES_TO_QUARANTINE)


class StoredEvidenceTest(unittest.TestCase):
    """A replica that goes on from what it had stored."""

    def restore(self, evidence: CrashEvidence, *, age_s: float) -> CrashEvidence:
        restored = CrashEvidence()
        restored.restore(evidence.store(now=0.0), age_s=age_s, now=0.0)
        return restored

    def test_stored_reports_stay_bounded_and_hold_the_most_frequent_suspects(self) -> None:
        """Guards against a file that grows with each crash, and a suspect pushed out of it."""
        evidence = CrashEvidence()
        for number in range(MAX_STORED + 100):
            report = make_crash_report(b"%016d" % number, f"i-{number}")
            evidence.record([report], now=0.0)
        evidence.record([make_part_report(f"e-{n}", b"%d" % n) for n in range(2)], now=0.0)
        stored = evidence.store(now=0.0)
        self.assertEqual(len(stored.crash_reports), MAX_STORED)
        self.assertEqual([one.part for one in stored.crash_reports[:2]], ["5eed", "5eed"])

    def test_only_crashes_of_the_last_minute_are_passed_on(self) -> None:
        """Guards against hours of reports sent to all replicas after each restart."""
        evidence = CrashEvidence()
        evidence.record([make_part_report("i-1", b"1")], now=0.0)
        for age_s, count in ((RESEND_WINDOW_S, 1), (RESEND_WINDOW_S + 1.0, 0)):
            restored = self.restore(evidence, age_s=age_s)
            self.assertEqual(len(restored.list_recent(now=0.0)), count)
            self.assertEqual(len(restored), 1)


if __name__ == "__main__":
    unittest.main()
