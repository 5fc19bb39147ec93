"""Set-up of the telemetry of one instance: instruments, tracer and exporters."""

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import Counter, Histogram, MeterProvider, UpDownCounter, _Gauge
from opentelemetry.sdk.metrics.export import CardinalityLimits, MetricReader
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.sampling import ALWAYS_OFF, ParentBased, Sampler, TraceIdRatioBased
from prometheus_client import CollectorRegistry, ProcessCollector, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from chivetrack.const import VERSION
from chivetrack.helpers.log import get_logger
from chivetrack.helpers.telemetry import const
from chivetrack.helpers.telemetry.instruments import Instruments
from chivetrack.helpers.telemetry.traces import Tracer

METRICS_CONTENT_TYPE = CONTENT_TYPE_LATEST

_LOGGER = get_logger("telemetry")


@dataclass(frozen=True, slots=True, kw_only=True)
class Telemetry:
    """The instruments, tracer and metric registry that an instance records to."""

    instruments: Instruments
    tracer: Tracer
    registry: CollectorRegistry

    def render_metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format (``METRICS_CONTENT_TYPE``)."""
        return generate_latest(self.registry)


@contextmanager
def open_telemetry(
    *,
    instance_id: str,
    region: str = "",
    availability_zone: str = "",
    otlp_endpoint: str = "",
    sample_ratio: float = 0.0,
    close_within_s: float = const.CLOSE_WITHIN_S,
) -> Iterator[Telemetry]:
    """Record until the block ends; then export the remaining data for a limited time.

    ``close_within_s`` limits the time for the final export, in seconds.
    """
    resource = Resource(
        {
            "service.name": const.SCOPE,
            "service.version": VERSION,
            "service.instance.id": instance_id,
            "cloud.region": region,
            "cloud.availability_zone": availability_zone,
        }
    )
    registry = CollectorRegistry()
    ProcessCollector(registry=registry)
    meters = MeterProvider(
        metric_readers=_create_readers(registry, otlp_endpoint),
        resource=resource,
        shutdown_on_exit=False,
    )
    tracers = TracerProvider(
        sampler=_create_sampler(otlp_endpoint, sample_ratio),
        resource=resource,
        shutdown_on_exit=False,
    )
    if otlp_endpoint:
        from chivetrack.helpers.telemetry.export import create_span_processor

        tracers.add_span_processor(create_span_processor(otlp_endpoint))
    try:
        yield Telemetry(
            instruments=Instruments(meter=meters.get_meter(const.SCOPE)),
            tracer=Tracer(tracer=tracers.get_tracer(const.SCOPE)),
            registry=registry,
        )
    finally:
        _close_all([tracers.shutdown, meters.shutdown], within_s=close_within_s)


def _create_readers(registry: CollectorRegistry, otlp_endpoint: str) -> list[MetricReader]:
    # Without a limit each new attribute value would stay in memory until the process ends.
    limits: CardinalityLimits = {
        Counter: const.MAX_SERIES_PER_INSTRUMENT,
        UpDownCounter: const.MAX_SERIES_PER_INSTRUMENT,
        Histogram: const.MAX_SERIES_PER_INSTRUMENT,
        _Gauge: const.MAX_SERIES_PER_INSTRUMENT,
    }
    readers: list[MetricReader] = [
        PrometheusMetricReader(
            registry=registry, scope_info_enabled=False, cardinality_limits=limits
        )
    ]
    if otlp_endpoint:
        from chivetrack.helpers.telemetry.export import create_metric_reader

        readers.append(create_metric_reader(otlp_endpoint, limits))
    return readers


def _create_sampler(otlp_endpoint: str, sample_ratio: float) -> Sampler:
    """Return a sampler that follows the caller's decision, or else samples by ratio."""
    if not otlp_endpoint:
        return ParentBased(root=ALWAYS_OFF)
    return ParentBased(root=TraceIdRatioBased(sample_ratio))


def _close_all(closers: list[Callable[[], None]], *, within_s: float) -> None:
    """Run closers in parallel and abandon those that exceed the time limit.

    A closer first exports queued data. With a collector that accepts connections but never
    answers, each closer would delay the stop of the instance by half a minute. The threads
    are daemon threads, so an abandoned closer does not keep the process alive.
    """
    threads = [threading.Thread(target=closer, daemon=True) for closer in closers]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(within_s / len(threads))
    if any(thread.is_alive() for thread in threads):
        _LOGGER.warning("The collector did not accept the final export within {} s.", within_s)
