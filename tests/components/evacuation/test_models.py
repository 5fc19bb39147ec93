"""Zone orders that are repeated, concurrent or delayed."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from chivetrack.components.evacuation.models import Evacuations, OrderOutcome, ZoneOrder


def make_order(zone: str = "z1", *, is_evacuated: bool = True, seen: int = 0) -> ZoneOrder:
    return ZoneOrder(zone=zone, is_evacuated=is_evacuated, seen_revision=seen, at=5.0)


class EvacuationsTest(unittest.TestCase):
    def test_repeated_order_changes_nothing(self) -> None:
        """The acknowledgement is lost, and the operator sends the order again."""
        once, first = Evacuations().apply(make_order(), 7)
        twice, second = once.apply(make_order(), 9)
        self.assertEqual(first, OrderOutcome(revision=7, is_in_force=True))
        self.assertEqual((twice, second), (once, first))
        self.assertEqual(once.list_evacuated(), ("z1",))

    def test_resend_after_withdrawal_is_dropped(self) -> None:
        """A frozen replica delays a resend until after the withdrawal was acknowledged.

        If it were applied, the zone would be evacuated again without the operator knowing.
        """
        evacuated, _ = Evacuations().apply(make_order(), 7)
        back, withdrawn = evacuated.apply(make_order(is_evacuated=False, seen=7), 8)
        self.assertTrue(withdrawn.is_in_force)
        late, outcome = back.apply(make_order(seen=0), 9)
        self.assertEqual(outcome, OrderOutcome(revision=8, is_in_force=False))
        self.assertEqual(late.list_evacuated(), ())
        again, outcome = late.apply(make_order(seen=8), 10)
        self.assertTrue(outcome.is_in_force)
        self.assertEqual(again.list_evacuated(), ("z1",))

    @given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans(), st.booleans()), max_size=30))
    def test_against_an_oracle(self, orders: list[tuple[str, bool, bool]]) -> None:
        """Orders based on the newest state take effect; others only if they change nothing."""
        state = Evacuations()
        expected: dict[str, bool] = {}
        for index, (zone, is_evacuated, is_fresh) in enumerate(orders, start=1):
            seen = state.find(zone).revision if is_fresh else 0
            is_free = is_fresh or zone not in expected
            state, outcome = state.apply(
                make_order(zone, is_evacuated=is_evacuated, seen=seen), index
            )
            if is_free and is_evacuated != expected.get(zone, False):
                expected[zone] = is_evacuated
            self.assertEqual(outcome.is_in_force, expected.get(zone, False) == is_evacuated)
            self.assertEqual(
                sorted(state.list_evacuated()), sorted(name for name in expected if expected[name])
            )


if __name__ == "__main__":
    unittest.main()
