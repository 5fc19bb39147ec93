"""Requests claims from the log and reports how they ended."""

from collections.abc import Callable
from dataclasses import dataclass

from chivetrack.components.claims.const import (
    CLAIM_MARGIN_S,
    CLAIM_TIMEOUT_S,
    REPORT_TIMEOUT_S,
)
from chivetrack.components.claims.faults import claim_unavailable, find_claim_fault
from chivetrack.components.pipeline.models import (
    AcquireClaim,
    ClaimAnswered,
    EndClaim,
    StoredAnswer,
)
from chivetrack.components.proposals.models import SubmissionEnded, Submit
from chivetrack.components.store.commands import (
    AbandonClaim,
    Claim,
    Command,
    FinishClaim,
    ReportClaimUnknown,
    Stamp,
)
from chivetrack.components.store.outcomes import ClaimAnswer, ClaimState
from chivetrack.const import MILLISECONDS_PER_SECOND
from chivetrack.exceptions import Fault, Ran
from chivetrack.helpers.codec import pack, unpack

CLAIM_PREFIX = "claim:"
REPORT_PREFIX = "claim-report:"
CLEANUP_PREFIX = "claim-cleanup:"


@dataclass(frozen=True, slots=True, kw_only=True)
class _PendingClaim:
    """Requested claim with the effect that requested it; ``data`` is the encoded command."""

    effect: AcquireClaim
    data: bytes


class ClaimCoordinator:
    """Converts claim effects of the flow into submissions, and their ends into events.

    ``make_holder`` returns an identifier that is unique to one attempt of one router.
    ``to_wall_ms`` converts ``now`` to Unix time in milliseconds, for the store's clock.
    """

    def __init__(
        self, *, make_holder: Callable[[str], str], to_wall_ms: Callable[[float], int]
    ) -> None:
        """Create a coordinator without claims."""
        self._make_holder = make_holder
        self._to_wall_ms = to_wall_ms
        self._pending: dict[str, _PendingClaim] = {}
        self._grants: dict[str, int] = {}

    def request_claim(self, effect: AcquireClaim, *, now: float) -> Submit:
        """Return the submission that requests a claim."""
        holder = self._make_holder(effect.request_id)
        run_ms = int((effect.lifetime_s + CLAIM_MARGIN_S) * MILLISECONDS_PER_SECOND)
        command = Claim(
            stamp=Stamp(time_ms=self._to_wall_ms(now), request_id=holder),
            workspace=effect.workspace,
            key=effect.key,
            fingerprint=effect.fingerprint.encode(),
            holder=holder,
            run_ms=run_ms,
        )
        pending = _PendingClaim(effect=effect, data=pack(command))
        self._pending[effect.request_id] = pending
        deadline = now + min(CLAIM_TIMEOUT_S, effect.lifetime_s)
        return self._submit(CLAIM_PREFIX + effect.request_id, pending.data, deadline)

    def report_end(self, effect: EndClaim, *, now: float) -> Submit | None:
        """Return the submission that reports how a claimed request ended.

        Returns ``None`` if no claim was granted to the request.
        """
        grant = self._grants.pop(effect.request_id, None)
        if grant is None:
            return None
        command = self._make_report(effect, grant, now)
        submission_id = REPORT_PREFIX + effect.request_id
        return self._submit(submission_id, pack(command), now + REPORT_TIMEOUT_S)

    @staticmethod
    def _submit(submission_id: str, data: bytes, deadline: float) -> Submit:
        return Submit(submission_id=submission_id, data=data, deadline=deadline)

    def _make_report(self, effect: EndClaim, grant: int, now: float) -> Command:
        holder = self._make_holder(effect.request_id)
        stamp = Stamp(time_ms=self._to_wall_ms(now), request_id=f"{holder}:end")
        if effect.answer is not None:
            return FinishClaim(
                stamp=stamp,
                workspace=effect.workspace,
                key=effect.key,
                grant=grant,
                status=effect.answer.status,
                content_type=effect.answer.content_type,
                body=effect.answer.body,
            )
        report = AbandonClaim if effect.did_not_run else ReportClaimUnknown
        return report(stamp=stamp, workspace=effect.workspace, key=effect.key, grant=grant)

    def handle_submission_ended(
        self, ended: SubmissionEnded, *, now: float
    ) -> ClaimAnswered | Submit | None:
        """Handle the end of a submission.

        Returns the resulting event or follow-up submission, ``None`` if there is none.
        """
        if ended.submission_id.startswith(CLAIM_PREFIX):
            return self._handle_claim_ended(ended, now)
        if ended.submission_id.startswith(CLEANUP_PREFIX):
            return self._handle_cleanup_ended(ended, now)
        return None

    def needs_cleanup(self, ended: SubmissionEnded) -> bool:
        """Return whether a claim may have been granted although its answer was lost."""
        is_claim = ended.submission_id.startswith(CLAIM_PREFIX)
        return is_claim and ended.fault is not None and ended.fault.ran is not Ran.NO

    def clean_up(self, ended: SubmissionEnded, *, now: float) -> Submit:
        """Return the submission that repeats a claim command whose answer was lost.

        The request was refused and not sent. If its claim stayed in the log, a resend would
        get "in progress" until the claim expires, and then "unknown".
        """
        request_id = ended.submission_id.removeprefix(CLAIM_PREFIX)
        data = self._pending[request_id].data
        return self._submit(CLEANUP_PREFIX + request_id, data, now + REPORT_TIMEOUT_S)

    def _handle_claim_ended(self, ended: SubmissionEnded, now: float) -> ClaimAnswered:
        request_id = ended.submission_id.removeprefix(CLAIM_PREFIX)
        pending = self._pending[request_id]
        if not self.needs_cleanup(ended):
            del self._pending[request_id]
        if ended.fault is not None:
            return self._make_answered(pending, fault=claim_unavailable(ended.fault.retry_after_s))
        answer = unpack(ended.result)
        if not isinstance(answer, ClaimAnswer):
            return self._make_answered(pending, fault=claim_unavailable(None))
        if answer.state is ClaimState.GRANTED:
            self._grants[request_id] = answer.grant
            return self._make_answered(pending)
        if answer.state is ClaimState.FINISHED and answer.body_kept:
            stored = StoredAnswer(
                status=answer.status, content_type=answer.content_type, body=answer.body
            )
            return self._make_answered(pending, stored=stored)
        return self._make_answered(pending, fault=find_claim_fault(answer))

    @staticmethod
    def _make_answered(
        pending: _PendingClaim, *, fault: Fault | None = None, stored: StoredAnswer | None = None
    ) -> ClaimAnswered:
        return ClaimAnswered(
            request_id=pending.effect.request_id,
            workspace=pending.effect.workspace,
            key=pending.effect.key,
            fault=fault,
            stored=stored,
        )

    def _handle_cleanup_ended(self, ended: SubmissionEnded, now: float) -> Submit | None:
        request_id = ended.submission_id.removeprefix(CLEANUP_PREFIX)
        pending = self._pending.pop(request_id)
        answer = unpack(ended.result) if ended.fault is None else None
        if not isinstance(answer, ClaimAnswer) or answer.state is not ClaimState.GRANTED:
            return None
        self._grants[request_id] = answer.grant
        effect = EndClaim(
            request_id=request_id,
            workspace=pending.effect.workspace,
            key=pending.effect.key,
            did_not_run=True,
        )
        return self.report_end(effect, now=now)
