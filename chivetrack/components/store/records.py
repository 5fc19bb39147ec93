"""The compact form of resources in memory, in messages and in snapshots."""

from chivetrack.helpers.codec import Message


class Label(Message, frozen=True, array_like=True, order=True):
    """One label of a resource."""

    key: str
    value: str


class Record(Message, frozen=True, array_like=True, kw_only=True):
    """One resource; ``spec`` and ``status`` are msgpack maps.

    ``revision`` rises with every change, ``spec_revision`` and ``status_revision`` only
    with a change of that part, so that the status updates of a controller do not violate
    the precondition of an operator. ``generation`` counts changes of the specification.
    ``deleting_ms`` is the time of a deletion that waits for finalizers, otherwise 0.
    """

    name: str
    revision: int
    spec: bytes
    spec_revision: int
    created_ms: int
    generation: int = 1
    status: bytes = b""
    status_revision: int = 0
    labels: tuple[Label, ...] = ()
    finalizers: tuple[str, ...] = ()
    deleting_ms: int = 0


class Change(Message, frozen=True, array_like=True):
    """The state of a resource from ``revision`` on; ``None`` as record: it was deleted."""

    revision: int
    kind: str
    name: str
    record: Record | None = None


class KindRecords(Message, frozen=True, array_like=True):
    """All records of one kind."""

    kind: str
    records: tuple[Record, ...]
