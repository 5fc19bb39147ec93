"""What a router knows of requests and parts that crash endpoints, and of those that do not."""

import time
from collections.abc import Iterable

from chivetrack.components.quarantine.const import ANSWER_PROOF_S
from chivetrack.components.quarantine.crash_reports import RecentCrashes
from chivetrack.components.quarantine.fingerprint import make_service_fingerprint
from chivetrack.components.quarantine.models import (
    AnsweredReport,
    CrashReport,
    Quarantine,
    QuarantinedRequest,
)
from chivetrack.daemon.fleet.calls import Call
from chivetrack.helpers.events import EventLog


class QuarantineView:
    """Hold the quarantine in force, the suspects, and what this router reports of both."""

    def __init__(self, *, events: EventLog) -> None:
        """Start without a quarantine."""
        self._events = events
        self._recent = RecentCrashes()
        self._quarantine = Quarantine()
        self._quarantined: dict[bytes, QuarantinedRequest] = {}
        self._suspects: frozenset[bytes] = frozenset()
        self._replica_restarts = 0

    @property
    def revision(self) -> int:
        """Return the revision of the quarantine that this router applies."""
        return self._quarantine.revision

    def apply(self, quarantine: Quarantine) -> None:
        """Apply a quarantine if its revision is newer."""
        if quarantine.revision <= self._quarantine.revision:
            return
        self._quarantine = quarantine
        self._quarantined = {one.fingerprint: one for one in quarantine.requests}
        self._events.write(
            "quarantine_in_force", revision=quarantine.revision, requests=len(quarantine.requests)
        )

    def update_suspects(self, fingerprints: Iterable[bytes]) -> None:
        """Replace the suspects, of which replicas ask for answers."""
        self._suspects = frozenset(fingerprints)

    def find(self, call: Call) -> QuarantinedRequest | None:
        """Return the quarantine entry of a request or of a part of it, ``None`` if it may run."""
        if not self._quarantined:
            return None
        held = (self._quarantined.get(each) for each in call.list_fingerprints())
        return next((each for each in held if each is not None), None)

    def is_suspected(self, call: Call) -> bool:
        """Return whether several endpoints crashed under a request or a part of it."""
        return bool(self._suspects) and not self._suspects.isdisjoint(call.list_fingerprints())

    def record_crash(self, reports: Iterable[CrashReport]) -> None:
        """Record what was running at an endpoint when it crashed."""
        self._recent.record_crash(reports, now=time.monotonic())

    def handle_bytes(self, call: Call) -> None:
        """Record that an answer goes on; after a moment this shows that its request is sound."""
        began_at = call.answer_began_at
        if call.is_sound or began_at is None:
            return
        if time.monotonic() - began_at >= ANSWER_PROOF_S:
            call.is_sound = True
            self.record_sound(call)

    def record_sound(self, call: Call) -> None:
        """Record that an endpoint has begun to answer a request and did not crash."""
        fingerprints = [*call.list_fingerprints(), make_service_fingerprint(call.service)]
        self._recent.record_answered(fingerprints, now=call.answer_began_at or time.monotonic())

    def handle_replica_restarts(self, count: int) -> None:
        """Report recent crashes again if a replica has restarted, of ``count`` so far."""
        if count != self._replica_restarts:
            self._replica_restarts = count
            self._recent.report_again(now=time.monotonic())

    def list_crash_reports(self, *, now: float) -> tuple[CrashReport, ...]:
        """Return the crash reports to send now."""
        return self._recent.list_current(now=now)

    def list_answered(self, *, now: float) -> tuple[AnsweredReport, ...]:
        """Return when answers to the suspects began at this router."""
        return self._recent.list_answered(self._suspects, now=now)
