"""Tests for cache hints from events that are late, duplicated, reordered or lost."""

import unittest

from chivetrack.components.routing.const import HINTS_SILENCE_S, HINTS_WARM_UP_S
from chivetrack.components.routing.hints import CacheHints

KEY = b"chat-one"


class CacheHintsTest(unittest.TestCase):
    def test_faulty_event_sequences(self) -> None:
        """A chat is served by engine a and then by b; events arrive in any order.

        A hint from an old event would send the chat to an engine without its last turn. The
        newest event by the time of the engines must win, and a restart must clear a cache.
        """
        store_a = ("store", "a", 1, 10.0)
        store_b = ("store", "b", 1, 20.0)
        cases = {
            "in order": ([store_a, store_b], ("b", "a")),
            "reordered": ([store_b, store_a], ("b", "a")),
            "twice": ([store_a, store_b, store_a, store_b], ("b", "a")),
            "newest lost": ([store_a], ("a",)),
            "evicted": ([store_a, ("evict", "a", 1, 15.0)], ()),
            "late eviction of an earlier copy": ([store_a, ("evict", "a", 1, 5.0)], ("a",)),
            "eviction elsewhere": ([store_b, ("evict", "a", 1, 30.0)], ("b",)),
            "restart": ([store_b, ("restart", "b", 2, 0.0)], ()),
            "event from before the restart": ([("restart", "b", 2, 0.0), store_b], ()),
            "late event from before a restart keeps a valid hint": (
                [store_a, ("restart", "b", 2, 0.0), store_b],
                ("a",),
            ),
            "older copy elsewhere after a restart": (
                [store_b, ("restart", "b", 2, 0.0), store_a],
                ("a",),
            ),
            "stored again after the restart": (
                [store_b, ("restart", "b", 2, 0.0), ("store", "b", 2, 25.0)],
                ("b",),
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

    def test_hints_expire_and_are_bounded(self) -> None:
        hints = CacheHints(capacity=3, max_age_s=60.0)
        for number in range(10):
            hints.store(bytes([number]), "a", 1, stored_at=float(number))
        self.assertEqual(len(hints), 3)
        self.assertEqual(hints.find(bytes([9]), 60.0), ("a",))
        self.assertEqual(hints.find(bytes([9]), 70.0), ())

    def test_holders_of_a_chat_are_bounded_and_the_newest_are_kept(self) -> None:
        hints = CacheHints(holders=2)
        for at, endpoint_id in ((3.0, "c"), (1.0, "a"), (2.0, "b")):
            hints.store(KEY, endpoint_id, 1, stored_at=at)
        self.assertEqual(hints.find(KEY, 5.0), ("c", "b"))
        hints.restart("d", 2)
        hints.store(KEY, "d", 1, stored_at=4.0)
        self.assertEqual(hints.find(KEY, 5.0), ("c", "b"))

    def test_warm_only_after_warm_up_and_while_events_arrive(self) -> None:
        """A router restarts or loses the event stream, and has no hints for any chat.

        Treating every chat as cold would send chats away from the homes with their context.
        """
        hints = CacheHints()
        self.assertFalse(hints.is_warm(0.0))
        hints.store(KEY, "a", 1, stored_at=0.0)
        self.assertFalse(hints.is_warm(1.0))
        hints.store(KEY, "a", 1, stored_at=HINTS_WARM_UP_S)
        self.assertTrue(hints.is_warm(HINTS_WARM_UP_S))
        self.assertFalse(hints.is_warm(HINTS_WARM_UP_S + HINTS_SILENCE_S + 1.0))
