"""Ends the requests that are open when the instance exits."""

from collections.abc import Iterator
from contextlib import contextmanager

import gevent
from greenlet import greenlet


class ExitDecidedError(BaseException):
    """The instance has decided to exit; its open requests are not passed on any more.

    It is no ``Exception``, so that no error handling on the way takes it for a failed attempt.
    """


class OpenRequests:
    """The greenlets that serve a request; ``end`` raises ``ExitDecidedError`` in each of them."""

    def __init__(self) -> None:
        """Start without a request."""
        self._greenlets: dict[object, greenlet] = {}
        self.is_ended = False

    def __len__(self) -> int:
        """Return the number of requests in progress."""
        return len(self._greenlets)

    def add(self, key: object) -> None:
        """Register the current greenlet; raise ``ExitDecidedError`` after ``end``."""
        self.raise_if_ended()
        self._greenlets[key] = gevent.getcurrent()

    def discard(self, key: object) -> None:
        """Forget a greenlet, which gets no error any more."""
        self._greenlets.pop(key, None)

    @contextmanager
    def track(self) -> Iterator[None]:
        """Register the current greenlet within the context."""
        key = object()
        self.add(key)
        try:
            yield
        finally:
            self.discard(key)

    def end(self) -> None:
        """End all requests; each gets its error as soon as greenlets run again."""
        self.is_ended = True
        loop = gevent.get_hub().loop
        for key in list(self._greenlets):
            loop.run_callback(self._interrupt, key)

    def _interrupt(self, key: object) -> None:
        # The request may have ended since, and its greenlet may go on with its connection.
        serving = self._greenlets.get(key)
        if serving is not None:
            serving.throw(ExitDecidedError())

    def raise_if_ended(self) -> None:
        """Raise ``ExitDecidedError`` after ``end``.

        A greenlet that was ready to run before ``end`` may go on for a step before its error.
        """
        if self.is_ended:
            raise ExitDecidedError
