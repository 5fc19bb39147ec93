"""Answers routers' and other replicas' queries about versions and the origins of streams."""

import time
from collections.abc import Callable, Sequence

import gevent

from chivetrack.components.announcements.table import EndpointTable
from chivetrack.components.origins.const import MAX_SYNC_INTERVAL_S, SYNC_INTERVAL_S
from chivetrack.components.origins.ledger import OriginLedger
from chivetrack.components.origins.messages import OriginAnswer, OriginQuery, OriginRecords
from chivetrack.components.origins.models import Origin
from chivetrack.daemon.fleet.origin_file import OriginFile, StoredOrigins
from chivetrack.daemon.fleet.pending_requests import count_requests
from chivetrack.helpers.codec import Message
from chivetrack.helpers.events import EventLog


class OriginHost:
    """Own a replica's ledger; after a restart, fetch what the other replicas remember."""

    def __init__(
        self,
        *,
        instance_id: str,
        is_founder: bool,
        file: OriginFile,
        table: EndpointTable,
        list_replicas: Callable[[], Sequence[str]],
        send: Callable[[str, Message], None],
        answer: Callable[[str, Message], None],
        events: EventLog,
    ) -> None:
        """Store the callbacks.

        ``is_founder``: this replica bootstraps the log with others at the first start of the
        deployment, before any stream has begun. One that joins later has missed registrations.
        ``file`` keeps what this replica has confirmed.
        """
        self._instance_id = instance_id
        self._table = table
        self._list_replicas = list_replicas
        self._send = send
        self._answer = answer
        self._events = events
        self.ledger = OriginLedger(started_at=time.monotonic(), is_complete=is_founder)
        self._file = file
        self._unconfirmed: dict[str, OriginQuery] = {}
        self._is_saving = False
        self._saved = StoredOrigins(is_complete=False)
        self._confirmable: frozenset[Origin] = frozenset()
        self._restore()
        self._numbers = count_requests()
        self._number = 0
        self._answers: dict[str, OriginAnswer] = {}

    def handle_records(self, _source: str, records: OriginRecords) -> None:
        """Keep the records of a router."""
        self.ledger.handle_records(records, now=time.monotonic())

    def handle_query(self, source: str, query: OriginQuery) -> None:
        """Answer a router or another replica; confirm a version only once it is on the disk."""
        if self._confirmable.issuperset(query.registers):
            self._answer_now(source, query)
            return
        self.ledger.register(query.registers, now=time.monotonic())
        # One query for each router: a disk may hang, and routers ask again meanwhile.
        self._unconfirmed[source] = query
        self._start_save()

    def _answer_now(self, source: str, query: OriginQuery) -> None:
        now = time.monotonic()
        members = tuple(self._list_replicas())
        self._answer(source, self.ledger.answer(query, members=members, now=now))

    def _start_save(self) -> None:
        if not self._is_saving:
            self._is_saving = True
            gevent.spawn(self._save)

    def _restore(self) -> None:
        stored = self._file.load()
        if stored is None:
            return
        self.ledger.register(stored.origins, now=time.monotonic(), lost=stored.lost)
        self.ledger.is_complete = stored.is_complete
        self._saved, self._confirmable = stored, stored.origins

    def _save(self) -> None:
        """Write the versions that are remembered, and answer the queries that wait for that."""
        content = self._make_content()
        unconfirmed, self._unconfirmed = self._unconfirmed, {}
        # What this write removes must not be confirmed meanwhile.
        self._confirmable &= content.origins
        try:
            if self._file.save(content):
                self._saved, self._confirmable = content, content.origins
        finally:
            self._is_saving = False
        for source, query in unconfirmed.items():
            if self._confirmable.issuperset(query.registers):
                self._answer_now(source, query)
        if self._unconfirmed:
            self._start_save()

    def _make_content(self) -> StoredOrigins:
        return StoredOrigins(
            is_complete=self.ledger.is_complete,
            origins=self.ledger.origins,
            lost=self.ledger.list_lost(now=time.monotonic()),
        )

    def handle_answer(self, source: str, answer: OriginAnswer) -> None:
        """Take over what another replica remembers, unless the answer is to an earlier query."""
        if answer.number == self._number:
            self._answers[source] = answer
            self.ledger.merge(self._answers, now=time.monotonic())

    def refresh(self) -> None:
        """Remember the versions of the announced endpoints, and forget those that are gone."""
        self.ledger.refresh(self._table.list_records(), now=time.monotonic())
        if self._saved != self._make_content():
            self._start_save()

    def run(self) -> None:
        """Fetch what the others remember until the ledger is complete."""
        interval_s = SYNC_INTERVAL_S
        while not self.ledger.is_complete:
            self._number = next(self._numbers)
            self._answers.clear()
            for target in self._list_replicas():
                if target != self._instance_id:
                    self._send(target, OriginQuery(number=self._number))
            gevent.sleep(interval_s)
            interval_s = min(MAX_SYNC_INTERVAL_S, 2 * interval_s)
        self._events.write("versions_complete", origins=len(self.ledger.origins))
