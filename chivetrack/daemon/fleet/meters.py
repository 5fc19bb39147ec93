"""The metric instruments of the deployed processes; imports the OpenTelemetry library."""

from collections.abc import Callable, Iterable, Sequence
from contextlib import ExitStack

from opentelemetry.metrics import CallbackOptions, Observation

from chivetrack.components.announcements.soundness import RecordFault
from chivetrack.components.origins.models import Continuation
from chivetrack.components.traffic.requests import AnswerFacts
from chivetrack.components.upstream.answer_head import HeadFault
from chivetrack.daemon.fleet.calls import RequestEnd
from chivetrack.daemon.fleet.gauges import Gauge
from chivetrack.exceptions import Fault
from chivetrack.helpers.telemetry import METRICS_CONTENT_TYPE, Telemetry, open_telemetry
from chivetrack.helpers.telemetry.const import DURATION_BOUNDS_S


class Meters:
    """Count requests by kind, workspace, service and outcome.

    Label values come from the configuration or from fixed lists. If a configuration has many
    names, the metric provider's limit on series bounds their number.
    """

    def __init__(
        self, *, telemetry: Telemetry, lifetime: ExitStack, gauges: Sequence[Gauge]
    ) -> None:
        """Create the instruments; keep ``lifetime``, whose release closes the telemetry."""
        self._lifetime = lifetime
        meter = telemetry.instruments.meter
        self._telemetry = telemetry
        self._requests = meter.create_counter(
            "chivetrack.router.requests", unit="{request}", description="Requests by outcome."
        )
        self._rejections = meter.create_counter(
            "chivetrack.router.rejections",
            unit="{request}",
            description="Requests that the router refused without sending them, by code.",
        )
        self._duration = meter.create_histogram(
            "chivetrack.router.duration",
            unit="s",
            description="From the request to its end.",
            explicit_bucket_boundaries_advisory=DURATION_BOUNDS_S,
        )
        self._first_event = meter.create_histogram(
            "chivetrack.router.first_event",
            unit="s",
            description="From the request to a stream's first event.",
            explicit_bucket_boundaries_advisory=DURATION_BOUNDS_S,
        )
        self._answers = meter.create_counter(
            "chivetrack.router.endpoint_answers",
            unit="{answer}",
            description="Heads of answers by what they say of the request.",
        )
        self._framings = meter.create_counter(
            "chivetrack.router.answer_framings",
            unit="{answer}",
            description="Answers of endpoints by what marks the end of their body.",
        )
        self._unsound_heads = meter.create_counter(
            "chivetrack.router.unsound_heads",
            unit="{answer}",
            description="Bytes of endpoints that are not the head of an answer, or not all of it.",
        )
        self._continuations = meter.create_counter(
            "chivetrack.router.stream_continuations",
            unit="{placement}",
            description="Placements that continue a stream, by who continues it and how the version"
            " that began it is known.",
        )
        self._carried = meter.create_counter(
            "chivetrack.router.carried_dials",
            unit="{connection}",
            description="Connections that other routers were asked to carry.",
        )
        self._budget = meter.create_counter(
            "chivetrack.router.retry_budget",
            unit="{retry}",
            description="Retries that needed the retry budget, by whether it allowed them.",
        )
        self._slots = meter.create_counter(
            "chivetrack.router.slots",
            unit="{request}",
            description="Requests for slots of plain services by what was decided.",
        )
        self._hedges = meter.create_counter(
            "chivetrack.router.hedges",
            unit="{request}",
            description="Requests whose second send was due, by what became of it.",
        )
        self._crashes = meter.create_counter(
            "chivetrack.router.endpoint_crashes",
            unit="{crash}",
            description="Endpoints that crashed while they had requests of this router.",
        )
        self._unsound_records = meter.create_counter(
            "chivetrack.instance.unsound_records",
            unit="{record}",
            description="Records of endpoints that were left out, by the field that is unsound.",
        )
        self._events = meter.create_counter(
            "chivetrack.replica.events", unit="{event}", description="Events by name."
        )
        for one in gauges:
            meter.create_observable_gauge(
                one.name, [_observe(one)], unit=one.unit, description=one.description
            )

    def record_end(self, end: RequestEnd) -> None:
        """Count a request that has ended and record its durations."""
        kinds = {"kind": end.kind, "service": end.service}
        names = {
            **kinds,
            "workspace": end.workspace,
            "outcome": end.outcome,
            "status": str(end.status),
        }
        self._requests.add(1, names)
        self._duration.record(end.took_s, kinds)
        if end.framing is not None:
            self._framings.add(1, {"framing": end.framing.value})
        if end.first_event_s is not None:
            self._first_event.record(end.first_event_s, kinds)

    def record_rejection(self, fault: Fault) -> None:
        """Count a request that the router itself refused."""
        self._rejections.add(1, {"code": fault.code, "status": str(fault.status)})

    def record_answer(self, facts: AnswerFacts) -> None:
        """Count an endpoint's answer by whether the request ran."""
        self._answers.add(1, {"ran": "no" if facts.did_not_run else "yes"})

    def record_unsound_head(self, fault: HeadFault) -> None:
        """Count bytes that are not the head of an answer."""
        self._unsound_heads.add(1, {"fault": fault.value})

    def record_unsound_record(self, fault: RecordFault) -> None:
        """Count a record of an endpoint that was left out."""
        self._unsound_records.add(1, {"field": fault.field})

    def record_continuation(self, continuation: Continuation) -> None:
        """Count a placement that continues a stream."""
        by = "caller" if continuation.is_by_caller else "router"
        self._continuations.add(1, {"by": by, "known_by": continuation.basis.value})

    def record_budget(self, has_budget: bool) -> None:
        """Count a decision of the retry budget."""
        self._budget.add(1, {"is_allowed": has_budget})

    def record_slot(self, state: str) -> None:
        """Count a decision on a slot of a plain service."""
        self._slots.add(1, {"state": state})

    def record_hedge(self, outcome: str) -> None:
        """Count a hedge that was due by its outcome."""
        self._hedges.add(1, {"outcome": outcome})

    def count_crash(self) -> None:
        """Count an endpoint crash."""
        self._crashes.add(1)

    def count_carried(self, is_connected: bool) -> None:
        """Count a connection that another router was asked to carry."""
        self._carried.add(1, {"is_connected": is_connected})

    def count(self, event: str) -> None:
        """Count an event."""
        self._events.add(1, {"event": event})

    def render(self) -> tuple[str, bytes]:
        """Return the content type and the exposition of all metrics."""
        return METRICS_CONTENT_TYPE, self._telemetry.render_metrics()


def _observe(gauge: Gauge) -> Callable[[CallbackOptions], Iterable[Observation]]:
    return lambda options: (Observation(gauge.read()),)


def open_meters(*, instance: str, zone: str, gauges: Sequence[Gauge]) -> Meters:
    """Return the meters that the metrics listener exposes until the process exits."""
    stack = ExitStack()
    telemetry = stack.enter_context(open_telemetry(instance_id=instance, availability_zone=zone))
    return Meters(telemetry=telemetry, lifetime=stack, gauges=gauges)
