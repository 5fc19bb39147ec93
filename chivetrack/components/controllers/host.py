"""Runs all controllers of one instance and connects them with the log."""

from collections.abc import Sequence

from chivetrack.components.controllers.bridge import make_event, make_submission
from chivetrack.components.controllers.loop import ControllerLoop
from chivetrack.components.controllers.models import ConfirmRevision, Propose
from chivetrack.components.proposals.client import ProposalClient
from chivetrack.components.proposals.models import SubmissionEnded
from chivetrack.core import Effect, Event


class ControllerHost:
    """One component for all loops.

    Whoever drives it hands in every event and, through ``take_end``, every submission
    that ended. Proposals are brought to the log from here; other effects are returned.
    """

    def __init__(self, *, loops: Sequence[ControllerLoop], proposals: ProposalClient) -> None:
        """Run ``loops``; without any, this instance never asks for a lease."""
        self._loops = tuple(loops)
        self._proposals = proposals

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Hand an event to every loop."""
        effects: list[Effect] = []
        for loop in self._loops:
            effects.extend(self._submit(loop.handle(event, now=now), now))
        return effects

    def take_end(self, ended: SubmissionEnded, *, now: float) -> list[Effect]:
        """Take a submission that ended; those of others do no harm."""
        return self.handle(make_event(ended), now=now)

    def release(self, *, now: float) -> list[Effect]:
        """Give all leases back, for an orderly stop."""
        effects: list[Effect] = []
        for loop in self._loops:
            effects.extend(self._submit(loop.release(now=now), now))
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
