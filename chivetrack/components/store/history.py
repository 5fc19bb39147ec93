"""A bounded history of the latest changes."""

from bisect import bisect_right
from collections.abc import Iterable, Sequence

from chivetrack.components.store import const
from chivetrack.components.store.records import Change


def _get_revision(change: Change) -> int:
    return change.revision


def estimate_size(change: Change) -> int:
    """Return an upper estimate of the encoded size of a change, in bytes."""
    if change.record is None:
        return const.CHANGE_OVERHEAD_BYTES
    return const.CHANGE_OVERHEAD_BYTES + len(change.record.spec) + len(change.record.status)


class History:
    """The changes after ``compaction_revision``, oldest first, bounded by number and bytes."""

    def __init__(
        self,
        *,
        compaction_revision: int = 0,
        max_changes: int = const.MAX_HISTORY_CHANGES,
        max_bytes: int = const.MAX_HISTORY_BYTES,
    ) -> None:
        """Start empty; changes up to ``compaction_revision`` are not available."""
        self.compaction_revision = compaction_revision
        self._max_changes = max_changes
        self._max_bytes = max_bytes
        self._changes: list[Change] = []
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._changes)

    def extend(self, changes: Iterable[Change]) -> None:
        """Append changes with rising revisions; drop the oldest if a limit is exceeded."""
        for change in changes:
            self._changes.append(change)
            self._bytes += estimate_size(change)
        if len(self._changes) > self._max_changes or self._bytes > self._max_bytes:
            self._compact()

    def list_after(self, revision: int, *, limit: int | None = None) -> Sequence[Change] | None:
        """Return the changes after a revision, or ``None`` if some were compacted."""
        if revision < self.compaction_revision:
            return None
        start = bisect_right(self._changes, revision, key=_get_revision)
        stop = None if limit is None else start + limit
        return self._changes[start:stop]

    def _compact(self) -> None:
        # Dropping down to 90 % of each limit avoids a compaction at every change.
        keep_changes = self._max_changes * 9 // 10
        keep_bytes = self._max_bytes * 9 // 10
        drop = 0
        while drop < len(self._changes) and (
            len(self._changes) - drop > keep_changes or self._bytes > keep_bytes
        ):
            self._bytes -= estimate_size(self._changes[drop])
            drop += 1
        self.compaction_revision = self._changes[drop - 1].revision
        del self._changes[:drop]
