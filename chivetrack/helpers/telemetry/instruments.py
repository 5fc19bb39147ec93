"""Declarations of all metrics.

Recording a measurement takes a few microseconds, so record once per answer and not once
per chunk. Attribute values are names from the configuration or from a fixed list, never
content that a caller sent, and never the workspace: 49,000 workspaces would fill the
memory of an instance.
"""

from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType
from typing import Final

from opentelemetry.metrics import Counter, Histogram, Meter, _Gauge

from chivetrack.helpers.telemetry import const


class InstrumentKind(StrEnum):
    """How the values of an instrument combine."""

    COUNTER = "counter"
    UP_DOWN_COUNTER = "up-down counter"
    HISTOGRAM = "histogram"
    GAUGE = "gauge"


@dataclass(frozen=True, slots=True, kw_only=True)
class InstrumentSpec:
    """The declaration of an instrument."""

    name: str
    kind: InstrumentKind
    unit: str
    description: str
    attributes: tuple[str, ...] = ()


REQUESTS: Final = InstrumentSpec(
    name="chivetrack.requests",
    kind=InstrumentKind.COUNTER,
    unit="{request}",
    description="Requests answered, whatever the outcome.",
    attributes=("service", "code"),
)
REQUEST_DURATION: Final = InstrumentSpec(
    name="chivetrack.request.duration",
    kind=InstrumentKind.HISTOGRAM,
    unit="s",
    description="Time from the request line to the last byte of the answer.",
    attributes=("service",),
)
FIRST_CHUNK_DURATION: Final = InstrumentSpec(
    name="chivetrack.first_chunk.duration",
    kind=InstrumentKind.HISTOGRAM,
    unit="s",
    description="Time from the request line to the first byte of the answer's body.",
    attributes=("service",),
)
CHUNKS: Final = InstrumentSpec(
    name="chivetrack.chunks",
    kind=InstrumentKind.COUNTER,
    unit="{chunk}",
    description="Chunks of streamed answers passed on; about one token each.",
    attributes=("service",),
)
IN_FLIGHT: Final = InstrumentSpec(
    name="chivetrack.in_flight",
    kind=InstrumentKind.UP_DOWN_COUNTER,
    unit="{request}",
    description="Requests that this instance is working on, streams included.",
)
RETRIES: Final = InstrumentSpec(
    name="chivetrack.retries",
    kind=InstrumentKind.COUNTER,
    unit="{attempt}",
    description="Further attempts after one that did not run.",
    attributes=("reason",),
)
REFUSED: Final = InstrumentSpec(
    name="chivetrack.refused",
    kind=InstrumentKind.COUNTER,
    unit="{request}",
    description="Requests refused, by error code and whether they ran.",
    attributes=("code", "ran"),
)
CONTROL_BYTES: Final = InstrumentSpec(
    name="chivetrack.control",
    kind=InstrumentKind.COUNTER,
    unit="By",
    description="Bytes of messages between instances.",
    attributes=("direction", "kind"),
)
CONFIG_REVISION: Final = InstrumentSpec(
    name="chivetrack.config.revision",
    kind=InstrumentKind.GAUGE,
    unit="1",
    description="Revision of the configuration in force on this instance.",
)
LEADER: Final = InstrumentSpec(
    name="chivetrack.leader",
    kind=InstrumentKind.GAUGE,
    unit="1",
    description="1 on the replica that leads, 0 elsewhere; the fleet's sum is 1.",
)
APPLIED_LAG: Final = InstrumentSpec(
    name="chivetrack.applied.lag",
    kind=InstrumentKind.GAUGE,
    unit="{entry}",
    description="Committed log entries that this replica has not applied yet.",
)

INSTRUMENTS: Final = MappingProxyType(
    {
        spec.name: spec
        for spec in (
            REQUESTS,
            REQUEST_DURATION,
            FIRST_CHUNK_DURATION,
            CHUNKS,
            IN_FLIGHT,
            RETRIES,
            REFUSED,
            CONTROL_BYTES,
            CONFIG_REVISION,
            LEADER,
            APPLIED_LAG,
        )
    }
)


class Direction(StrEnum):
    """Direction of messages between instances."""

    SENT = "sent"
    RECEIVED = "received"


class Instruments:
    """Records measurements; each method is named after its instrument."""

    def __init__(self, *, meter: Meter) -> None:
        """Create every instrument on a meter."""
        self.meter = meter
        self._requests = _create_counter(meter, REQUESTS)
        self._duration = _create_histogram(meter, REQUEST_DURATION)
        self._first_chunk = _create_histogram(meter, FIRST_CHUNK_DURATION)
        self._chunks = _create_counter(meter, CHUNKS)
        self._in_flight = meter.create_up_down_counter(
            IN_FLIGHT.name, unit=IN_FLIGHT.unit, description=IN_FLIGHT.description
        )
        self._retries = _create_counter(meter, RETRIES)
        self._refused = _create_counter(meter, REFUSED)
        self._control_bytes = _create_counter(meter, CONTROL_BYTES)
        self._config_revision = _create_gauge(meter, CONFIG_REVISION)
        self._leader = _create_gauge(meter, LEADER)
        self._applied_lag = _create_gauge(meter, APPLIED_LAG)

    def record_request(self, *, service: str, code: str, duration_s: float) -> None:
        """Record one answered request; ``code`` is ``ok`` or the error's code."""
        self._requests.add(1, {"service": service, "code": code})
        self._duration.record(duration_s, {"service": service})

    def record_first_chunk(self, *, service: str, duration_s: float) -> None:
        """Record how long a caller waited for the first byte of the body."""
        self._first_chunk.record(duration_s, {"service": service})

    def record_chunks(self, *, service: str, count: int) -> None:
        """Record the chunks of one answer, once at its end."""
        self._chunks.add(count, {"service": service})

    def change_in_flight(self, change: int) -> None:
        """Add ``change``, which may be negative, to the number of requests in flight."""
        self._in_flight.add(change)

    def record_retry(self, *, reason: str) -> None:
        """Record one further attempt."""
        self._retries.add(1, {"reason": reason})

    def record_refusal(self, *, code: str, ran: str) -> None:
        """Record one refusal."""
        self._refused.add(1, {"code": code, "ran": ran})

    def record_control_bytes(self, *, direction: Direction, kind: str, count: int) -> None:
        """Record the bytes of messages of one kind between instances."""
        self._control_bytes.add(count, {"direction": direction.value, "kind": kind})

    def set_config_revision(self, revision: int) -> None:
        """Set the revision of the configuration in force."""
        self._config_revision.set(revision)

    def set_leader(self, is_leader: bool) -> None:
        """Set whether this replica leads."""
        self._leader.set(int(is_leader))

    def set_applied_lag(self, entries: int) -> None:
        """Set the number of committed log entries that are not applied yet."""
        self._applied_lag.set(entries)


def _create_counter(meter: Meter, spec: InstrumentSpec) -> Counter:
    return meter.create_counter(spec.name, unit=spec.unit, description=spec.description)


def _create_gauge(meter: Meter, spec: InstrumentSpec) -> _Gauge:
    return meter.create_gauge(spec.name, unit=spec.unit, description=spec.description)


def _create_histogram(meter: Meter, spec: InstrumentSpec) -> Histogram:
    return meter.create_histogram(
        spec.name,
        unit=spec.unit,
        description=spec.description,
        explicit_bucket_boundaries_advisory=const.DURATION_BOUNDS_S,
    )
