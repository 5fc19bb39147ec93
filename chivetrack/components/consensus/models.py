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
    """What a replica is at the moment."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Outcome(StrEnum):
    """How a proposal ended.

    ``REFUSED`` is a promise: it is in no log and never will be. ``UNKNOWN``: it may
    be committed later, or never.
    """

    COMMITTED = "committed"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Refusal(StrEnum):
    """Why a proposal, a member change, a read or a transfer was refused."""

    NONE = ""
    NOT_LEADER = "not_leader"
    TRANSFERRING = "transferring"
    OVERLOADED = "overloaded"
    TOO_LARGE = "too_large"
    CHANGE_PENDING = "change_pending"
    NOT_READY = "not_ready"
    NOT_CAUGHT_UP = "not_caught_up"
    NOT_A_MEMBER = "not_a_member"
    ALREADY_A_MEMBER = "already_a_member"
    RETIRED_ID = "retired_id"
    TOO_MANY_VOTERS = "too_many_voters"
    IS_LEADER = "is_leader"
    NO_QUORUM_AFTER = "no_quorum_after"


@dataclass(frozen=True, slots=True, kw_only=True)
class Timing:
    """Intervals in seconds; elections start at random between the two bounds.

    The first ones after a start have bounds of their own, until a leader is heard. After
    all replicas lost power, nobody leads and each further second is one without service.
    A replica that starts alone disturbs nobody: those who hear a leader refuse its
    pre-vote.
    """

    heartbeat_s: float = HEARTBEAT_S
    election_min_s: float = ELECTION_MIN_S
    election_max_s: float = ELECTION_MAX_S
    first_election_min_s: float = ELECTION_MIN_S
    first_election_max_s: float = ELECTION_MAX_S


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """How much one message carries, and how many entries stay behind a snapshot."""

    append_bytes: int = MAX_APPEND_BYTES
    chunk_bytes: int = SNAPSHOT_CHUNK_BYTES
    trailing_entries: int = TRAILING_ENTRIES
    trailing_bytes: int = TRAILING_BYTES


@message("log.hard_state")
class HardState(Message, frozen=True, array_like=True):
    """The term and the vote given in it; synced before any answer that shows them."""

    term: int = 0
    vote: str = ""


@message("log.snapshot")
class Snapshot(Message, frozen=True, array_like=True):
    """The state machine after the first ``index`` entries, and the members there."""

    index: int = 0
    term: int = 0
    members: Members = Members()
    data: bytes = b""


@dataclass(frozen=True, slots=True, kw_only=True)
class Recovered:
    """What a replica finds on its disk; the default is an empty disk."""

    hard_state: HardState = HardState()
    snapshot: Snapshot = Snapshot()
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Proposal:
    """Data to be appended; ``proposal_id`` comes back in ``ProposalEnded``."""

    proposal_id: int
    data: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Propose(Event):
    """Append these; many at once cost one sync and one message for each replica."""

    proposals: tuple[Proposal, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeMembers(Event):
    """Change one member; ends as a ``ProposalEnded``."""

    proposal_id: int
    kind: ChangeKind
    member: Member


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadRequested(Event):
    """Ask for an index that a linearizable read must wait for."""

    read_id: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TransferLeadership(Event):
    """Hand leadership to ``target``, or to the replica that is furthest along."""

    target: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Persisted(Event):
    """A ``Persist`` is synced; the fields are its ``last_index`` and ``last_term``."""

    last_index: int
    last_term: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotTaken(Event):
    """The state machine gave its state after applying ``index``."""

    index: int
    data: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotLoaded(Event):
    """The latest snapshot on disk, with its data, as ``LoadSnapshot`` asked."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True, kw_only=True)
class Persist(Effect):
    """Sync this to disk; no later effect may be carried out before it is synced.

    In this order: ``snapshot`` (with ``reset``, all entries are dropped and the log
    goes on after it), ``hard_state``, drop all entries from ``truncate_from`` on,
    append ``entries``. Afterwards hand in ``Persisted`` with the last two fields,
    the end of the log.
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
    """Apply committed entries, in order; only those of kind ``DATA`` carry any."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class RestoreSnapshot(Effect):
    """Replace the state of the state machine."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadSnapshot(Effect):
    """Read the latest snapshot from disk and hand in ``SnapshotLoaded``.

    The core keeps no snapshot in memory: at full size it is as large as the state.
    """


@dataclass(frozen=True, slots=True, kw_only=True)
class ProposalEnded(Effect):
    """A proposal or member change ended; if committed, its ``Apply`` came before.

    ``leader`` is the instance to ask instead, if known.
    """

    proposal_id: int
    outcome: Outcome
    index: int = 0
    refusal: Refusal = Refusal.NONE
    leader: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadReady(Effect):
    """All that was committed before the read was asked for is applied by now."""

    read_id: int
    index: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadRefused(Effect):
    """This replica does not lead, or lost the lead meanwhile."""

    read_id: int
    leader: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class LeadershipChanged(Effect):
    """The term, the role of this replica or the leader it knows has changed."""

    term: int
    role: Role
    leader_id: str
    leader_instance: str


@dataclass(frozen=True, slots=True, kw_only=True)
class TransferRefused(Effect):
    """Leadership was not handed over."""

    refusal: Refusal


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaRegressed(Effect):
    """A replica lacks entries that it had acknowledged: its disk was lost.

    It counts for nothing from now on and must be replaced under a new id. The
    leader tells it of another, an empty replica that halts tells it of itself.
    """

    replica_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaStatus:
    """How far one replica is, as the leader knows; ages in seconds."""

    replica_id: str
    instance_id: str
    voter: bool
    match_index: int
    last_contact_age_s: float
    regressed: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class ConsensusStatus:
    """What this replica knows; ``replicas`` is filled on the leader only."""

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
