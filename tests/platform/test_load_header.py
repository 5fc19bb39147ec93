"""Tests of what an endpoint says of its load."""

import unittest

from chivetrack.components.traffic.requests import AnswerFacts, EndpointLoadFacts
from chivetrack.components.upstream.answer_head import AnswerHeaders
from chivetrack.platform.headers import HEADER_LOAD, read_answer_facts


def read(text: str | None) -> AnswerFacts:
    headers = AnswerHeaders()
    if text is not None:
        headers.add(HEADER_LOAD, text)
    return read_answer_facts(200, headers)


class LoadHeaderTest(unittest.TestCase):
    def test_three_and_four_figures(self) -> None:
        """Guards against a load that is dropped since it also states the speed."""
        self.assertEqual(read("3,0,8").load, EndpointLoadFacts(running=3, waiting=0, slots=8))
        load = EndpointLoadFacts(running=3, waiting=1, slots=8, work_factor=2.5)
        self.assertEqual(read("3, 1, 8, 250").load, load)

    def test_unknown_forms_name_no_load(self) -> None:
        """Guards against load that is guessed from another writer's form."""
        for text in ("3,0", "3,0,8,100,7", "3,0,8,", "3,0,8,0", "-3,0,8,100", "a,b,c,d", "3;0;8"):
            facts = read(text)
            self.assertEqual((facts.load, facts.unreadable_load), (None, text))

    def test_no_header_is_no_unknown_form(self) -> None:
        """Guards against log lines about endpoints that state no load."""
        self.assertEqual(read(None).unreadable_load, "")


if __name__ == "__main__":
    unittest.main()
