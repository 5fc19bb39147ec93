"""Schedule of the reports of this router's counts to the owners of endpoints."""

from chivetrack.components.routing.const import (
    FINISH_REPORT_DELAY_S,
    OWNER_HEARTBEAT_S,
    START_REPORT_DELAY_S,
)


class ReportSchedule:
    """Holds the time at which the next report to each owner is due."""

    def __init__(self) -> None:
        """Initialize the schedule without due reports."""
        self._due_at: dict[str, float] = {}

    def schedule_start_report(self, owner: str, now: float) -> None:
        """Schedule the report of a started request."""
        self._schedule(owner, now + START_REPORT_DELAY_S)

    def schedule_immediate_report(self, owner: str, now: float) -> None:
        """Schedule a report that is due immediately."""
        self._schedule(owner, now)

    def schedule_finish_report(self, owner: str, now: float) -> None:
        """Schedule the report of a finished request."""
        self._schedule(owner, now + FINISH_REPORT_DELAY_S)

    def record_sent(self, owner: str, now: float, *, has_counts: bool) -> None:
        """Clear the due report after it was sent.

        Counts that are not zero (``has_counts``) are due again after ``OWNER_HEARTBEAT_S``.
        """
        self._due_at.pop(owner, None)
        if has_counts:
            self._due_at[owner] = now + OWNER_HEARTBEAT_S

    def find_next_due(self) -> float | None:
        """Return the time of the next report, or ``None`` if none is scheduled."""
        return min(self._due_at.values(), default=None)

    def list_due(self, now: float) -> list[str]:
        """Return the owners to which a report is due."""
        return [owner for owner, due_at in self._due_at.items() if due_at <= now]

    def _schedule(self, owner: str, due_at: float) -> None:
        self._due_at[owner] = min(due_at, self._due_at.get(owner, due_at))
