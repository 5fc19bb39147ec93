"""Tests of reading addresses that other parties write."""

import unittest

from chivetrack.helpers.addresses import MAX_ADDRESS_LENGTH, read_address

LONGEST = "[0000:0000:0000:0000:0000:0000:255.255.255.255]:65535"
UNSOUND = (
    "",
    ":",
    "nowhere",
    ":8080",
    "10.0.0.9",
    "10.0.0.9:",
    "10.0.0.9:0",
    "10.0.0.9:65536",
    "10.0.0.9:+80",
    "10.0.0.9:²",
    "10.0.0.9:" + "8" * 5000,
    "127.0.0.9:8080, 127.0.0.10:8080",
    "10.0.0.9:80 ",
    " 10.0.0.9:80",
    "10.0.0.9\r\nHost: a:80",
    "http://10.0.0.9:80",
    "10.0.9:80",
    "010.0.0.9:80",
    "10.0.0.256:80",
    "0x0a000009:80",
    "endpoint:80",
    "é" * 70 + ":80",
    "\ud800:80",
    "0.0.0.0:80",
    "224.0.0.1:80",
    "::1:80",
    "[::1:80",
    "[10.0.0.9]:80",
    "[fe80::1%a b]:80",
    "[::]:80",
    "[::ffff:0.0.0.0]:80",
)


class ReadAddressTest(unittest.TestCase):
    def test_addresses(self) -> None:
        for text in ("10.0.0.9:1", "127.0.0.1:65535", "[::1]:80", "[fe80::9]:443"):
            with self.subTest(text):
                self.assertEqual(str(read_address(text)), text)
        self.assertLessEqual(len(LONGEST), MAX_ADDRESS_LENGTH)
        self.assertIsNotNone(read_address(LONGEST.replace("255.255.255.255", "0000:0001")))

    def test_other_text_counts_as_absent(self) -> None:
        """Guards against a dial that raises, or asks for a name, where an endpoint says its IP."""
        for text in UNSOUND:
            with self.subTest(text[:40]):
                self.assertIsNone(read_address(text))


if __name__ == "__main__":
    unittest.main()
