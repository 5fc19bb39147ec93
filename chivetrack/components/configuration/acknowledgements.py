"""Tracks which revision each router has applied."""

from bisect import bisect_left
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from chivetrack.components.configuration import const
from chivetrack.components.configuration.messages import RouterAck
from chivetrack.components.configuration.models import MissingRouter, RolloutStatus
from chivetrack.const import MILLISECONDS_PER_SECOND


@dataclass(frozen=True, slots=True, kw_only=True)
class RouterState:
    """The latest acknowledgement of a router."""

    incarnation: int
    revision: int
    last_seen_at: float


@dataclass(slots=True, kw_only=True)
class _Commit:
    revision: int
    committed_at: float
    complete_at: float | None = None


class Acknowledgements:
    """Collects acknowledgements: on a relay of its routers, on the leader of all routers."""

    def __init__(self) -> None:
        """Start without acknowledgements."""
        self._routers: dict[str, RouterState] = {}
        self._commits: list[_Commit] = []
        self._has_changes = False

    def record_acks(self, acks: Iterable[RouterAck], *, now: float) -> None:
        """Record acknowledgements; late and duplicate ones have no effect."""
        for ack in acks:
            known = self._routers.get(ack.router)
            last_seen_at = now - ack.age_ms / MILLISECONDS_PER_SECOND
            if known is not None:
                # A restarted router begins with an empty state: the revision that its
                # previous incarnation applied is no longer active there.
                if ack.incarnation < known.incarnation:
                    continue
                if ack.incarnation == known.incarnation and ack.revision < known.revision:
                    continue
                last_seen_at = max(last_seen_at, known.last_seen_at)
            if known is None or known.revision != ack.revision:
                self._has_changes = True
            self._routers[ack.router] = RouterState(
                incarnation=ack.incarnation, revision=ack.revision, last_seen_at=last_seen_at
            )

    def pop_changed(self) -> bool:
        """Return whether a router acknowledged another revision since the last call."""
        has_changes = self._has_changes
        self._has_changes = False
        return has_changes

    def expire_silent(self, now: float) -> None:
        """Remove routers that have not acknowledged within ``ACKNOWLEDGEMENT_TTL_S``."""
        silent = [
            router
            for router, known in self._routers.items()
            if now - known.last_seen_at > const.ACKNOWLEDGEMENT_TTL_S
        ]
        for router in silent:
            del self._routers[router]

    def list_acks(self, *, now: float) -> Sequence[RouterAck]:
        """Return the latest acknowledgement of each router, with its age, to relay them."""
        return [
            RouterAck(
                router,
                known.incarnation,
                known.revision,
                int((now - known.last_seen_at) * MILLISECONDS_PER_SECOND),
            )
            for router, known in self._routers.items()
        ]

    def record_commit(self, revision: int, *, now: float) -> None:
        """Record when a revision was committed, to measure how long its rollout takes."""
        if self._commits and revision <= self._commits[-1].revision:
            return
        self._commits.append(_Commit(revision=revision, committed_at=now))
        if len(self._commits) > const.MAX_KEPT_COMMITS:
            del self._commits[: const.MAX_KEPT_COMMITS // 10]

    def compute_rollout_status(
        self, revision: int, expected: Iterable[str], *, now: float
    ) -> RolloutStatus:
        """Return which of the expected routers have applied a revision."""
        routers = list(expected)
        missing = [
            self._make_missing(router, now)
            for router in routers
            if router not in self._routers or self._routers[router].revision < revision
        ]
        return RolloutStatus(
            revision=revision,
            expected=len(routers),
            applied=len(routers) - len(missing),
            missing=tuple(missing),
            elapsed_s=self._measure_elapsed(revision, is_complete=not missing, now=now),
        )

    def _make_missing(self, router: str, now: float) -> MissingRouter:
        known = self._routers.get(router)
        if known is None:
            return MissingRouter(router=router, revision=0, silent_s=None)
        return MissingRouter(
            router=router, revision=known.revision, silent_s=now - known.last_seen_at
        )

    def _measure_elapsed(self, revision: int, *, is_complete: bool, now: float) -> float | None:
        # The first commit at or above the revision contains it.
        index = bisect_left(self._commits, revision, key=lambda commit: commit.revision)
        if index == len(self._commits):
            return None
        commit = self._commits[index]
        if is_complete and commit.complete_at is None:
            commit.complete_at = now
        return (commit.complete_at or now) - commit.committed_at
