"""Event loop that passes events to the decision logic and executes its effects."""

from collections.abc import Callable, Sequence
from typing import Any, Protocol, TypeVar

import gevent
from gevent.event import Event as Signal

from chivetrack.core import Effect, Event, TimeReached, WakeAt
from chivetrack.daemon.const import MAX_SLEEP_S
from chivetrack.helpers.timer import TimerService

EffectT = TypeVar("EffectT", bound=Effect)


class DecisionLogic(Protocol):
    """Interface of the decision logic that a runner drives."""

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Handle an event at time ``now`` (seconds) and return its effects."""
        ...


class Runner:
    """Drives one decision logic object; only one greenlet runs inside it at a time.

    The decision logic never switches greenlets, so ``post`` needs no lock.
    """

    def __init__(
        self, *, decisions: DecisionLogic, timers: TimerService, read_clock: Callable[[], float]
    ) -> None:
        """Create a runner; ``read_clock`` returns seconds of a monotonic clock."""
        self._decisions = decisions
        self._timers = timers
        self._read_clock = read_clock
        self._handlers: dict[type[Effect], Callable[[Any], None]] = {}
        self._wake_at = float("inf")
        self._wake_changed = Signal()

    def register_handler(
        self, effect_type: type[EffectT], handler: Callable[[EffectT], None]
    ) -> None:
        """Register ``handler`` for the effects of a type and of its subclasses."""
        self._handlers[effect_type] = handler

    def post(self, event: Event) -> None:
        """Pass an event to the decision logic and execute the resulting effects."""
        self.execute(self._decisions.handle(event, now=self._read_clock()))

    def execute(self, effects: Sequence[Effect]) -> None:
        """Execute effects in order."""
        for effect in effects:
            self._execute_one(effect)

    def _execute_one(self, effect: Effect) -> None:
        if isinstance(effect, WakeAt):
            self._schedule_wake(effect.at)
            return
        for effect_type in type(effect).__mro__:
            handler = self._handlers.get(effect_type)
            if handler is not None:
                handler(effect)
                return
        raise TypeError(f"no handler is registered for {type(effect).__name__}")

    def _schedule_wake(self, at: float) -> None:
        if at < self._wake_at:
            self._wake_at = at
            self._wake_changed.set()

    def run(self) -> None:
        """Call due timers and post ``TimeReached`` at each wake-up time; runs until killed."""
        while True:
            self._wake_changed.clear()
            wait_s = min(self._find_next_wake() - self._read_clock(), MAX_SLEEP_S)
            if wait_s > 0 and self._wake_changed.wait(wait_s):
                continue
            now = self._read_clock()
            self._timers.run_due(now)
            if now >= self._wake_at:
                self._wake_at = float("inf")
                self.post(TimeReached())
            gevent.sleep(0)

    def _find_next_wake(self) -> float:
        due = self._timers.find_next_due()
        return self._wake_at if due is None else min(self._wake_at, due)

    def start(self) -> None:
        """Post ``TimeReached`` once, so that the decision logic schedules its wake-ups."""
        self.post(TimeReached())
