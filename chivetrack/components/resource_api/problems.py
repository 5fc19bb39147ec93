"""Builds error answers."""

from chivetrack.components.resource_api.models import Problem
from chivetrack.components.resource_api.rendering import render_record
from chivetrack.components.store.outcomes import RefusalCode, Refused
from chivetrack.exceptions import Fault, Ran
from chivetrack.helpers.finding import Finding, Findings

REFUSAL_STATUS: dict[RefusalCode, int] = {
    RefusalCode.ALREADY_EXISTS: 409,
    RefusalCode.NOT_FOUND: 404,
    RefusalCode.CONFLICT: 409,
    RefusalCode.DELETING: 409,
    RefusalCode.REQUEST_ID_REUSED: 422,
    RefusalCode.FENCED: 409,
    RefusalCode.INVALID_PATCH: 422,
    RefusalCode.TOO_LARGE: 413,
    RefusalCode.LEASES_EXHAUSTED: 429,
    RefusalCode.CLAIMS_EXHAUSTED: 429,
}

UNKNOWN_OUTCOME_RETRY_S = 1.0


def make_problem(code: str, message: str, *, status: int) -> Problem:
    """Return the error for a request that changed nothing."""
    return Problem(fault=Fault(code=code, message=message, status=status))


def make_refusal(refused: Refused) -> Problem:
    """Return the error for a command that the store refused."""
    fault = Fault(
        code=refused.code.value, message=refused.message, status=REFUSAL_STATUS[refused.code]
    )
    if refused.current is None:
        return Problem(fault=fault)
    return Problem(fault=fault, current=render_record(refused.kind, refused.current))


def make_write_failure(fault: Fault) -> Problem:
    """Return the error for a command without an outcome.

    Only a fault with ``Ran.NO`` guarantees that nothing was changed. After any other the
    outcome is unknown and the caller must resend with the same request id.
    """
    if fault.ran is Ran.NO:
        return Problem(fault=fault)
    unknown = Fault(
        code="outcome_unknown",
        message=f"it is not known whether the change was made: {fault.message}",
        status=504,
        ran=Ran.MAYBE,
        retry_after_s=fault.retry_after_s or UNKNOWN_OUTCOME_RETRY_S,
    )
    return Problem(fault=unknown)


def make_invalid(findings: Findings) -> Problem:
    """Return the error for a document with faults."""
    items: tuple[Finding, ...] = tuple(findings)
    message = f"the document has {len(items)} fault{'s' if len(items) != 1 else ''}"
    fault = Fault(code="invalid_document", message=message, status=422)
    return Problem(fault=fault, findings=items)
