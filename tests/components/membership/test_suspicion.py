"""Tests of silence detection, the choice of witnesses and the confirmation of deaths."""

import random
import unittest

from chivetrack.components.membership.member import Member
from chivetrack.components.membership.suspicion import (
    choose_witnesses,
    is_confirmed,
    is_isolated,
)
from chivetrack.components.membership.wire import InstanceRecord


def make_member(name: str, *, last_seen_at: float = 0.0) -> Member:
    """Make a member whose zone is the first letter of its name."""
    record = InstanceRecord(f"{name}:1", "region", name[0], (), 1, 0, False)
    return Member(instance_id=name, record=record, last_seen_at=last_seen_at, since=0.0)


class SilenceTest(unittest.TestCase):
    def test_is_measured_by_the_usual_gap(self) -> None:
        """In a large region heartbeats arrive every second instead of every 0.1 s.

        A fixed limit would suspect every instance that loses two heartbeats.
        """
        cases = [(0.2, 2.4, False), (0.2, 2.6, True), (1.0, 4.0, False), (1.0, 8.5, True)]
        for gap_s, silence_s, is_silent in cases:
            with self.subTest(gap_s=gap_s, silence_s=silence_s):
                member = make_member("a1")
                for count in range(1, 200):
                    member.record_contact(count * gap_s)
                self.assertIs(member.is_silent(199 * gap_s + silence_s), is_silent)

    def test_most_silent_means_that_this_one_is_cut_off(self) -> None:
        for silent, total, isolated in [(0, 4, False), (2, 4, False), (3, 4, True), (1, 1, True)]:
            with self.subTest(silent=silent, total=total):
                members = [make_member(f"a{i}", last_seen_at=100.0) for i in range(total)]
                for member in members[:silent]:
                    member.last_seen_at = 0.0
                self.assertIs(is_isolated(members, 100.0), isolated)


class WitnessTest(unittest.TestCase):
    def test_needs_two_denials_and_another_zone(self) -> None:
        """Two routers of zone a, behind one failed switch, can't reach a router in zone c.

        Their denials alone would declare all of zone c dead whenever that switch fails.
        """
        cases: list[tuple[str, str, bool]] = [
            ("", "", False),
            ("a2", "a2", True),
            ("a2 a3 b1", "a2", False),
            ("a2 a3 b1", "a2 a3", False),
            ("a2 a3 b1", "a2 b1", True),
            ("a2 a3", "a2 a3", True),
            ("a2 b1", "a2 gone", False),
        ]
        for candidates, denials, confirmed in cases:
            with self.subTest(candidates=candidates, denials=denials):
                target = make_member("c1")
                target.denials = dict.fromkeys(denials.split(), 0.0)
                listed = [make_member(name) for name in candidates.split()]
                self.assertIs(is_confirmed(target, listed, own_zone="a"), confirmed)

    def test_asks_one_of_another_zone_and_new_ones_first(self) -> None:
        candidates = [make_member(f"a{index}") for index in range(8)] + [make_member("b1")]
        for seed in range(20):
            target = make_member("c1")
            target.asked_witnesses = {f"a{index}" for index in range(6)}
            chosen = choose_witnesses(target, candidates, own_zone="a", random=random.Random(seed))
            self.assertEqual({member.instance_id for member in chosen}, {"b1", "a6", "a7"})
