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
class _Write:
    """A write whose outcome is not known yet; it is sent until it is."""

    key: str
    data: bytes
    retry_at: float


class ControllerLoop:
    """Level-triggered: looks at all of the state, acts, and looks again.

    ``get_revision`` returns the revision of the table that the controller reads. No
    comparison runs before the table has reached a revision that a quorum confirmed after
    the lease was granted, nor before it shows all writes of the last comparison.
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
        """Start as a standby; ``started_at`` is when this process started."""
        self._controller = controller
        self._lease = lease
        self._get_revision = get_revision
        self._backoffs = Backoffs(random=random)
        self._warm_at = started_at + const.WARM_UP_S
        self._term = 0
        self._floor_revision: int | None = None
        self._barrier = ""
        self._barriers = 0
        self._barrier_at = float("-inf")
        self._writes: dict[str, _Write] = {}
        self._look_at = float("-inf")
        self._seen_revision = -1

    @property
    def lease(self) -> LeaseHolder:
        """Return the lease under which this loop acts."""
        return self._lease

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Take any event; those of other components do no harm."""
        effects = self._lease.handle(event, now=now)
        if not self._lease.is_held(now):
            self._end_term()
            return effects
        if self._lease.fencing != self._term:
            self._begin_term()
        if isinstance(event, ProposalEnded):
            self._take(event, now)
        effects.extend(self._proceed(now))
        return effects

    def release(self, *, now: float) -> list[Effect]:
        """Give the lease back, for an orderly stop."""
        self._end_term()
        return self._lease.release(now=now)

    def _begin_term(self) -> None:
        self._end_term()
        self._term = self._lease.fencing

    def _end_term(self) -> None:
        self._term = 0
        self._floor_revision = None
        self._barrier = ""
        self._barrier_at = float("-inf")
        self._writes.clear()
        self._backoffs.clear()
        self._look_at = float("-inf")
        self._seen_revision = -1

    def _take(self, event: ProposalEnded, now: float) -> None:
        if event.submission_id == self._barrier:
            self._barrier = ""
            self._barrier_at = now + const.RETRY_DELAY_S
            if event.fault is None:
                self._floor_revision = max(event.revision, self._floor_revision or 0)
            return
        write = self._writes.get(event.submission_id)
        if write is not None:
            self._take_outcome(event, write, now)

    def _take_outcome(self, event: ProposalEnded, write: _Write, now: float) -> None:
        # A write without an answer may be applied later, and no view shows that. To
        # compare again without it could start a second drain beside this one; the same
        # request id makes sending it until it is answered harmless.
        if event.fault is not None:
            write.retry_at = now + const.RETRY_DELAY_S
            return
        del self._writes[event.submission_id]
        outcome = _read_outcome(event.result)
        if isinstance(outcome, Written):
            self._floor_revision = max(outcome.revision, self._floor_revision or 0)
            self._backoffs.succeed(write.key)
        else:
            self._backoffs.fail(write.key, now)
        self._look_at = now
        if isinstance(outcome, Refused) and outcome.code is RefusalCode.CONFLICT:
            # Somebody else wrote: the view must show that before the next comparison.
            self._floor_revision = None

    def _proceed(self, now: float) -> list[Effect]:
        effects = self._resend(now)
        if self._floor_revision is None:
            effects.extend(self._confirm(now))
        elif self._is_due(now):
            effects.extend(self._look(now))
        effects.append(WakeAt(at=self._find_wake(now)))
        return effects

    def _resend(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for submission_id, write in self._writes.items():
            if now < write.retry_at:
                continue
            write.retry_at = now + const.ANSWER_TIMEOUT_S
            effects.append(_propose(submission_id, write.data, now))
        return effects

    def _confirm(self, now: float) -> list[Effect]:
        """Ask for the newest revision before anything is decided on the table.

        The former holder may have started a drain that this table does not show yet;
        deciding without it could start a second one that breaks the floor.
        """
        if now < self._barrier_at:
            return []
        self._barrier_at = now + const.ANSWER_TIMEOUT_S
        self._barriers += 1
        self._barrier = f"{self._lease.name}/{self._term}/revision/{self._barriers}"
        deadline = now + const.PROPOSAL_TIMEOUT_S
        return [ConfirmRevision(submission_id=self._barrier, deadline=deadline)]

    def _is_due(self, now: float) -> bool:
        revision = self._get_revision()
        if self._writes or now < self._warm_at or revision < (self._floor_revision or 0):
            return False
        return now >= self._look_at or revision != self._seen_revision

    def _look(self, now: float) -> list[Effect]:
        self._seen_revision = self._get_revision()
        desired = self._controller.read_desired()
        observed = self._controller.read_observed(now=now)
        plan = self._controller.reconcile(desired, observed, now=now)
        self._look_at = min(plan.reconcile_again_at, now + const.MAX_RECONCILE_INTERVAL_S)
        return self._carry_out(plan, now)

    def _carry_out(self, plan: Plan, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for action in plan.actions:
            if len(effects) >= const.MAX_ACTIONS_PER_RECONCILE:
                break
            if self._backoffs.allows(_make_key(action), now):
                effects.append(self._write(action, now))
        return effects

    def _write(self, action: Action, now: float) -> Effect:
        stamp = self._lease.make_stamp()
        data = pack(action.make_command(stamp))
        retry_at = now + const.ANSWER_TIMEOUT_S
        write = _Write(key=_make_key(action), data=data, retry_at=retry_at)
        self._writes[stamp.request_id] = write
        return _propose(stamp.request_id, data, now)

    def _find_wake(self, now: float) -> float:
        waits = [write.retry_at for write in self._writes.values()]
        if self._floor_revision is None:
            waits.append(self._barrier_at)
        elif not self._writes:
            # A table that lags behind makes no event here, so look soon again.
            waits.append(max(self._look_at, self._warm_at, now + const.TABLE_POLL_INTERVAL_S))
        return min(waits)


def _make_key(action: Action) -> str:
    return f"{action.kind}/{action.name}"


def _propose(submission_id: str, data: bytes, now: float) -> Propose:
    deadline = now + const.PROPOSAL_TIMEOUT_S
    return Propose(submission_id=submission_id, data=data, deadline=deadline)


def _read_outcome(result: bytes) -> Message | None:
    try:
        return unpack(result)
    except DecodeError:
        return None
