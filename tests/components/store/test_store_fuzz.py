"""Stateful fuzzing of the store, compared with a simple model."""

from dataclasses import dataclass, replace
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from chivetrack.components.store import const
from chivetrack.components.store.commands import (
    AbandonClaim,
    AcquireLease,
    Claim,
    Command,
    Create,
    Delete,
    FinishClaim,
    RemoveFinalizer,
    Replace,
    ReportClaimUnknown,
    Stamp,
    UpdateStatus,
)
from chivetrack.components.store.outcomes import ClaimAnswer, ClaimState, Refused, Written
from chivetrack.components.store.store import Store
from chivetrack.helpers.codec import pack, unpack
from tests.components.store.fuzzing import make_settings

NAMES = st.sampled_from(["a", "b", "c"])
VALUES = st.binary(min_size=1, max_size=1)


@dataclass(frozen=True)
class Expected:
    """Expected state of one resource, according to the model."""

    spec: bytes
    spec_revision: int
    status: bytes = b""
    status_revision: int = 0
    finalizers: tuple[str, ...] = ()
    deleting: bool = False


class Replicas:
    """Two stores with the same log; the second is replaced by snapshots of the first."""

    def __init__(self) -> None:
        self.first = Store()
        self.second = Store()
        self.index = 0
        self.time_ms = 0

    def apply(self, command: Command) -> Any:
        self.index += 1
        data = pack(command)
        outcome = self.first.apply(self.index, data)
        assert self.second.apply(self.index, data) == outcome, "replicas differ"
        return unpack(outcome)

    def restore(self) -> None:
        snapshot = self.first.take_snapshot()
        self.second = Store()
        self.second.restore_snapshot(snapshot)
        assert self.second.take_snapshot() == snapshot
        self.first, self.second = self.second, self.first


