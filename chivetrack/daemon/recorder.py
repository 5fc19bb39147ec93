"""Recorder of finished requests for the metrics and for ``explain``."""

from collections import OrderedDict
from dataclasses import dataclass

from chivetrack.components.pipeline.models import Attempt, Exchange
from chivetrack.components.routing.models import Placement
from chivetrack.exceptions import Fault
from chivetrack.helpers.telemetry import Instruments

MAX_RECORDED_REQUESTS = 2_000


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestRecord:
    """A finished request; times are in seconds."""

    request_id: str
    workspace: str
    service: str
    model: str
    ended_at: float
    duration_s: float
    attempts: tuple[Attempt, ...]
    outcomes: tuple[str, ...]
    placement: Placement | None
    fault: Fault | None
    traceparent: str


class RequestRecorder:
    """Keeps the ``MAX_RECORDED_REQUESTS`` newest finished requests and updates the metrics."""

    def __init__(self, *, instruments: Instruments) -> None:
        """Create a recorder without records."""
        self._instruments = instruments
        self._records: OrderedDict[str, RequestRecord] = OrderedDict()

    def find(self, request_id: str) -> RequestRecord | None:
        """Return the record of a request, or ``None`` if there is none."""
        return self._records.get(request_id)

    def record_end(self, exchange: Exchange, fault: Fault | None, now: float) -> None:
        """Record a finished request; ``fault`` is ``None`` if it succeeded."""
        duration_s = now - exchange.arrived_at
        self._records[exchange.request_id] = _make_record(exchange, fault, now, duration_s)
        if len(self._records) > MAX_RECORDED_REQUESTS:
            self._records.popitem(last=False)
        code = "ok" if fault is None else fault.code
        self._instruments.record_request(service=exchange.service, code=code, duration_s=duration_s)
        if fault is not None:
            self._instruments.record_refusal(code=fault.code, ran=fault.ran.value)
        for _ in exchange.attempts[1:]:
            self._instruments.record_retry(reason="failed")


def _make_record(
    exchange: Exchange, fault: Fault | None, now: float, duration_s: float
) -> RequestRecord:
    workspace = "" if exchange.workspace is None else exchange.workspace.name
    return RequestRecord(
        request_id=exchange.request_id,
        workspace=workspace,
        service=exchange.service,
        model=exchange.model,
        ended_at=now,
        duration_s=duration_s,
        attempts=tuple(exchange.attempts),
        outcomes=tuple(outcome.value for outcome in exchange.outcomes),
        placement=exchange.placement,
        fault=fault,
        traceparent=exchange.traceparent,
    )
