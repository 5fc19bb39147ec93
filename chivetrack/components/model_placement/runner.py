"""Model placement of one instance: controller, orders and load queue under one lease."""

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
    """Forwards every event to the loop, which holds the lease, and then to ``OrderHandler``.

    Its effects are the proposals of the loop, and ``SendOrder``, ``QueryEngine`` and
    ``OrderRequestEnded`` from ``OrderHandler``.
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
        """Initialize all components; ``get_revision`` returns the revision of ``table``."""
        self.controller = PlacementController(
            table=table,
            lease=lease,
            list_engines=observer.list_engines,
            to_wall_ms=to_wall_ms,
        )
        self.order_handler = OrderHandler(
            lease=lease,
            list_targets=self.controller.list_targets,
            admission=LoadQueue(read_states=lambda: self.order_handler.read_states()),
            random=random,
        )
        observer.connect(self.order_handler)
        self.loop = ControllerLoop(
            controller=self.controller,
            lease=lease,
            get_revision=get_revision,
            random=random,
            started_at=started_at,
        )

    @property
    def lease(self) -> LeaseHolder:
        """Return the lease under which all components act."""
        return self.loop.lease

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Handle an event at time ``now``."""
        return [*self.loop.handle(event, now=now), *self.order_handler.handle(event, now=now)]

    def release(self, *, now: float) -> list[Effect]:
        """Release the lease, for an orderly stop."""
        return self.loop.release(now=now)
