"""Lends the slack of the retry budgets while this replica leads."""

from collections.abc import Callable

from chivetrack.components.retries.const import CONFIRMATION_INTERVAL_S, MAX_CONFIRMATION_AGE_S
from chivetrack.components.retries.lender import SlackLender
from chivetrack.components.retries.messages import LeaseAnswer, LeaseRequest
from chivetrack.daemon.fleet.log_host import ConfirmedLeadership
from chivetrack.helpers.clock import read_boot_clock
from chivetrack.helpers.codec import Message
from chivetrack.helpers.events import EventLog


class LenderHost:
    """Answers routers that lease retries, and keeps the leadership of this replica confirmed."""

    def __init__(
        self,
        *,
        lender: SlackLender,
        confirm_leadership: Callable[[float], ConfirmedLeadership | None],
        wait_elected: Callable[[float], None],
        answer: Callable[[str, Message], None],
        events: EventLog,
    ) -> None:
        """Store the lender and the callbacks.

        ``confirm_leadership`` returns what this replica leads, confirmed within the given number of
        seconds, or ``None``. ``wait_elected`` waits until it begins to lead, at most that long.
        """
        self._lender = lender
        self._confirm_leadership = confirm_leadership
        self._wait_elected = wait_elected
        self._answer = answer
        self._events = events

    def run(self) -> None:
        """Confirm the leadership until killed."""
        while True:
            self.confirm()
            self._wait_elected(CONFIRMATION_INTERVAL_S)

    def confirm(self) -> None:
        """Have the leadership confirmed once, if this replica leads."""
        asked_at = read_boot_clock()
        confirmed = self._confirm_leadership(MAX_CONFIRMATION_AGE_S)
        if confirmed is not None:
            self._lender.confirm_leadership(
                confirmed.term, at=asked_at, is_first=confirmed.is_first
            )

    def handle_request(self, source: str, request: LeaseRequest) -> None:
        """Answer a router that asks for a retry."""
        now = read_boot_clock()
        wait_s = self._lender.lend(request.service, now=now)
        self._events.write(
            "retry_lent",
            router=source,
            service=request.service,
            is_lent=not wait_s,
            wait_s=round(wait_s, 2),
            lent=self._lender.count_lent(request.service, now=now),
        )
        self._answer(source, LeaseAnswer(number=request.number, wait_s=wait_s))
