"""Constants of the drains component; times in seconds."""

from typing import Final

CONTROLLER: Final = "drains"
KIND: Final = "drain"

SETTLE_S: Final = 5.0
"""Time after which every router applies the drain or refuses new requests.

Equal to the window after which a router without a confirmed configuration stops serving.
"""

STATUS_WRITE_INTERVAL_S: Final = 2.0
"""Minimum interval between writes of a status in which only counts or the reason changed."""

RECONCILE_INTERVAL_S: Final = 0.5
MAX_EVENTS: Final = 10
MAX_NAMED_TARGETS: Final = 20
MAX_NAMED_DRAINS: Final = 5

INSTANCES: Final = "instances"
"""Name of the group that all instances form; drains of instances reduce its capacity."""
