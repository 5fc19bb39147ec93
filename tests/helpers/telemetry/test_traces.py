"""Traces: the caller's context is continued and propagated."""

import unittest

from opentelemetry import trace
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter
from opentelemetry.trace import StatusCode

from chivetrack.helpers.telemetry import Tracer, extract_context, open_telemetry

TRACE_ID = "4bf92f3577b34da6a3ce929d0e0e4736"
PARENT_ID = "00f067aa0ba902b7"


class HopTest(unittest.TestCase):
    def setUp(self) -> None:
        self.spans = InMemorySpanExporter()
        provider = TracerProvider(shutdown_on_exit=False)
        provider.add_span_processor(SimpleSpanProcessor(self.spans))
        self.tracer = Tracer(tracer=provider.get_tracer("test"))

    def test_context_is_propagated_from_hop_to_hop(self) -> None:
        headers = {"traceparent": f"00-{TRACE_ID}-{PARENT_ID}-01", "tracestate": "a=b"}
        with (
            self.tracer.open_hop("receive", parent=extract_context(headers)) as first,
            self.tracer.open_hop("forward", parent=first.context) as second,
        ):
            propagated = second.write_headers()
        inner, outer = self.spans.get_finished_spans()
        self.assertEqual(first.trace_id, TRACE_ID)
        self.assertEqual(outer.parent and f"{outer.parent.span_id:016x}", PARENT_ID)
        self.assertEqual(inner.parent and inner.parent.span_id, outer.context.span_id)
        self.assertEqual(propagated["traceparent"].split("-")[1], TRACE_ID)
        self.assertEqual(propagated["tracestate"], "a=b")

    def test_malformed_context_starts_a_new_trace(self) -> None:
        for value in ("", "x", f"00-{'0' * 32}-{PARENT_ID}-01", f"00-{TRACE_ID}-{PARENT_ID}", "é"):
            with (
                self.subTest(value=value),
                self.tracer.open_hop("x", parent=extract_context({"traceparent": value})) as hop,
            ):
                self.assertNotEqual(hop.trace_id, TRACE_ID)
                self.assertNotEqual(hop.trace_id, "0" * 32)

    def test_hops_of_different_requests_do_not_mix(self) -> None:
        """Guards against a trace that contains hops of another request.

        The span of one request remains the greenlet's current span, and the greenlet then
        handles another request. By the library's default, the new span would join the first
        trace.
        """
        with (
            self.tracer.open_hop("first") as first,
            trace.use_span(first.span),
            self.tracer.open_hop("second") as second,
        ):
            self.assertNotEqual(first.trace_id, second.trace_id)

    def test_failed_hop_names_the_error_and_no_content(self) -> None:
        with self.assertRaises(ValueError), self.tracer.open_hop("x"):
            raise ValueError("prompt of a caller")
        (span,) = self.spans.get_finished_spans()
        self.assertIs(span.status.status_code, StatusCode.ERROR)
        self.assertNotIn("prompt", span.to_json())

    def test_sampling_decision_is_propagated_without_a_collector(self) -> None:
        for flag in ("00", "01"):
            headers = {"traceparent": f"00-{TRACE_ID}-{PARENT_ID}-{flag}"}
            with (
                self.subTest(flag=flag),
                open_telemetry(instance_id="r1") as telemetry,
                telemetry.tracer.open_hop("x", parent=extract_context(headers)) as hop,
            ):
                self.assertTrue(hop.write_headers()["traceparent"].endswith(f"-{flag}"))
