"""The metrics of the deployed processes and the listener that exposes them."""

import time
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from bottle import Bottle, HTTPResponse

from chivetrack.components.announcements.soundness import RecordFault
from chivetrack.components.memory.budget import MemoryBudget
from chivetrack.components.origins.models import Continuation
from chivetrack.components.traffic.requests import AnswerFacts
from chivetrack.components.upstream.answer_head import HeadFault
from chivetrack.daemon.fleet.calls import Call
from chivetrack.daemon.fleet.gauges import Gauge
from chivetrack.daemon.server import HttpServer
from chivetrack.exceptions import Fault
from chivetrack.helpers.sections.values import Address

if TYPE_CHECKING:
    from chivetrack.daemon.fleet.meters import Meters


# Records kept until metrics are first requested; at this number the library is loaded anyway.
MAX_PENDING_RECORDS = 20_000


class Metrics:
    """Keep records until metrics are requested for the first time.

    Loading the library takes a tenth of a process's start, and after a power loss of all
    instances callers are refused until the start is complete. No record is lost by the
    delay: the kept records are replayed once the library is loaded.
    """

    def __init__(self, *, instance: str, zone: str) -> None:
        """Set the instance and zone that identify the metrics."""
        self._instance = instance
        self._zone = zone
        self._gauges: list[Gauge] = []
        self._pending_records: deque[Callable[[Meters], None]] = deque()
        self._meters: Meters | None = None

    def add_gauges(self, *gauges: Gauge) -> None:
        """Add gauges; this has an effect only before metrics are first requested."""
        self._gauges += gauges

    def record_end(self, call: Call, outcome: str) -> None:
        """Count a request that has ended."""
        end = call.make_end(outcome, now=time.monotonic())
        self._record(lambda meters: meters.record_end(end))

    def record_rejection(self, fault: Fault) -> None:
        """Count a request that the router itself refused."""
        self._record(lambda meters: meters.record_rejection(fault))

    def record_answer(self, endpoint_id: str, facts: AnswerFacts) -> None:
        """Count an endpoint's answer by whether the request ran."""
        self._record(lambda meters: meters.record_answer(facts))

    def record_unsound_head(self, fault: HeadFault) -> None:
        """Count bytes of an endpoint that are not the head of an answer."""
        self._record(lambda meters: meters.record_unsound_head(fault))

    def record_unsound_record(self, fault: RecordFault) -> None:
        """Count a record of an endpoint that was left out."""
        self._record(lambda meters: meters.record_unsound_record(fault))

    def record_continuation(self, continuation: Continuation) -> None:
        """Count a placement that continues a stream."""
        self._record(lambda meters: meters.record_continuation(continuation))

    def record_budget(self, has_budget: bool) -> None:
        """Count a decision of the retry budget."""
        self._record(lambda meters: meters.record_budget(has_budget))

    def record_slot(self, state: str) -> None:
        """Count a decision on a slot of a plain service."""
        self._record(lambda meters: meters.record_slot(state))

    def record_hedge(self, outcome: str) -> None:
        """Count a hedge that was due by its outcome."""
        self._record(lambda meters: meters.record_hedge(outcome))

    def count_crash(self) -> None:
        """Count an endpoint crash that interrupted requests of this router."""
        self._record(lambda meters: meters.count_crash())

    def count_carried(self, is_connected: bool) -> None:
        """Count a connection that another router was asked to carry."""
        self._record(lambda meters: meters.count_carried(is_connected))

    def count(self, event: str) -> None:
        """Count an event of a replica."""
        self._record(lambda meters: meters.count(event))

    def _record(self, record: "Callable[[Meters], None]") -> None:
        if self._meters is not None:
            record(self._meters)
            return
        self._pending_records.append(record)
        if len(self._pending_records) >= MAX_PENDING_RECORDS:
            self.open()

    def open(self) -> "Meters":
        """Load the library, replay the pending records and return the meters."""
        if self._meters is None:
            from chivetrack.daemon.fleet.meters import open_meters

            self._meters = open_meters(
                instance=self._instance, zone=self._zone, gauges=self._gauges
            )
        while self._pending_records:
            self._pending_records.popleft()(self._meters)
        return self._meters

    def build_app(self) -> Bottle:
        """Return the application that serves all metrics as text."""
        app = Bottle()

        def show_metrics() -> HTTPResponse:
            content_type, body = self.open().render()
            return HTTPResponse(body=body, status=200, headers={"Content-Type": content_type})

        app.route("/metrics", "GET", show_metrics)
        return app


def open_metrics_server(
    address: Address | None,
    metrics: Metrics,
    *,
    memory: MemoryBudget,
    add_routes: Callable[[Bottle], None] = lambda app: None,
) -> HttpServer | None:
    """Return the server of the metrics address, ``None`` if the settings have no address.

    ``memory`` is the budget of the process's connections.
    ``add_routes`` adds other calls for operators.
    """
    if address is None:
        return None
    app = metrics.build_app()
    add_routes(app)
    return HttpServer(
        address=(address.host, address.port),
        application=app,
        is_closing=lambda: False,
        memory=memory,
    )