class ResourceMachine(RuleBasedStateMachine):
    """Writes, resends and restores; every outcome is compared with the model."""

    def __init__(self) -> None:
        super().__init__()
        self.replicas = Replicas()
        self.resources: dict[str, Expected] = {}
        self.revision = 0
        self.sent: list[tuple[Command, Any]] = []
        self.revisions: list[int] = []

    def send(self, command: Command, code: str | None, change: Expected | None = None) -> None:
        """Apply a command that the model accepts (``code`` is ``None``) or refuses."""
        before = self.replicas.first.revision
        outcome = self.replicas.apply(command)
        self.sent.append((command, outcome))
        if code is not None:
            assert isinstance(outcome, Refused), outcome
            assert outcome.code == code
            assert self.replicas.first.revision == before
            if code == "conflict":
                assert outcome.current is not None
                assert outcome.current.spec == self.resources[outcome.current.name].spec
            return
        assert isinstance(outcome, Written), outcome
        name = outcome.name
        if change == self.resources.get(name):
            assert self.replicas.first.revision == before
            return
        self.revision += 1
        assert outcome.revision == self.revision == before + 1
        self.revisions.append(outcome.revision)
        if change is None:
            del self.resources[name]
        else:
            self.resources[name] = change

    def stamp(self) -> Stamp:
        self.replicas.time_ms += 1
        return Stamp(self.replicas.time_ms, f"r{len(self.sent)}")

    def choose_revision(self, back: int | None) -> int | None:
        return None if back is None else max(0, self.revision - back)

    @rule(name=NAMES, spec=VALUES, finalizers=st.sampled_from([(), ("f",)]))
    def create(self, name: str, spec: bytes, finalizers: tuple[str, ...]) -> None:
        code = "already_exists" if name in self.resources else None
        change = Expected(spec, self.revision + 1, finalizers=finalizers)
        self.send(Create(self.stamp(), "limit", name, spec, (), finalizers), code, change)

    @rule(name=NAMES, spec=VALUES, back=st.none() | st.integers(-1, 4))
    def replace(self, name: str, spec: bytes, back: int | None) -> None:
        since = self.choose_revision(back)
        command = Replace(self.stamp(), "limit", name, spec, (), since)
        current = self.resources.get(name)
        if current is None:
            self.send(command, "not_found")
        elif since is not None and not current.spec_revision <= since <= self.revision:
            self.send(command, "conflict")
        elif current.deleting:
            self.send(command, "deleting")
        elif current.spec == spec:
            self.send(command, None, current)
        else:
            changed = replace(current, spec=spec, spec_revision=self.revision + 1)
            self.send(command, None, changed)

    @rule(name=NAMES, status=VALUES, back=st.none() | st.integers(-1, 4))
    def update_status(self, name: str, status: bytes, back: int | None) -> None:
        since = self.choose_revision(back)
        command = UpdateStatus(self.stamp(), "limit", name, status, since)
        current = self.resources.get(name)
        if current is None:
            self.send(command, "not_found")
        elif since is not None and not current.status_revision <= since <= self.revision:
            self.send(command, "conflict")
        elif current.status == status:
            self.send(command, None, current)
        else:
            changed = replace(current, status=status, status_revision=self.revision + 1)
            self.send(command, None, changed)

    @rule(name=NAMES, back=st.none() | st.integers(-1, 4))
    def delete(self, name: str, back: int | None) -> None:
        since = self.choose_revision(back)
        command = Delete(self.stamp(), "limit", name, since)
        current = self.resources.get(name)
        if current is None:
            self.send(command, "not_found")
        elif since is not None and not current.spec_revision <= since <= self.revision:
            self.send(command, "conflict")
        elif not current.finalizers:
            self.send(command, None, None)
        elif current.deleting:
            self.send(command, None, current)
        else:
            changed = replace(current, deleting=True, spec_revision=self.revision + 1)
            self.send(command, None, changed)

    @rule(name=NAMES)
    def remove_finalizer(self, name: str) -> None:
        command = RemoveFinalizer(self.stamp(), "limit", name, "f")
        current = self.resources.get(name)
        if current is None:
            self.send(command, "not_found")
        elif not current.finalizers:
            self.send(command, None, current)
        else:
            changed = None if current.deleting else replace(current, finalizers=())
            self.send(command, None, changed)

    @precondition(lambda self: self.sent)
    @rule(data=st.data())
    def resend(self, data: st.DataObject) -> None:
        command, outcome = data.draw(st.sampled_from(self.sent))
        before = self.replicas.first.revision
        assert self.replicas.apply(command) == outcome, "a resend got another outcome"
        assert self.replicas.first.revision == before, "a resend changed something"

    @precondition(lambda self: self.sent)
    @rule(data=st.data())
    def reuse_request_id(self, data: st.DataObject) -> None:
        command, _ = data.draw(st.sampled_from(self.sent))
        other = Create(command.stamp, "limit", "never", b"x")
        assert self.replicas.apply(other).code == "request_id_reused"

    @rule()
    def restore(self) -> None:
        self.replicas.restore()

    @invariant()
    def table_is_the_oracles(self) -> None:
        table = self.replicas.first.table
        found = {record.name: record for record in table.iterate("limit")}
        assert set(found) == set(self.resources)
        for name, expected in self.resources.items():
            record = found[name]
            assert (record.spec, record.status) == (expected.spec, expected.status)
            assert record.spec_revision == expected.spec_revision
            assert bool(record.deleting_ms) == expected.deleting
        changes = table.list_changes(0)
        assert changes is not None
        assert [change.revision for change in changes] == self.revisions


