"""Decides, without I/O, which requests a stopping instance still accepts."""

from dataclasses import dataclass

from chivetrack.exceptions import Fault, Ran

# Another instance can accept the request at once.
RETRY_AFTER_S = 0.05
# Time from the exit of an instance until it accepts requests again.
RESTART_S = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class StopWindow:
    """The phases of a stop; times are seconds on the monotonic clock.

    Until ``accepts_until`` the balancer may still choose this instance. At ``exits_at``
    the requests that are still running are aborted.
    """

    accepts_until: float
    exits_at: float

    def accepts(
        self, *, ends_at: float, expected_s: float | None, do_others_accept: bool, now: float
    ) -> bool:
        """Return whether to accept a request that times out at ``ends_at``.

        ``expected_s`` is how long it will take, ``None`` if nothing is known of its kind.

        A request that times out before the exit cannot be aborted by it and is always
        accepted. Until ``accepts_until`` other requests are accepted if they are expected
        to end before the exit or if other instances would refuse them as well. After
        ``accepts_until`` they are refused: they arrive only because the balancer has no
        better choice or over a connection that was open before.
        """
        if ends_at <= self.exits_at:
            return True
        if now >= self.accepts_until:
            return False
        is_short = expected_s is not None and now + expected_s <= self.exits_at
        return is_short or not do_others_accept


def make_cut_fault() -> Fault:
    """Return the fault for a request that an endpoint may be running when the instance exits."""
    return Fault(
        code="instance_stopping",
        message="The instance stopped before the answer came; the request may have run.",
        status=502,
        ran=Ran.MAYBE,
    )


def make_stopping_fault(*, do_others_accept: bool, left_s: float) -> Fault:
    """Return the fault for a request that is refused ``left_s`` seconds before the exit.

    If other instances do not accept requests either, most of them are stopping: a caller that
    retried before this instance is back would only reach another stopping one.
    """
    retry_after_s = RETRY_AFTER_S if do_others_accept else max(0.0, left_s) + RESTART_S
    return Fault(
        code="instance_stopping",
        message="The instance is stopping; the request has not run.",
        status=503,
        ran=Ran.NO,
        retry_after_s=retry_after_s,
    )
