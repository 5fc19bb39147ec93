"""Messages that carry configuration between instances."""

from chivetrack.components.store.records import Change, KindRecords
from chivetrack.helpers.codec import Message, message

UNSOLICITED = 0


class ConfirmationReport(Message, frozen=True, array_like=True):
    """A confirmation and its age when the message was sent.

    The age counts from before the leader asked its quorum, through all relays. The
    receiver adds the time since it sent its question, so that the time on the way
    is in it too.
    """

    term: int
    counter: int
    revision: int
    age_ms: int


class RouterAck(Message, frozen=True, array_like=True):
    """What a router has applied; ``age_ms`` is how long ago it said so.

    ``incarnation`` rises with every start of the router.
    """

    router: str
    incarnation: int
    revision: int
    age_ms: int = 0


@message("config/pull")
class PullConfig(Message, frozen=True, array_like=True):
    """Ask for the changes after ``revision`` and for the freshest confirmation.

    ``acks`` are the sender's own and those of the routers it relays to.
    """

    correlation: int
    revision: int
    acks: tuple[RouterAck, ...] = ()


@message("config/delta")
class ConfigDelta(Message, frozen=True, array_like=True):
    """All changes after ``from_revision`` up to ``to_revision``, in order.

    ``held_revision`` is what the sender has, so more may be pulled.
    If the sender no longer knows the changes after the revision that was asked for,
    ``compacted_to`` is the first revision after which it does, else 0. An unasked
    delta has correlation 0 and no confirmation.
    """

    correlation: int
    from_revision: int
    to_revision: int
    held_revision: int
    changes: tuple[Change, ...] = ()
    compacted_to: int = 0
    confirmation: ConfirmationReport | None = None

    @property
    def is_compacted(self) -> bool:
        """Tell whether the whole state must be pulled instead."""
        return self.compacted_to > 0


@message("config/pull-page")
class PullPage(Message, frozen=True, array_like=True):
    """Ask for records of the whole state that come after a kind and name.

    Only a holder of at least ``minimum`` is of use; another answers with no records.
    """

    correlation: int
    minimum: int = 0
    kind: str = ""
    after: str = ""


@message("config/page")
class ConfigPage(Message, frozen=True, array_like=True):
    """Records of one kind as of ``revision``; the state may change between pages.

    ``next_kind`` is empty on the last page.
    """

    correlation: int
    revision: int
    records: KindRecords
    next_kind: str = ""
    next_after: str = ""
