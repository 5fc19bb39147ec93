"""Tests of the turns of those who read much at once."""

import time
import unittest
from unittest import mock

from chivetrack.helpers import reading_turns
from chivetrack.helpers.reading_turns import SLICE_BYTES, SLICE_S, ReadingTurns, Slices


class Turns(ReadingTurns):
    """Records the waits."""

    def __init__(self) -> None:
        super().__init__()
        self.spent: list[float] = []

    def wait(self, spent_s: float) -> None:
        self.spent.append(spent_s)


class SlicesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        clock = mock.Mock(wraps=time, monotonic=lambda: self.now)
        self.enterContext(mock.patch.object(reading_turns, "time", clock))
        self.turns = Turns()
        self.slices = Slices(turns=self.turns)

    def read(self, size: int, *, decode_s: float = 0.0, wait_s: float = 0.0) -> None:
        self.slices.begin_read()
        self.now += wait_s
        self.slices.end_read(size)
        self.now += decode_s

    def test_bytes_that_lie_ready_get_a_turn_for_each_slice(self) -> None:
        """Guards against one answer that keeps the loop to itself while its bytes lie ready."""
        for _ in range(10):
            self.read(100, decode_s=SLICE_S / 2)
        self.assertEqual(len(self.turns.spent), 4)
        self.assertAlmostEqual(self.turns.spent[0], SLICE_S)

    def test_many_bytes_get_a_turn(self) -> None:
        for _ in range(9):
            self.read(SLICE_BYTES // 4)
        self.assertEqual(len(self.turns.spent), 2)

    def test_stream_that_is_waited_for_gets_none(self) -> None:
        """Guards against events that are delayed although others have had their turn."""
        for _ in range(100):
            self.read(1000, decode_s=SLICE_S / 2, wait_s=0.01)
        self.assertEqual(self.turns.spent, [])

    def test_slice_ends_with_its_message(self) -> None:
        self.read(100, decode_s=2 * SLICE_S)
        self.slices.end_message()
        self.read(100)
        self.assertEqual(self.turns.spent, [])


if __name__ == "__main__":
    unittest.main()
