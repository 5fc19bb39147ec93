"""Acquires and renews a lease of the store for one controller."""

from enum import StrEnum
from random import Random

from chivetrack.components.controllers import const
from chivetrack.components.controllers.models import ProposalEnded, Propose
from chivetrack.components.store.commands import (
    AcquireLease,
    Command,
    ReleaseLease,
    RenewLease,
    Stamp,
)
from chivetrack.components.store.outcomes import LeaseAnswer, LeaseState
from chivetrack.const import MILLISECONDS_PER_SECOND
from chivetrack.core import Effect, Event, WakeAt
from chivetrack.helpers.codec import DecodeError, pack, unpack


class LeasePhase(StrEnum):
    """State of a lease holder."""

    STANDBY = "standby"
    HELD = "held"
    STOPPED = "stopped"


class LeaseHolder:
    """Acquires a lease, renews it, and stops using it before the store can expire it.

    ``instance_run`` must be unique to one run of one process. Call ``is_held`` right
    before each use, with the current time.
    """

    def __init__(
        self,
        *,
        name: str,
        instance_run: str,
        random: Random,
        duration_s: float = const.LEASE_DURATION_S,
    ) -> None:
        """Start without the lease; the first event requests it."""
        self._name = name
        self._instance_run = instance_run
        self._random = random
        self._duration_s = duration_s
        self._phase = LeasePhase.STANDBY
        self._term = 0
        self._sequence = 0
        self._fencing = 0
        self._valid_until = float("-inf")
        self._acquired_at = float("-inf")
        self._requested_at = float("-inf")
        self._pending_id = ""
        self._next_request_at = float("-inf")

    @property
    def name(self) -> str:
        """Return the lease's name."""
        return self._name

    @property
    def fencing(self) -> int:
        """Return the fencing number of the latest grant."""
        return self._fencing

    @property
    def acquired_at(self) -> float:
        """Return when this holder last learned that it had acquired the lease."""
        return self._acquired_at

    @property
    def valid_until(self) -> float:
        """Return until when the lease may be used, on the same clock as ``now``."""
        return self._valid_until

    def is_held(self, now: float) -> bool:
        """Return whether the lease may be used at ``now``."""
        return self._phase is LeasePhase.HELD and now < self._valid_until

    def make_stamp(self) -> Stamp:
        """Return a stamp with the fencing number and a new request id."""
        return Stamp(0, self._make_request_id(), lease=self._name, fencing=self._fencing)

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Handle answers and timers; request or renew the lease when due."""
        self._step_down_if_expired(now)
        if isinstance(event, ProposalEnded) and event.submission_id == self._pending_id:
            self._handle_answer(event, now)
        if self._phase is LeasePhase.STOPPED:
            return []
        if now < self._next_request_at:
            return [WakeAt(at=min(self._next_request_at, self._find_expiry()))]
        request = self._request_lease(now)
        return [request, WakeAt(at=min(self._next_request_at, self._find_expiry()))]

    def release(self, *, now: float) -> list[Effect]:
        """Release the lease and stop requesting it, for an orderly stop."""
        was_held = self._phase is LeasePhase.HELD
        self._phase = LeasePhase.STOPPED
        self._valid_until = float("-inf")
        if not was_held:
            return []
        command = ReleaseLease(
            Stamp(0, self._make_request_id()), self._name, self._holder_id, self._fencing
        )
        return [self._propose(command, now)]

    @property
    def _holder_id(self) -> str:
        return f"{self._instance_run}/{self._term}"

    def _make_request_id(self) -> str:
        self._sequence += 1
        return f"{self._name}/{self._instance_run}/{self._sequence}"

    def _request_lease(self, now: float) -> Effect:
        stamp = Stamp(0, self._make_request_id())
        duration_ms = round(self._duration_s * MILLISECONDS_PER_SECOND)
        command: Command
        if self._phase is LeasePhase.HELD:
            command = RenewLease(stamp, self._name, self._holder_id, self._fencing, duration_ms)
        else:
            command = AcquireLease(stamp, self._name, self._holder_id, duration_ms)
        self._requested_at = now
        self._next_request_at = now + const.ANSWER_TIMEOUT_S
        effect = self._propose(command, now)
        self._pending_id = effect.submission_id
        return effect

    def _propose(self, command: Command, now: float) -> Propose:
        return Propose(
            submission_id=command.stamp.request_id,
            data=pack(command),
            deadline=now + const.PROPOSAL_TIMEOUT_S,
        )

    def _handle_answer(self, event: ProposalEnded, now: float) -> None:
        self._pending_id = ""
        answer = _decode_answer(event)
        if answer is None:
            self._next_request_at = now + self._add_jitter(const.RETRY_DELAY_S)
            return
        if answer.state is LeaseState.HELD and answer.holder == self._holder_id:
            self._handle_grant(answer, now)
            return
        if self._phase is LeasePhase.HELD:
            self._step_down()
        is_free = answer.state is LeaseState.FREE
        self._next_request_at = now + self._add_jitter(
            const.RETRY_DELAY_S if is_free else const.STANDBY_RETRY_DELAY_S
        )

    def _handle_grant(self, answer: LeaseAnswer, now: float) -> None:
        # The store counts the lease from when it applied the command, which is after the
        # request was sent. Counting from the answer instead would let two instances hold
        # the lease when an answer is slow.
        usable_s = self._duration_s * (1.0 - const.CLOCK_DRIFT) - const.STEP_DOWN_MARGIN_S
        valid_until = self._requested_at + usable_s
        if now >= valid_until:
            self._step_down()
            self._next_request_at = now
            return
        if self._phase is not LeasePhase.HELD:
            self._acquired_at = now
        self._phase = LeasePhase.HELD
        self._fencing = answer.fencing
        self._valid_until = valid_until
        self._next_request_at = self._requested_at + self._duration_s / const.RENEWALS_PER_LEASE

    def _step_down_if_expired(self, now: float) -> None:
        if self._phase is LeasePhase.HELD and now >= self._valid_until:
            self._step_down()
            self._next_request_at = now

    def _step_down(self) -> None:
        """Stop being the holder and use another holder id for the next grant.

        For the old holder id the store would extend the lease with the same fencing
        number, and an earlier write that is still in flight would count as a new one.
        """
        self._phase = LeasePhase.STANDBY
        self._valid_until = float("-inf")
        self._term += 1
        self._pending_id = ""

    def _add_jitter(self, delay_s: float) -> float:
        return delay_s * self._random.uniform(1.0 - const.JITTER, 1.0 + const.JITTER)

    def _find_expiry(self) -> float:
        return self._valid_until if self._phase is LeasePhase.HELD else float("inf")


def _decode_answer(event: ProposalEnded) -> LeaseAnswer | None:
    if event.fault is not None:
        return None
    try:
        answer = unpack(event.result)
    except DecodeError:
        return None
    return answer if isinstance(answer, LeaseAnswer) else None
