"""Runs all controllers of one instance and submits their proposals to the log."""

from collections.abc import Sequence
from typing import Protocol

from chivetrack.components.controllers.bridge import make_event, make_submission
from chivetrack.components.controllers.models import ConfirmRevision, Propose
from chivetrack.components.proposals.client import ProposalClient
from chivetrack.components.proposals.models import SubmissionEnded
from chivetrack.core import Effect, Event


class Runner(Protocol):
    """A unit that runs under one lease: a ``ControllerLoop`` or a component that wraps one."""

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Handle one event at time ``now``."""
        ...

    def release(self, *, now: float) -> list[Effect]:
        """Release the lease."""
        ...


class ControllerHost:
    """Runs several runners as one component.

    The caller must pass every event to ``handle`` and every ended submission to
    ``handle_submission_ended``. Proposals are submitted through ``proposals``; other effects are
    returned.
    """

    def __init__(self, *, runners: Sequence[Runner], proposals: ProposalClient) -> None:
        """Run ``runners``; without any, this instance never requests a lease."""
        self._runners = tuple(runners)
        self._proposals = proposals

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Pass an event to every runner."""
        effects: list[Effect] = []
        for runner in self._runners:
            effects.extend(self._submit(runner.handle(event, now=now), now))
        return effects

    def handle_submission_ended(self, ended: SubmissionEnded, *, now: float) -> list[Effect]:
        """Handle an ended submission; submissions of other components are ignored."""
        return self.handle(make_event(ended), now=now)

    def release(self, *, now: float) -> list[Effect]:
        """Release all leases, for an orderly stop."""
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
