"""Streams the changes of a kind, one JSON object per line."""

from collections.abc import Iterator, Sequence

import msgspec
from gevent.event import Event

from chivetrack.components.configuration.view import ConfigView
from chivetrack.components.resource_api import const
from chivetrack.components.resource_api.models import Json
from chivetrack.components.resource_api.problems import make_problem
from chivetrack.components.resource_api.rendering import render_problem, render_record
from chivetrack.components.store.records import Change
from chivetrack.components.store.table import TableUpdate


def watch_changes(
    view: ConfigView, kind: str, *, revision: int, bookmark_interval_s: float
) -> Iterator[bytes]:
    """Yield the changes after a revision as they are made, and bookmarks while idle.

    Watchers have no queues; all read from the bounded history of the table. A watcher
    that is too slow for the history gets the error ``compacted`` and its stream ends, so
    that it can't use unbounded memory. The first event is a bookmark, so that the headers
    are sent before the first change.
    """
    changed = Event()

    def wake(update: TableUpdate) -> None:
        changed.set()

    unsubscribe = view.subscribe(wake)
    try:
        yield _encode(_make_bookmark(revision))
        while True:
            changed.clear()
            changes = view.table.list_changes(revision, limit=const.MAX_WATCH_BATCH_CHANGES)
            if changes is None:
                yield _encode(_make_compacted(view))
                return
            if changes:
                revision = changes[-1].revision
                yield _encode_changes(kind, changes)
            elif not changed.wait(timeout=bookmark_interval_s):
                yield _encode(_make_bookmark(revision))
    finally:
        unsubscribe()


def _encode_changes(kind: str, changes: Sequence[Change]) -> bytes:
    return b"".join(_encode(_render(change)) for change in changes if change.kind == kind)


def _render(change: Change) -> Json:
    if change.record is None:
        deleted = {"kind": change.kind, "metadata": {"name": change.name}}
        return {"type": "deleted", "revision": change.revision, "resource": deleted}
    resource = render_record(change.kind, change.record)
    return {"type": "changed", "revision": change.revision, "resource": resource}


def _make_bookmark(revision: int) -> Json:
    return {"type": "bookmark", "revision": revision}


def _make_compacted(view: ConfigView) -> Json:
    message = f"changes up to revision {view.table.compaction_revision} are no longer kept"
    problem = make_problem("compacted", message, status=410)
    return {"type": "error", **render_problem(problem)}


def _encode(event: Json) -> bytes:
    return msgspec.json.encode(event) + b"\n"
