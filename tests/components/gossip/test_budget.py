"""The byte budget against an oracle that sums every window."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from chivetrack.components.gossip.budget import ByteBudget
from chivetrack.components.gossip.const import PROBE_BURST_S, PROBE_SHARE

STEPS = st.lists(st.tuples(st.floats(0.0, 0.6, allow_nan=False), st.integers(0, 3000)), max_size=60)


class ByteBudgetTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=300)
    @given(steps=STEPS, rate=st.integers(2048, 19 * 1024))
    def test_no_window_of_one_second_exceeds_the_rate(
        self, steps: list[tuple[float, int]], rate: int
    ) -> None:
        budget = ByteBudget(bytes_per_s=rate)
        paid: list[tuple[float, int]] = []
        now = 0.0
        for wait, size in steps:
            now += wait
            room = budget.get_room(now)
            self.assertEqual(budget.charge(size, now), size <= room)
            if size <= room:
                paid.append((now, size + budget.overhead_bytes))
        for first, _ in paid:
            window = sum(size for at, size in paid if first <= at < first + 1.0)
            self.assertLessEqual(window, rate)

    def test_rejects_rates_outside_the_allowed_range(self) -> None:
        for rate in (0, 2047, 19 * 1024 + 1):
            with self.subTest(rate=rate), self.assertRaises(ValueError):
                ByteBudget(bytes_per_s=rate)

    def test_probes_keep_to_their_share(self) -> None:
        """Probes for many suspects at once must leave room for load counts."""
        budget = ByteBudget(bytes_per_s=4096)
        sent = sum(budget.charge_probe(16, 0.0) for _ in range(100))
        self.assertEqual(sent, int(4096 * PROBE_SHARE * PROBE_BURST_S / 200))
        self.assertTrue(budget.charge(16, 0.0))
