"""What the owners of endpoints have yet to hear of this router's requests."""

from chivetrack.components.routing.const import (
    FINISH_REPORT_DELAY_S,
    OWNER_HEARTBEAT_S,
    START_REPORT_DELAY_S,
)


class ReportSchedule:
    """By owner: which endpoints it should hear of, and when."""

    def __init__(self) -> None:
        """Start with no news."""
        self._due: dict[str, float] = {}

    def schedule_start_report(self, owner: str, now: float) -> None:
        """Want to tell of a start."""
        self._note(owner, now + START_REPORT_DELAY_S)

    def schedule_immediate_report(self, owner: str, now: float) -> None:
        """Want to tell at once."""
        self._note(owner, now)

    def schedule_finish_report(self, owner: str, now: float) -> None:
        """Want to tell of a finish."""
        self._note(owner, now + FINISH_REPORT_DELAY_S)

    def record_sent(self, owner: str, now: float, *, has_counts: bool) -> None:
        """Strike out what was told; what is not zero is told again before long."""
        self._due.pop(owner, None)
        if has_counts:
            self._due[owner] = now + OWNER_HEARTBEAT_S

    def find_next_due(self) -> float | None:
        """Return when the next owner should hear."""
        return min(self._due.values(), default=None)

    def list_due(self, now: float) -> list[str]:
        """Return the owners that should hear now."""
        return [owner for owner, due in self._due.items() if due <= now]

    def _note(self, owner: str, due: float) -> None:
        self._due[owner] = min(due, self._due.get(owner, due))
