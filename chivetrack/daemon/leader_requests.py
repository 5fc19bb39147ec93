"""Handling of proposals and reads that instances forward to the leader."""

import time
from collections.abc import Callable

import msgspec
from expression import Ok, Result

from chivetrack.components.consensus.members import ChangeKind, Member
from chivetrack.components.proposals.models import (
    ForwardProposal,
    ForwardRead,
    ProposalAnswer,
    Verdict,
)
from chivetrack.components.replica import Replica
from chivetrack.components.replica.administration import (
    ChangeReplica,
    ReadLogStatus,
    TakeBackup,
    get_instance_id,
    pack_refusal,
)
from chivetrack.components.replica.models import NotLeaderFault
from chivetrack.components.storage.snapshots import encode_snapshot
from chivetrack.components.store.clock import ProposerClock
from chivetrack.components.store.commands import Command, stamp_time
from chivetrack.components.store.queries import answer_query
from chivetrack.components.store.store import Store
from chivetrack.daemon.log_status import describe_log
from chivetrack.exceptions import Fault, Ran
from chivetrack.helpers.codec import DecodeError, Message, pack, unpack

PROPOSE_TIMEOUT_S = 5.0
READ_TIMEOUT_S = 2.0
# A change of members that was already made counts as successful, because the request may
# be a resend.
ALREADY_DONE_CODES = frozenset({"already_a_member", "not_a_member", "retired_id"})


def _make_malformed_command(detail: str) -> Fault:
    return Fault(code="malformed_command", message=detail, status=400, ran=Ran.NO)


class LeaderRequestHandler:
    """Executes forwarded commands and queries.

    Every answer reports whether the command may be in the log.
    """

    def __init__(self, *, store: Store, send: Callable[[str, Message], None]) -> None:
        """Create a handler that reads from ``store`` and answers through ``send``.

        The host sets ``replica`` while the replica runs, and ``clock`` when the replica
        becomes the leader.
        """
        self._store = store
        self._send = send
        self.replica: Replica | None = None
        self.clock: ProposerClock | None = None

    def answer(self, source: str, message: ForwardProposal | ForwardRead) -> None:
        """Execute a forwarded command or query and send the answer to ``source``."""
        replica = self.replica
        if replica is None:
            self._send(source, ProposalAnswer(message.number, Verdict.REFUSED))
            return
        if isinstance(message, ForwardProposal):
            result = self._propose(replica, message.data)
        else:
            result = self._read(replica, message.data)
        self._send(source, self._make_answer(message.number, result))

    def _make_answer(self, number: int, result: Result[bytes, Fault]) -> ProposalAnswer:
        if result.is_ok():
            revision = self._store.revision
            return ProposalAnswer(number, Verdict.ACCEPTED, result.ok, revision)
        fault = result.error
        leader = fault.leader if isinstance(fault, NotLeaderFault) else ""
        verdict = Verdict.REFUSED if fault.ran is Ran.NO else Verdict.UNKNOWN
        return ProposalAnswer(number, verdict, leader=leader)

    def _propose(self, replica: Replica, data: bytes) -> Result[bytes, Fault]:
        try:
            command = unpack(data)
        except DecodeError as error:
            return Ok(pack_refusal(_make_malformed_command(str(error))))
        if isinstance(command, ChangeReplica):
            return self._change_members(replica, command)
        if not isinstance(command, Command):
            return Ok(pack_refusal(_make_malformed_command("the message is not a command")))
        if self.clock is not None:
            command = stamp_time(command, self.clock.read(time.monotonic()))
        return replica.propose(pack(command), timeout_s=PROPOSE_TIMEOUT_S)

    def _change_members(self, replica: Replica, change: ChangeReplica) -> Result[bytes, Fault]:
        member = Member(
            replica_id=change.replica_id,
            instance_id=get_instance_id(change.replica_id),
            voter=False,
        )
        result = replica.change_members(change.kind, member, timeout_s=PROPOSE_TIMEOUT_S)
        if result.is_ok() or result.error.code in ALREADY_DONE_CODES:
            return Ok(b"")
        if isinstance(result.error, NotLeaderFault) or result.error.ran is not Ran.NO:
            return result.map(lambda index: b"")
        return Ok(pack_refusal(result.error))

    def _read(self, replica: Replica, data: bytes) -> Result[bytes, Fault]:
        confirmed = replica.confirm_read(timeout_s=READ_TIMEOUT_S)
        if confirmed.is_error():
            return confirmed.map(lambda index: b"")
        if not data:
            return Ok(b"")
        query = unpack(data)
        if isinstance(query, TakeBackup):
            return Ok(b"".join(encode_snapshot(replica.take_backup())))
        if isinstance(query, ReadLogStatus):
            return Ok(msgspec.json.encode(describe_log(replica.get_status())))
        return Ok(pack(answer_query(self._store, query)))  # type: ignore[arg-type]

    def promote_learners(self) -> None:
        """Promote every learner to a voter; the log refuses those that have not caught up."""
        replica = self.replica
        if replica is None:
            return
        for member in replica.get_status().consensus.members.members:
            if not member.voter:
                replica.change_members(ChangeKind.PROMOTE, member, timeout_s=PROPOSE_TIMEOUT_S)
