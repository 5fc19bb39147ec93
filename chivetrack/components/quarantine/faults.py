"""The error response to a quarantined request."""

from chivetrack.exceptions import Fault, Ran

FAULT_QUARANTINED = "request_quarantined"

STATUS_QUARANTINED = 500
"""Not 503 or 429, which invite a retry, nor another 4xx: only the service can judge whether the
request is invalid."""


def make_fault(*, has_run: bool) -> Fault:
    """Return the fault; ``has_run`` means that this attempt may have run at an endpoint."""
    return Fault(
        code=FAULT_QUARANTINED,
        message="Endpoints crashed each time they ran this request or one with the same part of"
        " its prompt. Don't send it again.",
        status=STATUS_QUARANTINED,
        ran=Ran.MAYBE if has_run else Ran.NO,
    )
