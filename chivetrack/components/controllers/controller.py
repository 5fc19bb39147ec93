"""What a controller is, and the registry of all of them."""

from typing import Any, Protocol, TypeVar

from chivetrack.components.controllers.models import Plan
from chivetrack.helpers.registry import Registry

DesiredT = TypeVar("DesiredT")
ObservedT = TypeVar("ObservedT")


class Controller(Protocol[DesiredT, ObservedT]):
    """Compares desired with observed state; keeps nothing that it can't do without.

    ``reconcile`` may run at any time, twice, or for the first time after another holder
    did half of the work. Any part of the actions it returns may be carried out: none may
    rely on another one of the same plan.
    """

    def read_desired(self) -> DesiredT:
        """Return what operators want, from the resources at one revision."""
        ...

    def read_observed(self, *, now: float) -> ObservedT:
        """Return what is."""
        ...

    def reconcile(self, desired: DesiredT, observed: ObservedT, *, now: float) -> Plan:
        """Return the writes that bring observed nearer to desired."""
        ...


CONTROLLERS: Registry[type[Controller[Any, Any]]] = Registry(name="controller")
