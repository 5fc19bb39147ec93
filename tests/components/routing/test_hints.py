"""Cache hints from events that come late, twice, out of order or not at all."""

import unittest

from chivetrack.components.routing.hints import CacheHints

KEY = b"chat-one"


class CacheHintsTest(unittest.TestCase):
    def test_fault_table(self) -> None:
        """A chat was served on engine a, then spilled to b; events arrive as they like.

        A hint that follows an old event sends the chat to an engine without its last
        turn, so the newest by the engine's time wins, and a restart empties a cache.
        """
        store_a = ("store", "a", 1, 10.0)
        store_b = ("store", "b", 1, 20.0)
        cases = {
            "in order": ([store_a, store_b], "b"),
            "reordered": ([store_b, store_a], "b"),
            "twice": ([store_a, store_b, store_a, store_b], "b"),
            "newest lost": ([store_a], "a"),
            "evicted": ([store_a, ("evict", "a", 1, 15.0)], None),
            "late eviction of an earlier copy": ([store_a, ("evict", "a", 1, 5.0)], "a"),
            "eviction elsewhere": ([store_b, ("evict", "a", 1, 30.0)], "b"),
            "restart": ([store_b, ("restart", "b", 2, 0.0)], None),
            "event from before the restart": ([("restart", "b", 2, 0.0), store_b], None),
            "late event from before a restart spoils no good hint": (
                [store_a, ("restart", "b", 2, 0.0), store_b],
                "a",
            ),
            "older copy elsewhere after a restart": (
                [store_b, ("restart", "b", 2, 0.0), store_a],
                "a",
            ),
            "stored again after the restart": (
                [store_b, ("restart", "b", 2, 0.0), ("store", "b", 2, 25.0)],
                "b",
            ),
        }
        for name, (events, expected) in cases.items():
            with self.subTest(name):
                hints = CacheHints()
                for kind, endpoint_id, incarnation, at in events:
                    if kind == "store":
                        hints.store(KEY, endpoint_id, incarnation, stored_at=at)
                    elif kind == "evict":
                        hints.evict(KEY, endpoint_id, incarnation, evicted_at=at)
                    else:
                        hints.restart(endpoint_id, incarnation)
                self.assertEqual(hints.find(KEY, 30.0), expected)

    def test_hints_age_and_are_bounded(self) -> None:
        hints = CacheHints(capacity=3, max_age_s=60.0)
        for number in range(10):
            hints.store(bytes([number]), "a", 1, stored_at=float(number))
        self.assertEqual(len(hints), 3)
        self.assertEqual(hints.find(bytes([9]), 60.0), "a")
        self.assertIsNone(hints.find(bytes([9]), 70.0))
