"""What every host of a replica does with its folder: open it, found the log, run the writer."""

import random
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from pathlib import Path

from gevent.event import Event as Signal
from gevent.threadpool import ThreadPool

from chivetrack.components.consensus import Consensus
from chivetrack.components.consensus.members import Members
from chivetrack.components.consensus.models import Persist, Recovered, Snapshot, Timing
from chivetrack.components.replica import Replica, ReplicaCore
from chivetrack.components.replica.formation import Formation, Founded, Hello, Stranger
from chivetrack.components.replica.models import StateMachine
from chivetrack.components.storage import Storage, create_folder, open_storage
from chivetrack.components.storage.backup import make_replica_id
from chivetrack.components.storage.exceptions import FolderEmptyError
from chivetrack.components.storage.records import Identity
from chivetrack.core import Effect, MessageReceived, SendMessage, TimeReached, WakeAt
from chivetrack.helpers.codec import Message

POLL_INTERVAL_S = 0.02

Send = Callable[[str, Message], None]


@contextmanager
def open_replica_folder(
    folder: Path,
    *,
    instance_id: str,
    random_source: random.Random,
    founders: Sequence[str] = (),
) -> Iterator[Storage]:
    """Open a replica's folder; an empty one becomes that of a new replica.

    A new folder remembers ``founders``: at a later start the settings do not name them.
    """
    with ExitStack() as stack:
        try:
            storage = stack.enter_context(open_storage(path=folder))
        except FolderEmptyError:
            replica_id = make_replica_id(instance_id=instance_id, random=random_source)
            identity = Identity(replica_id, instance_id, tuple(founders))
            create_folder(folder, identity=identity)
            storage = stack.enter_context(open_storage(path=folder))
        yield storage


def is_blank(recovered: Recovered) -> bool:
    """Return whether a folder belongs to no log yet."""
    return not recovered.snapshot.members.members and not recovered.entries


class LogBootstrapRunner:
    """Takes part in founding the log until it exists."""

    def __init__(self, *, formation: Formation, replica_id: str, send: Send) -> None:
        """Take the decision, the own id and the way out."""
        self._formation = formation
        self._replica_id = replica_id
        self._send = send
        self._ended = Signal()
        self.members = Members()

    @property
    def is_doubtful(self) -> bool:
        """Return whether a log may have been lost with all founders' disks."""
        return self._formation.is_doubtful

    @property
    def is_member(self) -> bool:
        """Return whether the log began with this replica."""
        return self.members.find(self._replica_id) is not None

    def take(self, source: str, hello: Hello) -> None:
        """Take the word of another instance."""
        event = MessageReceived(source=source, message=hello)
        self._follow(self._formation.handle(event, now=time.monotonic()))

    def run(self, storage: Storage, recovered: Recovered) -> Recovered:
        """Wait until the log exists; return the state to start from."""
        while not self._ended.is_set():
            now = time.monotonic()
            wake_at = self._follow(self._formation.handle(TimeReached(), now=now))
            self._ended.wait(max(POLL_INTERVAL_S, wake_at - now))
        if not self.is_member:
            return recovered
        first = Snapshot(index=1, term=1, members=self.members)
        storage.save([Persist(snapshot=first, reset=True, last_index=1, last_term=1)])
        return Recovered(hard_state=recovered.hard_state, snapshot=first)

    def _follow(self, effects: list[Effect]) -> float:
        wake_at = time.monotonic()
        for effect in effects:
            if isinstance(effect, SendMessage):
                self._send(effect.target, effect.message)
            elif isinstance(effect, WakeAt):
                wake_at = effect.at
            elif isinstance(effect, Founded | Stranger):
                self.members = effect.members
                self._ended.set()
        return wake_at


def build_replica(
    *,
    replica_id: str,
    recovered: Recovered,
    storage: Storage,
    state_machine: StateMachine,
    send: Callable[[SendMessage], None],
    sync_pool: ThreadPool,
    timing: Timing,
    random_source: random.Random,
) -> Replica:
    """Return a replica that goes on from what its folder holds."""
    consensus = Consensus(
        replica_id=replica_id, random=random_source, timing=timing, recovered=recovered
    )
    core = ReplicaCore(
        consensus=consensus, state_machine=state_machine, snapshot=recovered.snapshot
    )
    return Replica(
        core=core,
        storage=storage,
        send=send,
        clock=time.monotonic,
        make_waiter=Signal,
        run_blocking=sync_pool.apply,
    )
