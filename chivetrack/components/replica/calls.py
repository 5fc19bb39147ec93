"""Calls of other threads that wait for the writer of a replica."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

from expression import Error, Ok, Result

from chivetrack.components.consensus.models import Outcome, ReadReady, ReadRefused
from chivetrack.components.replica.faults import (
    make_fault,
    make_not_leader,
    make_timeout,
    make_unknown,
)
from chivetrack.components.replica.models import ProposalAnswered, Waiter
from chivetrack.exceptions import Fault


@dataclass(slots=True, kw_only=True)
class Call:
    """One waiting call; ``result`` is set before the waiter."""

    waiter: Waiter
    is_read: bool
    result: Result[ProposalAnswered | ReadReady, Fault] | None = None


class Calls:
    """The pending calls by their id, which is also the proposal or read id in the log."""

    def __init__(self, *, make_waiter: Callable[[], Waiter]) -> None:
        """Start without calls."""
        self._make_waiter = make_waiter
        self._ids = itertools.count(1)
        self._calls: dict[int, Call] = {}

    def open(self, *, is_read: bool) -> int:
        """Register a call and return its id."""
        call_id = next(self._ids)
        self._calls[call_id] = Call(waiter=self._make_waiter(), is_read=is_read)
        return call_id

    def wait(self, call_id: int, timeout_s: float) -> Result[ProposalAnswered | ReadReady, Fault]:
        """Wait for the result; a write without a result after ``timeout_s`` is unknown."""
        call = self._calls[call_id]
        call.waiter.wait(timeout_s)
        self._calls.pop(call_id, None)
        if call.result is not None:
            return call.result
        return Error(make_timeout() if call.is_read else make_unknown())

    def end_proposal(self, answer: ProposalAnswered) -> None:
        """Set the result of a proposal or member change."""
        if answer.outcome is Outcome.COMMITTED:
            self._end(answer.proposal_id, Ok(answer))
        else:
            self._end(answer.proposal_id, Error(make_fault(answer)))

    def end_read(self, answer: ReadReady | ReadRefused) -> None:
        """Set the result of a read."""
        if isinstance(answer, ReadReady):
            self._end(answer.read_id, Ok(answer))
        else:
            self._end(answer.read_id, Error(make_not_leader(answer.leader)))

    def refuse(self, call_id: int, fault: Fault) -> None:
        """Set the fault of a call that was not submitted to the log."""
        self._end(call_id, Error(fault))

    def end_all(self) -> None:
        """End all pending calls: writes as unknown, reads as timed out."""
        for call_id, call in list(self._calls.items()):
            self._end(call_id, Error(make_timeout() if call.is_read else make_unknown()))

    def _end(self, call_id: int, result: Result[ProposalAnswered | ReadReady, Fault]) -> None:
        call = self._calls.get(call_id)
        if call is not None and call.result is None:
            call.result = result
            call.waiter.set()
