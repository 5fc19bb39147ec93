"""Keeps the configuration of a router up to date and confirmed."""

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
class _Question:
    """The one question that is open."""

    correlation: int
    peer: str
    requested_at: float
    acks: tuple[RouterAck, ...] = ()


class ConfigFollower:
    """Asks an upstream once in an interval for changes and a confirmation.

    On a replica ``applies_changes`` is false: its table belongs to the store, and only
    confirmations are taken. Until the first confirmation, and whenever the history
    no longer reaches back, a whole state is gathered beside the one in force.
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
        """Follow for ``instance``; ``incarnation`` rises with each of its starts."""
        self._instance = instance
        self._incarnation = incarnation
        self._view = view
        self._acknowledgements = acknowledgements
        self._settings = settings
        self._rng = rng
        self._takes_changes = applies_changes
        self._staging = Staging() if applies_changes else None
        self._upstream = UpstreamChooser(instance=instance, rng=rng)
        self._question: _Question | None = None
        # An answer to a question of the former run must not pass for one to a question
        # of this run: its confirmation may be from before the start.
        self._correlation = incarnation << const.CORRELATION_BITS
        self._wake_at = float("inf")
        self._news_at = float("-inf")
        self._ask_at = float("-inf")
        self._preferred: str | None = None
        self._acknowledged: dict[str, tuple[int, int]] = {}
        self._refresh_acks_at = float("-inf")

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Take answers, news of peers and revisions, and time."""
        match event:
            case PeersChanged():
                self._upstream.set_peers(event)
                if not self._view.is_confirmed(now):
                    self._ask_at = now
            case RevisionReported():
                self._hear(event, now)
            case MessageReceived(source=source, message=ConfigDelta() as delta):
                self._take_delta(source, delta, now)
            case MessageReceived(source=source, message=ConfigPage() as page):
                self._take_page(source, page, now)
        return self._proceed(now)

    @property
    def _target(self) -> ResourceTable:
        return self._view.table if self._staging is None else self._staging.table

    def _hear(self, news: RevisionReported, now: float) -> None:
        is_new = self._takes_changes and news.revision > self._target.revision
        # News of one change comes from many peers; one question answers it.
        if is_new and now >= self._news_at + self._settings.push_interval_s:
            self._news_at = now
            self._preferred = news.peer
            self._ask_at = now

    def _take_delta(self, source: str, delta: ConfigDelta, now: float) -> None:
        question = self._close_question(source, delta.correlation)
        before = self._view.revision
        self._apply(delta)
        if question is None:
            # Nobody knows how long it was on the way: the changes are good, a
            # confirmation is not.
            if delta.held_revision > self._target.revision:
                self._ask_at = now
        else:
            self._take_answer(question, delta, now)
        self._promote()
        if self._view.revision > before:
            soon = now + self._rng.uniform(0.0, const.MAX_ACKNOWLEDGE_DELAY_S)
            self._ask_at = min(self._ask_at, soon)

    def _apply(self, delta: ConfigDelta) -> None:
        if not self._takes_changes or delta.is_compacted:
            return
        if self._staging is not None and self._staging.is_paging:
            return
        # A delta that starts after the applied revision leaves a gap: changes in
        # between would be missing for good.
        if delta.from_revision > self._target.revision:
            return
        self._target.apply(delta.changes, revision=delta.to_revision)

    def _take_answer(self, question: _Question, delta: ConfigDelta, now: float) -> None:
        self._upstream.report_success(question.peer)
        self._note_acknowledged(question)
        self._take_confirmation(question, delta, now)
        if not self._takes_changes:
            return
        if delta.is_compacted:
            self._start_paging(delta.compacted_to)
        if delta.is_compacted or delta.held_revision > self._target.revision:
            self._ask_at = now

    def _take_confirmation(self, question: _Question, delta: ConfigDelta, now: float) -> None:
        """Take the confirmation; leave a peer out whose confirmations are stale.

        Two routers that take each other for the relay would hand an old one to and
        fro; the next candidates lead to the leader.
        """
        report = delta.confirmation
        if report is None:
            self._upstream.report_stale(question.peer, now)
            return
        held = date_confirmation(report, requested_at=question.requested_at)
        self._view.freshness.add_confirmation(held, revision=self._view.table.revision)
        if now - held.obtained_at > self._settings.stale_upstream_s:
            self._upstream.report_stale(question.peer, now)

    def _take_page(self, source: str, page: ConfigPage, now: float) -> None:
        question = self._close_question(source, page.correlation)
        if question is None or self._staging is None or not self._staging.is_paging:
            return
        if self._staging.handle_page(page):
            self._upstream.report_success(source)
        else:
            self._upstream.report_stale(source, now)
        self._ask_at = now

    def _start_paging(self, minimum: int) -> None:
        if self._staging is None:
            self._staging = Staging()
        self._staging.start_paging(minimum)

    def _promote(self) -> None:
        """Put the gathered state in force once that can't take anything back.

        The first state after a start needs a confirmation from after the start that
        it satisfies: a peer's copy may be older than what the former run had.
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

    def _close_question(self, source: str, correlation: int) -> _Question | None:
        question = self._question
        if question is None or (question.peer, question.correlation) != (source, correlation):
            return None
        self._question = None
        return question

    def _proceed(self, now: float) -> list[Effect]:
        due = now + const.WAKE_TOLERANCE_S
        question = self._question
        if question is not None and due >= question.requested_at + self._settings.answer_timeout_s:
            self._upstream.report_silent(question.peer, now)
            self._question = None
            self._ask_at = now
        if self._acknowledgements.pop_changed():
            self._ask_at = min(self._ask_at, now + const.MAX_RELAY_DELAY_S)
        effects: list[Effect] = []
        if self._question is None and due >= self._ask_at:
            effects.extend(self._ask(now))
        effects.extend(self._arm(now))
        return effects

    def _arm(self, now: float) -> list[Effect]:
        # One wake-up at a time: to answer each with a new one would add them up.
        wake_at = self._find_wake()
        if now + const.WAKE_TOLERANCE_S < self._wake_at <= wake_at:
            return []
        self._wake_at = wake_at
        return [WakeAt(at=wake_at)]

    def _find_wake(self) -> float:
        if self._question is None:
            return self._ask_at
        return self._question.requested_at + self._settings.answer_timeout_s

    def _ask(self, now: float) -> list[Effect]:
        is_paging = self._staging is not None and self._staging.is_paging
        peer = self._choose(now, is_paging=is_paging)
        self._schedule(now)
        if peer is None:
            return []
        self._correlation += 1
        if is_paging and self._staging is not None:
            self._question = _Question(correlation=self._correlation, peer=peer, requested_at=now)
            return [SendMessage(target=peer, message=self._staging.make_request(self._correlation))]
        acks = self._list_acks(now)
        self._question = _Question(
            correlation=self._correlation, peer=peer, requested_at=now, acks=acks
        )
        pull = PullConfig(self._correlation, self._target.revision, acks)
        return [SendMessage(target=peer, message=pull)]

    def _choose(self, now: float, *, is_paging: bool) -> str | None:
        preferred = self._preferred
        self._preferred = None
        if is_paging:
            return self._upstream.choose_holder(now)
        return preferred or self._upstream.choose(now)

    def _schedule(self, now: float) -> None:
        jitter = 1.0 + self._rng.uniform(-const.POLL_JITTER, const.POLL_JITTER)
        self._ask_at = now + self._settings.poll_interval_s * jitter

    def _list_acks(self, now: float) -> tuple[RouterAck, ...]:
        """Return the own acknowledgement and what is new from those relayed to.

        Now and then all are sent again, so that a new leader has them too.
        """
        if now >= self._refresh_acks_at:
            self._refresh_acks_at = now + const.ACKNOWLEDGEMENT_REFRESH_INTERVAL_S
            self._acknowledged.clear()
        own = RouterAck(self._instance, self._incarnation, self._view.revision)
        relayed = [
            ack
            for ack in self._acknowledgements.list_acks(now=now)
            if ack.router != self._instance
            and self._acknowledged.get(ack.router) != (ack.incarnation, ack.revision)
        ]
        return (own, *relayed)

    def _note_acknowledged(self, question: _Question) -> None:
        for ack in question.acks[1:]:
            self._acknowledged[ack.router] = (ack.incarnation, ack.revision)
