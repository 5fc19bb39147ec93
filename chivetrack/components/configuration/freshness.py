"""Tracks until when the configuration of this instance is confirmed."""

import math
from collections import deque

from chivetrack.components.configuration import const
from chivetrack.components.configuration.messages import ConfirmationReport
from chivetrack.components.configuration.models import DatedConfirmation
from chivetrack.const import MILLISECONDS_PER_SECOND


class Freshness:
    """Keeps confirmations and determines which of them the applied revision satisfies.

    A confirmation counts only once its revision is applied here. Until its window ends,
    any newer revision was then committed less than one window ago, so this instance is
    never behind by more than the window.
    """

    def __init__(self, *, started_at: float, window_s: float) -> None:
        """Start unconfirmed; ``started_at`` is the start time of this process."""
        self._started_at = started_at
        # This clock may run slower than the leader's: shorten the window by the drift.
        self._window_s = window_s / (1.0 + const.CLOCK_DRIFT)
        self._pending: deque[DatedConfirmation] = deque(maxlen=const.MAX_PENDING_CONFIRMATIONS)
        self._satisfied_at = -math.inf
        self.latest: DatedConfirmation | None = None

    @property
    def is_initialised(self) -> bool:
        """Return whether any confirmation has been satisfied since this process started."""
        return self._satisfied_at > -math.inf

    @property
    def confirmed_until(self) -> float:
        """Return when the confirmation expires; minus infinity without any."""
        return self._satisfied_at + self._window_s

    def add_confirmation(self, held: DatedConfirmation, *, revision: int) -> None:
        """Add a confirmation; ``revision`` is the revision that this instance has applied.

        A confirmation from before the start of this process is ignored: the previous
        process may have applied a newer revision, and an old state with an old
        confirmation would make the older revision active again.
        """
        if held.obtained_at < self._started_at:
            return
        if self.latest is None or held.obtained_at > self.latest.obtained_at:
            self.latest = held
            self._pending.append(held)
        self.mark_applied(revision)

    def is_satisfied_by(self, revision: int) -> bool:
        """Return whether applying this revision would satisfy a pending confirmation."""
        return any(held.revision <= revision for held in self._pending)

    def mark_applied(self, revision: int) -> None:
        """Satisfy the pending confirmations up to the applied revision."""
        unsatisfied = [held for held in self._pending if held.revision > revision]
        for held in self._pending:
            if held.revision <= revision:
                self._satisfied_at = max(self._satisfied_at, held.obtained_at)
        self._pending.clear()
        self._pending.extend(unsatisfied)

    def report(self, now: float) -> ConfirmationReport | None:
        """Return the newest confirmation, with its age, for a message that is sent now."""
        if self.latest is None:
            return None
        latest = self.latest
        # Rounded up, so that the age is never understated.
        age_ms = math.ceil((now - latest.obtained_at) * MILLISECONDS_PER_SECOND)
        return ConfirmationReport(latest.term, latest.counter, latest.revision, age_ms)


def date_confirmation(report: ConfirmationReport, *, requested_at: float) -> DatedConfirmation:
    """Convert a report that answers a request sent at ``requested_at`` to the local clock.

    The age is subtracted from the time of the request, not of the answer: an answer
    delayed for seconds in a network queue would look fresh otherwise. The age is
    increased by the possible clock drift.
    """
    age_s = report.age_ms / MILLISECONDS_PER_SECOND * (1.0 + const.CLOCK_DRIFT)
    return DatedConfirmation(
        term=report.term,
        counter=report.counter,
        revision=report.revision,
        obtained_at=requested_at - age_s,
    )
