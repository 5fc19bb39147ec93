"""Settings, events and answers of the distribution of configuration."""

from dataclasses import dataclass
from enum import StrEnum

from chivetrack.components.configuration import const
from chivetrack.core import Event


class WhenUnconfirmed(StrEnum):
    """Whether a router accepts new requests while it can't confirm its configuration."""

    REFUSE = "refuse"
    SERVE = "serve"


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationSettings:
    """Settings of the distribution; times are in seconds.

    ``confirmation_window_s`` is how long one confirmation stays valid, counted from when
    the leader started to query its quorum.
    """

    poll_interval_s: float = const.DEFAULT_POLL_INTERVAL_S
    answer_timeout_s: float = const.DEFAULT_ANSWER_TIMEOUT_S
    confirmation_window_s: float = const.DEFAULT_CONFIRMATION_WINDOW_S
    stale_upstream_s: float = const.DEFAULT_STALE_UPSTREAM_S
    batch_bytes: int = const.DEFAULT_BATCH_BYTES
    push_interval_s: float = const.DEFAULT_PUSH_INTERVAL_S
    when_unconfirmed: WhenUnconfirmed = WhenUnconfirmed.REFUSE


@dataclass(frozen=True, slots=True, kw_only=True)
class PeersChanged(Event):
    """The set of live instances has changed.

    ``leader`` is empty if unknown; ``zone_peers`` are the routers of this instance's
    availability zone.
    """

    leader: str
    replicas: tuple[str, ...]
    zone_peers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class RevisionReported(Event):
    """A peer is reported to have applied this revision, for example through gossip."""

    peer: str
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class QuorumConfirmed(Event):
    """This instance is the leader: a quorum confirmed this after ``started_at``.

    ``revision`` is the revision of the store after it applied every entry that was
    committed at that time.
    """

    term: int
    revision: int
    started_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigChanged(Event):
    """The resource table of this instance has changed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DatedConfirmation:
    """A confirmation whose time is on this instance's clock.

    At some time not before ``obtained_at`` the leader of ``term`` was the leader, and
    ``revision`` was the newest committed revision.
    """

    term: int
    counter: int
    revision: int
    obtained_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class MissingRouter:
    """A router that has not acknowledged a revision.

    ``revision`` is the last revision that it acknowledged, 0 if none is known.
    ``silent_s`` is the time since its last acknowledgement, in seconds.
    """

    router: str
    revision: int
    silent_s: float | None


@dataclass(frozen=True, slots=True, kw_only=True)
class RolloutStatus:
    """How many of the expected routers have applied a revision.

    ``elapsed_s`` is the time from the commit until now, or until the last router
    acknowledged; ``None`` if the time of the commit is no longer kept.
    """

    revision: int
    expected: int
    applied: int
    missing: tuple[MissingRouter, ...]
    elapsed_s: float | None

    @property
    def is_complete(self) -> bool:
        """Return whether every expected router has applied the revision."""
        return not self.missing
