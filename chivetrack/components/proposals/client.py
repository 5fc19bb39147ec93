"""Sends submissions to the leader of the log, with retries until their deadline."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from chivetrack.components.proposals.const import (
    ANSWER_TIMEOUT_S,
    MAX_PENDING,
    NUMBER_START_BITS,
    RETRY_AFTER_S,
    RETRY_DELAY_S,
)
from chivetrack.components.proposals.models import (
    ForwardProposal,
    ForwardRead,
    ProposalAnswer,
    SubmissionEnded,
    Submit,
    SubmitRead,
    Verdict,
)
from chivetrack.core import Effect, Event, MessageReceived, SendMessage, TimeReached, WakeAt
from chivetrack.exceptions import Fault, Ran


def make_no_leader_fault(*, ran: Ran) -> Fault:
    """Return the fault for a submission that no leader has answered by its deadline."""
    if ran is Ran.NO:
        message = "No leader could be reached; the command was not accepted."
        code = "no_leader"
    else:
        message = "The answer was lost; send it again with the same request id to learn more."
        code = "outcome_unknown"
    return Fault(code=code, message=message, status=503, ran=ran, retry_after_s=RETRY_AFTER_S)


@dataclass(slots=True, kw_only=True)
class _Pending:
    """A pending submission; ``number`` is the number of its latest attempt.

    ``has_unclear_attempt``: an earlier attempt had no clear answer and may be in the log.
    """

    submission: Submit | SubmitRead
    number: int = 0
    target: str = ""
    retry_at: float = 0.0
    has_unclear_attempt: bool = False


class ProposalClient:
    """Sends submissions to the last known leader, or to a random replica.

    An attempt without an answer may have been accepted. It is retried, which is safe because
    of the request id in the command, and at the deadline the submission ends as unknown
    instead of refused.
    """

    def __init__(self, *, instance_id: str, replicas: Sequence[str], random: Random) -> None:
        """Create a client; ``replicas`` are the instance ids of the replicas."""
        self._instance_id = instance_id
        self._replicas = list(replicas)
        self._random = random
        self._leader = ""
        self._pending: dict[str, _Pending] = {}
        self._submission_by_attempt: dict[int, str] = {}
        # An answer to an earlier process of this instance must not be taken for one to this one.
        self._next_number = 1 + random.getrandbits(NUMBER_START_BITS)

    @property
    def leader(self) -> str:
        """Return the instance id of the last known leader, or an empty string."""
        return self._leader

    def set_replicas(self, replicas: Sequence[str]) -> None:
        """Replace the instance ids of the replicas."""
        self._replicas = list(replicas)

    def record_leader_hint(self, leader: str) -> None:
        """Record the instance that probably is the leader."""
        self._leader = leader

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Process a submission, an answer or a timer."""
        if isinstance(event, Submit | SubmitRead):
            return self._start(event, now)
        if isinstance(event, MessageReceived) and isinstance(event.message, ProposalAnswer):
            return self._handle_answer(event.source, event.message, now)
        if isinstance(event, TimeReached):
            return self._tick(now)
        return []

    def _start(self, submission: Submit | SubmitRead, now: float) -> list[Effect]:
        if len(self._pending) >= MAX_PENDING:
            fault = make_no_leader_fault(ran=Ran.NO)
            return [SubmissionEnded(submission_id=submission.submission_id, fault=fault)]
        pending = _Pending(submission=submission)
        self._pending[submission.submission_id] = pending
        return self._send_attempt(pending, now)

    def _send_attempt(self, pending: _Pending, now: float) -> list[Effect]:
        target = self._choose_target(pending)
        if target is None:
            return self._schedule_retry(pending, now)
        if self._submission_by_attempt.pop(pending.number, None) is not None:
            pending.has_unclear_attempt = True
        pending.number = self._next_number
        self._next_number += 1
        self._submission_by_attempt[pending.number] = pending.submission.submission_id
        pending.target = target
        pending.retry_at = min(now + ANSWER_TIMEOUT_S, pending.submission.deadline)
        is_write = isinstance(pending.submission, Submit)
        kind = ForwardProposal if is_write else ForwardRead
        message = kind(pending.number, pending.submission.data)
        return [SendMessage(target=target, message=message), WakeAt(at=pending.retry_at)]

    def _choose_target(self, pending: _Pending) -> str | None:
        if self._leader:
            return self._leader
        others = [name for name in self._replicas if name != pending.target]
        candidates = others or self._replicas
        return self._random.choice(candidates) if candidates else None

    def _schedule_retry(self, pending: _Pending, now: float) -> list[Effect]:
        pending.retry_at = min(now + RETRY_DELAY_S, pending.submission.deadline)
        return [WakeAt(at=pending.retry_at)]

    def _handle_answer(self, source: str, answer: ProposalAnswer, now: float) -> list[Effect]:
        submission_id = self._submission_by_attempt.pop(answer.number, None)
        if submission_id is None:
            return []
        pending = self._pending[submission_id]
        if answer.verdict is Verdict.ACCEPTED:
            self._leader = source
            return self._end(pending, result=answer.result, revision=answer.revision)
        self._leader = answer.leader if answer.leader != source else ""
        if answer.verdict is Verdict.REFUSED:
            return self._handle_refusal(pending, now)
        pending.has_unclear_attempt = True
        return self._schedule_retry(pending, now)

    def _handle_refusal(self, pending: _Pending, now: float) -> list[Effect]:
        if self._leader:
            return self._send_attempt(pending, now)
        return self._schedule_retry(pending, now)

    def _tick(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for pending in list(self._pending.values()):
            if now >= pending.submission.deadline:
                ran = Ran.MAYBE if self._may_be_accepted(pending) else Ran.NO
                effects.extend(self._end(pending, fault=make_no_leader_fault(ran=ran)))
            elif now >= pending.retry_at:
                effects.extend(self._retry_unanswered(pending, now))
            else:
                effects.append(WakeAt(at=pending.retry_at))
        return effects

    def _may_be_accepted(self, pending: _Pending) -> bool:
        # An attempt without an answer can't be distinguished from one that was not delivered.
        is_open = pending.number in self._submission_by_attempt
        return isinstance(pending.submission, Submit) and (pending.has_unclear_attempt or is_open)

    def _retry_unanswered(self, pending: _Pending, now: float) -> list[Effect]:
        if pending.target == self._leader:
            self._leader = ""
        return self._send_attempt(pending, now)

    def _end(
        self,
        pending: _Pending,
        *,
        result: bytes = b"",
        revision: int = 0,
        fault: Fault | None = None,
    ) -> list[Effect]:
        submission_id = pending.submission.submission_id
        self._submission_by_attempt.pop(pending.number, None)
        del self._pending[submission_id]
        return [
            SubmissionEnded(
                submission_id=submission_id, result=result, revision=revision, fault=fault
            )
        ]
