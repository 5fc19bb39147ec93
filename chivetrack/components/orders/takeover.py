"""When the orders of the former holder are over."""

from chivetrack.components.controllers.const import CLOCK_DRIFT, LEASE_DURATION_S
from chivetrack.components.controllers.lease import LeaseHolder
from chivetrack.components.orders.const import MAX_DELIVERY_S


def compute_predecessor_expired_at(lease: LeaseHolder) -> float:
    """Return when engines that don't check fencing may be ordered and believed.

    The former holder may still believe in its lease, and such an engine would obey
    both: a load beside an unload, in any order. By then that lease is over also on a
    slow clock, and what had left has arrived.
    """
    return lease.acquired_at + LEASE_DURATION_S * (1.0 + CLOCK_DRIFT) + MAX_DELIVERY_S
