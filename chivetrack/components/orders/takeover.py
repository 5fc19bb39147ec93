"""Computes when orders of the previous lease holder can no longer arrive."""

from chivetrack.components.controllers.const import CLOCK_DRIFT, LEASE_DURATION_S
from chivetrack.components.controllers.lease import LeaseHolder
from chivetrack.components.orders.const import MAX_DELIVERY_S


def compute_predecessor_expired_at(lease: LeaseHolder) -> float:
    """Return when engines that do not check fencing may get orders and be trusted.

    The previous holder may still consider its lease valid, and such an engine would execute
    the orders of both holders in any order, for example a load and an unload. At the
    returned time, the previous lease has expired even on a slow clock, and all orders
    sent under it have arrived.
    """
    return lease.acquired_at + LEASE_DURATION_S * (1.0 + CLOCK_DRIFT) + MAX_DELIVERY_S
