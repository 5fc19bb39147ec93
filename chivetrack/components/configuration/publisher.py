"""Serves configuration to other instances; any instance can relay what it has applied."""

from collections.abc import Sequence

from chivetrack.components.configuration import const
from chivetrack.components.configuration.acknowledgements import Acknowledgements
from chivetrack.components.configuration.messages import (
    UNSOLICITED,
    ConfigDelta,
    ConfigPage,
    PullConfig,
    PullPage,
)
from chivetrack.components.configuration.models import (
    ConfigChanged,
    ConfigurationSettings,
    DatedConfirmation,
    QuorumConfirmed,
)
from chivetrack.components.configuration.view import ConfigView
from chivetrack.components.store.history import estimate_size
from chivetrack.components.store.records import Change, KindRecords, Record
from chivetrack.core import Effect, Event, MessageReceived, SendMessage, TimeReached, WakeAt

MAX_PAGE_RECORDS = 2_000
MAX_DELTA_CHANGES = 10_000


class ConfigPublisher:
    """Answers pulls and pushes new changes to the instances that pulled recently.

    The two relays of each availability zone pull from the leader and the other routers
    from the relays. The leader therefore sends each change twice per zone instead of once
    per router.
    """

    def __init__(self, *, view: ConfigView, settings: ConfigurationSettings) -> None:
        """Serve the configuration of ``view``."""
        self.acknowledgements = Acknowledgements()
        self._view = view
        self._settings = settings
        self._downstream: dict[str, tuple[float, int]] = {}
        self._confirmations = 0
        self._pushed_at = float("-inf")
        self._pushed_revision = 0

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Handle pulls, confirmations of this instance's leadership, changes and timers."""
        match event:
            case MessageReceived(source=source, message=PullConfig() as pull):
                return [SendMessage(target=source, message=self._handle_pull(source, pull, now))]
            case MessageReceived(source=source, message=PullPage() as pull):
                return [SendMessage(target=source, message=self._make_page(pull))]
            case QuorumConfirmed():
                self._record_confirmation(event)
                return []
            case ConfigChanged():
                self.acknowledgements.record_commit(self._view.revision, now=now)
                return self._push(now)
            case TimeReached():
                return self._push(now)
        return []

    def _record_confirmation(self, event: QuorumConfirmed) -> None:
        self._confirmations += 1
        held = DatedConfirmation(
            term=event.term,
            counter=self._confirmations,
            revision=event.revision,
            obtained_at=event.started_at,
        )
        self._view.freshness.add_confirmation(held, revision=self._view.table.revision)

    def _handle_pull(self, source: str, pull: PullConfig, now: float) -> ConfigDelta:
        self.acknowledgements.record_acks(pull.acks, now=now)
        delta = self._make_delta(pull.correlation, pull.revision, now)
        self._downstream[source] = (now, delta.to_revision)
        return delta

    def _make_delta(self, correlation: int, revision: int, now: float) -> ConfigDelta:
        held = self._view.revision
        is_requested = correlation != UNSOLICITED
        confirmation = self._view.freshness.report(now) if is_requested else None
        if revision >= held:
            return ConfigDelta(correlation, revision, revision, held, confirmation=confirmation)
        table = self._view.table
        changes = table.list_changes(revision, limit=MAX_DELTA_CHANGES)
        if changes is None:
            return ConfigDelta(
                correlation, revision, revision, held, (), table.compaction_revision, confirmation
            )
        batch = _limit_changes(changes, self._settings.batch_bytes)
        is_complete = len(batch) == len(changes) < MAX_DELTA_CHANGES
        to_revision = held if is_complete else batch[-1].revision
        return ConfigDelta(correlation, revision, to_revision, held, tuple(batch), 0, confirmation)

    def _make_page(self, pull: PullPage) -> ConfigPage:
        table = self._view.table
        revision = self._view.revision
        kinds = [kind for kind in table.list_kinds() if kind >= pull.kind]
        if not kinds or revision < max(pull.minimum, 1):
            return ConfigPage(pull.correlation, revision, KindRecords("", ()))
        kind = kinds[0]
        after = pull.after if kind == pull.kind else ""
        page = table.list_page(kind, after=after, limit=MAX_PAGE_RECORDS)
        records = _limit_records(page.records, self._settings.batch_bytes)
        entry = KindRecords(kind, tuple(records))
        if len(records) < len(page.records) or page.next_after is not None:
            return ConfigPage(pull.correlation, revision, entry, kind, records[-1].name)
        next_kind = kinds[1] if len(kinds) > 1 else ""
        return ConfigPage(pull.correlation, revision, entry, next_kind, "")

    def _push(self, now: float) -> list[Effect]:
        """Push new changes downstream, at most once per push interval."""
        revision = self._view.revision
        if revision <= self._pushed_revision:
            return []
        due = self._pushed_at + self._settings.push_interval_s
        if now < due:
            return [WakeAt(at=due)]
        self._pushed_at = now
        self._pushed_revision = revision
        self._expire_downstream(now)
        return [
            SendMessage(target=target, message=self._make_delta(UNSOLICITED, sent, now))
            for target, (_, sent) in self._downstream.items()
            if sent < revision
        ]

    def _expire_downstream(self, now: float) -> None:
        self.acknowledgements.expire_silent(now)
        oldest = now - const.DOWNSTREAM_TTL_S
        self._downstream = {
            target: (seen, sent)
            for target, (seen, sent) in self._downstream.items()
            if seen >= oldest
        }


def _limit_changes(changes: Sequence[Change], limit: int) -> Sequence[Change]:
    """Return as many leading changes as fit into ``limit`` bytes, at least one."""
    total = 0
    for count, change in enumerate(changes):
        total += estimate_size(change)
        if total > limit:
            return changes[: max(count, 1)]
    return changes


def _limit_records(records: Sequence[Record], limit: int) -> Sequence[Record]:
    total = 0
    for count, record in enumerate(records):
        total += estimate_size(Change(record.revision, "", record.name, record))
        if total > limit:
            return records[: max(count, 1)]
    return records
