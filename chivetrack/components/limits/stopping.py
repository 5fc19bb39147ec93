"""Requests that come to an instance that is stopping: which it still takes, free of I/O."""

from dataclasses import dataclass

from chivetrack.exceptions import Fault, Ran

# Another instance can take the request at once.
RETRY_AFTER_S = 0.05
# From an exit until the instance is back.
RESTART_S = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class StopWindow:
    """The phases of a stop; times are of the steady clock in seconds.

    Until ``accepts_until`` the balancer may still choose this instance; at ``exits_at``
    what still runs is cut.
    """

    accepts_until: float
    exits_at: float

    def accepts(
        self, *, ends_at: float, expected_s: float, do_others_accept: bool, now: float
    ) -> bool:
        """Return whether a request is taken that must end by ``ends_at``.

        Whatever its own timeout ends before the exit can't be cut. Other requests are
        taken while the balancer sends them here, if they are expected to end in time or
        would only be turned away elsewhere too. Afterwards they come only because the
        balancer has no better choice or on a connection that was open before.
        """
        if ends_at <= self.exits_at:
            return True
        if now >= self.accepts_until:
            return False
        return now + expected_s <= self.exits_at or not do_others_accept


def make_stopping_fault(*, do_others_accept: bool, left_s: float) -> Fault:
    """Return the answer to a request that an instance does not take ``left_s`` before its exit.

    Where most instances stop, a caller that came back earlier would only meet another of them.
    """
    retry_after_s = RETRY_AFTER_S if do_others_accept else max(0.0, left_s) + RESTART_S
    return Fault(
        code="instance_stopping",
        message="The instance is stopping; the request has not run.",
        status=503,
        ran=Ran.NO,
        retry_after_s=retry_after_s,
    )
