"""Keeps the configuration of an instance up to date and confirmed."""

import random
from dataclasses import dataclass

from chivetrack.components.configuration import const
from chivetrack.components.configuration.acknowledgements import Acknowledgements
from chivetrack.components.configuration.freshness import date_confirmation
from chivetrack.components.configuration.messages import (
    ConfigDelta,
    ConfigPage,
    PullConfig,
    RouterAck,
)
from chivetrack.components.configuration.models import (
    ConfigurationSettings,
    PeersChanged,
    RevisionReported,
)
from chivetrack.components.configuration.staging import Staging
from chivetrack.components.configuration.upstream import UpstreamChooser
from chivetrack.components.configuration.view import ConfigView
from chivetrack.components.store.table import ResourceTable
from chivetrack.core import Effect, Event, MessageReceived, SendMessage, WakeAt


@dataclass(frozen=True, slots=True, kw_only=True)
class _PendingRequest:
    """The one request that is waiting for its answer."""

    correlation: int
    peer: str
    requested_at: float
    acks: tuple[RouterAck, ...] = ()


class ConfigFollower:
    """Polls an upstream peer for changes and a confirmation.

    On a replica ``applies_changes`` is false: only the store writes to its table, so the
    follower uses confirmations only. Until the first confirmation, and whenever the
    upstream no longer has the changes since the applied revision, a full state is
    assembled beside the active one.
    """

    def __init__(
        self,
        *,
        instance: str,
        incarnation: int,
        view: ConfigView,
        acknowledgements: Acknowledgements,
        settings: ConfigurationSettings,
        rng: random.Random,
        applies_changes: bool = True,
    ) -> None:
        """Follow for ``instance``; ``incarnation`` increases with each of its starts."""
        self._instance = instance
        self._incarnation = incarnation
        self._view = view
        self._acknowledgements = acknowledgements
        self._settings = settings
        self._rng = rng
        self._applies_changes = applies_changes
        self._staging = Staging() if applies_changes else None
        self._upstream = UpstreamChooser(instance=instance, rng=rng)
        self._pending_request: _PendingRequest | None = None
        # Correlations of two incarnations must differ: an answer to a request of the
        # previous incarnation may hold a confirmation from before this start.
        self._correlation = incarnation << const.CORRELATION_BITS
        self._wake_at = float("inf")
        self._report_followed_at = float("-inf")
        self._request_at = float("-inf")
        self._preferred_peer: str | None = None
        self._acknowledged_upstream: dict[str, tuple[int, int]] = {}
        self._refresh_acks_at = float("-inf")

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Handle answers, changes of peers, reported revisions and timers."""
        match event:
            case PeersChanged():
                self._upstream.set_peers(event)
                if not self._view.is_confirmed(now):
                    self._request_at = now
            case RevisionReported():
                self._handle_reported_revision(event, now)
            case MessageReceived(source=source, message=ConfigDelta() as delta):
                self._handle_delta(source, delta, now)
            case MessageReceived(source=source, message=ConfigPage() as page):
                self._handle_page(source, page, now)
        return self._proceed(now)

    @property
    def _target(self) -> ResourceTable:
        return self._view.table if self._staging is None else self._staging.table

    def _handle_reported_revision(self, report: RevisionReported, now: float) -> None:
        is_new = self._applies_changes and report.revision > self._target.revision
        # Many peers report the same change; one request is enough for all of them.
        if is_new and now >= self._report_followed_at + self._settings.push_interval_s:
            self._report_followed_at = now
            self._preferred_peer = report.peer
            self._request_at = now

    def _handle_delta(self, source: str, delta: ConfigDelta, now: float) -> None:
        request = self._pop_pending_request(source, delta.correlation)
        before = self._view.revision
        self._apply(delta)
        if request is None:
            # The delay of an unsolicited delta is unknown: its changes are valid, but a
            # confirmation in it could not be dated.
            if delta.held_revision > self._target.revision:
                self._request_at = now
        else:
            self._handle_answer(request, delta, now)
        self._promote()
        if self._view.revision > before:
            acknowledge_at = now + self._rng.uniform(0.0, const.MAX_ACKNOWLEDGE_DELAY_S)
            self._request_at = min(self._request_at, acknowledge_at)

    def _apply(self, delta: ConfigDelta) -> None:
        if not self._applies_changes or delta.is_compacted:
            return
        if self._staging is not None and self._staging.is_paging:
            return
        # A delta that starts after the applied revision leaves a gap, and the changes in
        # the gap would never be applied.
        if delta.from_revision > self._target.revision:
            return
        self._target.apply(delta.changes, revision=delta.to_revision)

    def _handle_answer(self, request: _PendingRequest, delta: ConfigDelta, now: float) -> None:
        self._upstream.report_success(request.peer)
        self._record_acknowledged(request)
        self._handle_confirmation(request, delta, now)
        if not self._applies_changes:
            return
        if delta.is_compacted:
            self._start_paging(delta.compacted_to)
        if delta.is_compacted or delta.held_revision > self._target.revision:
            self._request_at = now

    def _handle_confirmation(
        self, request: _PendingRequest, delta: ConfigDelta, now: float
    ) -> None:
        """Add the confirmation; avoid the peer if its confirmation is stale.

        Two routers that each consider the other one a relay would exchange an old
        confirmation forever; the next candidates lead to the leader.
        """
        report = delta.confirmation
        if report is None:
            self._upstream.report_stale(request.peer, now)
            return
        held = date_confirmation(report, requested_at=request.requested_at)
        self._view.freshness.add_confirmation(held, revision=self._view.table.revision)
        if now - held.obtained_at > self._settings.stale_upstream_s:
            self._upstream.report_stale(request.peer, now)

    def _handle_page(self, source: str, page: ConfigPage, now: float) -> None:
        request = self._pop_pending_request(source, page.correlation)
        if request is None or self._staging is None or not self._staging.is_paging:
            return
        if self._staging.handle_page(page):
            self._upstream.report_success(source)
        else:
            self._upstream.report_stale(source, now)
        self._request_at = now

    def _start_paging(self, minimum: int) -> None:
        if self._staging is None:
            self._staging = Staging()
        self._staging.start_paging(minimum)

    def _promote(self) -> None:
        """Activate the assembled state once this can't revert the configuration.

        The first state after a start must satisfy a confirmation from after the start: a
        peer's state may be older than the one that the previous incarnation had applied.
        """
        staging = self._staging
        if staging is None or not staging.is_consistent:
            return
        freshness = self._view.freshness
        is_satisfied = freshness.is_satisfied_by(staging.table.revision)
        if not freshness.is_initialised and not is_satisfied:
            return
        if self._view.adopt(staging.table):
            self._staging = None

    def _pop_pending_request(self, source: str, correlation: int) -> _PendingRequest | None:
        request = self._pending_request
        if request is None or (request.peer, request.correlation) != (source, correlation):
            return None
        self._pending_request = None
        return request

    def _proceed(self, now: float) -> list[Effect]:
        due = now + const.WAKE_TOLERANCE_S
        request = self._pending_request
        if request is not None and due >= request.requested_at + self._settings.answer_timeout_s:
            self._upstream.report_silent(request.peer, now)
            self._pending_request = None
            self._request_at = now
        if self._acknowledgements.pop_changed():
            self._request_at = min(self._request_at, now + const.MAX_RELAY_DELAY_S)
        effects: list[Effect] = []
        if self._pending_request is None and due >= self._request_at:
            effects.extend(self._send_request(now))
        effects.extend(self._schedule_wake(now))
        return effects

    def _schedule_wake(self, now: float) -> list[Effect]:
        # Keep one timer at a time: a new timer for every event would accumulate timers.
        wake_at = self._find_wake_time()
        if now + const.WAKE_TOLERANCE_S < self._wake_at <= wake_at:
            return []
        self._wake_at = wake_at
        return [WakeAt(at=wake_at)]

    def _find_wake_time(self) -> float:
        if self._pending_request is None:
            return self._request_at
        return self._pending_request.requested_at + self._settings.answer_timeout_s

    def _send_request(self, now: float) -> list[Effect]:
        is_paging = self._staging is not None and self._staging.is_paging
        peer = self._choose_peer(now, is_paging=is_paging)
        self._schedule_poll(now)
        if peer is None:
            return []
        self._correlation += 1
        if is_paging and self._staging is not None:
            self._pending_request = _PendingRequest(
                correlation=self._correlation, peer=peer, requested_at=now
            )
            return [SendMessage(target=peer, message=self._staging.make_request(self._correlation))]
        acks = self._list_acks(now)
        self._pending_request = _PendingRequest(
            correlation=self._correlation, peer=peer, requested_at=now, acks=acks
        )
        pull = PullConfig(self._correlation, self._target.revision, acks)
        return [SendMessage(target=peer, message=pull)]

    def _choose_peer(self, now: float, *, is_paging: bool) -> str | None:
        preferred = self._preferred_peer
        self._preferred_peer = None
        if is_paging:
            return self._upstream.choose_page_source(now)
        return preferred or self._upstream.choose(now)

    def _schedule_poll(self, now: float) -> None:
        jitter = 1.0 + self._rng.uniform(-const.POLL_JITTER, const.POLL_JITTER)
        self._request_at = now + self._settings.poll_interval_s * jitter

    def _list_acks(self, now: float) -> tuple[RouterAck, ...]:
        """Return the own acknowledgement and the new ones of the downstream routers.

        Every ``ACKNOWLEDGEMENT_REFRESH_INTERVAL_S`` all are sent again, so that a new
        leader receives them too.
        """
        if now >= self._refresh_acks_at:
            self._refresh_acks_at = now + const.ACKNOWLEDGEMENT_REFRESH_INTERVAL_S
            self._acknowledged_upstream.clear()
        own = RouterAck(self._instance, self._incarnation, self._view.revision)
        relayed = [
            ack
            for ack in self._acknowledgements.list_acks(now=now)
            if ack.router != self._instance
            and self._acknowledged_upstream.get(ack.router) != (ack.incarnation, ack.revision)
        ]
        return (own, *relayed)

    def _record_acknowledged(self, request: _PendingRequest) -> None:
        for ack in request.acks[1:]:
            self._acknowledged_upstream[ack.router] = (ack.incarnation, ack.revision)
