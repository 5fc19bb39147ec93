"""Answers routers' and other replicas' queries about versions and the origins of streams."""

import time
from collections.abc import Callable, Sequence

import gevent

from chivetrack.components.announcements.table import EndpointTable
from chivetrack.components.origins.const import SYNC_INTERVAL_S
from chivetrack.components.origins.ledger import OriginLedger
from chivetrack.components.origins.messages import OriginAnswer, OriginQuery, OriginRecords
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
        table: EndpointTable,
        list_replicas: Callable[[], Sequence[str]],
        send: Callable[[str, Message], None],
        answer: Callable[[str, Message], None],
        events: EventLog,
    ) -> None:
        """Store the callbacks.

        ``is_founder``: this replica bootstraps the log with others at the first start of the
        deployment, before any stream has begun. One that joins later has missed registrations.
        """
        self._instance_id = instance_id
        self._table = table
        self._list_replicas = list_replicas
        self._send = send
        self._answer = answer
        self._events = events
        self.ledger = OriginLedger(started_at=time.monotonic(), is_complete=is_founder)
        self._numbers = count_requests()
        self._number = 0
        self._answers: dict[str, OriginAnswer] = {}

    def handle_records(self, _source: str, records: OriginRecords) -> None:
        """Keep the records of a router."""
        self.ledger.handle_records(records, now=time.monotonic())

    def handle_query(self, source: str, query: OriginQuery) -> None:
        """Answer a router or another replica."""
        now = time.monotonic()
        members = tuple(self._list_replicas())
        self._answer(source, self.ledger.answer(query, members=members, now=now))

    def handle_answer(self, source: str, answer: OriginAnswer) -> None:
        """Take over what another replica remembers, unless the answer is to an earlier query."""
        if answer.number == self._number:
            self._answers[source] = answer
            self.ledger.merge(self._answers, now=time.monotonic())

    def refresh(self) -> None:
        """Remember the versions of the announced endpoints, and forget those that are gone."""
        self.ledger.refresh(self._table.list_records(), now=time.monotonic())

    def run(self) -> None:
        """Fetch what the others remember until the ledger is complete."""
        while not self.ledger.is_complete:
            self._number = next(self._numbers)
            self._answers.clear()
            for target in self._list_replicas():
                if target != self._instance_id:
                    self._send(target, OriginQuery(number=self._number))
            gevent.sleep(SYNC_INTERVAL_S)
        self._events.write("versions_complete", origins=self.ledger.count_origins())
