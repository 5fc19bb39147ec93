"""Runs one controller while this instance holds its lease."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from chivetrack.components.controllers import const
from chivetrack.components.controllers.backoff import Backoffs
from chivetrack.components.controllers.controller import Controller
from chivetrack.components.controllers.lease import LeaseHolder
from chivetrack.components.controllers.models import (
    Action,
    ConfirmRevision,
    Plan,
    ProposalEnded,
    Propose,
)
from chivetrack.components.store.outcomes import RefusalCode, Refused, Written
from chivetrack.core import Effect, Event, WakeAt
from chivetrack.helpers.codec import DecodeError, Message, pack, unpack


@dataclass(slots=True, kw_only=True)
class _PendingWrite:
    """A write that is sent again until its outcome is known."""

    key: str
    data: bytes
    retry_at: float


class ControllerLoop:
    """Reconciles the full state repeatedly (level-triggered) while the lease is held.

    ``get_revision`` returns the revision of the table that the controller reads. A
    reconciliation starts only when the table has reached a revision that a quorum
    confirmed after the lease was granted, and contains all writes of the previous
    reconciliation.
    """

    def __init__(
        self,
        *,
        controller: Controller[Any, Any],
        lease: LeaseHolder,
        get_revision: Callable[[], int],
        random: Random,
        started_at: float,
    ) -> None:
        """Start as a standby; ``started_at`` is the start time of this process."""
        self._controller = controller
        self._lease = lease
        self._get_revision = get_revision
        self._backoffs = Backoffs(random=random)
        self._warmed_up_at = started_at + const.WARM_UP_S
        self._term = 0
        self._required_revision: int | None = None
        self._confirmation_id = ""
        self._confirmations = 0
        self._confirm_at = float("-inf")
        self._writes: dict[str, _PendingWrite] = {}
        self._reconcile_at = float("-inf")
        self._reconciled_revision = -1

    @property
    def lease(self) -> LeaseHolder:
        """Return the lease under which this loop acts."""
        return self._lease

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Handle any event; events of other components are ignored."""
        effects = self._lease.handle(event, now=now)
        if not self._lease.is_held(now):
            self._end_term()
            return effects
        if self._lease.fencing != self._term:
            self._begin_term()
        if isinstance(event, ProposalEnded):
            self._handle_proposal_ended(event, now)
        effects.extend(self._proceed(now))
        return effects

    def release(self, *, now: float) -> list[Effect]:
        """Release the lease, for an orderly stop."""
        self._end_term()
        return self._lease.release(now=now)

    def _begin_term(self) -> None:
        self._end_term()
        self._term = self._lease.fencing

    def _end_term(self) -> None:
        self._term = 0
        self._required_revision = None
        self._confirmation_id = ""
        self._confirm_at = float("-inf")
        self._writes.clear()
        self._backoffs.clear()
        self._reconcile_at = float("-inf")
        self._reconciled_revision = -1

    def _handle_proposal_ended(self, event: ProposalEnded, now: float) -> None:
        if event.submission_id == self._confirmation_id:
            self._confirmation_id = ""
            self._confirm_at = now + const.RETRY_DELAY_S
            if event.fault is None:
                self._required_revision = max(event.revision, self._required_revision or 0)
            return
        write = self._writes.get(event.submission_id)
        if write is not None:
            self._handle_outcome(event, write, now)

    def _handle_outcome(self, event: ProposalEnded, write: _PendingWrite, now: float) -> None:
        # A write without an answer may still be applied later, and the table does not show
        # it until then. Reconciling without it could, for example, start a second drain.
        # The write is sent until it is answered; its request id makes that idempotent.
        if event.fault is not None:
            write.retry_at = now + const.RETRY_DELAY_S
            return
        del self._writes[event.submission_id]
        outcome = _decode_outcome(event.result)
        if isinstance(outcome, Written):
            self._required_revision = max(outcome.revision, self._required_revision or 0)
            self._backoffs.succeed(write.key)
        else:
            self._backoffs.fail(write.key, now)
        self._reconcile_at = now
        if isinstance(outcome, Refused) and outcome.code is RefusalCode.CONFLICT:
            # Another writer changed the resource: the table must contain that change
            # before the next reconciliation, so confirm the newest revision again.
            self._required_revision = None

    def _proceed(self, now: float) -> list[Effect]:
        effects = self._resend_writes(now)
        if self._required_revision is None:
            effects.extend(self._confirm_revision(now))
        elif self._is_due(now):
            effects.extend(self._reconcile(now))
        effects.append(WakeAt(at=self._find_wake_time(now)))
        return effects

    def _resend_writes(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for submission_id, write in self._writes.items():
            if now < write.retry_at:
                continue
            write.retry_at = now + const.ANSWER_TIMEOUT_S
            effects.append(_propose(submission_id, write.data, now))
        return effects

    def _confirm_revision(self, now: float) -> list[Effect]:
        """Query the newest revision before the first decision on the table.

        The previous holder may have started a drain that this table does not show yet. A
        decision without it could start a second drain, and together they could leave less
        than the required capacity.
        """
        if now < self._confirm_at:
            return []
        self._confirm_at = now + const.ANSWER_TIMEOUT_S
        self._confirmations += 1
        self._confirmation_id = f"{self._lease.name}/{self._term}/revision/{self._confirmations}"
        deadline = now + const.PROPOSAL_TIMEOUT_S
        return [ConfirmRevision(submission_id=self._confirmation_id, deadline=deadline)]

    def _is_due(self, now: float) -> bool:
        revision = self._get_revision()
        if self._writes or now < self._warmed_up_at or revision < (self._required_revision or 0):
            return False
        return now >= self._reconcile_at or revision != self._reconciled_revision

    def _reconcile(self, now: float) -> list[Effect]:
        self._reconciled_revision = self._get_revision()
        desired = self._controller.read_desired()
        observed = self._controller.read_observed(now=now)
        plan = self._controller.reconcile(desired, observed, now=now)
        self._reconcile_at = min(plan.reconcile_again_at, now + const.MAX_RECONCILE_INTERVAL_S)
        return self._execute(plan, now)

    def _execute(self, plan: Plan, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for action in plan.actions:
            if len(effects) >= const.MAX_ACTIONS_PER_RECONCILE:
                break
            if self._backoffs.allows(_make_key(action), now):
                effects.append(self._start_write(action, now))
        return effects

    def _start_write(self, action: Action, now: float) -> Effect:
        stamp = self._lease.make_stamp()
        data = pack(action.make_command(stamp))
        retry_at = now + const.ANSWER_TIMEOUT_S
        write = _PendingWrite(key=_make_key(action), data=data, retry_at=retry_at)
        self._writes[stamp.request_id] = write
        return _propose(stamp.request_id, data, now)

    def _find_wake_time(self, now: float) -> float:
        wake_times = [write.retry_at for write in self._writes.values()]
        if self._required_revision is None:
            wake_times.append(self._confirm_at)
        elif not self._writes:
            # The loop gets no event when a lagging table catches up, so it polls.
            wake_times.append(
                max(self._reconcile_at, self._warmed_up_at, now + const.TABLE_POLL_INTERVAL_S)
            )
        return min(wake_times)


def _make_key(action: Action) -> str:
    return f"{action.kind}/{action.name}"


def _propose(submission_id: str, data: bytes, now: float) -> Propose:
    deadline = now + const.PROPOSAL_TIMEOUT_S
    return Propose(submission_id=submission_id, data=data, deadline=deadline)


def _decode_outcome(result: bytes) -> Message | None:
    try:
        return unpack(result)
    except DecodeError:
        return None
