"""Carries events into the decisions and their effects out."""

from collections.abc import Callable, Sequence
from typing import Any, Protocol, TypeVar

import gevent
from gevent.event import Event as Signal

from chivetrack.core import Effect, Event, TimeReached, WakeAt
from chivetrack.daemon.const import LONGEST_SLEEP_S
from chivetrack.helpers.timer import TimerService

EffectT = TypeVar("EffectT", bound=Effect)


class Decisions(Protocol):
    """What the runner drives."""

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Take an event, return effects."""
        ...


class Runner:
    """Drives one decision object; only one greenlet is inside it at a time.

    The decisions never switch greenlets, so ``post`` needs no lock.
    """

    def __init__(
        self, *, decisions: Decisions, timers: TimerService, read_clock: Callable[[], float]
    ) -> None:
        """Take the decisions, the timer service and a monotonic clock (seconds)."""
        self._decisions = decisions
        self._timers = timers
        self._read_clock = read_clock
        self._handlers: dict[type[Effect], Callable[[Any], None]] = {}
        self._wake_at = float("inf")
        self._rearmed = Signal()

    def handle_effects(
        self, effect_type: type[EffectT], handler: Callable[[EffectT], None]
    ) -> None:
        """Have effects of a type, and of its subclasses, carried out by ``handler``."""
        self._handlers[effect_type] = handler

    def post(self, event: Event) -> None:
        """Hand in an event and carry out what follows from it."""
        self.carry_out(self._decisions.handle(event, now=self._read_clock()))

    def carry_out(self, effects: Sequence[Effect]) -> None:
        """Carry out effects in their order."""
        for effect in effects:
            self._carry_out(effect)

    def _carry_out(self, effect: Effect) -> None:
        if isinstance(effect, WakeAt):
            self._arm(effect.at)
            return
        for effect_type in type(effect).__mro__:
            handler = self._handlers.get(effect_type)
            if handler is not None:
                handler(effect)
                return
        raise TypeError(f"nobody carries out {type(effect).__name__}")

    def _arm(self, at: float) -> None:
        if at < self._wake_at:
            self._wake_at = at
            self._rearmed.set()

    def run(self) -> None:
        """Hand in the time and call the timers whenever they are due; runs until killed."""
        while True:
            self._rearmed.clear()
            wait_s = min(self._find_next() - self._read_clock(), LONGEST_SLEEP_S)
            if wait_s > 0 and self._rearmed.wait(wait_s):
                continue
            now = self._read_clock()
            self._timers.run_due(now)
            if now >= self._wake_at:
                self._wake_at = float("inf")
                self.post(TimeReached())
            gevent.sleep(0)

    def _find_next(self) -> float:
        due = self._timers.find_next_due()
        return self._wake_at if due is None else min(self._wake_at, due)

    def start(self) -> None:
        """Hand in the time once, which arms the decisions' timers."""
        self.post(TimeReached())
