"""Commits documents and orders through the log, and reads the committed state."""

import random
import time
from collections.abc import Callable, Mapping

import gevent
from expression import Error, Ok, Result

from chivetrack.components.document.store import (
    Command,
    DocumentStore,
    PutOutcome,
    StoredDocument,
    decode_command,
    encode_command,
    pack_document,
    unpack_document,
)
from chivetrack.components.evacuation.models import Evacuations, OrderOutcome, ZoneOrder
from chivetrack.components.proposals.models import (
    ForwardProposal,
    ForwardRead,
    ProposalAnswer,
    Verdict,
)
from chivetrack.components.quarantine.models import (
    Quarantine,
    QuarantineOrder,
    QuarantineOutcome,
    ReleaseOrder,
)
from chivetrack.components.replica.faults import make_unknown
from chivetrack.components.replica.models import NotLeaderFault
from chivetrack.components.traffic.models import Document
from chivetrack.daemon.fleet.const import (
    APPLY_WAIT_S,
    BOOTSTRAP_GRACE_S,
    FORWARD_TIMEOUT_S,
    LARGE_DOCUMENT_BYTES,
    MAX_DOCUMENT_SEND_S,
    PROPOSE_TIMEOUT_S,
    READ_TIMEOUT_S,
)
from chivetrack.daemon.fleet.log_host import LogHost
from chivetrack.daemon.fleet.pending_requests import PendingRequests
from chivetrack.exceptions import Fault, Ran
from chivetrack.helpers.codec import Message, decode_as
from chivetrack.helpers.events import EventLog
from chivetrack.platform.control_api import RedirectTo

_FORWARDED_EVENTS: Mapping[type[Command], str] = {
    StoredDocument: "configuration_forwarded",
    ZoneOrder: "evacuation_forwarded",
    QuarantineOrder: "quarantine_forwarded",
    ReleaseOrder: "quarantine_release_forwarded",
}

_RETRY_S = 0.3
_POLL_S = 0.02


def make_unavailable(code: str, message: str) -> Fault:
    """Return the fault for a call that may succeed at another replica or on a retry."""
    return Fault(code=code, message=message, status=503, ran=Ran.NO, retry_after_s=_RETRY_S)


def make_stopping() -> Fault:
    """Return the fault for a call that has not run and succeeds at another replica."""
    return make_unavailable("stopping", "this replica is stopping; use another replica")


