"""Blocking submission of commands and confirmed reads from a greenlet."""

from collections.abc import Callable

from expression import Error, Ok, Result
from gevent.event import AsyncResult

from chivetrack.components.proposals.models import SubmissionEnded, Submit, SubmitRead
from chivetrack.core import Event
from chivetrack.exceptions import Fault

SUBMISSION_PREFIX = "api:"


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
        self._waiting: dict[str, AsyncResult] = {}

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
        waiter = self._waiting[submission.submission_id] = AsyncResult()
        try:
            self._post(submission)
            ended: SubmissionEnded = waiter.get()
            return ended
        finally:
            del self._waiting[submission.submission_id]

    def handle_end(self, ended: SubmissionEnded) -> None:
        """Wake the greenlet that waits for this submission; ignore an unknown one."""
        waiter = self._waiting.get(ended.submission_id)
        if waiter is not None:
            waiter.set(ended)
