"""Orders the quarantine of what crashes endpoints, by the evidence of all routers."""

import time
from collections.abc import Callable
from pathlib import Path

import gevent

from chivetrack.components.quarantine.evidence import CrashEvidence
from chivetrack.components.quarantine.models import Quarantine, QuarantineOrder, StoredEvidence
from chivetrack.daemon.fleet.state_file import StateContent, StateFile
from chivetrack.helpers.events import EventLog

_FILE_NAME = "evidence"
# The reports of one crash come together, from all routers that had requests there.
_WRITE_DELAY_S = 0.05


class _Content(StateContent, array_like=True):
    """The evidence, and the newest quarantine that was applied to it."""

    evidence: StoredEvidence
    quarantine: Quarantine


class QuarantineHost:
    """Owns a replica's evidence of crashes and, at the leader, orders what is due.

    All replicas collect the evidence, so a new leader can issue orders that failed at the one
    before. Each keeps its own on its disk: a crash that is known only to processes which are killed
    together would not count.
    """

    def __init__(
        self,
        *,
        folder: Path,
        evidence: CrashEvidence,
        is_leader: Callable[[], bool],
        get_quarantine: Callable[[], Quarantine],
        order: Callable[[QuarantineOrder], object],
        events: EventLog,
    ) -> None:
        """Store the evidence and the callbacks.

        ``get_quarantine`` returns the replicated one; ``order`` has an order replicated.
        """
        self._evidence = evidence
        self._is_leader = is_leader
        self._get_quarantine = get_quarantine
        self._order = order
        self._events = events
        self._applied = Quarantine()
        self._newest = Quarantine()
        self._pending: set[bytes] = set()
        self._file = StateFile(
            folder=folder,
            name=_FILE_NAME,
            content_type=_Content,
            write_delay_s=_WRITE_DELAY_S,
            get_change=lambda: (evidence.change, self._newest.revision),
            make_content=self._make_content,
            events=events,
        )

    @property
    def is_storing(self) -> bool:
        """Return whether the last change of the evidence is not on the disk yet."""
        return self._file.is_outdated

    def _make_content(self) -> _Content:
        return _Content(
            written_at=time.time(),
            evidence=self._evidence.store(now=time.monotonic()),
            quarantine=self._newest,
        )

    def load(self) -> None:
        """Go on from the evidence on the disk; before the log of this replica is read."""
        content = self._file.load()
        if content is None:
            return
        self._newest = content.quarantine
        self._evidence.restore(content.evidence, age_s=content.get_age(), now=time.monotonic())
        self._events.write("evidence_read", crash_reports=len(content.evidence.crash_reports))

    def handle_quarantine(self, quarantine: Quarantine) -> None:
        """Log what has changed, and count the crashes under what was released anew."""
        before, self._applied = self._applied, quarantine
        for one in before.requests:
            if quarantine.find(one.fingerprint) is None:
                self._events.write("request_released", **one.describe())
        for one in quarantine.requests:
            if before.find(one.fingerprint) is None:
                self._events.write("request_quarantined", **one.describe())
        # After a restart the log is applied again, from older states than the evidence has seen.
        if quarantine.revision > self._newest.revision:
            self._reset_released(quarantine)
            self._newest = quarantine
        self._file.schedule_write()

    def _reset_released(self, quarantine: Quarantine) -> None:
        now = time.monotonic()
        gone = [one for one in self._newest.requests if quarantine.find(one.fingerprint) is None]
        for one in gone:
            self._evidence.reset_count(one, now=now)
        is_one_release = quarantine.revision == quarantine.released_revision and len(gone) == 1
        # A replica that was down or behind may not have seen what was held and released meanwhile.
        if quarantine.released_revision > self._newest.released_revision and not is_one_release:
            self._evidence.reset_all(now=now)

    def order_due(self) -> None:
        """Store new evidence; at the leader, order the quarantine of what is due."""
        self._file.schedule_write()
        if not self._is_leader():
            return
        due = self._evidence.list_due(self._get_quarantine(), at=time.time(), now=time.monotonic())
        for order in due:
            if order.fingerprint not in self._pending:
                self._pending.add(order.fingerprint)
                gevent.spawn(self._issue, order)

    def _issue(self, order: QuarantineOrder) -> None:
        try:
            self._order(order)
        finally:
            self._pending.discard(order.fingerprint)
