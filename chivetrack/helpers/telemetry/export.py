"""Export to an OTLP collector; imported only when a collector is configured."""

from opentelemetry.exporter.otlp.proto.http.metric_exporter import OTLPMetricExporter
from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.sdk.metrics.export import (
    CardinalityLimits,
    MetricReader,
    PeriodicExportingMetricReader,
)
from opentelemetry.sdk.trace import SpanProcessor
from opentelemetry.sdk.trace.export import BatchSpanProcessor

from chivetrack.const import MILLISECONDS_PER_SECOND
from chivetrack.helpers.telemetry import const


def create_span_processor(endpoint: str) -> SpanProcessor:
    """Return a processor that queues ended spans and sends them from its own thread.

    The queue is bounded and drops the oldest spans: with a stalled collector an unbounded
    queue would fill the memory of the instance, and waiting would block requests.
    """
    exporter = OTLPSpanExporter(
        endpoint=f"{endpoint.rstrip('/')}/v1/traces", timeout=const.EXPORT_TIMEOUT_S
    )
    return BatchSpanProcessor(
        exporter,
        max_queue_size=const.MAX_QUEUED_SPANS,
        max_export_batch_size=const.MAX_SPANS_PER_EXPORT,
        schedule_delay_millis=const.SPAN_EXPORT_INTERVAL_S * MILLISECONDS_PER_SECOND,
    )


def create_metric_reader(endpoint: str, limits: CardinalityLimits) -> MetricReader:
    """Return a reader that periodically sends the cumulative metrics from its own thread."""
    exporter = OTLPMetricExporter(
        endpoint=f"{endpoint.rstrip('/')}/v1/metrics", timeout=const.EXPORT_TIMEOUT_S
    )
    return PeriodicExportingMetricReader(
        exporter,
        export_interval_millis=const.METRIC_EXPORT_INTERVAL_S * MILLISECONDS_PER_SECOND,
        export_timeout_millis=const.EXPORT_TIMEOUT_S * MILLISECONDS_PER_SECOND,
        cardinality_limits=limits,
    )
