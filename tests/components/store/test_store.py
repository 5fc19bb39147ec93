"""Tests of the store: outcomes of commands, resends, leases, claims and snapshots."""

import unittest
from typing import Any

import msgspec

from chivetrack.components.store import const
from chivetrack.components.store.claims import ClaimTable
from chivetrack.components.store.clock import ProposerClock
from chivetrack.components.store.commands import (
    AbandonClaim,
    AcquireLease,
    AddFinalizer,
    Claim,
    Command,
    Create,
    Delete,
    FinishClaim,
    Patch,
    ReleaseLease,
    RemoveFinalizer,
    RenewLease,
    Replace,
    ReportClaimUnknown,
    Stamp,
    UpdateStatus,
)
from chivetrack.components.store.history import History
from chivetrack.components.store.outcomes import (
    ClaimAnswer,
    ClaimState,
    LeaseAnswer,
    LeaseState,
    Refused,
    Written,
)
from chivetrack.components.store.records import Change, Label, Record
from chivetrack.components.store.requests import CompletedRequest, CompletedRequests
from chivetrack.components.store.store import Store, StoreError
from chivetrack.helpers.codec import pack, unpack

NOW = Stamp(1000)
SPEC_1 = msgspec.msgpack.encode({"rate": 1})
SPEC_2 = msgspec.msgpack.encode({"rate": 2})
STATUS = msgspec.msgpack.encode({"left": 3})


class StoreTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.store = Store()
        self.index = 0

    def apply(self, command: Command) -> Any:
        self.index += 1
        return unpack(self.store.apply(self.index, pack(command)))

    def reload(self) -> None:
        data = self.store.take_snapshot()
        self.store = Store()
        self.store.restore_snapshot(data)
        self.assertEqual(self.store.take_snapshot(), data)


