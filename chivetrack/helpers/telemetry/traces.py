"""Traces: one span for each hop, with W3C trace context propagation.

The context is passed from hop to hop explicitly. A streamed answer is written by a
generator that may run in another greenlet than the one that opened the span; an implicit
current span would then belong to the wrong request.
"""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass

from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.trace import SpanKind, Status, StatusCode
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

AttributeValue = str | int | float | bool

_PROPAGATOR = TraceContextTextMapPropagator()


def extract_context(headers: Mapping[str, str]) -> Context:
    """Decode ``traceparent`` and ``tracestate``; malformed values start a new trace.

    The names of ``headers`` are in lower case, as in gRPC metadata.
    """
    return _PROPAGATOR.extract(dict(headers), context=Context())


@dataclass(frozen=True, slots=True, kw_only=True)
class Hop:
    """One hop of a request: its span, and the context for the hops that follow."""

    span: trace.Span
    context: Context

    @property
    def trace_id(self) -> str:
        """Return the trace id as 32 hexadecimal digits."""
        return trace.format_trace_id(self.span.get_span_context().trace_id)

    def set_attribute(self, name: str, value: AttributeValue) -> None:
        """Add an attribute; use only ids and numbers, never content that callers sent."""
        self.span.set_attribute(name, value)

    def mark_failed(self, code: str) -> None:
        """Mark the hop as failed with the code of an error."""
        self.span.set_status(Status(StatusCode.ERROR, code))

    def write_headers(self) -> dict[str, str]:
        """Return the headers (or gRPC metadata) that propagate the context."""
        headers: dict[str, str] = {}
        _PROPAGATOR.inject(headers, context=self.context)
        return headers


class Tracer:
    """Opens the spans of hops."""

    def __init__(self, *, tracer: trace.Tracer) -> None:
        """Wrap a tracer of OpenTelemetry."""
        self._tracer = tracer

    @contextmanager
    def open_hop(
        self,
        name: str,
        *,
        parent: Context | None = None,
        kind: SpanKind = SpanKind.INTERNAL,
        attributes: Mapping[str, AttributeValue] | None = None,
    ) -> Iterator[Hop]:
        """Open a span below ``parent`` (from ``extract_context`` or another hop).

        An exception marks the span as failed with the name of its class only, since the
        message may contain content that a caller sent.
        """
        context = Context() if parent is None else parent
        span = self._tracer.start_span(
            name, context=context, kind=kind, attributes=attributes, record_exception=False
        )
        hop = Hop(span=span, context=trace.set_span_in_context(span, context))
        try:
            yield hop
        except Exception as error:
            hop.mark_failed(type(error).__name__)
            raise
        finally:
            span.end()
