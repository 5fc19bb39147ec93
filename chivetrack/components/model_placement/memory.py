"""State of the placement within a term: lost copies, unloads in progress, soak times."""

from collections.abc import Iterable, Mapping

from chivetrack.components.model_placement import const
from chivetrack.components.model_placement.models import DesiredItem, EngineView
from chivetrack.components.orders.models import Artifact, ArtifactName, ArtifactPhase

_CopyKey = tuple[ArtifactName, str]


class TermMemory:
    """Records observations within one term of the lease.

    It starts empty with each term, which only makes the controller wait longer.
    """

    def __init__(self, *, started_at: float) -> None:
        """Initialize the memory at the start of a term."""
        self._started_at = started_at
        self._lost_at: dict[_CopyKey, float | None] = {}
        self._most_seen: dict[ArtifactName, int] = {}
        self._leaving_since: dict[_CopyKey, float] = {}
        self._serving_since: dict[Artifact, float] = {}

    def record_copies(
        self, item: DesiredItem, engines: Iterable[EngineView], *, now: float
    ) -> None:
        """Record where copies are, when they were lost, and since when the new version serves."""
        name = item.artifact.get_name()
        by_id = {engine.endpoint_id: engine for engine in engines}
        for endpoint_id, engine in by_id.items():
            if engine.is_usable and engine.state is not None:
                if engine.find(item) is not None:
                    self._lost_at[(name, endpoint_id)] = None
                else:
                    self._lost_at.pop((name, endpoint_id), None)
        for copy_key, lost_at in self._lost_at.items():
            known_engine = by_id.get(copy_key[1])
            if (
                copy_key[0] == name
                and lost_at is None
                and (known_engine is None or not known_engine.is_usable)
            ):
                self._lost_at[copy_key] = now
        self._record_serving(item, by_id.values(), now)

    def count_absent(self, item: DesiredItem, holders: int, *, now: float) -> int:
        """Return the number of copies that are lost but must not be replaced yet.

        An engine that restarts returns within seconds. If its copies were replaced
        immediately, they would be loaded twice, and a short failure of a network switch would
        reload a whole zone.
        """
        name = item.artifact.get_name()
        most_seen = max(holders, self._most_seen.get(name, 0))
        self._most_seen[name] = most_seen
        absent = sum(
            1
            for (owner, _), lost_at in self._lost_at.items()
            if owner == name and lost_at is not None and now < lost_at + const.REPAIR_DELAY_S
        )
        if item.last_good is not None and now < self._started_at + const.REPAIR_DELAY_S:
            # Copies that this lease holder has never seen may have been lost just before
            # its term.
            absent += max(0, item.copies - most_seen)
        return absent

    def is_soaked(self, artifact: Artifact, *, now: float) -> bool:
        """Return whether a version has served on some engine for ``SOAK_S``."""
        since = self._serving_since.get(artifact)
        return since is not None and now >= since + const.SOAK_S

    def list_leaving(self, item: DesiredItem) -> set[str]:
        """Return the engines from which a copy is being unloaded, or may be."""
        name = item.artifact.get_name()
        return {copy_key[1] for copy_key in self._leaving_since if copy_key[0] == name}

    def record_goals(
        self,
        item: DesiredItem,
        engines: Iterable[EngineView],
        goals: Mapping[str, Artifact],
        *,
        now: float,
    ) -> None:
        """Record which copies the goals remove.

        The unload may be in progress while the last state of the engine is still "ready". If
        that copy counted as ready, another copy would be removed, which breaks the floor.
        """
        name = item.artifact.get_name()
        for engine in engines:
            copy_key = (name, engine.endpoint_id)
            held = engine.find(item)
            if held is None:
                self._leaving_since.pop(copy_key, None)
            elif engine.is_usable and goals.get(engine.endpoint_id) != held.artifact:
                self._leaving_since[copy_key] = now
            elif engine.state_at > self._leaving_since.get(copy_key, now) + const.UNLOAD_SETTLE_S:
                self._leaving_since.pop(copy_key, None)

    def _record_serving(self, item: DesiredItem, engines: Iterable[EngineView], now: float) -> None:
        if any(_serves(engine, item.artifact) for engine in engines):
            self._serving_since.setdefault(item.artifact, now)
        else:
            self._serving_since.pop(item.artifact, None)


def _serves(engine: EngineView, artifact: Artifact) -> bool:
    held = None if engine.state is None else engine.state.find(artifact)
    return held is not None and held.phase is ArtifactPhase.READY and engine.is_healthy
