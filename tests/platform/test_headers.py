"""Headers of the platform: decoding, and which ones are forwarded to which side."""

import unittest

from chivetrack.components.traffic.requests import EndpointLoadFacts, PromptPart
from chivetrack.components.upstream.answer_head import AnswerHeaders
from chivetrack.platform.headers import (
    list_answer_headers,
    make_endpoint_headers,
    read_answer_facts,
    read_request_facts,
)


def make_headers(**fields: str) -> AnswerHeaders:
    headers = AnswerHeaders()
    for name, value in fields.items():
        headers.add(name.replace("_", "-"), value)
    return headers


class RequestFactsTest(unittest.TestCase):
    def test_valid_headers_are_decoded(self) -> None:
        facts = read_request_facts(
            {
                "x-chivetrack-attempt-id": "9c41",
                "x-chivetrack-deadline-ms": "1500",
                "x-chivetrack-key": "k",
                "x-chivetrack-model": "m",
                "x-chivetrack-token-counts": "1460,80",
                "x-chivetrack-prompt-prefix": "5c1e:800,91bd:410,e440:250",
                "x-chivetrack-length-hint": "33",
                "last-event-id": "12",
                "resumes": "8b30",
            }
        )
        self.assertEqual(facts.wait_s, 1.5)
        self.assertEqual(facts.resumes, "8b30")
        self.assertEqual((facts.prompt_tokens, facts.max_output_tokens), (1460, 80))
        self.assertEqual(facts.shared_parts, (PromptPart("5c1e", 800), PromptPart("91bd", 410)))
        self.assertEqual((facts.expected_tokens, facts.last_event_id), (33, "12"))

    def test_malformed_values_count_as_absent(self) -> None:
        cases = [
            ("x-chivetrack-deadline-ms", "soon"),
            ("x-chivetrack-deadline-ms", "-5"),
            ("x-chivetrack-deadline-ms", "inf"),
            ("x-chivetrack-deadline-ms", "nan"),
            ("x-chivetrack-deadline-ms", "1_000"),
            ("x-chivetrack-deadline-ms", "1e3"),
            ("x-chivetrack-deadline-ms", "+5"),
            ("x-chivetrack-deadline-ms", "9" * 30),
            ("x-chivetrack-token-counts", "1460"),
            ("x-chivetrack-token-counts", "a,b"),
            ("x-chivetrack-token-counts", "²,1"),
            ("x-chivetrack-token-counts", f"{'9' * 5000},1"),
            ("x-chivetrack-prompt-prefix", "5c1e,:3,x:y,,"),
            ("x-chivetrack-prompt-prefix", "5c1e:²"),
            ("x-chivetrack-length-hint", "?"),
            ("x-chivetrack-length-hint", "1e3"),
            ("x-chivetrack-length-hint", "9" * 30),
        ]
        for name, value in cases:
            with self.subTest(name=name, value=value):
                facts = read_request_facts({name: value})
                self.assertIsNone(facts.wait_s)
                self.assertEqual((facts.prompt_tokens, facts.max_output_tokens), (0, 0))
                self.assertEqual((facts.parts, facts.expected_tokens), ((), 0))


class EndpointHeadersTest(unittest.TestCase):
    def test_reserved_headers_of_callers_are_not_forwarded(self) -> None:
        """Guards against forwarding headers that only routers may set.

        A tenth of the callers send such headers. An endpoint refuses a forged hold or
        continuation, which looks like overload, and would accept a forged workspace.
        """
        for name in (
            "X-Chivetrack-Key",
            "X-Chivetrack-Tenant",
            "X-Chivetrack-Expect-Instance",
            "X-Chivetrack-Expect-Version",
            "X-Chivetrack-Request-Priority",
            "X-Chivetrack-Hold",
            "X-Chivetrack-Pin-Ms",
            "X-Chivetrack-Kv-Backup",
            "Kv-From",
            "kv-from",
            "Kv-Fetch",
            "Connection",
            "Transfer-Encoding",
            "Content-Length",
            "Upgrade",
        ):
            lines = self.make([(name, "forged"), ("X-Own", "1"), ("Host", "h")])
            self.assertNotIn("forged", [value for _, value in lines], name)
            self.assertIn(("X-Own", "1"), lines)
            self.assertIn(("Host", "h"), lines)

    def test_router_sets_its_own_headers(self) -> None:
        lines = dict(self.make([("X-Chivetrack-Attempt-Id", "9c41")]))
        self.assertEqual(lines["X-Chivetrack-Attempt-Id"], "9c41")
        self.assertEqual(lines["X-Chivetrack-Deadline-Ms"], "1250")
        self.assertEqual(lines["X-Chivetrack-Expect-Instance"], "e1")
        self.assertEqual(lines["X-Chivetrack-Tenant"], "w")
        self.assertEqual(lines["Last-Event-Id"], "7")

    def make(self, lines: list[tuple[str, str]]) -> list[tuple[str, str]]:
        return make_endpoint_headers(
            lines,
            endpoint_id="e1",
            workspace="w",
            remaining_s=1.25,
            last_event_id="7",
            priority=None,
        )


