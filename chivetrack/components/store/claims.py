"""Claims of idempotency keys, so that a non-idempotent request runs at most once."""

import heapq
from collections.abc import Iterable
from enum import StrEnum

import msgspec

from chivetrack.components.store import const
from chivetrack.components.store.commands import (
    AbandonClaim,
    Claim,
    FinishClaim,
    ReportClaimUnknown,
)
from chivetrack.components.store.outcomes import (
    ClaimAnswer,
    ClaimState,
    Outcome,
    RefusalCode,
    Refused,
)
from chivetrack.helpers.codec import Message


class _Progress(StrEnum):
    RUNNING = "running"
    UNKNOWN = "unknown"
    FINISHED = "finished"


class ClaimRecord(Message, frozen=True, array_like=True):
    """One claim, valid until ``expires_ms`` of the store's clock.

    ``grant`` is the number of the claim. From ``run_until_ms`` on, a claim without a report
    counts as unknown. ``body_kept`` is false if the body was too large or was dropped.
    """

    workspace: str
    key: str
    grant: int
    fingerprint: bytes
    holder: str
    run_until_ms: int
    expires_ms: int
    progress: _Progress = _Progress.RUNNING
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    body_kept: bool = True


ClaimReport = FinishClaim | ReportClaimUnknown | AbandonClaim


