"""Keeps a router's crash reports and the answers that show what is sound, without I/O."""

from collections import OrderedDict, deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass

import msgspec

from chivetrack.components.quarantine.const import (
    ANSWERED_RETENTION_S,
    MAX_ANSWERED,
    MAX_REPORTED,
    REPORT_DURATION_S,
    RESEND_WINDOW_S,
)
from chivetrack.components.quarantine.models import AnsweredReport, CrashReport


@dataclass(slots=True)
class _KeptReport:
    """A crash report, the time of the crash, and since when it is sent."""

    report: CrashReport
    crashed_at: float
    sent_since: float


class RecentCrashes:
    """Keeps the crash reports that a router sends to the replicas, and what it saw answered."""

    def __init__(self) -> None:
        """Initialize without crash reports."""
        self._kept: deque[_KeptReport] = deque(maxlen=MAX_REPORTED)
        self._answered: OrderedDict[bytes, float] = OrderedDict()

    def record_answered(self, fingerprints: Iterable[bytes], *, now: float) -> None:
        """Record that an endpoint began an answer and did not crash.

        ``fingerprints`` are those of the request, of the parts of its prompt and of its service.
        """
        for fingerprint in fingerprints:
            self._answered[fingerprint] = now
            self._answered.move_to_end(fingerprint)
        while len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)

    def record_crash(self, crash_reports: Iterable[CrashReport], *, now: float) -> None:
        """Record what was running at an endpoint when it crashed.

        Skips what was answered recently: a poll sent every second, and the first part of the
        prompts of a route, are running at nearly every endpoint that crashes.
        """
        for report in crash_reports:
            answered_at = self._answered.get(report.fingerprint)
            if answered_at is None or now - answered_at > ANSWERED_RETENTION_S:
                self._kept.append(_KeptReport(report, crashed_at=now, sent_since=now))

    def report_again(self, *, now: float) -> None:
        """Send the reports of the last minute again, since a replica may have lost them."""
        for kept in self._kept:
            if now - kept.crashed_at <= RESEND_WINDOW_S:
                kept.sent_since = now

    def list_current(self, *, now: float) -> tuple[CrashReport, ...]:
        """Return the crash reports to send now."""
        while self._kept and now - self._kept[0].crashed_at > RESEND_WINDOW_S:
            self._kept.popleft()
        return tuple(
            msgspec.structs.replace(kept.report, age_s=now - kept.crashed_at)
            for kept in self._kept
            if now - kept.sent_since <= REPORT_DURATION_S
        )

    def list_answered(
        self, fingerprints: Collection[bytes], *, now: float
    ) -> tuple[AnsweredReport, ...]:
        """Return when this router last saw answers to the given ones begin."""
        return tuple(
            AnsweredReport(fingerprint, now - self._answered[fingerprint])
            for fingerprint in fingerprints
            if fingerprint in self._answered
        )
