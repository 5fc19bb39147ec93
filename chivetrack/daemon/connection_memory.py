"""The share of one connection in the memory budget, and what ends its reading."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import gevent

from chivetrack.components.memory.budget import MemoryBudget, Phase, Share
from chivetrack.components.memory.const import RETRY_AFTER_S
from chivetrack.components.pipeline import faults
from chivetrack.exceptions import FaultError


def _make_refusal() -> FaultError:
    return FaultError(faults.memory_full(RETRY_AFTER_S))


class ConnectionMemory:
    """What one connection holds; its reader is interrupted when the connection gives way."""

    def __init__(self, *, budget: MemoryBudget, end_waiting: Callable[[], None]) -> None:
        """Store the account; ``end_waiting`` ends a connection that waits for a request."""
        self._budget = budget
        self._end_waiting = end_waiting
        self._share: Share | None = None
        self._reader: Any = None
        self._drop: Callable[[], None] = lambda: None

    @contextmanager
    def open(self) -> Iterator[bool]:
        """Hold a share within the context; yield whether there is room for the connection."""
        self._share = self._budget.open(self._give_way)
        try:
            yield self._share is not None
        finally:
            if self._share is not None:
                self._budget.close(self._share)

    @contextmanager
    def waiting(self) -> Iterator[None]:
        """Wait for a request within the context, during which the connection may be ended."""
        with self._enter(Phase.WAITING):
            yield

    @contextmanager
    def receiving(self, drop: Callable[[], None] = lambda: None) -> Iterator[None]:
        """Receive a request within the context; raise ``FaultError`` if it has to give way.

        ``drop`` frees at once what has been received.
        """
        self._reader, self._drop = gevent.getcurrent(), drop
        try:
            with self._enter(Phase.RECEIVING):
                yield
        finally:
            self._reader = None

    @contextmanager
    def _enter(self, phase: Phase) -> Iterator[None]:
        assert self._share is not None
        self._budget.enter(self._share, phase)
        try:
            yield
        finally:
            self._budget.enter(self._share, Phase.SERVING)

    def reserve(self, size: int) -> None:
        """Reserve bytes before they are read; raise ``FaultError`` if there is no room."""
        assert self._share is not None
        if not self._budget.reserve(self._share, size, now=time.monotonic()):
            raise _make_refusal()

    def release(self) -> None:
        """Free what the request held."""
        if self._share is not None:
            self._budget.release(self._share)

    def _give_way(self) -> None:
        if self._reader is None:
            self._end_waiting()
            return
        self._drop()
        gevent.get_hub().loop.run_callback(self._interrupt, self._reader)

    def _interrupt(self, reader: Any) -> None:
        # The request may have ended since; its greenlet must not get the error elsewhere.
        if self._reader is reader:
            reader.throw(_make_refusal())
