"""Runs a replica: one writer processes events in order and syncs them in groups."""

from collections import deque
from collections.abc import Callable, Sequence
from typing import Protocol

from expression import Result

from chivetrack.components.consensus.members import ChangeKind, Member
from chivetrack.components.consensus.models import (
    ChangeMembers,
    LeadershipChanged,
    LoadSnapshot,
    Persist,
    Persisted,
    Proposal,
    Propose,
    ReadReady,
    ReadRefused,
    ReadRequested,
    ReplicaRegressed,
    Snapshot,
    SnapshotLoaded,
    TransferLeadership,
    TransferRefused,
)
from chivetrack.components.replica.calls import Calls
from chivetrack.components.replica.const import CALL_TIMEOUT_S, MAX_WAITING_MESSAGES
from chivetrack.components.replica.core import ReplicaCore
from chivetrack.components.replica.faults import make_failed
from chivetrack.components.replica.models import ProposalAnswered, ReplicaStatus, Waiter
from chivetrack.components.storage.exceptions import StorageError
from chivetrack.core import (
    Effect,
    Event,
    MessageReceived,
    SendMessage,
    TimeReached,
    Unsubscribe,
    WakeAt,
)
from chivetrack.exceptions import Fault
from chivetrack.helpers.codec import Message

Notification = LeadershipChanged | TransferRefused | ReplicaRegressed
Listener = Callable[[Notification], None]


class LogStorage(Protocol):
    """The part of ``Storage`` that the writer uses."""

    def save(self, persists: Sequence[Persist]) -> None:
        """Sync all changes in order, or raise ``StorageError``."""
        ...

    def load_snapshot(self) -> Snapshot:
        """Return the latest snapshot or raise ``StorageError``."""
        ...


def call_directly(call: Callable[[], None]) -> None:
    """Run a blocking call in the current thread; the daemon uses a thread pool instead."""
    call()


