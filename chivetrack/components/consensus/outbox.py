"""Collects the effects of one event in the order in which they must be executed."""

from chivetrack.components.consensus.messages import Entry
from chivetrack.components.consensus.models import HardState, Persist, Snapshot
from chivetrack.core import Effect, SendMessage


class Outbox:
    """The effects of one event: before its ``Persist``, in it, and after it."""

    def __init__(self) -> None:
        """Start empty."""
        self._clear()

    def _clear(self) -> None:
        self._before_sync: list[Effect] = []
        self._after_sync: list[Effect] = []
        self._entries: list[Entry] = []
        self._truncate_from: int | None = None
        self._snapshot: Snapshot | None = None
        self._reset = False
        self._hard_state_changed = False

    def add(self, effect: Effect) -> None:
        """Add an effect to be executed after the sync."""
        self._after_sync.append(effect)

    def send_before_sync(self, effect: SendMessage) -> None:
        """Add an append request of the leader, which may be sent before the sync.

        The leader syncs in parallel with its followers and counts its own copy only once
        ``Persisted`` is received.
        """
        self._before_sync.append(effect)

    def change_hard_state(self) -> None:
        """Mark the term or the vote as changed."""
        self._hard_state_changed = True

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Add entries to be synced."""
        self._entries.extend(entries)

    def truncate(self, index: int) -> None:
        """Add a truncation to be synced before the entries."""
        self._truncate_from = index

    def save_snapshot(self, snapshot: Snapshot, *, reset: bool) -> None:
        """Add a snapshot to be synced."""
        self._snapshot = snapshot
        self._reset = reset

    def drain(self, hard_state: HardState, last_index: int, last_term: int) -> list[Effect]:
        """Return all effects in order and clear the outbox."""
        persist = self._make_persist(hard_state, last_index, last_term)
        # Messages carry the term, so none may be sent before a new term is synced.
        early_first = persist is None or persist.hard_state is None
        saved = [] if persist is None else [persist]
        if early_first:
            effects = [*self._before_sync, *saved, *self._after_sync]
        else:
            effects = [*saved, *self._before_sync, *self._after_sync]
        self._clear()
        return effects

    def _make_persist(self, hard_state: HardState, index: int, term: int) -> Persist | None:
        changed = self._hard_state_changed
        if not (changed or self._entries or self._snapshot or self._truncate_from):
            return None
        return Persist(
            hard_state=hard_state if changed else None,
            snapshot=self._snapshot,
            reset=self._reset,
            truncate_from=self._truncate_from,
            entries=tuple(self._entries),
            last_index=index,
            last_term=term,
        )
