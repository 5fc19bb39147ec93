"""Statements of endpoints about themselves."""

from enum import StrEnum

from chivetrack.helpers.codec import Message, message

# A departure closes its lifetime: no statement of the same lifetime comes after it.
LAST_SEQUENCE = 2**62

# Endpoint id and ``born`` of its record.
Incarnation = tuple[str, int]


class EndpointState(StrEnum):
    """What an endpoint says that it is; ``LOST`` is said of one that is not heard any more."""

    READY = "ready"
    DRAINING = "draining"
    LEFT = "left"
    LOST = "lost"


@message("announcements.record")
class EndpointRecord(Message, frozen=True, array_like=True):
    """The newest known statement of an endpoint.

    ``born`` is the Unix millisecond of the endpoint's start; it tells two lifetimes
    under one id apart. ``sequence`` counts the statements of a lifetime. ``slots`` is
    how many requests run at once, ``cold_s`` for how long the endpoint stays slow after
    its start (seconds, as of the statement).
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
        """Return what tells this start of the endpoint from all others."""
        return (self.endpoint_id, self.born)

    @property
    def position(self) -> tuple[int, int, bool]:
        """Return what orders two statements of one endpoint.

        That it is lost comes after its last word, and before any further one.
        """
        return (self.born, self.sequence, self.state is EndpointState.LOST)

    def describe(self) -> dict[str, str | int]:
        """Return what a line about this endpoint says."""
        return {
            "endpoint": self.endpoint_id,
            "service": self.service,
            "address": self.address,
            "state": self.state.value,
            "born": self.born,
            "sequence": self.sequence,
        }
