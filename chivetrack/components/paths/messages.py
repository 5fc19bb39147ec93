"""Messages between a router and the router that carries its connections."""

from enum import Enum

from chivetrack.helpers.codec import Message, Priority, message


@message("paths.carry", priority=Priority.URGENT)
class CarryRequest(Message, frozen=True, array_like=True):
    """Request to connect to an endpoint and carry the bytes of one connection to it.

    It is the first message on a connection of its own; a byte of ``CarryVerdict`` answers it.
    ``request_id`` is the caller's request for which the connection is opened, for the log.
    """

    endpoint_id: str
    address: str
    request_id: str


class CarryVerdict(Enum):
    """The answer to a ``CarryRequest``: one byte, before the bytes of the endpoint.

    ``UNSURE``: the carrier has not reached the endpoint, but suspects its own path as well.
    """

    CONNECTED = b"+"
    UNREACHABLE = b"-"
    UNSURE = b"?"
    REFUSED = b"!"
