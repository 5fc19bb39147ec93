"""Handling of entries and snapshots that a leader sends."""

from dataclasses import dataclass, field

import msgspec

from chivetrack.components.consensus.log import decode_members
from chivetrack.components.consensus.members import Members
from chivetrack.components.consensus.messages import (
    AppendAnswer,
    AppendRequest,
    Entry,
    EntryKind,
    SnapshotAnswer,
    SnapshotChunk,
)
from chivetrack.components.consensus.models import ReplicaRegressed, RestoreSnapshot, Snapshot
from chivetrack.components.consensus.state import State


@dataclass(slots=True, kw_only=True)
class _Download:
    """A partly received snapshot."""

    term: int
    index: int
    data: bytearray = field(default_factory=bytearray)


class Follower:
    """Writes entries and snapshots from the leader into the log."""

    def __init__(self, *, state: State) -> None:
        """Create a follower without a snapshot in transfer."""
        self._state = state
        self._download: _Download | None = None

    def refuse_append(self, request: AppendRequest) -> None:
        """Reject an append of an earlier term; the answer carries the current term.

        The answer has round 0, which confirms no round: the sender may meanwhile lead in
        the current term and count its rounds from the start again.
        """
        self._answer(msgspec.structs.replace(request, round=0), success=False)

    def handle_append(self, request: AppendRequest) -> None:
        """Append the entries if the log matches the leader's at ``previous_index``."""
        state = self._state
        if not self._accepts_members(request.entries):
            return
        if request.previous_index < state.log.base_index:
            # Everything up to the base is committed, so the leader's log matches there.
            self._store_entries(request, state.log.base_index)
            return
        if state.log.find_term(request.previous_index) != request.previous_term:
            self._answer(request, success=False)
            return
        self._store_entries(request, request.previous_index)

    def _store_entries(self, request: AppendRequest, after: int) -> None:
        state = self._state
        match_index = max(after, request.previous_index + len(request.entries))
        new = self._drop_known([one for one in request.entries if one.index > after])
        if new and new[0].index <= state.log.last_index:
            self._truncate(new[0].index)
        state.log.append(new)
        state.outbox.append(tuple(new))
        state.advance_commit(min(request.commit_index, match_index))
        self._answer(request, success=True, match_index=match_index)

    def _drop_known(self, entries: list[Entry]) -> list[Entry]:
        """Return the entries from the first one that the log lacks.

        A delayed message may hold only entries that the log has already. Truncating the
        log after them would drop later entries that were acknowledged.
        """
        for position, entry in enumerate(entries):
            if self._state.log.find_term(entry.index) != entry.term:
                return entries[position:]
        return []

    def _truncate(self, index: int) -> None:
        state = self._state
        if index <= state.commit_index:
            raise AssertionError(f"committed entry {index} contradicts the leader")
        state.log.truncate(index)
        state.durable_index = min(state.durable_index, index - 1)
        state.outbox.truncate(index)

    def _answer(self, request: AppendRequest, *, success: bool, match_index: int = 0) -> None:
        state = self._state
        conflict_term = 0
        conflict_index = state.log.last_index + 1
        found = state.log.find_term(request.previous_index)
        if not success and found and request.previous_index > state.log.base_index:
            conflict_term = found
            conflict_index = state.log.find_term_start(request.previous_index)
        state.send(
            AppendAnswer(
                sender=state.replica_id,
                receiver=request.sender,
                term=state.term,
                success=success,
                previous_index=request.previous_index,
                match_index=match_index,
                conflict_index=conflict_index,
                conflict_term=conflict_term,
                last_index=state.log.last_index,
                member=state.is_member,
                round=request.round,
            )
        )

    def handle_chunk(self, chunk: SnapshotChunk) -> None:
        """Store a chunk; install the snapshot once the last chunk has arrived."""
        if not self._accepts_first_members(chunk.members):
            return
        if self._has_snapshot_entries(chunk):
            self._answer_chunk(chunk, received=chunk.total, done=True)
            return
        download = self._download
        if download is None or (download.term, download.index) != (chunk.term, chunk.index):
            download = self._download = _Download(term=chunk.term, index=chunk.index)
        if chunk.offset == len(download.data):
            download.data += chunk.data
        received = len(download.data)
        done = received == chunk.total
        if done:
            self._install(chunk, bytes(download.data))
        self._answer_chunk(chunk, received=received, done=done)

    def _has_snapshot_entries(self, chunk: SnapshotChunk) -> bool:
        """Return whether the log has all entries of a snapshot, and commit them if so.

        Installing the snapshot in that case would drop the entries after it, which this
        replica may have acknowledged.
        """
        state = self._state
        if chunk.index <= state.commit_index:
            return True
        if state.log.find_term(chunk.index) != chunk.index_term:
            return False
        state.advance_commit(chunk.index)
        return True

    def _install(self, chunk: SnapshotChunk, data: bytes) -> None:
        state = self._state
        self._download = None
        snapshot = Snapshot(
            index=chunk.index, term=chunk.index_term, members=chunk.members, data=data
        )
        state.log.reset(snapshot)
        state.durable_index = snapshot.index
        state.commit_index = snapshot.index
        state.outbox.save_snapshot(snapshot, reset=True)
        state.outbox.add(RestoreSnapshot(snapshot=snapshot))

    def _answer_chunk(self, chunk: SnapshotChunk, *, received: int, done: bool) -> None:
        state = self._state
        state.send(
            SnapshotAnswer(
                sender=state.replica_id,
                receiver=chunk.sender,
                term=state.term,
                index=chunk.index,
                received=received,
                done=done,
                round=chunk.round,
            )
        )

    def _accepts_members(self, entries: tuple[Entry, ...]) -> bool:
        if self._state.is_member:
            return True
        for entry in entries:
            if entry.kind is not EntryKind.MEMBERS:
                continue
            members = decode_members(entry)
            if members.find(self._state.replica_id) is not None:
                return self._accepts_first_members(members)
        return True

    def _accepts_first_members(self, members: Members) -> bool:
        """Halt if the first member list that names this replica names it as a voter.

        New replicas join as learners, so such a replica is a voter that lost its disk.
        It has forgotten votes and entries that others rely on; with it, two leaders
        could be elected in one term, or a committed entry could be lost. A halted
        replica acknowledges nothing and never votes.
        """
        state = self._state
        if state.is_member or not members.is_voter(state.replica_id):
            return True
        state.halted = True
        state.outbox.add(ReplicaRegressed(replica_id=state.replica_id))
        return False
