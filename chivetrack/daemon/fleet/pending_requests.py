"""Requests to other processes whose answers greenlets wait for."""

import itertools
import secrets
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from gevent.event import Event as Signal

AnswerT = TypeVar("AnswerT")

_START_BITS = 48


def count_requests() -> Iterator[int]:
    """Number the requests of one process.

    The start is random: an answer to an earlier process at this address may still be on its way,
    and must not be taken for the answer to a request of this one.
    """
    return itertools.count(1 + secrets.randbits(_START_BITS))


@dataclass(slots=True)
class _PendingRequest(Generic[AnswerT]):
    done: Signal = field(default_factory=Signal)
    answer: AnswerT | None = None


class PendingRequests(Generic[AnswerT]):
    """Number requests and deliver each answer to the greenlet that waits for it."""

    def __init__(self) -> None:
        """Start without pending requests."""
        self._numbers = count_requests()
        self._open: dict[int, _PendingRequest[AnswerT]] = {}

    def __len__(self) -> int:
        """Return the number of pending requests."""
        return len(self._open)

    def request(self, send: Callable[[int], None], *, timeout_s: float) -> AnswerT | None:
        """Call ``send`` with a new request number and wait for the answer.

        Return ``None`` if no answer arrives within ``timeout_s``.
        """
        number = next(self._numbers)
        pending = self._open[number] = _PendingRequest()
        try:
            send(number)
            pending.done.wait(timeout_s)
        finally:
            # Also if the waiting greenlet is killed, for example when a caller disconnects.
            del self._open[number]
        return pending.answer

    def handle_answer(self, number: int, answer: AnswerT) -> None:
        """Deliver an answer; drop it if its request is no longer pending."""
        pending = self._open.get(number)
        if pending is not None:
            pending.answer = answer
            pending.done.set()
