"""Handlers of the commands on leases and claims."""

from chivetrack.components.store.commands import (
    AbandonClaim,
    AcquireLease,
    Claim,
    FinishClaim,
    ReleaseLease,
    RenewLease,
    ReportClaimUnknown,
)
from chivetrack.components.store.outcomes import Outcome
from chivetrack.components.store.state import State, handles


@handles(AcquireLease)
def acquire_lease(state: State, command: AcquireLease) -> Outcome:
    """Acquire a lease."""
    return state.leases.acquire(command, time_ms=state.time_ms)


@handles(RenewLease)
def renew_lease(state: State, command: RenewLease) -> Outcome:
    """Extend a lease."""
    return state.leases.renew(command, time_ms=state.time_ms)


@handles(ReleaseLease)
def release_lease(state: State, command: ReleaseLease) -> Outcome:
    """Release a lease."""
    return state.leases.release(command, time_ms=state.time_ms)


@handles(Claim)
def claim(state: State, command: Claim) -> Outcome:
    """Claim an idempotency key."""
    return state.claims.claim(command, time_ms=state.time_ms)


@handles(FinishClaim)
def finish_claim(state: State, command: FinishClaim) -> Outcome:
    """Store the answer of a claimed request."""
    return state.claims.finish(command)


@handles(ReportClaimUnknown)
def report_claim_unknown(state: State, command: ReportClaimUnknown) -> Outcome:
    """Mark a claim as unknown after its answer was lost."""
    return state.claims.report_unknown(command)


@handles(AbandonClaim)
def abandon_claim(state: State, command: AbandonClaim) -> Outcome:
    """Remove a claim whose request did not run."""
    return state.claims.abandon(command)
