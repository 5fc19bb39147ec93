"""Messages and gossip records about instances and regions."""

from chivetrack.helpers.codec import Message, message


@message("membership.instance")
class InstanceRecord(Message, frozen=True, array_like=True):
    """Record that an instance publishes about itself."""

    address: str
    region: str
    zone: str
    roles: tuple[str, ...]
    incarnation: int
    refutation: int
    leaving: bool


@message("membership.verdict")
class Verdict(Message, frozen=True, array_like=True):
    """Declares an instance dead, as found by the publisher and the witnesses."""

    target: str
    incarnation: int
    refutation: int
    witnesses: tuple[str, ...]


@message("membership.ping")
class Ping(Message, frozen=True, array_like=True):
    """Requests a ``Pong`` with the same number."""

    number: int


@message("membership.pong")
class Pong(Message, frozen=True, array_like=True):
    """Answers a ``Ping``."""

    number: int


@message("membership.witness-request")
class WitnessRequest(Message, frozen=True, array_like=True):
    """Requests an instance to probe another one."""

    number: int
    target: str


@message("membership.witness-answer")
class WitnessAnswer(Message, frozen=True, array_like=True):
    """Reports whether the witness reached the target."""

    number: int
    target: str
    reached: bool


@message("membership.notice")
class Notice(Message, frozen=True, array_like=True):
    """Notifies an instance that it was declared dead, so that it can refute."""

    incarnation: int
    refutation: int


class Contact(Message, frozen=True, array_like=True):
    """An instance that other regions may contact."""

    instance_id: str
    address: str


@message("membership.region")
class RegionRecord(Message, frozen=True, array_like=True):
    """Summary of a region for other regions: live instances and contacts."""

    routers: int
    contacts: tuple[Contact, ...]