class ClaimMachine(RuleBasedStateMachine):
    """Claims and reports in any order, including delayed and duplicate ones.

    The model tracks which grant may be running a request: at most one, and none after the
    request may have run, until the claim window is over.
    """

    def __init__(self) -> None:
        super().__init__()
        self.replicas = Replicas()
        self.reports: list[Command] = []
        self.live: dict[str, int] = {}
        self.granted_at: dict[str, int] = {}
        self.finished: dict[str, int] = {}

    def stamp(self) -> Stamp:
        return Stamp(self.replicas.time_ms)

    @rule(key=NAMES, holder=st.integers(0, 30))
    def claim(self, key: str, holder: int) -> None:
        command = Claim(self.stamp(), "w", key, b"f", f"h{holder}", 50)
        answer = self.replicas.apply(command)
        assert isinstance(answer, ClaimAnswer)
        if self.replicas.time_ms >= self.granted_at.get(key, 0) + const.CLAIM_WINDOW_MS:
            self.live.pop(key, None)
            self.finished.pop(key, None)
        if answer.state is ClaimState.GRANTED:
            assert self.live.get(key, answer.grant) == answer.grant, "granted twice"
            assert key not in self.finished, "granted after it ran"
            if key not in self.live:
                self.granted_at[key] = self.replicas.time_ms
            self.live[key] = answer.grant
        elif answer.state is ClaimState.FINISHED:
            assert answer.status == self.finished[key]
        else:
            assert key in self.live, answer

    @precondition(lambda self: self.live)
    @rule(data=st.data(), kind=st.sampled_from(["finish", "unknown", "abandon"]))
    def report(self, data: st.DataObject, kind: str) -> None:
        key = data.draw(st.sampled_from(sorted(self.live)))
        grant = self.live[key]
        if kind == "finish":
            self.apply_report(FinishClaim(self.stamp(), "w", key, grant, 200 + grant))
        elif kind == "unknown":
            self.apply_report(ReportClaimUnknown(self.stamp(), "w", key, grant))
        else:
            self.apply_report(AbandonClaim(self.stamp(), "w", key, grant))

    @precondition(lambda self: self.reports)
    @rule(data=st.data())
    def report_again(self, data: st.DataObject) -> None:
        self.apply_report(data.draw(st.sampled_from(self.reports)))

    def apply_report(self, command: Any) -> None:
        self.reports.append(command)
        answer = self.replicas.apply(command)
        if answer.state is ClaimState.NOT_HELD:
            return
        is_current = self.live.get(command.key) == command.grant
        assert is_current, "a report on another grant was taken"
        if isinstance(command, FinishClaim):
            self.finished.setdefault(command.key, command.status)
        if answer.state is ClaimState.ABANDONED:
            assert command.key not in self.finished
            del self.live[command.key]

    @rule(step=st.sampled_from([1, 30, 60, const.CLAIM_WINDOW_MS]))
    def pass_time(self, step: int) -> None:
        self.replicas.time_ms += step

    @rule()
    def restore(self) -> None:
        self.replicas.restore()


class LeaseMachine(RuleBasedStateMachine):
    """At most one holder has a valid fencing number at a time, and the numbers only rise."""

    def __init__(self) -> None:
        super().__init__()
        self.replicas = Replicas()
        self.fencing = 0
        self.holder = ""
        self.expires = 0

    @rule(holder=st.sampled_from("abc"), duration=st.integers(0, 50), behind=st.integers(0, 40))
    def acquire(self, holder: str, duration: int, behind: int) -> None:
        now = self.replicas.time_ms
        stamp = Stamp(now - behind)
        answer = self.replicas.apply(AcquireLease(stamp, "l", holder, duration))
        free = now >= self.expires
        assert (answer.state == "held") == (free or holder == self.holder)
        if answer.state != "held":
            return
        assert answer.fencing == self.fencing + free, "the number must rise with each holder"
        self.fencing = answer.fencing
        self.expires = now + duration if free else max(self.expires, now + duration)
        self.holder = holder

    @rule(step=st.integers(-5, 30))
    def pass_time(self, step: int) -> None:
        self.replicas.apply(Delete(Stamp(self.replicas.time_ms + step), "limit", "none"))
        self.replicas.time_ms = max(self.replicas.time_ms, self.replicas.time_ms + step)

    @rule()
    def restore(self) -> None:
        self.replicas.restore()


ResourceTest = ResourceMachine.TestCase
ResourceTest.settings = make_settings(100)
ClaimTest = ClaimMachine.TestCase
ClaimTest.settings = make_settings(100)
LeaseTest = LeaseMachine.TestCase
LeaseTest.settings = make_settings(40)
