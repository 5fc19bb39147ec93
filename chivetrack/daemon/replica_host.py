"""The replica of an instance: folder, log, store, and the answers to other instances."""

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
from chivetrack.components.fleet.models import LeadershipSeen
from chivetrack.components.proposals.models import ForwardProposal, ForwardRead
from chivetrack.components.replica import Replica
from chivetrack.components.replica.formation import Formation, Hello
from chivetrack.components.storage import Storage
from chivetrack.components.storage.exceptions import StorageError
from chivetrack.components.store.clock import ProposerClock
from chivetrack.components.store.store import Store, StoreError
from chivetrack.components.store.table import TableUpdate
from chivetrack.core import Event, SendMessage
from chivetrack.daemon.founding import (
    POLL_INTERVAL_S,
    LogBootstrapRunner,
    build_replica,
    is_blank,
    open_replica_folder,
)
from chivetrack.daemon.leader_requests import LeaderRequestHandler
from chivetrack.helpers.codec import Message
from chivetrack.helpers.log import get_logger

CONFIRM_INTERVAL_S = 0.5
CONFIRM_TIMEOUT_S = 2.0
PROMOTE_INTERVAL_S = 1.0
TRANSFER_TIMEOUT_S = 2.0

_LOGGER = get_logger("replica")


class ReplicaHost:
    """Runs the replica; without one (before the log exists) it takes part in founding it.

    A write that fails ends the replica for good: what it believes is then no longer on
    its disk. The router of the instance goes on until its configuration can't be
    confirmed any more, and the process has to be started again.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        folder: Path,
        first_instances: list[str],
        store: Store,
        post: Callable[[Event], None],
        send: Callable[[str, Message], None],
        system_random: random.Random,
    ) -> None:
        """Take the folder and the ways in and out; ``run`` opens the folder."""
        self._instance_id = instance_id
        self._folder = folder
        self._first_instances = first_instances
        self._store = store
        self._post = post
        self._send = send
        self._random = system_random
        self._founding: LogBootstrapRunner | None = None
        self._instances: dict[str, str] = {}
        # Syncs have a thread of their own, so that they never wait for one behind
        # whatever else uses the common pool.
        self._sync_pool = ThreadPool(1)
        self._is_changed = False
        self.is_leader = False
        self.replica: Replica | None = None
        self.replica_id = ""
        self.failure = ""
        self.desk = LeaderRequestHandler(store=store, send=send)
        store.table.subscribe(self._note_update)

    # Messages

    def takes(self, message: Message) -> bool:
        """Return whether a message is for the replica."""
        return isinstance(message, PeerMessage | ForwardProposal | ForwardRead | Hello)

    def take(self, source: str, message: Message) -> None:
        """Take a message; never blocks."""
        if isinstance(message, Hello):
            self._take_hello(source, message)
        elif isinstance(message, ForwardProposal | ForwardRead):
            gevent.spawn(self.desk.answer, source, message)
        elif self.replica is not None and isinstance(message, PeerMessage):
            self._instances[message.sender] = source
            self.replica.receive(source, message)

    def _send_to_replica(self, effect: SendMessage) -> None:
        # A replica that has not learnt the members yet knows the leader by its replica
        # id only. Sent to that, its first answer would be lost and it never caught up.
        target = self._instances.get(effect.target, effect.target)
        self._send(target, effect.message)

    def _take_hello(self, source: str, hello: Hello) -> None:
        if self._founding is not None:
            self._founding.take(source, hello)
            return
        if self.replica is not None and hello.members is None:
            members = self.replica.get_status().consensus.members
            if members.members:
                answer = Hello(self._instance_id, self.replica_id, (), members)
                self._send(source, answer)

    # Life

    def run(self) -> None:
        """Serve until killed, or until a write fails."""
        try:
            with self._open_folder() as storage:
                recovered = storage.take_recovered()
                if is_blank(recovered):
                    recovered = self._form(storage, recovered)
                self._serve(storage, recovered)
        except (StorageError, StoreError) as error:
            self.failure = str(error)
            self.replica = None
            self.desk.replica = None
            _LOGGER.error("The replica has stopped: {}.", error)

    @contextmanager
    def _open_folder(self) -> Iterator[Storage]:
        with open_replica_folder(
            self._folder, instance_id=self._instance_id, random_source=self._random
        ) as storage:
            self.replica_id = storage.identity.replica_id
            _LOGGER.info("Replica {} opened its folder.", self.replica_id)
            yield storage

    def _form(self, storage: Storage, recovered: Recovered) -> Recovered:
        """Wait until the log exists; return the state to start from."""
        formation = Formation(
            instance_id=self._instance_id,
            replica_id=self.replica_id,
            instances=self._first_instances,
        )
        founding = self._founding = LogBootstrapRunner(
            formation=formation, replica_id=self.replica_id, send=self._send
        )
        recovered = founding.run(storage, recovered)
        self._founding = None
        if founding.is_member:
            _LOGGER.info("The log begins with {} members.", len(founding.members.members))
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
        replica.listen(self._take_notice)
        self.replica = replica
        self.desk.replica = replica
        loops = [gevent.spawn(self._confirm), gevent.spawn(self._promote)]
        try:
            replica.run()
        finally:
            gevent.killall(loops)

    def _take_notice(self, notice: LeadershipChanged | TransferRefused | ReplicaRegressed) -> None:
        if isinstance(notice, ReplicaRegressed):
            _LOGGER.error("Replica {} has lost entries; replace it.", notice.replica_id)
        if not isinstance(notice, LeadershipChanged):
            return
        leads = notice.role is Role.LEADER
        if leads and not self.is_leader:
            _LOGGER.info("Leading in term {}.", notice.term)
            self.desk.clock = ProposerClock(
                store_time_ms=self._store.time_ms,
                wall_time_ms=time.time_ns() // 1_000_000,
                now=time.monotonic(),
            )
        self.is_leader = leads
        seen = LeadershipSeen(term=notice.term, leader=notice.leader_instance, leads=leads)
        gevent.spawn(self._post, seen)

    def _note_update(self, update: TableUpdate) -> None:
        # Many entries are applied at a time; one look at the table serves all of them.
        if not self._is_changed:
            self._is_changed = True
            gevent.spawn(self._tell_change)

    def _tell_change(self) -> None:
        self._is_changed = False
        self._post(ConfigChanged())

    def _confirm(self) -> None:
        """On the leader, have a quorum confirm again and again what is in force."""
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
        """On the leader, let learners vote once they have caught up."""
        while True:
            gevent.sleep(PROMOTE_INTERVAL_S)
            if self.is_leader and self.replica is not None:
                self.desk.promote_learners()

    def hand_over(self) -> None:
        """Before a stop, hand leadership to another replica."""
        if self.replica is None or not self.is_leader:
            return
        self.replica.transfer_leadership()
        ends_at = time.monotonic() + TRANSFER_TIMEOUT_S
        while self.is_leader and time.monotonic() < ends_at:
            gevent.sleep(POLL_INTERVAL_S)

    def stop(self) -> None:
        """End the replica's writer."""
        if self.replica is not None:
            self.replica.stop()
