"""Decoders for the heartbeats and departures that endpoints send."""

import msgspec
from expression import Error, Ok, Result

from chivetrack.components.announcements.models import EndpointRecord, EndpointState
from chivetrack.helpers.numbers import read_count
from chivetrack.helpers.sections.values import MAX_PORT

_STATES = {"ready": EndpointState.READY, "draining": EndpointState.DRAINING}


class _Model(msgspec.Struct):
    name: str


class _Heartbeat(msgspec.Struct, rename="camel"):
    """The body of a heartbeat.

    ``version`` is the version of the endpoint's software. ``cold_remaining_ms`` is the time
    for which the endpoint is still slow after its start. ``born`` is the time of its start
    in Unix milliseconds.
    """

    service: str
    address: str
    zone: str
    state: str
    sequence: int
    born: int = 0
    version: str = ""
    slots: int = 0
    cold_remaining_ms: float = 0.0
    models: list[_Model] = []


class _Departure(msgspec.Struct):
    born: int | None = None


_HEARTBEAT = msgspec.json.Decoder(_Heartbeat)
_DEPARTURE = msgspec.json.Decoder(_Departure)


def read_heartbeat(endpoint_id: str, body: bytes) -> Result[EndpointRecord, str]:
    """Decode a heartbeat; the error side says why it cannot be used."""
    try:
        beat = _HEARTBEAT.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Error(str(error))
    state = _STATES.get(beat.state)
    if state is None:
        return Error(f"the state {beat.state!r} is not known")
    if not (endpoint_id and beat.service and _is_address(beat.address)):
        return Error("the id, the service or the address is missing or invalid")
    return Ok(
        EndpointRecord(
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
    )


def _is_address(text: str) -> bool:
    host, _, port_text = text.rpartition(":")
    port = read_count(port_text)
    return bool(host) and port is not None and 0 < port <= MAX_PORT


def read_departure(body: bytes) -> int | None:
    """Return the start time (Unix ms) of the incarnation that ends, ``None`` if not given."""
    if not body:
        return None
    try:
        return _DEPARTURE.decode(body).born
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
