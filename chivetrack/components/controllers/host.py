"""Runs all controllers of one instance and connects them with the log."""

from collections.abc import Sequence
from typing import Protocol

from chivetrack.components.controllers.bridge import make_event, make_submission
from chivetrack.components.controllers.models import ConfirmRevision, Propose
from chivetrack.components.proposals.client import ProposalClient
from chivetrack.components.proposals.models import SubmissionEnded
from chivetrack.core import Effect, Event


class Runner(Protocol):
    """What runs under one lease: a loop, or a loop with what belongs to it."""

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Take one event at time ``now``."""
        ...

    def release(self, *, now: float) -> list[Effect]:
        """Give the lease back."""
        ...


class ControllerHost:
    """One component for all runners.

    Whoever drives it hands in every event and, through ``take_end``, every submission
    that ended. Proposals are brought to the log from here; other effects are returned.
    """

    def __init__(self, *, runners: Sequence[Runner], proposals: ProposalClient) -> None:
        """Run ``runners``; without any, this instance never asks for a lease."""
        self._runners = tuple(runners)
        self._proposals = proposals

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Hand an event to every runner."""
        effects: list[Effect] = []
        for runner in self._runners:
            effects.extend(self._submit(runner.handle(event, now=now), now))
        return effects

    def take_end(self, ended: SubmissionEnded, *, now: float) -> list[Effect]:
        """Take a submission that ended; those of others do no harm."""
        return self.handle(make_event(ended), now=now)

    def release(self, *, now: float) -> list[Effect]:
        """Give all leases back, for an orderly stop."""
        effects: list[Effect] = []
        for runner in self._runners:
            effects.extend(self._submit(runner.release(now=now), now))
        return effects

    def _submit(self, effects: list[Effect], now: float) -> list[Effect]:
        following: list[Effect] = []
        for effect in effects:
            if isinstance(effect, Propose | ConfirmRevision):
                submission = make_submission(effect)
                following.extend(self._proposals.handle(submission, now=now))
            else:
                following.append(effect)
        return following
