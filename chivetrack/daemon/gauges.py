"""Periodic update of metrics whose values are read from other parts."""

from collections.abc import Callable

from chivetrack.components.configuration.configuration import Configuration
from chivetrack.components.peers.transport import PeerTransport
from chivetrack.helpers.telemetry import Instruments
from chivetrack.helpers.telemetry.instruments import Direction

GAUGE_INTERVAL_S = 1.0
ALL_KINDS = "all"


class Gauges:
    """Updates the metrics of traffic, configuration revision and leadership.

    The timer service calls ``update`` once per ``GAUGE_INTERVAL_S``.
    """

    def __init__(
        self,
        *,
        instruments: Instruments,
        transport: PeerTransport,
        configuration: Configuration,
        is_leader: Callable[[], bool],
    ) -> None:
        """Store the parts whose values are read."""
        self._instruments = instruments
        self._transport = transport
        self._configuration = configuration
        self._is_leader = is_leader
        self._sent = 0
        self._received = 0

    def update(self, now: float) -> None:
        """Update the metrics; traffic counters grow by the bytes since the last update."""
        traffic = self._transport.traffic
        self._record(Direction.SENT, traffic.sent_bytes - self._sent)
        self._record(Direction.RECEIVED, traffic.received_bytes - self._received)
        self._sent = traffic.sent_bytes
        self._received = traffic.received_bytes
        self._instruments.set_config_revision(self._configuration.view.revision)
        self._instruments.set_leader(self._is_leader())

    def _record(self, direction: Direction, count: int) -> None:
        self._instruments.record_control_bytes(direction=direction, kind=ALL_KINDS, count=count)