class Replica:
    """One replica as a service.

    ``run`` is the only writer and needs a thread or greenlet of its own; all other methods
    may be called from other threads. Events that arrive during a sync are queued, and the
    next sync covers all of them. After a failed write, all pending calls end, new calls
    are refused and ``run`` raises; the data folder must then be opened again.
    """

    def __init__(
        self,
        *,
        core: ReplicaCore,
        storage: LogStorage,
        send: Callable[[SendMessage], None],
        clock: Callable[[], float],
        make_waiter: Callable[[], Waiter],
        run_blocking: Callable[[Callable[[], None]], None] = call_directly,
    ) -> None:
        """Create a replica, which processes nothing before ``run`` or ``step``."""
        self._core = core
        self._storage = storage
        self._send = send
        self._clock = clock
        self._run_blocking = run_blocking
        self._signal = make_waiter()
        self._calls = Calls(make_waiter=make_waiter)
        self._inbox: deque[Event] = deque([TimeReached()])
        self._listeners: list[Listener] = []
        self._wake_at = float("inf")
        self._stopped = False
        self._failure = ""

    def run(self) -> None:
        """Process events until ``stop``; raise ``StorageError`` if a write fails.

        Any other exception, for example from the state machine, also ends all pending
        calls, so that callers do not wait for a writer that has stopped.
        """
        try:
            self._work()
        except Exception as error:
            self._fail(str(error))
            raise

    def _work(self) -> None:
        while not self._stopped:
            self.step()
            if not self._inbox and not self._stopped:
                self._signal.wait(max(0.0, self._wake_at - self._clock()))

    def stop(self) -> None:
        """End ``run`` and all pending calls; pending writes end as unknown."""
        self._stopped = True
        self._signal.set()
        self._calls.end_all()

    def step(self) -> None:
        """Process all queued events, and a due wake-up."""
        self._signal.clear()
        effects: list[Effect] = []
        for event in self._pop_events():
            effects += self._core.handle(event, now=self._clock())
        self._execute(effects)

    def _pop_events(self) -> list[Event]:
        """Return and clear the queued events.

        Proposals are merged into one event, so that a follower is sent them in one message
        and answers once.
        """
        events: list[Event] = []
        proposals: list[Proposal] = []
        for _ in range(len(self._inbox)):
            event = self._inbox.popleft()
            if isinstance(event, Propose):
                proposals += event.proposals
            else:
                events.append(event)
        if proposals:
            events.append(Propose(proposals=tuple(proposals)))
        if self._clock() >= self._wake_at:
            self._wake_at = float("inf")
            events.append(TimeReached())
        return events

    def _execute(self, effects: list[Effect]) -> None:
        """Execute effects in order, with one sync for all ``Persist`` effects."""
        while effects:
            persists = [one for one in effects if isinstance(one, Persist)]
            if not persists:
                self._execute_all(effects)
                return
            first = effects.index(persists[0])
            self._execute_all(effects[:first])
            self._save(persists)
            self._execute_all(effects[first:])
            last = persists[-1]
            persisted = Persisted(last_index=last.last_index, last_term=last.last_term)
            effects = self._core.handle(persisted, now=self._clock())

    def _save(self, persists: list[Persist]) -> None:
        self._use_storage(lambda: self._storage.save(persists))

    def _load_snapshot(self) -> None:
        def load() -> None:
            self._submit(SnapshotLoaded(snapshot=self._storage.load_snapshot()))

        self._use_storage(load)

    def _use_storage(self, call: Callable[[], None]) -> None:
        try:
            self._run_blocking(call)
        except (StorageError, OSError) as error:
            # Fail before any effect of this event is executed, so that no caller or replica
            # receives a result that depends on the failed write.
            self._fail(str(error))
            raise

    def _fail(self, reason: str) -> None:
        """Stop the replica: its state in memory no longer matches its disk."""
        self._failure = reason
        self._stopped = True
        self._calls.end_all()

    def _execute_all(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            self._execute_one(effect)

    def _execute_one(self, effect: Effect) -> None:
        match effect:
            case SendMessage():
                self._send(effect)
            case LoadSnapshot():
                self._load_snapshot()
            case WakeAt():
                self._wake_at = min(self._wake_at, effect.at)
            case ProposalAnswered():
                self._calls.end_proposal(effect)
            case ReadReady() | ReadRefused():
                self._calls.end_read(effect)
            case LeadershipChanged() | TransferRefused() | ReplicaRegressed():
                for listener in tuple(self._listeners):
                    listener(effect)

    def listen(self, listener: Listener) -> Unsubscribe:
        """Notify a listener of leadership changes, refused transfers and lost disks."""
        self._listeners.append(listener)

        def unsubscribe() -> None:
            if listener in self._listeners:
                self._listeners.remove(listener)

        return unsubscribe

    def _submit(self, event: Event) -> None:
        self._inbox.append(event)
        self._signal.set()

    def receive(self, source: str, message: Message) -> None:
        """Queue a message from another replica; drop it if the queue is full."""
        if len(self._inbox) < MAX_WAITING_MESSAGES and not self._stopped:
            self._submit(MessageReceived(source=source, message=message))

    def propose(self, data: bytes, *, timeout_s: float = CALL_TIMEOUT_S) -> Result[bytes, Fault]:
        """Append data and return the state machine's answer once it is committed.

        A fault with ``Ran.NO`` guarantees that the data is in no log and never will be;
        ``outcome_unknown`` has ``Ran.MAYBE``. ``NotLeaderFault`` names the leader, if known.
        """
        call_id = self._calls.open(is_read=False)
        proposal = Proposal(proposal_id=call_id, data=data)
        result = self._call(call_id, Propose(proposals=(proposal,)), timeout_s)
        return result.map(lambda answer: getattr(answer, "data", b""))

    def confirm_read(self, *, timeout_s: float = CALL_TIMEOUT_S) -> Result[int, Fault]:
        """Wait until the local state machine has applied all earlier committed writes.

        Returns an index up to which it has applied at least.
        """
        call_id = self._calls.open(is_read=True)
        result = self._call(call_id, ReadRequested(read_id=call_id), timeout_s)
        return result.map(lambda answer: answer.index)

    def change_members(
        self, kind: ChangeKind, member: Member, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> Result[int, Fault]:
        """Change one member and return the index of the committed change."""
        call_id = self._calls.open(is_read=False)
        event = ChangeMembers(proposal_id=call_id, kind=kind, member=member)
        result = self._call(call_id, event, timeout_s)
        return result.map(lambda answer: answer.index)

    def _call(
        self, call_id: int, event: Event, timeout_s: float
    ) -> Result[ProposalAnswered | ReadReady, Fault]:
        if self._stopped:
            self._calls.refuse(call_id, make_failed(self._failure or "it is stopped"))
        else:
            self._submit(event)
        return self._calls.wait(call_id, timeout_s)

    def transfer_leadership(self, target: str = "") -> None:
        """Transfer leadership to a replica id, or to the voter with the most entries."""
        self._submit(TransferLeadership(target=target))

    def take_backup(self) -> Snapshot:
        """Return the current state; must not be called while the writer runs."""
        return self._core.take_backup(now=self._clock())

    def get_status(self) -> ReplicaStatus:
        """Return the status for ``chivetrack status``."""
        now = self._clock()
        return ReplicaStatus(
            consensus=self._core.get_status(now=now),
            applied_index=self._core.applied_index,
            snapshot_age_s=self._core.get_snapshot_age(now=now),
            failure=self._failure,
        )
