"""What each router has applied, and on how many a revision is in force."""

from bisect import bisect_left
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from chivetrack.components.configuration import const
from chivetrack.components.configuration.messages import RouterAck
from chivetrack.components.configuration.models import InForce, MissingRouter
from chivetrack.const import MILLISECONDS_PER_SECOND


@dataclass(frozen=True, slots=True, kw_only=True)
class RouterState:
    """The last that was heard of a router."""

    incarnation: int
    revision: int
    last_seen_at: float


@dataclass(slots=True, kw_only=True)
class _Commit:
    revision: int
    committed_at: float
    complete_at: float | None = None


class Acknowledgements:
    """Collects acknowledgements, on a relay for its routers, on the leader for all."""

    def __init__(self) -> None:
        """Start with none."""
        self._routers: dict[str, RouterState] = {}
        self._commits: list[_Commit] = []
        self._has_news = False

    def record_acks(self, acks: Iterable[RouterAck], *, now: float) -> None:
        """Take acknowledgements; late and doubled ones do no harm."""
        for ack in acks:
            known = self._routers.get(ack.router)
            last_seen_at = now - ack.age_ms / MILLISECONDS_PER_SECOND
            if known is not None:
                # A router that restarted starts from nothing: what its former run
                # had applied is no longer in force there.
                if ack.incarnation < known.incarnation:
                    continue
                if ack.incarnation == known.incarnation and ack.revision < known.revision:
                    continue
                last_seen_at = max(last_seen_at, known.last_seen_at)
            if known is None or known.revision != ack.revision:
                self._has_news = True
            self._routers[ack.router] = RouterState(
                incarnation=ack.incarnation, revision=ack.revision, last_seen_at=last_seen_at
            )

    def pop_changed(self) -> bool:
        """Tell once whether some router has acknowledged another revision."""
        has_news = self._has_news
        self._has_news = False
        return has_news

    def expire_silent(self, now: float) -> None:
        """Drop routers that have not been heard of for long."""
        silent = [
            router
            for router, known in self._routers.items()
            if now - known.last_seen_at > const.ACKNOWLEDGEMENT_TTL_S
        ]
        for router in silent:
            del self._routers[router]

    def list_acks(self, *, now: float) -> Sequence[RouterAck]:
        """Return all, to pass them on."""
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
        """Remember when a revision was committed, for the time to in force."""
        if self._commits and revision <= self._commits[-1].revision:
            return
        self._commits.append(_Commit(revision=revision, committed_at=now))
        if len(self._commits) > const.MAX_KEPT_COMMITS:
            del self._commits[: const.MAX_KEPT_COMMITS // 10]

    def compute_in_force(self, revision: int, expected: Iterable[str], *, now: float) -> InForce:
        """Compare what the expected routers have applied with a revision."""
        routers = list(expected)
        missing = [
            self._describe(router, now)
            for router in routers
            if router not in self._routers or self._routers[router].revision < revision
        ]
        return InForce(
            revision=revision,
            expected=len(routers),
            applied=len(routers) - len(missing),
            missing=tuple(missing),
            elapsed_s=self._measure_elapsed(revision, is_complete=not missing, now=now),
        )

    def _describe(self, router: str, now: float) -> MissingRouter:
        known = self._routers.get(router)
        if known is None:
            return MissingRouter(router=router, revision=0, silent_s=None)
        return MissingRouter(
            router=router, revision=known.revision, silent_s=now - known.last_seen_at
        )

    def _measure_elapsed(self, revision: int, *, is_complete: bool, now: float) -> float | None:
        # The commit that contains the revision is the first one not below it.
        index = bisect_left(self._commits, revision, key=lambda commit: commit.revision)
        if index == len(self._commits):
            return None
        commit = self._commits[index]
        if is_complete and commit.complete_at is None:
            commit.complete_at = now
        return (commit.complete_at or now) - commit.committed_at
