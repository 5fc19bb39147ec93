"""What instances tell each other about instances."""

from chivetrack.helpers.codec import Message, message


@message("membership.instance")
class InstanceRecord(Message, frozen=True, array_like=True):
    """What an instance says of itself."""

    address: str
    region: str
    zone: str
    roles: tuple[str, ...]
    incarnation: int
    refutation: int
    leaving: bool


@message("membership.verdict")
class Verdict(Message, frozen=True, array_like=True):
    """An instance was found dead by its accuser and by witnesses."""

    target: str
    incarnation: int
    refutation: int
    witnesses: tuple[str, ...]


@message("membership.ping")
class Ping(Message, frozen=True, array_like=True):
    """Asks for a ``Pong`` with the same number."""

    number: int


@message("membership.pong")
class Pong(Message, frozen=True, array_like=True):
    """Answers a ``Ping``."""

    number: int


@message("membership.witness-request")
class WitnessRequest(Message, frozen=True, array_like=True):
    """Asks an instance to probe another one."""

    number: int
    target: str


@message("membership.witness-answer")
class WitnessAnswer(Message, frozen=True, array_like=True):
    """Says whether the witness reached the target."""

    number: int
    target: str
    reached: bool


@message("membership.notice")
class Notice(Message, frozen=True, array_like=True):
    """Tells an instance that it counts as dead, so that it can refute."""

    incarnation: int
    refutation: int


class Contact(Message, frozen=True, array_like=True):
    """An instance of a region that others may talk to."""

    instance_id: str
    address: str


@message("membership.region")
class RegionRecord(Message, frozen=True, array_like=True):
    """The one thing that other regions are told of a region's instances."""

    routers: int
    contacts: tuple[Contact, ...]
