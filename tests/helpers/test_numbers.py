"""Tests of reading numbers that other parties write."""

import unittest

from chivetrack.helpers.numbers import read_count


class ReadCountTest(unittest.TestCase):
    def test_digits_are_read(self) -> None:
        self.assertEqual((read_count("0"), read_count("0420")), (0, 420))

    def test_other_text_counts_as_absent(self) -> None:
        """Guards against a ``ValueError`` for text that only looks like a number."""
        for text in ("", " 1", "-1", "+1", "1.5", "1_0", "²", "٣", "9" * 5000):
            with self.subTest(text[:10]):
                self.assertIsNone(read_count(text))


if __name__ == "__main__":
    unittest.main()
