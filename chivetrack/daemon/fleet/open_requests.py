"""Keeps the requests in progress at a router and ends them when it exits."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import gevent


class ExitDecidedError(BaseException):
    """The router has decided to exit; its open requests are not passed on any more."""


class OpenRequests:
    """The greenlets that serve a request; ``end`` raises ``ExitDecidedError`` in each of them."""

    def __init__(self) -> None:
        """Start without a request."""
        # The scheduled error of each greenlet, ``None`` before the exit.
        self._scheduled: dict[Any, Any] = {}
        self.is_ended = False

    def __len__(self) -> int:
        """Return the number of requests in progress."""
        return len(self._scheduled)

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count the request of the current greenlet as in progress within the context."""
        current = gevent.getcurrent()
        self._scheduled[current] = None
        try:
            yield
        finally:
            scheduled = self._scheduled.pop(current)
            if scheduled is not None:
                # The greenlet may go on with its connection, where the error belongs to nothing.
                scheduled.stop()

    def end(self) -> None:
        """End all requests in progress; each gets its error as soon as greenlets run again."""
        self.is_ended = True
        loop = gevent.get_hub().loop
        for serving in self._scheduled:
            self._scheduled[serving] = loop.run_callback(serving.throw, ExitDecidedError)

    def raise_if_ended(self) -> None:
        """Raise ``ExitDecidedError`` after ``end``.

        A greenlet that was ready to run before ``end`` may go on for a step before its error.
        """
        if self.is_ended:
            raise ExitDecidedError
