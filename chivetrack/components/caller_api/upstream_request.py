"""The form in which a request goes to an endpoint."""

from collections.abc import Iterator, Mapping

from chivetrack.components.pipeline.models import StartAttempt
from chivetrack.components.upstream.const import (
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    NOT_FORWARDED_HEADERS,
    PRIORITY_HEADER,
)
from chivetrack.components.upstream.models import UpstreamRequest
from chivetrack.const import MILLISECONDS_PER_SECOND
from chivetrack.helpers.telemetry import Hop


def make_upstream_request(effect: StartAttempt, hop: Hop) -> UpstreamRequest:
    """Return the request as it goes to the endpoint of an attempt."""
    exchange = effect.exchange
    assert exchange.policy is not None
    assert exchange.workspace is not None
    headers = dict(_keep_end_to_end(exchange.request.headers))
    headers[ATTEMPT_HEADER] = exchange.request_id
    headers[DEADLINE_HEADER] = str(int(effect.timeout_s * MILLISECONDS_PER_SECOND))
    headers[PRIORITY_HEADER] = str(exchange.priority)
    headers.update(hop.write_headers())
    headers["X-Chat-Id"] = exchange.affinity
    headers["X-Workspace"] = exchange.workspace.name
    return UpstreamRequest(
        request_id=exchange.request_id,
        address=effect.attempt.address,
        method=exchange.request.method,
        path=exchange.request.path,
        headers=headers,
        body=exchange.request.body,
        timeout_s=effect.timeout_s,
        stall_timeout_s=min(exchange.policy.stall_timeout_s, effect.timeout_s),
        idempotent=exchange.idempotent,
        expects_stream_end=exchange.stream,
    )


def _keep_end_to_end(headers: Mapping[str, str]) -> Iterator[tuple[str, str]]:
    for name, value in headers.items():
        if name not in NOT_FORWARDED_HEADERS and not name.startswith("x-request-"):
            yield name.title(), value
