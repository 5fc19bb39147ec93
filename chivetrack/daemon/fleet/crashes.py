"""Distinguishes crashed endpoints from broken connections to running ones."""

import errno
import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

import gevent

from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.daemon.fleet.calls import Call
from chivetrack.helpers.events import EventLog

# A crash breaks all answers of an endpoint within a few milliseconds; one probe covers them.
COLLECT_WINDOW_S = 0.02
PROBE_TIMEOUT_S = 1.0
_MAX_LOGGED_FINGERPRINTS = 16


class ProbeResult(StrEnum):
    """The result of a connection attempt to an endpoint."""

    ACCEPTED = "yes"
    REFUSED = "refused"
    UNKNOWN = "unknown"


def probe_address(address: str) -> ProbeResult:
    """Open and close a TCP connection to ``address`` (``host:port``).

    Only a refused connection shows that no process listens; an unreachable host proves nothing.
    """
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), timeout=PROBE_TIMEOUT_S):
            return ProbeResult.ACCEPTED
    except OSError as error:
        return ProbeResult.REFUSED if error.errno == errno.ECONNREFUSED else ProbeResult.UNKNOWN


@dataclass(slots=True)
class _BrokenAnswers:
    """Requests without a usable answer from one lifetime of an endpoint."""

    record: EndpointRecord
    calls: list[Call] = field(default_factory=list)


class CrashDetector:
    """Probes endpoints after broken answers and reports those that refuse connections."""

    def __init__(
        self,
        *,
        events: EventLog,
        note_crash: Callable[[EndpointRecord, Sequence[Call]], None],
        probe: Callable[[str], ProbeResult] = probe_address,
    ) -> None:
        """Call ``note_crash`` with a crashed endpoint and its requests without a usable answer."""
        self._events = events
        self._note_crash = note_crash
        self._probe = probe
        self._broken: dict[tuple[str, int], _BrokenAnswers] = {}

    def note_broken_answer(self, call: Call, record: EndpointRecord) -> None:
        """Note a request that was sent to an endpoint and received no usable answer."""
        key = (record.endpoint_id, record.born)
        broken = self._broken.get(key)
        if broken is None:
            broken = self._broken[key] = _BrokenAnswers(record)
            gevent.spawn(self._probe_endpoint, key)
        broken.calls.append(call)

    def _probe_endpoint(self, key: tuple[str, int]) -> None:
        gevent.sleep(COLLECT_WINDOW_S)
        broken = self._broken.pop(key)
        result = self._probe(broken.record.address)
        self._events.write(
            "answers_broken_off",
            endpoint=broken.record.endpoint_id,
            born=broken.record.born,
            address=broken.record.address,
            listening=result.value,
            requests=len(broken.calls),
            fingerprints=[
                call.fingerprint.hex() for call in broken.calls[:_MAX_LOGGED_FINGERPRINTS]
            ],
        )
        if result is ProbeResult.REFUSED:
            self._note_crash(broken.record, broken.calls)
