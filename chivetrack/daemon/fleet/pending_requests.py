"""Questions to other processes that a greenlet waits for the answer to."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from gevent.event import Event as Signal

AnswerT = TypeVar("AnswerT")


@dataclass(slots=True)
class _PendingRequest(Generic[AnswerT]):
    done: Signal = field(default_factory=Signal)
    answer: AnswerT | None = None


class PendingRequests(Generic[AnswerT]):
    """Numbers questions, and hands each answer to whoever still waits for it."""

    def __init__(self) -> None:
        """Start with none."""
        self._numbers = itertools.count(1)
        self._open: dict[int, _PendingRequest[AnswerT]] = {}

    def __len__(self) -> int:
        """Return how many are waited for."""
        return len(self._open)

    def ask(self, send: Callable[[int], None], *, timeout_s: float) -> AnswerT | None:
        """Send a question by its number; return the answer, ``None`` if none comes in time."""
        number = next(self._numbers)
        question = self._open[number] = _PendingRequest()
        try:
            send(number)
            question.done.wait(timeout_s)
        finally:
            # Also when the waiting greenlet is killed, as by a caller that leaves.
            del self._open[number]
        return question.answer

    def take(self, number: int, answer: AnswerT) -> None:
        """Take an answer; one that nobody waits for any more is dropped."""
        question = self._open.get(number)
        if question is not None:
            question.answer = answer
            question.done.set()
