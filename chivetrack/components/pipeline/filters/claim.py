"""Claims the idempotency key of a request before the request is sent to an endpoint."""

import xxhash

from chivetrack.components.pipeline.chain import (
    FILTERS,
    PROCEED,
    PassingFilter,
    Step,
    Suspended,
)
from chivetrack.components.pipeline.models import AcquireClaim, Exchange


def make_fingerprint(exchange: Exchange) -> str:
    """Return a digest of the method, path and body, which a resend must repeat unchanged."""
    digest = xxhash.xxh3_128()
    digest.update(exchange.request.method.encode())
    digest.update(exchange.request.path.encode())
    digest.update(exchange.request.body)
    return digest.hexdigest()


@FILTERS.register("claim")
class ClaimFilter(PassingFilter):
    """Suspends a request with a key until the replicated log has granted its claim.

    The balancer may send a resend to any router, so a router can detect that the first
    request is still running only in state that all routers share. Claims in the log survive
    restarts of the routers that hold them.
    """

    def enter(self, exchange: Exchange, *, now: float) -> Step:
        """Request the claim; the flow resumes the request when it is granted."""
        if not exchange.idempotency_key:
            return PROCEED
        assert exchange.workspace is not None
        claim = AcquireClaim(
            request_id=exchange.request_id,
            workspace=exchange.workspace.name,
            key=exchange.idempotency_key,
            fingerprint=make_fingerprint(exchange),
            lifetime_s=exchange.deadline - now,
        )
        return Suspended(effects=(claim,))
