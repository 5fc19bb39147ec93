"""Replication of the log from the leader to the other replicas."""

from chivetrack.components.consensus.messages import (
    AppendAnswer,
    AppendRequest,
    Entry,
    Heartbeat,
    Silence,
    SnapshotAnswer,
    SnapshotChunk,
)
from chivetrack.components.consensus.models import LoadSnapshot, ReplicaRegressed, Snapshot
from chivetrack.components.consensus.progress import Progress, SnapshotTransfer
from chivetrack.components.consensus.state import State
from chivetrack.core import SendMessage


class Replication:
    """Sends entries, heartbeats and snapshots, and tracks the progress of each replica."""

    def __init__(self, *, state: State) -> None:
        """Start with all members of the log in the probing state."""
        self._state = state
        self.round = 0
        self._is_loading_snapshot = False
        self.progress: dict[str, Progress] = {}
        self.sync_members()

    def sync_members(self) -> None:
        """Start tracking new members; removed ones stay tracked until ``drop_removed``."""
        state = self._state
        for member in state.log.members.members:
            known = member.replica_id in self.progress
            if known or member.replica_id == state.replica_id:
                continue
            self.progress[member.replica_id] = Progress(
                replica_id=member.replica_id,
                instance_id=member.instance_id,
                next_index=state.log.last_index + 1,
                last_contact=state.now,
                last_heard=state.silences.get_last_heard(member.replica_id, now=state.now),
            )

    def list_last_heard(self) -> dict[str, float]:
        """Return when each replica was last heard (s, monotonic)."""
        return {one.replica_id: one.last_heard for one in self.progress.values()}

    def _list_silences(self) -> tuple[Silence, ...]:
        now = self._state.now
        ages = ((one.replica_id, now - one.last_heard) for one in self.progress.values())
        min_age_s = self._state.timing.election_min_s
        return tuple(
            Silence(replica_id=replica_id, age_s=age_s)
            for replica_id, age_s in ages
            if age_s > min_age_s
        )

    def drop_removed(self) -> None:
        """Stop tracking replicas whose removal is committed, after sending them the entry."""
        members = self._state.log.members
        for replica_id in [one for one in self.progress if members.find(one) is None]:
            progress = self.progress.pop(replica_id)
            self._send_next(progress)
            self.send_heartbeat(progress)

    def start_round(self) -> None:
        """Send a heartbeat with a new round number to all replicas."""
        self.round += 1
        for progress in self.progress.values():
            self.send_heartbeat(progress)
            self._send_overtaking_heartbeat(progress)
            self._resend_chunk(progress)

    def broadcast_entries(self) -> None:
        """Send new entries to all replicas that are ready for them."""
        for progress in self.progress.values():
            self.send_entries(progress)

    def broadcast_commit(self) -> None:
        """Send the new commit index to replicas with no request in flight.

        The others receive it with the next entries.
        """
        for progress in self.progress.values():
            behind = progress.sent_commit < self._state.commit_index
            if behind and progress.can_send_entries and not progress.in_flight:
                self.send_heartbeat(progress)

    def send_entries(self, progress: Progress) -> None:
        """Send entries that the replica lacks, within the limit on requests in flight.

        A replica that is being removed is sent nothing until its removal is committed.
        If it held that entry, it would start no election itself, yet refuse its vote to
        replicas that lack the entry; after a loss of the leader no one could be elected.
        """
        if self._state.log.members.find(progress.replica_id) is not None:
            self._send_next(progress)

    def _send_next(self, progress: Progress) -> None:
        log = self._state.log
        while progress.can_send_entries and progress.next_index <= log.last_index:
            if progress.next_index <= log.base_index:
                self._start_snapshot_transfer(progress)
                return
            entries = log.list_batch(progress.next_index)
            self._send_append(progress, entries)
            progress.record_sent(entries[-1].index)

    def send_heartbeat(self, progress: Progress) -> None:
        """Send an append request without entries; while probing it is the probe."""
        self._send_append(progress, ())

    def _send_overtaking_heartbeat(self, progress: Progress) -> None:
        """Confirm leadership to a replica whose link is still busy with entries.

        The request of ``send_heartbeat`` arrives after these entries, and on a slow link a large
        document takes longer than a read or an election timeout.
        """
        log = self._state.log
        if not progress.in_flight or progress.match_index < log.base_index:
            return
        message = Heartbeat(
            sender=self._state.replica_id,
            receiver=progress.replica_id,
            term=self._state.term,
            previous_index=progress.match_index,
            previous_term=log.find_term(progress.match_index) or 0,
            entries=(),
            commit_index=self._state.commit_index,
            round=self.round,
            silences=self._list_silences(),
        )
        self._send(progress, message)

    def _send_append(self, progress: Progress, entries: tuple[Entry, ...]) -> None:
        state = self._state
        previous_index = self._get_previous_index(progress)
        progress.sent_commit = state.commit_index
        message = AppendRequest(
            sender=state.replica_id,
            receiver=progress.replica_id,
            term=state.term,
            previous_index=previous_index,
            previous_term=state.log.find_term(previous_index) or 0,
            entries=entries,
            commit_index=state.commit_index,
            round=self.round,
            silences=self._list_silences(),
        )
        self._send(progress, message)

    def _get_previous_index(self, progress: Progress) -> int:
        return max(progress.next_index - 1, self._state.log.base_index)

    def _send(self, progress: Progress, message: AppendRequest | SnapshotChunk) -> None:
        self._state.outbox.send_before_sync(
            SendMessage(target=progress.instance_id, message=message)
        )

    def handle_append_answer(self, answer: AppendAnswer) -> None:
        """Update the progress of a replica and send it further entries."""
        progress = self.progress.get(answer.sender)
        if progress is None or progress.regressed:
            return
        if self._has_regressed(progress, answer):
            self._exclude(progress)
            return
        self._record_contact(progress, answer.round)
        if answer.success:
            self._handle_success(progress, answer)
        else:
            self._handle_rejection(progress, answer)

    def _handle_success(self, progress: Progress, answer: AppendAnswer) -> None:
        if answer.match_index >= self._state.log.base_index:
            progress.end_snapshot_transfer()
        progress.record_match(answer.match_index, self.round)
        progress.knows_membership = answer.member
        self.send_entries(progress)

    def _handle_rejection(self, progress: Progress, answer: AppendAnswer) -> None:
        if progress.needs_snapshot or self._is_stale(progress, answer):
            return
        progress.start_probing(self._find_next_index(answer))
        if progress.next_index <= self._state.log.base_index:
            self._start_snapshot_transfer(progress)
            return
        self.send_heartbeat(progress)

    def _has_regressed(self, progress: Progress, answer: AppendAnswer) -> bool:
        """Return whether a replica lost entries or a membership that it had acknowledged.

        The round of the answer began after the acknowledgement had arrived, so message
        reordering can't be the cause: the replica was started on an empty disk under its
        old id. It may have forgotten that it follows a later leader; counting it could
        commit entries with a minority or confirm a read that misses writes.
        """
        if answer.round <= progress.match_round:
            return False
        forgot = not answer.member and self._state.log.members.is_voter(answer.sender)
        return forgot or answer.last_index < progress.match_index

    def _exclude(self, progress: Progress) -> None:
        progress.regressed = True
        progress.match_index = 0
        progress.acknowledged_round = 0
        progress.end_snapshot_transfer()
        self._state.outbox.add(ReplicaRegressed(replica_id=progress.replica_id))

    def _is_stale(self, progress: Progress, answer: AppendAnswer) -> bool:
        """Return whether a rejection answers an outdated request."""
        if progress.probing:
            return answer.previous_index != self._get_previous_index(progress)
        return answer.previous_index <= progress.match_index

    def _find_next_index(self, answer: AppendAnswer) -> int:
        """Return the next index to probe, skipping a whole term instead of one entry."""
        if not answer.conflict_term:
            return answer.conflict_index
        before = answer.previous_index - 1
        end = self._state.log.find_term_end(answer.conflict_term, before)
        return answer.conflict_index if end is None else end + 1

    def _record_contact(self, progress: Progress, round_number: int) -> None:
        progress.record_contact(self._state.now)
        progress.acknowledged_round = max(progress.acknowledged_round, round_number)

    def _start_snapshot_transfer(self, progress: Progress) -> None:
        progress.start_probing(progress.next_index)
        progress.awaits_snapshot = True
        if not self._is_loading_snapshot:
            self._is_loading_snapshot = True
            self._state.outbox.add(LoadSnapshot())

    def send_snapshot(self, snapshot: Snapshot) -> None:
        """Start sending a snapshot read from disk to all replicas that wait for it."""
        self._is_loading_snapshot = False
        for progress in self.progress.values():
            if progress.awaits_snapshot:
                progress.awaits_snapshot = False
                progress.transfer = SnapshotTransfer(snapshot=snapshot, sent_at=self._state.now)
                self._send_chunk(progress, progress.transfer)

    def _resend_chunk(self, progress: Progress) -> None:
        """Resend a lost chunk, but only to a replica with recent contact: chunks are large."""
        transfer = progress.transfer
        if transfer is None or progress.regressed:
            return
        timeout_s = self._state.timing.election_min_s
        alive = self._state.now < progress.last_contact + timeout_s
        if alive and self._state.now >= transfer.sent_at + timeout_s:
            self._send_chunk(progress, transfer)

    def _send_chunk(self, progress: Progress, transfer: SnapshotTransfer) -> None:
        state = self._state
        snapshot = transfer.snapshot
        end = transfer.offset + state.limits.chunk_bytes
        transfer.sent_at = state.now
        message = SnapshotChunk(
            sender=state.replica_id,
            receiver=progress.replica_id,
            term=state.term,
            index=snapshot.index,
            index_term=snapshot.term,
            members=snapshot.members,
            offset=transfer.offset,
            total=len(snapshot.data),
            data=snapshot.data[transfer.offset : end],
            round=self.round,
        )
        self._send(progress, message)

    def handle_chunk_answer(self, answer: SnapshotAnswer) -> None:
        """Send the next chunk, or continue with entries after the last chunk."""
        progress = self.progress.get(answer.sender)
        if progress is None or progress.regressed:
            return
        self._record_contact(progress, answer.round)
        transfer = progress.transfer
        if transfer is None or answer.index != transfer.snapshot.index:
            return
        if answer.done:
            progress.end_snapshot_transfer()
            progress.record_match(answer.index, self.round)
            self.send_entries(progress)
            return
        if answer.received != transfer.offset:
            transfer.offset = answer.received
            self._send_chunk(progress, transfer)
