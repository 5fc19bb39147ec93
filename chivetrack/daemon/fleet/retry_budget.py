"""Reserves retries within the fleet's budget, and leases them from the leading replica."""

from collections.abc import Callable

from chivetrack.components.retries.const import LEASE_DURATION_S, LEASE_TIMEOUT_S
from chivetrack.components.retries.messages import LeaseAnswer, LeaseRequest
from chivetrack.components.retries.service_budgets import Reservation, ServiceRetryBudgets
from chivetrack.daemon.fleet.pending_requests import PendingRequests
from chivetrack.helpers.clock import read_boot_clock
from chivetrack.helpers.codec import Message


class RetryBudgetClient:
    """The retry budgets of the fleet, as one router uses them."""

    def __init__(
        self,
        *,
        budgets: ServiceRetryBudgets,
        find_lender: Callable[[], str],
        send: Callable[[str, Message], None],
    ) -> None:
        """Store the router's budgets, the lookup of the lender and the transport's ``send``.

        ``find_lender`` returns the address of the replica that lends, or an empty string.
        """
        self._budgets = budgets
        self._find_lender = find_lender
        self._send = send
        self._pending = PendingRequests[LeaseAnswer]()

    def record_request(self, service: str) -> None:
        """Count a request of a caller."""
        self._budgets.record_request(service, read_boot_clock())

    def may_retry(self, service: str) -> bool:
        """Return whether a retry is likely to have room in the budget when it is needed."""
        now = read_boot_clock()
        if self._budgets.has_retry(service, now):
            return True
        return bool(self._find_lender()) and self._budgets.may_lease(service, now)

    def describe(self, service: str) -> dict[str, float]:
        """Return what the budget of a service holds, for a log line."""
        return self._budgets.describe(service, read_boot_clock())

    def reserve(self, service: str) -> Reservation | None:
        """Reserve a retry, at need by a lease; return ``None`` if the budget has no room."""
        reservation = self._budgets.reserve(service, read_boot_clock())
        return self._lease(service) if reservation is None else reservation

    def commit_spare(self, service: str) -> bool:
        """Use a retry that other retries don't need; return whether there was one."""
        now = read_boot_clock()
        reservation = self._budgets.reserve_spare(service, now)
        return reservation is not None and self._budgets.commit(reservation, now)

    def _lease(self, service: str) -> Reservation | None:
        asked_at = read_boot_clock()
        lender = self._find_lender()
        if not lender or not self._budgets.may_lease(service, asked_at):
            return None
        answer = self._pending.request(
            lambda number: self._send(lender, LeaseRequest(number=number, service=service)),
            timeout_s=LEASE_TIMEOUT_S,
        )
        now = read_boot_clock()
        if answer is None or answer.wait_s:
            wait_s = 0.0 if answer is None else answer.wait_s
            self._budgets.record_refusal(service, wait_s=wait_s, now=now)
            return None
        return Reservation(service=service, expires_at=asked_at + LEASE_DURATION_S)

    def commit(self, reservation: Reservation) -> bool:
        """Use a reserved retry that is sent now.

        If it has expired meanwhile, another one is reserved; return whether there is one.
        """
        if self._budgets.commit(reservation, read_boot_clock()):
            return True
        renewed = self.reserve(reservation.service)
        return renewed is not None and self._budgets.commit(renewed, read_boot_clock())

    def release(self, reservation: Reservation) -> None:
        """Give back a reserved retry that was not sent."""
        self._budgets.release(reservation)

    def handle_answer(self, answer: LeaseAnswer) -> None:
        """Handle the lender's answer; a retry that is leased after the timeout is lost."""
        self._pending.handle_answer(answer.number, answer)
