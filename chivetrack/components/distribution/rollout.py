"""How far documents have got in the fleet, and what is acknowledged; free of I/O."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from chivetrack.components.distribution.const import (
    REPLICA_CONTACT_S,
    ROLLOUT_REPORT_INTERVAL_S,
)
from chivetrack.components.distribution.messages import RolloutState


@dataclass(frozen=True, slots=True, kw_only=True)
class RolloutReport:
    """Which of ``routers`` routers lack a version, ``after_s`` seconds after the replica had it."""

    version: int
    after_s: float
    routers: int
    lacking: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class _PeerState:
    """The last message of another replica about its routers."""

    state: RolloutState
    seen_at: float


@dataclass(slots=True)
class Rollout:
    """Knows which version is in force on all routers of the fleet that are in contact.

    Operators are acknowledged a change once it is in force there: the time from the acknowledgement
    to the last router then depends neither on the size of the change nor on the links, and the time
    that a change takes is time in which the operator still waits.
    """

    acknowledged: int = 0
    """Highest version that an operator was acknowledged at any replica, as far as known here."""
    _peers: dict[str, _PeerState] = field(default_factory=dict)
    _reported_version: int = 0
    _began_at: float = 0.0
    _next_report: float = float("inf")

    def record_acknowledged(self, version: int) -> None:
        """Record that an operator is acknowledged a version."""
        self.acknowledged = max(self.acknowledged, version)

    def record_peer(self, source: str, state: RolloutState, *, now: float) -> None:
        """Record what another replica says about its routers."""
        self._peers[source] = _PeerState(state=state, seen_at=now)
        self.record_acknowledged(state.acknowledged)

    def is_in_force(self, version: int, own_versions: Iterable[int], *, now: float) -> bool:
        """Return whether no router in contact serves with an older version.

        ``own_versions`` are those of the routers assigned to this replica. A replica that has been
        silent for long does not count; its routers are assigned to others by then.
        """
        if version <= self.acknowledged:
            return True
        others = [
            peer.state.in_force
            for peer in self._peers.values()
            if now - peer.seen_at <= REPLICA_CONTACT_S and peer.state.in_force is not None
        ]
        return all(held >= version for held in (*own_versions, *others))

    def report(
        self, version: int, routers: Mapping[str, int], *, now: float
    ) -> RolloutReport | None:
        """Return a report once all routers have ``version``, and at intervals before that.

        ``routers`` holds the version of each router; 0 stands for a router that just started.
        """
        if version != self._reported_version:
            self._reported_version, self._began_at = version, now
            self._next_report = now + ROLLOUT_REPORT_INTERVAL_S
            return None
        lacking = tuple(name for name, held in routers.items() if held < version)
        if self._next_report == float("inf") or (lacking and now < self._next_report):
            return None
        self._next_report = now + ROLLOUT_REPORT_INTERVAL_S if lacking else float("inf")
        return RolloutReport(
            version=version, after_s=now - self._began_at, routers=len(routers), lacking=lacking
        )
