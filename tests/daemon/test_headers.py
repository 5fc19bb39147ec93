"""Tests of the parser for the header lines of a request."""

import io
import time
import unittest

from chivetrack.daemon.headers import read_headers
from chivetrack.exceptions import FaultError

BLANKS = b" " * 16_000
MAX_TIME_S = 1.0


class RequestHeadersTest(unittest.TestCase):
    def test_runs_of_blanks_take_linear_time(self) -> None:
        """Guards against one caller's header line that holds up a router and all its callers."""
        began = time.process_time()
        for line in (b"X:" + BLANKS + b"\x00\r\n\r\n", b"X: a" + BLANKS + b"\x00\r\n\r\n"):
            with self.assertRaises(FaultError):
                read_headers(io.BytesIO(line))
        headers = read_headers(io.BytesIO(b"X:" + BLANKS + b"a" + BLANKS + b"b \t\r\n\r\n"))
        self.assertEqual(headers.get("x"), f"a{BLANKS.decode()}b")
        self.assertLess(time.process_time() - began, MAX_TIME_S)

    def test_blanks_around_a_value_are_no_part_of_it(self) -> None:
        headers = read_headers(io.BytesIO(b"X:\t a b \t\nY:\r\n\r\n"))
        self.assertEqual((headers.get("x"), headers.get("Y")), ("a b", ""))


if __name__ == "__main__":
    unittest.main()
