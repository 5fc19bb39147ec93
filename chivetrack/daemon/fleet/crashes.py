"""Distinguishes crashed endpoints from broken connections to running ones."""

import errno
import socket
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

import gevent

from chivetrack.components.announcements.models import EndpointRecord, Incarnation
from chivetrack.components.quarantine.models import CrashReport
from chivetrack.daemon.fleet.calls import Call
from chivetrack.helpers.addresses import read_address
from chivetrack.helpers.events import EventLog

# A crash breaks all answers of an endpoint within a few milliseconds; one probe covers them.
COLLECT_WINDOW_S = 0.02
PROBE_TIMEOUT_S = 1.0
# If the probe is not refused, an incarnation that is lost or replaced within this time has crashed.
CONFIRMATION_WINDOW_S = 10.0
# Limits the reports kept per incarnation when further answers break; the oldest are dropped.
MAX_UNCONFIRMED_REPORTS = 256
_MAX_LOGGED_FINGERPRINTS = 16
_MAX_LOGGED_PARTS = 32


class ProbeResult(StrEnum):
    """The result of a connection attempt to an endpoint."""

    ACCEPTED = "yes"
    REFUSED = "refused"
    UNKNOWN = "unknown"


def probe_address(address: str) -> ProbeResult:
    """Open and close a TCP connection to ``address`` (``host:port``).

    Only a refused connection shows that no process listens; an unreachable host proves nothing.
    """
    target = read_address(address)
    if target is None:
        return ProbeResult.UNKNOWN
    try:
        with socket.create_connection((target.host, target.port), timeout=PROBE_TIMEOUT_S):
            return ProbeResult.ACCEPTED
    except OSError as error:
        return ProbeResult.REFUSED if error.errno == errno.ECONNREFUSED else ProbeResult.UNKNOWN


@dataclass(slots=True)
class _BrokenAnswers:
    """Requests without a usable answer from one incarnation of an endpoint."""

    record: EndpointRecord
    reports: list[CrashReport] = field(default_factory=list)
    requests: int = 0
    parts: Counter[str] = field(default_factory=Counter)
    probed_at: float = 0.0

    def list_fingerprints(self) -> list[str]:
        """Return the fingerprints of the whole requests, as they are logged."""
        return [report.fingerprint.hex() for report in self.reports if not report.part]


class CrashDetector:
    """Report endpoints that broke answers and then refuse connections or are lost or replaced.

    The probe succeeds if a supervisor holds the listening socket or restarts the process
    immediately. In that case the crash is detected when the incarnation is lost or replaced.
    """

    def __init__(
        self,
        *,
        events: EventLog,
        on_crash: Callable[[Sequence[CrashReport]], None],
        is_lost_or_replaced: Callable[[EndpointRecord], bool],
        is_own_failure: Callable[[EndpointRecord], bool] = lambda record: True,
        probe: Callable[[str], ProbeResult] = probe_address,
    ) -> None:
        """Call ``on_crash`` with the requests that a crash left without a usable answer.

        ``is_lost_or_replaced`` returns whether an incarnation is marked lost or a later one
        has started under its id. ``is_own_failure`` returns whether an endpoint that refuses
        connections has failed, or this router may be cut off from it: a cut may refuse them too.
        """
        self._events = events
        self._on_crash = on_crash
        self._is_lost_or_replaced = is_lost_or_replaced
        self._is_own_failure = is_own_failure
        self._probe = probe
        self._broken: dict[Incarnation, _BrokenAnswers] = {}
        self._unconfirmed: dict[Incarnation, _BrokenAnswers] = {}

    def record_broken_answer(self, call: Call, record: EndpointRecord) -> None:
        """Record a request that was sent to an endpoint and received no usable answer."""
        key = record.incarnation
        broken = self._broken.get(key)
        if broken is None:
            broken = self._broken[key] = _BrokenAnswers(record)
            gevent.spawn(self._probe_endpoint, key)
        broken.reports += call.make_crash_reports(record)
        broken.requests += 1
        broken.parts.update({part.part_id for part in call.facts.shared_parts})

    def handle_incarnation_end(self, endpoint_id: str, born: int, is_departure: bool) -> None:
        """Handle that an incarnation was lost or replaced.

        If ``is_departure``, it drains or has left instead, which is no crash.
        """
        broken = self._unconfirmed.pop((endpoint_id, born), None)
        if broken is None or is_departure:
            return
        if time.monotonic() - broken.probed_at > CONFIRMATION_WINDOW_S:
            return
        self._events.write(
            "endpoint_crash_confirmed",
            endpoint=endpoint_id,
            born=born,
            requests=broken.requests,
        )
        self._on_crash(broken.reports)

    def _probe_endpoint(self, key: Incarnation) -> None:
        gevent.sleep(COLLECT_WINDOW_S)
        broken = self._broken.pop(key)
        result = self._probe(broken.record.address)
        is_refused = result is ProbeResult.REFUSED and self._is_own_failure(broken.record)
        has_crashed = is_refused or self._is_lost_or_replaced(broken.record)
        self._events.write(
            "answers_broken_off",
            endpoint=broken.record.endpoint_id,
            born=broken.record.born,
            address=broken.record.address,
            listening=result.value,
            has_crashed=has_crashed,
            requests=broken.requests,
            fingerprints=broken.list_fingerprints()[:_MAX_LOGGED_FINGERPRINTS],
            parts=dict(broken.parts.most_common(_MAX_LOGGED_PARTS)),
        )
        if has_crashed:
            self._on_crash(broken.reports)
        else:
            self._keep_unconfirmed(key, broken)

    def _keep_unconfirmed(self, key: Incarnation, broken: _BrokenAnswers) -> None:
        broken.probed_at = now = time.monotonic()
        self._unconfirmed = {
            incarnation: unconfirmed
            for incarnation, unconfirmed in self._unconfirmed.items()
            if now - unconfirmed.probed_at <= CONFIRMATION_WINDOW_S
        }
        earlier = self._unconfirmed.pop(key, None)
        if earlier is not None:
            broken.reports = [*earlier.reports, *broken.reports]
            broken.requests += earlier.requests
        broken.reports = broken.reports[-MAX_UNCONFIRMED_REPORTS:]
        self._unconfirmed[key] = broken
