"""The table of all resources at one revision, with the latest changes.

Used by the store of a replica and for the configuration of a router.
"""

from bisect import bisect_right
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from chivetrack.components.store import const
from chivetrack.components.store.history import History
from chivetrack.components.store.records import Change, KindRecords, Record
from chivetrack.core import Unsubscribe


@dataclass(frozen=True, slots=True, kw_only=True)
class TableUpdate:
    """Notification of subscribers; with ``is_reset`` they must read the whole table again."""

    revision: int
    changes: Sequence[Change] = ()
    is_reset: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Page:
    """Records in the order of their names; ``next_after`` is ``None`` on the last page."""

    records: Sequence[Record]
    next_after: str | None


Subscriber = Callable[[TableUpdate], None]


class ResourceTable:
    """All resources by kind and name; the revision of the table never decreases."""

    def __init__(
        self,
        *,
        history_changes: int = const.MAX_HISTORY_CHANGES,
        history_bytes: int = const.MAX_HISTORY_BYTES,
    ) -> None:
        """Start empty at revision 0."""
        self._history_changes = history_changes
        self._history_bytes = history_bytes
        self._kinds: dict[str, dict[str, Record]] = {}
        self._sorted: dict[str, list[str]] = {}
        self._subscribers: list[Subscriber] = []
        self._history = self._make_history(0)
        self.revision = 0

    @property
    def compaction_revision(self) -> int:
        """Return the revision up to which changes are no longer available."""
        return self._history.compaction_revision

    def get(self, kind: str, name: str) -> Record | None:
        """Return a record, or ``None``."""
        records = self._kinds.get(kind)
        return None if records is None else records.get(name)

    def iterate(self, kind: str) -> Iterator[Record]:
        """Iterate over the records of a kind, in no defined order."""
        return iter(self._kinds.get(kind, {}).values())

    def list_kinds(self) -> list[str]:
        """Return the names of the kinds that have records, sorted."""
        return sorted(kind for kind, records in self._kinds.items() if records)

    def count(self, kind: str) -> int:
        """Return the number of records of a kind."""
        return len(self._kinds.get(kind, {}))

    def list_page(self, kind: str, *, after: str = "", limit: int) -> Page:
        """Return up to ``limit`` records whose names sort after ``after``."""
        records = self._kinds.get(kind, {})
        names = self._sorted.get(kind)
        if names is None:
            names = self._sorted[kind] = sorted(records)
        start = bisect_right(names, after) if after else 0
        chosen = names[start : start + limit]
        is_last = start + limit >= len(names)
        next_after = None if is_last or not chosen else chosen[-1]
        return Page(records=[records[name] for name in chosen], next_after=next_after)

    def list_changes(self, after: int, *, limit: int | None = None) -> Sequence[Change] | None:
        """Return the changes after a revision, or ``None`` if some were compacted."""
        return self._history.list_after(after, limit=limit)

    def apply(self, changes: Sequence[Change], *, revision: int | None = None) -> bool:
        """Apply changes in the order of their revisions; return whether the table changed.

        Changes at or below the table's revision are skipped: a delayed or duplicate delta
        would restore an older specification. ``revision`` is the revision of the table
        afterwards, if higher than that of the last change.
        """
        new_changes = [change for change in changes if change.revision > self.revision]
        target = max(revision or 0, new_changes[-1].revision if new_changes else 0)
        if target <= self.revision:
            return False
        for change in new_changes:
            self._set(change)
        self._history.extend(new_changes)
        self.revision = target
        self._notify(TableUpdate(revision=target, changes=new_changes))
        return True

    def replace(
        self,
        kinds: Sequence[KindRecords],
        *,
        revision: int,
        compaction_revision: int | None = None,
        changes: Sequence[Change] = (),
    ) -> bool:
        """Replace the whole state, unless the new one is older; return whether replaced."""
        if revision < self.revision:
            return False
        self._kinds = {
            entry.kind: {record.name: record for record in entry.records} for entry in kinds
        }
        self._sorted.clear()
        self._history = self._make_history(
            revision if compaction_revision is None else compaction_revision
        )
        self._history.extend(map(self._share_record, changes))
        self.revision = revision
        self._notify(TableUpdate(revision=revision, is_reset=True))
        return True

    def export(self) -> tuple[KindRecords, ...]:
        """Return all records, for a snapshot."""
        return tuple(
            KindRecords(kind, tuple(records.values())) for kind, records in self._kinds.items()
        )

    def subscribe(self, subscriber: Subscriber) -> Unsubscribe:
        """Call ``subscriber``, which must not raise, after every update."""
        self._subscribers.append(subscriber)

        def unsubscribe() -> None:
            if subscriber in self._subscribers:
                self._subscribers.remove(subscriber)

        return unsubscribe

    def _set(self, change: Change) -> None:
        records = self._kinds.setdefault(change.kind, {})
        if change.record is None:
            if records.pop(change.name, None) is not None:
                self._sorted.pop(change.kind, None)
            return
        if change.name not in records:
            self._sorted.pop(change.kind, None)
        records[change.name] = change.record

    def _share_record(self, change: Change) -> Change:
        """Return the change with the table's equal record, to store it in memory only once."""
        record = self.get(change.kind, change.name)
        if record is None or record.revision != change.revision:
            return change
        return Change(change.revision, change.kind, change.name, record)

    def _make_history(self, compaction_revision: int) -> History:
        return History(
            compaction_revision=compaction_revision,
            max_changes=self._history_changes,
            max_bytes=self._history_bytes,
        )

    def _notify(self, update: TableUpdate) -> None:
        for subscriber in tuple(self._subscribers):
            subscriber(update)
