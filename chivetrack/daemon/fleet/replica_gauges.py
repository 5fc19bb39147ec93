"""Gauges of a replica."""

from collections.abc import Iterator

from chivetrack.components.document.store import DocumentStore
from chivetrack.components.peers.room import SendRoom
from chivetrack.daemon.fleet.gauges import Gauge


def list_replica_gauges(*, store: DocumentStore, room: SendRoom) -> Iterator[Gauge]:
    """Return the gauges of what is stored and of the network link."""
    yield Gauge(
        name="chivetrack.replica.evacuated_since",
        unit="s",
        description="Unix time of the oldest evacuation in force, 0 without any.",
        read=lambda: store.evacuations.evacuated_since,
    )
    yield Gauge(
        name="chivetrack.replica.quarantined_requests",
        unit="{request}",
        description="Requests that are rejected since they crash endpoints.",
        read=lambda: len(store.quarantine.requests),
    )
    yield Gauge(
        name="chivetrack.replica.link_window",
        unit="By",
        description="Limit on the bytes in flight to other instances.",
        read=lambda: room.window.limit,
    )
    yield Gauge(
        name="chivetrack.replica.link_rate",
        unit="By/s",
        description="Rate of the network link when it was last full, 0 before that.",
        read=lambda: room.window.rate or 0.0,
    )
    yield Gauge(
        name="chivetrack.replica.link_congested",
        unit="1",
        description="1 while messages have to wait for the network link, 0 otherwise.",
        read=lambda: int(room.is_congested),
    )
