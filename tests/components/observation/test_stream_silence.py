"""Tests of the decision when a silent stream goes on at another endpoint, by replayed times."""

import unittest

from chivetrack.components.observation.stream_silence import (
    MoveReason,
    decide_move,
    find_patience,
    may_move,
)

# (seconds of silence, is the endpoint known to be gone) as a router learns it, every 0.1 s.
PREEMPTED_2_2_S = [(step / 10, False) for step in range(10, 23)]
PREEMPTED_5_S = [(step / 10, False) for step in range(10, 51)]
DARK = [(step / 10, step >= 17) for step in range(10, 51)]


def replay(
    silences: list[tuple[float, bool]],
    *,
    patience_s: float = 4.0,
    start_s: float | None = 0.3,
    ends_after_s: float = 15.0,
) -> tuple[float, MoveReason] | None:
    """Return when and why the stream goes on elsewhere, ``None`` if it waits."""
    for silent_s, is_gone in silences:
        if not may_move(silent_s=silent_s, patience_s=patience_s, is_gone=is_gone):
            continue
        reason = decide_move(
            silent_s=silent_s,
            patience_s=patience_s,
            start_s=start_s,
            left_s=ends_after_s - silent_s,
            is_gone=is_gone,
        )
        if reason is not None:
            return silent_s, reason
    return None


class PatienceTest(unittest.TestCase):
    def test_longest_of_the_three(self) -> None:
        cases = {(0.4, 0.2): 2.0, (1.0, 0.3): 4.0, (0.4, 0.5): 4.0, (0.0, 0.0): 2.0}
        for (target_s, longest_pause_s), expected_s in cases.items():
            found = find_patience(target_s=target_s, longest_pause_s=longest_pause_s)
            self.assertEqual(found, expected_s)


class MoveTest(unittest.TestCase):
    def test_preempted_stream_waits_for_its_endpoint(self) -> None:
        """Guards against cutting a stream whose engine goes on before its caller would leave."""
        self.assertIsNone(replay(PREEMPTED_2_2_S))

    def test_stream_goes_on_elsewhere_right_before_its_caller_would_leave(self) -> None:
        """Guards against waiting at a silent endpoint until the caller has left."""
        self.assertEqual(replay(PREEMPTED_5_S), (3.7, MoveReason.PATIENCE))
        self.assertEqual(replay(PREEMPTED_5_S, start_s=2.0), (3.0, MoveReason.PATIENCE))

    def test_stream_leaves_an_endpoint_that_is_gone(self) -> None:
        """Guards against waiting at a dark endpoint as long as at one that may still speak."""
        self.assertEqual(replay(DARK), (1.7, MoveReason.GONE))

    def test_stream_waits_if_no_other_endpoint_may_have_it(self) -> None:
        """Guards against cutting the last attempt although nothing can follow it."""
        for silences in (PREEMPTED_5_S, DARK):
            self.assertIsNone(replay(silences, start_s=None))

    def test_stream_waits_if_another_endpoint_could_not_begin_in_time(self) -> None:
        for silences in (PREEMPTED_5_S, DARK):
            self.assertIsNone(replay(silences, start_s=0.3, ends_after_s=1.2))


if __name__ == "__main__":
    unittest.main()
