"""What is known of one other instance."""

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
    """Another instance, when it last showed life and who could not reach it.

    ``last_seen_at`` is the last sign of life by any way, ``denials`` are the witnesses that
    failed to reach it since it was suspected, ``is_probed`` tells whether this instance
    itself tried in the round that is under way.
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
        """Return which life of the instance this is."""
        return StateVersion(self.record.incarnation, self.record.refutation)

    @property
    def is_counted(self) -> bool:
        """Return whether it is expected to show life."""
        return self.status in (InstanceStatus.ALIVE, InstanceStatus.SUSPECT)

    def record_contact(self, at: float) -> None:
        """Note a sign of life that the instance gave at ``at``."""
        if at <= self.last_seen_at:
            return
        gap = at - self.last_seen_at
        self.mean_gap_s += GAP_SMOOTHING_FACTOR * (gap - self.mean_gap_s)
        self.last_seen_at = at

    def is_silent(self, now: float) -> bool:
        """Return whether it was heard of for too long, measured by its own habit.

        A fixed limit would suspect everyone in a large region, where signs of life take
        longer to come round.
        """
        limit = max(
            SUSPECT_AFTER_S, min(MAX_SUSPECT_AFTER_S, SUSPECT_AFTER_MEAN_GAPS * self.mean_gap_s)
        )
        return now - self.last_seen_at > limit

    def change(self, status: InstanceStatus, reason: str, now: float) -> None:
        """Take on a status."""
        self.reason = reason
        if status is self.status:
            return
        self.status = status
        self.since = now
        if status is not InstanceStatus.SUSPECT:
            self.clear_round()

    def clear_round(self) -> None:
        """Forget what witnesses said."""
        self.asked_witnesses.clear()
        self.denials.clear()
        self.round_ends = float("-inf")
        self.is_probed = False

    def make_instance(self) -> Instance:
        """Return it as others see it."""
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
