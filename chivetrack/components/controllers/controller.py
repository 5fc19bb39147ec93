"""The controller protocol and the registry of controllers."""

from typing import Any, Protocol, TypeVar

from chivetrack.components.controllers.models import Plan
from chivetrack.helpers.registry import Registry

DesiredT = TypeVar("DesiredT")
ObservedT = TypeVar("ObservedT")


class Controller(Protocol[DesiredT, ObservedT]):
    """Compares desired with observed state; must not depend on state kept in memory.

    ``reconcile`` may run at any time, repeatedly, or for the first time after another
    holder has done half of the work. Any subset of the returned actions may be executed,
    so no action may depend on another one of the same plan.
    """

    def read_desired(self) -> DesiredT:
        """Return the state that operators desire, read from the resources at one revision."""
        ...

    def read_observed(self, *, now: float) -> ObservedT:
        """Return the current state."""
        ...

    def reconcile(self, desired: DesiredT, observed: ObservedT, *, now: float) -> Plan:
        """Return the writes that move the observed towards the desired state."""
        ...


CONTROLLERS: Registry[type[Controller[Any, Any]]] = Registry(name="controller")
