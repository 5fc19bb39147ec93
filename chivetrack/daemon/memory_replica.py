"""A replica that keeps its state in memory: a stand-in until the log is here."""

from collections.abc import Callable

import gevent

from chivetrack.components.configuration.models import ConfigChanged, QuorumConfirmed
from chivetrack.components.fleet.models import LeadershipSeen
from chivetrack.components.proposals.models import (
    ForwardProposal,
    ForwardRead,
    ProposalAnswer,
    Verdict,
)
from chivetrack.components.store.queries import answer_query
from chivetrack.components.store.store import Store
from chivetrack.core import Event
from chivetrack.helpers.codec import Message, pack, unpack

CONFIRM_EVERY_S = 0.5


class MemoryReplica:
    """Accepts every command at once; nothing survives the process."""

    def __init__(
        self,
        *,
        instance_id: str,
        store: Store,
        post: Callable[[Event], None],
        send: Callable[[str, Message], None],
        read_clock: Callable[[], float],
    ) -> None:
        """Take the store and the way out."""
        self._instance_id = instance_id
        self._store = store
        self._post = post
        self._send = send
        self._read_clock = read_clock
        self._index = 0

    def takes(self, message: Message) -> bool:
        """Return whether a message is for the replica."""
        return isinstance(message, ForwardProposal | ForwardRead)

    def take(self, source: str, message: Message) -> None:
        """Apply a command or answer a read."""
        result = b""
        if isinstance(message, ForwardProposal):
            self._index += 1
            result = self._store.apply(self._index, message.data)
            self._post(ConfigChanged())
        assert isinstance(message, ForwardProposal | ForwardRead)
        if isinstance(message, ForwardRead) and message.data:
            query = unpack(message.data)
            result = pack(answer_query(self._store, query))  # type: ignore[arg-type]
        revision = self._store.revision
        self._send(source, ProposalAnswer(message.number, Verdict.ACCEPTED, result, revision))

    def run(self) -> None:
        """Confirm the configuration again and again."""
        self._post(LeadershipSeen(term=1, leader=self._instance_id, leads=True))
        while True:
            now = self._read_clock()
            event = QuorumConfirmed(term=1, revision=self._store.revision, started_at=now)
            self._post(event)
            gevent.sleep(CONFIRM_EVERY_S)
