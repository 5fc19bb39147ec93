"""Faults of requests that get no slot; none of these requests ran."""

from chivetrack.exceptions import Fault, Ran

STATUS_NO_SLOT = 503


def make_no_slot_fault(retry_after_s: float) -> Fault:
    """Return the fault of a request that no endpoint can answer within its latency target."""
    return Fault(
        code="no_slot",
        message="The request has not run: no endpoint has a slot for it in time.",
        status=STATUS_NO_SLOT,
        ran=Ran.NO,
        retry_after_s=retry_after_s,
    )
