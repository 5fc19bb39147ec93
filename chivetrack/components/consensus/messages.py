"""What replicas send one another, and the entries of the log.

Every message names the replica ids at both ends, not only the instances: a replica
whose disk was lost comes back on the same instance under another id, and must not
take what was meant for the one before it.
"""

from enum import IntEnum

from chivetrack.components.consensus.members import Members
from chivetrack.helpers.codec import Message, message


class EntryKind(IntEnum):
    """What an entry holds."""

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


class PeerMessage(Message, frozen=True, array_like=True):
    """What all messages between replicas start with."""

    sender: str
    receiver: str
    term: int


@message("log.pre_vote_request")
class PreVoteRequest(PeerMessage, frozen=True, array_like=True):
    """Ask whether an election in ``term`` could be won; changes nothing."""

    last_index: int
    last_term: int


@message("log.pre_vote_answer")
class PreVoteAnswer(PeerMessage, frozen=True, array_like=True):
    """Answer a pre-vote; ``request_term`` is the term of the request."""

    request_term: int
    granted: bool


@message("log.vote_request")
class VoteRequest(PeerMessage, frozen=True, array_like=True):
    """Ask for a vote; ``transfer`` says that the leader itself wanted this election."""

    last_index: int
    last_term: int
    transfer: bool


@message("log.vote_answer")
class VoteAnswer(PeerMessage, frozen=True, array_like=True):
    """Answer a vote request."""

    granted: bool


@message("log.append_request")
class AppendRequest(PeerMessage, frozen=True, array_like=True):
    """Entries after ``previous_index``; without entries a heartbeat or a probe.

    ``round`` numbers the leader's heartbeat rounds. The answer repeats it, which
    proves that the sender led after the round began.
    """

    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    round: int


@message("log.append_answer")
class AppendAnswer(PeerMessage, frozen=True, array_like=True):
    """Answer an append after ``previous_index``.

    With ``success`` the log agrees up to ``match_index``. Without, the log
    disagrees at ``previous_index``: ``conflict_index`` is the first index of
    ``conflict_term``, the term found there (0: the log ends before it). ``member``:
    the log of the answering replica names it as a member.
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
    """A piece of a snapshot of the first ``index`` entries."""

    index: int
    index_term: int
    members: Members
    offset: int
    total: int
    data: bytes
    round: int


@message("log.snapshot_answer")
class SnapshotAnswer(PeerMessage, frozen=True, array_like=True):
    """Answer a chunk: ``received`` bytes are here; ``done`` once it is installed."""

    index: int
    received: int
    done: bool
    round: int


@message("log.timeout_now")
class TimeoutNow(PeerMessage, frozen=True, array_like=True):
    """Tell a replica to start an election at once, to hand leadership to it."""
