"""Tracks the cold endpoints known to one router and for which it may request permits."""

from collections.abc import Iterable

from chivetrack.components.announcements.models import EndpointRecord


class ColdEndpointTracker:
    """Tracks until when endpoints are cold and until when permits for them are refused.

    An endpoint counts as cold while it reports so, or while it is assumed so because its
    availability zone has just been taken back into use.
    """

    def __init__(self) -> None:
        """Initialize without cold endpoints."""
        self._reported_until: dict[str, float] = {}
        self._assumed_until: dict[str, float] = {}
        self._refused_until: dict[str, float] = {}

    def handle_record(self, record: EndpointRecord, *, now: float) -> None:
        """Update an endpoint from its newest record."""
        if record.cold_s > 0:
            self.record_cold(record.endpoint_id, record.cold_s, now=now)
        else:
            self._reported_until.pop(record.endpoint_id, None)

    def record_cold(self, endpoint_id: str, cold_s: float, *, now: float) -> None:
        """Record that an endpoint reported to be cold for ``cold_s`` seconds.

        An answer may report this before the next heartbeat does.
        """
        self._reported_until[endpoint_id] = now + cold_s

    def assume_cold(self, endpoint_ids: Iterable[str], *, until: float) -> None:
        """Assume that endpoints are cold that may be so but could not yet report it.

        A zone that is taken back into use is idle, so every router would choose it at once,
        and the next heartbeats of its endpoints arrive only a second later.
        """
        self._assumed_until.update(dict.fromkeys(endpoint_ids, until))

    def is_cold(self, endpoint_id: str, now: float) -> bool:
        """Return whether an endpoint can handle only a few requests per second."""
        until = max(
            self._reported_until.get(endpoint_id, 0.0), self._assumed_until.get(endpoint_id, 0.0)
        )
        return now < until

    def record_refusal(self, endpoint_id: str, *, until: float) -> None:
        """Record the time until which no permit for an endpoint may be requested."""
        self._refused_until[endpoint_id] = until

    def find_wait(self, endpoint_id: str, now: float) -> float:
        """Return the seconds until a permit may be requested, 0 if it may be now."""
        if not self.is_cold(endpoint_id, now):
            return 0.0
        return max(0.0, self._refused_until.get(endpoint_id, 0.0) - now)

    def remove(self, endpoint_id: str) -> None:
        """Remove an endpoint that no longer exists."""
        for times in (self._reported_until, self._assumed_until, self._refused_until):
            times.pop(endpoint_id, None)
