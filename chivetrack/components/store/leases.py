"""Leases with fencing numbers."""

from collections.abc import Iterable

from chivetrack.components.store import const
from chivetrack.components.store.commands import AcquireLease, ReleaseLease, RenewLease
from chivetrack.components.store.outcomes import (
    LeaseAnswer,
    LeaseState,
    Outcome,
    RefusalCode,
    Refused,
)
from chivetrack.helpers.codec import Message


class Lease(Message, frozen=True, array_like=True):
    """A granted lease, which may have expired; ``expires_ms`` is the store's clock."""

    name: str
    holder: str
    fencing: int
    expires_ms: int


class LeaseTable:
    """All leases; fencing numbers come from one counter, so that none is used twice."""

    def __init__(self, leases: Iterable[Lease] = (), *, fencing: int = 0) -> None:
        """Start with the leases of a snapshot; ``fencing`` is the last number used."""
        self._leases = {lease.name: lease for lease in leases}
        self.fencing = fencing

    def get(self, name: str, *, time_ms: int) -> Lease | None:
        """Return the lease, or ``None`` if it is free or expired."""
        lease = self._leases.get(name)
        return lease if lease is not None and time_ms < lease.expires_ms else None

    def list_leases(self) -> tuple[Lease, ...]:
        """Return all leases, including expired ones, for a snapshot or a status."""
        return tuple(self._leases.values())

    def acquire(self, command: AcquireLease, *, time_ms: int) -> Outcome:
        """Grant the lease if it is free, or extend it for the same holder."""
        held = self.get(command.name, time_ms=time_ms)
        if held is None:
            self._remove_expired(time_ms)
            if len(self._leases) >= const.MAX_LEASES:
                return Refused(RefusalCode.LEASES_EXHAUSTED, "too many leases are held")
            self.fencing += 1
            return self._grant(command.name, command.holder, self.fencing, command, time_ms)
        if held.holder != command.holder:
            return _answer(held, LeaseState.HELD_BY_OTHER)
        return self._grant(held.name, held.holder, held.fencing, command, time_ms)

    def renew(self, command: RenewLease, *, time_ms: int) -> Outcome:
        """Extend the lease if the sender holds it."""
        held = self.get(command.name, time_ms=time_ms)
        if held is None:
            return LeaseAnswer(command.name, LeaseState.FREE)
        if not _is_holder(held, command):
            return _answer(held, LeaseState.HELD_BY_OTHER)
        return self._grant(held.name, held.holder, held.fencing, command, time_ms)

    def release(self, command: ReleaseLease, *, time_ms: int) -> Outcome:
        """Release the lease if the sender holds it."""
        held = self.get(command.name, time_ms=time_ms)
        if held is not None and not _is_holder(held, command):
            return _answer(held, LeaseState.HELD_BY_OTHER)
        self._leases.pop(command.name, None)
        return LeaseAnswer(command.name, LeaseState.FREE)

    def _grant(
        self,
        name: str,
        holder: str,
        fencing: int,
        command: AcquireLease | RenewLease,
        time_ms: int,
    ) -> LeaseAnswer:
        duration = min(max(command.duration_ms, 0), const.MAX_LEASE_MS)
        before = self._leases.get(name)
        expires = time_ms + duration
        # A delayed renewal must not shorten a lease that a later renewal has extended.
        if before is not None and before.fencing == fencing:
            expires = max(expires, before.expires_ms)
        lease = Lease(name, holder, fencing, expires)
        self._leases[name] = lease
        return _answer(lease, LeaseState.HELD)

    def _remove_expired(self, time_ms: int) -> None:
        expired = [lease.name for lease in self._leases.values() if lease.expires_ms <= time_ms]
        for name in expired:
            del self._leases[name]


def _is_holder(lease: Lease, command: RenewLease | ReleaseLease) -> bool:
    return lease.holder == command.holder and lease.fencing == command.fencing


def _answer(lease: Lease, state: LeaseState) -> LeaseAnswer:
    return LeaseAnswer(lease.name, state, lease.holder, lease.fencing, lease.expires_ms)
