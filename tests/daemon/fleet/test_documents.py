"""Operators' calls at replicas that lead and at those that follow."""

import unittest
from typing import Any, cast
from unittest import mock

import gevent
from expression import Error, Ok, Result

from chivetrack.components.document.store import (
    DocumentStore,
    StoredDocument,
    pack_document,
    unpack_document,
)
from chivetrack.components.replica.models import NotLeaderFault
from chivetrack.daemon.fleet import documents as documents_module
from chivetrack.daemon.fleet.documents import DocumentDesk
from chivetrack.daemon.fleet.log_host import LogHost
from chivetrack.exceptions import Fault
from chivetrack.helpers.codec import Message, decode_as
from chivetrack.helpers.events import EventLog
from chivetrack.platform.control_api import RedirectTo
from tests.components.traffic.documents import make_document

BODY = b'{"version":5}'


class Log:
    """Three replicas whose state machines apply what the leader commits."""

    def __init__(self) -> None:
        self.leader = "p1:1"
        self.believed_leader = "p1:1"
        self.is_quorate = True
        self.behind: set[str] = set()
        self.readers: list[str] = []
        self.lost: set[tuple[str, str]] = set()
        self.index = 0
        self.nodes = {name: Node(name, self) for name in ("p1:1", "p2:1", "p3:1")}

    def commit(self, data: bytes) -> bytes:
        self.index += 1
        results = {
            name: node.store.apply(self.index, data)
            for name, node in self.nodes.items()
            if name not in self.behind
        }
        return results[self.leader]


class Node:
    """A replica: its desk, its state machine, and the part of ``LogHost`` that a desk uses."""

    def __init__(self, name: str, log: Log) -> None:
        self.name = name
        self.log = log
        self.store = DocumentStore()
        self.has_all_voters = True
        self.leads_since = 0.0
        self.replica = self
        self.desk = DocumentDesk(
            instance_id=name,
            control_port=9,
            host=cast(LogHost, self),
            store=self.store,
            send=self.send,
            list_readers=lambda version: [f"{one}:{version}" for one in self.log.readers],
            events=EventLog(instance=name),
        )

    @property
    def is_leader(self) -> bool:
        return self.log.leader == self.name

    def get_leader(self) -> str:
        return self.log.believed_leader

    def propose(self, data: bytes, *, timeout_s: float) -> Result[bytes, Any]:
        return Ok(self.log.commit(data)) if self.log.is_quorate else Error(make_lost())

    def confirm_read(self, *, timeout_s: float) -> Result[int, Any]:
        return Ok(1) if self.log.is_quorate else Error(make_lost())

    def send(self, target: str, message: Message) -> None:
        if (self.name, target) not in self.log.lost:
            gevent.spawn(self.log.nodes[target].desk.take, self.name, message)

    def put(self, version: int, body: bytes = BODY) -> Result[int, Fault | RedirectTo]:
        return self.desk.put(make_document(version), body)


def make_lost() -> Fault:
    return Fault(code="timeout", message="no quorum", status=503)


class DeskCase(unittest.TestCase):
    def setUp(self) -> None:
        self.log = Log()
        self.first, self.second, self.third = self.log.nodes.values()
        self.addCleanup(setattr, documents_module, "FORWARD_TIMEOUT_S", 0.7)
        documents_module.FORWARD_TIMEOUT_S = 0.1  # type: ignore[misc]

    def read(self, node: Node) -> bytes:
        outcome = node.desk.read()
        assert outcome.is_ok(), outcome
        return unpack_document(outcome.ok.payload)


