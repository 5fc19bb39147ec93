"""The placement of one instance: controller, desk and queue under one lease."""

from collections.abc import Callable
from random import Random

from chivetrack.components.controllers.lease import LeaseHolder
from chivetrack.components.controllers.loop import ControllerLoop
from chivetrack.components.model_placement.controller import PlacementController
from chivetrack.components.model_placement.engines import EngineObserver
from chivetrack.components.model_placement.queue import LoadQueue
from chivetrack.components.orders.handler import OrderHandler
from chivetrack.components.store.table import ResourceTable
from chivetrack.core import Effect, Event


class PlacementRunner:
    """Hands every event to the loop, which keeps the lease, and then to the desk.

    Its effects are the loop's proposals and the desk's ``SendOrder``, ``QueryEngine`` and
    ``OrderRequestEnded``.
    """

    def __init__(
        self,
        *,
        lease: LeaseHolder,
        table: ResourceTable,
        get_revision: Callable[[], int],
        observer: EngineObserver,
        to_wall_ms: Callable[[float], int],
        random: Random,
        started_at: float,
    ) -> None:
        """Put the parts together; ``get_revision`` is the one that ``table`` is at."""
        self.controller = PlacementController(
            table=table,
            lease=lease,
            list_engines=observer.list_engines,
            to_wall_ms=to_wall_ms,
        )
        self.desk = OrderHandler(
            lease=lease,
            list_targets=self.controller.list_targets,
            admission=LoadQueue(read_states=lambda: self.desk.read_states()),
            random=random,
        )
        observer.connect(self.desk)
        self.loop = ControllerLoop(
            controller=self.controller,
            lease=lease,
            get_revision=get_revision,
            random=random,
            started_at=started_at,
        )

    @property
    def lease(self) -> LeaseHolder:
        """Return the lease under which all of it acts."""
        return self.loop.lease

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Take one event at time ``now``."""
        return [*self.loop.handle(event, now=now), *self.desk.handle(event, now=now)]

    def release(self, *, now: float) -> list[Effect]:
        """Give the lease back, for an orderly stop."""
        return self.loop.release(now=now)
