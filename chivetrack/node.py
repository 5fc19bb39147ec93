"""One router instance as decisions: every event enters here, every effect leaves here.

This is the door for a daemon, a test or a bench: hand in an event and the time, carry
out the effects. Instances, time, messages and requests may be the driver's own. There
are no globals; two nodes in one process share nothing.
"""

import math
from collections import deque
from collections.abc import Sequence

from chivetrack.components.claims.coordinator import ClaimCoordinator
from chivetrack.components.controllers.host import ControllerHost
from chivetrack.components.pipeline.admission import AdmissionControl
from chivetrack.components.pipeline.flow import RequestFlow
from chivetrack.components.pipeline.models import AcquireClaim, EndClaim, RequestEvent
from chivetrack.components.proposals.client import ProposalClient
from chivetrack.components.proposals.models import SubmissionEnded, Submit, SubmitRead
from chivetrack.core import Component, Effect, Event, TimeReached, WakeAt

# Ten components that each wake at times of their own would run one another dozens of
# times a second; on a common grid they wake together.
WAKE_GRID_S = 0.05


def _round_up(at: float) -> float:
    return math.ceil(at / WAKE_GRID_S) * WAKE_GRID_S


class RouterNode:
    """Composes the decision components of one router.

    ``handle`` takes any event of the components. Effects that concern only other
    components (claims, submissions, turns in the queue) are followed inside; the rest are the
    driver's: messages, attempts, final answers, ended submissions and one ``WakeAt``.
    """

    def __init__(
        self,
        *,
        flow: RequestFlow,
        proposals: ProposalClient,
        claims: ClaimCoordinator,
        admission: AdmissionControl,
        controllers: ControllerHost,
        components: Sequence[Component],
    ) -> None:
        """Take the parts; ``components`` get every message and every tick."""
        self._flow = flow
        self._proposals = proposals
        self._claims = claims
        self._admission = admission
        self._controllers = controllers
        self._components: tuple[Component, ...] = (
            proposals,
            admission,
            *components,
            controllers,
        )

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Take one event at time ``now`` (seconds, never going back)."""
        waiting = deque(self._dispatch(event, now))
        effects: list[Effect] = []
        wake_at = float("inf")
        while waiting or self._give_turns(waiting, now):
            effect = waiting.popleft()
            if isinstance(effect, WakeAt):
                wake_at = min(wake_at, effect.at)
            elif isinstance(effect, AcquireClaim | EndClaim | SubmissionEnded):
                waiting.extend(self._follow(effect, now))
                if isinstance(effect, SubmissionEnded):
                    effects.append(effect)
            else:
                effects.append(effect)
        due = self._admission.find_due(now)
        wake_at = wake_at if due is None else min(wake_at, due)
        if wake_at != float("inf"):
            effects.append(WakeAt(at=_round_up(wake_at)))
        return effects

    def _give_turns(self, waiting: deque[Effect], now: float) -> bool:
        """Let requests on whose turn in the queue has come; tell whether anything follows."""
        for turn in self._admission.pop_queue_exits():
            waiting.extend(self._flow.handle(turn, now=now))
        return bool(waiting)

    def _dispatch(self, event: Event, now: float) -> list[Effect]:
        if isinstance(event, RequestEvent):
            return self._flow.handle(event, now=now)
        if isinstance(event, Submit | SubmitRead):
            return self._proposals.handle(event, now=now)
        effects: list[Effect] = []
        for component in self._components:
            effects.extend(component.handle(event, now=now))
        return effects

    def _follow(self, effect: Effect, now: float) -> list[Effect]:
        if isinstance(effect, AcquireClaim):
            return self._proposals.handle(self._claims.request_claim(effect, now=now), now=now)
        if isinstance(effect, EndClaim):
            report = self._claims.report_end(effect, now=now)
            return [] if report is None else self._proposals.handle(report, now=now)
        assert isinstance(effect, SubmissionEnded)
        return self._follow_submission(effect, now)

    def _follow_submission(self, ended: SubmissionEnded, now: float) -> list[Effect]:
        effects = self._controllers.take_end(ended, now=now)
        if self._claims.needs_cleanup(ended):
            clean_up = self._claims.clean_up(ended, now=now)
            effects.extend(self._proposals.handle(clean_up, now=now))
        following = self._claims.take_end(ended, now=now)
        if isinstance(following, Submit):
            effects.extend(self._proposals.handle(following, now=now))
        elif following is not None:
            effects.extend(self._flow.handle(following, now=now))
        return effects

    def release_leases(self, *, now: float) -> list[Effect]:
        """Give the controllers' leases back, before an orderly stop."""
        return self._controllers.release(now=now)

    def start(self, *, now: float) -> list[Effect]:
        """Begin: the first tick, which arms all timers."""
        return self.handle(TimeReached(), now=now)
