"""Metrics and traces with OpenTelemetry; a failed collector never blocks a request."""

from chivetrack.helpers.telemetry.instruments import Instruments
from chivetrack.helpers.telemetry.provider import METRICS_CONTENT_TYPE, Telemetry, open_telemetry
from chivetrack.helpers.telemetry.traces import Hop, Tracer, extract_context

__all__ = [
    "METRICS_CONTENT_TYPE",
    "Hop",
    "Instruments",
    "Telemetry",
    "Tracer",
    "extract_context",
    "open_telemetry",
]
