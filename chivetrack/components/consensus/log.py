"""Log entries in memory since the last compaction, and the members at each index."""

from collections.abc import Sequence

from chivetrack.components.consensus.const import ENTRY_OVERHEAD_BYTES, MIN_KEPT_BYTES
from chivetrack.components.consensus.members import Members
from chivetrack.components.consensus.messages import Entry, EntryKind
from chivetrack.components.consensus.models import Limits, Recovered, Snapshot
from chivetrack.helpers.codec import unpack


def drop_data(snapshot: Snapshot) -> Snapshot:
    """Return the snapshot without its ``data``."""
    return Snapshot(index=snapshot.index, term=snapshot.term, members=snapshot.members)


def decode_members(entry: Entry) -> Members:
    """Return the members stored in an entry of kind ``MEMBERS``.

    Raises ``ValueError`` if the data decodes to something else.
    """
    members = unpack(entry.data)
    if not isinstance(members, Members):
        raise ValueError(f"entry {entry.index} holds no members")
    return members


class Log:
    """The entries after ``base_index`` up to ``last_index``, and the latest snapshot."""

    def __init__(self, *, recovered: Recovered, limits: Limits) -> None:
        """Create the log from the state recovered from disk."""
        self._limits = limits
        self.snapshot = drop_data(recovered.snapshot)
        self._base_index = recovered.snapshot.index
        self._base_term = recovered.snapshot.term
        self._entries: list[Entry] = []
        self._members: list[tuple[int, Members]] = [
            (recovered.snapshot.index, recovered.snapshot.members)
        ]
        self.append(recovered.entries)

    @property
    def base_index(self) -> int:
        """Return the index before the first entry; its term is still known."""
        return self._base_index

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def members(self) -> Members:
        """Return the latest members, committed or not."""
        return self._members[-1][1]

    @property
    def members_index(self) -> int:
        """Return the index of the entry that holds the latest members."""
        return self._members[-1][0]

    def get_members_at(self, index: int) -> Members:
        """Return the members in effect at ``index``, which must not precede the snapshot."""
        return next(one for at, one in reversed(self._members) if at <= index)

    def find_term(self, index: int) -> int | None:
        """Return the term of an entry, or ``None`` if the log does not hold it."""
        if index == self._base_index:
            return self._base_term
        if not self._base_index < index <= self.last_index:
            return None
        return self._entries[index - self._base_index - 1].term

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries; raises ``ValueError`` if they do not follow the last one."""
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise ValueError(f"entry {entry.index} does not follow {self.last_index}")
            self._entries.append(entry)
            if entry.kind is EntryKind.MEMBERS:
                self._members.append((entry.index, decode_members(entry)))

    def truncate(self, index: int) -> None:
        """Drop all entries from ``index`` on, with the member changes in them."""
        del self._entries[index - self._base_index - 1 :]
        self._members = [one for one in self._members if one[0] < index]

    def list_entries(self, first: int, last: int) -> tuple[Entry, ...]:
        """Return the entries from ``first`` to ``last``, both included."""
        return tuple(self._entries[first - self._base_index - 1 : last - self._base_index])

    def list_batch(self, first: int) -> tuple[Entry, ...]:
        """Return entries from ``first`` on, up to ``append_bytes`` but at least one."""
        size = 0
        last = first
        while last <= self.last_index:
            size += len(self._entries[last - self._base_index - 1].data) + ENTRY_OVERHEAD_BYTES
            if size > self._limits.append_bytes and last > first:
                break
            last += 1
        return self.list_entries(first, last - 1)

    def find_term_start(self, index: int) -> int:
        """Return the first index in the log with the same term as the entry at ``index``."""
        term = self.find_term(index)
        while index - 1 > self._base_index and self.find_term(index - 1) == term:
            index -= 1
        return index

    def find_term_end(self, term: int, before: int) -> int | None:
        """Return the last index of ``term`` up to ``before``, or ``None``."""
        index = min(before, self.last_index)
        while index > self._base_index and (self.find_term(index) or 0) > term:
            index -= 1
        return index if self.find_term(index) == term else None

    def compact(self, snapshot: Snapshot) -> None:
        """Drop entries that a new snapshot covers, except for the trailing ones."""
        keep_after = self._find_trailing(snapshot)
        self._base_term = self.find_term(keep_after) or 0
        del self._entries[: keep_after - self._base_index]
        self._base_index = keep_after
        later = [one for one in self._members if one[0] > snapshot.index]
        self._members = [(snapshot.index, snapshot.members), *later]
        self.snapshot = drop_data(snapshot)

    def _find_trailing(self, snapshot: Snapshot) -> int:
        """Return the index after which entries are kept beside a snapshot."""
        index = snapshot.index
        limit = min(self._limits.trailing_bytes, max(MIN_KEPT_BYTES, len(snapshot.data)))
        first = max(self._base_index, index - self._limits.trailing_entries)
        size = 0
        while index > first:
            size += len(self._entries[index - self._base_index - 1].data)
            if size > limit:
                break
            index -= 1
        return index

    def reset(self, snapshot: Snapshot) -> None:
        """Drop all entries and continue after a snapshot from the leader."""
        self._entries.clear()
        self._base_index = snapshot.index
        self._base_term = snapshot.term
        self._members = [(snapshot.index, snapshot.members)]
        self.snapshot = drop_data(snapshot)
