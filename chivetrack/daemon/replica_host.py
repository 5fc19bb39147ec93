"""Host of the replica of an instance: its folder, log and store, and its messages."""

import random
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import gevent
from gevent.threadpool import ThreadPool

from chivetrack.components.configuration.models import ConfigChanged, QuorumConfirmed
from chivetrack.components.consensus.messages import PeerMessage
from chivetrack.components.consensus.models import (
    LeadershipChanged,
    Recovered,
    ReplicaRegressed,
    Role,
    Timing,
    TransferRefused,
)
from chivetrack.components.fleet.models import LeadershipStatus
from chivetrack.components.proposals.models import ForwardProposal, ForwardRead
from chivetrack.components.replica import Replica
from chivetrack.components.replica.bootstrap import Hello, LogBootstrap
from chivetrack.components.storage import Storage
from chivetrack.components.storage.exceptions import StorageError
from chivetrack.components.store.clock import ProposerClock
from chivetrack.components.store.store import Store, StoreError
from chivetrack.components.store.table import TableUpdate
from chivetrack.core import Event, SendMessage
from chivetrack.daemon.leader_requests import LeaderRequestHandler
from chivetrack.daemon.log_bootstrap import (
    POLL_INTERVAL_S,
    LogBootstrapRunner,
    build_replica,
    is_blank,
    open_replica_folder,
)
from chivetrack.helpers.codec import Message
from chivetrack.helpers.log import get_logger

CONFIRM_INTERVAL_S = 0.5
CONFIRM_TIMEOUT_S = 2.0
PROMOTE_INTERVAL_S = 1.0
TRANSFER_TIMEOUT_S = 2.0

_LOGGER = get_logger("replica")


