"""Tests of messages that cannot be decoded."""

import unittest

from chivetrack.components.store.queries import GetResource
from chivetrack.helpers.codec import DecodeError, decode, get_kind, pack, unpack

NESTING = b"\x91" * 10_000 + b"\x90"
QUERY = GetResource("k", "n")


class CodecTest(unittest.TestCase):
    def test_packed_message_is_unpacked(self) -> None:
        self.assertEqual(unpack(pack(QUERY)), QUERY)

    def test_deep_nesting_is_a_decode_error(self) -> None:
        """Guards against a nested message that ends the greenlet of its receiver."""
        with self.assertRaises(DecodeError):
            unpack(b"\x92\xa9store/get" + NESTING)
        with self.assertRaises(DecodeError):
            decode(get_kind(QUERY), b"\x93\xa1k\xa1n" + NESTING)


if __name__ == "__main__":
    unittest.main()