class DocumentHandler:
    """Serve operators' calls at any replica; a revision of the log is a document's version.

    A follower forwards the packed call to the leader and answers the operator itself. If it
    redirected the operator instead, 480 kB for 1,600 routes would cross two links of
    3 Mbit/s one after the other, and all reads would share the leader's link; operators
    abandon a call after some seconds. Only if the leader doesn't answer the follower is the
    operator redirected, since the leader may still be reachable from there.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        control_port: int,
        host: LogHost,
        store: DocumentStore,
        send: Callable[[str, Message], None],
        list_readers: Callable[[int], list[str]],
        events: EventLog,
        get_link_rate: Callable[[], float | None] = lambda: None,
        is_in_force: Callable[[int], bool] = lambda version: True,
        record_acknowledged: Callable[[int], None] = lambda version: None,
    ) -> None:
        """Store the log's host and its state machine.

        ``list_readers`` returns the addresses of routers that can serve a version.
        ``get_link_rate`` returns what the network link carries (bytes/s), ``None`` if unknown.
        ``is_in_force`` returns whether no router in contact serves an older version than the given
        one, ``record_acknowledged`` is called before an operator is acknowledged a version.
        """
        self._instance_id = instance_id
        self._control_port = control_port
        self._host = host
        self._store = store
        self._send = send
        self._list_readers = list_readers
        self._events = events
        self._get_link_rate = get_link_rate
        self._is_in_force = is_in_force
        self._record_acknowledged = record_acknowledged
        self._pending = PendingRequests[ProposalAnswer]()
        self._is_stopping = False
        self.forwarded_count = 0

    def begin_stop(self) -> None:
        """Refuse all changes from now on; those in progress go on."""
        self._is_stopping = True

    def put(self, document: Document, body: bytes) -> Result[int, Fault | RedirectTo]:
        """Commit a document and return the version in force, once it is so on the routers."""
        ends_at = time.monotonic() + PROPOSE_TIMEOUT_S
        stored = StoredDocument(version=document.version, payload=pack_document(body))
        outcome = self._submit(stored)
        if outcome.is_ok():
            outcome = self._acknowledge(stored.version, outcome.ok, ends_at=ends_at)
        self._log_change("configuration_sent", stored, outcome)
        return outcome

    def _acknowledge(
        self, version: int, committed: int, *, ends_at: float
    ) -> Result[int, Fault | RedirectTo]:
        """Return ``committed`` once no router in contact serves an older version than ``version``.

        Operators send a change again if it takes long, and it goes on meanwhile.
        """
        while not self._is_in_force(version):
            if time.monotonic() >= ends_at:
                return Error(_make_not_in_force())
            gevent.sleep(_POLL_S)
        self._record_acknowledged(version)
        return Ok(committed)

    def order(self, zone: str, *, is_evacuated: bool) -> Result[int, Fault | RedirectTo]:
        """Commit the evacuation of a zone or its revocation; return the order's revision."""
        order = ZoneOrder(
            zone=zone,
            is_evacuated=is_evacuated,
            seen_revision=self._store.evacuations.find(zone).revision,
            at=time.time(),
        )
        outcome = self._submit(order)
        self._log_change("evacuation_ordered", order, outcome)
        return outcome

    def read_evacuations(self) -> Result[Evacuations, Fault | RedirectTo]:
        """Return the zone orders in force, confirmed by a quorum; a follower redirects."""
        if not self._host.is_leader:
            return Error(self._redirect())
        return self._confirm().map(lambda version: self._store.evacuations)

    def quarantine_request(self, order: QuarantineOrder) -> Result[int, Fault | RedirectTo]:
        """Commit the quarantine of a request and return the quarantine's revision."""
        outcome = self._submit(order)
        self._log_change("quarantine_ordered", order, outcome)
        return outcome

    def release_request(self, fingerprint: bytes) -> Result[int, Fault | RedirectTo]:
        """Commit the release of a request and return the quarantine's revision."""
        order = ReleaseOrder(fingerprint=fingerprint)
        outcome = self._submit(order)
        self._log_change("quarantine_release_ordered", order, outcome)
        return outcome

    def read_quarantine(self) -> Result[Quarantine, Fault | RedirectTo]:
        """Return the quarantine, confirmed by a quorum; a follower redirects."""
        if not self._host.is_leader:
            return Error(self._redirect())
        return self._confirm().map(lambda version: self._store.quarantine)

    def _submit(self, command: Command) -> Result[int, Fault | RedirectTo]:
        if self._is_stopping:
            return Error(make_stopping())
        if self._host.is_leader:
            return self._commit(command)
        data = encode_command(command)
        return self._request_from_leader(
            lambda number: ForwardProposal(number=number, data=data), no_answer=make_unknown()
        )

    def read(self) -> Result[StoredDocument, Fault | RedirectTo]:
        """Return the newest document after a quorum has confirmed its version.

        Large documents are redirected to a router that has them.
        """
        if self._host.is_leader:
            newest = self._confirm()
        else:
            newest = self._request_from_leader(
                lambda number: ForwardRead(number=number), no_answer=_make_no_leader()
            )
        held = self._store.current.version
        self._log("configuration_read", newest, version=held, held=held)
        if newest.is_error():
            return Error(newest.error)
        if not newest.ok:
            return Error(make_unavailable("no_configuration", "no configuration is committed yet"))
        if not self._wait_until_applied(newest.ok):
            return Error(make_unavailable("behind", "this replica lacks the newest version yet"))
        return self._serve_document(self._store.current)

    def _serve_document(
        self, document: StoredDocument
    ) -> Result[StoredDocument, Fault | RedirectTo]:
        """Return a document, or a redirect to a router that has it if it is large.

        Routers have more bandwidth: 480 kB for 1,600 routes take 1.3 s on a replica's link
        of 3 Mbit/s, longer than operators wait.
        """
        if not self._is_large(len(unpack_document(document.payload))):
            return Ok(document)
        readers = self._list_readers(document.version)
        if not readers:
            return Ok(document)
        return Error(RedirectTo(address=random.choice(readers), min_version=document.version))

    def _is_large(self, size: int) -> bool:
        rate = self._get_link_rate()
        return size > LARGE_DOCUMENT_BYTES or (
            rate is not None and size > rate * MAX_DOCUMENT_SEND_S
        )

    def _log_change(
        self, event: str, command: Command, outcome: Result[int, Fault | RedirectTo]
    ) -> None:
        if isinstance(command, StoredDocument):
            self._log(event, outcome, version=command.version, held=self._store.current.version)
            return
        if isinstance(command, ZoneOrder):
            self._log(
                event,
                outcome,
                zone=command.zone,
                is_evacuated=command.is_evacuated,
                seen_revision=command.seen_revision,
            )
            return
        self._log(event, outcome, fingerprint=command.fingerprint.hex())

    def _log(
        self, event: str, outcome: Result[int, Fault | RedirectTo], **fields: str | int
    ) -> None:
        self._events.write(
            event, **fields, leads=self._host.is_leader, **_describe_outcome(outcome)
        )

    def _wait_until_applied(self, version: int) -> bool:
        ends_at = time.monotonic() + APPLY_WAIT_S
        while self._store.current.version < version and time.monotonic() < ends_at:
            gevent.sleep(_POLL_S)
        return self._store.current.version >= version

    # At the leader

    def _commit(self, command: Command) -> Result[int, Fault | RedirectTo]:
        replica = self._host.replica
        if replica is None:
            return Error(self._redirect())
        if self._is_bootstrapping():
            return Error(make_unavailable("founding", "not all replicas have joined yet"))
        if isinstance(command, StoredDocument) and command.version <= self._store.current.version:
            # A resend or an older version changes nothing, so the log needs no entry.
            return self._confirm()
        result = replica.propose(encode_command(command), timeout_s=PROPOSE_TIMEOUT_S)
        if result.is_error():
            return Error(self._redirect_after(result.error))
        return _decode_outcome(command, result.ok)

    def _confirm(self) -> Result[int, Fault | RedirectTo]:
        """Return the version in force after a quorum has confirmed this replica as leader."""
        replica = self._host.replica
        if replica is None:
            return Error(self._redirect())
        confirmed = replica.confirm_read(timeout_s=READ_TIMEOUT_S)
        if confirmed.is_error():
            return Error(self._redirect_after(confirmed.error))
        return Ok(self._store.current.version)

    def _is_bootstrapping(self) -> bool:
        if self._store.current.version or self._host.has_all_voters:
            return False
        return time.monotonic() - self._host.leads_since < BOOTSTRAP_GRACE_S

    # At a follower

    def _request_from_leader(
        self, make_call: Callable[[int], ForwardProposal | ForwardRead], *, no_answer: Fault
    ) -> Result[int, Fault | RedirectTo]:
        """Return the leader's answer; ``no_answer`` if none comes and no other replica leads."""
        leader = self._host.get_leader()
        if not leader or leader == self._instance_id:
            return Error(self._redirect())
        answer = self._pending.request(
            lambda number: self._send(leader, make_call(number)), timeout_s=FORWARD_TIMEOUT_S
        )
        if answer is None:
            redirect = self._redirect()
            return Error(redirect if isinstance(redirect, RedirectTo) else no_answer)
        if answer.verdict is Verdict.UNKNOWN:
            return Error(make_unknown())
        if answer.verdict is Verdict.REFUSED:
            return Error(make_unavailable("leader_failed", "the leader could not execute the call"))
        return Ok(answer.revision)

    def _redirect(self) -> Fault | RedirectTo:
        leader = self._host.get_leader()
        if not leader or leader == self._instance_id:
            return _make_no_leader()
        host = leader.rpartition(":")[0]
        return RedirectTo(address=f"{host}:{self._control_port}")

    def _redirect_after(self, fault: Fault) -> Fault | RedirectTo:
        return self._redirect() if isinstance(fault, NotLeaderFault) else fault

    # Messages

    def handle_message(self, source: str, message: Message) -> bool:
        """Handle a message of another replica; return whether it was about documents."""
        if isinstance(message, ForwardProposal | ForwardRead):
            gevent.spawn(self._answer, source, message)
            return True
        if not isinstance(message, ProposalAnswer):
            return False
        self._pending.handle_answer(message.number, message)
        return True

    def _answer(self, source: str, call: ForwardProposal | ForwardRead) -> None:
        self.forwarded_count += 1
        try:
            self._execute_and_answer(source, call)
        finally:
            self.forwarded_count -= 1

    def _execute_and_answer(self, source: str, call: ForwardProposal | ForwardRead) -> None:
        outcome = self._execute(call)
        answer = ProposalAnswer(
            number=call.number,
            verdict=_choose_verdict(outcome),
            revision=outcome.ok if outcome.is_ok() else 0,
        )
        self._send(source, answer)

    def _execute(self, call: ForwardProposal | ForwardRead) -> Result[int, Fault | RedirectTo]:
        if self._is_stopping:
            return Error(make_stopping())
        if not self._host.is_leader:
            return Error(self._redirect())
        if isinstance(call, ForwardRead):
            return self._confirm()
        command = decode_command(call.data)
        outcome = self._commit(command)
        self._log_change(_FORWARDED_EVENTS[type(command)], command, outcome)
        return outcome


