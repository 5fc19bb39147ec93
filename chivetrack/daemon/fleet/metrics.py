"""What the deployed processes count, and the address where it can be read."""

import time

from opentelemetry.metrics import Meter

from chivetrack.components.settings.models import Address
from chivetrack.components.traffic.requests import AnswerFacts
from chivetrack.daemon.fleet.calls import Call
from chivetrack.daemon.metrics import build_metrics_app
from chivetrack.daemon.server import HttpServer
from chivetrack.helpers.telemetry import Telemetry
from chivetrack.helpers.telemetry.instruments import Instruments


class RouterMetrics:
    """Counts requests by kind, workspace, service and outcome.

    The names come from the configuration or from fixed lists; the limit on series in the
    provider bounds them where a configuration names many.
    """

    def __init__(self, *, instruments: Instruments) -> None:
        """Take the instruments of the process."""
        self._meter: Meter = instruments.meter
        self._requests = self._meter.create_counter(
            "chivetrack.router.requests", unit="{request}", description="Requests by outcome."
        )
        self._duration = self._meter.create_histogram(
            "chivetrack.router.duration", unit="s", description="From the request to its end."
        )
        self._first = self._meter.create_histogram(
            "chivetrack.router.first_event", unit="s", description="Up to a stream's first event."
        )
        self._answers = self._meter.create_counter(
            "chivetrack.router.endpoint_answers",
            unit="{answer}",
            description="Heads of answers by what they say of the request.",
        )

    def record_end(self, call: Call, outcome: str) -> None:
        """Count a request that has ended."""
        names = {
            "kind": call.route.kind.value,
            "service": call.service,
            "workspace": "" if call.workspace is None else call.workspace.name,
            "outcome": outcome,
            "status": str(call.reply.status),
        }
        self._requests.add(1, names)
        kinds = {"kind": call.route.kind.value, "service": call.service}
        self._duration.record(time.monotonic() - call.came_at, kinds)
        if call.first_event_at is not None:
            self._first.record(call.first_event_at - call.came_at, kinds)

    def note_answer(self, endpoint_id: str, facts: AnswerFacts) -> None:
        """Count the head of an endpoint's answer."""
        self._answers.add(1, {"ran": "no" if facts.did_not_run else "yes"})


def open_metrics_server(address: Address | None, telemetry: Telemetry) -> HttpServer | None:
    """Return the server of the metrics address, if the settings name one."""
    if address is None:
        return None
    return HttpServer(
        address=(address.host, address.port),
        application=build_metrics_app(telemetry=telemetry),
        is_closing=lambda: False,
    )
