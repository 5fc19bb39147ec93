"""Keeps a router's crash reports, without I/O."""

from collections import OrderedDict, deque
from collections.abc import Iterable

from chivetrack.components.quarantine.const import (
    ANSWERED_RETENTION_S,
    MAX_ANSWERED,
    MAX_REPORTED,
    REPORT_DURATION_S,
)
from chivetrack.components.quarantine.models import CrashReport


class RecentCrashes:
    """Keeps a router's crash reports for the time during which they are sent to the replicas."""

    def __init__(self) -> None:
        """Initialize without crash reports."""
        self._crash_reports: deque[tuple[float, CrashReport]] = deque(maxlen=MAX_REPORTED)
        self._answered: OrderedDict[bytes, float] = OrderedDict()

    def record_answered(self, fingerprint: bytes, *, now: float) -> None:
        """Record that an endpoint answered a request completely."""
        self._answered[fingerprint] = now
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)

    def record_crash(self, crash_reports: Iterable[CrashReport], *, now: float) -> None:
        """Record the requests that were running at an endpoint when it crashed.

        Skips requests with a recently answered fingerprint: a poll sent every second is
        running at nearly every endpoint that crashes.
        """
        for report in crash_reports:
            answered_at = self._answered.get(report.fingerprint)
            if answered_at is None or now - answered_at > ANSWERED_RETENTION_S:
                self._crash_reports.append((now, report))

    def list_current(self, *, now: float) -> tuple[CrashReport, ...]:
        """Return the crash reports to send now."""
        while self._crash_reports and now - self._crash_reports[0][0] > REPORT_DURATION_S:
            self._crash_reports.popleft()
        return tuple(report for _, report in self._crash_reports)
