"""Runs a replica of the log: bootstrap, join, repair and reopening of its folder."""

import random
import shutil
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import gevent
from gevent.event import Event as Signal
from gevent.threadpool import ThreadPool

from chivetrack.components.consensus.members import Members
from chivetrack.components.consensus.messages import PeerMessage
from chivetrack.components.consensus.models import (
    LeadershipChanged,
    Recovered,
    ReplicaRegressed,
    Role,
    Timing,
    TransferRefused,
)
from chivetrack.components.document.store import DocumentStore
from chivetrack.components.replica import Replica
from chivetrack.components.replica.bootstrap import Hello, LogBootstrap
from chivetrack.components.replica.repair import JoinAnswer, JoinRequest, LeaveNotice, Repair
from chivetrack.components.storage import Storage
from chivetrack.components.storage.const import IDENTITY_NAME
from chivetrack.components.storage.exceptions import StorageError
from chivetrack.core import SendMessage
from chivetrack.daemon.fleet.const import (
    JOIN_REQUEST_INTERVAL_S,
    LEADER_TIMEOUT_S,
    POSSIBLE_LOSS_LOG_INTERVAL_S,
    REOPEN_DELAY_S,
    REPAIR_INTERVAL_S,
)
from chivetrack.daemon.log_bootstrap import (
    BOOTSTRAP_INDEX,
    POLL_INTERVAL_S,
    LogBootstrapRunner,
    build_replica,
    is_blank,
    open_replica_folder,
)
from chivetrack.helpers.codec import Message
from chivetrack.helpers.events import EventLog

_CHANGE_TIMEOUT_S = 2.0
_TRANSFER_WAIT_S = 1.5
_LEAVE_WAIT_S = 0.5
_FOLDER_NAME = "log"


# Replicas of the same size start in about the same time. The last one finds the others
# listening and needs 0.1 s to connect to each of them before its pre-vote can be answered.
TIMING = Timing(first_election_min_s=0.1, first_election_max_s=0.4)


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfirmedLeadership:
    """The term that a replica leads, and whether no other replica has led before."""

    term: int
    is_first: bool


class RetiredError(Exception):
    """The log has permanently removed this replica; it must rejoin under a new replica id."""


