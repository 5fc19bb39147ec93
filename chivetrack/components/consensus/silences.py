"""Since when each silent replica has not answered a leader, kept across elections."""

from collections.abc import Iterable, Mapping

from chivetrack.components.consensus.messages import Silence


class Silences:
    """What this replica knows of members that do not answer; times in seconds, monotonic.

    A leader hears from a member only since its own election. If each new leader counted the
    silence anew, a dead voter would be kept for as long as elections follow each other.
    """

    def __init__(self) -> None:
        """Start without any silent member."""
        self._leader_id = ""
        self._leader_heard_at = 0.0
        self._heard_at: dict[str, float] = {}

    def record_heartbeat(self, leader_id: str, silences: Iterable[Silence], now: float) -> None:
        """Replace what is known by what the current leader tells."""
        self._leader_id = leader_id
        self._leader_heard_at = now
        self._heard_at = {one.replica_id: now - one.age_s for one in silences}

    def record_own(self, heard_at: Mapping[str, float]) -> None:
        """Keep what this replica has heard as the leader, when its leadership ends."""
        self._leader_id = ""
        self._heard_at = dict(heard_at)

    def get_last_heard(self, replica_id: str, *, now: float) -> float:
        """Return when a leader last heard from a replica; ``now`` unless it is known as silent."""
        if replica_id == self._leader_id:
            return self._leader_heard_at
        return self._heard_at.get(replica_id, now)
