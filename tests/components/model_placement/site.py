"""Simulation of engines, a weight store and instances with placement controllers."""

from dataclasses import dataclass, field
from typing import Any

import msgspec

from chivetrack.components.model_placement.const import CONTROLLER, MODEL_KIND
from chivetrack.components.model_placement.models import EngineView, PlacementReport
from chivetrack.components.model_placement.runner import PlacementRunner
from chivetrack.components.orders.handler import OrderHandler
from chivetrack.components.orders.models import Artifact
from chivetrack.components.store.commands import Replace, Stamp
from tests.components.controllers.simulation import Simulation
from tests.components.orders.engines import Engine, EngineSimulation


@dataclass(slots=True)
class WeightStore:
    """Fake weight store that refuses loads beyond ``limit`` at the same time."""

    limit: int = 1000
    load_s: float = 2.0
    max_loading: int = 0
    refused: int = 0
    taken: list[tuple[float, str]] = field(default_factory=list)

    def take(self, name: str, time: float) -> bool:
        busy = sum(1 for at, _ in self.taken if time < at + self.load_s)
        if busy >= self.limit:
            self.refused += 1
            return False
        self.taken.append((time, name))
        self.max_loading = max(self.max_loading, busy + 1)
        return True


class Observer:
    """Fake ``EngineObserver`` of one instance."""

    def __init__(self, site: "Site") -> None:
        self._site = site
        self._order_handler: Any = None

    def connect(self, order_handler: OrderHandler) -> None:
        self._order_handler = order_handler

    def list_engines(self) -> list[EngineView]:
        listed = [engine for engine in self._site.engines.values() if engine.is_listed]
        return [self._view(engine) for engine in listed]

    def _view(self, engine: Engine) -> EngineView:
        return EngineView(
            endpoint_id=engine.name,
            incarnation=engine.incarnation,
            address=engine.name,
            service="chat",
            zone=engine.zone,
            checks_fencing=engine.checks,
            is_usable=not engine.is_leaving,
            is_healthy=not engine.is_leaving,
            state=self._order_handler.get_state(engine.name),
            state_at=self._order_handler.get_state_at(engine.name),
        )


class Site(EngineSimulation):
    """``EngineSimulation`` whose goals come from placement controllers."""

    def __init__(self, engines: list[Engine], *, seed: int = 1) -> None:
        super().__init__(engines, seed=seed)
        self.store = WeightStore()
        for engine in engines:
            engine.store = self.store
        self.simulation = Simulation(
            make_controller=lambda table, to_wall_ms: (table, to_wall_ms),
            lease=CONTROLLER,
            seed=seed,
        )
        self.simulation.make_loop = self.make_loop
        self.simulation.on_effect = self.execute

    def make_loop(self, *, controller: Any, **fields: Any) -> PlacementRunner:
        observer: Any = Observer(self)
        table, to_wall_ms = controller
        return PlacementRunner(table=table, to_wall_ms=to_wall_ms, observer=observer, **fields)

    def set_model(self, name: str = "m", **fields: Any) -> None:
        spec = {"service": "chat", "version": "1", "weights": "w"} | fields
        if self.simulation.store.table.get(MODEL_KIND, name) is None:
            self.simulation.create(MODEL_KIND, name, spec)
            return
        data = msgspec.msgpack.encode(spec)
        self.simulation.apply(Replace(Stamp(0), MODEL_KIND, name, data))

    def list_ready(self, artifact: Artifact) -> list[str]:
        time = self.simulation.time
        return [e.name for e in self.engines.values() if artifact in e.list_ready(time)]

    def count_ready(self, name: str = "m") -> int:
        time = self.simulation.time
        return sum(
            1
            for e in self.engines.values()
            if e.is_listed and any(a.name == name for a in e.list_ready(time))
        )

    def read_report(self, name: str = "m", kind: str = MODEL_KIND) -> PlacementReport:
        record = self.simulation.store.table.get(kind, name)
        assert record is not None
        if not record.status:
            return PlacementReport()
        return msgspec.msgpack.decode(record.status, type=PlacementReport, strict=False)


def make_engines(count: int, *, zones: int = 3, **fields: Any) -> list[Engine]:
    return [Engine(f"e{n}", zone=f"z{n % zones}", **fields) for n in range(count)]
