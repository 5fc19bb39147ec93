"""State kept for one other instance."""

from dataclasses import dataclass, field

from chivetrack.components.membership.const import (
    GAP_SMOOTHING_FACTOR,
    INITIAL_MEAN_GAP_S,
    MAX_SUSPECT_AFTER_S,
    SUSPECT_AFTER_MEAN_GAPS,
    SUSPECT_AFTER_S,
)
from chivetrack.components.membership.models import Instance, InstanceStatus, StateVersion
from chivetrack.components.membership.wire import InstanceRecord


@dataclass(slots=True, kw_only=True)
class Member:
    """Another instance, its last contact, and the witnesses that could not reach it.

    ``last_seen_at`` is the time of the last heartbeat or contact, direct or relayed.
    ``mean_gap_s`` is the exponential mean of the gaps between heartbeats.
    ``denials`` maps witnesses that failed to reach the instance since it was suspected to
    the time of their answer. ``is_probed``: this instance has sent a probe of its own in
    the current round, which ends at ``round_ends``.
    """

    instance_id: str
    record: InstanceRecord
    last_seen_at: float
    since: float
    status: InstanceStatus = InstanceStatus.ALIVE
    reason: str = ""
    mean_gap_s: float = INITIAL_MEAN_GAP_S
    asked_witnesses: set[str] = field(default_factory=set)
    denials: dict[str, float] = field(default_factory=dict)
    round_ends: float = float("-inf")
    is_probed: bool = False
    notified_at: float = float("-inf")

    @property
    def state_version(self) -> StateVersion:
        """Return the version of the latest record."""
        return StateVersion(self.record.incarnation, self.record.refutation)

    @property
    def is_counted(self) -> bool:
        """Return whether heartbeats of the instance are expected: it is alive or suspect."""
        return self.status in (InstanceStatus.ALIVE, InstanceStatus.SUSPECT)

    def record_contact(self, at: float) -> None:
        """Record a heartbeat that the instance sent at ``at``."""
        if at <= self.last_seen_at:
            return
        gap = at - self.last_seen_at
        self.mean_gap_s += GAP_SMOOTHING_FACTOR * (gap - self.mean_gap_s)
        self.last_seen_at = at

    def is_silent(self, now: float) -> bool:
        """Return whether the instance has sent no heartbeat for too long.

        The limit grows with the mean gap between heartbeats: in a large region gossip
        takes longer to relay them, and a fixed limit would suspect every instance.
        """
        limit = max(
            SUSPECT_AFTER_S, min(MAX_SUSPECT_AFTER_S, SUSPECT_AFTER_MEAN_GAPS * self.mean_gap_s)
        )
        return now - self.last_seen_at > limit

    def change(self, status: InstanceStatus, reason: str, now: float) -> None:
        """Set the status and its reason."""
        self.reason = reason
        if status is self.status:
            return
        self.status = status
        self.since = now
        if status is not InstanceStatus.SUSPECT:
            self.clear_round()

    def clear_round(self) -> None:
        """Reset the probe round and the answers of witnesses."""
        self.asked_witnesses.clear()
        self.denials.clear()
        self.round_ends = float("-inf")
        self.is_probed = False

    def make_instance(self) -> Instance:
        """Return the instance as subscribers see it."""
        return Instance(
            instance_id=self.instance_id,
            address=self.record.address,
            region=self.record.region,
            zone=self.record.zone,
            roles=self.record.roles,
            state_version=self.state_version,
            status=self.status,
            since=self.since,
            reason=self.reason,
        )
