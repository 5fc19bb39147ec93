"""Keys: random, stored as hashes, compared in constant time."""

import hmac
import unittest
from unittest import mock

from chivetrack.helpers.keys import KeyHolder, KeyRing, hash_key, is_key, make_key, verify_key


class KeyTest(unittest.TestCase):
    def test_keys_differ_and_verify(self) -> None:
        first, second = make_key(), make_key()
        self.assertNotEqual(first, second)
        self.assertTrue(verify_key(first, hash_key(first)))
        self.assertFalse(verify_key(second, hash_key(first)))
        self.assertNotIn(first, hash_key(first))

    def test_secrets_chosen_by_a_person_are_refused(self) -> None:
        for text in (
            "",
            "barrier",
            "ck_barrier",
            make_key() + "x",
            make_key()[:-1],
            "ck_" + "é" * 43,
        ):
            with self.subTest(text=text):
                self.assertFalse(is_key(text))
                self.assertRaises(ValueError, hash_key, text)

    def test_hash_is_not_shown(self) -> None:
        holder = KeyHolder(name="a", hash=hash_key(make_key()))
        self.assertNotIn("sha256", repr(holder))


class KeyRingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.keys = [make_key() for _ in range(3)]
        self.ring = KeyRing(
            holders=[KeyHolder(name=f"h{n}", hash=hash_key(key)) for n, key in enumerate(self.keys)]
        )

    def test_finds_the_holder(self) -> None:
        for number, key in enumerate(self.keys):
            self.assertEqual(self.ring.find_holder(key), f"h{number}")
        for other in (make_key(), "", "é", "\ud800", self.keys[0][:-1]):
            self.assertIsNone(self.ring.find_holder(other))

    def test_every_entry_is_compared_in_constant_time(self) -> None:
        """Guards against response times that reveal something about the stored keys.

        A caller times many refusals. A comparison that ends at the first difference, or a
        search that ends at the first match, would reveal which guess was closer.
        """
        real = hmac.compare_digest
        for key in (self.keys[0], self.keys[2], make_key()):
            with self.subTest(), mock.patch("hmac.compare_digest", side_effect=real) as compare:
                self.ring.find_holder(key)
                self.assertEqual(compare.call_count, 3)