class DocumentDeskTest(DeskCase):
    def test_operator_is_served_at_any_replica(self) -> None:
        """The operator sends 480 kB to a follower, on links of 3 Mbit/s.

        Referred to the leader, it sent them again, 1.3 s each time, and gave up before the
        answer. The follower hands the packed document on and acknowledges it itself.
        """
        self.assertEqual(self.second.put(5).ok, 5)
        for node in self.log.nodes.values():
            self.assertEqual(self.read(node), BODY)

    def test_resend_and_older_version_change_nothing(self) -> None:
        """The acknowledgement was lost; the same change comes again, at another replica.

        It is acknowledged. Other content under the version held must never be in force.
        """
        self.second.put(5)
        self.assertEqual(self.third.put(5, b'{"other":1}').ok, 5)
        self.assertEqual(self.third.put(3).ok, 5)
        self.assertEqual(self.read(self.third), BODY)

    def test_follower_that_lags_gives_no_older_document(self) -> None:
        """A follower has not applied the newest version, which the leader tells it of.

        What it holds would be an older one than was acknowledged; it says 503 instead.
        """
        self.first.put(5)
        self.log.behind = {"p3:1"}
        self.first.put(7, b'{"version":7}')
        outcome = self.third.desk.read()
        assert outcome.is_error() and isinstance(outcome.error, Fault)
        self.assertEqual((outcome.error.code, outcome.error.status), ("behind", 503))
        late = StoredDocument(version=7, payload=pack_document(b'{"version":7}'))
        gevent.spawn_later(0.1, self.third.store.restore_snapshot, encode_stored(late))
        self.assertEqual(self.read(self.third), b'{"version":7}')

    def test_leader_that_is_cut_off_from_the_follower(self) -> None:
        """The follower believes in a leader that does not answer it.

        The operator may still reach that one and is referred to it.
        """
        self.log.lost = {("p2:1", "p1:1")}
        outcome = self.second.put(5)
        self.assertEqual(outcome.error, RedirectTo(address="p1:9"))
        self.assertEqual(self.second.desk.read().error, RedirectTo(address="p1:9"))

    def test_leader_without_a_quorum_acknowledges_nothing(self) -> None:
        self.log.is_quorate = False
        for node in (self.first, self.second):
            for outcome in (node.put(5), node.desk.read()):
                assert outcome.is_error() and isinstance(outcome.error, Fault)
                self.assertEqual(outcome.error.status, 503)

    def test_replica_that_does_not_lead_any_more(self) -> None:
        """A follower asks the leader of before; that one must not answer for the log."""
        self.first.put(5)
        self.log.leader = "p3:1"
        outcome = self.second.desk.read()
        assert outcome.is_error() and isinstance(outcome.error, Fault)
        self.assertEqual(outcome.error.code, "leader_failed")

    def test_large_document_is_read_at_a_router(self) -> None:
        """1,600 routes are 480 kB, which take 1.3 s on a replica's link of 3 Mbit/s.

        The operator gives up after a second, at every replica in turn. A router that holds
        the version has a wider link; without one the replica answers itself.
        """
        large = b"{" + b"x" * 480_000 + b"}"
        self.first.put(5, large)
        self.assertEqual(self.read(self.second), large)
        self.log.readers = ["r1"]
        for node in (self.first, self.second):
            refusal = node.desk.read().error
            self.assertEqual(refusal, RedirectTo(address="r1:5", min_version=5))
        self.first.put(7)
        self.assertEqual(self.read(self.second), BODY)

    def test_nobody_leads(self) -> None:
        self.log.leader = self.log.believed_leader = ""
        outcome = self.second.put(5)
        assert outcome.is_error() and isinstance(outcome.error, Fault)
        self.assertEqual(outcome.error.code, "no_leader")

    def test_founding_waits_for_all_voters(self) -> None:
        self.first.has_all_voters = False
        self.first.leads_since = float("inf")
        for node in (self.first, self.second):
            self.assertTrue(node.put(5).is_error())

    def test_not_leader_fault_refers_to_the_new_leader(self) -> None:
        self.log.believed_leader = "p3:1"
        fault = NotLeaderFault(code="not_leader", message="", status=503)
        self.first.propose = lambda data, *, timeout_s: Error(fault)  # type: ignore[method-assign]
        self.assertEqual(self.first.put(5).error, RedirectTo(address="p3:9"))


class OutcomeLineTest(DeskCase):
    def test_lines_have_the_code_of_a_failure(self) -> None:
        """Guards against failures that on-call can't search for by their code."""
        self.log.is_quorate = False
        with mock.patch.object(EventLog, "write") as write:
            self.first.put(5)
        fields = write.call_args.kwargs
        self.assertEqual((fields["outcome"], fields["code"]), ("failed", "timeout"))
        self.assertEqual(fields["detail"], "no quorum")


class ZoneOrderTest(DeskCase):
    def order(self, node: Node, *, is_evacuated: bool = True) -> Result[int, Fault | RedirectTo]:
        return node.desk.order("z1", is_evacuated=is_evacuated)

    def test_order_is_served_at_any_replica(self) -> None:
        self.assertEqual(self.order(self.second).ok, 1)
        self.assertEqual(self.order(self.third).ok, 1)
        for node in self.log.nodes.values():
            self.assertEqual(node.store.evacuations.list_evacuated(), ("z1",))
        self.assertTrue(self.order(self.third, is_evacuated=False).is_ok())
        self.assertEqual(self.first.desk.read_evacuations().ok.list_evacuated(), ())

    def test_order_from_a_replica_that_lags(self) -> None:
        """A replica that missed the withdrawal hands on a resend of the first order.

        The resend is refused as one that may pass later, and changes nothing.
        """
        self.order(self.first)
        self.log.behind = {"p3:1"}
        self.order(self.first, is_evacuated=False)
        outcome = self.order(self.third)
        assert outcome.is_error() and isinstance(outcome.error, Fault)
        self.assertEqual(outcome.error.status, 503)
        self.assertEqual(self.first.store.evacuations.list_evacuated(), ())

    def test_what_may_pass_by_waiting_is_unavailable(self) -> None:
        """Without a leader, a quorum or all voters, operators are told to come again."""
        for name, value in (("is_quorate", False), ("leader", "")):
            with self.subTest(name=name):
                self.setUp()
                setattr(self.log, name, value)
                self.log.believed_leader = self.log.leader
                for node in (self.first, self.second):
                    outcome = self.order(node)
                    assert outcome.is_error() and isinstance(outcome.error, Fault)
                    self.assertEqual(outcome.error.status, 503)
        self.assertEqual(self.third.desk.read_evacuations().is_error(), True)


def encode_stored(document: StoredDocument) -> bytes:
    store = DocumentStore()
    store.current = document
    data = store.take_snapshot()
    assert decode_as(StoredDocument, data) == document
    return data