class ResourceTest(StoreTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.apply(Create(NOW, "workspace", "a", SPEC_1))
        self.apply(Create(NOW, "drain", "d", SPEC_1, (), ("drain-controller",)))

    def test_refusals_change_nothing(self) -> None:
        self.apply(Delete(NOW, "drain", "d"))
        large = bytes(const.MAX_SPEC_BYTES + 1)
        bad_patch = msgspec.msgpack.encode({"spec": 3})
        table = [
            (Create(NOW, "workspace", "a", SPEC_2), "already_exists"),
            (Create(NOW, "workspace", "b", large), "too_large"),
            (Replace(NOW, "workspace", "b", SPEC_2), "not_found"),
            (Replace(NOW, "workspace", "a", SPEC_2, (), 0), "conflict"),
            (Replace(NOW, "workspace", "a", SPEC_2, (), 99), "conflict"),
            (Replace(NOW, "workspace", "a", large), "too_large"),
            (Replace(NOW, "drain", "d", SPEC_2), "deleting"),
            (Patch(NOW, "workspace", "a", bad_patch, 1), "invalid_patch"),
            (Patch(NOW, "workspace", "a", b"\xc1", 1), "invalid_patch"),
            (Patch(NOW, "workspace", "a", SPEC_2, 0), "conflict"),
            (Patch(NOW, "workspace", "b", SPEC_2, 1), "not_found"),
            (UpdateStatus(NOW, "workspace", "a", large), "too_large"),
            (UpdateStatus(NOW, "workspace", "a", STATUS, 99), "conflict"),
            (UpdateStatus(NOW, "workspace", "b", STATUS), "not_found"),
            (Delete(NOW, "workspace", "a", 0), "conflict"),
            (Delete(NOW, "workspace", "b"), "not_found"),
            (AddFinalizer(NOW, "drain", "d", "other"), "deleting"),
            (RemoveFinalizer(NOW, "workspace", "b", "other"), "not_found"),
        ]
        before = self.store.revision
        for command, code in table:
            with self.subTest(command=command):
                outcome = self.apply(command)
                assert isinstance(outcome, Refused), outcome
                self.assertEqual(outcome.code, code)
                self.assertEqual(self.store.revision, before)
                if code in ("conflict", "already_exists"):
                    self.assertEqual(outcome.current, self.store.table.get(command.kind, "a"))

    def test_two_operators_with_the_same_revision(self) -> None:
        """Both operators read revision 1 and write; the first write is accepted.

        The second write must be refused and return the record of the first. Without the
        precondition it would silently overwrite the first.
        """
        first = self.apply(Replace(NOW, "workspace", "a", SPEC_2, (), 1))
        second = self.apply(Replace(NOW, "workspace", "a", SPEC_1, (Label("x", "y"),), 1))
        self.assertIsInstance(first, Written)
        self.assertEqual(second.code, "conflict")
        self.assertEqual(second.current, first.record)

    def test_status_does_not_fail_an_operators_precondition(self) -> None:
        self.apply(UpdateStatus(NOW, "workspace", "a", STATUS))
        written = self.apply(Replace(NOW, "workspace", "a", SPEC_2, (), 1))
        assert isinstance(written, Written) and written.record is not None
        self.assertEqual((written.record.status, written.record.generation), (STATUS, 2))

    def test_the_same_content_makes_no_revision(self) -> None:
        written = self.apply(Replace(NOW, "workspace", "a", SPEC_1))
        self.assertEqual((written.revision, self.store.revision), (1, 2))

    def test_patch_merges(self) -> None:
        patch = {"spec": {"rate": None, "policy": "p"}, "labels": {"team": "blue"}}
        written = self.apply(Patch(NOW, "workspace", "a", msgspec.msgpack.encode(patch), 1))
        self.assertEqual(msgspec.msgpack.decode(written.record.spec), {"policy": "p"})
        self.assertEqual(written.record.labels, (Label("team", "blue"),))

    def test_deletion_waits_for_finalizers(self) -> None:
        marked = self.apply(Delete(NOW, "drain", "d", 2))
        self.assertEqual((marked.record.deleting_ms, marked.record.generation), (1000, 2))
        again = self.apply(Delete(NOW, "drain", "d"))
        self.assertEqual(again.revision, marked.revision)
        gone = self.apply(RemoveFinalizer(NOW, "drain", "d", "drain-controller"))
        self.assertIsNone(gone.record)
        self.assertIsNone(self.store.table.get("drain", "d"))

    def test_resend_gets_the_first_outcome(self) -> None:
        """The answer to a create is lost, and the resource is deleted in the meantime.

        The caller resends with the same request id to a replica that was restored from a
        snapshot. It must receive the first outcome, and nothing may be created again.
        """
        command = Create(Stamp(1000, "r1"), "limit", "l", SPEC_1)
        first = self.apply(command)
        self.apply(Delete(NOW, "limit", "l"))
        self.reload()
        later = msgspec.structs.replace(command, stamp=Stamp(2000, "r1"))
        self.assertEqual(self.apply(later), first)
        self.assertIsNone(self.store.table.get("limit", "l"))

    def test_request_id_with_another_body_is_refused(self) -> None:
        self.apply(Create(Stamp(1000, "r1"), "limit", "l", SPEC_1))
        self.reload()
        outcome = self.apply(Create(Stamp(1000, "r1"), "limit", "m", SPEC_1))
        self.assertEqual(outcome.code, "request_id_reused")
        self.assertIsNone(self.store.table.get("limit", "m"))

    def test_completed_requests_are_bounded(self) -> None:
        memory = CompletedRequests(max_requests=3, max_bytes=1000, max_age_ms=10)
        for number in range(5):
            memory.record(CompletedRequest(str(number), b"", number, b""))
        self.assertEqual([request.request_id for request in memory.export()], ["2", "3", "4"])
        memory.expire(14)
        self.assertEqual([request.request_id for request in memory.export()], ["4"])
        memory.record(CompletedRequest("5", b"", 14, bytes(700)))
        self.assertEqual([request.request_id for request in memory.export()], ["5"])

    def test_history_is_bounded(self) -> None:
        history = History(max_changes=10, max_bytes=100_000)
        record = Record(name="a", revision=1, spec=bytes(90_000), spec_revision=1, created_ms=0)
        history.extend(Change(revision, "limit", "a") for revision in range(1, 12))
        self.assertEqual((len(history), history.compaction_revision), (9, 2))
        self.assertIsNone(history.list_after(1))
        self.assertEqual(len(history.list_after(2) or ()), 9)
        self.assertEqual([c.revision for c in history.list_after(9) or ()], [10, 11])
        history.extend([Change(12, "limit", "a", record), Change(13, "limit", "a", record)])
        self.assertEqual((len(history), history.compaction_revision), (0, 13))


class LogTest(StoreTestCase):
    def test_invalid_entries_and_snapshots_are_refused(self) -> None:
        self.apply(Create(NOW, "workspace", "a", SPEC_1))
        old = Store().take_snapshot()
        table = [
            ("an index again", lambda: self.store.apply(1, pack(Delete(NOW, "w", "a")))),
            ("no command", lambda: self.store.apply(2, pack(Written("k", "n", 1)))),
            ("damaged bytes", lambda: self.store.apply(2, b"\xc1")),
            ("an older snapshot", lambda: self.store.restore_snapshot(old)),
            ("no snapshot", lambda: self.store.restore_snapshot(pack(Written("k", "n", 1)))),
            ("damaged snapshot", lambda: self.store.restore_snapshot(b"\xc1")),
        ]
        for name, call in table:
            with self.subTest(name), self.assertRaises(StoreError):
                call()
        self.assertEqual(self.store.revision, 1)

    def test_clock_never_goes_back(self) -> None:
        for time_ms, expected in [(50, 50), (20, 50), (70, 70)]:
            self.apply(Delete(Stamp(time_ms), "workspace", "none"))
            self.assertEqual(self.store.time_ms, expected)

    def test_proposer_clock_continues_from_the_stores_clock(self) -> None:
        """The clock of the previous leader was an hour ahead; that of the new one is right.

        If the new leader used its own time, the store's clock would stop for an hour, and
        no lease would expire.
        """
        clock = ProposerClock(store_time_ms=3_600_000, wall_time_ms=0, now=10.0)
        self.assertEqual(clock.read(11.5), 3_601_500)


class LeaseTest(StoreTestCase):
    def test_states_of_a_lease(self) -> None:
        held, other, free = LeaseState.HELD, LeaseState.HELD_BY_OTHER, LeaseState.FREE
        table = [
            (AcquireLease(Stamp(0), "c", "a#1", 100), held, 1),
            (AcquireLease(Stamp(10), "c", "a#1", 100), held, 1),
            (AcquireLease(Stamp(20), "c", "b#1", 100), other, 1),
            (RenewLease(Stamp(20), "c", "b#1", 1, 100), other, 1),
            (RenewLease(Stamp(20), "c", "a#1", 9, 100), other, 1),
            (RenewLease(Stamp(100), "c", "a#1", 1, 100), held, 1),
            (ReleaseLease(Stamp(100), "c", "b#1", 1), other, 1),
            (RenewLease(Stamp(200), "c", "a#1", 1, 100), free, 0),
            (AcquireLease(Stamp(200), "c", "b#1", 100), held, 2),
            (ReleaseLease(Stamp(201), "c", "b#1", 2), free, 0),
            (AcquireLease(Stamp(202), "c", "b#1", 100), held, 3),
        ]
        for number, (command, state, fencing) in enumerate(table):
            with self.subTest(number):
                answer = self.apply(command)
                assert isinstance(answer, LeaseAnswer)
                self.assertEqual((answer.state, answer.fencing), (state, fencing))
                self.reload()

    def test_late_renewal_does_not_shorten(self) -> None:
        self.apply(AcquireLease(Stamp(0), "c", "a", 1000))
        answer = self.apply(RenewLease(Stamp(0), "c", "a", 1, 10))
        self.assertEqual(answer.expires_ms, 1000)

    def test_frozen_controller_is_fenced(self) -> None:
        """A controller is frozen until its lease has expired; another one takes over.

        The first one resumes with a write that it had decided on before. It must be
        refused, or a drain that its successor has ended would be restored.
        """
        self.apply(Create(NOW, "drain", "d", SPEC_1))
        old = self.apply(AcquireLease(Stamp(1000), "drains", "a", 100)).fencing
        new = self.apply(AcquireLease(Stamp(1100), "drains", "b", 100)).fencing
        for time_ms, fencing, accepted in [
            (1150, new, True),
            (1160, old, False),
            (1300, new, False),
        ]:
            stamp = Stamp(time_ms, lease="drains", fencing=fencing)
            status = msgspec.msgpack.encode(time_ms)
            outcome = self.apply(UpdateStatus(stamp, "drain", "d", status))
            self.assertEqual(isinstance(outcome, Written), accepted, time_ms)


class ClaimTest(StoreTestCase):
    def claim(self, holder: str, *, time_ms: int = 0, fingerprint: bytes = b"f") -> ClaimAnswer:
        answer = self.apply(Claim(Stamp(time_ms), "w", "k", fingerprint, holder, 1000))
        assert isinstance(answer, ClaimAnswer)
        return answer

    def test_states(self) -> None:
        stamp = Stamp(10)
        abandon = AbandonClaim(stamp, "w", "k", 1)
        unknown = ReportClaimUnknown(stamp, "w", "k", 1)
        finish = FinishClaim(stamp, "w", "k", 1, 200, "text/plain", b"x")
        late = 1000
        table: list[tuple[str, list[Command], int, str, ClaimState]] = [
            ("second holder", [], 20, "b", ClaimState.IN_PROGRESS),
            ("resent by the holder", [], 20, "a", ClaimState.GRANTED),
            ("holder timed out", [], late, "b", ClaimState.UNKNOWN),
            ("holder itself too late", [], late, "a", ClaimState.UNKNOWN),
            ("reported", [unknown], 20, "b", ClaimState.UNKNOWN),
            ("abandoned", [abandon], 20, "b", ClaimState.GRANTED),
            ("finished", [finish], 20, "b", ClaimState.FINISHED),
            ("finished, then abandoned", [finish, abandon], 20, "b", ClaimState.FINISHED),
            ("finished, then unknown", [finish, unknown], 20, "b", ClaimState.FINISHED),
            ("unknown, finished late", [unknown, finish], 20, "b", ClaimState.FINISHED),
            ("window over", [finish], const.CLAIM_WINDOW_MS, "b", ClaimState.GRANTED),
        ]
        for name, reports, time_ms, holder, state in table:
            with self.subTest(name):
                self.setUp()
                self.assertEqual(self.claim("a").grant, 1)
                for report in reports:
                    self.apply(report)
                self.reload()
                answer = self.claim(holder, time_ms=time_ms)
                self.assertEqual(answer.state, state)
                if state is ClaimState.FINISHED:
                    self.assertEqual((answer.status, answer.body), (200, b"x"))

    def test_other_body_under_the_key(self) -> None:
        self.claim("a")
        answer = self.claim("b", fingerprint=b"g")
        self.assertEqual(answer.state, ClaimState.FINGERPRINT_MISMATCH)

    def test_late_abandon_does_not_free_the_next_claim(self) -> None:
        """Router a abandons its claim, b is granted the key, then a's report arrives again.

        If the copy removed the claim of b, c would be granted the key too, and the request
        would be executed and billed twice.
        """
        self.claim("a")
        report = AbandonClaim(Stamp(1), "w", "k", 1)
        self.apply(report)
        self.assertEqual(self.claim("b").grant, 2)
        self.assertEqual(self.apply(report).state, ClaimState.NOT_HELD)
        self.assertEqual(self.claim("c").state, ClaimState.IN_PROGRESS)

    def test_body_too_large_is_not_kept(self) -> None:
        self.claim("a")
        body = bytes(const.MAX_CLAIM_BODY_BYTES + 1)
        self.apply(FinishClaim(Stamp(1), "w", "k", 1, 200, "", body))
        answer = self.claim("b")
        self.assertEqual((answer.state, answer.body_kept), (ClaimState.FINISHED, False))

    def test_bounds(self) -> None:
        table = ClaimTable(max_per_workspace=3, max_body_bytes=10)
        for number in range(3):
            table.claim(Claim(NOW, "w", str(number), b"f", "a", 1000), time_ms=number)
        refused = table.claim(Claim(NOW, "w", "3", b"f", "a", 1000), time_ms=3)
        assert isinstance(refused, Refused)
        self.assertEqual(refused.code, "claims_exhausted")
        for grant in (3, 2, 1):
            table.finish(FinishClaim(NOW, "w", str(grant - 1), grant, 200, "", bytes(4)))
        kept = [record.body_kept for record in table.export()]
        self.assertEqual(kept, [False, True, True])
        table.expire(const.CLAIM_WINDOW_MS + 1)
        self.assertEqual([record.key for record in table.export()], ["2"])
