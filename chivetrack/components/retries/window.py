"""The retries of a service that a router's own requests pay for."""

from collections import deque
from dataclasses import dataclass

from chivetrack.components.retries.const import SAFETY_FACTOR, WINDOW_SLOTS


@dataclass(slots=True)
class _Slot:
    """Counts of the requests and retries in one slot of the window."""

    number: int
    requests: int = 0
    retries: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class WindowCounts:
    """What the last window holds."""

    requests: int
    retries: int


class RetryWindow:
    """Counts the requests and retries of one service, and keeps the ratio between them.

    The bound is on the sum over the fleet, and counts the requests of a window or of the window
    before it. Here, the retries in any window stay within the ratio of the mean of both. That is
    linear in the requests, so the parts of all routers, and of all processes that one router has
    been, add up to the bound: without messages, and whichever of them end or start.
    """

    def __init__(self, *, ratio: float, window_s: float) -> None:
        """Initialize an empty window; ``ratio`` is how many retries each request allows."""
        self._ratio = ratio * SAFETY_FACTOR
        self._slot_s = window_s / WINDOW_SLOTS
        self._slots: deque[_Slot] = deque()
        self._reserved = 0

    def record_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._find_slot(now).requests += 1

    def reserve(self, now: float, *, share: float = 1.0) -> bool:
        """Reserve a retry until it is sent or released; return whether there was room.

        ``share`` is the part of the ratio that may be used up by it.
        """
        if not self.has_room(now, share=share):
            return False
        self._reserved += 1
        return True

    def release(self) -> None:
        """Give back a reserved retry that was not sent."""
        self._reserved -= 1

    def commit(self, now: float) -> bool:
        """Count a reserved retry that is sent now; return whether it still has room."""
        self._reserved -= 1
        if not self.has_room(now):
            return False
        self._find_slot(now).retries += 1
        return True

    def has_room(self, now: float, *, share: float = 1.0) -> bool:
        """Return whether one more retry keeps ``share`` of the ratio in each window with it.

        A window may begin anywhere within a slot: its retries count as later and its requests as
        earlier than the beginning.
        """
        newest = self._find_slot(now).number
        requests = {slot.number: slot.requests for slot in self._slots}
        paid = sum(requests.get(newest - age, 0) for age in range(WINDOW_SLOTS))
        retries = {slot.number: slot.retries for slot in self._slots}
        used = self._reserved + 1
        for begin in range(newest, newest - WINDOW_SLOTS - 1, -1):
            used += retries.get(begin, 0)
            if used > share * self._ratio / 2 * paid:
                return False
            paid += requests.get(begin - WINDOW_SLOTS, 0)
        return True

    def count(self, now: float) -> WindowCounts:
        """Return what the last window holds; reserved retries count as sent."""
        oldest = self._find_slot(now).number - WINDOW_SLOTS
        slots = [slot for slot in self._slots if slot.number > oldest]
        return WindowCounts(
            requests=sum(slot.requests for slot in slots),
            retries=sum(slot.retries for slot in slots) + self._reserved,
        )

    @property
    def is_idle(self) -> bool:
        """Return whether nothing is counted or reserved."""
        return not self._reserved and not any(one.requests or one.retries for one in self._slots)

    def _find_slot(self, now: float) -> _Slot:
        number = int(now // self._slot_s)
        while self._slots and self._slots[0].number < number - 2 * WINDOW_SLOTS:
            self._slots.popleft()
        if not self._slots or self._slots[-1].number < number:
            self._slots.append(_Slot(number))
        return self._slots[-1]
