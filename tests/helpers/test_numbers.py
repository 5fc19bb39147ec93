"""Tests of reading numbers that other parties write."""

import unittest

from chivetrack.helpers.numbers import read_count, read_decimal


class ReadCountTest(unittest.TestCase):
    def test_digits_are_read(self) -> None:
        self.assertEqual((read_count("0"), read_count("0420")), (0, 420))

    def test_other_text_counts_as_absent(self) -> None:
        """Guards against a ``ValueError`` for text that only looks like a number."""
        for text in ("", " 1", "-1", "+1", "1.5", "1_0", "²", "٣", "9" * 5000):
            with self.subTest(text[:10]):
                self.assertIsNone(read_count(text))


class ReadDecimalTest(unittest.TestCase):
    def test_digits_and_a_fraction_are_read(self) -> None:
        for text, number in (("0", 0.0), ("0420", 420.0), ("1.5", 1.5), ("0.05", 0.05)):
            with self.subTest(text):
                self.assertEqual(read_decimal(text), number)

    def test_other_text_counts_as_absent(self) -> None:
        """Guards against forms of numbers that ``float`` reads and the pages don't allow."""
        texts = ("", " 5", "5 ", "5\n", "-1", "+1", "1_0", "1e3", "inf", "nan", "0x10", "1,5")
        for text in (*texts, ".5", "5.", "1.2.3", "²", "٣", "9" * 19, "1." + "9" * 19):
            with self.subTest(text[:10]):
                self.assertIsNone(read_decimal(text))


if __name__ == "__main__":
    unittest.main()
