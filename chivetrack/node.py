"""Decision logic of one router instance: events in, effects out, without any I/O.

The driver (a daemon, a test or a benchmark) passes each event with the time and executes
the returned effects. Instances, time, messages and requests may be simulated by the
driver. There is no global state, so several nodes in one process are independent.
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

# Wake-up times are rounded up to multiples of this interval. Each wake-up runs all of the
# about ten components, so separate wake-up times would run them dozens of times per second.
WAKE_GRID_S = 0.05


def _round_up_to_grid(at: float) -> float:
    return math.ceil(at / WAKE_GRID_S) * WAKE_GRID_S


class RouterNode:
    """Composes the decision components of one router.

    ``handle`` accepts the events of all components. Effects that concern only other
    components (claims, submissions, exits from the queue) are executed inside. All others
    are returned to the driver: messages, attempts, final answers, ended submissions and one
    ``WakeAt``.
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
        """Compose the parts; ``components`` receive all events except those on requests.

        Events on requests go to ``flow``, and submissions go to ``proposals``.
        """
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
        """Handle one event at time ``now`` (seconds, non-decreasing) and return its effects."""
        waiting = deque(self._dispatch(event, now))
        effects: list[Effect] = []
        wake_at = float("inf")
        while waiting or self._continue_dequeued(waiting, now):
            effect = waiting.popleft()
            if isinstance(effect, WakeAt):
                wake_at = min(wake_at, effect.at)
            elif isinstance(effect, AcquireClaim | EndClaim | SubmissionEnded):
                waiting.extend(self._execute_internal(effect, now))
                if isinstance(effect, SubmissionEnded):
                    effects.append(effect)
            else:
                effects.append(effect)
        due = self._admission.find_due(now)
        wake_at = wake_at if due is None else min(wake_at, due)
        if wake_at != float("inf"):
            effects.append(WakeAt(at=_round_up_to_grid(wake_at)))
        return effects

    def _continue_dequeued(self, waiting: deque[Effect], now: float) -> bool:
        """Continue requests that left the queue; return whether effects are waiting."""
        for queue_exit in self._admission.pop_queue_exits():
            waiting.extend(self._flow.handle(queue_exit, now=now))
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

    def _execute_internal(self, effect: Effect, now: float) -> list[Effect]:
        if isinstance(effect, AcquireClaim):
            return self._proposals.handle(self._claims.request_claim(effect, now=now), now=now)
        if isinstance(effect, EndClaim):
            report = self._claims.report_end(effect, now=now)
            return [] if report is None else self._proposals.handle(report, now=now)
        assert isinstance(effect, SubmissionEnded)
        return self._handle_submission_ended(effect, now)

    def _handle_submission_ended(self, ended: SubmissionEnded, now: float) -> list[Effect]:
        effects = self._controllers.handle_submission_ended(ended, now=now)
        if self._claims.needs_cleanup(ended):
            clean_up = self._claims.clean_up(ended, now=now)
            effects.extend(self._proposals.handle(clean_up, now=now))
        next_step = self._claims.handle_submission_ended(ended, now=now)
        if isinstance(next_step, Submit):
            effects.extend(self._proposals.handle(next_step, now=now))
        elif next_step is not None:
            effects.extend(self._flow.handle(next_step, now=now))
        return effects

    def release_leases(self, *, now: float) -> list[Effect]:
        """Release the leases of the controllers before a graceful stop."""
        return self._controllers.release(now=now)

    def start(self, *, now: float) -> list[Effect]:
        """Handle the first ``TimeReached``, so that all components schedule their wake-ups."""
        return self.handle(TimeReached(), now=now)