class AnswerFactsTest(unittest.TestCase):
    def test_seal_not_executed_and_misdirected(self) -> None:
        cases = [
            (200, {"X_Chivetrack_Server_Seal": "s"}, (True, False, False)),
            (200, {}, (False, False, False)),
            (503, {"X_Chivetrack_Not_Executed": "1"}, (False, True, False)),
            (503, {}, (False, False, False)),
            (421, {}, (False, True, True)),
        ]
        for status, fields, expected in cases:
            with self.subTest(status=status, fields=fields):
                facts = read_answer_facts(status, make_headers(**fields))
                found = (facts.is_sealed, facts.did_not_run, facts.is_other_instance)
                self.assertEqual(found, expected)

    def test_load_and_keep_alive(self) -> None:
        facts = read_answer_facts(
            200, make_headers(X_Chivetrack_Server_Load="3,0,8", Keep_Alive="timeout=4, max=9")
        )
        self.assertEqual(facts.load, EndpointLoadFacts(running=3, waiting=0, slots=8))
        self.assertEqual(facts.keep_alive_s, 4.0)
        look_alike = read_answer_facts(200, make_headers(X_Chivetrack_Server_Load="3,²,8"))
        self.assertIsNone(look_alike.load)
        malformed = read_answer_facts(
            200, make_headers(X_Chivetrack_Server_Load="3,0", Keep_Alive="max=9")
        )
        self.assertIsNone(malformed.load)
        self.assertIsNone(malformed.keep_alive_s)

    def test_cold_endpoint(self) -> None:
        facts = read_answer_facts(200, make_headers(X_Chivetrack_Cold_Ms="1500"))
        self.assertEqual(facts.cold_s, 1.5)
        for text in ("", "soon", "-3"):
            self.assertEqual(
                read_answer_facts(200, make_headers(X_Chivetrack_Cold_Ms=text)).cold_s, 0
            )

    def test_unsound_numbers_count_as_absent(self) -> None:
        """Guards against a pause, a cold time or a kept connection of a length never stated."""
        for text in ("1_0", "1e3", "+5", "-5", "5s", "5 5", ".5", "5.", "\xa05", "inf", "9" * 30):
            with self.subTest(text):
                facts = read_answer_facts(
                    503,
                    make_headers(
                        Retry_After=text,
                        X_Chivetrack_Cold_Ms=text,
                        Keep_Alive=f"timeout={text}",
                        X_Chivetrack_Server_Load=f"{text},0,8",
                    ),
                )
                self.assertIsNone(facts.retry_after_s)
                self.assertEqual((facts.pause_s, facts.cold_s), (0.0, 0.0))
                self.assertIsNone(facts.load)
                self.assertIsNone(facts.keep_alive_s)

    def test_numbers_with_fractions(self) -> None:
        facts = read_answer_facts(503, make_headers(Retry_After="0.25", Keep_Alive="timeout=1.5"))
        self.assertEqual((facts.pause_s, facts.keep_alive_s), (0.25, 1.5))

    def test_number_that_is_stated_twice_counts_as_absent(self) -> None:
        """Guards against believing one of two statements that differ."""
        headers = make_headers(
            Retry_After="1", X_Chivetrack_Cold_Ms="1000", X_Chivetrack_Server_Load="3,0,8"
        )
        headers.add("retry-after", "90")
        headers.add("x-chivetrack-cold-ms", "9000")
        headers.add("x-chivetrack-server-load", "0,0,8")
        facts = read_answer_facts(503, headers)
        self.assertEqual((facts.retry_after_s, facts.pause_s, facts.cold_s), (None, 0.0, 0.0))
        self.assertIsNone(facts.load)

    def test_statement_not_to_have_run_needs_a_refusal(self) -> None:
        """Guards against a request that runs twice since an answer of a run denies the run."""
        for status in (200, 204, 404, 408, 500, 502, 504):
            facts = read_answer_facts(status, make_headers(X_Chivetrack_Not_Executed="1"))
            self.assertFalse(facts.did_not_run, status)
        for status in (400, 421, 429, 503):
            facts = read_answer_facts(status, make_headers(X_Chivetrack_Not_Executed="1"))
            self.assertTrue(facts.did_not_run, status)

    def test_close_is_an_option_of_any_connection_line(self) -> None:
        headers = make_headers(Connection="x-closely")
        self.assertFalse(read_answer_facts(200, headers).closes)
        headers.add("connection", "x, Close")
        self.assertTrue(read_answer_facts(200, headers).closes)

    def test_hop_by_hop_headers_are_not_returned_to_the_caller(self) -> None:
        headers = [("X-Chivetrack-Server-Seal", "s"), ("Connection", "close"), ("X-A", "1")]
        self.assertEqual(
            list_answer_headers(headers), [("X-Chivetrack-Server-Seal", "s"), ("X-A", "1")]
        )


if __name__ == "__main__":
    unittest.main()
