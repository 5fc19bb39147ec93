"""Unsound heads of answers on connections that another router carries."""

import unittest

from chivetrack.components.upstream.connection import MaybeRanError
from chivetrack.components.upstream.models import BrokenAnswerError
from tests.components.upstream.test_cut_answers import BODY, INTERIM, UNSOUND_HEADS
from tests.daemon.fleet.scripted import close_after
from tests.daemon.fleet.test_dialer import DialerCase


class CarriedHeadTest(DialerCase):
    def is_taken(self, sent: bytes) -> bool:
        record = self.open(close_after(sent))
        try:
            self.exchange(record)
        except (MaybeRanError, BrokenAnswerError):
            return False
        return True

    def test_unsound_head_is_no_answer(self) -> None:
        """Guards against heads that are read otherwise where another router carries them."""
        self.make_troubled()
        taken = [
            (name, bool(before))
            for name, head in UNSOUND_HEADS.items()
            for before in (b"", INTERIM)
            if self.is_taken(before + head + BODY)
        ]
        self.assertEqual(taken, [])


if __name__ == "__main__":
    unittest.main()
