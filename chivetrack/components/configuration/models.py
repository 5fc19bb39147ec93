"""Settings, events and answers of the distribution of configuration."""

from dataclasses import dataclass
from enum import StrEnum

from chivetrack.components.configuration import const
from chivetrack.core import Event


class WhenUnconfirmed(StrEnum):
    """What a router does with new work while it can't confirm its configuration."""

    REFUSE = "refuse"
    SERVE = "serve"


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationSettings:
    """Settings; times are seconds.

    ``confirmation_window_s`` is how long one confirmation lasts, counted from when
    the leader began to ask its quorum.
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
    """Who is alive: the leader (empty if unknown), the replicas, the own zone's routers."""

    leader: str
    replicas: tuple[str, ...]
    zone_peers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class RevisionReported(Event):
    """A peer is said to hold this revision, for example by gossip."""

    peer: str
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class QuorumConfirmed(Event):
    """This instance leads: a quorum agreed to that after ``started_at``.

    ``revision`` is the store's after it applied all that was committed by then.
    """

    term: int
    revision: int
    started_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigChanged(Event):
    """The table of this instance has changed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldConfirmation:
    """A confirmation, dated by this instance's clock.

    At some time not before ``obtained_at`` the leader of ``term`` led, and
    ``revision`` was the newest that was committed.
    """

    term: int
    counter: int
    revision: int
    obtained_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class MissingRouter:
    """A router that has not acknowledged; ``revision`` is its last known one."""

    router: str
    revision: int
    silent_s: float | None


@dataclass(frozen=True, slots=True, kw_only=True)
class InForce:
    """On how many of the expected routers a revision is in force.

    ``elapsed_s`` runs from the commit to now, or to when the last router
    acknowledged; ``None`` when the commit is not remembered.
    """

    revision: int
    expected: int
    applied: int
    missing: tuple[MissingRouter, ...]
    elapsed_s: float | None

    @property
    def is_complete(self) -> bool:
        """Tell whether no router is missing."""
        return not self.missing
