"""Claims an idempotency key before anything is dispatched under it."""

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
    """Return what must be equal for two requests to count as the same one."""
    digest = xxhash.xxh3_128()
    digest.update(exchange.request.method.encode())
    digest.update(exchange.request.path.encode())
    digest.update(exchange.request.body)
    return digest.hexdigest()


@FILTERS.register("claim")
class ClaimFilter(PassingFilter):
    """Suspends a request with a key until the replicated log has granted its claim.

    The balancer may hand a resend to any router, so only a place where every router
    looks can tell that the first one is still running. The log keeps claims through
    restarts of all that hold them.
    """

    def enter(self, exchange: Exchange, *, now: float) -> Step:
        """Ask for the claim; the flow resumes the request when it is granted."""
        if not exchange.idempotency_key:
            return PROCEED
        assert exchange.workspace is not None
        ask = AcquireClaim(
            request_id=exchange.request_id,
            workspace=exchange.workspace.name,
            key=exchange.idempotency_key,
            fingerprint=make_fingerprint(exchange),
            lifetime_s=exchange.deadline - now,
        )
        return Suspended(effects=(ask,))
