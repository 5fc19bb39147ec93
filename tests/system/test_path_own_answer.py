"""System tests of the request path: a caller gets its own complete answer or a typed error."""

import http.client
import json
import socket
import time
import unittest
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from functools import partial
from typing import Any, ClassVar

from standins.demo import (
    CALLER_KEY,
    CHAT_PATH,
    MODEL,
    PLAIN_SERVICE,
    Reply,
    apply_workspace,
    call,
    chat,
    wait_routed,
)
from standins.fleet import Fleet, Member, open_fleet
from tests.system.fleets import wait_for

WAIT_LIMIT_S = 15.0
MAX_BODY = 100_000
PLAIN_PATH = f"/services/{PLAIN_SERVICE}/quotes"
TOKENS = 6


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Wait until a condition holds; fail after ``WAIT_LIMIT_S`` seconds."""
    deadline = time.monotonic() + WAIT_LIMIT_S
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"not in time: {what}")
        time.sleep(0.02)


def make_chat(text: str, *, stream: bool) -> bytes:
    """Return the body of a chat request."""
    messages = [{"role": "user", "content": text}]
    return json.dumps({"model": MODEL, "messages": messages, "stream": stream}).encode()


def make_head(path: str, *lines: str, method: str = "POST") -> bytes:
    """Return the head of a request, as raw bytes."""
    fixed = [f"{method} {path} HTTP/1.1", "Host: x", f"Authorization: Bearer {CALLER_KEY}"]
    return "\r\n".join([*fixed, *lines, "", ""]).encode()


class PathCase(unittest.TestCase):
    """A fleet of three routers, two engines and a plain service, shared by a class."""

    fleet: ClassVar[Fleet]
    routers: ClassVar[list[Member]]
    engines: ClassVar[list[Member]]
    service: ClassVar[Member]
    token_ms = "5"

    @classmethod
    def setUpClass(cls) -> None:
        cls.stack = ExitStack()
        cls.addClassCleanup(cls.stack.close)
        cls.fleet = cls.stack.enter_context(open_fleet())
        cls.fleet.settings["limits"] = {"max_body_bytes": MAX_BODY, "max_header_bytes": 4096}
        cls.fleet.plan_instances(3)
        cls.fleet.start_instances()
        options = ("--model", MODEL, "--tokens", str(TOKENS), "--token-ms", cls.token_ms)
        cls.engines = [cls.fleet.start_endpoint(f"engine-{n}", *options) for n in (1, 2)]
        cls.service = cls.fleet.start_endpoint(
            "claims-1", "--kind", "service", "--service", PLAIN_SERVICE
        )
        apply_workspace(cls.fleet)
        wait_routed(cls.fleet)
        cls.routers = [cls.fleet.members[plan.name] for plan in cls.fleet.plans]
        for router in cls.routers:
            wait_until(partial(cls.serves_plain, router), "the plain service is routed")

    @classmethod
    def serves_plain(cls, router: Member) -> bool:
        return call(cls.fleet, router, "GET", f"/services/{PLAIN_SERVICE}/warm").status == 200

    def inject_fault(self, mode: str, **details: float) -> None:
        """Inject a fault into both engines until ``tearDown``."""
        for engine in self.engines:
            self.fleet.inject_fault(engine, mode, count=1000, **details)

    def tearDown(self) -> None:
        for member in (*self.engines, self.service):
            self.fleet.inject_fault(member, "", count=0)

    def find_seen(self, chat_id: str) -> list[dict[str, Any]]:
        """Return the requests of one chat that the engines have received."""
        seen = [entry for engine in self.engines for entry in self.fleet.read_seen(engine)]
        return [entry for entry in seen if entry["chat"] == chat_id]

    def assert_typed_error(self, reply: Reply, status: int, code: str, ran: str) -> None:
        self.assertEqual(reply.status, status, reply.body)
        self.assertEqual(reply.headers["content-type"], "application/json")
        self.assertEqual((reply.error["code"], reply.error["ran"]), (code, ran))
        self.assertTrue(reply.error["message"])


class EngineFaultTest(PathCase):
    """Tests of the answers that callers get when engines answer incorrectly."""

    def make_full_text(self, chat_id: str, text: str) -> str:
        return "".join(f"{chat_id}/{text}/{number} " for number in range(TOKENS))

    def test_whole_answers_that_are_wrong(self) -> None:
        """Guards against incorrect answers that reach the caller.

        Engines cut, mix up, refuse or lose non-streamed answers to a request that is not
        idempotent. The error tells whether the request ran: a refused one did not run, every
        other one may have run.
        """
        table = [
            ("cut", "maybe"),
            ("wrong_id", "maybe"),
            ("die", "maybe"),
            ("refuse", "no"),
        ]
        for mode, ran in table:
            with self.subTest(mode):
                self.inject_fault(mode)
                reply = chat(self.fleet, self.routers[0], mode, stream=False, X_Idempotent="false")
                self.assertIn(reply.status, (502, 503), reply.body)
                self.assertEqual(reply.error["ran"], ran)
                self.assertNotIn(mode.encode() + b"/0", reply.body)
                self.tearDown()
                self.assert_serves()

    def assert_serves(self) -> None:
        def serves() -> bool:
            return all(chat(self.fleet, m, "x", stream=False).status == 200 for m in self.routers)

        wait_until(serves, "every router serves requests again")

    def test_retry_hides_one_broken_answer(self) -> None:
        """Guards against an error for a chat that may be retried at another engine."""
        for engine in self.engines:
            self.fleet.inject_fault(engine, "cut", count=1)
        replies = [chat(self.fleet, self.routers[1], "t", stream=False) for _ in range(4)]
        good = [reply for reply in replies if reply.status == 200]
        self.assertGreaterEqual(len(good), 3)
        for reply in good:
            self.assertEqual(reply.text, self.make_full_text(reply.text.split("/")[0], "t"))

    def test_streams_that_end_early_are_seen_as_cut(self) -> None:
        """Guards against truncated streams that look complete.

        An engine dies, omits its end mark or stalls after three tokens. The forwarded bytes
        cannot be recalled, so the router sends a last event with the error and breaks the
        connection.
        """
        delays_s = {"cut": 0.0, "truncate": 0.0, "stall": 60.0}
        for mode, delay_s in delays_s.items():
            with self.subTest(mode):
                self.inject_fault(mode, after_chunks=3, delay_s=delay_s)
                connection = http.client.HTTPConnection(self.routers[0].address, timeout=60)
                headers = {
                    "Authorization": f"Bearer {CALLER_KEY}",
                    "X-Request-Timeout-Ms": "2000" if mode == "stall" else "20000",
                }
                connection.request("POST", CHAT_PATH, make_chat("s", stream=True), headers)
                response = connection.getresponse()
                self.assertEqual(response.status, 200)
                received = b""
                with self.assertRaises(http.client.IncompleteRead):
                    while chunk := response.read1():
                        received += chunk
                connection.close()
                self.assertIn(b'"code":"answer_cut"', received)
                self.assertIn(b"s/2 ", received)
                self.assertNotIn(b"s/3 ", received)
                self.assertNotIn(b"[DONE]", received)
                self.tearDown()
                self.assert_serves()

    def test_late_answer_is_discarded(self) -> None:
        """Guards against answers after the deadline that reach another caller.

        The caller of the late request gets ``deadline_exceeded`` with ``ran: maybe``; other
        callers of the same router get their own answers.
        """
        self.inject_fault("late", delay_s=1.0)
        late = chat(self.fleet, self.routers[0], "late", stream=False, X_Request_Timeout_Ms="200")
        self.assert_typed_error(late, 504, "deadline_exceeded", "maybe")
        self.tearDown()
        for number in range(8):
            reply = chat(self.fleet, self.routers[0], f"next {number}", stream=False)
            self.assertIn(f"/next {number}/0 ", reply.text)

    def test_duplicate_answer_is_not_sent_to_the_next_caller(self) -> None:
        """Guards against reading a duplicate answer as that of the next request.

        The engine sends each answer twice, so the second copy is buffered on the idle
        connection when the next request uses it.
        """
        self.inject_fault("double")
        for number in range(6):
            reply = chat(self.fleet, self.routers[2], f"copy {number}", stream=False)
            self.assertEqual(reply.status, 200)
            self.assertIn(f"/copy {number}/0 ", reply.text)

    def test_many_callers_on_persistent_connections(self) -> None:
        """Guards against answers that are mixed up between concurrent callers.

        Callers reuse their connections for streams, non-streamed answers and cancels. Every
        token names its request, so bytes of another answer are detected.
        """

        def run(number: int) -> None:
            address = self.routers[number % 3].address
            connection = http.client.HTTPConnection(address, timeout=30)
            for turn in range(6):
                text = f"caller {number} turn {turn}"
                body = make_chat(text, stream=turn % 2 == 0)
                headers = {"Authorization": f"Bearer {CALLER_KEY}", "X-Chat-Id": text}
                connection.request("POST", CHAT_PATH, body, headers)
                response = connection.getresponse()
                if turn == 2:
                    response.read1(10)
                    connection.close()
                    continue
                data = response.read().decode()
                self.assertEqual(response.status, 200, data)
                self.assertEqual(data.count(f"{text}/{text}/"), TOKENS)
                self.assertEqual(data.count("caller "), 2 * TOKENS)

        with ThreadPoolExecutor(24) as workers:
            list(workers.map(run, range(24)))


class EngineKilledTest(PathCase):
    """Test of an engine whose process is killed while it streams."""

    def test_caller_sees_truncation_and_other_requests_are_served(self) -> None:
        """Guards against a truncated answer that looks complete after an engine was killed.

        The engine is killed after three tokens. Its caller must get an error event and a
        broken connection; every router then serves chats at the remaining engine.
        """
        self.inject_fault("stall", delay_s=60.0)
        connection = http.client.HTTPConnection(self.routers[0].address, timeout=60)
        self.addCleanup(connection.close)
        headers = {"Authorization": f"Bearer {CALLER_KEY}"}
        connection.request("POST", CHAT_PATH, make_chat("killed", stream=True), headers)
        response = connection.getresponse()
        received = response.read1()
        while b"killed/2 " not in received:
            received += response.read1()
        killed = self.fleet.members[response.headers["X-Served-By"]]
        killed.kill()
        self.engines.remove(killed)
        self.tearDown()
        with self.assertRaises(http.client.IncompleteRead):
            while chunk := response.read1():
                received += chunk
        self.assertIn(b'"code":"answer_cut"', received)
        self.assertNotIn(b"[DONE]", received)
        for router in self.routers:
            reply = chat(self.fleet, router, "next", stream=False)
            self.assertEqual((reply.status, reply.served_by), (200, self.engines[0].name))


class CallerLeavesTest(PathCase):
    """Tests of callers that close the connection before their answer is complete."""

    token_ms = "1000"

    def send_and_disconnect(self, chat_id: str, *, stream: bool) -> None:
        connection = http.client.HTTPConnection(self.routers[0].address, timeout=30)
        headers = {"Authorization": f"Bearer {CALLER_KEY}", "X-Chat-Id": chat_id}
        connection.request("POST", CHAT_PATH, make_chat("x", stream=stream), headers)
        if stream:
            connection.getresponse().read1(10)
        wait_until(lambda: bool(self.find_seen(chat_id)), "the engine has received the request")
        connection.close()

    def count_in_flight(self) -> int:
        return sum(
            int(self.fleet.request("GET", engine, "/standin/seen").json()["in_flight"])
            for engine in self.engines
        )

    def test_the_engine_stops_working_for_a_caller_that_left(self) -> None:
        """Guards against streams that continue after their caller has disconnected.

        Such a stream would run for minutes and occupy a slot that other requests need.
        """
        self.send_and_disconnect("left-streaming", stream=True)
        wait_until(
            lambda: self.find_seen("left-streaming")[0]["cancelled"], "the stream is cancelled"
        )
        wait_until(lambda: self.count_in_flight() == 0, "no engine has a request in flight")

    def test_the_router_abandons_a_request_whose_caller_left_while_waiting(self) -> None:
        """Guards against requests that stay in flight after their caller has disconnected.

        While a router waits for a non-streamed answer, it writes nothing to the caller that
        could fail, so it must watch the connection to detect the disconnect.
        """
        self.send_and_disconnect("left-waiting", stream=False)
        router = self.routers[0]
        url = f"http://{router.host}:18083/metrics"

        def is_idle() -> bool:
            text = self.fleet._http.request("GET", url).data.decode()
            lines = [line for line in text.splitlines() if line.startswith("chivetrack_in_flight")]
            return bool(lines) and all(line.endswith(" 0.0") for line in lines)

        wait_until(is_idle, "the router has no request in flight")
        self.assertFalse(self.find_seen("left-waiting")[0]["finished"])


class TypedErrorTest(PathCase):
    """Tests that refused requests get a typed error, not HTML, a traceback or a hang."""

    def send_raw(self, *parts: bytes) -> Reply:
        """Send raw bytes on a new connection and return the complete answer."""
        host, _, port = self.routers[0].address.rpartition(":")
        with socket.create_connection((host, int(port)), timeout=30) as connection:
            for part in parts:
                connection.sendall(part)
            response = http.client.HTTPResponse(connection)
            response.begin()
            headers = {name.lower(): value for name, value in response.getheaders()}
            return Reply(status=response.status, headers=headers, body=response.read())

    def test_requests_that_are_refused(self) -> None:
        router = self.routers[0]
        body = make_chat("framing", stream=False)
        length = f"Content-Length: {len(body)}"
        large = {"model": MODEL, "messages": ["x" * MAX_BODY]}
        table: list[tuple[str, Callable[[], Reply], int, str]] = [
            (
                "unknown workspace",
                lambda: self.chat(X_Workspace="nobody"),
                404,
                "unknown_workspace",
            ),
            ("bad key", lambda: self.call(CHAT_PATH, {}, key="wrong"), 401, "bad_key"),
            (
                "key of none",
                lambda: self.send_raw(
                    b"POST /v1/chat/completions HTTP/1.1\r\n"
                    b"Host: x\r\nContent-Length: 2\r\n\r\n{}"
                ),
                401,
                "missing_key",
            ),
            ("malformed body", lambda: self.call(CHAT_PATH, {"model": 3}), 400, "malformed_body"),
            (
                "unknown model",
                lambda: self.call(CHAT_PATH, {"model": "z", "messages": [1]}),
                404,
                "unknown_model",
            ),
            ("oversized body", lambda: self.call(CHAT_PATH, large), 413, "body_too_large"),
            (
                "oversized, chunked",
                lambda: self.send_raw(
                    make_head(CHAT_PATH, "Transfer-Encoding: chunked"),
                    b"%x\r\n%b\r\n" % (MAX_BODY + 1, b" " * (MAX_BODY + 1)),
                    b"0\r\n\r\n",
                ),
                413,
                "body_too_large",
            ),
            (
                "oversized without end",
                lambda: self.send_raw(
                    make_head(CHAT_PATH, "Content-Length: 99999999999"), b" " * 1000
                ),
                413,
                "body_too_large",
            ),
            (
                "two lengths",
                lambda: self.send_raw(make_head(CHAT_PATH, length, "Content-Length: 3"), body),
                400,
                "malformed_body",
            ),
            (
                "unknown coding",
                lambda: self.send_raw(
                    make_head(CHAT_PATH, length, "Transfer-Encoding: gzip, chunked"), body
                ),
                400,
                "malformed_body",
            ),
            (
                "bad chunk",
                lambda: self.send_raw(
                    make_head(CHAT_PATH, "Transfer-Encoding: chunked"), b"zz\r\n"
                ),
                400,
                "malformed_body",
            ),
            (
                "deadline past",
                lambda: self.chat(X_Request_Timeout_Ms="0"),
                504,
                "deadline_exceeded",
            ),
            (
                "bad deadline",
                lambda: self.chat(X_Request_Timeout_Ms="soon"),
                400,
                "malformed_header",
            ),
            ("unknown path", lambda: self.call("/nothing/here", {}), 404, "unknown_path"),
            (
                "wrong method",
                lambda: call(self.fleet, router, "GET", CHAT_PATH),
                405,
                "method_not_allowed",
            ),
            (
                "headers too large",
                lambda: self.chat(X_Padding="x" * 5000),
                431,
                "headers_too_large",
            ),
            (
                "too many headers",
                lambda: self.send_raw(make_head(CHAT_PATH, *(f"X-H{n}: 1" for n in range(150)))),
                431,
                "headers_too_large",
            ),
            (
                "request line too long",
                lambda: self.send_raw(make_head("/" + "x" * 9000)),
                414,
                "uri_too_long",
            ),
            ("not HTTP", lambda: self.send_raw(b"hello there you\r\n\r\n"), 400, "bad_request"),
        ]
        for name, send, status, code in table:
            with self.subTest(name):
                self.assert_typed_error(send(), status, code, "no")
        self.assertEqual(chat(self.fleet, router, "after all").status, 200)
        self.assertNotIn("Traceback", router.read_log())

    def chat(self, **headers: str) -> Reply:
        return chat(self.fleet, self.routers[0], "x", **headers)

    def call(self, path: str, value: Any, **options: Any) -> Reply:
        return call(self.fleet, self.routers[0], "POST", path, value, **options)

    def test_refusal_by_all_engines_returns_retry_after(self) -> None:
        """Guards against a refusal that omits ``ran: no`` or the time of the next attempt."""
        self.inject_fault("refuse")
        reply = self.chat(X_Idempotent="false")
        self.assertEqual(reply.error["ran"], "no")
        self.assertGreaterEqual(int(reply.headers["retry-after"]), 1)
        self.assertGreater(reply.error["retry_after_s"], 0)


class AtMostOnceTest(PathCase):
    """Tests of calls that must not run twice when a service dies after reading them."""

    def count_runs(self, key: str) -> int:
        return sum(
            seen["idempotency_key"] == key or seen["chat"] == key
            for seen in self.fleet.read_seen(self.service)
        )

    def test_keyed_call_whose_outcome_is_unknown_is_never_run_again(self) -> None:
        """Guards against a second run of a call with an idempotency key.

        The service dies after it has read the call, so whether the call ran is unknown. When
        the caller resends it through other routers, each must answer ``outcome_unknown`` and
        must not forward it. The first caller is answered before the log holds the outcome,
        so a quick resend may get ``in_progress`` first.
        """
        self.fleet.inject_fault(self.service, "die")
        first = self.quote(self.routers[0], Idempotency_Key="quote-a")
        self.assertEqual(first.error["ran"], "maybe")
        for router in self.routers[1:]:
            again = self.wait_ended(router, "quote-a")
            self.assert_typed_error(again, again.status, "outcome_unknown", "maybe")
        self.assertEqual(self.count_runs("quote-a"), 1)

    def test_call_without_a_key_is_not_sent_twice(self) -> None:
        """Guards against retrying a POST without a key; only its caller may resend it."""
        self.fleet.inject_fault(self.service, "die")
        reply = self.quote(self.routers[0], X_Chat_Id="quote-b")
        self.assertEqual((reply.status, reply.error["ran"]), (502, "maybe"))
        self.assertEqual(self.count_runs("quote-b"), 1)

    def wait_ended(self, router: Member, key: str) -> Reply:
        """Resend a call until its answer is no longer ``in_progress``; return that answer."""

        def send() -> Reply | None:
            again = self.quote(router, Idempotency_Key=key)
            if again.error["code"] != "in_progress":
                return again
            self.assert_typed_error(again, 409, "in_progress", "maybe")
            self.assertIn("retry-after", again.headers)
            return None

        ended: Reply = wait_for(send, "the call is still in progress")
        return ended

    def quote(self, router: Member, **headers: str) -> Reply:
        return call(self.fleet, router, "POST", PLAIN_PATH, {"item": "vase"}, **headers)