class ClaimTable:
    """All claims of the window, bounded by the number per workspace and the bytes of answers.

    A claim is never dropped before its window ends, since a resend would then run the
    request a second time. When a workspace has too many claims, new ones are refused.
    Stored answers may be dropped: a resend is then answered that the request has run.
    """

    def __init__(
        self,
        claims: Iterable[ClaimRecord] = (),
        *,
        grant: int = 0,
        max_per_workspace: int = const.MAX_CLAIMS_PER_WORKSPACE,
        max_body_bytes: int = const.MAX_CLAIM_BODIES_BYTES,
    ) -> None:
        """Start with the claims of a snapshot; ``grant`` is the last number used."""
        self.grant = grant
        self._max_per_workspace = max_per_workspace
        self._max_body_bytes = max_body_bytes
        # Ordered by grant and thereby by expiry: grant numbers rise, the store's clock is
        # monotonic and the window is constant.
        self._records: dict[int, ClaimRecord] = {}
        self._grants: dict[str, dict[str, int]] = {}
        self._grants_with_body: list[int] = []
        self._body_bytes = 0
        for record in claims:
            self._put(record)

    def __len__(self) -> int:
        return len(self._records)

    def export(self) -> tuple[ClaimRecord, ...]:
        """Return all claims in the order of their grant numbers, for a snapshot."""
        return tuple(self._records.values())

    def expire(self, time_ms: int) -> None:
        """Drop the claims whose window has ended."""
        while self._records:
            oldest = next(iter(self._records.values()))
            if oldest.expires_ms > time_ms:
                return
            self._remove(oldest)

    def claim(self, command: Claim, *, time_ms: int) -> Outcome:
        """Grant an unclaimed key, or return the state of the existing claim."""
        record = self._find(command.workspace, command.key)
        if record is None:
            return self._grant(command, time_ms)
        if record.fingerprint != command.fingerprint:
            return ClaimAnswer(ClaimState.FINGERPRINT_MISMATCH)
        if record.progress is _Progress.FINISHED:
            return _answer_finished(record)
        if record.progress is _Progress.UNKNOWN or time_ms >= record.run_until_ms:
            return ClaimAnswer(ClaimState.UNKNOWN)
        if record.holder == command.holder:
            return ClaimAnswer(ClaimState.GRANTED, record.grant)
        return ClaimAnswer(ClaimState.IN_PROGRESS)

    def finish(self, command: FinishClaim) -> Outcome:
        """Store the answer, also if the claim has become unknown in the meantime."""
        record = self._find_granted(command)
        if record is None:
            return ClaimAnswer(ClaimState.NOT_HELD)
        if record.progress is _Progress.FINISHED:
            return _answer_finished(record)
        fits = len(command.body) <= const.MAX_CLAIM_BODY_BYTES
        finished = msgspec.structs.replace(
            record,
            progress=_Progress.FINISHED,
            status=command.status,
            content_type=command.content_type,
            body=command.body if fits else b"",
            body_kept=fits,
        )
        self._put(finished)
        self._drop_bodies()
        return ClaimAnswer(ClaimState.FINISHED)

    def report_unknown(self, command: ReportClaimUnknown) -> Outcome:
        """Mark the claim as unknown, so that it is not granted again in this window."""
        record = self._find_granted(command)
        if record is None:
            return ClaimAnswer(ClaimState.NOT_HELD)
        if record.progress is _Progress.FINISHED:
            return _answer_finished(record)
        self._put(msgspec.structs.replace(record, progress=_Progress.UNKNOWN))
        return ClaimAnswer(ClaimState.UNKNOWN)

    def abandon(self, command: AbandonClaim) -> Outcome:
        """Remove the claim, so that the key can be granted again."""
        record = self._find_granted(command)
        if record is None:
            return ClaimAnswer(ClaimState.NOT_HELD)
        if record.progress is _Progress.FINISHED:
            return _answer_finished(record)
        self._remove(record)
        return ClaimAnswer(ClaimState.ABANDONED)

    def _grant(self, command: Claim, time_ms: int) -> Outcome:
        if len(self._grants.get(command.workspace, ())) >= self._max_per_workspace:
            message = f"workspace {command.workspace!r} has too many claims in the window"
            return Refused(RefusalCode.CLAIMS_EXHAUSTED, message)
        self.grant += 1
        run_ms = min(max(command.run_ms, 0), const.CLAIM_WINDOW_MS)
        record = ClaimRecord(
            command.workspace,
            command.key,
            self.grant,
            command.fingerprint,
            command.holder,
            time_ms + run_ms,
            time_ms + const.CLAIM_WINDOW_MS,
        )
        self._put(record)
        return ClaimAnswer(ClaimState.GRANTED, record.grant)

    def _find(self, workspace: str, key: str) -> ClaimRecord | None:
        grant = self._grants.get(workspace, {}).get(key)
        return None if grant is None else self._records[grant]

    def _find_granted(self, command: ClaimReport) -> ClaimRecord | None:
        """Return the claim that a report refers to, or ``None``.

        The grant number must match: a delayed copy of an ``AbandonClaim`` would otherwise
        remove the claim of the next holder, and the request could run twice.
        """
        record = self._find(command.workspace, command.key)
        return record if record is not None and record.grant == command.grant else None

    def _put(self, record: ClaimRecord) -> None:
        self._grants.setdefault(record.workspace, {})[record.key] = record.grant
        self._records[record.grant] = record
        if record.body:
            heapq.heappush(self._grants_with_body, record.grant)
            self._body_bytes += len(record.body)

    def _remove(self, record: ClaimRecord) -> None:
        del self._records[record.grant]
        grants = self._grants[record.workspace]
        del grants[record.key]
        if not grants:
            del self._grants[record.workspace]
        if record.body:
            # Only expiry removes a claim that has a body, and it starts at the oldest grant,
            # which is the top of the heap.
            heapq.heappop(self._grants_with_body)
            self._body_bytes -= len(record.body)

    def _drop_bodies(self) -> None:
        while self._body_bytes > self._max_body_bytes:
            record = self._records[heapq.heappop(self._grants_with_body)]
            self._body_bytes -= len(record.body)
            self._put(msgspec.structs.replace(record, body=b"", body_kept=False))


def _answer_finished(record: ClaimRecord) -> ClaimAnswer:
    return ClaimAnswer(
        ClaimState.FINISHED,
        0,
        record.status,
        record.content_type,
        record.body,
        record.body_kept,
    )