class ReplicaHost:
    """Runs the replica; before the log exists, takes part in its bootstrap.

    A failed write ends the replica permanently, because its state in memory is then no
    longer on its disk. The router of the instance continues until its configuration can
    no longer be confirmed; the process has to be restarted.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        folder: Path,
        initial_instances: list[str],
        store: Store,
        post: Callable[[Event], None],
        send: Callable[[str, Message], None],
        system_random: random.Random,
    ) -> None:
        """Create a host; ``run`` opens ``folder``.

        ``initial_instances`` are the ids of the instances that bootstrap the log, ``post``
        sends an event to the decision logic of the router, and ``send`` sends a message.
        """
        self._instance_id = instance_id
        self._folder = folder
        self._initial_instances = initial_instances
        self._store = store
        self._post = post
        self._send = send
        self._random = system_random
        self._bootstrap_runner: LogBootstrapRunner | None = None
        self._instances: dict[str, str] = {}
        # Syncs use a dedicated thread, so that they never wait for a thread of the pool
        # that is shared with other work.
        self._sync_pool = ThreadPool(1)
        self._is_changed = False
        self.is_leader = False
        self.replica: Replica | None = None
        self.replica_id = ""
        self.failure = ""
        self.leader_requests = LeaderRequestHandler(store=store, send=send)
        store.table.subscribe(self._handle_update)

    # Messages

    def accepts(self, message: Message) -> bool:
        """Return whether a message is addressed to the replica."""
        return isinstance(message, PeerMessage | ForwardProposal | ForwardRead | Hello)

    def handle_message(self, source: str, message: Message) -> None:
        """Handle a message without blocking."""
        if isinstance(message, Hello):
            self._handle_hello(source, message)
        elif isinstance(message, ForwardProposal | ForwardRead):
            gevent.spawn(self.leader_requests.answer, source, message)
        elif self.replica is not None and isinstance(message, PeerMessage):
            self._instances[message.sender] = source
            self.replica.receive(source, message)

    def _send_to_replica(self, effect: SendMessage) -> None:
        # A replica that does not know the members yet knows only the replica id of the
        # leader, not its instance id. Its first answer would be lost if it was sent to the
        # replica id, and the replica would never catch up.
        target = self._instances.get(effect.target, effect.target)
        self._send(target, effect.message)

    def _handle_hello(self, source: str, hello: Hello) -> None:
        if self._bootstrap_runner is not None:
            self._bootstrap_runner.handle_hello(source, hello)
            return
        if self.replica is not None and hello.members is None:
            members = self.replica.get_status().consensus.members
            if members.members:
                answer = Hello(self._instance_id, self.replica_id, (), members)
                self._send(source, answer)

    # Lifecycle

    def run(self) -> None:
        """Serve until killed, or until a write fails."""
        try:
            with self._open_folder() as storage:
                recovered = storage.pop_recovered()
                if is_blank(recovered):
                    recovered = self._bootstrap_log(storage, recovered)
                self._serve(storage, recovered)
        except (StorageError, StoreError) as error:
            self.failure = str(error)
            self.replica = None
            self.leader_requests.replica = None
            _LOGGER.error("The replica has stopped: {}.", error)

    @contextmanager
    def _open_folder(self) -> Iterator[Storage]:
        with open_replica_folder(
            self._folder, instance_id=self._instance_id, random_source=self._random
        ) as storage:
            self.replica_id = storage.identity.replica_id
            _LOGGER.info("Replica {} has opened its folder.", self.replica_id)
            yield storage

    def _bootstrap_log(self, storage: Storage, recovered: Recovered) -> Recovered:
        """Wait until the log exists; return the state that the replica starts from."""
        log_bootstrap = LogBootstrap(
            instance_id=self._instance_id,
            replica_id=self.replica_id,
            instances=self._initial_instances,
        )
        runner = self._bootstrap_runner = LogBootstrapRunner(
            log_bootstrap=log_bootstrap, replica_id=self.replica_id, send=self._send
        )
        recovered = runner.run(storage, recovered)
        self._bootstrap_runner = None
        if runner.is_member:
            _LOGGER.info("The log was created with {} members.", len(runner.members.members))
        else:
            _LOGGER.warning(
                "Replica {} is not a member; add it with: chivetrack replica add {}",
                self.replica_id,
                self.replica_id,
            )
        return recovered

    def _serve(self, storage: Storage, recovered: Recovered) -> None:
        replica = build_replica(
            replica_id=self.replica_id,
            recovered=recovered,
            storage=storage,
            state_machine=self._store,
            send=self._send_to_replica,
            sync_pool=self._sync_pool,
            timing=Timing(),
            random_source=self._random,
        )
        replica.listen(self._handle_notification)
        self.replica = replica
        self.leader_requests.replica = replica
        loops = [gevent.spawn(self._confirm), gevent.spawn(self._promote)]
        try:
            replica.run()
        finally:
            gevent.killall(loops)

    def _handle_notification(
        self, notification: LeadershipChanged | TransferRefused | ReplicaRegressed
    ) -> None:
        if isinstance(notification, ReplicaRegressed):
            _LOGGER.error(
                "Replica {} has lost entries of the log; replace it.", notification.replica_id
            )
        if not isinstance(notification, LeadershipChanged):
            return
        leads = notification.role is Role.LEADER
        if leads and not self.is_leader:
            _LOGGER.info("This replica is the leader in term {}.", notification.term)
            self.leader_requests.clock = ProposerClock(
                store_time_ms=self._store.time_ms,
                wall_time_ms=time.time_ns() // 1_000_000,
                now=time.monotonic(),
            )
        self.is_leader = leads
        event = LeadershipStatus(
            term=notification.term, leader=notification.leader_instance, leads=leads
        )
        gevent.spawn(self._post, event)

    def _handle_update(self, update: TableUpdate) -> None:
        # Many entries are applied together; one event is enough for all of them.
        if not self._is_changed:
            self._is_changed = True
            gevent.spawn(self._post_config_changed)

    def _post_config_changed(self) -> None:
        self._is_changed = False
        self._post(ConfigChanged())

    def _confirm(self) -> None:
        """On the leader, let a quorum confirm the current revision at regular intervals."""
        while True:
            if self.is_leader and self.replica is not None:
                self._confirm_once(self.replica)
            gevent.sleep(CONFIRM_INTERVAL_S)

    def _confirm_once(self, replica: Replica) -> None:
        started_at = time.monotonic()
        term = replica.get_status().consensus.term
        result = replica.confirm_read(timeout_s=CONFIRM_TIMEOUT_S)
        if result.is_ok() and replica.get_status().consensus.term == term:
            event = QuorumConfirmed(term=term, revision=self._store.revision, started_at=started_at)
            self._post(event)

    def _promote(self) -> None:
        """On the leader, promote learners that have caught up to voters."""
        while True:
            gevent.sleep(PROMOTE_INTERVAL_S)
            if self.is_leader and self.replica is not None:
                self.leader_requests.promote_learners()

    def transfer_leadership(self) -> None:
        """Transfer leadership to another replica before a stop.

        Waits for at most ``TRANSFER_TIMEOUT_S``.
        """
        if self.replica is None or not self.is_leader:
            return
        self.replica.transfer_leadership()
        ends_at = time.monotonic() + TRANSFER_TIMEOUT_S
        while self.is_leader and time.monotonic() < ends_at:
            gevent.sleep(POLL_INTERVAL_S)

    def stop(self) -> None:
        """Stop the writer of the replica."""
        if self.replica is not None:
            self.replica.stop()
