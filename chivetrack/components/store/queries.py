"""Queries to the store, which are forwarded to the leader."""

from typing import TypeAlias

from chivetrack.components.store.outcomes import Outcome
from chivetrack.components.store.records import Record
from chivetrack.components.store.store import Store
from chivetrack.helpers.codec import Message, message, pack

MAX_PAGE_RECORDS: int = 1_000


@message("store/get")
class GetResource(Message, frozen=True, array_like=True):
    """Query one resource."""

    kind: str
    name: str


@message("store/list")
class ListResources(Message, frozen=True, array_like=True):
    """Query a page of up to ``limit`` resources whose names sort after ``after``."""

    kind: str
    after: str = ""
    limit: int = MAX_PAGE_RECORDS


@message("store/find-outcome")
class FindOutcome(Message, frozen=True, array_like=True):
    """Query the recorded outcome of a request."""

    request_id: str
    fingerprint: bytes


Query: TypeAlias = GetResource | ListResources | FindOutcome


@message("store/answer")
class Answer(Message, frozen=True, array_like=True):
    """The answer to any query, as of ``revision``.

    ``next_after`` is empty on the last page. ``outcome`` is a packed ``Outcome``, or empty
    if the store has no record of the request.
    """

    revision: int
    records: tuple[Record, ...] = ()
    next_after: str = ""
    outcome: bytes = b""


def answer_query(store: Store, query: Query) -> Answer:
    """Answer a query; the store must have applied all entries committed before it."""
    match query:
        case GetResource():
            record = store.table.get(query.kind, query.name)
            return Answer(store.revision, () if record is None else (record,))
        case ListResources():
            limit = min(max(query.limit, 1), MAX_PAGE_RECORDS)
            page = store.table.list_page(query.kind, after=query.after, limit=limit)
            return Answer(store.revision, tuple(page.records), page.next_after or "")
        case FindOutcome():
            found = store.find_outcome(query.request_id, query.fingerprint)
            return Answer(store.revision, outcome=_pack_outcome(found))


def _pack_outcome(outcome: Outcome | None) -> bytes:
    return b"" if outcome is None else pack(outcome)
