"""Messages that carry configuration between instances."""

from chivetrack.components.store.records import Change, KindRecords
from chivetrack.helpers.codec import Message, message

UNSOLICITED = 0


class ConfirmationReport(Message, frozen=True, array_like=True):
    """A quorum confirmation and its age when the message was sent.

    The age starts just before the leader queried its quorum and includes the time spent
    on all relays. The receiver counts the age from when it sent its own request, so that
    the network delay is included too.
    """

    term: int
    counter: int
    revision: int
    age_ms: int


class RouterAck(Message, frozen=True, array_like=True):
    """The revision that a router has applied.

    ``age_ms`` is the time since the router last reported this revision. ``incarnation``
    increases with every start of the router.
    """

    router: str
    incarnation: int
    revision: int
    age_ms: int = 0


@message("config/pull")
class PullConfig(Message, frozen=True, array_like=True):
    """Request the changes after ``revision`` and the newest confirmation.

    ``acks`` holds the acknowledgement of the sender and those of the routers that pull
    from it.
    """

    correlation: int
    revision: int
    acks: tuple[RouterAck, ...] = ()


@message("config/delta")
class ConfigDelta(Message, frozen=True, array_like=True):
    """All changes after ``from_revision`` up to ``to_revision``, in order.

    ``held_revision`` is the sender's own revision; if it is higher than ``to_revision``,
    the receiver can pull again. ``compacted_to`` is 0 unless the sender no longer keeps
    the changes after the requested revision; it is then the oldest revision after which
    the sender still has all changes. An unsolicited delta has correlation 0 and no
    confirmation.
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
        """Return whether the full state must be pulled instead."""
        return self.compacted_to > 0


@message("config/pull-page")
class PullPage(Message, frozen=True, array_like=True):
    """Request the page of the full state that follows a kind and name.

    A peer whose revision is below ``minimum`` answers with a page without records.
    """

    correlation: int
    minimum: int = 0
    kind: str = ""
    after: str = ""


@message("config/page")
class ConfigPage(Message, frozen=True, array_like=True):
    """Records of one kind at ``revision``; the state may change between pages.

    ``next_kind`` is empty on the last page.
    """

    correlation: int
    revision: int
    records: KindRecords
    next_kind: str = ""
    next_after: str = ""
