"""Runs a replica of the log: founds it, joins it, repairs it, and opens its folder again."""

import random
import shutil
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import gevent
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
from chivetrack.components.replica.formation import Formation, Hello
from chivetrack.components.replica.repair import JoinAnswer, JoinRequest, Repair
from chivetrack.components.storage import Storage
from chivetrack.components.storage.const import IDENTITY_NAME
from chivetrack.components.storage.exceptions import StorageError
from chivetrack.core import SendMessage
from chivetrack.daemon.fleet.const import (
    DOUBT_EVERY_S,
    LEADER_SILENT_S,
    REOPEN_AFTER_S,
    REPAIR_EVERY_S,
    SEEK_EVERY_S,
)
from chivetrack.daemon.founding import (
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
_FOLDER_NAME = "log"


# A start takes replicas of one size alike; the last of them finds the others listening and
# needs a connection to each, 0.1 s, before its pre-vote can be answered.
TIMING = Timing(first_election_min_s=0.1, first_election_max_s=0.4)


class RetiredError(Exception):
    """The log has removed this replica for good; it has to come back under a new id."""


class LogHost:
    """Owns the data folder and the replica that lives in it.

    A folder that can't be written is opened again and again: the disk may be full for a
    while. Until then this replica says nothing, so nobody counts on what is not on disk.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        folder: Path,
        seeds: list[str],
        is_first_start: bool,
        tolerated_losses: int,
        store: DocumentStore,
        send: Callable[[str, Message], None],
        events: EventLog,
    ) -> None:
        """Take the folder, ways out, and how many disks may be lost at once.

        At the first start of the deployment the ``seeds`` found the log.
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
        # A majority of these is left when as many as may be lost are.
        self._wanted_voters = 2 * tolerated_losses + 1
        self._repair = Repair(wanted_voters=self._wanted_voters)
        self._founding: LogBootstrapRunner | None = None
        self._is_retired = False
        self._sources: dict[str, str] = {}
        # Syncs have a thread of their own, so that they never wait behind other work.
        self._sync_pool = ThreadPool(1)
        self.replica: Replica | None = None
        self.replica_id = ""
        self.is_leader = False
        self.leads_since = 0.0
        self.knows_leader = False

    # Messages

    def takes(self, message: Message) -> bool:
        """Return whether a message is for the log."""
        return isinstance(message, PeerMessage | Hello | JoinRequest | JoinAnswer)

    def take(self, source: str, message: Message) -> None:
        """Take a message; never blocks."""
        self._contacts[source] = None
        if isinstance(message, Hello):
            self._take_hello(source, message)
        elif isinstance(message, JoinRequest):
            self._take_join(source, message)
        elif isinstance(message, JoinAnswer):
            self._take_join_answer(message)
        elif self.replica is not None and isinstance(message, PeerMessage):
            self._sources[message.sender] = source
            self.replica.receive(source, message)

    def _take_hello(self, source: str, hello: Hello) -> None:
        if self._founding is not None:
            self._founding.take(source, hello)
            return
        members = self.get_members()
        if members.members and hello.members is None:
            self._send(source, Hello(self._instance_id, self.replica_id, (), members))

    def _take_join(self, source: str, request: JoinRequest) -> None:
        if self.replica is None:
            return
        if self.is_leader:
            self._repair.note_join(request, now=time.monotonic())
        status = self.replica.get_status().consensus
        answer = JoinAnswer(leader_instance=status.leader_instance, members=status.members)
        self._send(source, answer)

    def _take_join_answer(self, answer: JoinAnswer) -> None:
        for member in answer.members.members:
            self._contacts[member.instance_id] = None
        if self.replica_id in answer.members.retired and not self._is_retired:
            self._is_retired = True
            self._events.write("replica_retired", replica=self.replica_id)
            if self.replica is not None:
                self.replica.stop()

    def get_members(self) -> Members:
        """Return the members of the log as they are known here."""
        if self.replica is None:
            return Members()
        return self.replica.get_status().consensus.members

    def get_leader(self) -> str:
        """Return the instance that leads as far as it is known here, or an empty text.

        Before a replica has learnt the members it knows the leader by its replica id.
        """
        if self.replica is None:
            return ""
        leader = self.replica.get_status().consensus.leader_instance
        return self._sources.get(leader, leader)

    def list_instances(self) -> tuple[str, ...]:
        """Return the instances of all members."""
        return tuple(member.instance_id for member in self.get_members().members)

    def write_contacts(self) -> None:
        """On the leader, write when each replica last answered and how far its log reaches."""
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
                }
                for one in status.replicas
            ],
        )

    @property
    def has_all_voters(self) -> bool:
        """Return whether the log has as many voters as the losses to be borne ask for.

        Only those count that have the log on their disks, as far as a leader knows: a founder
        that has not heard of its founding yet would come back as one that knows of no log.
        """
        if self.replica is None:
            return False
        replicas = self.replica.get_status().consensus.replicas
        voters = [one for one in replicas if one.voter and one.match_index > 0]
        return len(voters) >= self._wanted_voters

    # Life

    def run(self) -> None:
        """Serve until killed; whatever ends the replica is logged and tried again."""
        while True:
            try:
                self._run_once()
            except RetiredError:
                shutil.rmtree(self._folder, ignore_errors=True)
                self._is_first_start = False
            except StorageError as error:
                self._events.write("storage_failed", detail=str(error))
                gevent.sleep(REOPEN_AFTER_S)
            finally:
                self.replica = None
                self.is_leader = False

    def _run_once(self) -> None:
        self._is_retired = False
        with self._open_folder() as storage:
            recovered = storage.take_recovered()
            if is_blank(recovered) and self._may_found(storage):
                recovered = self._form(storage, recovered)
            self._serve(storage, recovered)
        if self._is_retired:
            raise RetiredError

    @contextmanager
    def _open_folder(self) -> Iterator[Storage]:
        if not (self._folder / IDENTITY_NAME).exists():
            # Half of a folder is left where an earlier start was cut off before its end;
            # it has no identity yet, so nobody can have counted on it.
            shutil.rmtree(self._folder, ignore_errors=True)
        with open_replica_folder(
            self._folder,
            instance_id=self._instance_id,
            random_source=self._random,
            founders=self._seeds if self._is_first_start else (),
        ) as storage:
            self.replica_id = storage.identity.replica_id
            self._events.write("replica_opened", replica=self.replica_id)
            yield storage

    def _may_found(self, storage: Storage) -> bool:
        """Return whether this blank replica may be one of those that found the log.

        After the first start that is not known: the founders may have been killed before
        any of them had written who they are.
        """
        founders = storage.identity.founders
        return not founders or self._instance_id in founders

    def _form(self, storage: Storage, recovered: Recovered) -> Recovered:
        """Found the log with the others, or learn that it exists; return the state to go on."""
        founders = storage.identity.founders
        formation = Formation(
            instance_id=self._instance_id,
            replica_id=self.replica_id,
            instances=founders or self._seeds,
            contacts=self._contacts,
            is_first=bool(founders),
            tolerated_losses=self._tolerated_losses,
        )
        founding = self._founding = LogBootstrapRunner(
            formation=formation, replica_id=self.replica_id, send=self._send
        )
        watch = gevent.spawn(self._watch_doubt, founding)
        try:
            recovered = founding.run(storage, recovered)
        finally:
            watch.kill(block=False)
            self._founding = None
        event = "log_founded" if founding.is_member else "log_found"
        self._events.write(event, members=len(founding.members.members))
        return recovered

    def _watch_doubt(self, founding: LogBootstrapRunner) -> None:
        """Tell, now and then, that only an operator can know whether a log was lost."""
        while True:
            gevent.sleep(DOUBT_EVERY_S)
            if founding.is_doubtful:
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
        replica.listen(self._take_notice)
        self.replica = replica
        loops = [gevent.spawn(self._run_repair, replica), gevent.spawn(self._seek, replica)]
        try:
            replica.run()
        finally:
            gevent.killall(loops)

    def _send_to_replica(self, effect: SendMessage) -> None:
        # A replica that has not learnt the members yet knows the leader by its replica
        # id only. Sent to that, its first answer would be lost and it never caught up.
        self._send(self._sources.get(effect.target, effect.target), effect.message)

    def _take_notice(self, notice: LeadershipChanged | TransferRefused | ReplicaRegressed) -> None:
        if isinstance(notice, ReplicaRegressed):
            self._events.write("replica_regressed", replica=notice.replica_id)
            return
        if not isinstance(notice, LeadershipChanged):
            return
        leads = notice.role is Role.LEADER
        self.knows_leader = bool(notice.leader_instance)
        if leads and not self.is_leader:
            self.leads_since = time.monotonic()
        self.is_leader = leads
        self._events.write(
            "leader_changed",
            term=notice.term,
            leader=notice.leader_instance,
            role=notice.role.value,
        )

    # Repair

    def _run_repair(self, replica: Replica) -> None:
        """On the leader, carry out the member changes that are due."""
        while True:
            gevent.sleep(REPAIR_EVERY_S)
            if not self.is_leader:
                continue
            status = replica.get_status().consensus
            change = self._repair.choose(status, now=time.monotonic())
            if change is None:
                continue
            result = replica.change_members(change.kind, change.member, timeout_s=_CHANGE_TIMEOUT_S)
            self._events.write(
                "member_change",
                kind=change.kind.value,
                replica=change.member.replica_id,
                outcome="committed" if result.is_ok() else result.error.code,
            )

    def _seek(self, replica: Replica) -> None:
        """Ask all known instances to be let in for as long as no leader is heard."""
        heard_at = time.monotonic() - LEADER_SILENT_S
        while True:
            status = replica.get_status().consensus
            now = time.monotonic()
            is_voter = status.members.is_voter(self.replica_id)
            if status.leader_instance and is_voter:
                heard_at = now
            if not is_voter or now - heard_at > LEADER_SILENT_S:
                self._ask_to_join()
            gevent.sleep(SEEK_EVERY_S)

    def _ask_to_join(self) -> None:
        request = JoinRequest(instance_id=self._instance_id, replica_id=self.replica_id)
        for contact in list(self._contacts):
            if contact != self._instance_id:
                self._send(contact, request)

    def hand_over(self) -> None:
        """Before a stop, hand leadership to another replica."""
        if self.replica is None or not self.is_leader:
            return
        self.replica.transfer_leadership()
        ends_at = time.monotonic() + _TRANSFER_WAIT_S
        while self.is_leader and time.monotonic() < ends_at:
            gevent.sleep(POLL_INTERVAL_S)
