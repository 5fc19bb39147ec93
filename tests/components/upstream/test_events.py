"""Tests of the splitter of event streams."""

import random
import time
import unittest

from chivetrack.components.upstream.const import MAX_EVENT_BYTES
from chivetrack.components.upstream.events import EventSplitter


class EventSplitterTest(unittest.TestCase):
    def test_any_split_gives_whole_events(self) -> None:
        """Guards against a blank line that is missed where it comes in two pieces."""
        for seed in range(200):
            chooser = random.Random(seed)
            events = [
                b"id: %d\r\ndata: x\r\n\r\n" % one if one % 2 else b"id: %d\ndata: x\n\n" % one
                for one in range(1, chooser.randrange(2, 9))
            ]
            data = b"".join(events) + b"id: 99"
            splitter = EventSplitter()
            got = b""
            while data:
                size = chooser.randrange(1, 30)
                got += splitter.feed(data[:size])
                data = data[size:]
                self.assertTrue(got.endswith((b"\n\n", b"\r\n\r\n", b"")))
            self.assertEqual(got, b"".join(events))
            self.assertEqual(splitter.last_id, str(len(events)))
            self.assertTrue(splitter.has_partial_event)

    def test_event_that_comes_byte_by_byte(self) -> None:
        """Guards against an event that is copied and searched again with each of its bytes."""

        def measure(size: int) -> float:
            splitter = EventSplitter()
            began = time.process_time()
            for _ in range(size):
                splitter.feed(b"x")
            return time.process_time() - began

        few = min(measure(MAX_EVENT_BYTES // 16) for _ in range(3))
        # Sixteen times as many take sixteen times as long, or 256 times if each copies the rest.
        self.assertLess(measure(MAX_EVENT_BYTES), 64 * few)


if __name__ == "__main__":
    unittest.main()
