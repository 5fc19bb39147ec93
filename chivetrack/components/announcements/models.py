"""Models of endpoint announcements."""

from enum import StrEnum

from chivetrack.helpers.codec import Message, message

# Sequence of a departure: no announcement of the same incarnation can be newer.
LAST_SEQUENCE = 2**62

# Endpoint id and ``born`` of its record.
Incarnation = tuple[str, int]


class EndpointState(StrEnum):
    """Announced state of an endpoint; ``LOST`` is set by replicas when heartbeats stop."""

    READY = "ready"
    DRAINING = "draining"
    LEFT = "left"
    LOST = "lost"


@message("announcements.record")
class EndpointRecord(Message, frozen=True, array_like=True):
    """Announcement of an endpoint.

    ``born`` is the start time of the endpoint in Unix milliseconds; it distinguishes
    incarnations with the same id. ``sequence`` counts the announcements of an incarnation.
    ``slots`` is the number of requests that the endpoint runs concurrently. ``cold_s`` is the
    remaining time (s) during which it is slow after its start, as of the announcement.
    ``software`` is the version of its software, empty if the announcement does not state it.
    """

    endpoint_id: str
    born: int
    sequence: int
    service: str
    address: str
    zone: str
    software: str
    slots: int
    state: EndpointState
    cold_s: float = 0.0
    models: tuple[str, ...] = ()

    @property
    def incarnation(self) -> Incarnation:
        """Return the key that identifies this incarnation of the endpoint."""
        return (self.endpoint_id, self.born)

    @property
    def position(self) -> tuple[int, int, bool]:
        """Return the sort key that orders announcements of one endpoint.

        The state ``LOST`` is newer than the last announcement before it and older than any
        later announcement.
        """
        return (self.born, self.sequence, self.state is EndpointState.LOST)

    def describe(self) -> dict[str, str | int]:
        """Return the fields that log events about this endpoint contain."""
        return {
            "endpoint": self.endpoint_id,
            "service": self.service,
            "address": self.address,
            "state": self.state.value,
            "born": self.born,
            "sequence": self.sequence,
            "software": self.software,
        }
