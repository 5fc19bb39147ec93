"""Events, effects and state of the replicated log."""

from dataclasses import dataclass
from enum import StrEnum

from chivetrack.components.consensus.const import (
    ELECTION_MAX_S,
    ELECTION_MIN_S,
    HEARTBEAT_S,
    MAX_APPEND_BYTES,
    SNAPSHOT_CHUNK_BYTES,
    TRAILING_BYTES,
    TRAILING_ENTRIES,
)
from chivetrack.components.consensus.members import ChangeKind, Member, Members
from chivetrack.components.consensus.messages import Entry
from chivetrack.core import Effect, Event
from chivetrack.helpers.codec import Message, message


class Role(StrEnum):
    """Current role of a replica."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Outcome(StrEnum):
    """Outcome of a proposal.

    ``REFUSED`` guarantees that the proposal is in no log and never will be. ``UNKNOWN``:
    it may or may not be committed later.
    """

    COMMITTED = "committed"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Refusal(StrEnum):
    """Reason why a proposal, a member change, a read or a transfer was refused."""

    NONE = ""
    NOT_LEADER = "not_leader"
    TRANSFERRING = "transferring"
    OVERLOADED = "overloaded"
    TOO_LARGE = "too_large"
    CHANGE_PENDING = "change_pending"
    NOT_READY = "not_ready"
    NOT_CAUGHT_UP = "not_caught_up"
    NOT_A_MEMBER = "not_a_member"
    NOT_A_VOTER = "not_a_voter"
    ALREADY_A_MEMBER = "already_a_member"
    RETIRED_ID = "retired_id"
    TOO_MANY_VOTERS = "too_many_voters"
    IS_LEADER = "is_leader"
    NO_QUORUM_AFTER = "no_quorum_after"


@dataclass(frozen=True, slots=True, kw_only=True)
class Timing:
    """Heartbeat interval and bounds of the random election timeout, in seconds.

    The first elections after a start have their own bounds, until a leader is in contact.
    After all replicas lost power there is no leader, and the service is down until one
    is elected. Early elections of a single restarted replica do no harm: replicas in
    contact with a leader refuse its pre-vote.
    """

    heartbeat_s: float = HEARTBEAT_S
    election_min_s: float = ELECTION_MIN_S
    election_max_s: float = ELECTION_MAX_S
    first_election_min_s: float = ELECTION_MIN_S
    first_election_max_s: float = ELECTION_MAX_S


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Size limits of messages, and of the entries kept although a snapshot covers them."""

    append_bytes: int = MAX_APPEND_BYTES
    chunk_bytes: int = SNAPSHOT_CHUNK_BYTES
    trailing_entries: int = TRAILING_ENTRIES
    trailing_bytes: int = TRAILING_BYTES


@message("log.hard_state")
class HardState(Message, frozen=True, array_like=True):
    """The term and the vote given in it; synced before any message that depends on them."""

    term: int = 0
    vote: str = ""


@message("log.snapshot")
class Snapshot(Message, frozen=True, array_like=True):
    """State of the state machine after the first ``index`` entries, and the members there."""

    index: int = 0
    term: int = 0
    members: Members = Members()
    data: bytes = b""


@dataclass(frozen=True, slots=True, kw_only=True)
class Recovered:
    """State that a replica recovered from its disk; the default is an empty disk."""

    hard_state: HardState = HardState()
    snapshot: Snapshot = Snapshot()
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Proposal:
    """Data to append; ``proposal_id`` identifies it in ``ProposalEnded``."""

    proposal_id: int
    data: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Propose(Event):
    """Append proposals; a batch costs one sync and one message per replica."""

    proposals: tuple[Proposal, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeMembers(Event):
    """Change one member; answered by ``ProposalEnded``."""

    proposal_id: int
    kind: ChangeKind
    member: Member


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadRequested(Event):
    """Request a linearizable read; answered by ``ReadReady`` or ``ReadRefused``."""

    read_id: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TransferLeadership(Event):
    """Transfer leadership to ``target``, or to the voter with the most entries."""

    target: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Persisted(Event):
    """A ``Persist`` effect is synced; the fields are its ``last_index`` and ``last_term``."""

    last_index: int
    last_term: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotTaken(Event):
    """The state machine took a snapshot after applying the entry at ``index``."""

    index: int
    data: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotLoaded(Event):
    """The latest snapshot on disk, with its data; answers ``LoadSnapshot``."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True, kw_only=True)
class Persist(Effect):
    """Sync changes to disk; no later effect may be executed before the sync is done.

    Write in this order: save ``snapshot`` (with ``reset``, also drop all entries), save
    ``hard_state``, drop all entries from ``truncate_from`` on, append ``entries``.
    Afterwards pass in ``Persisted`` with ``last_index`` and ``last_term``, which
    describe the last entry of the log.
    """

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    reset: bool = False
    truncate_from: int | None = None
    entries: tuple[Entry, ...] = ()
    last_index: int
    last_term: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Apply(Effect):
    """Apply committed entries in order; only those of kind ``DATA`` hold commands."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class RestoreSnapshot(Effect):
    """Replace the state of the state machine by a snapshot."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadSnapshot(Effect):
    """Read the latest snapshot from disk and pass in ``SnapshotLoaded``.

    The core keeps no snapshot in memory: it may be as large as the whole state.
    """


@dataclass(frozen=True, slots=True, kw_only=True)
class ProposalEnded(Effect):
    """A proposal or member change ended; if committed, its ``Apply`` precedes this effect.

    ``leader`` is the instance of the current leader, if known.
    """

    proposal_id: int
    outcome: Outcome
    index: int = 0
    refusal: Refusal = Refusal.NONE
    leader: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadReady(Effect):
    """Everything that was committed before the read was requested is applied."""

    read_id: int
    index: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadRefused(Effect):
    """The read was refused: this replica is not, or no longer, the leader."""

    read_id: int
    leader: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class LeadershipChanged(Effect):
    """The term, the role of this replica or its known leader has changed."""

    term: int
    role: Role
    leader_id: str
    leader_instance: str


@dataclass(frozen=True, slots=True, kw_only=True)
class TransferRefused(Effect):
    """Leadership was not transferred."""

    refusal: Refusal


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaRegressed(Effect):
    """A replica lacks entries that it had acknowledged, so its disk was lost.

    It is excluded from quorums from now on and must be replaced under a new id. The
    leader emits this effect for another replica; an empty replica that halts emits it
    for itself.
    """

    replica_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaStatus:
    """Replication status of one replica, as known to the leader; ages in seconds.

    ``last_contact_age_s`` counts from the election at most, ``silence_s`` across elections.
    ``caught_up``: it may become a voter.
    """

    replica_id: str
    instance_id: str
    voter: bool
    match_index: int
    last_contact_age_s: float
    silence_s: float
    regressed: bool
    caught_up: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class ConsensusStatus:
    """Status of this replica; ``replicas`` is filled on the leader only."""

    replica_id: str
    role: Role
    term: int
    leader_id: str
    leader_instance: str
    commit_index: int
    last_index: int
    snapshot_index: int
    members: Members
    halted: bool
    replicas: tuple[ReplicaStatus, ...] = ()
    first_index: int = 0
