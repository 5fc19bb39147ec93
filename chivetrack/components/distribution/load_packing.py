"""Packs the loads of many endpoints, and subtracts a router's own share from a total."""

from collections.abc import Iterable
from operator import attrgetter

from expression import Result

from chivetrack.components.distribution.messages import EndpointLoad
from chivetrack.helpers.columns import pack_rows, unpack_rows


def pack_loads(loads: Iterable[EndpointLoad]) -> bytes:
    """Return loads in compressed form, in the order of their ids."""
    return pack_rows(sorted(loads, key=attrgetter("endpoint_id")))


def unpack_loads(payload: bytes) -> Result[list[EndpointLoad], str]:
    """Return the loads packed by ``pack_loads``; the error side describes the fault."""
    return unpack_rows(payload, EndpointLoad)


def subtract_load(total: EndpointLoad, part: EndpointLoad | None) -> EndpointLoad:
    """Return a load without one router's share, which may be slightly newer than the total."""
    if part is None:
        return total
    return EndpointLoad(
        endpoint_id=total.endpoint_id,
        running=max(0, total.running - part.running),
        tokens=max(0, total.tokens - part.tokens),
        answered=max(0, total.answered - part.answered),
        failed=max(0, total.failed - part.failed),
    )
