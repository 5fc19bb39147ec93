"""Steps that all hosts of a replica share: open the folder, bootstrap the log, run the replica."""

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
from chivetrack.components.replica.bootstrap import Hello, LogBootstrap, LogBootstrapped, NotAMember
from chivetrack.components.replica.models import StateMachine
from chivetrack.components.storage import Storage, create_folder, open_storage
from chivetrack.components.storage.backup import make_replica_id
from chivetrack.components.storage.exceptions import FolderEmptyError
from chivetrack.components.storage.records import Identity
from chivetrack.core import Effect, MessageReceived, SendMessage, TimeReached, WakeAt
from chivetrack.helpers.codec import Message

# Index of the entry that the bootstrap stands for; the first leader's own entry follows it.
BOOTSTRAP_INDEX = 1

POLL_INTERVAL_S = 0.02

Send = Callable[[str, Message], None]


@contextmanager
def open_replica_folder(
    folder: Path,
    *,
    instance_id: str,
    random_source: random.Random,
    bootstrap_instances: Sequence[str] = (),
) -> Iterator[Storage]:
    """Open the folder of a replica; create a new replica in an empty folder.

    A new folder stores ``bootstrap_instances``, because the settings do not name these instances at
    a later start.
    """
    with ExitStack() as stack:
        try:
            storage = stack.enter_context(open_storage(path=folder))
        except FolderEmptyError:
            replica_id = make_replica_id(instance_id=instance_id, random=random_source)
            identity = Identity(replica_id, instance_id, tuple(bootstrap_instances))
            create_folder(folder, identity=identity)
            storage = stack.enter_context(open_storage(path=folder))
        yield storage


def is_blank(recovered: Recovered) -> bool:
    """Return whether the recovered folder holds no part of a log."""
    return not recovered.snapshot.members.members and not recovered.entries


class LogBootstrapRunner:
    """Takes part in the bootstrap of the log until the log exists."""

    def __init__(self, *, log_bootstrap: LogBootstrap, replica_id: str, send: Send) -> None:
        """Create a runner; ``log_bootstrap`` is the decision logic, ``send`` sends messages."""
        self._log_bootstrap = log_bootstrap
        self._replica_id = replica_id
        self._send = send
        self._ended = Signal()
        self.members = Members()

    @property
    def may_have_lost_log(self) -> bool:
        """Return whether a log may have been lost with the disks of all bootstrap instances."""
        return self._log_bootstrap.may_have_lost_log

    @property
    def is_member(self) -> bool:
        """Return whether this replica is one of the first members of the log."""
        return self.members.find(self._replica_id) is not None

    def handle_hello(self, source: str, hello: Hello) -> None:
        """Handle a hello message from another instance."""
        event = MessageReceived(source=source, message=hello)
        self._execute(self._log_bootstrap.handle(event, now=time.monotonic()))

    def run(self, storage: Storage, recovered: Recovered) -> Recovered:
        """Wait until the log exists; return the state that the replica starts from."""
        while not self._ended.is_set():
            now = time.monotonic()
            wake_at = self._execute(self._log_bootstrap.handle(TimeReached(), now=now))
            self._ended.wait(max(POLL_INTERVAL_S, wake_at - now))
        if not self.is_member:
            return recovered
        snapshot = Snapshot(index=BOOTSTRAP_INDEX, term=1, members=self.members)
        storage.save(
            [Persist(snapshot=snapshot, reset=True, last_index=BOOTSTRAP_INDEX, last_term=1)]
        )
        return Recovered(hard_state=recovered.hard_state, snapshot=snapshot)

    def _execute(self, effects: list[Effect]) -> float:
        """Execute effects; return the time of the next wake-up in seconds."""
        wake_at = time.monotonic()
        for effect in effects:
            if isinstance(effect, SendMessage):
                self._send(effect.target, effect.message)
            elif isinstance(effect, WakeAt):
                wake_at = effect.at
            elif isinstance(effect, LogBootstrapped | NotAMember):
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
    """Return a replica that continues from the recovered state of its folder."""
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
