"""Plans the copies of one model or adapter from the current state of the engines."""

from collections import Counter
from collections.abc import Callable, Collection, Sequence
from zlib import crc32

from chivetrack.components.model_placement.const import MAX_CHANGES
from chivetrack.components.model_placement.models import DesiredItem, EngineView, ItemPlan
from chivetrack.components.orders.models import Artifact, ArtifactPhase


class Rollout:
    """Plans one item; engines keep their copies unless a change is necessary.

    ``leaving``: engines from which a copy is being unloaded; they don't count as ready,
    whatever their last state is. ``absent``: number of lost copies that may come back and are
    not replaced yet. ``is_soaked``: the first copy of a new version has served for ``SOAK_S``.
    ``has_room``: returns whether an engine has memory for the item.
    """

    def __init__(
        self,
        *,
        item: DesiredItem,
        engines: Sequence[EngineView],
        leaving: Collection[str],
        absent: int,
        is_soaked: bool,
        has_room: Callable[[EngineView], bool],
    ) -> None:
        """Initialize the plan for one item."""
        self._item = item
        self._engines = {engine.endpoint_id: engine for engine in engines if engine.is_usable}
        self._leaving = leaving
        self._absent = absent
        self._is_soaked = is_soaked
        self._has_room = has_room
        self._goals: dict[str, Artifact] = {}
        self._ready = {
            name
            for name, engine in self._engines.items()
            if engine.has_ready(item) and name not in leaving
        }

    def plan(self) -> ItemPlan:
        """Return the plan."""
        self._keep_copies()
        failed_on = self._find_failure()
        if not failed_on:
            self._replace_versions()
            self._place_missing()
            self._drop_surplus()
        return ItemPlan(
            goals=self._goals,
            ready=len(self._ready),
            failed_on=failed_on,
            is_complete=self._is_complete(),
        )

    def _keep_copies(self) -> None:
        for name, engine in self._engines.items():
            held = engine.find(self._item)
            if held is None or held.phase is ArtifactPhase.UNLOADING:
                continue
            artifact = held.artifact
            if self._item.is_halted and engine.has_failed(self._item):
                assert self._item.last_good is not None
                artifact = self._item.last_good
            self._goals[name] = artifact

    def _find_failure(self) -> str:
        if not self._item.is_rolling or self._item.is_halted:
            return ""
        failed = [n for n, engine in self._engines.items() if engine.has_failed(self._item)]
        return min(failed, default="")

    def _replace_versions(self) -> None:
        if self._item.is_halted or not self._has_old():
            return
        target = self._item.artifact
        # Only one copy is changed first. A version that can't be loaded, or fails its
        # requests, then costs one copy instead of all that the floor allows.
        is_proven = self._is_soaked or not self._item.is_rolling
        allowed = self._item.copies if is_proven else 1
        missing = min(allowed, self._item.copies) - self._count(target)
        for _ in range(min(missing, MAX_CHANGES)):
            name = self._choose_engine_for_new_version()
            if name is None:
                return
            self._goals[name] = target
            self._ready.discard(name)

    def _choose_engine_for_new_version(self) -> str | None:
        free = self._choose_free_engine(self._item.artifact)
        if free is not None:
            return free
        old = [name for name, held in self._goals.items() if held != self._item.artifact]
        removable = [name for name in old if self._can_remove(name, keep=self._item.min_ready)]
        return min(removable, key=lambda name: (name not in self._leaving, name), default=None)

    def _place_missing(self) -> None:
        use_new = not self._item.is_rolling or (self._is_soaked and not self._item.is_halted)
        artifact = self._item.artifact if use_new else self._item.last_good
        assert artifact is not None
        missing = self._item.copies - len(self._goals) - self._absent
        for _ in range(min(missing, MAX_CHANGES)):
            name = self._choose_free_engine(artifact)
            if name is None:
                return
            self._goals[name] = artifact

    def _drop_surplus(self) -> None:
        surplus = len(self._goals) - self._item.copies
        zones = Counter(self._engines[name].zone for name in self._goals)
        for _ in range(min(surplus, MAX_CHANGES)):
            has_old = self._has_old()
            removable = [n for n in self._goals if self._is_surplus(n, has_old=has_old)]
            if not removable:
                return
            name = min(
                removable,
                key=lambda n: (
                    self._goals[n] == self._item.artifact,
                    n not in self._leaving,
                    -zones[self._engines[n].zone],
                    n,
                ),
            )
            del self._goals[name]
            zones[self._engines[name].zone] -= 1
            self._ready.discard(name)

    def _is_surplus(self, name: str, *, has_old: bool) -> bool:
        # Copies of the old version wait for a copy of the new version that is still loading.
        if has_old and self._goals[name] == self._item.artifact:
            return False
        return self._can_remove(name, keep=self._item.copies)

    def _can_remove(self, name: str, *, keep: int) -> bool:
        return name not in self._ready or len(self._ready) - 1 >= keep

    def _choose_free_engine(self, artifact: Artifact) -> str | None:
        zones = Counter(
            self._engines[name].zone for name, held in self._goals.items() if held == artifact
        )
        free = [
            engine
            for name, engine in self._engines.items()
            if name not in self._goals and engine.is_healthy and self._has_room(engine)
        ]
        if not free:
            return None
        chosen = min(free, key=lambda engine: (zones[engine.zone], self._rank(engine)))
        return chosen.endpoint_id

    def _rank(self, engine: EngineView) -> tuple[int, str]:
        text = f"{self._item.artifact.name}\0{engine.endpoint_id}"
        return crc32(text.encode()), engine.endpoint_id

    def _has_old(self) -> bool:
        return any(held != self._item.artifact for held in self._goals.values())

    def _count(self, artifact: Artifact) -> int:
        return sum(1 for held in self._goals.values() if held == artifact)

    def _is_complete(self) -> bool:
        target = self._item.artifact
        if any(held != target for held in self._goals.values()):
            return False
        serving = [name for name in self._goals if self._serves_target(name)]
        return len(serving) >= self._item.copies

    def _serves_target(self, name: str) -> bool:
        engine = self._engines[name]
        held = None if engine.state is None else engine.state.find(self._item.artifact)
        return held is not None and held.phase is ArtifactPhase.READY and engine.is_healthy
