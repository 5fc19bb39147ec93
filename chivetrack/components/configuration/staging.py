"""Assembles a full state beside the active one until it can replace it."""

from chivetrack.components.configuration.messages import ConfigPage, PullPage
from chivetrack.components.store.records import KindRecords, Record
from chivetrack.components.store.table import ResourceTable


class Staging:
    """A full state that is assembled from pages and deltas.

    Pages are pulled only if the history of the peers is too short for deltas. The state
    changes while the pages are read, so some records are newer than the first page. Once
    the deltas from the first page's revision up to the newest revision of any page have
    been applied, the state matches a single revision.
    """

    def __init__(self) -> None:
        """Start with an empty state, to which deltas from revision 0 can be applied."""
        self.table = ResourceTable()
        self._records: dict[str, dict[str, Record]] = {}
        self._min_revision = 1
        self._base_revision = 0
        self._newest_revision = 0
        self._next_kind = ""
        self._next_after = ""
        self.is_paging = False

    @property
    def is_consistent(self) -> bool:
        """Return whether the assembled state matches a single revision."""
        return not self.is_paging and 0 < self.table.revision >= self._newest_revision

    def start_paging(self, minimum: int) -> None:
        """Restart from the first page, from peers whose revision is at least ``minimum``.

        Without ``minimum``, routers that are equally far behind would keep loading from
        each other a state so old that no peer has the changes after it any more.
        """
        self._min_revision = minimum
        self._records.clear()
        self._base_revision = self._newest_revision = 0
        self._next_kind = self._next_after = ""
        self.is_paging = True

    def make_request(self, correlation: int) -> PullPage:
        """Return the request for the next page."""
        return PullPage(correlation, self._get_min_revision(), self._next_kind, self._next_after)

    def handle_page(self, page: ConfigPage) -> bool:
        """Add a page; return false if the state of the peer that sent it is too old.

        A page older than the first page could lack changes that the deltas, which start
        at the first page's revision, do not contain either.
        """
        if page.revision < self._get_min_revision():
            return False
        self._base_revision = self._base_revision or page.revision
        self._newest_revision = max(self._newest_revision, page.revision)
        records = self._records.setdefault(page.records.kind, {})
        for record in page.records.records:
            records[record.name] = record
        self._next_kind = page.next_kind
        self._next_after = page.next_after
        if not page.next_kind:
            self._finish_paging()
        return True

    def _get_min_revision(self) -> int:
        return max(self._base_revision, self._min_revision)

    def _finish_paging(self) -> None:
        kinds = [
            KindRecords(kind, tuple(records.values())) for kind, records in self._records.items()
        ]
        self.table = ResourceTable()
        self.table.replace(kinds, revision=self._base_revision)
        self._records.clear()
        self.is_paging = False
