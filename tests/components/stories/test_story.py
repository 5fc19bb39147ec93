"""Tests of the story of a request from the log lines of several instances."""

import json
import unittest

from chivetrack.components.stories.story import RequestStory, build_story, read_events


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
            (("request_given_up", {"why": "no_endpoint_of_version", "began_at": "v1"}), "n v1 is"),
            (("request_given_up", {"why": "version_unconfirmed"}), "too few replicas"),
            (("request_given_up", {"why": "no_budget", "tries": 1}), "budget of the fleet"),
            (("request_given_up", {"why": "suspected", "tries": 1}), "so it was not sent again"),
            (
                ("request_rejected", {"code": "request_quarantined", "crashed": ["e1", "e2"]}),
                "e1, e2 crashed under it",
            ),
            (
                ("request_rejected", {"code": "request_quarantined", "part": "5eed"}),
                "crashed under requests with the part 5eed",
            ),
            (("request_ended", {"outcome": "timeout", "ms": 800}), "deadline"),
            (("request_ended", {"outcome": "answered", "status": 200, "ms": 8}), "with 200"),
            (("request_placed", {}), "no event shows"),
        ]
        for (event, fields), expected in cases:
            story = build_story("q", read_events([make_line(1.0, event, request="q", **fields)]))
            assert story is not None
            self.assertIn(expected, story.cause)

    def test_retry_without_budget_is_told_although_the_caller_got_an_answer(self) -> None:
        lines = [
            make_line(1.0, "try_ended", request="q", endpoint="e1", outcome="failed"),
            make_line(1.1, "request_given_up", request="q", why="no_budget", tries=1),
            make_line(1.2, "request_ended", request="q", outcome="answered", status=500, tries=1),
        ]
        story = build_story("q", read_events(lines))
        assert story is not None
        self.assertIn("the retry budget of the fleet had no room; endpoint e1", story.cause)

    def test_way_of_a_stream_over_requests_and_versions(self) -> None:
        """Guards against a stream on two versions that the story of one request does not show."""

        def place(at: float, request: str, endpoint: str, **fields: object) -> str:
            values = {"software": "v1", "resumes": "", "last_event": "", **fields}
            return make_line(at, "request_placed", request=request, endpoint=endpoint, **values)

        lines = [
            place(1.0, "q1", "e1"),
            place(2.0, "q1", "e2", last_event="7", known_by="own"),
            place(3.0, "q2", "e3", last_event="9", resumes="q1", known_by="told"),
            make_line(
                4.0, "stream_refused", request="q3", resumes="q1", last_event="12", why="no_record"
            ),
            make_line(4.1, "request_ended", request="q3", outcome="answered", status=503, ms=4),
            place(5.0, "other", "e1", software="v2"),
        ]
        expected = [
            "q1 at r1: placed at version v1 on e1",
            "q1 at r1: goes on after event 7 at version v1 on e2 (own)",
            "q2 at r1: goes on after event 9 at version v1 on e3 (told)",
            "q3 at r1: refused after event 12 (no_record)",
        ]
        for request in ("q1", "q2", "q3"):
            story = build_story(request, read_events(lines))
            assert story is not None
            self.assertEqual([step.describe() for step in story.steps], expected)
        self.assertIn("it has not run: several versions may have begun it", story.cause)
        other = build_story("other", read_events(lines))
        assert other is not None
        self.assertEqual(other.steps, ())

    def test_stream_that_ends_with_its_version_says_so(self) -> None:
        """Guards against a broken answer whose story does not name the version that is missing."""
        lines = [
            make_line(
                1.0, "request_given_up", request="q", why="no_endpoint_of_version", began_at="v1"
            ),
            make_line(1.1, "request_ended", request="q", outcome="cut", status=200, ms=40),
        ]
        story = build_story("q", read_events(lines))
        assert story is not None
        self.assertIn("no endpoint of version v1 is left", story.cause)

    def test_request_that_a_router_runs_at_its_exit(self) -> None:
        """Guards against a request without an end whose story does not name the router's exit."""
        cases = [
            (["exit_decided", "request_placed", "stopped"], "on 1000 ms after it had decided to"),
            (["stopped", "request_placed"], "passed it on 1000 ms after it had decided to exit"),
            (["request_placed", "exit_decided", "stopped"], "exited 1000 ms after it was placed"),
            (["request_placed", "stopped"], "exited 1000 ms after it was placed, while it ran"),
            (["exit_decided", "stopped", "started", "request_placed"], "no event shows"),
            (["request_placed", "started", "stopped"], "no event shows"),
        ]
        for names, expected in cases:
            with self.subTest(names):
                story = self.build([(name, {}) for name in names])
                self.assertIn(expected, story.cause)

    def test_exit_between_two_tries(self) -> None:
        """Guards against a story that takes a failed try for the end of a request."""
        tried = {"endpoint": "e1", "outcome": "refused"}
        story = self.build([("request_placed", {}), ("try_ended", tried), ("stopped", {})])
        self.assertTrue(story.cause.startswith("its router exited 2000 ms after"), story.cause)
        self.assertIn("endpoint e1: refused", story.cause)

    def test_exit_after_the_last_event_is_shown(self) -> None:
        """Guards against a story that leaves out the exit that followed a request."""
        ended = ("request_ended", {"outcome": "cut_by_stop", "status": 0, "ms": 9})
        story = self.build([("exit_decided", {}), ended, ("stopped", {}), ("started", {})])
        self.assertEqual([event["event"] for event in story.context], ["exit_decided", "stopped"])

    def test_exit_of_another_instance_is_no_cause(self) -> None:
        """Guards against blaming the exit of a router that never had the request."""
        lines = [make_line(2.0, "request_placed", request="q")]
        lines.append(make_line(1.0, "stopped", instance="r2"))
        story = build_story("q", read_events(lines))
        assert story is not None
        self.assertIn("no event shows", story.cause)
        self.assertEqual(story.context, ())

    def test_request_that_is_refused_behind_the_decision_to_exit(self) -> None:
        """Guards against a story that does not tell whether a late request has run."""
        cases = [(503, "refused with 503 1000 ms after its"), (502, "it may have run")]
        for status, expected in cases:
            rejected = ("request_rejected", {"code": "instance_stopping", "status": status})
            ended = ("request_ended", {"outcome": "answered", "status": status})
            story = self.build([("exit_decided", {}), rejected, ended])
            self.assertIn(expected, story.cause)
        early = self.build([rejected, ("exit_decided", {})])
        self.assertEqual(early.cause, "rejected by the router itself: instance_stopping")

    def test_refusal_of_an_admitted_request_is_the_cause(self) -> None:
        """Guards against a story that tells the status of a refusal and not its reason."""
        rejected = ("request_rejected", {"code": "instance_stopping", "status": 503})
        ended = ("request_ended", {"outcome": "answered", "status": 503, "tries": 0})
        story = self.build([rejected, ended, ("exit_decided", {})])
        self.assertEqual(story.cause, "rejected by the router itself: instance_stopping")

    def test_events_of_the_same_millisecond_keep_their_order(self) -> None:
        """Guards against a story that shows an exit before what the router wrote before it."""
        for names in (["request_placed", "stopped"], ["stopped", "request_placed"]):
            owners = [{"request": "q"} if name == "request_placed" else {} for name in names]
            lines = [make_line(1.0, name, **own) for name, own in zip(names, owners, strict=True)]
            story = build_story("q", read_events(lines))
            assert story is not None
            self.assertEqual([event["event"] for event in story.timeline], names)

    def test_ends_that_a_stop_cuts(self) -> None:
        """Guards against one wording for cut requests that have run and that have not."""
        cases = [(503, "it has not run"), (502, "it may have run"), (200, "was complete")]
        for status, expected in cases:
            ended = {"outcome": "cut_by_stop", "status": status, "ms": 9}
            self.assertIn(expected, self.build([("request_ended", ended)]).cause)

    @staticmethod
    def build(events: list[tuple[str, dict[str, object]]]) -> RequestStory:
        """Return the story of request ``q`` from events of one router, a second apart."""
        lines = []
        for at, (name, fields) in enumerate(events):
            own = {} if name in ("exit_decided", "stopped", "started") else {"request": "q"}
            lines.append(make_line(float(at), name, **own, **fields))
        story = build_story("q", read_events(lines))
        assert story is not None
        return story

    def test_way_through_a_carrier(self) -> None:
        """Guards against a story that does not show which routers a request went through."""
        carried = make_line(2.2, "connection_carried", request="q", endpoint="e1", instance="r2")
        lines = [
            make_line(1.0, "path_changed", endpoint="e1", state="broken"),
            make_line(2.0, "request_placed", request="q", endpoint="e1"),
            make_line(2.1, "request_carried", request="q", endpoint="e1", carrier="r2"),
            make_line(2.3, "request_ended", request="q", outcome="answered", status=200, ms=9),
            make_line(2.4, "exit_decided", instance="r2"),
            carried.replace("2.2", "2.5"),
        ]
        story = build_story("q", read_events(lines))
        assert story is not None
        self.assertEqual(story.cause, "answered with 200 after 9 ms, carried by r2")
        self.assertEqual(len(story.events), 4)
        self.assertEqual([one["event"] for one in story.context], ["path_changed"])
        alone = build_story("q", read_events([carried]))
        assert alone is not None
        self.assertIn("only carried by r2", alone.cause)

    def test_unknown_request(self) -> None:
        self.assertIsNone(build_story("q", read_events([make_line(1.0, "started")])))


if __name__ == "__main__":
    unittest.main()
