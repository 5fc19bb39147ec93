"""Until when the configuration of this instance is confirmed."""

import math
from collections import deque

from chivetrack.components.configuration import const
from chivetrack.components.configuration.messages import ConfirmationReport
from chivetrack.components.configuration.models import HeldConfirmation
from chivetrack.const import MILLISECONDS_PER_SECOND


class Freshness:
    """Keeps confirmations and tells which of them the applied revision satisfies.

    A confirmation counts only once its revision is applied: from then until the
    window ends no newer revision than those the router knows of can have been in
    force for longer than the window.
    """

    def __init__(self, *, started_at: float, window_s: float) -> None:
        """Start unconfirmed; ``started_at`` is when this process started."""
        self._started_at = started_at
        # This clock may be the slower one: the window must not come out too long.
        self._window_s = window_s / (1.0 + const.CLOCK_DRIFT)
        self._pending: deque[HeldConfirmation] = deque(maxlen=const.MAX_PENDING_CONFIRMATIONS)
        self._satisfied_at = -math.inf
        self.latest: HeldConfirmation | None = None

    @property
    def is_initialised(self) -> bool:
        """Tell whether some confirmation was ever satisfied in this run."""
        return self._satisfied_at > -math.inf

    @property
    def confirmed_until(self) -> float:
        """Return when the confirmation runs out; minus infinity if there was none."""
        return self._satisfied_at + self._window_s

    def add_confirmation(self, held: HeldConfirmation, *, revision: int) -> None:
        """Take a confirmation; ``revision`` is what this instance has applied.

        One from before this process started says nothing: the process that ran
        here before may have applied a newer revision, and an old copy together
        with an old confirmation would put the older one back in force.
        """
        if held.obtained_at < self._started_at:
            return
        if self.latest is None or held.obtained_at > self.latest.obtained_at:
            self.latest = held
            self._pending.append(held)
        self.mark_applied(revision)

    def is_satisfied_by(self, revision: int) -> bool:
        """Tell whether to apply this revision would satisfy some confirmation."""
        return any(held.revision <= revision for held in self._pending)

    def mark_applied(self, revision: int) -> None:
        """Count the confirmations that the applied revision satisfies."""
        waiting = [held for held in self._pending if held.revision > revision]
        for held in self._pending:
            if held.revision <= revision:
                self._satisfied_at = max(self._satisfied_at, held.obtained_at)
        self._pending.clear()
        self._pending.extend(waiting)

    def report(self, now: float) -> ConfirmationReport | None:
        """Return the freshest confirmation for a message that is sent now."""
        if self.latest is None:
            return None
        latest = self.latest
        # Rounded up: an age must never come out too low.
        age_ms = math.ceil((now - latest.obtained_at) * MILLISECONDS_PER_SECOND)
        return ConfirmationReport(latest.term, latest.counter, latest.revision, age_ms)


def date_confirmation(report: ConfirmationReport, *, requested_at: float) -> HeldConfirmation:
    """Date a report that answers a question sent at ``requested_at``.

    Dated from the question and not from the answer's arrival: an answer that lay in
    a network queue for seconds would look fresh. The age is made longer by what the
    clocks may drift apart.
    """
    age_s = report.age_ms / MILLISECONDS_PER_SECOND * (1.0 + const.CLOCK_DRIFT)
    return HeldConfirmation(
        term=report.term,
        counter=report.counter,
        revision=report.revision,
        obtained_at=requested_at - age_s,
    )
