"""Watches streams whose endpoints are silent, and moves them to other endpoints in time."""

import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent

from chivetrack.components.announcements.models import EndpointRecord, Incarnation
from chivetrack.components.observation.stream_silence import (
    PROBE_AFTER_S,
    decide_move,
    find_patience,
    may_move,
)
from chivetrack.components.placement.choice import Choice
from chivetrack.components.upstream.connection import EndpointConnection, MaybeRanError
from chivetrack.daemon.fleet.calls import Call
from chivetrack.daemon.fleet.dialer import Dialer
from chivetrack.daemon.fleet.fleet_view import FleetView
from chivetrack.daemon.fleet.retry_budget import RetryBudgetClient

_CHECK_INTERVAL_S = 0.1
_PROBE_INTERVAL_S = 1.0
# A single lost packet makes a connection time out as well.
_PROBE_TRIES = 2


@dataclass(slots=True)
class _Probe:
    """The newest probe of an endpoint; ``is_unreached`` is its result, or the one before it."""

    began_at: float
    is_running: bool = True
    is_unreached: bool = False


class StreamSilence:
    """Decides on the silent streams of a router; all those at an endpoint share its probes."""

    def __init__(
        self,
        *,
        view: FleetView,
        retry_budget: RetryBudgetClient,
        dialer: Dialer,
        spawn: Callable[..., object] = gevent.spawn,
    ) -> None:
        """Store what tells of endpoints and of the attempts that are allowed.

        ``spawn`` runs a function beside the caller.
        """
        self._view = view
        self._retry_budget = retry_budget
        self._dialer = dialer
        self._spawn = spawn
        self._probes: dict[Incarnation, _Probe] = {}

    def watch(
        self, connection: EndpointConnection, call: Call, choice: Choice
    ) -> "SilentStreamWatch":
        """Watch a stream that may be sent once more if its endpoint falls silent."""
        return SilentStreamWatch(silence=self, connection=connection, call=call, choice=choice)

    def is_gone(self, record: EndpointRecord, carrier: str) -> bool:
        """Return whether the endpoint of a silent stream can't go on with it."""
        if self._view.directory.is_lost_or_replaced(record):
            return True
        return not carrier and self._is_unreached(record)

    def find_start(self, call: Call) -> float | None:
        """Return the time (s) to the first event elsewhere, ``None`` if nothing may be sent."""
        if self._view.quarantine.is_suspected(call):
            return None
        if not self._retry_budget.may_retry(call.service):
            return None
        choice = self._view.choose(call)
        if choice is None:
            return None
        is_cold = self._view.is_cold(call.service, choice.record.endpoint_id, time.monotonic())
        return None if is_cold else choice.expected_ms / 1000

    def find_left(self, call: Call) -> float:
        """Return the time (s) until the request times out or the router exits."""
        return min(call.ends_at, self._view.exits_at) - time.monotonic()

    def _is_unreached(self, record: EndpointRecord) -> bool:
        """Return what the newest probe has found; begin another one if it is old."""
        now = time.monotonic()
        probe = self._probes.get(record.incarnation)
        is_due = probe is None or now - probe.began_at >= _PROBE_INTERVAL_S
        if is_due and (probe is None or not probe.is_running):
            self._forget_old(now)
            was_unreached = probe is not None and probe.is_unreached
            probe = _Probe(began_at=now, is_unreached=was_unreached)
            self._probes[record.incarnation] = probe
            self._spawn(self._run_probe, record, probe)
        return probe is not None and probe.is_unreached

    def _forget_old(self, now: float) -> None:
        oldest = now - 3 * _PROBE_INTERVAL_S
        self._probes = {key: one for key, one in self._probes.items() if one.began_at > oldest}

    def _run_probe(self, record: EndpointRecord, probe: _Probe) -> None:
        try:
            probe.is_unreached = not any(self._dialer.reaches(record) for _ in range(_PROBE_TRIES))
        finally:
            probe.is_running = False


class SilentStreamWatch:
    """Watches one attempt of a stream; called while it waits for bytes."""

    def __init__(
        self,
        *,
        silence: StreamSilence,
        connection: EndpointConnection,
        call: Call,
        choice: Choice,
    ) -> None:
        """Be called by the connection whenever no bytes came within an interval."""
        self._silence = silence
        self._connection = connection
        self._call = call
        self._record = choice.record
        self._patience_s = find_patience(
            target_s=call.route.target_s, longest_pause_s=call.route.longest_pause_s
        )
        self._last_bytes_at = time.monotonic()
        connection.watch_silence(self._handle_silence, interval_s=_CHECK_INTERVAL_S)

    def handle_bytes(self) -> None:
        """Record that bytes have arrived and been passed on."""
        self._last_bytes_at = time.monotonic()

    def _handle_silence(self) -> None:
        """Raise ``MaybeRanError`` if the stream is to go on at another endpoint."""
        silent_s = time.monotonic() - self._last_bytes_at
        if silent_s < PROBE_AFTER_S:
            return
        is_gone = self._silence.is_gone(self._record, self._connection.carrier)
        if not may_move(silent_s=silent_s, patience_s=self._patience_s, is_gone=is_gone):
            return
        reason = decide_move(
            silent_s=silent_s,
            patience_s=self._patience_s,
            start_s=self._silence.find_start(self._call),
            left_s=self._silence.find_left(self._call),
            is_gone=is_gone,
        )
        if reason is not None:
            raise MaybeRanError(f"silent for {silent_s:.2f} s: {reason.value}")
