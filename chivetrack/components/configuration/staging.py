"""Gathers a whole state beside the one in force, until it may take its place."""

from chivetrack.components.configuration.messages import ConfigPage, PullPage
from chivetrack.components.store.records import KindRecords, Record
from chivetrack.components.store.table import ResourceTable


class Staging:
    """A state being gathered: first pages, if deltas don't reach back, then deltas.

    The pages are read while the state changes, so some records are newer than the
    first page. Once the deltas after the first page's revision have been applied up
    to the newest revision seen, the state is that of one revision again.
    """

    def __init__(self) -> None:
        """Start with the empty state, which deltas from revision 0 may fill."""
        self.table = ResourceTable()
        self._records: dict[str, dict[str, Record]] = {}
        self._minimum = 1
        self._base = 0
        self._newest = 0
        self._next_kind = ""
        self._next_after = ""
        self.is_paging = False

    @property
    def is_consistent(self) -> bool:
        """Tell whether the gathered state is that of one revision."""
        return not self.is_paging and 0 < self.table.revision >= self._newest

    def start_paging(self, minimum: int) -> None:
        """Begin again from the first page, from holders of at least ``minimum``.

        Peers that are as far behind as this router would otherwise give each other
        a state after which nobody knows the changes any more, again and again.
        """
        self._minimum = minimum
        self._records.clear()
        self._base = self._newest = 0
        self._next_kind = self._next_after = ""
        self.is_paging = True

    def make_request(self, correlation: int) -> PullPage:
        """Return the question for the next page."""
        return PullPage(correlation, self._get_minimum(), self._next_kind, self._next_after)

    def handle_page(self, page: ConfigPage) -> bool:
        """Take the answer to ``ask``; false if that peer's state is too old.

        A page from a peer behind the first page could lack changes that the deltas,
        which start there, do not bring either.
        """
        if page.revision < self._get_minimum():
            return False
        self._base = self._base or page.revision
        self._newest = max(self._newest, page.revision)
        records = self._records.setdefault(page.records.kind, {})
        for record in page.records.records:
            records[record.name] = record
        self._next_kind = page.next_kind
        self._next_after = page.next_after
        if not page.next_kind:
            self._finish_paging()
        return True

    def _get_minimum(self) -> int:
        return max(self._base, self._minimum)

    def _finish_paging(self) -> None:
        kinds = [
            KindRecords(kind, tuple(records.values())) for kind, records in self._records.items()
        ]
        self.table = ResourceTable()
        self.table.replace(kinds, revision=self._base)
        self._records.clear()
        self.is_paging = False
