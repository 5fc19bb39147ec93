"""Counts, for each request, the endpoint crashes during which it was running, without I/O."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from chivetrack.components.quarantine.const import (
    CRASHES_TO_QUARANTINE,
    EVIDENCE_RETENTION_S,
    MAX_SUSPECTS,
    PRUNE_INTERVAL_S,
    REPORT_DURATION_S,
)
from chivetrack.components.quarantine.models import CrashReport, Quarantine, QuarantineOrder


@dataclass(slots=True)
class _Suspect:
    """A request with the endpoint incarnations that crashed while running it.

    ``crashes`` maps each incarnation to the time of its first report. ``excluded`` are the
    incarnations that a release has removed from the count.
    """

    report: CrashReport
    crashes: dict[str, float] = field(default_factory=dict)
    excluded: set[str] = field(default_factory=set)

    def list_counted(self) -> tuple[str, ...]:
        return tuple(crash for crash in self.crashes if crash not in self.excluded)


class CrashEvidence:
    """Identifies requests that crash endpoints, from the crash reports of all routers.

    Callers may send such a request repeatedly, each time to another router. Each router then
    sees single crashes of different endpoints; only the combined reports show the request
    that they have in common. Requests that only ran concurrently with it are usually
    involved in one crash each.
    """

    def __init__(self) -> None:
        """Initialize without crash reports."""
        self._suspects: dict[bytes, _Suspect] = {}
        self._due: set[bytes] = set()
        self._pruned_at = float("-inf")
        self._recent: dict[tuple[bytes, str], tuple[float, CrashReport]] = {}

    def __len__(self) -> int:
        """Return the number of tracked requests."""
        return len(self._suspects)

    def record(self, crash_reports: Iterable[CrashReport], *, now: float) -> bool:
        """Count crash reports and return whether any is new; duplicates and order don't matter."""
        is_new = False
        for report in crash_reports:
            suspect = self._suspects.get(report.fingerprint)
            if suspect is None:
                suspect = self._suspects[report.fingerprint] = _Suspect(report)
            if report.incarnation not in suspect.crashes:
                suspect.crashes[report.incarnation] = now
                self._recent[report.fingerprint, report.incarnation] = (now, report)
                self._update_due(report.fingerprint)
                is_new = True
        if now - self._pruned_at > PRUNE_INTERVAL_S:
            self._pruned_at = now
            self._prune_expired(now)
        self._evict_excess()
        return is_new

    def list_recent(self, *, now: float) -> tuple[CrashReport, ...]:
        """Return the recent crash reports, to be forwarded to the other replicas."""
        old = [key for key, (at, _) in self._recent.items() if now - at > REPORT_DURATION_S]
        for key in old:
            del self._recent[key]
        return tuple(report for _, report in self._recent.values())

    def list_due(self, quarantine: Quarantine, *, at: float) -> list[QuarantineOrder]:
        """Return orders for requests that have reached the crash threshold.

        ``at`` is the current Unix time in seconds.
        """
        return [
            self._make_order(self._suspects[fingerprint], quarantine.revision, at)
            for fingerprint in self._due
            if quarantine.find(fingerprint) is None
        ]

    @staticmethod
    def _make_order(suspect: _Suspect, seen_revision: int, at: float) -> QuarantineOrder:
        return QuarantineOrder(
            fingerprint=suspect.report.fingerprint,
            crashes=suspect.list_counted(),
            service=suspect.report.service,
            path=suspect.report.path,
            workspace=suspect.report.workspace,
            seen_revision=seen_revision,
            at=at,
        )

    def reset_count(self, fingerprint: bytes) -> None:
        """Exclude the known crashes of a released request from its count.

        They stay recorded, so that delayed reports don't count them again.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.excluded.update(suspect.crashes)
            self._update_due(fingerprint)

    def _update_due(self, fingerprint: bytes) -> None:
        if len(self._suspects[fingerprint].list_counted()) >= CRASHES_TO_QUARANTINE:
            self._due.add(fingerprint)
        else:
            self._due.discard(fingerprint)

    def _drop(self, fingerprint: bytes) -> None:
        del self._suspects[fingerprint]
        self._due.discard(fingerprint)

    def _prune_expired(self, now: float) -> None:
        for fingerprint, suspect in list(self._suspects.items()):
            for incarnation, at in list(suspect.crashes.items()):
                if now - at > EVIDENCE_RETENTION_S:
                    del suspect.crashes[incarnation]
                    suspect.excluded.discard(incarnation)
            if suspect.crashes:
                self._update_due(fingerprint)
            else:
                self._drop(fingerprint)

    def _evict_excess(self) -> None:
        if len(self._suspects) <= MAX_SUSPECTS:
            return
        # Evicts an extra eighth, so that a flood of new requests doesn't cause a sort per call.
        extra = len(self._suspects) - MAX_SUSPECTS + MAX_SUSPECTS // 8
        # The sort is stable: among equal crash counts, the oldest entries are evicted first.
        by_crash_count = sorted(self._suspects, key=lambda each: len(self._suspects[each].crashes))
        for fingerprint in by_crash_count[:extra]:
            self._drop(fingerprint)
