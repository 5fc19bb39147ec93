"""Tests for the filters: refusals, classification and the filter order."""

import unittest

import chivetrack.components.pipeline.filters  # noqa: F401
from chivetrack.components.pipeline.chain import check_order
from chivetrack.components.pipeline.const import FILTER_ORDER
from chivetrack.components.pipeline.models import Refuse, RequestArrived, RequestKind, StartAttempt
from chivetrack.exceptions import Ran
from chivetrack.helpers.finding import Findings
from tests.components.pipeline.fakes import CHAT_BODY, FlowBench, make_request

NOT_JSON = b'{"model": "appraiser", '
REFUSALS = [
    ("no key", make_request(key=None), "missing_key", 401),
    ("bad key", make_request(key="wrong"), "bad_key", 401),
    ("bad key for a workspace", make_request(key="wrong", x_workspace="hakata"), "bad_key", 401),
    ("unknown workspace", make_request(x_workspace="osaka"), "unknown_workspace", 404),
    ("malformed body", make_request(body=NOT_JSON), "malformed_body", 400),
    (
        "no messages",
        make_request(body=b'{"model":"appraiser","messages":[]}'),
        "malformed_body",
        400,
    ),
    (
        "unknown model",
        make_request(body=CHAT_BODY.replace(b"appraiser", b"x")),
        "unknown_model",
        404,
    ),
    ("deadline past", make_request(x_request_timeout_ms="0"), "deadline_exceeded", 504),
    ("deadline negative", make_request(x_request_timeout_ms="-5"), "deadline_exceeded", 504),
    ("deadline no number", make_request(x_request_timeout_ms="soon"), "malformed_header", 400),
    ("deadline nan", make_request(x_request_timeout_ms="nan"), "malformed_header", 400),
    ("idempotence", make_request(x_idempotent="maybe"), "malformed_header", 400),
    ("long key", make_request(idempotency_key="k" * 201), "malformed_header", 400),
    (
        "service not allowed",
        make_request(kind=RequestKind.SERVICE, service="payroll"),
        "service_not_allowed",
        403,
    ),
]


class RefusalTest(unittest.TestCase):
    def test_each_refusal_is_typed_and_did_not_run(self) -> None:
        """A caller sends an invalid request and must learn at once what is wrong.

        Every refusal before an attempt carries its code and says that the request did not
        run, and it releases everything that the filters acquired.
        """
        for name, request, code, status in REFUSALS:
            with self.subTest(name):
                bench = FlowBench()
                event = RequestArrived(request_id="r", request=request)
                (effect,) = bench.flow.handle(event, now=1.0)
                assert isinstance(effect, Refuse)
                fault = effect.fault
                self.assertEqual((fault.code, fault.status, fault.ran), (code, status, Ran.NO))
                self.assertEqual(bench.flow.open_count, 0)
                self.assertEqual(bench.limiter.held, set())

    def test_unconfirmed_configuration_refuses(self) -> None:
        """Guards against serving with an outdated configuration.

        A router without contact to the replicas can't know whether its configuration is
        still in force, so it refuses requests, with a time to retry.
        """
        bench = FlowBench()
        bench.directory.confirmed = False
        event = RequestArrived(request_id="r", request=make_request())
        (effect,) = bench.flow.handle(event, now=1.0)
        assert isinstance(effect, Refuse)
        self.assertEqual(effect.fault.code, "unconfirmed_configuration")
        self.assertIsNotNone(effect.fault.retry_after_s)


class ClassifyTest(unittest.TestCase):
    def start(self, **changes: object) -> StartAttempt:
        event = RequestArrived(request_id="r", request=make_request(**changes))  # type: ignore
        (effect,) = FlowBench().flow.handle(event, now=1.0)
        assert isinstance(effect, StartAttempt)
        return effect

    def test_affinity(self) -> None:
        named = CHAT_BODY[:-1] + b',"prompt_cache_key":"dossier-9"}'
        longer = CHAT_BODY.replace(
            b"}]", b'},{"role":"a","content":"b"},{"role":"u","content":"c"}]'
        )
        second = longer.replace(b'"c"', b'"d"')
        cases = [
            ("dossier before chat", {"x_dossier_id": "d", "x_chat_id": "c"}, "d"),
            ("chat id", {"x_chat_id": "c"}, "c"),
            ("cache key of the body", {"body": named}, "dossier-9"),
        ]
        for name, changes, affinity in cases:
            with self.subTest(name):
                self.assertEqual(self.start(**changes).exchange.affinity, affinity)
        first_turn = self.start(body=longer).exchange.affinity
        self.assertEqual(first_turn, self.start(body=second).exchange.affinity)

    def test_idempotence(self) -> None:
        service = {"kind": RequestKind.SERVICE, "service": "claims"}
        cases = [
            ("chat", {}, True),
            ("chat that must not run twice", {"x_idempotent": "false"}, False),
            ("plain GET", {**service, "method": "GET"}, True),
            ("plain POST", {**service, "method": "POST"}, False),
            ("plain POST that may", {**service, "method": "POST", "x_idempotent": "true"}, True),
        ]
        for name, changes, expected in cases:
            with self.subTest(name):
                self.assertIs(self.start(**changes).exchange.idempotent, expected)


class OrderTest(unittest.TestCase):
    def test_all_findings_of_an_order_are_reported_together(self) -> None:
        findings = Findings()
        order = ["identify", "trace", "deadline", "classify", "limitt", "route", "forward"]
        check_order(order, findings, place="filters.order")
        text = "\n".join(str(finding) for finding in findings)
        self.assertIn("did you mean 'limit'?", text)
        self.assertIn("'claim' must appear once", text)
        self.assertIn("'deadline' must come after 'classify'", text)

    def test_default_order_is_valid(self) -> None:
        findings = Findings()
        check_order(list(FILTER_ORDER), findings, place="filters.order")
        self.assertEqual(len(findings), 0)
