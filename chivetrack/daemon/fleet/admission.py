"""Requests slots of plain services from the leading replica."""

import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field

from gevent.event import Event as Signal

from chivetrack.components.admission.const import (
    ANSWER_TIMEOUT_S,
    LONGEST_WAIT_SHARE,
    MAX_ENDPOINTS,
    SUSPENDED_S,
    WAIT_MARGIN_S,
)
from chivetrack.components.admission.engagement import Engagement
from chivetrack.components.admission.messages import (
    SlotAnswer,
    SlotCandidate,
    SlotRelease,
    SlotRequest,
    SlotState,
)
from chivetrack.components.placement.choice import Choice
from chivetrack.daemon.fleet.calls import Call
from chivetrack.daemon.fleet.fleet_view import FleetView
from chivetrack.daemon.fleet.pending_requests import count_requests
from chivetrack.helpers.codec import Message
from chivetrack.helpers.events import EventLog


@dataclass(slots=True, kw_only=True)
class Slot:
    """What was decided on a slot for one attempt.

    ``choice`` is the endpoint to send to. ``retry_after_s`` is set if the request is refused.
    ``took_s`` and ``is_rejected`` are set by the attempt, see ``SlotRelease``.
    """

    choice: Choice
    retry_after_s: float | None = None
    took_s: float = 0.0
    is_rejected: bool = False


@dataclass(slots=True)
class _PendingSlot:
    changed: Signal = field(default_factory=Signal)
    answer: SlotAnswer | None = None


class AdmissionClient:
    """Hold a slot of a plain service during an attempt, if the service runs short of them.

    Without a leading replica, or if it does not answer in time, requests are sent without a slot.
    """

    def __init__(
        self,
        *,
        engagement: Engagement,
        view: FleetView,
        find_leader: Callable[[], str],
        send: Callable[[str, Message], None],
        events: EventLog,
        record_slot: Callable[[str], None],
    ) -> None:
        """Store the components; ``record_slot`` counts a decision by its state.

        ``find_leader`` returns the address of the leading replica, or an empty string.
        """
        self._engagement = engagement
        self._view = view
        self._find_leader = find_leader
        self._send = send
        self._events = events
        self._record_slot = record_slot
        self._numbers = count_requests()
        self._pending: dict[int, _PendingSlot] = {}
        self._suspended_until = float("-inf")

    @contextmanager
    def hold_slot(self, call: Call, choice: Choice) -> Iterator[Slot]:
        """Hold a slot for an attempt in the context; ``choice`` is used if none is needed."""
        choices = self._list_scheduled(call)
        leader = self._find_leader() if choices else ""
        if not leader or time.monotonic() < self._suspended_until:
            yield Slot(choice=choice)
            return
        number = next(self._numbers)
        slot = Slot(choice=choice)
        try:
            self._request(slot, number, leader, call, choices)
            yield slot
        finally:
            release = SlotRelease(
                number=number,
                service=call.service,
                took_s=slot.took_s,
                is_rejected=slot.is_rejected,
            )
            self._send(leader, release)

    def is_scheduled(self, service: str) -> bool:
        """Return whether slots of a service are handed out now."""
        return self._engagement.is_engaged(service, time.monotonic())

    def _list_scheduled(self, call: Call) -> Sequence[Choice]:
        """Return the endpoints among which the slot is granted, none without scheduling.

        A service is not scheduled if an endpoint does not state its slots.
        """
        if not self._engagement.is_enabled or not self._view.is_plain(call):
            return ()
        now = time.monotonic()
        running, slots = self._view.count_running(call.service, now)
        self._engagement.record_load(call.service, running=running, slots=slots, now=now)
        if not self._engagement.is_engaged(call.service, now):
            return ()
        choices = [one.choice for one in self._view.compare(call)]
        has_slots = all(one.record.slots for one in choices)
        return choices if has_slots and 0 < len(choices) <= MAX_ENDPOINTS else ()

    def _request(
        self, slot: Slot, number: int, leader: str, call: Call, choices: Sequence[Choice]
    ) -> None:
        """Request a slot and wait for the decision."""
        asked_at = time.monotonic()
        answer = self._exchange(leader, _make_request(number, call, choices, now=asked_at))
        state = "unanswered" if answer is None else answer.state.value
        if answer is None or answer.state is SlotState.NOT_LEADING:
            self._suspended_until = time.monotonic() + SUSPENDED_S
        elif answer.state is SlotState.REFUSED:
            slot.retry_after_s = answer.wait_s
        else:
            granted = [one for one in choices if one.record.endpoint_id == answer.endpoint_id]
            slot.choice = granted[0] if granted else slot.choice
        self._record_slot(state)
        self._events.write(
            "slot_decided",
            request=call.facts.request_id,
            service=call.service,
            state=state,
            endpoint=slot.choice.record.endpoint_id,
            candidates=len(choices),
            leader=leader,
            waited_ms=round((time.monotonic() - asked_at) * 1000),
            retry_after_s=slot.retry_after_s,
        )

    def _exchange(self, leader: str, request: SlotRequest) -> SlotAnswer | None:
        """Return the final answer to a request, ``None`` if there is none in time."""
        pending = self._pending[request.number] = _PendingSlot()
        try:
            self._send(leader, request)
            pending.changed.wait(ANSWER_TIMEOUT_S)
            queued = pending.answer
            if queued is not None and queued.state is SlotState.QUEUED:
                pending.changed.clear()
                pending.changed.wait(_find_longest_wait(request) + WAIT_MARGIN_S)
            answer = pending.answer
        finally:
            del self._pending[request.number]
        is_final = answer is not None and answer.state is not SlotState.QUEUED
        return answer if is_final else None

    def handle_answer(self, answer: SlotAnswer) -> None:
        """Handle an answer; one that comes too late was released with its request."""
        pending = self._pending.get(answer.number)
        if pending is None:
            return
        if pending.answer is None or pending.answer.state is SlotState.QUEUED:
            pending.answer = answer
        pending.changed.set()


def _find_longest_wait(request: SlotRequest) -> float:
    """Return how long (s) the scheduler lets a request wait at most."""
    return max(request.target_s, LONGEST_WAIT_SHARE * request.hold_s)


def _make_request(number: int, call: Call, choices: Sequence[Choice], *, now: float) -> SlotRequest:
    left_s = max(0.0, call.ends_at - now)
    # A route without a target must not let requests wait until their deadline.
    target_s = call.route.target_s or LONGEST_WAIT_SHARE * left_s
    return SlotRequest(
        number=number,
        service=call.service,
        workspace="" if call.workspace is None else call.workspace.name,
        rank=call.priority,
        target_s=max(0.0, call.came_at + target_s - now),
        hold_s=left_s,
        candidates=tuple(
            SlotCandidate(
                endpoint_id=one.record.endpoint_id,
                slots=one.record.slots,
                cost_ms=one.location_ms,
            )
            for one in choices
        ),
    )
