"""Which endpoints are cold, as far as one router knows, and which it may ask permits for."""

from collections.abc import Iterable

from chivetrack.components.announcements.models import EndpointRecord


class ColdEndpointTracker:
    """Joins what endpoints say, what a zone's return suggests and what replicas refused."""

    def __init__(self) -> None:
        """Start with nothing cold."""
        self._reported_until: dict[str, float] = {}
        self._assumed_until: dict[str, float] = {}
        self._refused_until: dict[str, float] = {}

    def handle_record(self, record: EndpointRecord, *, now: float) -> None:
        """Take an endpoint's newest statement."""
        if record.cold_s > 0:
            self.record_cold(record.endpoint_id, record.cold_s, now=now)
        else:
            self._reported_until.pop(record.endpoint_id, None)

    def record_cold(self, endpoint_id: str, cold_s: float, *, now: float) -> None:
        """Take an endpoint's word that it is cold, which an answer may bring early."""
        self._reported_until[endpoint_id] = now + cold_s

    def assume_cold(self, endpoint_ids: Iterable[str], *, until: float) -> None:
        """Take endpoints as cold that may be so and have had no time to say it.

        A zone that is taken back is idle, so that every router would choose it at once, and
        its endpoints' next heartbeats are a second away.
        """
        self._assumed_until.update(dict.fromkeys(endpoint_ids, until))

    def is_cold(self, endpoint_id: str, now: float) -> bool:
        """Return whether an endpoint bears only a few requests a second."""
        until = max(
            self._reported_until.get(endpoint_id, 0.0), self._assumed_until.get(endpoint_id, 0.0)
        )
        return now < until

    def record_refusal(self, endpoint_id: str, *, until: float) -> None:
        """Note until when no permit is to be asked for."""
        self._refused_until[endpoint_id] = until

    def find_wait(self, endpoint_id: str, now: float) -> float:
        """Return for how many seconds no permit is to be asked for, 0 if one may be."""
        if not self.is_cold(endpoint_id, now):
            return 0.0
        return max(0.0, self._refused_until.get(endpoint_id, 0.0) - now)

    def remove(self, endpoint_id: str) -> None:
        """Drop an endpoint that has gone."""
        for known in (self._reported_until, self._assumed_until, self._refused_until):
            known.pop(endpoint_id, None)
