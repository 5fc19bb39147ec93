"""Decoders for the heartbeats and departures that endpoints send."""

import re
from typing import TypeVar

import msgspec
from expression import Error, Ok, Result

from chivetrack.components.announcements.models import EndpointRecord, EndpointState
from chivetrack.components.announcements.soundness import (
    RecordFault,
    find_born_fault,
    find_fault,
    find_id_fault,
)

MAX_BODY_BYTES = 64 * 1024

# The body as a whole, where no field of it can be named.
_BODY = "body"
_RECORD_FIELDS = {"version": "software", "coldRemainingMs": "cold_s"}
_PATH = re.compile(r"`\$\.(\w+)")
_MISSING = re.compile(r"required field `(\w+)`")
_STATES = {"ready": EndpointState.READY, "draining": EndpointState.DRAINING}


class _Model(msgspec.Struct):
    name: str


class _Heartbeat(msgspec.Struct, rename="camel"):
    """The body of a heartbeat.

    ``version`` is the version of the endpoint's software. ``cold_remaining_ms`` is the time
    for which the endpoint is still slow after its start. ``born`` is the time of its start
    in Unix milliseconds. The fields without a default are what each endpoint says: a body that
    lacks one may name any program, which would get requests and answer them.
    """

    service: str
    address: str
    zone: str
    state: str
    sequence: int
    version: str
    slots: int
    cold_remaining_ms: float
    born: int = 0
    models: list[_Model] = []


class _Departure(msgspec.Struct):
    born: int | None = None


BodyT = TypeVar("BodyT", bound=msgspec.Struct)

_HEARTBEAT = msgspec.json.Decoder(_Heartbeat)
_DEPARTURE = msgspec.json.Decoder(_Departure)


def read_heartbeat(endpoint_id: str, body: bytes) -> Result[EndpointRecord, RecordFault]:
    """Decode a heartbeat; the error side says why it cannot be used."""
    decoded = _decode(_HEARTBEAT, body)
    if decoded.is_error():
        return Error(decoded.error)
    beat = decoded.ok
    state = _STATES.get(beat.state)
    if state is None:
        return Error(RecordFault("state", "the state is not known"))
    if not beat.version:
        return Error(RecordFault("software", "it is empty"))
    record = _make_record(endpoint_id, beat, state)
    fault = find_fault(record)
    return Ok(record) if fault is None else Error(fault)


def _make_record(endpoint_id: str, beat: _Heartbeat, state: EndpointState) -> EndpointRecord:
    return EndpointRecord(
        endpoint_id=endpoint_id,
        born=beat.born,
        sequence=beat.sequence,
        service=beat.service,
        address=beat.address,
        zone=beat.zone,
        software=beat.version,
        slots=beat.slots,
        state=state,
        cold_s=beat.cold_remaining_ms / 1000.0,
        models=tuple(model.name for model in beat.models),
    )


def _make_decode_fault(error: Exception) -> RecordFault:
    stated = _PATH.search(str(error)) or _MISSING.search(str(error))
    name = _BODY if stated is None else stated[1]
    return RecordFault(_RECORD_FIELDS.get(name, name), str(error))


def read_departure(endpoint_id: str, body: bytes) -> Result[int | None, RecordFault]:
    """Return the start time (Unix ms) of the incarnation that ends, ``None`` if not given.

    The error side says why the departure cannot be used. Without a start that can be read, it might
    end a later incarnation than its own.
    """
    decoded = _decode(_DEPARTURE, body or b"{}")
    if decoded.is_error():
        return Error(decoded.error)
    born = decoded.ok.born
    fault = find_id_fault(endpoint_id)
    if fault is None and born is not None:
        fault = find_born_fault(born)
    return Ok(born) if fault is None else Error(fault)


def _decode(decoder: msgspec.json.Decoder[BodyT], body: bytes) -> Result[BodyT, RecordFault]:
    if len(body) > MAX_BODY_BYTES:
        return Error(RecordFault(_BODY, f"it is longer than {MAX_BODY_BYTES} bytes"))
    try:
        return Ok(decoder.decode(body))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Error(_make_decode_fault(error))
