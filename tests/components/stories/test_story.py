"""Tests of the story of a request from the log lines of several instances."""

import json
import unittest

from chivetrack.components.stories.story import build_story, read_events


def make_line(at: float, event: str, **fields: object) -> str:
    return json.dumps({"at": at, "up": at, "instance": "r1", "event": event, **fields})


class StoryTest(unittest.TestCase):
    def test_failed_request(self) -> None:
        """A request got 502: its endpoint reset the connection after the request was sent.

        The log lines are out of order and mixed with output of other programs. The cause
        names the status and the endpoint.
        """
        lines = [
            "12.5 r1 "
            + make_line(
                3.0, "request_ended", request="q", outcome="answered", status=502, tries=1, ms=40
            ),
            make_line(2.9, "request_given_up", request="q", why="tries_used_up", tries=1),
            make_line(2.8, "try_ended", request="q", endpoint="e1", outcome="maybe_ran"),
            make_line(1.0, "endpoint_changed", endpoint="e1", state="ready"),
            make_line(2.0, "request_placed", request="q", endpoint="e1"),
            make_line(2.0, "request_placed", request="other", endpoint="e1"),
            "not a line of ours {",
            '{"event": 5}',
        ]
        story = build_story("q", read_events(lines))
        assert story is not None
        names = [event["event"] for event in story.events]
        self.assertEqual(
            names, ["request_placed", "try_ended", "request_given_up", "request_ended"]
        )
        self.assertEqual([event["event"] for event in story.context], ["endpoint_changed"])
        self.assertTrue(story.cause.startswith("ended with status 502 after 1 tries; endpoint e1"))

    def test_causes(self) -> None:
        cases = [
            (("request_rejected", {"code": "unknown_route", "version": 4}), "version 4"),
            (("request_rejected", {"code": "instance_full"}), "instance_full"),
            (("request_given_up", {"why": "no_candidate", "tries": 0, "candidates": 3}), "3 are"),
            (("request_ended", {"outcome": "timeout", "ms": 800}), "deadline"),
            (("request_ended", {"outcome": "answered", "status": 200, "ms": 8}), "with 200"),
            (("request_placed", {}), "no event shows"),
        ]
        for (event, fields), expected in cases:
            story = build_story("q", read_events([make_line(1.0, event, request="q", **fields)]))
            assert story is not None
            self.assertIn(expected, story.cause)

    def test_unknown_request(self) -> None:
        self.assertIsNone(build_story("q", read_events([make_line(1.0, "started")])))


if __name__ == "__main__":
    unittest.main()
