"""The compact form in which resources are held, sent and saved."""

from chivetrack.helpers.codec import Message


class Label(Message, frozen=True, array_like=True, order=True):
    """One label of a resource."""

    key: str
    value: str


class Record(Message, frozen=True, array_like=True, kw_only=True):
    """One resource; ``spec`` and ``status`` are msgpack maps.

    ``revision`` rises with every change, ``spec_revision`` and ``status_revision``
    with a change of that part, so that a controller's status writes do not fail an
    operator's precondition. ``generation`` counts the changes of the specification.
    ``deleting_ms`` is set once a deletion waits for the finalizers.
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
    """A resource as it is from ``revision`` on; no record means that it is gone."""

    revision: int
    kind: str
    name: str
    record: Record | None = None


class KindRecords(Message, frozen=True, array_like=True):
    """All records of one kind."""

    kind: str
    records: tuple[Record, ...]
