"""The faults that the pipeline itself returns to callers."""

from chivetrack.exceptions import Fault, Ran


def missing_key() -> Fault:
    """Return the fault for a request without a caller's key."""
    return Fault(
        code="missing_key", message="Send 'Authorization: Bearer KEY'.", status=401, ran=Ran.NO
    )


def bad_key() -> Fault:
    """Return the fault for a key of no workspace or of another workspace."""
    return Fault(code="bad_key", message="The key is not valid here.", status=401, ran=Ran.NO)


def unknown_workspace(name: str) -> Fault:
    """Return the fault for a workspace that is not in the configuration."""
    message = f"There is no workspace {name!r}."
    return Fault(code="unknown_workspace", message=message, status=404, ran=Ran.NO)


def unknown_model(model: str) -> Fault:
    """Return the fault for a model that no service serves."""
    message = f"No service serves the model {model!r}."
    return Fault(code="unknown_model", message=message, status=404, ran=Ran.NO)


def service_not_allowed(service: str) -> Fault:
    """Return the fault for a service that the workspace may not use."""
    message = f"The workspace may not use the service {service!r}."
    return Fault(code="service_not_allowed", message=message, status=403, ran=Ran.NO)


def malformed_body(detail: str) -> Fault:
    """Return the fault for a body that is not a valid request of the interface."""
    return Fault(code="malformed_body", message=detail, status=400, ran=Ran.NO)


def malformed_header(name: str, detail: str) -> Fault:
    """Return the fault for a header with an invalid value."""
    return Fault(code="malformed_header", message=f"{name}: {detail}", status=400, ran=Ran.NO)


def deadline_exceeded(*, ran: Ran) -> Fault:
    """Return the fault for a request whose deadline has passed."""
    message = "The deadline passed before there was an answer."
    return Fault(code="deadline_exceeded", message=message, status=504, ran=ran)


def unconfirmed_configuration(retry_after_s: float) -> Fault:
    """Return the fault of a router that can't confirm its configuration."""
    return Fault(
        code="unconfirmed_configuration",
        message="This router can't confirm that its configuration is in force; try another.",
        status=503,
        ran=Ran.NO,
        retry_after_s=retry_after_s,
    )


def no_endpoint(reason: str, retry_after_s: float | None) -> Fault:
    """Return the fault for a request for which no endpoint is available now."""
    return Fault(
        code="no_endpoint", message=reason, status=503, ran=Ran.NO, retry_after_s=retry_after_s
    )


def upstream_failed(message: str, *, ran: Ran, retry_after_s: float | None) -> Fault:
    """Return the fault for a request whose last attempt failed."""
    return Fault(
        code="upstream_failed", message=message, status=502, ran=ran, retry_after_s=retry_after_s
    )


def caller_gone(ran: Ran) -> Fault:
    """Return the fault to log when a caller disconnects before it has its answer."""
    return Fault(code="caller_gone", message="The caller has gone.", status=499, ran=ran)


def answer_cut() -> Fault:
    """Return the fault for an answer that ended before it was complete."""
    message = "The answer was cut off; what arrived is not the whole answer."
    return Fault(code="answer_cut", message=message, status=502, ran=Ran.MAYBE)


def body_too_large(limit: int) -> Fault:
    """Return the fault for a body over the limit (bytes)."""
    message = f"The body is larger than {limit} bytes."
    return Fault(code="body_too_large", message=message, status=413, ran=Ran.NO)


def body_timeout(limit_s: float) -> Fault:
    """Return the fault for a body that did not arrive in time."""
    message = f"The body did not arrive within {limit_s:g} s."
    return Fault(code="body_timeout", message=message, status=408, ran=Ran.NO)


def memory_full(retry_after_s: float) -> Fault:
    """Return the fault for a request that has to give way since the memory is used up."""
    message = "There is no memory for this request now; it has not run."
    return Fault(
        code="memory_full", message=message, status=503, ran=Ran.NO, retry_after_s=retry_after_s
    )


def headers_too_large(max_bytes: int, max_lines: int) -> Fault:
    """Return the fault for a request whose headers are over a limit."""
    message = f"The headers are larger than {max_bytes} bytes or more than {max_lines} lines."
    return Fault(code="headers_too_large", message=message, status=431, ran=Ran.NO)


def headers_timeout(limit_s: float) -> Fault:
    """Return the fault for headers that did not arrive in time."""
    message = f"The headers did not arrive within {limit_s:g} s."
    return Fault(code="headers_timeout", message=message, status=408, ran=Ran.NO)


def uri_too_long() -> Fault:
    """Return the fault for a request line over the limit."""
    message = "The request line is too long."
    return Fault(code="uri_too_long", message=message, status=414, ran=Ran.NO)


def bad_request() -> Fault:
    """Return the fault for input that is not a valid HTTP request."""
    message = "This is not an HTTP request that can be understood."
    return Fault(code="bad_request", message=message, status=400, ran=Ran.NO)


def internal_error() -> Fault:
    """Return the fault for a request that failed by an error in this router."""
    return Fault(code="internal_error", message="The request failed.", status=500, ran=Ran.MAYBE)


def too_many_requests(limit: int, retry_after_s: float) -> Fault:
    """Return the fault of an instance at its limit of open requests."""
    return Fault(
        code="instance_full",
        message=f"This instance has {limit} requests open, which is its limit.",
        status=503,
        ran=Ran.NO,
        retry_after_s=retry_after_s,
    )


def not_ready() -> Fault:
    """Return the fault that tells the balancer that this instance accepts no requests."""
    return Fault(
        code="not_ready",
        message="This instance is not ready.",
        status=503,
        ran=Ran.NO,
        retry_after_s=1.0,
    )


def from_status(status: int, path: str) -> Fault:
    """Return the fault for a request that the HTTP library itself refuses."""
    if status == 404:
        message = f"There is nothing at {path}."
        return Fault(code="unknown_path", message=message, status=404, ran=Ran.NO)
    if status == 405:
        message = f"The method is not allowed at {path}."
        return Fault(code="method_not_allowed", message=message, status=405, ran=Ran.NO)
    ran = Ran.MAYBE if status >= 500 else Ran.NO
    code = "internal_error" if status >= 500 else "bad_request"
    return Fault(code=code, message="The request failed.", status=status, ran=ran)
