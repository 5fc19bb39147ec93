"""Tells of the records of endpoints that a process has left out."""

from chivetrack.components.announcements.soundness import UnsoundRecord
from chivetrack.daemon.fleet.metrics import Metrics
from chivetrack.helpers.events import EventLog


class UnsoundLog:
    """Write a line about each unsound record and count it."""

    def __init__(self, *, events: EventLog, metrics: Metrics) -> None:
        """Store where the lines and the counts go."""
        self._events = events
        self._metrics = metrics

    def record(self, unsound: UnsoundRecord) -> None:
        """Tell of one record that was left out."""
        self._events.write("record_unsound", **unsound.describe())
        self._metrics.record_unsound_record(unsound.fault)
