"""Finds the workspaces that may own a caller's key."""

from collections.abc import Sequence

from chivetrack.components.configuration import const
from chivetrack.components.resources.keys import get_key_id
from chivetrack.components.resources.kinds import KINDS
from chivetrack.components.store.records import Record
from chivetrack.components.store.table import ResourceTable


class KeyIndex:
    """Maps ids of keys to names of workspaces.

    Entries may be stale: callers must compare the full hash with the current workspace.
    The index is rebuilt after many changes, which removes the stale entries.
    """

    def __init__(self) -> None:
        """Create an empty index."""
        self._names: dict[int, str | tuple[str, ...]] = {}
        self._changes = 0

    def find_names(self, key_id: str) -> Sequence[str]:
        """Return the workspaces that have, or had, a key with this id."""
        names = self._names.get(int(key_id, 16), ())
        return (names,) if isinstance(names, str) else names

    def add(self, record: Record) -> None:
        """Add the keys of a workspace."""
        self._changes += 1
        workspace = KINDS["workspace"].compact.decode(record.spec)
        for key_hash in () if workspace is None else workspace.keys:
            key_id = int(get_key_id(key_hash), 16)
            known = self._names.get(key_id)
            if known is None or known == record.name:
                self._names[key_id] = record.name
                continue
            names = {known} if isinstance(known, str) else set(known)
            self._names[key_id] = tuple(sorted(names | {record.name}))

    def rebuild(self, table: ResourceTable) -> None:
        """Rebuild the index from the table."""
        self._names.clear()
        for record in table.iterate("workspace"):
            self.add(record)
        self._changes = 0

    def rebuild_if_due(self, table: ResourceTable) -> None:
        """Rebuild the index if many workspaces were added since the last rebuild."""
        if self._changes > max(const.REINDEX_AFTER_CHANGES, table.count("workspace")):
            self.rebuild(table)
