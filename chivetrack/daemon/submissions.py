"""Blocking submission of commands and confirmed reads from a greenlet."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from expression import Error, Ok, Result
from gevent.event import AsyncResult

from chivetrack.components.limits.stopping import make_cut_fault, make_stopping_fault
from chivetrack.components.proposals.models import SubmissionEnded, Submit, SubmitRead
from chivetrack.components.replica.administration import find_refusal
from chivetrack.core import Event
from chivetrack.exceptions import Fault

SUBMISSION_PREFIX = "api:"


@dataclass(frozen=True, slots=True, kw_only=True)
class _Waiting:
    """A submission without a result; only a command has an effect."""

    is_command: bool
    result: AsyncResult = field(default_factory=AsyncResult)


class Submissions:
    """Posts submissions and returns the result of each to its greenlet."""

    def __init__(
        self,
        *,
        post: Callable[[Event], None],
        read_clock: Callable[[], float],
        make_id: Callable[[], str],
    ) -> None:
        """Store how to post events, read the clock (seconds) and create ids."""
        self._post = post
        self._read_clock = read_clock
        self.make_id = make_id
        self._waiting: dict[str, _Waiting] = {}
        self._is_ended = False

    def submit(self, data: bytes, *, timeout_s: float) -> Result[bytes, Fault]:
        """Submit a command to the log and return the bytes of its outcome."""
        submission_id = SUBMISSION_PREFIX + self.make_id()
        deadline = self._read_clock() + timeout_s
        ended = self._wait(Submit(submission_id=submission_id, data=data, deadline=deadline))
        return Ok(ended.result) if ended.fault is None else Error(ended.fault)

    def read(self, data: bytes, *, timeout_s: float) -> Result[SubmissionEnded, Fault]:
        """Run a query; return its answer and the newest revision confirmed by a quorum."""
        submission_id = SUBMISSION_PREFIX + self.make_id()
        deadline = self._read_clock() + timeout_s
        submission = SubmitRead(submission_id=submission_id, deadline=deadline, data=data)
        ended = self._wait(submission)
        return Ok(ended) if ended.fault is None else Error(ended.fault)

    def _wait(self, submission: Submit | SubmitRead) -> SubmissionEnded:
        if self._is_ended:
            return SubmissionEnded(submission_id=submission.submission_id, fault=_make_refusal())
        waiting = _Waiting(is_command=isinstance(submission, Submit))
        self._waiting[submission.submission_id] = waiting
        try:
            self._post(submission)
            return _apply_refusal(waiting.result.get())
        finally:
            del self._waiting[submission.submission_id]

    def handle_end(self, ended: SubmissionEnded) -> None:
        """Wake the greenlet that waits for this submission; ignore an unknown one."""
        waiting = self._waiting.get(ended.submission_id)
        if waiting is not None:
            waiting.result.set(ended)

    def end_open(self) -> None:
        """End all submissions because the instance exits; a command may have been committed."""
        self._is_ended = True
        for submission_id, waiting in self._waiting.items():
            if not waiting.result.ready():
                fault = make_cut_fault() if waiting.is_command else _make_refusal()
                waiting.result.set(SubmissionEnded(submission_id=submission_id, fault=fault))


def _apply_refusal(ended: SubmissionEnded) -> SubmissionEnded:
    """Turn a refusal by the leader, which arrives as a result, into a fault."""
    refusal = find_refusal(ended.result)
    return ended if refusal is None else replace(ended, result=b"", fault=refusal)


def _make_refusal() -> Fault:
    return make_stopping_fault(do_others_accept=True, left_s=0.0)