def _make_not_in_force() -> Fault:
    """Return the fault for a change that is committed but not in force on all routers yet."""
    return Fault(
        code="not_in_force",
        message="the change is committed; send it again until all routers have it",
        status=503,
        ran=Ran.YES,
        retry_after_s=_RETRY_S,
    )


def _make_no_leader() -> Fault:
    return make_unavailable("no_leader", "no replica leads at the moment")


def _choose_verdict(outcome: Result[int, Fault | RedirectTo]) -> Verdict:
    if outcome.is_ok():
        return Verdict.ACCEPTED
    if isinstance(outcome.error, Fault) and outcome.error.ran is not Ran.NO:
        return Verdict.UNKNOWN
    return Verdict.REFUSED


def _describe_outcome(outcome: Result[int, Fault | RedirectTo]) -> dict[str, str | int]:
    """Return the log fields of an outcome; on-call engineers search for ``code``."""
    if outcome.is_ok():
        return {"outcome": "done", "code": "", "revision": outcome.ok}
    if isinstance(outcome.error, RedirectTo):
        return {"outcome": "referred", "code": "elsewhere", "address": outcome.error.address}
    return {"outcome": "failed", "code": outcome.error.code, "detail": outcome.error.message}


def _decode_outcome(command: Command, data: bytes) -> Result[int, Fault | RedirectTo]:
    if isinstance(command, StoredDocument):
        return Ok(decode_as(PutOutcome, data).version)
    if not isinstance(command, ZoneOrder):
        return Ok(decode_as(QuarantineOutcome, data).revision)
    outcome = decode_as(OrderOutcome, data)
    if outcome.is_in_force:
        return Ok(outcome.revision)
    return Error(make_unavailable("overtaken", "a newer order for this zone came first"))
