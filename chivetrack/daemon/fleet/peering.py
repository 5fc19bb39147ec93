"""The transport between the processes of a deployment; a peer id is its address."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from chivetrack.components.deployment.settings import DeploymentSettings
from chivetrack.components.peers.links import LinkTransport, StreamHandler
from chivetrack.core import Effect, SendMessage
from chivetrack.helpers.codec import Message
from chivetrack.helpers.events import EventLog


def make_transport(
    settings: DeploymentSettings,
    *,
    events: EventLog,
    handle_message: Callable[[str, Message], None],
    stream_handlers: Mapping[type[Message], StreamHandler] | None = None,
) -> LinkTransport:
    """Return the transport of a process; messages that can't be decoded are logged."""
    return LinkTransport(
        address=str(settings.listeners.peer),
        on_message=handle_message,
        stream_handlers=stream_handlers,
        on_error=lambda text: events.write("message_unreadable", detail=text),
    )


def list_seed_peers(settings: DeploymentSettings) -> list[str]:
    """Return the peer addresses of the seeds; the peer port is the same on all instances."""
    port = settings.listeners.peer.port
    return [f"{seed.host}:{port}" for seed in settings.fleet.seeds]


class TrafficLog:
    """Write the traffic of the transport since the previous line."""

    def __init__(self, *, transport: LinkTransport, events: EventLog) -> None:
        """Start with all counts at zero."""
        self._transport = transport
        self._events = events
        self._before = (0, 0, 0, 0)
        self._kinds_before: Counter[str] = Counter()
        self._received_before: Counter[str] = Counter()

    def write(self) -> None:
        """Write one line with the differences since the previous call."""
        traffic = self._transport.traffic
        counts = (
            traffic.sent_bytes,
            traffic.sent_batches,
            traffic.received_bytes,
            traffic.dropped_messages,
        )
        sent, batches, received, dropped = (
            now - before for now, before in zip(counts, self._before, strict=True)
        )
        self._before = counts
        by_kind = traffic.sent_by_kind - self._kinds_before
        self._kinds_before = traffic.sent_by_kind.copy()
        received_by_kind = traffic.received_by_kind - self._received_before
        self._received_before = traffic.received_by_kind.copy()
        waits = traffic.pop_longest_waits()
        window = self._transport.room.window
        self._events.write(
            "peer_traffic",
            sent=sent,
            batches=batches,
            received=received,
            dropped=dropped,
            by_kind=dict(by_kind),
            received_by_kind=dict(received_by_kind),
            longest_wait_s={kind: round(wait_s, 3) for kind, wait_s in waits.items()},
            in_flight=self._transport.room.count_in_flight(),
            window=round(window.limit),
            link_rate=None if window.rate is None else round(window.rate),
            congested_s=round(self._transport.room.pop_congested_s(), 2),
        )


def send_all(send: Callable[[str, Message], None], effects: Iterable[Effect]) -> None:
    """Send the messages among ``effects`` with ``send``; other effects are ignored."""
    for effect in effects:
        if isinstance(effect, SendMessage):
            send(effect.target, effect.message)
