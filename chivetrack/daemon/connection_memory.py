"""The share of one connection in the memory budget, and what ends its reading."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

import gevent

from chivetrack.components.memory.budget import MemoryBudget, Phase, Share
from chivetrack.components.memory.const import RETRY_AFTER_S
from chivetrack.components.pipeline import faults
from chivetrack.exceptions import FaultError


def _make_refusal() -> FaultError:
    return FaultError(faults.memory_full(RETRY_AFTER_S))


@dataclass(frozen=True, slots=True, kw_only=True, eq=False)
class _Reading:
    """A greenlet that reads a request, and what frees the bytes that it has read."""

    greenlet: Any
    drop: Callable[[], None]


def _drop_nothing() -> None:
    """Drop nothing: a head is freed when its reader is interrupted."""


class ConnectionMemory:
    """What one connection holds; its reader is interrupted when the connection gives way."""

    def __init__(self, *, budget: MemoryBudget, end_waiting: Callable[[], None]) -> None:
        """Store the account; ``end_waiting`` ends a connection that waits for a request."""
        self._budget = budget
        self._end_waiting = end_waiting
        self._share: Share | None = None
        self._reading: _Reading | None = None

    @contextmanager
    def open(self) -> Iterator[bool]:
        """Hold a share within the context; yield whether there is room for the connection."""
        self._share = self._budget.open(self._give_way)
        try:
            yield self._share is not None
        finally:
            if self._share is not None:
                self._budget.close(self._share)

    def begin_waiting(self) -> None:
        """Wait for a request until ``begin_request``; the connection may be ended meanwhile."""
        assert self._share is not None
        self._budget.enter(self._share, Phase.WAITING)

    def begin_request(self) -> None:
        """Take up a request, of which something has arrived, or the end of the connection."""
        assert self._share is not None
        self._budget.enter(self._share, Phase.SERVING)

    @contextmanager
    def receiving(self, drop: Callable[[], None]) -> Iterator[None]:
        """Receive a body within the context; raise ``FaultError`` if it has to give way.

        ``drop`` frees at once what has been received.
        """
        assert self._share is not None
        self._reading = _Reading(greenlet=gevent.getcurrent(), drop=drop)
        self._budget.enter(self._share, Phase.RECEIVING)
        try:
            yield
        finally:
            self._reading = None
            self._budget.enter(self._share, Phase.SERVING)

    def reserve_head(self, size: int) -> None:
        """Reserve bytes for a long head, which may have to give way until ``end_head``."""
        assert self._share is not None
        if self._reading is None:
            self._reading = _Reading(greenlet=gevent.getcurrent(), drop=_drop_nothing)
            self._budget.enter(self._share, Phase.RECEIVING)
        self.reserve(size)

    def end_head(self) -> None:
        """Let a head not give way any more."""
        if self._reading is not None and self._share is not None:
            self._reading = None
            self._budget.enter(self._share, Phase.SERVING)

    def reserve(self, size: int) -> None:
        """Reserve bytes before they are read; raise ``FaultError`` if there is no room."""
        assert self._share is not None
        if not self._budget.reserve(self._share, size, now=time.monotonic()):
            raise _make_refusal()

    def check(self) -> None:
        """Raise ``FaultError`` if the request has given way, so that what was read is lost.

        Its bytes may come in the same turn of the loop, before its reader is interrupted.
        """
        assert self._share is not None
        if self._share.has_given_way:
            raise _make_refusal()

    def release(self) -> None:
        """Free what the request held."""
        if self._share is not None:
            self._budget.release(self._share)

    def _give_way(self) -> None:
        if self._reading is None:
            self._end_waiting()
            return
        self._reading.drop()
        gevent.get_hub().loop.run_callback(self._interrupt, self._reading)

    def _interrupt(self, reading: _Reading) -> None:
        # The request may have ended since, and its greenlet may serve the next one.
        if self._reading is reading:
            reading.greenlet.throw(_make_refusal())
