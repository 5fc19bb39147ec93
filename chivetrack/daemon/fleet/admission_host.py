"""Schedules the slots of plain services while this replica leads."""

import time
from collections.abc import Callable

import gevent

from chivetrack.components.admission.messages import (
    SlotAnswer,
    SlotRelease,
    SlotRequest,
    SlotState,
)
from chivetrack.components.admission.scheduler import AddressedAnswer
from chivetrack.components.admission.schedulers import SlotSchedulers
from chivetrack.helpers.codec import Message
from chivetrack.helpers.events import EventLog

WAKE_INTERVAL_S = 0.1
"""Slots of killed routers are found at this interval."""

WAKES_PER_LOG_LINE = 10


class AdmissionHost:
    """Answers routers that request slots."""

    def __init__(
        self,
        *,
        schedulers: SlotSchedulers,
        is_leader: Callable[[], bool],
        answer: Callable[[str, Message], None],
        events: EventLog,
    ) -> None:
        """Store the schedulers, whether this replica leads, the transport's ``answer``."""
        self._schedulers = schedulers
        self._is_leader = is_leader
        self._answer = answer
        self._events = events

    def handle_request(self, source: str, request: SlotRequest) -> None:
        """Grant a slot, queue the request or refuse it."""
        if not self._is_leader() or not request.candidates:
            state = SlotState.NOT_LEADING
            self._answer(source, SlotAnswer(number=request.number, state=state))
            return
        self._send(self._schedulers.request(source, request, now=time.monotonic()))

    def handle_release(self, source: str, release: SlotRelease) -> None:
        """Free a slot for those that wait."""
        self._send(self._schedulers.release(source, release, now=time.monotonic()))

    def _send(self, answers: list[AddressedAnswer]) -> None:
        for addressed in answers:
            self._answer(addressed.target, addressed.answer)

    def run(self) -> None:
        """Free the slots of routers that were killed, and log the counts, until killed."""
        wakes = 0
        while True:
            gevent.sleep(WAKE_INTERVAL_S)
            if not self._is_leader():
                self._send(self._schedulers.clear())
                continue
            self._send(self._schedulers.wake(now=time.monotonic()))
            wakes += 1
            if wakes % WAKES_PER_LOG_LINE == 0:
                self._log()

    def _log(self) -> None:
        for service, counts in self._schedulers.describe().items():
            self._events.write("slots_scheduled", service=service, **counts)