class LogHost:
    """Own the data folder and run the replica stored in it.

    A folder that can't be written is reopened until writes succeed, since a full disk may be
    temporary. Until then this replica sends nothing, so that no other replica relies on
    entries that are not on disk.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        folder: Path,
        seeds: list[str],
        is_first_start: bool,
        tolerated_losses: int,
        catch_up_s: float,
        store: DocumentStore,
        send: Callable[[str, Message], None],
        events: EventLog,
    ) -> None:
        """Set up the replica in ``folder``; ``tolerated_losses`` disks may be lost at once.

        A new replica must vote ``catch_up_s`` seconds after its start.
        At the first start of the deployment the ``seeds`` bootstrap the log.
        """
        self._instance_id = instance_id
        self._folder = folder / _FOLDER_NAME
        self._seeds = seeds
        self._is_first_start = is_first_start
        self._tolerated_losses = tolerated_losses
        self._contacts: dict[str, None] = dict.fromkeys(seeds)
        self._store = store
        self._send = send
        self._events = events
        self._random = random.SystemRandom()
        # A majority of the voters remains after the tolerated losses.
        self._target_voters = 2 * tolerated_losses + 1
        self._repair = Repair(target_voters=self._target_voters, catch_up_s=catch_up_s)
        self._bootstrap: LogBootstrapRunner | None = None
        self._is_retired = False
        self._address_by_replica: dict[str, str] = {}
        # A separate thread for disk syncs, so that they never queue behind other work.
        self._sync_pool = ThreadPool(1)
        self.replica: Replica | None = None
        self.replica_id = ""
        self.is_leader = False
        self._elected = Signal()
        self.leads_since = 0.0
        self.knows_leader = False

    # Messages

    def accepts(self, message: Message) -> bool:
        """Return whether a message is for the log."""
        return isinstance(message, PeerMessage | Hello | JoinRequest | JoinAnswer | LeaveNotice)

    def handle_message(self, source: str, message: Message) -> None:
        """Handle a message for the log without blocking."""
        self._contacts[source] = None
        if isinstance(message, Hello):
            self._handle_hello(source, message)
        elif isinstance(message, JoinRequest):
            self._handle_join_request(source, message)
        elif isinstance(message, JoinAnswer):
            self._handle_join_answer(message)
        elif isinstance(message, LeaveNotice):
            # Whoever leads next may have to act on it.
            self._repair.record_leave(message, now=time.monotonic())
        elif self.replica is not None and isinstance(message, PeerMessage):
            self._address_by_replica[message.sender] = source
            self.replica.receive(source, message)

    def _handle_hello(self, source: str, hello: Hello) -> None:
        if self._bootstrap is not None:
            self._bootstrap.handle_hello(source, hello)
            return
        members = self.get_members()
        if members.members and hello.members is None:
            self._send(source, Hello(self._instance_id, self.replica_id, (), members))

    def _handle_join_request(self, source: str, request: JoinRequest) -> None:
        if self.replica is None:
            return
        if self.is_leader:
            self._repair.record_join_request(request, now=time.monotonic())
        status = self.replica.get_status().consensus
        answer = JoinAnswer(leader_instance=status.leader_instance, members=status.members)
        self._send(source, answer)

    def _handle_join_answer(self, answer: JoinAnswer) -> None:
        for member in answer.members.members:
            self._contacts[member.instance_id] = None
        if self.replica_id in answer.members.retired and not self._is_retired:
            self._is_retired = True
            self._events.write("replica_retired", replica=self.replica_id)
            if self.replica is not None:
                self.replica.stop()

    def get_members(self) -> Members:
        """Return the members of the log as known to this replica."""
        if self.replica is None:
            return Members()
        return self.replica.get_status().consensus.members

    def get_leader(self) -> str:
        """Return the leader's instance as known to this replica, or an empty string.

        A replica that has not received the members yet knows only the leader's replica id;
        the address from which the leader's messages came is returned then.
        """
        if self.replica is None:
            return ""
        leader = self.replica.get_status().consensus.leader_instance
        return self._address_by_replica.get(leader, leader)

    def wait_elected(self, timeout_s: float) -> None:
        """Wait until this replica begins to lead, at most ``timeout_s``."""
        self._elected.wait(timeout_s)
        self._elected.clear()

    def confirm_leadership(self, *, timeout_s: float) -> ConfirmedLeadership | None:
        """Return what this replica leads, confirmed by a quorum after the call began.

        A confirmed leader has an entry of its term on a majority, and each later one has it. So the
        first leader is the one whose first entry follows the bootstrap.
        """
        replica = self.replica
        if replica is None or not self.is_leader:
            return None
        before = replica.get_status().consensus
        is_confirmed = replica.confirm_read(timeout_s=timeout_s).is_ok()
        if not is_confirmed or replica.get_status().consensus.term != before.term:
            return None
        is_first = before.first_index == BOOTSTRAP_INDEX + 1
        return ConfirmedLeadership(term=before.term, is_first=is_first)

    def list_instances(self) -> tuple[str, ...]:
        """Return the instances of all members."""
        return tuple(member.instance_id for member in self.get_members().members)

    def write_contacts(self) -> None:
        """At the leader, log the time since each replica's last answer and its match index."""
        if self.replica is None or not self.is_leader:
            return
        status = self.replica.get_status().consensus
        self._events.write(
            "replica_contacts",
            commit=status.commit_index,
            replicas=[
                {
                    "instance": one.instance_id,
                    "voter": one.voter,
                    "match": one.match_index,
                    "age_s": round(one.last_contact_age_s, 3),
                    "silence_s": round(one.silence_s, 3),
                    "caught_up": one.caught_up,
                }
                for one in status.replicas
            ],
        )

    @property
    def has_all_voters(self) -> bool:
        """Return whether the log has the number of voters that the tolerated losses require.

        Only voters that have the log on disk, as known to the leader, count: a bootstrap
        instance that has not learnt of the bootstrap yet would restart without any log.
        """
        if self.replica is None:
            return False
        replicas = self.replica.get_status().consensus.replicas
        voters = [one for one in replicas if one.voter and one.match_index > 0]
        return len(voters) >= self._target_voters

    # Lifecycle

    def run(self) -> None:
        """Run the replica until killed; restart it after storage errors and retirement."""
        while True:
            try:
                self._run_once()
            except RetiredError:
                shutil.rmtree(self._folder, ignore_errors=True)
                self._is_first_start = False
            except StorageError as error:
                self._events.write("storage_failed", detail=str(error))
                gevent.sleep(REOPEN_DELAY_S)
            finally:
                self.replica = None
                self.is_leader = False

    def _run_once(self) -> None:
        self._is_retired = False
        with self._open_folder() as storage:
            recovered = storage.pop_recovered()
            if is_blank(recovered) and self._may_bootstrap(storage):
                recovered = self._bootstrap_log(storage, recovered)
            self._serve(storage, recovered)
        if self._is_retired:
            raise RetiredError

    @contextmanager
    def _open_folder(self) -> Iterator[Storage]:
        if not (self._folder / IDENTITY_NAME).exists():
            # An earlier start was interrupted while it created the folder. The folder has no
            # identity yet, so no other replica can rely on it.
            shutil.rmtree(self._folder, ignore_errors=True)
        with open_replica_folder(
            self._folder,
            instance_id=self._instance_id,
            random_source=self._random,
            bootstrap_instances=self._seeds if self._is_first_start else (),
        ) as storage:
            self.replica_id = storage.identity.replica_id
            self._events.write("replica_opened", replica=self.replica_id)
            yield storage

    def _may_bootstrap(self, storage: Storage) -> bool:
        """Return whether this blank replica may take part in the bootstrap of the log.

        A folder created after the first start does not name the bootstrap instances: all of
        them may have been killed before they wrote their identities.
        """
        bootstrap_instances = storage.identity.bootstrap_instances
        return not bootstrap_instances or self._instance_id in bootstrap_instances

    def _bootstrap_log(self, storage: Storage, recovered: Recovered) -> Recovered:
        """Bootstrap the log with the other instances, or learn that a log exists already.

        Return the recovered state to serve from.
        """
        bootstrap_instances = storage.identity.bootstrap_instances
        log_bootstrap = LogBootstrap(
            instance_id=self._instance_id,
            replica_id=self.replica_id,
            instances=bootstrap_instances or self._seeds,
            contacts=self._contacts,
            has_first_disk=bool(bootstrap_instances),
            tolerated_losses=self._tolerated_losses,
        )
        bootstrap = self._bootstrap = LogBootstrapRunner(
            log_bootstrap=log_bootstrap, replica_id=self.replica_id, send=self._send
        )
        loss_logger = gevent.spawn(self._log_possible_loss, bootstrap)
        try:
            recovered = bootstrap.run(storage, recovered)
        finally:
            loss_logger.kill(block=False)
            self._bootstrap = None
        event = "log_founded" if bootstrap.is_member else "log_found"
        self._events.write(event, members=len(bootstrap.members.members))
        return recovered

    def _log_possible_loss(self, bootstrap: LogBootstrapRunner) -> None:
        """Log regularly that a log may have been lost, which only an operator can decide."""
        while True:
            gevent.sleep(POSSIBLE_LOSS_LOG_INTERVAL_S)
            if bootstrap.may_have_lost_log:
                self._events.write("founding_doubtful", tolerated_losses=self._tolerated_losses)

    def _serve(self, storage: Storage, recovered: Recovered) -> None:
        replica = build_replica(
            replica_id=self.replica_id,
            recovered=recovered,
            storage=storage,
            state_machine=self._store,
            send=self._send_to_replica,
            sync_pool=self._sync_pool,
            timing=TIMING,
            random_source=self._random,
        )
        replica.listen(self._handle_notification)
        self.replica = replica
        loops = [
            gevent.spawn(self._run_repair, replica),
            gevent.spawn(self._run_join_requests, replica),
        ]
        try:
            replica.run()
        finally:
            gevent.killall(loops)

    def _send_to_replica(self, effect: SendMessage) -> None:
        # A replica that has not received the members yet knows only the leader's replica id.
        # An answer addressed to this id would be lost, and the replica would never catch up.
        self._send(self._address_by_replica.get(effect.target, effect.target), effect.message)

    def _handle_notification(
        self, notification: LeadershipChanged | TransferRefused | ReplicaRegressed
    ) -> None:
        if isinstance(notification, ReplicaRegressed):
            self._events.write("replica_regressed", replica=notification.replica_id)
            return
        if not isinstance(notification, LeadershipChanged):
            return
        leads = notification.role is Role.LEADER
        self.knows_leader = bool(notification.leader_instance)
        if leads and not self.is_leader:
            self.leads_since = time.monotonic()
            self._elected.set()
        self.is_leader = leads
        self._events.write(
            "leader_changed",
            term=notification.term,
            leader=notification.leader_instance,
            role=notification.role.value,
        )

    # Repair

    def _run_repair(self, replica: Replica) -> None:
        """At the leader, execute the member changes that are due."""
        while True:
            # A change may leave fewer able voters until the next one, so that one follows at once.
            if not (self.is_leader and self._change_members(replica)):
                gevent.sleep(REPAIR_INTERVAL_S)

    def _change_members(self, replica: Replica) -> bool:
        """Execute the next member change; return whether one was committed."""
        status = replica.get_status().consensus
        change = self._repair.choose_change(status, now=time.monotonic())
        if change is None:
            return False
        result = replica.change_members(change.kind, change.member, timeout_s=_CHANGE_TIMEOUT_S)
        self._events.write(
            "member_change",
            kind=change.kind.value,
            replica=change.member.replica_id,
            outcome="committed" if result.is_ok() else result.error.code,
        )
        return result.is_ok()

    def _run_join_requests(self, replica: Replica) -> None:
        """Send join requests to all known instances while not a voter or without a leader."""
        leader_seen_at = time.monotonic() - LEADER_TIMEOUT_S
        while True:
            status = replica.get_status().consensus
            now = time.monotonic()
            is_voter = status.members.is_voter(self.replica_id)
            if status.leader_instance and is_voter:
                leader_seen_at = now
            if not is_voter or now - leader_seen_at > LEADER_TIMEOUT_S:
                self._send_join_requests()
            gevent.sleep(JOIN_REQUEST_INTERVAL_S)

    def _send_join_requests(self) -> None:
        request = JoinRequest(instance_id=self._instance_id, replica_id=self.replica_id)
        for contact in list(self._contacts):
            if contact != self._instance_id:
                self._send(contact, request)

    def transfer_leadership(self) -> None:
        """Transfer leadership to another replica before a stop; wait until it has moved."""
        if self.replica is None or not self.is_leader:
            return
        self.replica.transfer_leadership()
        ends_at = time.monotonic() + _TRANSFER_WAIT_S
        while self.is_leader and time.monotonic() < ends_at:
            gevent.sleep(POLL_INTERVAL_S)

    def leave(self) -> None:
        """Tell the other replicas that this one stops, so that a successor may vote at once.

        Waits until one does, if one is there: once this process is gone, it is a voter that
        can't answer.
        """
        notice = LeaveNotice(replica_id=self.replica_id)
        for instance in self.list_instances():
            if instance != self._instance_id:
                self._send(instance, notice)
        ends_at = time.monotonic() + _LEAVE_WAIT_S
        while self._has_successor() and time.monotonic() < ends_at:
            gevent.sleep(POLL_INTERVAL_S)

    def _has_successor(self) -> bool:
        """Return whether this replica votes while another one waits to."""
        members = self.get_members()
        has_learner = any(not one.voter for one in members.members)
        return has_learner and members.is_voter(self.replica_id)
