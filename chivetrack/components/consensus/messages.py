"""Messages between replicas, and log entries.

Every message names the replica ids of sender and receiver, not only the instances: a
replica that lost its disk is replaced on the same instance under a new id, and must
not process messages for the previous replica.
"""

from enum import IntEnum

from chivetrack.components.consensus.members import Members
from chivetrack.helpers.codec import Message, Priority, message


class EntryKind(IntEnum):
    """Kind of data in an entry."""

    DATA = 0
    NOOP = 1
    MEMBERS = 2


@message("log.entry")
class Entry(Message, frozen=True, array_like=True):
    """One entry of the log; the first has index 1."""

    index: int
    term: int
    kind: EntryKind
    data: bytes


@message("log.silence")
class Silence(Message, frozen=True, array_like=True):
    """A replica that the leader has not heard from for ``age_s`` seconds."""

    replica_id: str
    age_s: float


class PeerMessage(Message, frozen=True, array_like=True):
    """Base of all messages between replicas; ``term`` is the sender's term."""

    sender: str
    receiver: str
    term: int


@message("log.pre_vote_request", priority=Priority.URGENT)
class PreVoteRequest(PeerMessage, frozen=True, array_like=True):
    """Request a pre-vote: would the receiver vote for the sender? Changes no state."""

    last_index: int
    last_term: int


@message("log.pre_vote_answer", priority=Priority.URGENT)
class PreVoteAnswer(PeerMessage, frozen=True, array_like=True):
    """Answer a pre-vote request; ``request_term`` is the term of the request."""

    request_term: int
    granted: bool


@message("log.vote_request", priority=Priority.URGENT)
class VoteRequest(PeerMessage, frozen=True, array_like=True):
    """Request a vote; ``transfer`` marks an election that the leader itself requested."""

    last_index: int
    last_term: int
    transfer: bool


@message("log.vote_answer", priority=Priority.URGENT)
class VoteAnswer(PeerMessage, frozen=True, array_like=True):
    """Answer a vote request."""

    granted: bool


@message("log.append_request", priority=Priority.LOG)
class AppendRequest(PeerMessage, frozen=True, array_like=True):
    """Append entries after ``previous_index``; without entries, a heartbeat or a probe.

    ``round`` is the number of the leader's heartbeat round. The answer repeats it, which
    proves that the sender still led when the round began. ``silences`` lists the members that
    do not answer, so that the next leader need not wait for them again.
    """

    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    round: int
    silences: tuple[Silence, ...] = ()


@message("log.heartbeat", priority=Priority.URGENT)
class Heartbeat(AppendRequest, frozen=True, array_like=True):
    """Append request without entries that may overtake entries sent before.

    ``previous_index`` is the last index known to match, so the receiver accepts it without them.
    """


@message("log.append_answer", priority=Priority.URGENT)
class AppendAnswer(PeerMessage, frozen=True, array_like=True):
    """Answer an append request.

    With ``success``, the log matches the leader's up to ``match_index``. Otherwise it
    differs at ``previous_index``: ``conflict_term`` is the term found there and
    ``conflict_index`` the first index of that term. If the log has no entry there,
    ``conflict_term`` is 0 and ``conflict_index`` is the index after its last entry.
    ``member``: the log of the answering replica names it as a member.
    """

    success: bool
    previous_index: int
    match_index: int
    conflict_index: int
    conflict_term: int
    last_index: int
    member: bool
    round: int


@message("log.snapshot_chunk")
class SnapshotChunk(PeerMessage, frozen=True, array_like=True):
    """Part of a snapshot of the first ``index`` entries; ``offset``, ``total`` in bytes."""

    index: int
    index_term: int
    members: Members
    offset: int
    total: int
    data: bytes
    round: int


@message("log.snapshot_answer", priority=Priority.URGENT)
class SnapshotAnswer(PeerMessage, frozen=True, array_like=True):
    """Answer a chunk: ``received`` bytes have arrived; ``done`` once all are installed."""

    index: int
    received: int
    done: bool
    round: int


@message("log.timeout_now", priority=Priority.LOG)
class TimeoutNow(PeerMessage, frozen=True, array_like=True):
    """Transfer leadership: the receiver starts an election at once."""
